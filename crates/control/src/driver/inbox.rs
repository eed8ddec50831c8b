//! Decodes checked frames into typed calls for the reducer.

use {
    super::wire::{QuorumAcknowledgement, QuorumEnvelope},
    crate::{leader::SenderInfo, node::OperatorCall},
    crossbeam::channel::{Sender, TrySendError},
    proto::{
        envelope::{CheckedFrame, FrameError, MessageHeader},
        messages::{AgentHeartbeat, DeclarationPull, LedgerClaim, LedgerClose, TablePull},
        rpc::{ProcessIdentity, RpcCall, RpcRefusal},
        server::{reply, HttpResponder},
    },
};

/// A call that waits for the reducer.
#[derive(Debug)]
pub(super) enum InboundCall {
    /// Messages of another replica. The driver acknowledges them before the reducer handles them.
    Quorum(SenderInfo, QuorumEnvelope),
    /// An agent's heartbeat.
    Heartbeat(SenderInfo, AgentHeartbeat, HttpResponder),
    /// An entry's pull of the endpoint table.
    Table(SenderInfo, TablePull, HttpResponder),
    /// An entry's claim on an idempotency key.
    Claim(LedgerClaim, HttpResponder),
    /// An entry's closing of a claim.
    Close(LedgerClose, HttpResponder),
    /// A pull of declarations.
    Declarations(DeclarationPull, HttpResponder),
    /// An operator's call.
    Operator(Box<OperatorCall>, HttpResponder),
}

impl InboundCall {
    /// Returns the responder of the caller that waits for an answer.
    pub(super) fn into_responder(self) -> Option<HttpResponder> {
        match self {
            Self::Quorum(..) => None,
            Self::Heartbeat(_, _, responder)
            | Self::Table(_, _, responder)
            | Self::Claim(_, responder)
            | Self::Close(_, responder)
            | Self::Declarations(_, responder)
            | Self::Operator(_, responder) => Some(responder),
        }
    }
}

type Refused = (RpcRefusal, HttpResponder);

/// Decodes a call and passes it to the reducer, or returns why it is refused.
pub(super) fn accept_call(
    identity: &ProcessIdentity,
    calls: &Sender<InboundCall>,
    path: &str,
    frame: CheckedFrame,
    responder: HttpResponder,
) -> Result<(), Refused> {
    let note = note_of(&frame.header);
    match path {
        QuorumEnvelope::PATH => accept_quorum(identity, calls, &frame, note, responder),
        AgentHeartbeat::PATH => {
            let (heartbeat, responder) = decode(&frame, responder)?;
            hand_over(calls, InboundCall::Heartbeat(note, heartbeat, responder))
        }
        TablePull::PATH => {
            let (pull, responder) = decode(&frame, responder)?;
            hand_over(calls, InboundCall::Table(note, pull, responder))
        }
        LedgerClaim::PATH => {
            let (claim, responder) = decode(&frame, responder)?;
            hand_over(calls, InboundCall::Claim(claim, responder))
        }
        LedgerClose::PATH => {
            let (close, responder) = decode(&frame, responder)?;
            hand_over(calls, InboundCall::Close(close, responder))
        }
        DeclarationPull::PATH => {
            let (pull, responder) = decode(&frame, responder)?;
            hand_over(calls, InboundCall::Declarations(pull, responder))
        }
        _ => Err((RpcRefusal::NoSuchPath, responder)),
    }
}

fn accept_quorum(
    identity: &ProcessIdentity,
    calls: &Sender<InboundCall>,
    frame: &CheckedFrame,
    note: SenderInfo,
    responder: HttpResponder,
) -> Result<(), Refused> {
    let (envelope, responder) = decode::<QuorumEnvelope>(frame, responder)?;
    match calls.try_send(InboundCall::Quorum(note, envelope)) {
        Ok(()) => {
            reply(responder, identity, &QuorumAcknowledgement);
            Ok(())
        }
        Err(TrySendError::Full(_)) => Err((RpcRefusal::Overloaded, responder)),
        Err(TrySendError::Disconnected(_)) => Err((RpcRefusal::ShuttingDown, responder)),
    }
}

fn note_of(header: &MessageHeader) -> SenderInfo {
    SenderInfo {
        name: header.sender.name.clone(),
        role: header.sender.role,
        revision: header.revision,
    }
}

fn decode<C: RpcCall>(
    frame: &CheckedFrame,
    responder: HttpResponder,
) -> Result<(C, HttpResponder), Refused> {
    let decoded = frame.require_role(C::FROM).and_then(|()| frame.body());
    match decoded {
        Ok(call) => Ok((call, responder)),
        Err(error) => Err((refusal_of(&error), responder)),
    }
}

fn refusal_of(error: &FrameError) -> RpcRefusal {
    RpcRefusal::from(error)
}

/// Passes a call to the reducer, or refuses it if the queue is full or the reducer has ended.
pub(super) fn hand_over(calls: &Sender<InboundCall>, call: InboundCall) -> Result<(), Refused> {
    let (refusal, call) = match calls.try_send(call) {
        Ok(()) => return Ok(()),
        Err(TrySendError::Full(call)) => (RpcRefusal::Overloaded, call),
        Err(TrySendError::Disconnected(call)) => (RpcRefusal::ShuttingDown, call),
    };
    match call.into_responder() {
        Some(responder) => Err((refusal, responder)),
        None => Ok(()),
    }
}
