//! Job specifications, and the commands and reports that concern their tasks.

use {
    base::{
        AttemptNumber, CheckpointId, ClassName, DataCentreName, JobId, ResourceVector, ServiceName,
        TaskId, TeamName,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// The priority of work, ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Best-effort work, which may be delayed, throttled and evicted.
    #[default]
    Batch,
    /// Services that answer callers' requests.
    LatencyCritical,
    /// Work that must start within seconds and may preempt batch work.
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

/// Constrains where the tasks of a job may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRule {
    /// The data centres that may run the tasks; all of them if empty.
    pub data_centres: Vec<DataCentreName>,
    /// The maximum number of the job's tasks in one rack; unlimited if `None`.
    pub most_per_rack: Option<u32>,
    /// The maximum number of the job's tasks in one data centre; unlimited if `None`.
    pub most_per_data_centre: Option<u32>,
}

/// A job as an operator submits it: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job's name, unique among the retained jobs.
    pub id: JobId,
    /// The team whose quota the job uses.
    pub team: TeamName,
    /// The class of the tasks, for which the scheduler learns interference.
    pub class: ClassName,
    /// The priority of the job.
    #[serde(default)]
    pub priority: PriorityClass,
    /// The number of tasks, at least 1.
    #[serde(default = "one_task")]
    pub tasks: u32,
    /// The declared resources of each task.
    pub resources: ResourceVector,
    /// The declared run time of a task; `None` for services.
    #[serde(default, with = "base::optional_millis", rename = "run_time_ms")]
    pub run_time: Option<Duration>,
    /// The service that the tasks' executors register for, if any.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// The payload that the platform runs, opaque to the system.
    #[serde(default)]
    pub payload: String,
    /// The placement constraints of the tasks.
    #[serde(default)]
    pub placement: PlacementRule,
}

fn one_task() -> u32 {
    1
}

/// One task, as control assigns it to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAssignment {
    /// The task.
    pub task: TaskId,
    /// The fencing token: control rejects results of any other attempt.
    pub attempt: AttemptNumber,
    /// The class of the task.
    pub class: ClassName,
    /// The priority of the task.
    pub priority: PriorityClass,
    /// The resources reserved on the worker.
    pub reserved: ResourceVector,
    /// The checkpoint from which the task resumes, if it has run before.
    pub checkpoint: Option<CheckpointId>,
    /// The service that the task's executor registers for, if any.
    pub service: Option<ServiceName>,
    /// The payload that the platform runs.
    pub payload: String,
}

/// The share of its reservation that a task may use, in percent from 1 to 100.
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

/// The desired state of one attempt on a worker. The agent drives the attempt to this state and
/// reports its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskCommand {
    /// Run the task, at the given share of its reservation.
    Run {
        /// The task to run.
        assignment: TaskAssignment,
        /// The share of its reservation that the task may use.
        throttle: ThrottleLevel,
    },
    /// Checkpoint the task, then stop it.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: AttemptNumber,
    },
    /// Stop the task without a checkpoint.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt to stop.
        attempt: AttemptNumber,
    },
}

/// Why an agent refused to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// The worker has less free capacity than control assumed.
    NoRoom,
    /// The worker's lease is about to end.
    LeaseEnding,
    /// The worker is draining.
    Draining,
    /// Another attempt of the task still runs here.
    OtherAttempt,
    /// The platform failed to start the task.
    Platform {
        /// The platform's error message.
        detail: String,
    },
}

/// The state of one attempt on its worker. All but `Running` are final.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The task runs on the platform.
    Running,
    /// The agent refused to start the task, which never ran.
    Refused(StartRefusal),
    /// The task ended by itself with success.
    Finished,
    /// The task ended by itself with failure.
    Failed {
        /// The platform's error message.
        detail: String,
    },
    /// The agent stopped the task, which no longer runs.
    Stopped {
        /// The checkpoint taken before the stop, if any.
        checkpoint: Option<CheckpointId>,
    },
}

/// The state of one attempt, as its agent reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The state of the attempt.
    pub state: AttemptState,
}
