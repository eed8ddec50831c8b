//! The operators' API: JSON over HTTP, on the operator port of the process.

mod routes;

use {
    super::inbox::{hand_over, InboundCall},
    crate::node::OperatorAnswer,
    crossbeam::channel::Sender,
    http::StatusCode,
    proto::{
        messages::operator::{OperatorProblem, OperatorProblemKind},
        rpc::RpcRefusal,
        server::{HttpRequest, HttpResponder, HttpResponse, RequestHandler},
    },
    serde::Serialize,
    std::sync::Mutex,
};

const JSON: &str = "application/json";

/// Passes operators' requests to the reducer as calls.
pub(super) struct OperatorApi {
    calls: Mutex<Option<Sender<InboundCall>>>,
}

impl OperatorApi {
    pub(super) fn new(calls: Sender<InboundCall>) -> Self {
        Self { calls: Mutex::new(Some(calls)) }
    }

    /// Refuses all further requests.
    pub(super) fn close(&self) {
        self.calls.lock().expect("no holder of the sender panics").take();
    }

    fn sender(&self) -> Option<Sender<InboundCall>> {
        self.calls.lock().expect("no holder of the sender panics").clone()
    }
}

impl RequestHandler for OperatorApi {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        let call = match routes::parse(&request) {
            Ok(call) => call,
            Err(problem) => return send_problem(responder, &problem),
        };
        let Some(calls) = self.sender() else {
            return send_problem(responder, &overloaded("the process is shutting down"));
        };
        let handed = hand_over(&calls, InboundCall::Operator(Box::new(call), responder));
        if let Err((refusal, responder)) = handed {
            let detail = match refusal {
                RpcRefusal::ShuttingDown => "the process is shutting down",
                _ => "the call queue is full; try again",
            };
            send_problem(responder, &overloaded(detail));
        }
    }
}

fn overloaded(detail: &str) -> OperatorProblem {
    let kind = OperatorProblemKind::Overloaded;
    OperatorProblem { kind, detail: detail.to_owned(), leader: None }
}

/// Sends the reducer's answer as JSON.
pub(super) fn send_answer(responder: HttpResponder, answer: &OperatorAnswer) {
    match answer {
        OperatorAnswer::Applied(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Declarations(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Submitted(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Jobs(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Job(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Cancelled(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Unparked(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Drained(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Status(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Members(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Explained(body) => send_json(responder, StatusCode::OK, body),
        OperatorAnswer::Problem(problem) => send_problem(responder, problem),
    }
}

fn send_problem(responder: HttpResponder, problem: &OperatorProblem) {
    let status = match problem.kind {
        OperatorProblemKind::NotLeader => StatusCode::MISDIRECTED_REQUEST,
        OperatorProblemKind::Unconfirmed => StatusCode::GATEWAY_TIMEOUT,
        OperatorProblemKind::BadRequest => StatusCode::BAD_REQUEST,
        OperatorProblemKind::NotFound => StatusCode::NOT_FOUND,
        OperatorProblemKind::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
    };
    send_json(responder, status, problem);
}

fn send_json(responder: HttpResponder, status: StatusCode, body: &impl Serialize) {
    match serde_json::to_vec(body) {
        Ok(body) => responder.send(HttpResponse::new(status, JSON, body)),
        Err(_) => {
            responder.send(HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, JSON, Vec::new()))
        }
    }
}
