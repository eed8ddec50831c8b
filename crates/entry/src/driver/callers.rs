//! The callers' port.

use {
    super::reactor::{Exchange, ReactorMessage},
    crate::{
        http::{parse_request, problem_response, ParsedRequest},
        problem::ProblemReport,
        reducer::RequestIdSource,
    },
    base::ClockSource,
    crossbeam::channel::{Sender, TrySendError},
    proto::{
        messages::NotRunReason,
        server::{HttpRequest, HttpResponder, RequestHandler},
    },
    routing::{reject_undispatched, EndedRequest, RequestNumber},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    telemetry::ProcessContext,
};

/// Parses callers' requests and sends them to the reducer.
pub(super) struct CallerHandler {
    request_ids: RequestIdSource,
    next: AtomicU64,
    clock: Arc<dyn ClockSource>,
    inbox: Sender<ReactorMessage>,
}

impl CallerHandler {
    pub fn new(context: ProcessContext, inbox: Sender<ReactorMessage>) -> Self {
        let sender = context.identity.sender();
        let request_ids = RequestIdSource::new(&sender.name, sender.incarnation);
        let clock = context.clock().clone();
        Self { request_ids, next: AtomicU64::new(1), clock, inbox }
    }

    /// Rejects a request before the reducer receives it.
    fn reject(&self, number: RequestNumber, reason: NotRunReason, responder: HttpResponder) {
        let outcome = reject_undispatched(reason);
        let ended = EndedRequest { number, outcome, retry_after: None };
        if let Some(problem) = ProblemReport::from_ended(&ended) {
            responder.send(problem_response(&problem, &self.request_ids.id(number), None));
        }
    }
}

impl RequestHandler for CallerHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        let number = RequestNumber(self.next.fetch_add(1, Ordering::Relaxed));
        let Ok(parsed) = parse_request(&request) else {
            return self.reject(number, NotRunReason::BadRequest, responder);
        };
        let ParsedRequest { head, forwarded, caller_id } = parsed;
        let exchange = Exchange {
            id: self.request_ids.id(number),
            request: forwarded,
            caller_id,
            responder,
            arrived: self.clock.monotonic(),
        };
        let message = ReactorMessage::Caller { number, head, exchange };
        let (message, reason) = match self.inbox.try_send(message) {
            Ok(()) => return,
            Err(TrySendError::Full(message)) => (message, NotRunReason::QueueFull),
            Err(TrySendError::Disconnected(message)) => (message, NotRunReason::ShuttingDown),
        };
        if let ReactorMessage::Caller { exchange, .. } = message {
            self.reject(number, reason, exchange.responder);
        }
    }
}
