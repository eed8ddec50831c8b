//! The request handlers of the agent's two ports.

use {
    super::core::AgentCore,
    crate::{
        announce::{
            AnnounceRefusal, ExecutorAnnouncement, ExecutorLeave, ANNOUNCE_PATH, LEAVE_PATH,
        },
        reducer::AgentInput,
    },
    base::PeerAddress,
    http::{Method, StatusCode},
    proto::{
        envelope::{CheckedFrame, FrameError},
        messages::{DeclarationPull, DeclarationReply, DispatchRequest, FenceRequest},
        rpc::{RpcCall, RpcRefusal},
        server::{
            refuse, reply, HttpRequest, HttpResponder, HttpResponse, RequestHandler, RpcInbox,
            ServerLimits,
        },
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{
        net::IpAddr,
        sync::{Arc, OnceLock},
    },
};

const JSON: &str = "application/json";
/// A worker runs only a handful of executors, and their announcements are small.
const ANNOUNCE_CONNECTIONS: usize = 256;
const ANNOUNCE_BODY: base::ByteSize = base::ByteSize(16 * 1024);

/// Returns the limits of the announce port.
pub(super) fn announce_limits() -> ServerLimits {
    ServerLimits {
        connections: ANNOUNCE_CONNECTIONS,
        requests: ANNOUNCE_CONNECTIONS,
        body: ANNOUNCE_BODY,
        ..ServerLimits::default()
    }
}

/// Creates the handler of the internal port, for calls from entries and control.
pub(super) fn internal_handler(core: Arc<AgentCore>) -> Arc<dyn RequestHandler> {
    let identity = core.identity().clone();
    Arc::new(RpcInbox::new(identity, move |path, frame, responder| {
        core.note_revision(&frame.header);
        match path {
            DispatchRequest::PATH => match decode_call::<DispatchRequest>(&frame) {
                Ok(request) => core.dispatch(request, responder),
                Err(refusal) => return Err((refusal, responder)),
            },
            FenceRequest::PATH => match decode_call::<FenceRequest>(&frame) {
                Ok(request) => core.fence(request, responder),
                Err(refusal) => return Err((refusal, responder)),
            },
            DeclarationPull::PATH => match decode_call::<DeclarationPull>(&frame) {
                Ok(pull) => {
                    let newer = core.declarations_after(pull.known);
                    reply(responder, core.identity(), &DeclarationReply { newer });
                }
                Err(refusal) => return Err((refusal, responder)),
            },
            _ => return Err((RpcRefusal::NoSuchPath, responder)),
        }
        Ok(())
    }))
}

fn decode_call<C: RpcCall>(frame: &CheckedFrame) -> Result<C, RpcRefusal> {
    let call = frame.require_role(C::FROM).and_then(|()| frame.body());
    call.map_err(|error: FrameError| RpcRefusal::from(&error))
}

/// The handler of the announce port. Accepts announcements of executors on this machine only.
pub(super) struct AnnounceHandler {
    core: Arc<AgentCore>,
    local_ip: IpAddr,
}

impl AnnounceHandler {
    /// Creates a handler that counts loopback addresses and the IP of `address` as this machine.
    pub(super) fn new(core: Arc<AgentCore>, address: PeerAddress) -> Self {
        Self { core, local_ip: address.0.ip() }
    }

    fn is_local(&self, address: IpAddr) -> bool {
        address.is_loopback() || address == self.local_ip
    }

    fn accept(&self, request: &HttpRequest) -> Result<(), AnnounceRefusal> {
        if !self.is_local(request.peer.ip()) {
            return Err(AnnounceRefusal::OtherMachine);
        }
        match (&request.method, request.uri.path()) {
            (&Method::POST, ANNOUNCE_PATH) => {
                let announcement: ExecutorAnnouncement = parse(&request.body)?;
                let address = announcement.address;
                if !self.is_local(address.0.ip()) {
                    return Err(AnnounceRefusal::ForeignAddress { address });
                }
                self.core.feed(AgentInput::Announced(announcement));
            }
            (&Method::POST, LEAVE_PATH) => {
                let leave: ExecutorLeave = parse(&request.body)?;
                self.core.feed(AgentInput::ExecutorLeft(leave.endpoint));
            }
            _ => return Err(AnnounceRefusal::NoSuchPath),
        }
        Ok(())
    }
}

impl RequestHandler for AnnounceHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        let response = match self.accept(&request) {
            Ok(()) => HttpResponse::new(StatusCode::OK, JSON, "{}"),
            Err(refusal) => HttpResponse::new(status_of(&refusal), JSON, to_json(&refusal)),
        };
        responder.send(response);
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, AnnounceRefusal> {
    serde_json::from_slice(body)
        .map_err(|error| AnnounceRefusal::Malformed { detail: error.to_string() })
}

fn to_json(refusal: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(refusal).unwrap_or_default()
}

fn status_of(refusal: &AnnounceRefusal) -> StatusCode {
    match refusal {
        AnnounceRefusal::OtherMachine => StatusCode::FORBIDDEN,
        AnnounceRefusal::ForeignAddress { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        AnnounceRefusal::Malformed { .. } => StatusCode::BAD_REQUEST,
        AnnounceRefusal::NoSuchPath => StatusCode::NOT_FOUND,
    }
}

/// Refuses requests until the agent can process them. The port must be open before the reducer
/// exists, because the reducer sends the port's address to control.
#[derive(Default)]
pub(super) struct HandlerGate {
    handler: OnceLock<Arc<dyn RequestHandler>>,
}

impl HandlerGate {
    /// Passes requests to `handler` from now on.
    pub(super) fn open(&self, handler: Arc<dyn RequestHandler>) {
        let _ = self.handler.set(handler);
    }
}

impl RequestHandler for HandlerGate {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        match self.handler.get() {
            Some(handler) => handler.handle(request, responder),
            None => refuse(responder, RpcRefusal::Overloaded),
        }
    }
}
