//! What the log carries, and what became of it.

use {
    super::{StateError, StateSnafu},
    crate::{
        job::{FleetConfig, JobKey, JobSpec, RunNumber, TaskKey, WorkerLife},
        plan::LearnedPair,
    },
    serde::{Deserialize, Serialize},
    snafu::ResultExt,
    std::sync::Arc,
};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CommandBatch {
    /// Milliseconds that the leader has seen pass since its batch before.
    pub elapsed_ms: u64,
    /// The commands, applied in order.
    pub commands: Vec<FlowCommand>,
}

impl CommandBatch {
    /// Reads an entry of the log.
    pub fn from_bytes(data: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(data).context(StateSnafu)
    }

    /// Writes an entry of the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }
}

/// A job with what its queue said when it was handed in.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The job's key.
    pub job: JobKey,
    /// The queue.
    pub queue: String,
    /// The service whose executors run it.
    pub service: String,
    /// 0 is the most urgent.
    pub priority: u32,
    /// How often a task may fail.
    pub attempt_limit: u32,
    /// What is to be run.
    pub spec: Arc<JobSpec>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is complete.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// Its gang did not come together.
    Alone,
    /// The worker refused to start it.
    Refused,
}

/// A change of the applied state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FlowCommand {
    /// Puts a configuration in force if its version is the highest.
    Configure(FleetConfig),
    /// Sets how long ended jobs are known.
    RetainFor {
        /// Milliseconds after a job's end.
        retention_ms: u64,
    },
    /// Accepts a job.
    Submit(Submission),
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobKey,
    },
    /// Keeps what a leader has learned of images, for the next one to begin with.
    KeepLearned(Vec<LearnedPair>),
    /// Notes where an executor answers: only one at a time can.
    Locate {
        /// The executor.
        executor: Arc<str>,
        /// Where.
        place: Arc<str>,
    },
    /// Reserves room for a task and starts its next run.
    Place {
        /// The task.
        task: TaskKey,
        /// The run that starts.
        run: RunNumber,
        /// Where.
        worker: WorkerLife,
    },
    /// A placed run turned out to be at work in a later life of its executor, where its order was
    /// carried out late.
    Adopt {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The later life.
        worker: WorkerLife,
    },
    /// A run has ended, and its worker will forget it.
    End {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Where it ran.
        worker: WorkerLife,
        /// How it ended.
        end: EndKind,
        /// The newest checkpoint; empty for none.
        checkpoint: String,
    },
}

/// What became of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It was done, or had been done before.
    Done,
    /// It changed nothing, because it does not fit the state.
    Stale,
    /// It names a job that is not known.
    UnknownJob,
}
