//! One connection: a reader, and a sender whose queue a task writes out.

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

/// Messages that may wait to be written. A receiver that is this far behind is lost.
const QUEUED_MESSAGES: usize = 8192;
/// How long sent bytes may stay unacknowledged: several round trips of a lossy link, and below
/// the time in which a silent peer has to be noticed.
const SEND_TIMEOUT: Duration = Duration::from_millis(1000);
const READ_BYTES: usize = 16 * 1024;
/// Bytes that are gathered before they are written.
const WRITE_BYTES: usize = 64 * 1024;

/// Why a stream has ended.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Io {
        /// What the system reported.
        source: io::Error,
    },
    /// No connection came about in time.
    #[snafu(display("no connection came about in time"))]
    ConnectTimeout,
    /// The other end closed it.
    #[snafu(display("the other end closed the connection"))]
    Closed,
    /// What came can't be read.
    #[snafu(display("{source}"))]
    Frame {
        /// Why.
        source: FrameError,
    },
}

/// The sending end of a stream.
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
    /// Queues a message. False if the stream has ended or its receiver is too far behind; then
    /// nothing more should be sent on it.
    pub fn send(&self, message: T) -> bool {
        self.queue.try_send(message).is_ok()
    }
}

/// The receiving end of a stream.
#[derive(Debug)]
pub struct LinkReader<T> {
    half: OwnedReadHalf,
    buffer: Vec<u8>,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> LinkReader<T> {
    /// The next message.
    pub async fn next(&mut self) -> Result<T, LinkError> {
        loop {
            if let Some(message) = take_frame(&mut self.buffer).context(FrameSnafu)? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BYTES);
            let count = self.half.read_buf(&mut self.buffer).await.context(IoSnafu)?;
            if count == 0 {
                return ClosedSnafu.fail();
            }
        }
    }
}

/// Connects to a listener.
pub async fn connect<T>(
    address: SocketAddr,
    patience: Duration,
) -> Result<(LinkSender<T>, LinkReader<T>), LinkError>
where
    T: Serialize + DeserializeOwned + 'static,
{
    let connecting = timeout(patience, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| LinkError::ConnectTimeout)?.context(IoSnafu)?;
    accept(stream)
}

/// Makes a stream of an accepted connection. Has to be called on a `LocalSet`.
pub fn accept<T>(stream: TcpStream) -> Result<(LinkSender<T>, LinkReader<T>), LinkError>
where
    T: Serialize + DeserializeOwned + 'static,
{
    stream.set_nodelay(true).context(IoSnafu)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(SEND_TIMEOUT)).context(IoSnafu)?;
    let (half, writer) = stream.into_split();
    let (queue, queued) = mpsc::channel(QUEUED_MESSAGES);
    tokio::task::spawn_local(write_queue(writer, queued));
    let reader = LinkReader { half, buffer: Vec::new(), message: PhantomData };
    Ok((LinkSender { queue }, reader))
}

/// Writes what is queued, many messages with one call, until the senders or the connection are
/// gone. The reader of a broken connection notices by itself.
async fn write_queue<T: Serialize>(mut half: OwnedWriteHalf, mut queued: mpsc::Receiver<T>) {
    let mut buffer = Vec::new();
    while let Some(message) = queued.recv().await {
        buffer.clear();
        let mut next = Some(message);
        while let Some(message) = next {
            if write_frame(&message, &mut buffer).is_err() {
                return;
            }
            next = if buffer.len() < WRITE_BYTES { queued.try_recv().ok() } else { None };
        }
        if half.write_all(&buffer).await.is_err() {
            return;
        }
    }
}
