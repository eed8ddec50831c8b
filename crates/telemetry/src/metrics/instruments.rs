//! The list of instruments.

instruments! {
    /// Instruments that only rise.
    CounterKind: Counter {
        Dispatches "mangorouter.entry.dispatches" "{dispatch}" "Dispatches to agents, by outcome.";
        Retries "mangorouter.entry.retries" "{dispatch}" "Dispatches after the first of a request.";
        Hedges "mangorouter.entry.hedges" "{dispatch}" "Dispatches beside one that is still open.";
        Refusals "mangorouter.entry.refusals" "{request}" "Requests that the entry refused, by reason.";
        Admissions "mangorouter.agent.admissions" "{dispatch}" "Dispatches that the agent let through or refused, by reason.";
        TaskStarts "mangorouter.agent.task.starts" "{task}" "Tasks that the agent started or refused to start.";
        Commits "mangorouter.control.commits" "{entry}" "Entries of the replicated log that were applied.";
        Placements "mangorouter.control.placements" "{task}" "Decisions on tasks, by kind.";
        FlowEvents "mangorouter.flow.events" "{event}" "Events of the deployed processes, by name, also those whose line was left out.";
        RefusedMessages "mangorouter.rpc.refusals" "{message}" "Messages on the internal port that were refused, by reason.";
    }
}

instruments! {
    /// Instruments that rise and fall.
    GaugeKind: Gauge {
        Revision "mangorouter.revision" "{revision}" "The revision of the declarations in force.";
        QueuedRequests "mangorouter.entry.queue.length" "{request}" "Requests that wait at the entry.";
        SlotsInUse "mangorouter.agent.slots.in_use" "{slot}" "Slots of the worker's endpoints in use.";
        LeaseRemaining "mangorouter.agent.lease.remaining" "ms" "Milliseconds left of the worker's lease.";
        Leader "mangorouter.control.leader" "{replica}" "The replica that leads, or 0.";
        CommittedIndex "mangorouter.control.committed" "{entry}" "The last committed position of the log.";
        LiveWorkers "mangorouter.control.workers" "{worker}" "Workers that hold a lease.";
    }
}

instruments! {
    /// Distributions of durations.
    DurationKind: Histogram {
        ServerRequest "http.server.request.duration" "s" "How long callers waited at the entry, by outcome.";
        ClientRequest "http.client.request.duration" "s" "How long executors took, as the agent saw it, by outcome.";
        CommitWait "mangorouter.control.commit.duration" "s" "How long proposals waited for commitment.";
        DiskSync "mangorouter.control.sync.duration" "s" "How long writing and syncing a batch took.";
        FlowStart "mangorouter.flow.start.duration" "s" "How long tasks waited from the acceptance of their job to a run, by first run or a later one.";
        FlowJob "mangorouter.flow.job.duration" "s" "How long jobs took from their acceptance to their end, by outcome.";
        PlacementWait "mangorouter.control.placement.duration" "s" "How long tasks waited for a place, by priority.";
    }
}
