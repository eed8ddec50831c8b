//! Sources of proof that a dispatch did not run.

use proto::{
    messages::{
        DispatchId, DispatchOutcome, DispatchReply, FenceReply, ForwardedAnswer, NotRunReason,
        UnknownReason,
    },
    rpc::{RpcError, RpcRefusal},
};

/// Proof that one dispatch of a request did not run and never will. Not `Clone`, so that one proof
/// never justifies two further dispatches.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof {
    reason: NotRunReason,
}

impl NotRunProof {
    /// Returns why the dispatch did not run.
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// Returns proof if the RPC error shows that the peer did not act on the call.
    pub fn of_error(error: &RpcError) -> Option<Self> {
        error.proves_not_done().then(|| Self {
            reason: match error {
                RpcError::Refused { refusal, .. } => not_run_reason(*refusal),
                RpcError::NotSent { .. } => NotRunReason::BadRequest,
                _ => NotRunReason::NotConnected,
            },
        })
    }

    /// Returns proof if the agent fenced the dispatch: the agent has never received the dispatch
    /// and will reject it from now on.
    pub fn from_fence(reply: &FenceReply) -> Option<Self> {
        match reply {
            FenceReply::Fenced => Some(Self { reason: NotRunReason::Fenced }),
            _ => None,
        }
    }
}

fn not_run_reason(refusal: RpcRefusal) -> NotRunReason {
    match refusal {
        RpcRefusal::Overloaded => NotRunReason::NoSlot,
        RpcRefusal::ShuttingDown => NotRunReason::Draining,
        RpcRefusal::TooLarge => NotRunReason::BadRequest,
        RpcRefusal::Malformed
        | RpcRefusal::OtherVersion
        | RpcRefusal::OtherCluster
        | RpcRefusal::WrongRole
        | RpcRefusal::NoSuchPath => NotRunReason::NoEndpoint,
    }
}

/// How one dispatch ended, as far as this process knows.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The executor's complete answer to this dispatch.
    Answered(ForwardedAnswer),
    /// The dispatch did not run.
    NotRun(NotRunProof),
    /// The dispatch may have run, and the agent does not know either.
    Unknown(UnknownReason),
    /// The dispatch may have run. No valid reply arrived from the agent, which can still be asked.
    Unconfirmed(UnknownReason),
}

impl DispatchEnd {
    /// Classifies the result of a dispatch call. A reply to another dispatch is never passed on.
    pub fn classify(dispatch: &DispatchId, result: Result<DispatchReply, RpcError>) -> Self {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return Self::of_error(&error),
        };
        if reply.dispatch != *dispatch {
            return Self::Unconfirmed(UnknownReason::BadAnswer);
        }
        match reply.outcome {
            DispatchOutcome::Answered(answer) => Self::Answered(answer),
            DispatchOutcome::NotRun(reason) => Self::NotRun(NotRunProof { reason }),
            DispatchOutcome::Unknown(reason) => Self::Unknown(reason),
        }
    }

    fn of_error(error: &RpcError) -> Self {
        match (NotRunProof::of_error(error), error) {
            (Some(proof), _) => Self::NotRun(proof),
            (None, RpcError::BadReply { .. }) => Self::Unconfirmed(UnknownReason::BadAnswer),
            (None, _) => Self::Unconfirmed(UnknownReason::AgentLost),
        }
    }
}
