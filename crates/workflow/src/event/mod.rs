//! The log lines of the deployed processes: one for each decision and each change of belief.
//!
//! The catalogue is in `docs/EVENTS-DEPLOYED.md`. Numbers are never used again for another event.

use {
    crate::{
        job::{JobKey, RunNumber, TaskKey, WorkerLife},
        state::{EndKind, JobOutcome},
    },
    serde::{Serialize, Serializer},
    std::fmt::Display,
};

/// Why a worker's runs are taken for ended without its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum LossReason {
    /// Its lease has run out.
    LeaseExpired,
    /// The executor has begun a new life.
    NewLife,
    /// Another executor answers in its place.
    Replaced,
    /// Its agent saw it end.
    Ended,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum StopReason {
    /// Its job has ended.
    JobEnded,
    /// It is not the task's current run on that worker.
    Superseded,
    /// Its worker is leaving.
    WorkerDraining,
    /// It keeps a serving task beside it above its target.
    Interferes,
}

/// An event with the inputs that decided it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
#[serde(tag = "event")]
pub enum FlowEvent {
    /// A process has started.
    Started {
        /// Its role.
        role: &'static str,
        /// Its name.
        name: String,
        /// Its data centre.
        data_centre: String,
    },
    /// A process stops.
    Stopping {
        /// What it still has to finish.
        open: usize,
    },
    /// The settings were read again.
    Reloaded {
        /// Whether they could be used.
        accepted: bool,
    },
    /// A process reaches the leader.
    LeaderReached {
        /// Where.
        address: String,
        /// The term of its lead.
        term: u64,
    },
    /// A process has lost the leader.
    LeaderLost {
        /// Where it was.
        address: String,
        /// Why.
        reason: String,
    },
    /// This process leads.
    LeadTaken {
        /// The term.
        term: u64,
        /// The known jobs that are active.
        active_jobs: usize,
    },
    /// This process leads no more.
    LeadLost {
        /// The term.
        term: u64,
        /// Proposals whose fate it doesn't know.
        unresolved: usize,
    },
    /// A configuration is in force.
    ConfigAccepted {
        /// Its version.
        version: u64,
        /// The number of its queues.
        queues: usize,
    },
    /// A configuration was refused.
    ConfigRefused {
        /// Why.
        reason: String,
    },
    /// A job is stored.
    JobAccepted {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// Its queue.
        queue: String,
        /// The number of its tasks.
        tasks: u32,
        /// The configuration that decided.
        config: u64,
    },
    /// A job was not stored.
    JobRefused {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// Why.
        reason: String,
    },
    /// A job has ended.
    JobEnded {
        /// The job.
        #[serde(serialize_with = "as_text")]
        job: JobKey,
        /// How.
        outcome: JobOutcome,
        /// Milliseconds since it was accepted.
        after_ms: u64,
    },
    /// A task was placed.
    TaskPlaced {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// Milliseconds since its job was accepted.
        after_ms: u64,
        /// Runs of the task that failed before.
        failures: u32,
    },
    /// A run has ended.
    RunEnded {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// How.
        end: EndKind,
    },
    /// A run is told to stop.
    RunStopped {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// Why.
        reason: StopReason,
    },
    /// A worker is known, or has changed.
    WorkerSeen {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// Its service.
        service: String,
        /// While it drains, the least time left, in milliseconds.
        drain_left_ms: Option<u64>,
    },
    /// The agent of a worker is out of reach.
    WorkerUnreachable {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// The time until its lease ends, in milliseconds.
        lease_left_ms: u64,
    },
    /// A worker runs nothing of what it was given.
    WorkerLost {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// Why that is certain.
        reason: LossReason,
        /// The number of its runs.
        runs: usize,
    },
    /// A worker fails what others don't, and is avoided.
    WorkerSuspect {
        /// The worker.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
    },
    /// The group of control processes is changed.
    MemberChange {
        /// The replica.
        replica: u64,
        /// Where it listens.
        address: String,
        /// What is done to it.
        change: &'static str,
    },
    /// The disk could not be written.
    StorageFailed {
        /// Why.
        reason: String,
    },
    /// The executor beside an agent answers, or answers again.
    ExecutorReached {
        /// Its life.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
    },
    /// The executor beside an agent does not answer.
    ExecutorSilent {
        /// Its life.
        #[serde(serialize_with = "as_text")]
        worker: WorkerLife,
        /// Why.
        reason: String,
    },
    /// The filling tasks of a worker are paced.
    FillersPaced {
        /// The share at which they work, in percent.
        percent: u8,
        /// The tail latency that decided, in milliseconds.
        tail_ms: u64,
        /// Its target, in milliseconds.
        target_ms: u64,
    },
    /// A start was refused by the executor.
    StartRefused {
        /// The task.
        #[serde(serialize_with = "as_text")]
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Why.
        reason: String,
    },
    /// A caller's request was not answered as asked.
    CallFailed {
        /// The path that was called.
        path: String,
        /// The status that was answered.
        status: u16,
        /// Why.
        reason: String,
        /// How long it was held, in milliseconds.
        held_ms: u64,
    },
    /// A message could not be read.
    MessageRefused {
        /// Who sent it.
        from: String,
        /// Why.
        reason: String,
    },
    /// Lines were left out to keep the volume bounded.
    LinesDropped {
        /// How many.
        count: u64,
    },
}

impl FlowEvent {
    /// The event's number in the catalogue.
    pub fn number(&self) -> u16 {
        self.line().0
    }

    /// The event's name in the catalogue.
    pub fn name(&self) -> &'static str {
        self.line().1
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
            Self::TaskPlaced { .. } => (5020, "TaskPlaced"),
            Self::RunEnded { .. } => (5021, "RunEnded"),
            Self::RunStopped { .. } => (5022, "RunStopped"),
            Self::StartRefused { .. } => (5023, "StartRefused"),
            Self::WorkerSeen { .. } => (5030, "WorkerSeen"),
            Self::WorkerUnreachable { .. } => (5031, "WorkerUnreachable"),
            Self::WorkerLost { .. } => (5032, "WorkerLost"),
            Self::WorkerSuspect { .. } => (5033, "WorkerSuspect"),
            Self::ExecutorReached { .. } => (5034, "ExecutorReached"),
            Self::ExecutorSilent { .. } => (5035, "ExecutorSilent"),
            Self::FillersPaced { .. } => (5036, "FillersPaced"),
            Self::MemberChange { .. } => (5040, "MemberChange"),
            Self::StorageFailed { .. } => (5041, "StorageFailed"),
            Self::CallFailed { .. } => (5050, "CallFailed"),
            Self::MessageRefused { .. } => (5051, "MessageRefused"),
            Self::LinesDropped { .. } => (5052, "LinesDropped"),
        }
    }
}

/// Writes an identifier the way people and callers name it.
fn as_text<T: Display, S: Serializer>(value: &T, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(value)
}
