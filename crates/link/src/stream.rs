//! One connection: a reader, and a sender with a queue that a background task writes to the socket.

use {
    super::{
        frame::{take_frame, write_frame, FrameError},
        ticket::SendTicket,
    },
    serde::{de::DeserializeOwned, Serialize},
    snafu::{ResultExt, Snafu},
    socket2::SockRef,
    std::{collections::VecDeque, io, marker::PhantomData, net::SocketAddr, time::Duration},
    tokio::{
        io::AsyncReadExt,
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
    queue: mpsc::Sender<QueuedMessage<T>>,
}

#[derive(Debug)]
struct QueuedMessage<T> {
    message: T,
    ticket: Option<SendTicket>,
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
        self.queue.try_send(QueuedMessage { message, ticket: None }).is_ok()
    }

    /// Queues a message and returns the ticket that says whether it was written. Returns `None`,
    /// and never writes the message, where [`LinkSender::send`] returns false.
    pub fn send_tracked(&self, message: T) -> Option<SendTicket> {
        let ticket = SendTicket::new();
        let queued = QueuedMessage { message, ticket: Some(ticket.clone()) };
        self.queue.try_send(queued).ok().map(|()| ticket)
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
async fn write_queue<T: Serialize>(
    write_half: OwnedWriteHalf,
    mut queued: mpsc::Receiver<QueuedMessage<T>>,
) {
    let mut batch = WriteBatch::default();
    while let Some(message) = queued.recv().await {
        let mut next = Some(message);
        while let Some(QueuedMessage { message, ticket }) = next {
            if batch.add(&message, ticket).is_err() {
                return;
            }
            let room = batch.bytes.len() < WRITE_BATCH_BYTES;
            next = if room { queued.try_recv().ok() } else { None };
        }
        if batch.write(&write_half).await.is_err() {
            return;
        }
    }
}

/// Encoded messages on their way to the socket.
#[derive(Debug, Default)]
struct WriteBatch {
    bytes: Vec<u8>,
    /// How many of `bytes` the socket has taken.
    written: usize,
    /// The tracked messages of which nothing is written, in the order of their frames.
    tracked: VecDeque<TrackedFrame>,
}

#[derive(Debug)]
struct TrackedFrame {
    start: usize,
    length: usize,
    ticket: SendTicket,
}

impl WriteBatch {
    fn add<T: Serialize>(
        &mut self,
        message: &T,
        ticket: Option<SendTicket>,
    ) -> Result<(), FrameError> {
        let start = self.bytes.len();
        write_frame(message, &mut self.bytes)?;
        let length = self.bytes.len() - start;
        self.tracked.extend(ticket.map(|ticket| TrackedFrame { start, length, ticket }));
        Ok(())
    }

    /// Writes everything and empties the batch. While the socket takes nothing, tracked messages
    /// can be withdrawn.
    async fn write(&mut self, write_half: &OwnedWriteHalf) -> io::Result<()> {
        loop {
            self.claim_tracked();
            if self.written == self.bytes.len() {
                break;
            }
            let result = write_half.try_write(&self.bytes[self.written..]);
            self.written += *result.as_ref().unwrap_or(&0);
            self.release_unwritten();
            match result {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    write_half.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
        self.bytes.clear();
        self.written = 0;
        Ok(())
    }

    /// Reserves the tracked messages for a write, and removes those that were withdrawn.
    fn claim_tracked(&mut self) {
        let mut removed = 0;
        let bytes = &mut self.bytes;
        self.tracked.retain_mut(|frame| {
            frame.start -= removed;
            let claimed = frame.ticket.claim();
            if !claimed {
                bytes.drain(frame.start..frame.start + frame.length);
                removed += frame.length;
            }
            claimed
        });
    }

    /// Makes the tracked messages that the write did not reach withdrawable again.
    fn release_unwritten(&mut self) {
        while self.tracked.front().is_some_and(|frame| frame.start < self.written) {
            self.tracked.pop_front();
        }
        for frame in &self.tracked {
            frame.ticket.release();
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/stream.rs"]
mod tests;
