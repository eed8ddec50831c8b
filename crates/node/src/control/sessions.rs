//! The streams that other processes have opened to this one.

use {
    super::ControlInput,
    link::{LinkReader, LinkSender},
    std::{
        collections::HashMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::mpsc::UnboundedSender, time::sleep},
    workflow::{
        control::{ControlEvent, SessionId},
        message::LinkMessage,
    },
};

/// The most open streams. Each process of the largest deployment keeps one.
const SESSIONS_LIMIT: usize = 2048;
/// The pause after an `accept` that failed, for example because no file descriptor was free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

static LAST_SESSION: AtomicU64 = AtomicU64::new(0);

/// Returns an unused id for a new stream.
pub(super) fn next_session() -> SessionId {
    SessionId(LAST_SESSION.fetch_add(1, Ordering::Relaxed) + 1)
}

#[derive(Debug, Default)]
pub(super) struct SessionTable {
    senders: HashMap<SessionId, LinkSender<LinkMessage>>,
}

impl SessionTable {
    pub(super) fn insert(&mut self, session: SessionId, sender: LinkSender<LinkMessage>) {
        if self.senders.len() < SESSIONS_LIMIT {
            self.senders.insert(session, sender);
        }
    }

    pub(super) fn remove(&mut self, session: SessionId) {
        self.senders.remove(&session);
    }

    /// Sends a message. Closes the stream if its receiver has fallen too far behind.
    pub(super) fn send(&mut self, session: SessionId, message: LinkMessage) {
        let sent = self.senders.get(&session).is_none_or(|sender| sender.send(message));
        if !sent {
            self.senders.remove(&session);
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
        if inputs.send(ControlInput::Opened(session, sender)).is_err() {
            return;
        }
        let inputs = inputs.clone();
        tokio::task::spawn_local(async move {
            read_messages(reader, session, &inputs).await;
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
