//! One exchange: from a request's bytes to the handler, and back.

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
/// The unit in which the memory for bodies is counted.
const BODY_UNIT: usize = 1024;

/// What every exchange of a server shares.
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
        // The peer is to send its next request elsewhere.
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

/// Reads a whole body. One that says that it is too large is refused unread, and memory is taken
/// from what all bodies share before it is used.
async fn collect(
    exchange: &ExchangeContext,
    mut body: Incoming,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), BodyRefusal> {
    let limit = exchange.limits.body.0;
    if body.size_hint().lower() > limit {
        return Err(BodyRefusal::TooLarge);
    }
    let mut collected = BytesMut::new();
    let mut held: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyRefusal::Broken)?.into_data() else { continue };
        let size = collected.len() + data.len();
        if size as u64 > limit {
            return Err(BodyRefusal::TooLarge);
        }
        let units = size.div_ceil(BODY_UNIT);
        let more = units - held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let taken = exchange.body_units.clone().try_acquire_many_owned(more as u32);
        let taken = taken.map_err(|_| BodyRefusal::Overloaded)?;
        match &mut held {
            Some(held) => held.merge(taken),
            None => held = Some(taken),
        }
        collected.extend_from_slice(&data);
    }
    Ok((collected.freeze(), held))
}

/// A problem that the rim itself reports. The request has not been handed on, so it did not run,
/// but for `no-answer`, of which nothing is known.
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
