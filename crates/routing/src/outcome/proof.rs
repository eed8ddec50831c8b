//! Where proof that a request did not run can come from.

use proto::{
    messages::{
        DispatchId, DispatchOutcome, DispatchReply, FenceReply, ForwardedAnswer, NotRunReason,
        UnknownReason,
    },
    rpc::{RpcError, RpcRefusal},
};

/// Proof that one dispatch of a request did not run and never will. It can't be copied, so that
/// one proof never justifies two further dispatches.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof {
    reason: NotRunReason,
}

impl NotRunProof {
    /// Why the request did not run.
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// An error of the call is proof when the peer provably has not acted on it.
    pub fn of_error(error: &RpcError) -> Option<Self> {
        error.proves_not_done().then(|| Self {
            reason: match error {
                RpcError::Refused { refusal, .. } => reason_of_refusal(*refusal),
                RpcError::NotSent { .. } => NotRunReason::BadRequest,
                _ => NotRunReason::NotConnected,
            },
        })
    }

    /// An agent that has fenced a dispatch has never seen it and will refuse it.
    pub fn of_fence(reply: &FenceReply) -> Option<Self> {
        match reply {
            FenceReply::Fenced => Some(Self { reason: NotRunReason::Fenced }),
            _ => None,
        }
    }
}

fn reason_of_refusal(refusal: RpcRefusal) -> NotRunReason {
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

/// How one dispatch ended, as far as this process can tell.
#[derive(Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The executor's whole answer to this very dispatch.
    Answered(ForwardedAnswer),
    /// It did not run.
    NotRun(NotRunProof),
    /// It may have run, and the agent does not know either.
    Unknown(UnknownReason),
    /// It may have run; the agent was not heard and can still be asked.
    Unheard(UnknownReason),
}

impl DispatchEnd {
    /// Judges what a call gave. A reply to another dispatch is never passed on.
    pub fn judge(dispatch: &DispatchId, result: Result<DispatchReply, RpcError>) -> Self {
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => return Self::of_error(&error),
        };
        if reply.dispatch != *dispatch {
            return Self::Unheard(UnknownReason::BadAnswer);
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
            (None, RpcError::BadReply { .. }) => Self::Unheard(UnknownReason::BadAnswer),
            (None, _) => Self::Unheard(UnknownReason::AgentLost),
        }
    }
}
