//! The internal port, where other processes pull newer declarations.

use {
    super::reactor::ReactorMessage,
    crossbeam::channel::Sender,
    proto::{
        messages::DeclarationPull,
        rpc::{RpcCall, RpcRefusal},
        server::{RequestHandler, RpcInbox},
    },
    std::sync::Arc,
    telemetry::ProcessContext,
};

pub(super) fn internal_handler(
    context: ProcessContext,
    inbox: Sender<ReactorMessage>,
) -> Arc<dyn RequestHandler> {
    Arc::new(RpcInbox::new(context.identity.clone(), move |path, frame, responder| {
        if path != DeclarationPull::PATH {
            return Err((RpcRefusal::NoSuchPath, responder));
        }
        if frame.require_role(DeclarationPull::FROM).is_err() {
            return Err((RpcRefusal::WrongRole, responder));
        }
        let Ok(pull) = frame.body::<DeclarationPull>() else {
            return Err((RpcRefusal::Malformed, responder));
        };
        let message = ReactorMessage::Declarations { known: pull.known, responder };
        inbox.try_send(message).map_err(|rejected| match rejected.into_inner() {
            ReactorMessage::Declarations { responder, .. } => (RpcRefusal::Overloaded, responder),
            _ => unreachable!("a channel returns the message that it rejected"),
        })
    }))
}
