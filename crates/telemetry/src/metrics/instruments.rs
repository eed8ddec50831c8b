//! The metric instruments of all roles.

instruments! {
    /// Counters, which only increase.
    CounterKind: Counter {
        Dispatches "mangorouter.entry.dispatches" "{dispatch}" "Dispatches sent to agents, by outcome.";
        Retries "mangorouter.entry.retries" "{dispatch}" "Dispatches after the first one of a request.";
        Hedges "mangorouter.entry.hedges" "{dispatch}" "Dispatches sent while another dispatch of the same request is in progress.";
        Refusals "mangorouter.entry.refusals" "{request}" "Requests that the entry refused, by reason.";
        Admissions "mangorouter.agent.admissions" "{dispatch}" "Dispatches that the agent admitted or refused, by reason.";
        TaskStarts "mangorouter.agent.task.starts" "{task}" "Tasks that the agent started or refused to start.";
        Commits "mangorouter.control.commits" "{entry}" "Entries of the replicated log that the replica applied.";
        Placements "mangorouter.control.placements" "{task}" "Scheduling decisions on tasks, by kind.";
        FlowEvents "mangorouter.flow.events" "{event}" "Events of the deployed processes by name, including events that the log's rate limit dropped.";
        RefusedMessages "mangorouter.rpc.refusals" "{message}" "Messages on the internal port that the process refused, by reason.";
    }
}

instruments! {
    /// Gauges, which increase and decrease.
    GaugeKind: Gauge {
        Revision "mangorouter.revision" "{revision}" "Revision of the declarations in force.";
        QueuedRequests "mangorouter.entry.queue.length" "{request}" "Requests queued at the entry.";
        SlotsInUse "mangorouter.agent.slots.in_use" "{slot}" "Slots in use on the worker's endpoints.";
        LeaseRemaining "mangorouter.agent.lease.remaining" "ms" "Remaining time of the worker's lease in milliseconds.";
        Leader "mangorouter.control.leader" "{replica}" "Replica id of the leader, or 0 if none is known.";
        CommittedIndex "mangorouter.control.committed" "{entry}" "Index of the last committed log entry.";
        LiveWorkers "mangorouter.control.workers" "{worker}" "Workers that hold a lease.";
        CordonedDataCentres "mangorouter.flow.cordons" "{data_centre}" "Data centres in which nothing more is started.";
        CordonedRuns "mangorouter.flow.cordoned.runs" "{run}" "Runs left in cordoned data centres as the leader knows them, by kind; 0 on other processes.";
        CordonWaitingJobs "mangorouter.flow.cordoned.jobs" "{job}" "Jobs that wait because only cordoned data centres have what they ask for; 0 on processes that do not lead.";
        WaitingJobs "mangorouter.flow.waiting.jobs" "{job}" "Jobs that have waited for 4 s or more with nothing placed, or for a task that has lost its run; 0 on processes that do not lead.";
        UnconfirmedRuns "mangorouter.flow.unconfirmed.runs" "{run}" "Placed runs that no list has shown at work for 5 s or more, or that were ordered to stop that long ago; 0 on processes that do not lead.";
        WithdrawnJobs "mangorouter.flow.withdrawn.jobs" "{job}" "Jobs that were cancelled before they were submitted and are kept to refuse a late submission.";
    }
}

instruments! {
    /// Histograms of durations.
    DurationKind: Histogram {
        ServerRequest "http.server.request.duration" "s" "Time from a caller's request to the entry's response, by outcome.";
        ClientRequest "http.client.request.duration" "s" "Duration of executor calls as measured by the agent, by outcome.";
        CommitWait "mangorouter.control.commit.duration" "s" "Time from a proposal to its commitment.";
        DiskSync "mangorouter.control.sync.duration" "s" "Time to write and sync a batch of the log.";
        FlowStart "mangorouter.flow.start.duration" "s" "Time from the acceptance of a job to the placement of its tasks, by first or later run.";
        FlowJob "mangorouter.flow.job.duration" "s" "Time from the acceptance of a job to its end, by outcome.";
        FlowRetry "mangorouter.flow.retry.duration" "s" "Delay after which callers of refused jobs may retry.";
        FlowReservation "mangorouter.flow.reservation.duration" "s" "Time for which placement kept capacity for a step that needs much at once, by reason of the end.";
        PlacementWait "mangorouter.control.placement.duration" "s" "Time that tasks waited for placement, by priority.";
    }
}
