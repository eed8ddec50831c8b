//! The streams to the other control processes. A message that can't be sent at once is dropped: the
//! log tolerates lost messages.
//!
//! The answers to these messages arrive on the peer's own stream to this process, so that nothing
//! shows whether this one still works. While it is in use, the peer is asked for a sign of life, and
//! a stream on which none comes is replaced (`docs/decisions/connections.md`).

use {
    super::{
        sessions::{next_session, pass_message},
        ControlInput,
    },
    link::{connect, LinkReader, LinkSender},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::{mpsc::UnboundedSender, oneshot},
    workflow::{control::SessionId, message::LinkMessage},
};

/// The connection timeout: many times the delay between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a connection has failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long the last sign of life may be ago when something is sent, before another is asked for.
const PING_AFTER: Duration = Duration::from_millis(500);
/// How long a sign of life may take: many round trips, and less than an election timeout, so that the
/// election that a silence causes finds working streams.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// An open stream to a peer. It ends when this is dropped.
#[derive(Debug)]
pub(super) struct PeerLink {
    session: SessionId,
    sender: LinkSender<LinkMessage>,
    _close: oneshot::Sender<()>,
}

impl PeerLink {
    pub(super) fn session(&self) -> SessionId {
        self.session
    }

    pub(super) fn sender(&self) -> &LinkSender<LinkMessage> {
        &self.sender
    }
}

/// Detects that a peer no longer answers on a stream.
#[derive(Debug)]
struct SilenceWatch {
    heard_at: Duration,
    /// When the peer was asked for a sign of life that it has not given yet.
    asked_at: Option<Duration>,
}

impl SilenceWatch {
    fn new(now: Duration) -> Self {
        Self { heard_at: now, asked_at: None }
    }

    fn hear(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    fn is_silent(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|asked| now.saturating_sub(asked) >= ANSWER_TIMEOUT)
    }

    /// Returns whether to ask the peer for a sign of life now.
    fn ask(&mut self, now: Duration) -> bool {
        let due = now.saturating_sub(self.heard_at) >= PING_AFTER && self.asked_at.is_none();
        if due {
            self.asked_at = Some(now);
        }
        due
    }
}

#[derive(Debug)]
enum PeerStream {
    Connecting(SessionId),
    Up(PeerLink, SilenceWatch),
    Down { retry_at: Duration },
}

/// What became of a message to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerSending {
    /// It was queued on an open stream, or a stream is opened for it.
    Sent,
    /// It was dropped: no stream is open yet, or the last one has just failed.
    Dropped,
    /// The open stream is silent. A new one is opened for the message.
    Replaced,
}

#[derive(Debug, Default)]
pub(super) struct PeerTable {
    streams: HashMap<SocketAddr, PeerStream>,
}

impl PeerTable {
    pub(super) fn connected(&mut self, address: SocketAddr, link: PeerLink, now: Duration) {
        self.streams.insert(address, PeerStream::Up(link, SilenceWatch::new(now)));
    }

    pub(super) fn disconnected(&mut self, address: SocketAddr, session: SessionId, now: Duration) {
        let current = match self.streams.get(&address) {
            Some(PeerStream::Connecting(current)) => *current == session,
            Some(PeerStream::Up(link, _)) => link.session == session,
            Some(PeerStream::Down { .. }) | None => false,
        };
        if current {
            let retry_at = now + RETRY_DELAY;
            self.streams.insert(address, PeerStream::Down { retry_at });
        }
    }

    /// Records that the peer has sent something on a stream that this process has opened.
    pub(super) fn heard(&mut self, address: SocketAddr, session: SessionId, now: Duration) {
        if let Some(PeerStream::Up(link, watch)) = self.streams.get_mut(&address) {
            if link.session == session {
                watch.hear(now);
            }
        }
    }

    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        message: LinkMessage,
        now: Duration,
        inputs: &UnboundedSender<ControlInput>,
    ) -> PeerSending {
        let mut sending = PeerSending::Sent;
        match self.streams.get_mut(&address) {
            Some(PeerStream::Connecting(_)) => return PeerSending::Dropped,
            Some(PeerStream::Down { retry_at }) if now < *retry_at => return PeerSending::Dropped,
            Some(PeerStream::Up(_, watch)) if watch.is_silent(now) => {
                sending = PeerSending::Replaced;
            }
            Some(PeerStream::Up(link, watch)) => {
                let mut sent = link.sender.send(message);
                if sent && watch.ask(now) {
                    sent = link.sender.send(LinkMessage::Ping { sequence: 0 });
                }
                if sent {
                    return PeerSending::Sent;
                }
                let retry_at = now + RETRY_DELAY;
                self.streams.insert(address, PeerStream::Down { retry_at });
                return PeerSending::Dropped;
            }
            Some(PeerStream::Down { .. }) | None => {}
        }
        let session = next_session();
        self.streams.insert(address, PeerStream::Connecting(session));
        tokio::task::spawn_local(keep_stream(address, session, message, inputs.clone()));
        sending
    }
}

/// Connects, sends the message that caused the connection, and reads until the stream ends or its
/// [`PeerLink`] is dropped.
async fn keep_stream(
    address: SocketAddr,
    session: SessionId,
    message: LinkMessage,
    inputs: UnboundedSender<ControlInput>,
) {
    if let Ok((sender, reader)) = connect::<LinkMessage>(address, CONNECT_TIMEOUT).await {
        sender.send(message);
        let (close, closed) = oneshot::channel();
        let link = PeerLink { session, sender, _close: close };
        if inputs.send(ControlInput::PeerUp(address, link)).is_err() {
            return;
        }
        tokio::select! {
            () = read_peer(reader, address, session, &inputs) => {}
            _ = closed => {}
        }
    }
    let _ = inputs.send(ControlInput::PeerDown(address, session));
}

/// Passes messages on until the stream or the event loop has ended. The answers to pings end here.
async fn read_peer(
    mut reader: LinkReader<LinkMessage>,
    address: SocketAddr,
    session: SessionId,
    inputs: &UnboundedSender<ControlInput>,
) {
    while let Ok(message) = reader.next().await {
        if inputs.send(ControlInput::PeerHeard(address, session)).is_err() {
            return;
        }
        let answer = matches!(message, LinkMessage::Pong { .. } | LinkMessage::Welcome { .. });
        if !answer && !pass_message(message, session, inputs) {
            return;
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/peers.rs"]
mod tests;
