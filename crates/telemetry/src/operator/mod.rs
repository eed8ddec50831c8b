//! The port on which operators look at a process: health, readiness, metrics and events.
//!
//! Control mounts its own calls beside these (`docs/CLI.md`). Nothing on this port changes a
//! process but those calls.

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

const TEXT: &str = "text/plain; charset=utf-8";
const JSON_LINES: &str = "application/jsonl";
const METRICS_TEXT: &str = "text/plain; version=0.0.4";
/// The largest number of events in one answer; the reader asks again from the last stamp.
const EVENTS_PER_ANSWER: usize = 2000;

/// A running operators' port.
pub struct OperatorPort(HttpServer);

impl OperatorPort {
    /// Listens on `address`. Paths that are not common to all roles go to `role_calls`.
    pub fn start(
        address: PeerAddress,
        context: ProcessContext,
        role_calls: Option<Arc<dyn RequestHandler>>,
    ) -> Result<Self, ServerError> {
        let handler = PortHandler { context, role_calls };
        HttpServer::start(address, ServerLimits::default(), Arc::new(handler)).map(Self)
    }

    /// Where the port listens.
    pub fn address(&self) -> PeerAddress {
        self.0.address()
    }

    /// Answers what is in progress, then closes.
    pub fn shut_down(self) {
        self.0.shut_down();
    }
}

struct PortHandler {
    context: ProcessContext,
    role_calls: Option<Arc<dyn RequestHandler>>,
}

impl RequestHandler for PortHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        match (request.method == Method::GET, request.uri.path()) {
            (true, "/healthz") => responder.send(text(StatusCode::OK, "ok\n")),
            (true, "/readyz") => responder.send(self.readiness()),
            (true, "/metrics") => responder.send(self.metrics()),
            (true, "/events") => responder.send(self.events(request.uri.query())),
            _ => match &self.role_calls {
                Some(calls) => calls.handle(request, responder),
                None => responder.send(text(StatusCode::NOT_FOUND, "no such path\n")),
            },
        }
    }
}

impl PortHandler {
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
        records.truncate(EVENTS_PER_ANSWER);
        HttpResponse::new(StatusCode::OK, JSON_LINES, to_json_lines(&records))
    }
}

fn text(status: StatusCode, body: &str) -> HttpResponse {
    HttpResponse::new(status, TEXT, body.to_owned())
}

/// Writes events one a line, as `/events` answers and as files keep them.
pub fn to_json_lines(records: &[EventRecord]) -> String {
    records
        .iter()
        .filter_map(|record| serde_json::to_string(record).ok())
        .map(|line| line + "\n")
        .collect()
}
