//! A control process of one voter, whose surroundings the test plays.

use {
    crate::fixtures::fleet_config,
    base::{EventReducer, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{GroupMember, PersistBatch, QuorumSettings, RecoveredLog},
    std::{sync::Arc, time::Duration},
    workflow::{
        control::{
            ControlEffect, ControlEvent, ControlNode, ControlSettings, OperatorAnswer, SessionId,
        },
        job::{JobSpec, RunNumber, StepSpec, TaskDemand, WorkerLife},
        message::{CallerAnswer, CallerCall, EndReport, LinkMessage, RunReport, WorkerReport},
        state::EndKind,
    },
};

pub const LEASE: Duration = Duration::from_millis(3500);
const ENTRY: u64 = 999;
const STEP: u64 = 20;

/// A step to be.
#[derive(Clone)]
pub struct StepDraft(StepSpec);

impl StepDraft {
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

    pub fn gang(mut self) -> Self {
        self.0.gang = true;
        self
    }

    pub fn filler(mut self) -> Self {
        self.0.filler = true;
        self
    }

    pub fn image(mut self, name: &str) -> Self {
        self.0.image = Some(Arc::from(name));
        self
    }

    pub fn saves(mut self) -> Self {
        self.0.checkpointing = true;
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

pub fn job(steps: &[StepDraft]) -> JobSpec {
    let steps = steps.iter().map(|draft| draft.0.clone()).collect();
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// The process and what came out of it.
pub struct ControlDesk {
    node: ControlNode,
    now: Duration,
    sequence: u64,
    holding: bool,
    held: Vec<PersistBatch>,
    starts: Vec<String>,
    stops: Vec<String>,
    answers: Vec<CallerAnswer>,
    noted: u64,
    operator: Vec<OperatorAnswer>,
    /// What the last answer to a ping granted a lease for.
    pub leased: Option<String>,
}

impl ControlDesk {
    /// A leader with one queue, at path `/q/` of host `h`.
    pub fn start() -> Self {
        let replica = ReplicaId(1);
        let address = PeerAddress("127.0.0.1:1".parse().unwrap());
        let quorum = QuorumSettings {
            replica,
            founders: vec![GroupMember { replica, address, voter: true }],
            election_timeout: Duration::from_millis(600),
            heartbeat: Duration::from_millis(100),
            batch_bytes: 1 << 20,
            in_flight: 8,
            pending: 1000,
            snapshot_chunk: 1 << 16,
            snapshot_every: 10_000,
        };
        let retention = Duration::from_secs(60);
        let settings = ControlSettings { quorum, lease: LEASE, retention, tolerated_losses: 0 };
        let node = ControlNode::new(settings, RecoveredLog::default(), Duration::ZERO, 1).unwrap();
        let mut desk = Self {
            node,
            now: Duration::ZERO,
            sequence: 0,
            holding: false,
            held: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            answers: Vec::new(),
            noted: 0,
            operator: Vec::new(),
            leased: None,
        };
        desk.advance(1500);
        assert!(desk.node.is_leader());
        desk.configure(1);
        desk
    }

    fn step(&mut self, event: ControlEvent) {
        let mut events = vec![event, ControlEvent::Settle];
        while !events.is_empty() {
            let mut persisted = Vec::new();
            for event in events.drain(..) {
                for effect in self.node.reduce(self.now, event) {
                    if let ControlEffect::Persist(batch) = effect {
                        persisted.push(batch);
                    } else {
                        self.take(effect);
                    }
                }
            }
            if self.holding {
                self.held.extend(persisted);
                return;
            }
            let reports = persisted.iter().map(|b| ControlEvent::Persisted { number: b.number });
            events.extend(reports);
            if !events.is_empty() {
                events.push(ControlEvent::Settle);
            }
        }
    }

    fn take(&mut self, effect: ControlEffect) {
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
            ControlEffect::Send { message: LinkMessage::EndsNoted { up_to, .. }, .. } => {
                self.noted = up_to;
            }
            ControlEffect::Send { message: LinkMessage::Pong { leased, .. }, .. } => {
                self.leased = leased.map(|life| life.to_string());
            }
            ControlEffect::Answer { answer, .. } => self.operator.push(answer),
            _ => {}
        }
    }

    /// Syncs nothing while `holding`, and then everything.
    pub fn hold_syncs(&mut self, holding: bool) {
        self.holding = holding;
        for batch in std::mem::take(&mut self.held) {
            self.step(ControlEvent::Persisted { number: batch.number });
        }
    }

    pub fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds.div_ceil(STEP) {
            self.now += Duration::from_millis(STEP);
            self.step(ControlEvent::Tick { wall_ms: 1_000_000 + self.now.as_millis() as u64 });
        }
    }

    /// Lets time pass in which an agent renews its lease.
    pub fn keep_alive(&mut self, session: u64, milliseconds: u64) {
        for _ in 0..milliseconds / 200 {
            self.advance(200);
            self.send(session, LinkMessage::Ping { sequence: 1 });
        }
    }

    pub fn send(&mut self, session: u64, message: LinkMessage) {
        self.step(ControlEvent::Message { session: SessionId(session), message });
    }

    pub fn close(&mut self, session: u64) {
        self.step(ControlEvent::Closed { session: SessionId(session) });
    }

    fn report(executor: &str, born: u64, drain_left_ms: Option<u64>) -> WorkerReport {
        WorkerReport {
            worker: WorkerLife { executor: Arc::from(executor), born },
            service: "s".to_owned(),
            data_centre: "north".to_owned(),
            capacity: TaskDemand { cpu_milli: 16_000, memory_mb: 64_000, accelerators: 0 },
            labels: vec!["a".to_owned(), "r1".to_owned()],
            drain_left_ms,
            responsive: true,
        }
    }

    /// Each executor of a test answers in a place of its own, unless it is named after one.
    fn describe(&mut self, session: u64, report: WorkerReport) {
        let executor = report.worker.executor.clone();
        let place = executor.split_once(" at ").map_or(&*executor, |(_, place)| place);
        let place = Arc::from(place);
        self.send(session, LinkMessage::Worker { report, place });
    }

    pub fn worker(&mut self, session: u64, executor: &str, born: u64) {
        self.describe(session, Self::report(executor, born, None));
        self.runs(session, &format!("{executor}@{born}"), &[]);
    }

    /// A life of an executor, before its agent has listed its runs.
    pub fn announce(&mut self, session: u64, executor: &str, born: u64) {
        self.describe(session, Self::report(executor, born, None));
    }

    pub fn drain(&mut self, session: u64, executor: &str, born: u64) {
        self.describe(session, Self::report(executor, born, Some(2000)));
    }

    fn call(&mut self, key: u64, call: CallerCall) {
        self.sequence += 1;
        let (sequence, host, path) = (self.sequence, "h".to_owned(), format!("/q/{key:016x}"));
        self.send(ENTRY, LinkMessage::Call { sequence, host, path, call });
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

    fn life(text: &str) -> WorkerLife {
        let (executor, born) = text.split_once('@').unwrap();
        WorkerLife { executor: Arc::from(executor), born: born.parse().unwrap() }
    }

    pub fn end(
        &mut self,
        session: u64,
        worker: &str,
        number: u64,
        task: &str,
        run: u32,
        end: EndKind,
    ) {
        let (task, run, checkpoint) = (task.parse().unwrap(), RunNumber(run), String::new());
        let ends = vec![EndReport { number, task, run, end, checkpoint }];
        self.send(session, LinkMessage::Ends { worker: Self::life(worker), ends });
    }

    pub fn runs(&mut self, session: u64, worker: &str, runs: &[(&str, u32)]) {
        let report = |(task, run): &(&str, u32)| RunReport {
            task: task.parse().unwrap(),
            run: RunNumber(*run),
            checkpoint: String::new(),
            percent: 50,
            figure: 0,
        };
        let runs = runs.iter().map(report).collect();
        self.send(session, LinkMessage::Runs { worker: Self::life(worker), runs });
    }

    /// Lists runs with their figures: tail latencies, or thousandths of a core in use.
    pub fn figures(&mut self, session: u64, worker: &str, runs: &[(&str, u32, u64)]) {
        let report = |(task, run, figure): &(&str, u32, u64)| RunReport {
            task: task.parse().unwrap(),
            run: RunNumber(*run),
            checkpoint: String::new(),
            percent: 100,
            figure: *figure,
        };
        let runs = runs.iter().map(report).collect();
        self.send(session, LinkMessage::Runs { worker: Self::life(worker), runs });
    }

    pub fn configure(&mut self, version: u64) {
        let ticket = ReplyTicket(version);
        let config = fleet_config(version, 2);
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

    pub fn starts(&self) -> &[String] {
        &self.starts
    }

    pub fn stops(&self) -> &[String] {
        &self.stops
    }

    pub fn noted(&self) -> u64 {
        self.noted
    }

    pub fn accepted(&self) -> usize {
        self.answers.iter().filter(|answer| **answer == CallerAnswer::Accepted).count()
    }
}
