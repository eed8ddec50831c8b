//! What a job asks for and what becomes of its tasks.

use {
    base::{
        AttemptNumber, CheckpointId, ClassName, DataCentreName, JobId, ResourceVector, ServiceName,
        TaskId, TeamName,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// How urgent work is. Ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Work that may wait, be throttled and be evicted.
    #[default]
    Batch,
    /// Services that answer callers.
    LatencyCritical,
    /// Work that has to start within seconds and may preempt batch work.
    Urgent,
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Batch => "batch",
            Self::LatencyCritical => "latency-critical",
            Self::Urgent => "urgent",
        })
    }
}

/// Where the tasks of a job may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRule {
    /// The data centres that may be used; all when empty.
    pub data_centres: Vec<DataCentreName>,
    /// The largest number of the job's tasks in one rack; no bound when `None`.
    pub most_per_rack: Option<u32>,
    /// The largest number of the job's tasks in one data centre; no bound when `None`.
    pub most_per_data_centre: Option<u32>,
}

/// What an operator submits: a number of like tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job's name, unique among the jobs that are kept.
    pub id: JobId,
    /// The team whose quota the job uses.
    pub team: TeamName,
    /// The kind of task, in which interference is learned.
    pub class: ClassName,
    /// How urgent the job is.
    #[serde(default)]
    pub priority: PriorityClass,
    /// The number of tasks, at least 1.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// What each task is declared to take.
    pub resources: ResourceVector,
    /// How long a task is declared to run; services have none.
    #[serde(default, with = "base::optional_millis", rename = "run_time_ms")]
    pub run_time: Option<Duration>,
    /// The service that the tasks' executors announce, if any.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// What the platform is told to run, opaque to the system.
    #[serde(default)]
    pub payload: String,
    /// Where the tasks may run.
    #[serde(default)]
    pub placement: PlacementRule,
}

fn one_task() -> u32 {
    1
}

/// One task as a worker is told to run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAssignment {
    /// The task.
    pub task: TaskId,
    /// The fencing token: results of other attempts are refused.
    pub attempt: AttemptNumber,
    /// The kind of task.
    pub class: ClassName,
    /// How urgent the task is.
    pub priority: PriorityClass,
    /// What is reserved on the worker.
    pub reserved: ResourceVector,
    /// The checkpoint from which the task resumes, if it has run before.
    pub checkpoint: Option<CheckpointId>,
    /// The service that the task's executor announces, if any.
    pub service: Option<ServiceName>,
    /// What the platform is told to run.
    pub payload: String,
}

/// How far a task may use its reservation, in percent from 1 to 100.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ThrottleLevel(pub u8);

impl ThrottleLevel {
    /// No throttling.
    pub const FULL: Self = Self(100);
}

impl fmt::Display for ThrottleLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

/// What control wants of one attempt on a worker. The worker moves towards it and reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskCommand {
    /// Run the task, at the given share of its reservation.
    Run {
        /// What to run.
        assignment: TaskAssignment,
        /// How far it may use its reservation.
        throttle: ThrottleLevel,
    },
    /// Checkpoint the task, then stop it.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt that is to stop.
        attempt: AttemptNumber,
    },
    /// Stop the task without a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt that is to stop.
        attempt: AttemptNumber,
    },
}

/// Why an agent refused to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker has less room than control believed.
    NoRoom,
    /// The worker's lease is about to end.
    LeaseEnding,
    /// The worker is leaving.
    Draining,
    /// Another attempt of the task still runs here.
    OtherAttempt,
    /// The platform would not start it.
    Platform {
        /// The platform's own words.
        detail: String,
    },
}

/// Where one attempt stands on its worker. All but `Running` are final for the attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The platform runs it.
    Running,
    /// It never ran.
    Refused(StartRefusal),
    /// It ended by itself, with success.
    Finished,
    /// It ended by itself, with failure.
    Failed {
        /// The platform's own words.
        detail: String,
    },
    /// It was stopped, and runs no more.
    Stopped {
        /// The checkpoint that was taken before the stop, if any.
        checkpoint: Option<CheckpointId>,
    },
}

/// What a worker says of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where it stands.
    pub state: AttemptState,
}
