//! Why a task went from one phase to the next, in typed form.

use {
    sched::{ParkReason, PlacementReason, ReliefReason},
    serde::{Deserialize, Serialize},
    settings::RuleSource,
    std::fmt,
};

/// The default or exception that decided. The log keeps it, because the declarations may have
/// changed by the time somebody asks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RuleNote {
    /// No file set the value.
    #[default]
    BuiltIn,
    /// The fleet's default.
    Default,
    /// An exception.
    Exception {
        /// Its name.
        name: String,
        /// Its written reason.
        reason: String,
        /// Who answers for it.
        owner: String,
    },
}

impl From<RuleSource> for RuleNote {
    fn from(source: RuleSource) -> Self {
        match source {
            RuleSource::BuiltIn => Self::BuiltIn,
            RuleSource::Default => Self::Default,
            RuleSource::Exception { name, reason, owner } => {
                Self::Exception { name, reason, owner }
            }
        }
    }
}

impl fmt::Display for RuleNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in value"),
            Self::Default => f.write_str("fleet default"),
            Self::Exception { name, reason, owner } => {
                write!(f, "exception {name:?} of {owner}: {reason}")
            }
        }
    }
}

/// Why a step was taken.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum StepReason {
    /// The job was submitted.
    Submitted,
    /// The model chose a worker.
    Chosen(PlacementReason, RuleNote),
    /// The worker reports that the task runs.
    Started,
    /// The worker or its platform would not start the task.
    Refused(String),
    /// The task ended by itself.
    Finished,
    /// The task ended with failure.
    Failed(String),
    /// The task is being relieved of its place.
    Relieved(ReliefReason, RuleNote),
    /// The task may use another share of its reservation.
    Throttled(u8, ReliefReason, RuleNote),
    /// The worker confirms that the task has stopped.
    Stopped,
    /// The worker's lease has expired.
    WorkerLost,
    /// The worker does not know the attempt.
    Missing,
    /// An operator cancelled the job.
    Cancelled,
    /// The job is kept back.
    Parked(ParkReason, RuleNote),
    /// An operator let the job be tried again.
    Unparked,
}

impl StepReason {
    /// What decided, for the reasons that rest on a declared value.
    pub fn rule(&self) -> Option<&RuleNote> {
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
