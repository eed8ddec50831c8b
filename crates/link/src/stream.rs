//! One connection: a reader, and a sender with a queue that a background task writes to the socket.

use {
    super::frame::{take_frame, write_frame, FrameError},
    serde::{de::DeserializeOwned, Serialize},
    snafu::{ResultExt, Snafu},
    socket2::SockRef,
    std::{io, marker::PhantomData, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpStream,
        },
        sync::mpsc,
        time::timeout,
    },
};

/// Queue limit of a sender, in messages. A receiver that is this far behind counts as lost.
const QUEUE_LIMIT: usize = 8192;
/// How long sent bytes may remain unacknowledged: several round trips of a lossy link, but less
/// than the time in which a silent peer must be detected.
const SEND_TIMEOUT: Duration = Duration::from_millis(1000);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes to collect before they are written to the socket.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Why a stream has ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection was not established within the timeout.
    #[snafu(display("the connection was not established in time"))]
    ConnectTimeout,
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// The peer sent a frame that can't be decoded.
    #[snafu(display("{source}"))]
    Frame {
        /// The error of the frame.
        source: FrameError,
    },
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct LinkSender<T> {
    queue: mpsc::Sender<T>,
}

impl<T> Clone for LinkSender<T> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone() }
    }
}

impl<T> LinkSender<T> {
    /// Queues a message. Returns false if the stream has ended or the queue is full; the caller
    /// must then stop using the stream.
    pub fn send(&self, message: T) -> bool {
        self.queue.try_send(message).is_ok()
    }
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct LinkReader<T> {
    read_half: OwnedReadHalf,
    buffer: Vec<u8>,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> LinkReader<T> {
    /// Waits for the next message. Fails when the stream has ended or a frame can't be decoded.
    pub async fn next(&mut self) -> Result<T, LinkError> {
        loop {
            if let Some(message) = take_frame(&mut self.buffer).context(FrameSnafu)? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            let count = self.read_half.read_buf(&mut self.buffer).await.context(IoSnafu)?;
            if count == 0 {
                return ClosedSnafu.fail();
            }
        }
    }
}

/// Connects to a listener. Fails with [`LinkError::ConnectTimeout`] after `connect_timeout`. Must
/// be called on a `LocalSet`.
pub async fn connect<T>(
    address: SocketAddr,
    connect_timeout: Duration,
) -> Result<(LinkSender<T>, LinkReader<T>), LinkError>
where
    T: Serialize + DeserializeOwned + 'static,
{
    let connecting = timeout(connect_timeout, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| LinkError::ConnectTimeout)?.context(IoSnafu)?;
    accept(stream)
}

/// Turns an accepted connection into a stream. Must be called on a `LocalSet`.
pub fn accept<T>(stream: TcpStream) -> Result<(LinkSender<T>, LinkReader<T>), LinkError>
where
    T: Serialize + DeserializeOwned + 'static,
{
    stream.set_nodelay(true).context(IoSnafu)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT)).context(IoSnafu)?;
    let (read_half, write_half) = stream.into_split();
    let (queue, queued) = mpsc::channel(QUEUE_LIMIT);
    tokio::task::spawn_local(write_queue(write_half, queued));
    let reader = LinkReader { read_half, buffer: Vec::new(), message: PhantomData };
    Ok((LinkSender { queue }, reader))
}

/// Writes queued messages, many with one call, until all senders are dropped or the connection
/// fails. The reader detects a failed connection independently.
async fn write_queue<T: Serialize>(mut write_half: OwnedWriteHalf, mut queued: mpsc::Receiver<T>) {
    let mut buffer = Vec::new();
    while let Some(message) = queued.recv().await {
        buffer.clear();
        let mut next = Some(message);
        while let Some(message) = next {
            if write_frame(&message, &mut buffer).is_err() {
                return;
            }
            next = if buffer.len() < WRITE_BATCH_BYTES { queued.try_recv().ok() } else { None };
        }
        if write_half.write_all(&buffer).await.is_err() {
            return;
        }
    }
}
