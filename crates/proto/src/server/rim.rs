//! The server itself, on a single-threaded runtime of its own.

use {
    super::{HttpRequest, HttpResponder, HttpResponse, RequestHandler, ServerLimits},
    base::PeerAddress,
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    snafu::{ResultExt, Snafu},
    std::{
        convert::Infallible,
        io,
        net::{SocketAddr, TcpListener},
        pin::pin,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::sync::{oneshot, watch, Semaphore},
};

const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Why a server can't start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: PeerAddress,
        /// What the system reported.
        source: io::Error,
    },
    /// The runtime can't start.
    #[snafu(display("can't start the server's runtime: {source}"))]
    Runtime {
        /// What the system reported.
        source: io::Error,
    },
}

/// A running server. Dropping it aborts what is in progress; [`HttpServer::shut_down`] does not.
pub struct HttpServer {
    address: PeerAddress,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on `address` (port 0 picks a free one) and hands requests to `handler`.
    pub fn start(
        address: PeerAddress,
        limits: ServerLimits,
        handler: Arc<dyn RequestHandler>,
    ) -> Result<Self, ServerError> {
        let listener = TcpListener::bind(address.0).context(ListenSnafu { address })?;
        listener.set_nonblocking(true).context(ListenSnafu { address })?;
        let bound = PeerAddress(listener.local_addr().context(ListenSnafu { address })?);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(RuntimeSnafu)?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("http-rim".into())
            .spawn(move || runtime.block_on(serve(listener, limits, handler, stopped)))
            .context(RuntimeSnafu)?;
        Ok(Self { address: bound, stop, thread: Some(thread) })
    }

    /// Where the server listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Stops accepting at once, and returns when every request in progress has been answered.
    pub fn shut_down(mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn RequestHandler>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let connections = Arc::new(Semaphore::new(limits.connections));
    let requests = Arc::new(Semaphore::new(limits.requests));
    let mut running = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => accepted,
        };
        while running.try_join_next().is_some() {}
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(_) => {
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let exchange =
            ExchangeContext { limits, peer, handler: handler.clone(), requests: requests.clone() };
        let stopped = stopped.clone();
        running.spawn(async move {
            serve_connection(stream, exchange, stopped).await;
            drop(permit);
        });
    }
    drop(listener);
    while running.join_next().await.is_some() {}
}

#[derive(Clone)]
struct ExchangeContext {
    limits: ServerLimits,
    peer: SocketAddr,
    handler: Arc<dyn RequestHandler>,
    requests: Arc<Semaphore>,
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    exchange: ExchangeContext,
    mut stopped: watch::Receiver<bool>,
) {
    let limits = exchange.limits;
    let service = service_fn(move |request| {
        let exchange = exchange.clone();
        async move { Ok::<_, Infallible>(answer(exchange, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_deadline)
        .max_buf_size(limits.head.0 as usize)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer(exchange: ExchangeContext, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Ok(_permit) = exchange.requests.clone().try_acquire_owned() else {
        return into_response(problem(StatusCode::SERVICE_UNAVAILABLE, "overloaded"));
    };
    let (head, body) = request.into_parts();
    let limit = exchange.limits.body.0 as usize;
    let collected =
        tokio::time::timeout(exchange.limits.body_deadline, Limited::new(body, limit).collect());
    let body = match collected.await {
        Err(_) => return into_response(problem(StatusCode::REQUEST_TIMEOUT, "slow-body")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return into_response(problem(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"));
        }
        Ok(Err(_)) => return into_response(problem(StatusCode::BAD_REQUEST, "broken-body")),
        Ok(Ok(body)) => body.to_bytes(),
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
    into_response(receiver.await.unwrap_or_else(dropped))
}

/// A problem that the rim itself reports. The request has not been handed on, so it did not run,
/// but for `no-answer`, of which nothing is known.
fn problem(status: StatusCode, reason: &str) -> HttpResponse {
    let outcome = if reason == "no-answer" { "unknown" } else { "not-run" };
    let body = format!(
        r#"{{"title":"{reason}","status":{},"outcome":"{outcome}","reason":"{reason}"}}"#,
        status.as_u16()
    );
    HttpResponse::new(status, PROBLEM_CONTENT_TYPE, body)
}

fn into_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut built = Response::new(Full::new(response.body));
    *built.status_mut() = response.status;
    *built.headers_mut() = response.headers;
    built
}
