//! Serves one connection, enforces its deadlines and closes it when the server shuts down.

use {
    super::exchange::{answer, problem, ExchangeContext, PROBLEM_CONTENT_TYPE},
    http::StatusCode,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        future::Future,
        io,
        pin::{pin, Pin},
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        sync::watch,
        time::Sleep,
    },
};

/// How long an open connection may still deliver a request, and a handshake complete, after the server
/// begins to shut down. What is already in transit is then answered instead of being cut off.
pub(super) const SHUTDOWN_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// How long a rejected connection stays open for its peer to read the reason.
const REFUSAL_DEADLINE: Duration = Duration::from_secs(1);
/// The smallest buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Serves a connection until its peer or the server closes it.
pub(super) async fn serve_connection(
    stream: TcpStream,
    exchange: ExchangeContext,
    mut stopped: watch::Receiver<bool>,
) {
    let limits = exchange.limits;
    let service = service_fn(move |request| {
        let exchange = exchange.clone();
        async move { Ok::<_, Infallible>(answer(exchange, request).await) }
    });
    let stream = DeadlineStream::new(stream, limits.write_deadline);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_deadline)
        .max_buf_size((limits.head.0 as usize).max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => {}
    }
    if tokio::time::timeout(SHUTDOWN_GRACE_PERIOD, connection.as_mut()).await.is_ok() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Answers a connection above the limit with the reason and closes it.
pub(super) async fn refuse_connection(mut stream: TcpStream) {
    let body = problem(StatusCode::SERVICE_UNAVAILABLE, "too-many-connections").body;
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: {}\r\ncontent-length: {}\r\n\
         connection: close\r\nretry-after: 1\r\n\r\n",
        PROBLEM_CONTENT_TYPE,
        body.len()
    );
    let refusal = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
        stream.shutdown().await?;
        // Closing a connection with unread bytes resets it, and the peer could lose the response.
        // Reading and discarding what the peer sends prevents that.
        let mut dropped = [0; 4096];
        while stream.read(&mut dropped).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    let _ = tokio::time::timeout(REFUSAL_DEADLINE, refusal).await;
}

/// A stream whose writes fail once a response has waited longer than `limit` for its peer to read.
struct DeadlineStream {
    stream: TcpStream,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl DeadlineStream {
    fn new(stream: TcpStream, limit: Duration) -> Self {
        Self { stream, limit, waiting: None }
    }

    /// Returns an error once `limit` has passed since the first pending write of the response.
    fn bound<T>(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            return polled;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match waiting.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for DeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for DeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.bound(context, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.bound(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Clears the deadline once the whole response has been handed to the operating system.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if polled.is_ready() {
            self.waiting = None;
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
