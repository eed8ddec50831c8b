//! The HTTP port on which a process serves its health, readiness, metrics and events to operators.
//!
//! Control adds its own calls to this port (`docs/CLI.md`). Only those calls change the state of a
//! process; all other paths are read-only.

use {
    crate::{context::ProcessContext, recorder::EventRecord},
    base::{HybridStamp, PeerAddress},
    http::{Method, StatusCode},
    proto::server::{
        HttpRequest, HttpResponder, HttpResponse, HttpServer, RequestHandler, ServerError,
        ServerLimits,
    },
    std::{str::FromStr, sync::Arc},
};

const PLAIN_TEXT: &str = "text/plain; charset=utf-8";
const JSON_LINES: &str = "application/jsonl";
const METRICS_TEXT: &str = "text/plain; version=0.0.4";
/// The maximum number of events in one response. The reader asks for the next events with the last
/// stamp that it received.
const MAX_EVENTS_PER_RESPONSE: usize = 2000;

/// A running operator port.
pub struct OperatorPort(HttpServer);

impl OperatorPort {
    /// Starts a server on `address`. Requests for paths that are not common to all roles go to
    /// `role_handler`. Fails if the server can't listen on `address`.
    pub fn start(
        address: PeerAddress,
        context: ProcessContext,
        role_handler: Option<Arc<dyn RequestHandler>>,
    ) -> Result<Self, ServerError> {
        let handler = OperatorHandler { context, role_handler };
        HttpServer::start(address, ServerLimits::default(), Arc::new(handler)).map(Self)
    }

    /// Returns the address on which the port listens.
    pub fn address(&self) -> PeerAddress {
        self.0.address()
    }

    /// Finishes the requests in progress, then closes the port.
    pub fn shut_down(self) {
        self.0.shut_down();
    }
}

struct OperatorHandler {
    context: ProcessContext,
    role_handler: Option<Arc<dyn RequestHandler>>,
}

impl RequestHandler for OperatorHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        match (request.method == Method::GET, request.uri.path()) {
            (true, "/healthz") => responder.send(text(StatusCode::OK, "ok\n")),
            (true, "/readyz") => responder.send(self.readiness()),
            (true, "/metrics") => responder.send(self.metrics()),
            (true, "/events") => responder.send(self.events(request.uri.query())),
            _ => match &self.role_handler {
                Some(calls) => calls.handle(request, responder),
                None => responder.send(text(StatusCode::NOT_FOUND, "path not found\n")),
            },
        }
    }
}

impl OperatorHandler {
    fn readiness(&self) -> HttpResponse {
        if self.context.is_ready() {
            text(StatusCode::OK, "ready\n")
        } else {
            text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    fn metrics(&self) -> HttpResponse {
        match self.context.metrics.export() {
            Ok(body) => HttpResponse::new(StatusCode::OK, METRICS_TEXT, body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }

    fn events(&self, query: Option<&str>) -> HttpResponse {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = match after.map(HybridStamp::from_str) {
            None => HybridStamp::default(),
            Some(Ok(after)) => after,
            Some(Err(error)) => return text(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let mut records = self.context.recorder.events_after(after);
        records.truncate(MAX_EVENTS_PER_RESPONSE);
        HttpResponse::new(StatusCode::OK, JSON_LINES, to_json_lines(&records))
    }
}

fn text(status: StatusCode, body: &str) -> HttpResponse {
    HttpResponse::new(status, PLAIN_TEXT, body.to_owned())
}

/// Formats events as JSON lines, the format of `/events` and of saved files.
pub fn to_json_lines(records: &[EventRecord]) -> String {
    records
        .iter()
        .filter_map(|record| serde_json::to_string(record).ok())
        .map(|line| line + "\n")
        .collect()
}
