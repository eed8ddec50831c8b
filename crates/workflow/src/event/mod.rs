//! The log lines of the deployed processes: one for each decision and each change of what a process
//! assumes about another.
//!
//! The catalogue is in `docs/EVENTS-DEPLOYED.md`. The number of a removed event is never reused.

mod ends;

pub use ends::{
    EndFact, ExecutorFact, FactSource, FormerRun, LossProof, OutdatedCause, ReportFact,
};

use {
    crate::{
        job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
        state::{DataCentreName, EndKind, JobOutcome},
    },
    serde::{Serialize, Serializer},
    std::{fmt::Display, sync::Arc},
};

/// The reason why control considers a worker's runs ended without a report of their ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum LossReason {
    /// The worker's lease has expired.
    LeaseExpired,
    /// A new incarnation of the executor has started.
    #[serde(rename = "NewLife")]
    NewIncarnation,
    /// Another executor answers at the worker's address.
    Replaced,
    /// The worker's agent reported the end of the incarnation.
    Ended,
}

/// The reason why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum StopReason {
    /// The run's job has ended.
    JobEnded,
    /// The log does not place the run on this worker, or the run's job has ended.
    Superseded,
    /// Another member of the run's gang has ended.
    GangBroken,
    /// The run's worker drains.
    WorkerDraining,
    /// The run keeps a latency-critical task beside it above its target.
    Interferes,
    /// The run's worker has shrunk below what is reserved there.
    WorkerShrunk,
    /// Elsewhere, the run closes fewer workers to best-effort work.
    Relocated,
    /// The data centre of the run's worker is cordoned, and the run's start was not confirmed.
    DataCentreCordoned,
}

/// The reason why a task of an open step is not placed. Of the workers, the one that is nearest to
/// taking the task decides: the greatest cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub enum WaitCause {
    /// An executor has crashed under the task's job, and the job is held until more is known.
    HeldAfterCrash,
    /// The suspected job waits for an executor on which it is tried, or until the runs of other jobs
    /// there have settled.
    Trial,
    /// The task moves to a worker that is kept for it, and does not fit there yet.
    MoveTarget,
    /// Another member of the task's gang is still placed, or done.
    GangMemberPlaced,
    /// No worker of the service accepts tasks: all are draining, unresponsive, cordoned, without a
    /// lease, or have not listed their runs.
    NoWorker,
    /// No worker that accepts tasks has the label that the step requires.
    RequiredLabel,
    /// The other workers run as many tasks of the step as they may.
    WorkerLimit,
    /// No worker has the idle processors that a best-effort task needs.
    IdleProcessors,
    /// No worker has enough free capacity.
    FreeCapacity,
    /// The latency-critical tasks of the other workers have no headroom for a best-effort task.
    Headroom,
    /// The other workers are kept for a trial, a move, a displaced task or a reservation.
    HeldForOthers,
    /// Workers take members of the gang, and not all of them at once.
    GangCapacity,
    /// A worker takes the task, and the last pass did not place it.
    NotOffered,
}

/// How the last run of a waiting task has ended, as far as the leader knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum LastRunEnd {
    /// The task was never placed.
    NeverPlaced,
    /// The log held the end when this leadership began. It does not hold how the run has ended, nor
    /// who has stopped it.
    BeforeLeadership,
    /// This leader has recorded the end.
    Recorded(EndKind),
}

/// What a leader hears of a worker's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum AgentPresence {
    /// The agent is connected and represents the incarnation.
    Connected,
    /// The agent represents another incarnation of the executor.
    OtherIncarnation,
    /// No agent represents the executor.
    Absent,
}

/// The reason why capacity is no longer kept for a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum ReservationEnd {
    /// All tasks of the step have started.
    Met,
    /// The capacity has not come free within twice the forecast time.
    GivenUp,
    /// Other steps come first, or the waiting part of the step has become small.
    Superseded,
    /// The job has ended.
    JobEnded,
}

