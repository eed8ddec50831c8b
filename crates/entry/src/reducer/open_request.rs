//! A request whose caller has not been told anything yet.

use {
    super::SentDispatch,
    base::ServiceName,
    proto::messages::{ClaimTarget, DispatchId, IdempotencyKey, PriorityClass, RequestFingerprint},
    routing::{Assignment, FlightNumber, RepeatRule},
    std::time::Duration,
};

/// A request and where it stands.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub service: ServiceName,
    pub rule: RepeatRule,
    pub priority: PriorityClass,
    pub deadline: Duration,
    /// Set when the request has to be claimed before each dispatch.
    pub key: Option<IdempotencyKey>,
    pub fingerprint: RequestFingerprint,
    /// The dispatch under which the key is, or may be, held for this request.
    pub claimed: Option<DispatchId>,
    pub stage: RequestStage,
}

/// Where a request stands.
#[derive(Debug)]
pub(super) enum RequestStage {
    /// The router has it: it waits, or is out.
    Routed,
    /// The ledger is asked. Nothing is sent before it grants the claim.
    Claiming(ClaimStep),
    /// The agent that holds the key for another dispatch is asked.
    AskingHolder(HolderStep),
    /// The agent that was not heard is asked.
    AskingAgent(AgentStep),
}

/// A claim under way.
#[derive(Debug)]
pub(super) struct ClaimStep {
    pub assignment: Assignment,
    pub replaces: Option<DispatchId>,
    /// When the ledger is given up.
    pub until: Duration,
    pub call: CallTimer,
    /// True when the ledger may have granted the claim without our hearing of it.
    pub unheard: bool,
}

/// The holder of a key is being asked.
#[derive(Debug)]
pub(super) struct HolderStep {
    pub assignment: Assignment,
    pub holder: ClaimTarget,
    /// When the holder is given up.
    pub until: Duration,
    pub call: CallTimer,
}

/// An agent is being asked about our own dispatch.
#[derive(Debug)]
pub(super) struct AgentStep {
    pub flight: FlightNumber,
    pub sent: SentDispatch,
    pub call: CallTimer,
}

/// Whether a call is out, or when it is made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallTimer {
    Out,
    Again { at: Duration },
}

impl CallTimer {
    pub fn is_due(self, now: Duration) -> bool {
        matches!(self, Self::Again { at } if at <= now)
    }

    pub fn next(self) -> Option<Duration> {
        match self {
            Self::Out => None,
            Self::Again { at } => Some(at),
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
