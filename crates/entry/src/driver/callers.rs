//! The callers' port.

use {
    super::reactor::{Exchange, ReactorMessage},
    crate::{
        http::{parse_request, problem_response, ParsedRequest},
        problem::ProblemReport,
        reducer::RequestNames,
    },
    base::ClockSource,
    crossbeam::channel::{Sender, TrySendError},
    proto::{
        messages::NotRunReason,
        server::{HttpRequest, HttpResponder, RequestHandler},
    },
    routing::{refuse_undispatched, EndedRequest, RequestNumber},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    telemetry::ProcessContext,
};

/// Reads callers' requests and hands them to the reducer.
pub(super) struct CallerHandler {
    names: RequestNames,
    next: AtomicU64,
    clock: Arc<dyn ClockSource>,
    inbox: Sender<ReactorMessage>,
}

impl CallerHandler {
    pub fn new(context: ProcessContext, inbox: Sender<ReactorMessage>) -> Self {
        let sender = context.identity.sender();
        let names = RequestNames::new(&sender.name, sender.incarnation);
        let clock = context.clock().clone();
        Self { names, next: AtomicU64::new(1), clock, inbox }
    }

    /// Refuses a request that the reducer has not seen.
    fn refuse(&self, number: RequestNumber, reason: NotRunReason, responder: HttpResponder) {
        let outcome = refuse_undispatched(reason);
        let ended = EndedRequest { number, outcome, retry_after: None };
        if let Some(problem) = ProblemReport::of_ended(&ended) {
            responder.send(problem_response(&problem, &self.names.id(number), None));
        }
    }
}

impl RequestHandler for CallerHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        let number = RequestNumber(self.next.fetch_add(1, Ordering::Relaxed));
        let Ok(parsed) = parse_request(&request) else {
            return self.refuse(number, NotRunReason::BadRequest, responder);
        };
        let ParsedRequest { head, forwarded, caller_id } = parsed;
        let exchange = Exchange {
            id: self.names.id(number),
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
            self.refuse(number, reason, exchange.responder);
        }
    }
}