/// An event, with the inputs of the decision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "event")]
pub enum FlowEvent {
    /// A process has started.
    Started {
        /// The role of the process.
        role: &'static str,
        /// The name of the process.
        name: String,
        /// The data centre of the process.
        data_centre: String,
    },
    /// A process stops.
    Stopping {
        /// The number of open items that the process still has to finish.
        open: usize,
    },
    /// A process has read its settings again.
    Reloaded {
        /// Whether the settings are valid.
        accepted: bool,
    },
    /// A process has reached the leader.
    LeaderReached {
        /// The leader's address.
        address: String,
        /// The term of the leadership.
        term: u64,
    },
    /// A process has lost the leader.
    LeaderLost {
        /// The leader's former address.
        address: String,
        /// The reason.
        reason: String,
    },
    /// This process has become the leader.
    LeadTaken {
        /// The term.
        term: u64,
        /// The number of active jobs.
        active_jobs: usize,
    },
    /// This process no longer leads.
    LeadLost {
        /// The term.
        term: u64,
        /// The number of proposals with an unknown outcome.
        unresolved: usize,
    },
    /// A configuration is in the log. It takes effect only if its version is higher than that of
    /// the one in force.
    ConfigAccepted {
        /// The version of the configuration.
        version: u64,
        /// The number of queues in the configuration.
        queues: usize,
    },
    /// A configuration was refused.
    ConfigRefused {
        /// The reason.
        reason: String,
    },
    /// A job is in the log.
    JobAccepted {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// The job's queue.
        queue: String,
        /// The number of tasks in one occurrence of the job.
        tasks: u32,
        /// The version of the configuration that applied.
        config: u64,
    },
    /// A job was refused.
    JobRefused {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// The reason.
        reason: String,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// The outcome.
        outcome: JobOutcome,
        /// Milliseconds since the job was accepted.
        after_ms: u64,
    },
    /// A job was cancelled before it was submitted. A later submission is refused.
    JobWithdrawn {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
    },
    /// A job was refused because it could not end in time, and its caller was told when to retry.
    JobDeferred {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// The job's queue.
        queue: String,
        /// The time for which the job would wait at least, in milliseconds.
        wait_ms: u64,
        /// The longest wait after which the job could still end in time, in milliseconds.
        limit_ms: u64,
        /// The age of the survey of accepted work, in milliseconds.
        survey_age_ms: u64,
        /// The time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A task was placed.
    TaskPlaced {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// Milliseconds since the job was accepted.
        after_ms: u64,
        /// The number of earlier runs of the task that failed.
        failures: u32,
        /// The end of the run before; `None` for a first run, and if no replicated entry since this
        /// process began has held it.
        former: Option<FormerRun>,
    },
    /// The leader has learned from the run times of a queue.
    RunTimesLearned {
        /// The queue.
        queue: String,
        /// The number of steps that this leader has learned from.
        steps: u64,
        /// The typical deviation of callers' estimates from the observed run times, in percent.
        estimate_error_percent: u32,
        /// The same of the forecasts that were made when the first task of a step was placed.
        forecast_error_percent: u32,
    },
    /// A job has failed because one of its tasks has used up its attempts.
    JobFailed {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The task's last run.
        run: RunNumber,
        /// The number of failures that are counted for the task.
        failures: u32,
        /// The number of failures that fails the job.
        attempt_limit: u32,
        /// The failures that are no failed runs: the attempts that were left when the task was given
        /// up because executors crash under it.
        written_off: u32,
        /// The number of executors that have crashed under the task.
        crashes: u32,
        /// The number of executors that have crashed when the task may have begun.
        unclear_crashes: u32,
    },
    /// A task waits although its step is open.
    TaskWaiting {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The task's last run; 0 for none.
        run: RunNumber,
        /// The time for which this leader has known that the task waits, in milliseconds.
        waited_ms: u64,
        /// Why the last pass did not place the task.
        cause: WaitCause,
        /// How the last run has ended.
        last_end: LastRunEnd,
        /// Why this leader has stopped that run; `None` if it has not.
        stopped_for: Option<StopReason>,
        /// Whether the log holds that the task waits; if not, the end of the run is only proposed.
        logged: bool,
    },
    /// A placed run is not confirmed: no list shows it at work, or a stop has not ended it.
    RunUnconfirmed {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The worker on which the run is placed.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The time for which the run has been so, in milliseconds.
        unconfirmed_ms: u64,
        /// Whether the log holds the placement; if not, it is only proposed.
        logged: bool,
        /// Whether this leader has ordered the run.
        ordered: bool,
        /// Whether this leader has seen the run at work.
        at_work: bool,
        /// The age of the last list with the run, in milliseconds; `None` if there was none.
        listed_ms_ago: Option<u64>,
        /// Why this leader has ordered the run to stop; `None` if it has not.
        stopped_for: Option<StopReason>,
        /// What the leader hears of the worker's agent.
        agent: AgentPresence,
        /// The age of the last list of the executor's runs, in milliseconds; `None` if there was
        /// none.
        list_ms_ago: Option<u64>,
        /// The time until the worker's lease expires, in milliseconds; 0 if this leader knows of
        /// none.
        lease_left_ms: u64,
    },
    /// A run has ended.
    RunEnded {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// How the run ended.
        end: EndKind,
        /// The fact by which the run counts as ended.
        fact: EndFact,
        /// Where the fact comes from.
        source: FactSource,
        /// The time since this leader has last ordered the run, in milliseconds; `None` if it has
        /// not.
        ordered_ms_ago: Option<u64>,
        /// The age of the last list with the run, in milliseconds; `None` if this leader has seen
        /// none.
        listed_ms_ago: Option<u64>,
    },
    /// Control has ordered a run to stop.
    RunStopped {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The reason.
        reason: StopReason,
    },
    /// Capacity of workers is kept for a step that needs much at once.
    ReservationMade {
        /// The first waiting task of the step.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The number of waiting tasks.
        tasks: usize,
        /// The number of workers.
        workers: usize,
        /// The forecast time until the first task, or the whole gang, can start, in milliseconds.
        ready_ms: u64,
        /// The time that the job has waited, in milliseconds.
        waited_ms: u64,
    },
    /// Capacity is no longer kept for a step.
    ReservationDropped {
        /// The task that [`FlowEvent::ReservationMade`] named.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The number of tasks that were waiting when capacity was last kept.
        tasks: usize,
        /// The reason.
        end: ReservationEnd,
        /// The time for which capacity was kept, in milliseconds.
        held_ms: u64,
    },
    /// A latency-critical run is stopped to be moved.
    RunRelocated {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        #[serde(serialize_with = "as_text")]
        run: RunNumber,
        /// The worker that it leaves.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The executor that takes the task.
        target: Arc<str>,
        /// What the move, with the one in exchange for it, opens to best-effort work, in percent of
        /// an average worker.
        gain_percent: u32,
    },
    /// An agent has described a worker: for the first time, after a change, or to a new leader.
    WorkerSeen {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The worker's service.
        service: String,
        /// The least time until a draining worker ends, in milliseconds; `None` while it does not
        /// drain.
        drain_left_ms: Option<u64>,
        /// The number of the agent's stream.
        stream: u64,
    },
    /// The stream to a worker's agent has ended.
    WorkerUnreachable {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The time until the worker's lease expires, in milliseconds.
        lease_left_ms: u64,
        /// The number of the stream.
        stream: u64,
    },
    /// Control considers all runs of a worker ended.
    WorkerLost {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The reason why this is certain.
        reason: LossReason,
        /// The fact behind the reason.
        proof: LossProof,
        /// Where the fact comes from.
        source: FactSource,
        /// The time since the worker's agent last had its lease renewed, in milliseconds; `None` if
        /// this leader has renewed none.
        renewed_ms_ago: Option<u64>,
        /// The number of the worker's runs.
        runs: usize,
    },
    /// A worker has failed several runs in a row, and placement avoids it.
    WorkerSuspect {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
    },
    /// An executor has crashed, and the runs that may have caused it are counted.
    ExecutorCrashed {
        /// The crashed incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The number of its runs.
        runs: usize,
        /// The tasks that may have caused it.
        #[serde(serialize_with = "as_texts")]
        suspects: Vec<TaskKey>,
        /// Whether all of these are tasks of one job.
        one_job: bool,
    },
    /// A task is given up, and its job fails: executors crash under it.
    TaskGivenUp {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The number of executors that have crashed under the task.
        crashes: u32,
        /// The last of them.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
    },
    /// A worker has less of some resource than before, or than is reserved there when a leader first
    /// hears of it.
    WorkerShrunk {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// Thousandths of a processor core that the worker has now.
        cpu_milli: u64,
        /// Megabytes of memory that the worker has now.
        memory_mb: u64,
        /// Accelerators that the worker has now.
        accelerators: u64,
        /// Whether the worker's tasks have reserved more, so that it gets no other.
        overfull: bool,
    },
    /// The leader has requested a change of the control group.
    MemberChange {
        /// The replica.
        replica: u64,
        /// The address on which the replica listens.
        address: String,
        /// The change.
        change: &'static str,
    },
    /// A write to disk has failed.
    StorageFailed {
        /// The reason.
        reason: String,
    },
    /// No leader reaches this control process, which has no vote. It asks whether it is still a member.
    MemberUnreached {
        /// The replica.
        replica: u64,
        /// The time since a leader last reached it, in milliseconds.
        silent_ms: u64,
    },
    /// Another control process has given no sign of life on the stream to it, which is replaced.
    PeerSilent {
        /// The address of the process.
        address: String,
    },
    /// An agent reports the end of a run to control, for the first time.
    EndReported {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The executor's incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// How the run ended.
        end: EndKind,
        /// The executor's number of the end; 0 if the executor has not listed it.
        number: u64,
        /// The fact on which the report rests.
        fact: ReportFact,
        /// The time since the order for the run arrived, in milliseconds; `None` if this process has
        /// none.
        ordered_ms_ago: Option<u64>,
        /// The time since the executor was asked for the answer on which the report rests, in
        /// milliseconds; `None` without such an answer.
        asked_ms_ago: Option<u64>,
        /// Whether a leader is connected. If not, the next one is told.
        connected: bool,
    },
    /// An agent considers an incarnation of its executor ended.
    ExecutorEnded {
        /// The incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The fact.
        fact: ExecutorFact,
        /// The age of the fact, in milliseconds.
        age_ms: u64,
        /// Whether the agent reports the end by itself. If not, control settles the runs by the lists
        /// of the next incarnation.
        reported: bool,
    },
    /// An agent has received an order to start a run that is over.
    OrderOutdated {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The executor's incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// What the agent knows of the run.
        cause: OutdatedCause,
    },
    /// The executor beside an agent answers, or answers again.
    ExecutorReached {
        /// The executor's incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
    },
    /// The executor beside an agent does not answer.
    ExecutorSilent {
        /// The executor's incarnation.
        #[serde(serialize_with = "as_text")]
        worker: WorkerIncarnation,
        /// The reason.
        reason: String,
    },
    /// The agent has changed the throttle of a worker's best-effort tasks.
    FillersPaced {
        /// The share of their speed at which the tasks run, in percent.
        percent: u8,
        /// The tail latency that led to the change, in milliseconds.
        tail_ms: u64,
        /// The latency target, in milliseconds.
        target_ms: u64,
    },
    /// The executor, or its agent while the executor drains, has refused a start.
    StartRefused {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The reason.
        reason: String,
    },
    /// A caller's request was not fulfilled.
    CallFailed {
        /// The path that the caller requested.
        path: String,
        /// The status that the caller received.
        status: u16,
        /// The reason.
        reason: String,
        /// The time that the request waited, in milliseconds.
        held_ms: u64,
    },
    /// A message was refused.
    MessageRefused {
        /// The sender.
        from: String,
        /// The reason.
        reason: String,
    },
    /// Log lines were dropped to bound the volume.
    LinesDropped {
        /// The number of dropped lines.
        count: u64,
    },
    /// A data centre is cordoned, by a cordon that is in the log.
    CordonSet {
        /// The data centre.
        #[serde(serialize_with = "as_text")]
        data_centre: DataCentreName,
        /// Whether it was cordoned before.
        repeated: bool,
        /// The number of its workers whose agents are connected.
        workers: usize,
        /// The number of runs on these workers.
        runs: usize,
        /// Milliseconds from the request to its commit.
        elapsed_ms: u64,
    },
    /// The cordon of a data centre is lifted, by an entry that is in the log.
    CordonLifted {
        /// The data centre.
        #[serde(serialize_with = "as_text")]
        data_centre: DataCentreName,
        /// Whether it was not cordoned before.
        repeated: bool,
        /// The number of its workers whose agents are connected.
        workers: usize,
        /// The number of runs on these workers.
        runs: usize,
        /// Milliseconds from the request to its commit.
        elapsed_ms: u64,
    },
    /// A job waits because only cordoned data centres have what one of its steps asks for.
    JobBlocked {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// The step's position in the job.
        step: u16,
        /// The label that the step requires; `None` if every worker of the service would do.
        label: Option<String>,
        /// One of the data centres.
        data_centre: String,
    },
}

/// The numbers of warnings and errors.
const WARNING_NUMBERS: [u16; 24] = [
    5004, 5006, 5008, 5011, 5013, 5015, 5023, 5024, 5025, 5029, 5031, 5032, 5033, 5035, 5038, 5041,
    5043, 5044, 5045, 5046, 5050, 5051, 5052, 5062,
];

impl FlowEvent {
    /// Returns the event's number in the catalogue.
    pub fn number(&self) -> u16 {
        self.line().0
    }

