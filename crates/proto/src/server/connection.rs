//! One connection: its deadlines, and how it ends when the server stops.

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

/// How long an open connection may still bring a request once the server stops, so that one that
/// is on its way is answered and not cut off.
const STOP_GRACE: Duration = Duration::from_millis(250);
/// How long a refused connection is kept for its peer to read why.
const REFUSAL_DEADLINE: Duration = Duration::from_secs(1);
/// The smallest buffer that the library takes.
const SMALLEST_HEAD: usize = 8192;

/// Serves a connection until its peer or the server ends it.
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
        .max_buf_size((limits.head.0 as usize).max(SMALLEST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = stopped.wait_for(|stop| *stop) => {}
    }
    if tokio::time::timeout(STOP_GRACE, connection.as_mut()).await.is_ok() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Tells the peer of a connection above the limit why it is closed.
pub(super) async fn refuse_connection(mut stream: TcpStream) {
    let body = problem(StatusCode::SERVICE_UNAVAILABLE, "too-many-connections").body;
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: {}\r\ncontent-length: {}\r\n\
         connection: close\r\nretry-after: 1\r\n\r\n",
        PROBLEM_CONTENT_TYPE,
        body.len()
    );
    let told = async {
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(&body).await?;
        stream.shutdown().await?;
        // A connection that is closed with unread bytes is reset, and the peer might lose the
        // answer: what it sends is read and dropped.
        let mut dropped = [0; 4096];
        while stream.read(&mut dropped).await? > 0 {}
        Ok::<_, io::Error>(())
    };
    let _ = tokio::time::timeout(REFUSAL_DEADLINE, told).await;
}

/// A stream whose writes fail once a response has waited for its peer for too long.
struct DeadlineStream {
    stream: TcpStream,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl DeadlineStream {
    fn new(stream: TcpStream, limit: Duration) -> Self {
        Self { stream, limit, waiting: None }
    }

    /// Turns waiting into an error once the deadline, counted from the first wait, has passed.
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

    /// Called once everything has been handed to the system: the response is written.
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
