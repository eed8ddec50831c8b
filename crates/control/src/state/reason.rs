//! Why a task went from one phase to the next, in typed form.

use {
    sched::{ParkReason, PlacementReason, ReliefReason},
    serde::{Deserialize, Serialize},
    settings::RuleSource,
    std::fmt,
};

/// Why a step was taken.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StepReason {
    /// The job was submitted.
    Submitted,
    /// The model chose a worker.
    Chosen(PlacementReason, RuleSource),
    /// The worker reports that the task runs.
    Started,
    /// The worker or its platform would not start the task.
    Refused(String),
    /// The task ended by itself.
    Finished,
    /// The task ended with failure.
    Failed(String),
    /// The task is being relieved of its place.
    Relieved(ReliefReason, RuleSource),
    /// The task may use another share of its reservation.
    Throttled(u8, ReliefReason, RuleSource),
    /// The worker confirms that the task has stopped.
    Stopped,
    /// The worker's lease has expired.
    WorkerLost,
    /// The worker does not know the attempt.
    Missing,
    /// An operator cancelled the job.
    Cancelled,
    /// The job is kept back.
    Parked(ParkReason, RuleSource),
    /// An operator let the job be tried again.
    Unparked,
}

impl StepReason {
    /// What decided, for the reasons that rest on a declared value.
    pub fn rule(&self) -> Option<&RuleSource> {
        match self {
            Self::Chosen(_, rule)
            | Self::Relieved(_, rule)
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
            Self::Relieved(reason, _) => reason.fmt(f),
            Self::Throttled(percent, reason, _) => {
                write!(f, "limited to {percent}% of its reservation: {reason}")
            }
            Self::Stopped => f.write_str("the worker confirms the stop"),
            Self::WorkerLost => f.write_str("the worker's lease expired"),
            Self::Missing => f.write_str("the worker does not know the attempt"),
            Self::Cancelled => f.write_str("the job was cancelled"),
            Self::Parked(reason, _) => reason.fmt(f),
            Self::Unparked => f.write_str("an operator let the job be tried again"),
        }
    }
}
