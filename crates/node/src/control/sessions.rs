//! The streams that other processes have opened to this one.

use {
    super::ControlInput,
    link::{LinkReader, LinkSender},
    std::{
        collections::HashMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{mpsc::UnboundedSender, oneshot},
        time::sleep,
    },
    workflow::{
        control::{ControlEvent, SessionId},
        message::LinkMessage,
    },
};

/// The most open streams. Each process of the largest deployment keeps one.
const SESSIONS_LIMIT: usize = 2048;
/// How long nothing may come on an accepted stream: many intervals of the pings of entries and agents.
/// Another control process opens its stream again when it has something to send.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause after an `accept` that failed, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

static LAST_SESSION: AtomicU64 = AtomicU64::new(0);

/// Returns an unused id for a new stream.
pub(super) fn next_session() -> SessionId {
    SessionId(LAST_SESSION.fetch_add(1, Ordering::Relaxed) + 1)
}

/// An open stream. An accepted one ends when this is dropped.
#[derive(Debug)]
pub(super) struct OpenStream {
    sender: LinkSender<LinkMessage>,
    /// Only of an accepted stream: the others are watched by those who have opened them.
    close: Option<oneshot::Sender<()>>,
}

impl OpenStream {
    /// A stream that this process has opened and keeps by other means.
    pub(super) fn own(sender: LinkSender<LinkMessage>) -> Self {
        Self { sender, close: None }
    }
}

#[derive(Debug)]
struct SessionRecord {
    stream: OpenStream,
    heard_at: Duration,
}

#[derive(Debug, Default)]
pub(super) struct SessionTable {
    records: HashMap<SessionId, SessionRecord>,
}

impl SessionTable {
    /// Adds a stream, which is closed if there are too many.
    pub(super) fn insert(&mut self, session: SessionId, stream: OpenStream, now: Duration) {
        if self.records.len() < SESSIONS_LIMIT {
            self.records.insert(session, SessionRecord { stream, heard_at: now });
        }
    }

    pub(super) fn remove(&mut self, session: SessionId) {
        self.records.remove(&session);
    }

    /// Records that something has come on a stream.
    pub(super) fn hear(&mut self, session: SessionId, now: Duration) {
        if let Some(record) = self.records.get_mut(&session) {
            record.heard_at = now;
        }
    }

    /// Closes the accepted streams on which nothing has come for long: their other ends may be gone
    /// without a sign.
    pub(super) fn close_silent(&mut self, now: Duration) {
        self.records.retain(|_, record| {
            let silent = now.saturating_sub(record.heard_at) >= SILENCE_TIMEOUT;
            record.stream.close.is_none() || !silent
        });
    }

    /// Sends a message. Closes the stream if its receiver has fallen too far behind.
    pub(super) fn send(&mut self, session: SessionId, message: LinkMessage) {
        let sent =
            self.records.get(&session).is_none_or(|record| record.stream.sender.send(message));
        if !sent {
            self.records.remove(&session);
        }
    }
}

/// Accepts streams until the event loop has ended.
pub(super) async fn accept_streams(listener: TcpListener, inputs: UnboundedSender<ControlInput>) {
    while !inputs.is_closed() {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok((sender, reader)) = link::accept::<LinkMessage>(stream) else { continue };
        let session = next_session();
        let (close, closed) = oneshot::channel();
        let stream = OpenStream { sender, close: Some(close) };
        if inputs.send(ControlInput::Opened(session, stream)).is_err() {
            return;
        }
        let inputs = inputs.clone();
        tokio::task::spawn_local(async move {
            tokio::select! {
                () = read_messages(reader, session, &inputs) => {}
                _ = closed => {}
            }
            let closed = ControlEvent::Closed { session };
            let _ = inputs.send(ControlInput::Event(closed));
        });
    }
}

/// Passes messages on until the stream or the event loop has ended.
async fn read_messages(
    mut reader: LinkReader<LinkMessage>,
    session: SessionId,
    inputs: &UnboundedSender<ControlInput>,
) {
    while let Ok(message) = reader.next().await {
        if !pass_message(message, session, inputs) {
            return;
        }
    }
}

/// Passes a message on. Returns false if the event loop has ended.
pub(super) fn pass_message(
    message: LinkMessage,
    session: SessionId,
    inputs: &UnboundedSender<ControlInput>,
) -> bool {
    inputs.send(ControlInput::Event(ControlEvent::Message { session, message })).is_ok()
}

#[cfg(test)]
#[path = "../../tests/unit/sessions.rs"]
mod tests;
