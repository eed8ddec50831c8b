//! The listening server, on a single-threaded runtime of its own.

use {
    super::{
        connection::{refuse_connection, serve_connection, SHUTDOWN_GRACE_PERIOD},
        exchange::ExchangeContext,
        handshakes::drop_new_handshakes,
        RequestHandler, ServerLimits,
    },
    base::PeerAddress,
    snafu::{ResultExt, Snafu},
    std::{
        future::Future,
        io,
        net::TcpListener,
        pin::pin,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{watch, Semaphore},
        task::JoinSet,
    },
};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The number of connections above the limit that receive a response with the reason at the same
/// time; the server closes further ones without a response.
const MAX_CONCURRENT_REFUSALS: usize = 32;

/// Why a server can't start.
#[derive(Debug, Snafu)]
pub enum ServerError {
    /// The server can't listen on the address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: PeerAddress,
        /// The operating system's error.
        source: io::Error,
    },
    /// The runtime or its thread can't start.
    #[snafu(display("can't start the server's runtime: {source}"))]
    Runtime {
        /// The operating system's error.
        source: io::Error,
    },
}

/// A running server. Dropping it aborts requests in progress; [`HttpServer::shut_down`] waits for
/// them.
pub struct HttpServer {
    address: PeerAddress,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on `address` (port 0 selects a free port) and passes requests to `handler`.
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

    /// Returns the address on which the server listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Stops accepting connections and returns once every request in progress has been answered.
    /// This includes connections that the operating system has already accepted, and requests in
    /// transit on open connections.
    pub fn shut_down(mut self) {
        let _ = self.stop.send(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// State shared by the connections of one server.
struct ConnectionTable {
    exchange: ExchangeContext,
    stopped: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    running: JoinSet<()>,
}

impl ConnectionTable {
    fn new(
        limits: ServerLimits,
        handler: Arc<dyn RequestHandler>,
        stopped: watch::Receiver<bool>,
    ) -> Self {
        Self {
            exchange: ExchangeContext::new(limits, handler, stopped.clone()),
            stopped,
            permits: Arc::new(Semaphore::new(limits.connections)),
            refusals: Arc::new(Semaphore::new(MAX_CONCURRENT_REFUSALS)),
            running: JoinSet::new(),
        }
    }

    fn accept(&mut self, stream: TcpStream, peer: std::net::SocketAddr) {
        while self.running.try_join_next().is_some() {}
        let Ok(permit) = self.permits.clone().try_acquire_owned() else {
            return self.refuse(stream);
        };
        let _ = stream.set_nodelay(true);
        let exchange = self.exchange.for_peer(peer);
        let stopped = self.stopped.clone();
        self.running.spawn(async move {
            serve_connection(stream, exchange, stopped).await;
            drop(permit);
        });
    }

    fn refuse(&mut self, stream: TcpStream) {
        let Ok(permit) = self.refusals.clone().try_acquire_owned() else { return };
        self.running.spawn(async move {
            refuse_connection(stream).await;
            drop(permit);
        });
    }
}

async fn serve(
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn RequestHandler>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
    let mut table = ConnectionTable::new(limits, handler, stopped.clone());
    let is_stopped = async {
        let _ = stopped.wait_for(|stop| *stop).await;
    };
    accept_until(&listener, &mut table, is_stopped).await;
    if let Err(error) = drop_new_handshakes(&listener) {
        log::warn!("connections that begin during the shutdown may be reset: {error}");
    }
    accept_until(&listener, &mut table, tokio::time::sleep(SHUTDOWN_GRACE_PERIOD)).await;
    accept_backlog(listener, &mut table);
    while table.running.join_next().await.is_some() {}
}

/// Serves the connections that arrive until `end` completes and none is left to accept.
async fn accept_until(
    listener: &tokio::net::TcpListener,
    table: &mut ConnectionTable,
    end: impl Future<Output = ()>,
) {
    let mut end = pin!(end);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = end.as_mut() => return,
        };
        match accepted {
            Ok((stream, peer)) => table.accept(stream, peer),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves the connections that the operating system has accepted but the runtime has not yet
/// reported, and closes the listener.
fn accept_backlog(listener: tokio::net::TcpListener, table: &mut ConnectionTable) {
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, peer)) = listener.accept() {
        let converted = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = converted {
            table.accept(stream, peer);
        }
    }
}