    /// Returns the event's name in the catalogue.
    pub fn name(&self) -> &'static str {
        self.line().1
    }

    /// Returns whether the event is a warning or an error.
    pub fn is_warning(&self) -> bool {
        WARNING_NUMBERS.contains(&self.number())
    }

    fn line(&self) -> (u16, &'static str) {
        match self {
            Self::Started { .. } => (5000, "Started"),
            Self::Stopping { .. } => (5001, "Stopping"),
            Self::Reloaded { .. } => (5002, "Reloaded"),
            Self::LeaderReached { .. } => (5003, "LeaderReached"),
            Self::LeaderLost { .. } => (5004, "LeaderLost"),
            Self::LeadTaken { .. } => (5005, "LeadTaken"),
            Self::LeadLost { .. } => (5006, "LeadLost"),
            Self::ConfigAccepted { .. } => (5007, "ConfigAccepted"),
            Self::ConfigRefused { .. } => (5008, "ConfigRefused"),
            Self::JobAccepted { .. } => (5010, "JobAccepted"),
            Self::JobRefused { .. } => (5011, "JobRefused"),
            Self::JobEnded { .. } => (5012, "JobEnded"),
            Self::JobDeferred { .. } => (5013, "JobDeferred"),
            Self::RunTimesLearned { .. } => (5014, "RunTimesLearned"),
            Self::JobFailed { .. } => (5015, "JobFailed"),
            Self::JobWithdrawn { .. } => (5016, "JobWithdrawn"),
            Self::TaskPlaced { .. } => (5020, "TaskPlaced"),
            Self::RunEnded { .. } => (5021, "RunEnded"),
            Self::RunStopped { .. } => (5022, "RunStopped"),
            Self::StartRefused { .. } => (5023, "StartRefused"),
            Self::ExecutorCrashed { .. } => (5024, "ExecutorCrashed"),
            Self::TaskGivenUp { .. } => (5025, "TaskGivenUp"),
            Self::ReservationMade { .. } => (5026, "ReservationMade"),
            Self::ReservationDropped { .. } => (5027, "ReservationDropped"),
            Self::RunRelocated { .. } => (5028, "RunRelocated"),
            Self::TaskWaiting { .. } => (5029, "TaskWaiting"),
            Self::WorkerSeen { .. } => (5030, "WorkerSeen"),
            Self::WorkerUnreachable { .. } => (5031, "WorkerUnreachable"),
            Self::WorkerLost { .. } => (5032, "WorkerLost"),
            Self::WorkerSuspect { .. } => (5033, "WorkerSuspect"),
            Self::ExecutorReached { .. } => (5034, "ExecutorReached"),
            Self::ExecutorSilent { .. } => (5035, "ExecutorSilent"),
            Self::FillersPaced { .. } => (5036, "FillersPaced"),
            Self::WorkerShrunk { .. } => (5037, "WorkerShrunk"),
            Self::RunUnconfirmed { .. } => (5038, "RunUnconfirmed"),
            Self::MemberChange { .. } => (5040, "MemberChange"),
            Self::StorageFailed { .. } => (5041, "StorageFailed"),
            Self::EndReported { .. } => (5042, "EndReported"),
            Self::ExecutorEnded { .. } => (5043, "ExecutorEnded"),
            Self::OrderOutdated { .. } => (5044, "OrderOutdated"),
            Self::PeerSilent { .. } => (5045, "PeerSilent"),
            Self::MemberUnreached { .. } => (5046, "MemberUnreached"),
            Self::CallFailed { .. } => (5050, "CallFailed"),
            Self::MessageRefused { .. } => (5051, "MessageRefused"),
            Self::LinesDropped { .. } => (5052, "LinesDropped"),
            Self::CordonSet { .. } => (5060, "CordonSet"),
            Self::CordonLifted { .. } => (5061, "CordonLifted"),
            Self::JobBlocked { .. } => (5062, "JobBlocked"),
        }
    }
}

/// Serializes an identifier as its `Display` text, by which people and callers name it.
fn as_text<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}

/// Serializes identifiers as the list of their `Display` texts.
fn as_texts<T: Display, S: Serializer>(values: &[T], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(values.iter().map(T::to_string))
}
