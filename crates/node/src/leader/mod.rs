//! The stream to the leader that entries, agents and joining control processes keep open.

use {
    crate::logging::LineLog,
    link::{connect, LinkReader, LinkSender},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::{mpsc::UnboundedSender, Notify},
        time::{sleep, timeout},
    },
    workflow::{event::FlowEvent, message::LinkMessage},
};

/// The longest lease that control grants. It is longer than an election takes, and short enough
/// that a worker that can't be reached is replaced little later than its loss is noticed.
pub const LEASE_CEILING: Duration = Duration::from_millis(3500);
/// The connection timeout: many times the delay between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a process may take to say whether it is the leader.
const WELCOME_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the leader may send nothing. It receives at least two pings in that time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// The pause before the next process is tried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// A change of the stream, or a message on it.
#[derive(Debug)]
pub(crate) enum LeaderEvent {
    /// The search reached a leader.
    Up {
        /// Sends messages to the leader.
        sender: LinkSender<LinkMessage>,
        /// The term of the leadership.
        term: u64,
    },
    /// The leader sent a message.
    Message(LinkMessage),
    /// The stream ended.
    Down,
}

/// Searches for the leader and keeps a stream to it.
pub(crate) struct LeaderSearch {
    pub(crate) name: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) log: LineLog,
    /// Ends the current stream and opens a new one.
    pub(crate) reconnect: Rc<Notify>,
}

impl LeaderSearch {
    /// Runs until the receiver of `inputs` is gone. `wrap` turns an event into the receiver's
    /// input.
    pub(crate) async fn run<T>(
        self,
        inputs: UnboundedSender<T>,
        wrap: impl Fn(LeaderEvent) -> T + Copy,
    ) {
        let mut known_addresses = self.seeds.clone();
        let mut position = self.name.bytes().map(usize::from).sum::<usize>();
        let mut hint = None;
        while !inputs.is_closed() {
            position += 1;
            let address: SocketAddr = match hint.take() {
                Some(address) => address,
                None if known_addresses.is_empty() => return,
                None => known_addresses[position % known_addresses.len()],
            };
            hint = self.try_process(address, &mut known_addresses, &inputs, wrap).await;
            if hint.is_none() {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Connects to one process and stays connected as long as that process is the leader. Returns
    /// the address of another process that may be the leader.
    async fn try_process<T>(
        &self,
        address: SocketAddr,
        known_addresses: &mut Vec<SocketAddr>,
        inputs: &UnboundedSender<T>,
        wrap: impl Fn(LeaderEvent) -> T,
    ) -> Option<SocketAddr> {
        let connected = connect::<LinkMessage>(address, CONNECT_TIMEOUT).await;
        let (sender, mut reader) = connected.ok()?;
        sender.send(LinkMessage::Hello { name: self.name.clone() });
        let first = timeout(WELCOME_TIMEOUT, reader.next()).await.ok()?.ok()?;
        let LinkMessage::Welcome { leading, leader, members, term } = &first else { return None };
        self.update_known(known_addresses, members.iter().map(|member| member.0));
        if !leading {
            return leader.map(|leader| leader.0).filter(|leader| *leader != address);
        }
        let text = address.to_string();
        self.log.record(&FlowEvent::LeaderReached { address: text.clone(), term: *term });
        let up = LeaderEvent::Up { sender, term: *term };
        inputs.send(wrap(up)).ok()?;
        let (reason, hint) = tokio::select! {
            end = forward_messages(&mut reader, inputs, &wrap) => end,
            () = self.reconnect.notified() => ("reconnect requested".to_owned(), Some(address)),
        };
        self.log.record(&FlowEvent::LeaderLost { address: text, reason });
        inputs.send(wrap(LeaderEvent::Down)).ok()?;
        hint
    }

    /// Replaces the known addresses by the seeds and `members`. The seeds stay because joining
    /// processes use them.
    fn update_known(
        &self,
        known_addresses: &mut Vec<SocketAddr>,
        members: impl Iterator<Item = SocketAddr>,
    ) {
        known_addresses.clear();
        known_addresses.extend(&self.seeds);
        for member in members {
            if !known_addresses.contains(&member) {
                known_addresses.push(member);
            }
        }
    }
}

/// Passes messages on until the leader sends nothing for `SILENCE_TIMEOUT`, the stream breaks, or
/// the process is no longer the leader. Returns the reason and the address of another possible
/// leader.
async fn forward_messages<T>(
    reader: &mut LinkReader<LinkMessage>,
    inputs: &UnboundedSender<T>,
    wrap: &impl Fn(LeaderEvent) -> T,
) -> (String, Option<SocketAddr>) {
    loop {
        match timeout(SILENCE_TIMEOUT, reader.next()).await {
            Err(_) => return ("leader sent nothing within the silence timeout".to_owned(), None),
            Ok(Err(error)) => return (error.to_string(), None),
            Ok(Ok(LinkMessage::Welcome { leading: false, leader, .. })) => {
                return (
                    "process is no longer the leader".to_owned(),
                    leader.map(|leader| leader.0),
                );
            }
            Ok(Ok(message)) => {
                if inputs.send(wrap(LeaderEvent::Message(message))).is_err() {
                    return ("this process is shutting down".to_owned(), None);
                }
            }
        }
    }
}
