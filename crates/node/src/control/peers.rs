//! The streams to the other control processes. A message that can't be sent at once is dropped: the
//! log tolerates lost messages.

use {
    super::{
        sessions::{next_session, read_messages},
        ControlInput,
    },
    link::{connect, LinkSender},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::mpsc::UnboundedSender,
    workflow::{control::SessionId, message::LinkMessage},
};

/// The connection timeout: many times the delay between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a connection has failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);

#[derive(Debug)]
enum PeerStream {
    Connecting,
    Up(SessionId, LinkSender<LinkMessage>),
    Down { retry_at: Duration },
}

#[derive(Debug, Default)]
pub(super) struct PeerTable {
    streams: HashMap<SocketAddr, PeerStream>,
}

impl PeerTable {
    pub(super) fn connected(
        &mut self,
        address: SocketAddr,
        session: SessionId,
        sender: LinkSender<LinkMessage>,
    ) {
        self.streams.insert(address, PeerStream::Up(session, sender));
    }

    pub(super) fn disconnected(&mut self, address: SocketAddr, session: SessionId, now: Duration) {
        let newer = match self.streams.get(&address) {
            Some(PeerStream::Up(current, _)) => *current != session,
            _ => false,
        };
        if !newer {
            let retry_at = now + RETRY_DELAY;
            self.streams.insert(address, PeerStream::Down { retry_at });
        }
    }

    pub(super) fn send(
        &mut self,
        address: SocketAddr,
        message: LinkMessage,
        now: Duration,
        inputs: &UnboundedSender<ControlInput>,
    ) {
        match self.streams.get(&address) {
            Some(PeerStream::Connecting) => return,
            Some(PeerStream::Down { retry_at }) if now < *retry_at => return,
            Some(PeerStream::Up(_, sender)) => {
                if !sender.send(message) {
                    let retry_at = now + RETRY_DELAY;
                    self.streams.insert(address, PeerStream::Down { retry_at });
                }
                return;
            }
            Some(PeerStream::Down { .. }) | None => {}
        }
        self.streams.insert(address, PeerStream::Connecting);
        tokio::task::spawn_local(keep_stream(address, message, inputs.clone()));
    }
}

/// Connects, sends the message that caused the connection, and reads until the stream ends.
async fn keep_stream(
    address: SocketAddr,
    message: LinkMessage,
    inputs: UnboundedSender<ControlInput>,
) {
    let session = next_session();
    if let Ok((sender, reader)) = connect::<LinkMessage>(address, CONNECT_TIMEOUT).await {
        sender.send(message);
        if inputs.send(ControlInput::PeerUp(address, session, sender)).is_err() {
            return;
        }
        read_messages(reader, session, &inputs).await;
    }
    let _ = inputs.send(ControlInput::PeerDown(address, session));
}
