//! Requests whose callers have no outcome yet.

use {
    super::SentDispatch,
    base::ServiceName,
    proto::messages::{ClaimTarget, DispatchId, IdempotencyKey, PriorityClass, RequestFingerprint},
    routing::{Assignment, FlightNumber, RepeatRule},
    std::time::Duration,
};

/// An open request and its stage.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub service: ServiceName,
    pub rule: RepeatRule,
    pub priority: PriorityClass,
    pub deadline: Duration,
    /// Key to claim before each dispatch, or `None` if the request needs no claim.
    pub key: Option<IdempotencyKey>,
    pub fingerprint: RequestFingerprint,
    /// Dispatch under which the key is, or may be, claimed for this request.
    pub claimed: Option<DispatchId>,
    pub stage: RequestStage,
}

/// Stage of an open request.
#[derive(Debug)]
pub(super) enum RequestStage {
    /// The router has the request: it waits or is in flight.
    Routed,
    /// The claim is pending at the ledger. Nothing is sent before the ledger grants it.
    Claiming(ClaimStep),
    /// A fence call is pending at the agent whose dispatch holds the key.
    AskingHolder(HolderStep),
    /// A fence call is pending at the agent that sent no valid reply to this entry's own dispatch.
    AskingAgent(AgentStep),
}

/// A pending claim.
#[derive(Debug)]
pub(super) struct ClaimStep {
    pub assignment: Assignment,
    pub replaces: Option<DispatchId>,
    /// When the claim times out.
    pub until: Duration,
    pub call: CallTimer,
    /// True if the ledger may have granted the claim and the reply was lost.
    pub unconfirmed: bool,
}

/// A pending question to the agent whose dispatch holds the key.
#[derive(Debug)]
pub(super) struct HolderStep {
    pub assignment: Assignment,
    pub holder: ClaimTarget,
    /// When the question times out.
    pub until: Duration,
    pub call: CallTimer,
}

/// A pending question to the agent of this entry's own dispatch.
#[derive(Debug)]
pub(super) struct AgentStep {
    pub flight: FlightNumber,
    pub sent: SentDispatch,
    pub call: CallTimer,
}

/// Whether a call is in flight, or when it is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallTimer {
    InFlight,
    Due { at: Duration },
}

impl CallTimer {
    pub fn is_due(self, now: Duration) -> bool {
        matches!(self, Self::Due { at } if at <= now)
    }

    pub fn next(self) -> Option<Duration> {
        match self {
            Self::InFlight => None,
            Self::Due { at } => Some(at),
        }
    }
}

impl OpenRequest {
    pub fn next_wake(&self) -> Option<Duration> {
        match &self.stage {
            RequestStage::Routed => None,
            RequestStage::Claiming(step) => step.call.next(),
            RequestStage::AskingHolder(step) => step.call.next(),
            RequestStage::AskingAgent(step) => step.call.next(),
        }
    }
}
