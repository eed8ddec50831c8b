//! Typed reasons for the steps of a task.

use {
    sched::{MitigationReason, ParkReason, PlacementReason},
    serde::{Deserialize, Serialize},
    settings::RuleSource,
    std::fmt,
};

/// Why a task took a step.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StepReason {
    /// The job was submitted.
    Submitted,
    /// The placement model chose a worker.
    Chosen(PlacementReason, RuleSource),
    /// The worker reports that the task runs.
    Started,
    /// The worker or its platform did not start the task.
    Refused(String),
    /// The worker reports that the task succeeded.
    Finished,
    /// The worker reports that the task failed.
    Failed(String),
    /// The task is evicted.
    #[serde(rename = "Relieved")]
    Evicted(MitigationReason, RuleSource),
    /// The share of its reservation that the task may use has changed.
    Throttled(u8, MitigationReason, RuleSource),
    /// The worker confirms that the task has stopped.
    Stopped,
    /// The worker's lease has expired.
    WorkerLost,
    /// The worker does not know the attempt.
    Missing,
    /// An operator cancelled the job.
    Cancelled,
    /// The job is parked.
    Parked(ParkReason, RuleSource),
    /// An operator returned the job to the queue.
    Unparked,
}

impl StepReason {
    /// Returns the source of the declared values that led to this step, if it depends on any.
    pub fn rule(&self) -> Option<&RuleSource> {
        match self {
            Self::Chosen(_, rule)
            | Self::Evicted(_, rule)
            | Self::Throttled(_, _, rule)
            | Self::Parked(_, rule) => Some(rule),
            _ => None,
        }
    }
}

impl fmt::Display for StepReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Submitted => f.write_str("the job was submitted"),
            Self::Chosen(reason, _) => reason.fmt(f),
            Self::Started => f.write_str("the worker reports that it runs"),
            Self::Refused(detail) => write!(f, "the worker did not start it: {detail}"),
            Self::Finished => f.write_str("the worker reports that it finished"),
            Self::Failed(detail) => write!(f, "the worker reports that it failed: {detail}"),
            Self::Evicted(reason, _) => reason.fmt(f),
            Self::Throttled(percent, reason, _) => {
                write!(f, "limited to {percent}% of its reservation: {reason}")
            }
            Self::Stopped => f.write_str("the worker confirms the stop"),
            Self::WorkerLost => f.write_str("the worker's lease expired"),
            Self::Missing => f.write_str("the worker does not know the attempt"),
            Self::Cancelled => f.write_str("the job was cancelled"),
            Self::Parked(reason, _) => reason.fmt(f),
            Self::Unparked => f.write_str("an operator returned the job to the queue"),
        }
    }
}
