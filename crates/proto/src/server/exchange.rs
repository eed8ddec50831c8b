//! One exchange: reads a request, passes it to the handler and returns the response.

use {
    super::{HttpRequest, HttpResponder, HttpResponse, RequestHandler, ServerLimits},
    bytes::{Bytes, BytesMut},
    http::{header, HeaderValue, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{oneshot, watch, OwnedSemaphorePermit, Semaphore},
};

pub(super) const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";
/// The unit in which body memory is accounted, in bytes.
const BODY_UNIT: usize = 1024;

/// State shared by all exchanges of a server.
#[derive(Clone)]
pub(super) struct ExchangeContext {
    pub(super) limits: ServerLimits,
    peer: SocketAddr,
    handler: Arc<dyn RequestHandler>,
    requests: Arc<Semaphore>,
    body_units: Arc<Semaphore>,
    stopped: watch::Receiver<bool>,
}

impl ExchangeContext {
    pub(super) fn new(
        limits: ServerLimits,
        handler: Arc<dyn RequestHandler>,
        stopped: watch::Receiver<bool>,
    ) -> Self {
        Self {
            limits,
            peer: SocketAddr::from(([0, 0, 0, 0], 0)),
            handler,
            requests: Arc::new(Semaphore::new(limits.requests)),
            body_units: Arc::new(Semaphore::new(limits.body_memory.0 as usize / BODY_UNIT)),
            stopped,
        }
    }

    pub(super) fn for_peer(&self, peer: SocketAddr) -> Self {
        Self { peer, ..self.clone() }
    }
}

/// Answers one request.
pub(super) async fn answer(
    exchange: ExchangeContext,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let mut response = into_response(respond(&exchange, request).await);
    if *exchange.stopped.borrow() {
        // Makes the peer send its next request to another process.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(exchange: &ExchangeContext, request: Request<Incoming>) -> HttpResponse {
    let Ok(_permit) = exchange.requests.clone().try_acquire_owned() else {
        return problem(StatusCode::SERVICE_UNAVAILABLE, "overloaded");
    };
    let (head, body) = request.into_parts();
    let collected = tokio::time::timeout(exchange.limits.body_deadline, collect(exchange, body));
    let (body, _units) = match collected.await {
        Err(_) => return problem(StatusCode::REQUEST_TIMEOUT, "slow-body"),
        Ok(Err(refusal)) => return refusal.into_problem(),
        Ok(Ok(body)) => body,
    };
    let request = HttpRequest {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        peer: exchange.peer,
    };
    let (sender, receiver) = oneshot::channel();
    exchange.handler.handle(request, HttpResponder { sender });
    let dropped = |_| problem(StatusCode::SERVICE_UNAVAILABLE, "no-answer");
    receiver.await.unwrap_or_else(dropped)
}

enum BodyRefusal {
    TooLarge,
    Overloaded,
    Broken,
}

impl BodyRefusal {
    fn into_problem(self) -> HttpResponse {
        match self {
            Self::TooLarge => problem(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            Self::Overloaded => problem(StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
            Self::Broken => problem(StatusCode::BAD_REQUEST, "broken-body"),
        }
    }
}

/// Reads a whole body. Rejects a body whose declared length exceeds the limit without reading it,
/// and reserves units of the shared body memory before using them.
async fn collect(
    exchange: &ExchangeContext,
    mut body: Incoming,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), BodyRefusal> {
    let limit = exchange.limits.body.0;
    if body.size_hint().lower() > limit {
        return Err(BodyRefusal::TooLarge);
    }
    let mut collected = BytesMut::new();
    let mut reserved: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyRefusal::Broken)?.into_data() else { continue };
        let size = collected.len() + data.len();
        if size as u64 > limit {
            return Err(BodyRefusal::TooLarge);
        }
        let units = size.div_ceil(BODY_UNIT);
        let missing = units - reserved.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let acquired = exchange.body_units.clone().try_acquire_many_owned(missing as u32);
        let acquired = acquired.map_err(|_| BodyRefusal::Overloaded)?;
        match &mut reserved {
            Some(reserved) => reserved.merge(acquired),
            None => reserved = Some(acquired),
        }
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), reserved))
}

/// Builds a problem response that the server itself reports. The handler never received the
/// request, so that it did not run. The exception is `no-answer`: the handler received it, and the
/// outcome is unknown.
pub(super) fn problem(status: StatusCode, reason: &str) -> HttpResponse {
    let outcome = if reason == "no-answer" { "unknown" } else { "not-run" };
    let body = problem_body(status, reason, outcome);
    HttpResponse::new(status, PROBLEM_CONTENT_TYPE, body)
}

fn problem_body(status: StatusCode, reason: &str, outcome: &str) -> String {
    format!(
        r#"{{"title":"{reason}","status":{},"outcome":"{outcome}","reason":"{reason}"}}"#,
        status.as_u16()
    )
}

pub(super) fn into_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut built = Response::new(Full::new(response.body));
    *built.status_mut() = response.status;
    *built.headers_mut() = response.headers;
    built
}
