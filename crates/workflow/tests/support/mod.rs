//! A harness for a single control process, the only voter of its group. The test stands in for
//! agents and entries.

use {
    crate::fixtures::fleet_config,
    base::{EventReducer, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{
        EntryPayload, GroupMember, LogEntry, LogSnapshot, PersistBatch, QuorumSettings,
        RecoveredLog,
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    workflow::{
        control::{
            ControlEffect, ControlEvent, ControlNode, ControlSettings, CordonFigures,
            OperatorAnswer, SessionId, WaitFigures,
        },
        event::{FlowEvent, FormerRun},
        job::{FleetConfig, JobSpec, RunNumber, StepSpec, TaskDemand, WorkerIncarnation},
        message::{CallerAnswer, CallerCall, EndReport, LinkMessage, RunReport, WorkerReport},
        plan::LookaheadScope,
        state::{EndKind, FlowState},
    },
};

pub const LEASE: Duration = Duration::from_millis(3500);
const ENTRY: u64 = 999;
const STEP: u64 = 20;

/// Builds a step of a job.
#[derive(Clone)]
pub struct StepBuilder(StepSpec);

impl StepBuilder {
    pub fn tasks(count: u16) -> Self {
        let demand = TaskDemand { cpu_milli: 1000, memory_mb: 100, accelerators: 0 };
        Self(StepSpec { count, demand, estimate_ms: 1000, ..StepSpec::default() })
    }

    pub fn after(mut self, step: u16) -> Self {
        self.0.depends_on.push(step);
        self
    }

    pub fn cores(mut self, cores: u64) -> Self {
        self.0.demand.cpu_milli = cores * 1000;
        self
    }

    pub fn memory(mut self, megabytes: u64) -> Self {
        self.0.demand.memory_mb = megabytes;
        self
    }

    pub fn estimate(mut self, milliseconds: u64) -> Self {
        self.0.estimate_ms = milliseconds;
        self
    }

    pub fn gang(mut self) -> Self {
        self.0.gang = true;
        self
    }

    pub fn best_effort(mut self) -> Self {
        self.0.filler = true;
        self
    }

    pub fn image(mut self, name: &str) -> Self {
        self.0.image = Some(Arc::from(name));
        self
    }

    pub fn checkpoints(mut self) -> Self {
        self.0.checkpointing = true;
        self
    }

    pub fn required_label(mut self, label: &str) -> Self {
        self.0.required_label = Some(label.to_owned());
        self
    }

    pub fn preferred_rack(mut self, rack: &str) -> Self {
        self.0.preferred_rack = Some(rack.to_owned());
        self
    }

    pub fn latency_target(mut self, milliseconds: u64) -> Self {
        self.0.latency_target_ms = Some(milliseconds);
        self
    }

    pub fn lasting(mut self) -> Self {
        self.0.lasting = true;
        self
    }
}

pub fn job(steps: &[StepBuilder]) -> JobSpec {
    let steps = steps.iter().map(|builder| builder.0.clone()).collect();
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// Returns the text of an event about a task that does not run.
fn idle_line(event: &FlowEvent) -> Option<String> {
    match event {
        FlowEvent::TaskWaiting { task, run, cause, last_end, stopped_for, logged, .. } => {
            let waits = format!("{cause:?}, {last_end:?}, stopped for {stopped_for:?}");
            Some(format!("{task} run {run} waits: {waits}, logged {logged}"))
        }
        FlowEvent::RunUnconfirmed {
            task, run, at_work, listed_ms_ago, stopped_for, agent, ..
        } => {
            let listed = listed_ms_ago.is_some_and(|age| age < 1000);
            let seen = format!("at work {at_work}, listed {listed}");
            let stopped = format!("stopped for {stopped_for:?}");
            Some(format!("{task} run {run} unconfirmed: {seen}, {stopped}, {agent:?}"))
        }
        FlowEvent::JobFailed {
            task, run, failures, attempt_limit, written_off, crashes, ..
        } => {
            let failed = format!("failed {failures} of {attempt_limit}");
            Some(format!("{task} run {run} {failed}, written off {written_off}, crashes {crashes}"))
        }
        _ => None,
    }
}

/// Returns the text of an event about the end of a run, or about a placement after one.
fn end_line(event: &FlowEvent) -> Option<String> {
    match event {
        FlowEvent::RunEnded { run, end, fact, source, ordered_ms_ago, listed_ms_ago, .. } => {
            let ages = format!("ordered {ordered_ms_ago:?}, listed {listed_ms_ago:?}");
            Some(format!("run {run} {end:?}: {fact:?} by {source:?}, {ages}"))
        }
        FlowEvent::TaskPlaced { run, former, .. } if run.0 > 1 => {
            let former = former.as_ref().map(|FormerRun { run, worker, end, fact, age_ms }| {
                format!("run {run} on {worker} {end:?}, {fact:?}, {age_ms} ms ago")
            });
            Some(format!("run {run} after {}", former.as_deref().unwrap_or("an unknown end")))
        }
        FlowEvent::WorkerLost { worker, proof, source, renewed_ms_ago, runs, .. } => {
            let renewed = format!("renewed {renewed_ms_ago:?}");
            Some(format!("lost {worker}: {proof:?} by {source:?}, {renewed}, runs {runs}"))
        }
        _ => None,
    }
}

/// A control process and the effects it has produced.
pub struct ControlHarness {
    node: ControlNode,
    disk: RecoveredLog,
    now: Duration,
    sequence: u64,
    syncs_paused: bool,
    unsynced: Vec<PersistBatch>,
    starts: Vec<String>,
    /// The messages that nobody has taken, with their streams.
    sent: Vec<(u64, LinkMessage)>,
    shrinkages: Vec<String>,
    blocked: Vec<String>,
    /// The lines about tasks that do not run.
    idle_lines: Vec<String>,
    /// The tasks for which capacity was reserved, and the forecasts in milliseconds.
    pub reservations: Vec<(String, u64)>,
    stops: Vec<String>,
    ends_logged: Vec<String>,
    /// The lines about ends of runs, and about placements after them.
    end_lines: Vec<String>,
    suspected_workers: Vec<String>,
    /// Tasks that were reported as ended.
    ended: BTreeSet<String>,
    answers: Vec<CallerAnswer>,
    recorded_up_to: u64,
    operator: Vec<OperatorAnswer>,
    halts: usize,
    /// The streams that were sent a `Welcome` of a leader, with the ports of the members.
    welcomes: Vec<(u64, Vec<u16>)>,
    /// The worker for which the last answer to a ping granted a lease.
    pub leased: Option<String>,
}

impl ControlHarness {
    /// Creates a leader with one queue, at path `/q/` of host `h`.
    pub fn start() -> Self {
        let node = Self::node_from(RecoveredLog::default(), Duration::ZERO);
        let mut harness = Self {
            node,
            disk: RecoveredLog::default(),
            now: Duration::ZERO,
            sequence: 0,
            syncs_paused: false,
            unsynced: Vec::new(),
            starts: Vec::new(),
            sent: Vec::new(),
            shrinkages: Vec::new(),
            reservations: Vec::new(),
            blocked: Vec::new(),
            idle_lines: Vec::new(),
            stops: Vec::new(),
            ends_logged: Vec::new(),
            end_lines: Vec::new(),
            suspected_workers: Vec::new(),
            ended: BTreeSet::new(),
            answers: Vec::new(),
            recorded_up_to: 0,
            operator: Vec::new(),
            halts: 0,
            welcomes: Vec::new(),
            leased: None,
        };
        harness.advance(1500);
        assert!(harness.node.is_leader());
        harness.configure(1);
        harness
    }

    /// Kills the process and starts it again from its disk. It leads again at once, without its
    /// streams and with nothing but the log.
    pub fn restart_leader(&mut self) {
        self.node = Self::node_from(self.disk.clone(), self.now);
        while !self.node.is_leader() {
            self.advance(STEP);
        }
    }

    /// Replaces the log by a snapshot of the applied state. All entries must be applied.
    pub fn compact_log(&mut self) {
        let Some(last) = self.disk.entries.last() else { return };
        let (index, term) = (last.index, last.term);
        let (members, retired) = (Self::founders(), Vec::new());
        let data = self.node.applied().to_snapshot().into();
        self.disk.snapshot = Some(LogSnapshot { index, term, members, retired, data });
        self.disk.entries.clear();
    }

    fn founders() -> Vec<GroupMember> {
        let address = PeerAddress("127.0.0.1:1".parse().unwrap());
        vec![GroupMember { replica: ReplicaId(1), address, voter: true }]
    }

    fn node_from(disk: RecoveredLog, now: Duration) -> ControlNode {
        let quorum = QuorumSettings {
            replica: ReplicaId(1),
            founders: Self::founders(),
            election_timeout: Duration::from_millis(600),
            heartbeat: Duration::from_millis(100),
            batch_bytes: 1 << 20,
            in_flight_limit: 8,
            pending_limit: 1000,
            snapshot_chunk: 1 << 16,
            snapshot_every: 10_000,
        };
        let retention = Duration::from_secs(60);
        let settings = ControlSettings {
            quorum,
            lease: LEASE,
            retention,
            tolerated_losses: 0,
            look_ahead: LookaheadScope::All,
        };
        ControlNode::new(settings, disk, now, 1).unwrap()
    }

    fn step(&mut self, event: ControlEvent) {
        let mut events = vec![event, ControlEvent::Settle];
        while !events.is_empty() {
            let mut persisted = Vec::new();
            for event in events.drain(..) {
                for effect in self.node.reduce(self.now, event) {
                    if let ControlEffect::Persist(batch) = effect {
                        self.disk.apply(&batch);
                        persisted.push(batch);
                    } else {
                        self.record(effect);
                    }
                }
            }
            if self.syncs_paused {
                self.unsynced.extend(persisted);
                return;
            }
            let reports = persisted.iter().map(|b| ControlEvent::Persisted { number: b.number });
            events.extend(reports);
            if !events.is_empty() {
                events.push(ControlEvent::Settle);
            }
        }
    }

    fn record(&mut self, effect: ControlEffect) {
        if let ControlEffect::Send { session, message } = &effect {
            self.sent.push((session.0, message.clone()));
        }
        if let ControlEffect::Record(event) = &effect {
            self.end_lines.extend(end_line(event));
        }
        match effect {
            ControlEffect::Send { message: LinkMessage::Start(order), .. } => {
                self.starts.push(format!("{} run {} on {}", order.task, order.run, order.worker));
            }
            ControlEffect::Send { message: LinkMessage::Stop { task, run, .. }, .. } => {
                self.stops.push(format!("{task} run {run}"));
            }
            ControlEffect::Send { message: LinkMessage::Answer { answer, .. }, .. } => {
                self.answers.push(answer);
            }
            ControlEffect::Send { message: LinkMessage::EndsRecorded { up_to, .. }, .. } => {
                self.recorded_up_to = up_to;
            }
            ControlEffect::Send { message: LinkMessage::Pong { leased, .. }, .. } => {
                self.leased = leased.map(|worker| worker.to_string());
            }
            ControlEffect::Send {
                session,
                message: LinkMessage::Welcome { leading: true, members, .. },
            } => {
                let ports = members.iter().map(|member| member.0.port()).collect();
                self.welcomes.push((session.0, ports));
            }
            ControlEffect::Answer { answer, .. } => self.operator.push(answer),
            ControlEffect::Record(FlowEvent::RunEnded { task, run, end, .. }) => {
                self.ends_logged.push(format!("{task} run {run} {end:?}"));
            }
            ControlEffect::Record(FlowEvent::WorkerSuspect { worker }) => {
                self.suspected_workers.push(worker.to_string());
            }
            ControlEffect::Halt(_) => self.halts += 1,
            ControlEffect::Record(FlowEvent::JobBlocked { job, data_centre, .. }) => {
                self.blocked.push(format!("{job} by {data_centre}"));
            }
            ControlEffect::Record(FlowEvent::WorkerShrunk {
                worker, cpu_milli, overfull, ..
            }) => {
                self.shrinkages.push(format!("{worker} to {cpu_milli}, overfull {overfull}"));
            }
            ControlEffect::Record(FlowEvent::ReservationMade { task, ready_ms, .. }) => {
                self.reservations.push((task.to_string(), ready_ms));
            }
            ControlEffect::Record(event) => self.idle_lines.extend(idle_line(&event)),
            _ => {}
        }
    }

    /// Reports no sync while `paused`; afterwards reports all that are pending.
    pub fn pause_syncs(&mut self, paused: bool) {
        self.syncs_paused = paused;
        for batch in std::mem::take(&mut self.unsynced) {
            self.step(ControlEvent::Persisted { number: batch.number });
        }
    }

    /// Asks for the cordon of a data centre and returns the last answer to an operator.
    pub fn cordon(&mut self, data_centre: &str) -> Option<&OperatorAnswer> {
        let (ticket, data_centre) = (ReplyTicket(2000), data_centre.parse().unwrap());
        self.step(ControlEvent::Cordon { ticket, data_centre });
        self.operator.last()
    }

    /// Asks to lift the cordon of a data centre.
    pub fn lift_cordon(&mut self, data_centre: &str) {
        let (ticket, data_centre) = (ReplyTicket(2001), data_centre.parse().unwrap());
        self.step(ControlEvent::LiftCordon { ticket, data_centre });
    }

    /// Returns the jobs that were reported to wait because of a cordon.
    pub fn blocked(&self) -> &[String] {
        &self.blocked
    }

    /// Returns the lines about ends of runs, and about placements after them.
    pub fn end_lines(&self) -> &[String] {
        &self.end_lines
    }

    /// Returns the lines about tasks that do not run.
    pub fn idle_lines(&self) -> &[String] {
        &self.idle_lines
    }

    pub fn wait_figures(&self) -> WaitFigures {
        self.node.wait_figures()
    }

    pub fn cordon_figures(&self) -> CordonFigures {
        self.node.cordon_figures()
    }

    /// Returns the number of answers to operators.
    pub fn operator_answers(&self) -> usize {
        self.operator.len()
    }

    pub fn state(&self) -> &FlowState {
        self.node.applied()
    }

    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds.div_ceil(STEP) {
            self.now += Duration::from_millis(STEP);
            self.step(ControlEvent::Tick { wall_ms: 1_000_000 + self.now.as_millis() as u64 });
        }
    }

    /// Advances the clock while an agent renews its lease.
    pub fn keep_alive(&mut self, session: u64, milliseconds: u64) {
        for _ in 0..milliseconds / 200 {
            self.advance(200);
            self.send(session, LinkMessage::Ping { sequence: 1 });
        }
    }

    pub fn send(&mut self, session: u64, message: LinkMessage) {
        self.step(ControlEvent::Message { session: SessionId(session), message });
    }

    /// Sends a message on which control decides together with the next one.
    pub fn send_ahead(&mut self, session: u64, message: LinkMessage) {
        let event = ControlEvent::Message { session: SessionId(session), message };
        let effects = self.node.reduce(self.now, event);
        effects.into_iter().for_each(|effect| self.record(effect));
    }

    pub fn close(&mut self, session: u64) {
        self.step(ControlEvent::Closed { session: SessionId(session) });
    }

    /// Presents an entry or agent.
    pub fn connect_client(&mut self, session: u64) {
        self.send(session, LinkMessage::Hello { name: String::new() });
    }

    /// Sends the request of a control process with an empty disk.
    pub fn join(&mut self, session: u64, port: u16) {
        let address = PeerAddress(([127, 0, 0, 1], port).into());
        self.send(session, LinkMessage::Join { address });
    }

    pub fn take_welcomes(&mut self) -> Vec<(u64, Vec<u16>)> {
        std::mem::take(&mut self.welcomes)
    }

    fn report(executor: &str, started_ms: u64, drain_left_ms: Option<u64>) -> WorkerReport {
        WorkerReport {
            worker: WorkerIncarnation { executor: Arc::from(executor), started_ms },
            service: "s".to_owned(),
            data_centre: "north".to_owned(),
            capacity: TaskDemand { cpu_milli: 16_000, memory_mb: 64_000, accelerators: 0 },
            labels: vec!["a".to_owned(), "r1".to_owned()],
            drain_left_ms,
            responsive: true,
        }
    }

    /// Sends a worker's report. An executor's address is the part of its name after ` at `, or else
    /// the whole name.
    fn report_worker(&mut self, session: u64, report: WorkerReport) {
        let executor = report.worker.executor.clone();
        let place = executor.split_once(" at ").map_or(&*executor, |(_, address)| address);
        let place = Arc::from(place);
        self.send(session, LinkMessage::Worker { report, place });
    }

    pub fn connect_worker(&mut self, session: u64, executor: &str, born: u64) {
        self.report_worker(session, Self::report(executor, born, None));
        self.report_runs(session, &format!("{executor}@{born}"), &[]);
    }

    /// Connects a worker in a data centre other than the usual one, `north`.
    pub fn connect_worker_in(&mut self, session: u64, executor: &str, data_centre: &str) {
        let report = Self::report(executor, 100, None);
        let labels = vec!["a".to_owned(), format!("{data_centre}-rack")];
        let data_centre = data_centre.to_owned();
        self.report_worker(session, WorkerReport { data_centre, labels, ..report });
        self.report_runs(session, &format!("{executor}@100"), &[]);
    }

    /// Lists first runs by their percentage of progress: 0 for starts that are on their way.
    pub fn report_progress(&mut self, session: u64, worker: &str, tasks: &[(&str, u8)]) {
        let report = |(task, percent): &(&str, u8)| RunReport {
            task: task.parse().unwrap(),
            run: RunNumber(1),
            checkpoint: String::new(),
            percent: *percent,
            figure: 0,
        };
        let runs = tasks.iter().map(report).collect();
        self.send(session, LinkMessage::Runs { worker: Self::parse_incarnation(worker), runs });
    }

    /// Reports an executor's new incarnation, before its agent has listed its runs.
    pub fn announce_incarnation(&mut self, session: u64, executor: &str, born: u64) {
        self.report_worker(session, Self::report(executor, born, None));
    }

    /// Reports an executor's present capacity, before its agent has listed its runs.
    pub fn report_capacity(
        &mut self,
        session: u64,
        executor: &str,
        born: u64,
        (cores, memory_mb): (u64, u64),
    ) {
        let capacity = TaskDemand { cpu_milli: cores * 1000, memory_mb, accelerators: 0 };
        let report = WorkerReport { capacity, ..Self::report(executor, born, None) };
        self.report_worker(session, report);
    }

    pub fn report_draining(&mut self, session: u64, executor: &str, born: u64) {
        self.report_worker(session, Self::report(executor, born, Some(2000)));
    }

    /// Reports that the executor does not answer its agent.
    pub fn report_unresponsive(&mut self, session: u64, executor: &str, born: u64) {
        let report = Self::report(executor, born, None);
        self.report_worker(session, WorkerReport { responsive: false, ..report });
    }

    fn call(&mut self, key: u64, call: CallerCall) {
        self.call_queue("/q/", key, call);
    }

    fn call_queue(&mut self, prefix: &str, key: u64, call: CallerCall) {
        let message = self.call_message(prefix, key, call);
        self.send(ENTRY, message);
    }

    fn call_message(&mut self, prefix: &str, key: u64, call: CallerCall) -> LinkMessage {
        self.sequence += 1;
        let (sequence, host, path) = (self.sequence, "h".to_owned(), format!("{prefix}{key:016x}"));
        LinkMessage::Call { sequence, host, path, call }
    }

    /// Submits a job, and fails the oldest sync before the job is proposed. Requires paused syncs.
    pub fn submit_and_fail_sync(&mut self, key: u64, job: JobSpec) {
        let message = self.call_message("/q/", key, CallerCall::Submit(job));
        let submission = ControlEvent::Message { session: SessionId(ENTRY), message };
        let failure = ControlEvent::PersistFailed { number: self.unsynced[0].number };
        for event in [submission, failure] {
            let effects = self.node.reduce(self.now, event);
            effects.into_iter().for_each(|effect| self.record(effect));
        }
    }

    /// Submits jobs that arrive before the next decision.
    pub fn submit_together(&mut self, jobs: Vec<(u64, JobSpec)>) {
        for (key, job) in jobs {
            let message = self.call_message("/q/", key, CallerCall::Submit(job));
            let event = ControlEvent::Message { session: SessionId(ENTRY), message };
            for effect in self.node.reduce(self.now, event) {
                match effect {
                    ControlEffect::Persist(batch) => self.unsynced.push(batch),
                    effect => self.record(effect),
                }
            }
        }
        for batch in std::mem::take(&mut self.unsynced) {
            self.disk.apply(&batch);
            self.step(ControlEvent::Persisted { number: batch.number });
        }
        self.step(ControlEvent::Settle);
    }

    /// Returns how often the process would have ended.
    pub fn halts(&self) -> usize {
        self.halts
    }

    /// Returns the size of the largest entry of the log, in bytes.
    pub fn largest_entry(&self) -> usize {
        let size = |entry: &LogEntry| match &entry.payload {
            EntryPayload::Data(data) => data.len(),
            _ => 0,
        };
        self.disk.entries.iter().map(size).max().unwrap_or(0)
    }

    /// Submits a job to the queue at a path, and returns the answer.
    pub fn submit_to(&mut self, prefix: &str, key: u64, job: JobSpec) -> CallerAnswer {
        self.call_queue(prefix, key, CallerCall::Submit(job));
        self.answers.last().cloned().expect("an answer")
    }

    /// Connects a worker and submits a job before the leader has placed anything on the worker.
    pub fn join_and_submit(
        &mut self,
        executor: &str,
        prefix: &str,
        key: u64,
        job: JobSpec,
    ) -> CallerAnswer {
        let (session, worker) = (SessionId(77), Self::report(executor, 100, None));
        let (place, incarnation) = (Arc::from(executor), worker.worker.clone());
        let runs = LinkMessage::Runs { worker: incarnation, runs: Vec::new() };
        let report = LinkMessage::Worker { report: worker, place };
        for message in [report, runs] {
            let event = ControlEvent::Message { session, message };
            let effects = self.node.reduce(self.now, event);
            effects.into_iter().for_each(|effect| self.record(effect));
        }
        self.submit_to(prefix, key, job)
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    pub fn submit(&mut self, key: u64, job: JobSpec) {
        self.call(key, CallerCall::Submit(job));
    }

    pub fn cancel(&mut self, key: u64) {
        self.call(key, CallerCall::Cancel);
    }

    pub fn phase(&mut self, key: u64) -> String {
        self.call(key, CallerCall::Show);
        match self.answers.last() {
            Some(CallerAnswer::Phase(phase)) => format!("{phase:?}"),
            other => format!("{other:?}"),
        }
    }

    /// Returns the number of pending jobs of the queue.
    pub fn pending(&mut self) -> u64 {
        self.sequence += 1;
        let (host, path) = ("h".to_owned(), "/q/".to_owned());
        let (sequence, call) = (self.sequence, CallerCall::Show);
        self.send(ENTRY, LinkMessage::Call { sequence, host, path, call });
        match self.answers.last() {
            Some(CallerAnswer::Pending(pending)) => *pending,
            other => panic!("{other:?}"),
        }
    }

    fn parse_incarnation(text: &str) -> WorkerIncarnation {
        let (executor, born) = text.split_once('@').unwrap();
        WorkerIncarnation { executor: Arc::from(executor), started_ms: born.parse().unwrap() }
    }

    /// Reports ends in one message: each with its number, task, run and kind.
    pub fn report_ends(&mut self, session: u64, worker: &str, ends: &[(u64, &str, u32, EndKind)]) {
        let report = |(number, task, run, end): &(u64, &str, u32, EndKind)| EndReport {
            number: *number,
            task: task.parse().unwrap(),
            run: RunNumber(*run),
            end: *end,
            checkpoint: String::new(),
        };
        let worker = Self::parse_incarnation(worker);
        let ends = ends.iter().map(report).collect();
        self.send(session, LinkMessage::Ends { worker, ends });
    }

    pub fn report_end(
        &mut self,
        session: u64,
        worker: &str,
        number: u64,
        task: &str,
        run: u32,
        end: EndKind,
    ) {
        self.ended.insert(task.to_owned());
        let (task, run, checkpoint) = (task.parse().unwrap(), RunNumber(run), String::new());
        let ends = vec![EndReport { number, task, run, end, checkpoint }];
        self.send(session, LinkMessage::Ends { worker: Self::parse_incarnation(worker), ends });
    }

    pub fn report_runs(&mut self, session: u64, worker: &str, runs: &[(&str, u32)]) {
        let report = |(task, run): &(&str, u32)| RunReport {
            task: task.parse().unwrap(),
            run: RunNumber(*run),
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        };
        let runs = runs.iter().map(report).collect();
        self.send(session, LinkMessage::Runs { worker: Self::parse_incarnation(worker), runs });
    }

    /// Reports the end of a run together with an empty list of runs, as an agent does: control
    /// decides on both at once.
    pub fn report_end_and_no_runs(&mut self, session: u64, worker: &str, task: &str, run: u32) {
        let (task, run, checkpoint) = (task.parse().unwrap(), RunNumber(run), String::new());
        let ends = vec![EndReport { number: 1, task, run, end: EndKind::Done, checkpoint }];
        let message = LinkMessage::Ends { worker: Self::parse_incarnation(worker), ends };
        let event = ControlEvent::Message { session: SessionId(session), message };
        let effects = self.node.reduce(self.now, event);
        effects.into_iter().for_each(|effect| self.record(effect));
        self.report_runs(session, worker, &[]);
    }

    /// Lists runs with their figures: tail latencies in milliseconds, or thousandths of a core in
    /// use.
    pub fn report_figures(&mut self, session: u64, worker: &str, runs: &[(&str, u32, u64)]) {
        let report = |(task, run, figure): &(&str, u32, u64)| RunReport {
            task: task.parse().unwrap(),
            run: RunNumber(*run),
            checkpoint: String::new(),
            percent: 100,
            figure: *figure,
        };
        let runs = runs.iter().map(report).collect();
        self.send(session, LinkMessage::Runs { worker: Self::parse_incarnation(worker), runs });
    }

    pub fn configure(&mut self, version: u64) {
        self.apply_config(fleet_config(version, 2));
    }

    pub fn apply_config(&mut self, config: FleetConfig) {
        let ticket = ReplyTicket(config.version);
        self.step(ControlEvent::Configure { ticket, config });
    }

    pub fn read_config(&mut self) -> String {
        self.step(ControlEvent::ReadConfig { ticket: ReplyTicket(1000) });
        match self.operator.last() {
            Some(OperatorAnswer::Config(Some(document))) => {
                String::from_utf8(document.clone()).unwrap()
            }
            other => format!("{other:?}"),
        }
    }

    /// Takes the messages that were sent on a stream.
    pub fn take_sent(&mut self, session: u64) -> Vec<LinkMessage> {
        let (taken, left) =
            std::mem::take(&mut self.sent).into_iter().partition(|(at, _)| *at == session);
        self.sent = left;
        let taken: Vec<(u64, LinkMessage)> = taken;
        taken.into_iter().map(|(_, message)| message).collect()
    }

    pub fn starts(&self) -> &[String] {
        &self.starts
    }

    /// Returns the tasks whose first run was started on a worker and was not reported as ended, in
    /// the order of their starts.
    pub fn running_on(&self, worker: &str) -> Vec<String> {
        let suffix = format!(" run 1 on {worker}");
        let started = self.starts.iter().filter_map(|start| start.strip_suffix(&suffix));
        started.filter(|task| !self.ended.contains(*task)).map(str::to_owned).collect()
    }

    pub fn shrinkages(&self) -> &[String] {
        &self.shrinkages
    }

    pub fn stops(&self) -> &[String] {
        &self.stops
    }

    /// Returns the logged ends of runs.
    pub fn ends_logged(&self) -> &[String] {
        &self.ends_logged
    }

    /// Returns the workers that were logged as failing too often.
    pub fn suspected_workers(&self) -> &[String] {
        &self.suspected_workers
    }

    pub fn recorded_up_to(&self) -> u64 {
        self.recorded_up_to
    }

    pub fn answers(&self) -> &[CallerAnswer] {
        &self.answers
    }

    pub fn accepted(&self) -> usize {
        self.answers.iter().filter(|answer| **answer == CallerAnswer::Accepted).count()
    }
}
