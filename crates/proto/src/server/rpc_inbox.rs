//! The receiving side of RPC: decodes and checks the frames that arrive on an internal port.

use {
    super::{HttpRequest, HttpResponder, HttpResponse, RequestHandler},
    crate::{
        envelope::{self, CheckedFrame, FrameError},
        rpc::{ProcessIdentity, RpcRefusal},
    },
    http::{Method, StatusCode},
    serde::Serialize,
    std::sync::Arc,
};

const FRAME_TYPE: &str = "application/x-mangorouter-frame";

/// Accepts calls from the system's own processes and rejects all other requests with a typed
/// reason.
pub struct RpcInbox<F> {
    identity: Arc<ProcessIdentity>,
    accept: F,
}

impl<F> RpcInbox<F>
where
    F: Fn(&str, CheckedFrame, HttpResponder) -> Result<(), (RpcRefusal, HttpResponder)>
        + Send
        + Sync
        + 'static,
{
    /// Creates a handler that passes each checked frame and its path to `accept`. To reject a call,
    /// `accept` returns the responder with the reason.
    pub fn new(identity: Arc<ProcessIdentity>, accept: F) -> Self {
        Self { identity, accept }
    }
}

impl<F> RequestHandler for RpcInbox<F>
where
    F: Fn(&str, CheckedFrame, HttpResponder) -> Result<(), (RpcRefusal, HttpResponder)>
        + Send
        + Sync
        + 'static,
{
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        if request.method != Method::POST {
            return refuse(responder, RpcRefusal::Malformed);
        }
        let opened = CheckedFrame::open(&self.identity.sender().cluster, &request.body);
        let frame = match opened {
            Ok(frame) => frame,
            Err(error) => return refuse(responder, RpcRefusal::from(&error)),
        };
        self.identity.observe(&frame.header);
        if let Err((refusal, responder)) = (self.accept)(request.uri.path(), frame, responder) {
            refuse(responder, refusal);
        }
    }
}

impl From<&FrameError> for RpcRefusal {
    fn from(error: &FrameError) -> Self {
        match error {
            FrameError::OtherVersion { .. } => Self::OtherVersion,
            FrameError::OtherCluster { .. } => Self::OtherCluster,
            FrameError::WrongRole { .. } => Self::WrongRole,
            FrameError::BadFrame { .. }
            | FrameError::BadBody { .. }
            | FrameError::NotEncodable { .. } => Self::Malformed,
        }
    }
}

/// Rejects a call. The response proves to the sender that the call was not executed.
pub fn refuse(responder: HttpResponder, refusal: RpcRefusal) {
    let status = match refusal {
        RpcRefusal::NoSuchPath => StatusCode::NOT_FOUND,
        RpcRefusal::WrongRole | RpcRefusal::OtherCluster => StatusCode::FORBIDDEN,
        RpcRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RpcRefusal::Overloaded | RpcRefusal::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        RpcRefusal::Malformed | RpcRefusal::OtherVersion => StatusCode::BAD_REQUEST,
    };
    let body = rmp_serde::to_vec(&refusal).unwrap_or_default();
    responder.send(HttpResponse::new(status, FRAME_TYPE, body));
}

/// Sends the reply to a call.
pub fn reply<B: Serialize>(responder: HttpResponder, identity: &ProcessIdentity, body: &B) {
    match envelope::seal(identity.header(), body) {
        Ok(frame) => responder.send(HttpResponse::new(StatusCode::OK, FRAME_TYPE, frame)),
        Err(_) => refuse(responder, RpcRefusal::Malformed),
    }
}
