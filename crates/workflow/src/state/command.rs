//! The entries of the replicated log, and the outcomes of their commands.

use {
    super::{cordons::DataCentreName, StateError, StateSnafu},
    crate::{
        job::{FleetConfig, JobKey, JobSpec, QueueRule, RunNumber, TaskKey, WorkerIncarnation},
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
    /// Milliseconds on the leader's clock since its previous batch, or since it began to lead.
    pub elapsed_ms: u64,
    /// The commands, applied in order.
    pub commands: Vec<FlowCommand>,
}

impl CommandBatch {
    /// Decodes an entry of the log. Returns an error if it has another format or another program
    /// wrote it.
    pub fn from_bytes(data: &[u8]) -> Result<Self, StateError> {
        rmp_serde::from_slice(data).context(StateSnafu)
    }

    /// Encodes an entry of the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }
}

/// A submitted job with the settings of its queue at that time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The job's key.
    pub job: JobKey,
    /// The queue.
    pub queue: String,
    /// The service whose executors run the job.
    pub service: String,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failures after which a task fails its job.
    pub attempt_limit: u32,
    /// The steps to run.
    pub spec: Arc<JobSpec>,
}

impl Submission {
    /// Returns the submission that stands for a job of a queue which was cancelled before it arrived.
    /// It has no steps, which no caller may submit.
    pub fn withdrawn(job: JobKey, rule: &QueueRule) -> Self {
        Self {
            job,
            queue: rule.name.clone(),
            service: rule.service.clone(),
            priority: rule.priority,
            attempt_limit: rule.attempt_limit,
            spec: Arc::new(JobSpec::default()),
        }
    }

    /// Returns whether the submission stands for a withdrawn job.
    pub fn is_withdrawn(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EndKind {
    /// The run completed its work.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run's lease expired, or its worker was lost.
    #[serde(rename = "Lapsed")]
    Expired,
    /// Another member of the run's gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// The gang did not start completely.
    #[serde(rename = "Alone")]
    GangIncomplete,
    /// The run never began: the executor or its agent refused it, or the executor had seen a later
    /// run.
    Refused,
}

/// A change of the applied state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FlowCommand {
    /// Activates a configuration if its version is the highest.
    Configure(FleetConfig),
    /// Sets the time for which ended jobs are kept.
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
    /// Stores the interference that a leader has learned, as the start values of the next one.
    #[serde(rename = "KeepLearned")]
    StoreInterference(Vec<LearnedPair>),
    /// Records the address of an executor. Only one executor at a time can use an address.
    #[serde(rename = "Locate")]
    RecordAddress {
        /// The executor.
        executor: Arc<str>,
        /// The address at which the executor answers.
        place: Arc<str>,
    },
    /// Reserves capacity for a task and starts its next run.
    Place {
        /// The task.
        task: TaskKey,
        /// The run that starts.
        run: RunNumber,
        /// The worker that runs the task.
        worker: WorkerIncarnation,
    },
    /// Moves a placed run to a later incarnation of its executor, which carried out the order late.
    Adopt {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The later incarnation.
        worker: WorkerIncarnation,
    },
    /// Records the end of a run, which its worker may then forget.
    End {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The worker that ran it.
        worker: WorkerIncarnation,
        /// How it ended.
        end: EndKind,
        /// The newest checkpoint; empty for none.
        checkpoint: String,
    },
    /// Cordons a data centre: nothing more may start there. An older build halts at this command.
    Cordon {
        /// The data centre.
        data_centre: DataCentreName,
    },
    /// Lifts the cordon of a data centre.
    LiftCordon {
        /// The data centre.
        data_centre: DataCentreName,
    },
}

impl FlowCommand {
    /// Returns the approximate size of what a command holds from callers, operators and executors,
    /// in bytes.
    pub(crate) fn content_bytes(&self) -> usize {
        match self {
            // The document and the rules that were read from it.
            Self::Configure(config) => 2 * config.document.len(),
            Self::Submit(submission) => submission.spec.content_bytes(),
            Self::End { worker, checkpoint, .. } => checkpoint.len() + worker.executor.len(),
            _ => 0,
        }
    }
}

/// The outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command took effect, now or earlier.
    Done,
    /// The command changed nothing, because it does not fit the state.
    Stale,
    /// The command names an unknown job.
    UnknownJob,
}
