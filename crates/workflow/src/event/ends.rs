//! What the log lines say about the ends of runs: the facts, and where they come from.

use {
    super::{as_text, LossReason},
    crate::{
        job::{RunNumber, WorkerIncarnation},
        state::EndKind,
    },
    serde::Serialize,
    std::sync::Arc,
};

/// The fact that proves that an incarnation of an executor has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub enum LossProof {
    /// The incarnation's lease has expired.
    LeaseExpired {
        /// The time since then, in milliseconds.
        expired_ms: u64,
        /// Whether an earlier leader may have granted the lease, so that this one has assumed its
        /// end.
        inherited: bool,
    },
    /// A new incarnation of the executor has listed its runs.
    #[serde(rename = "NewLife")]
    NewIncarnation {
        /// The new incarnation.
        #[serde(serialize_with = "as_text")]
        successor: WorkerIncarnation,
    },
    /// Another executor answers at the address.
    Replaced {
        /// The other executor.
        #[serde(serialize_with = "as_text")]
        successor: WorkerIncarnation,
        /// The address.
        address: Arc<str>,
    },
    /// The agent has reported the end of the incarnation.
    Ended,
}

impl LossProof {
    /// Returns the reason that the fact belongs to.
    pub fn reason(&self) -> LossReason {
        match self {
            Self::LeaseExpired { .. } => LossReason::LeaseExpired,
            Self::NewIncarnation { .. } => LossReason::NewIncarnation,
            Self::Replaced { .. } => LossReason::Replaced,
            Self::Ended => LossReason::Ended,
        }
    }
}

/// The fact by which a run counts as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub enum EndFact {
    /// The executor lists the end.
    Listed {
        /// The executor's number of the end.
        number: u64,
    },
    /// The agent reports that the run never began: the executor or the agent has refused it, or the
    /// executor has no record of it.
    NeverBegan,
    /// The agent reports that a stop has settled the run, which the executor does not list.
    StopSettled,
    /// The agent reports that the run has ended with its executor.
    ExecutorEnded,
    /// The run's incarnation has ended, which proves the end of every run there.
    WorkerLost(LossProof),
    /// Nothing has sent the order for the run.
    NeverSent,
    /// Another member's end, as done, has ended the run. Its own end came later.
    GangDone {
        /// The executor's number of its own end.
        number: u64,
    },
    /// An earlier leader has recorded the end, and the log does not hold the fact.
    EarlierLeader,
}

impl EndFact {
    /// Returns the fact that an end with this number states, as an agent reports it.
    pub(crate) fn reported(number: u64, end: EndKind) -> Self {
        match (number, end) {
            (0, EndKind::Refused) => Self::NeverBegan,
            (0, EndKind::Expired) => Self::ExecutorEnded,
            (0, _) => Self::StopSettled,
            (number, _) => Self::Listed { number },
        }
    }
}

/// Where a leader has a fact from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum FactSource {
    /// A message of an agent, on the stream with this number.
    Stream(u64),
    /// The leader's clock.
    LeaderClock,
    /// What the leader has sent, and has not.
    LeaderOrders,
}

/// The end of a task's run before the present one, as far as a leader knows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct FormerRun {
    /// The run.
    pub run: RunNumber,
    /// The worker on which it was placed.
    #[serde(serialize_with = "as_text")]
    pub worker: WorkerIncarnation,
    /// How it ended.
    pub end: EndKind,
    /// The fact by which it counts as ended.
    pub fact: EndFact,
    /// The time since the end was recorded, in milliseconds: by the leader's clock, or by that of
    /// the log if an earlier leader has recorded it.
    pub age_ms: u64,
}

/// The fact on which an agent's report of an end rests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum ReportFact {
    /// The executor lists the end.
    Listed,
    /// The executor has refused the start.
    RefusedByExecutor,
    /// The agent has refused the start, and has not sent it.
    RefusedByAgent,
    /// The executor has confirmed a stop, and does not list the run afterwards.
    StopSettled,
    /// The executor has answered the start as old, and does not list the run afterwards.
    NotThere,
    /// The executor has ended, and had the run.
    ExecutorEnded,
}

/// The fact by which an agent considers an incarnation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum ExecutorFact {
    /// Another incarnation has answered at the address.
    OtherIncarnation {
        /// The Unix millisecond at which that one began, if its answer said so.
        started_ms: Option<u64>,
    },
    /// Every lease that the executor can have has run out.
    LeaseExpired {
        /// The time for which the executor has not answered, in milliseconds; `None` if another
        /// incarnation had answered, which has not described itself.
        silent_ms: Option<u64>,
    },
}

/// What an agent knows of a run for which an order to start arrives too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
pub enum OutdatedCause {
    /// The agent has reported that the run never began here.
    Closed(EndKind),
    /// The executor lists the run's end, under this number.
    Ended(u64),
}
