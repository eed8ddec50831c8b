//! The stream to the leader that entries, agents and joining control processes keep open.

use {
    crate::logging::LineLog,
    base::PeerAddress,
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
/// The most addresses that a search keeps: several times the members of the largest group.
const ADDRESSES_LIMIT: usize = 64;

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
        let mut known_addresses = KnownAddresses::new(&self.seeds);
        let mut position = self.name.bytes().map(usize::from).sum::<usize>();
        let mut hint = None;
        while !inputs.is_closed() {
            position += 1;
            let address: SocketAddr = match hint.take() {
                Some(address) => address,
                None => match known_addresses.at(position) {
                    Some(address) => address,
                    None => return,
                },
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
        known_addresses: &mut KnownAddresses,
        inputs: &UnboundedSender<T>,
        wrap: impl Fn(LeaderEvent) -> T,
    ) -> Option<SocketAddr> {
        let connected = connect::<LinkMessage>(address, CONNECT_TIMEOUT).await;
        let (sender, mut reader) = connected.ok()?;
        sender.send(LinkMessage::Hello { name: self.name.clone() });
        let first = timeout(WELCOME_TIMEOUT, reader.next()).await.ok()?.ok()?;
        let LinkMessage::Welcome { leading, leader, members, term } = &first else { return None };
        if !leading {
            known_addresses.add(members);
            return leader.map(|leader| leader.0).filter(|leader| *leader != address);
        }
        known_addresses.replace(members);
        let text = address.to_string();
        self.log.record(&FlowEvent::LeaderReached { address: text.clone(), term: *term });
        let up = LeaderEvent::Up { sender, term: *term };
        inputs.send(wrap(up)).ok()?;
        let (reason, hint) = tokio::select! {
            end = forward_messages(&mut reader, known_addresses, inputs, &wrap) => end,
            () = self.reconnect.notified() => ("reconnect requested".to_owned(), Some(address)),
        };
        self.log.record(&FlowEvent::LeaderLost { address: text, reason });
        inputs.send(wrap(LeaderEvent::Down)).ok()?;
        hint
    }
}

/// The addresses where a search looks for control processes.
#[derive(Debug)]
struct KnownAddresses {
    /// The number of addresses from the settings. They come first and always stay, because joining
    /// processes use them.
    seeds: usize,
    addresses: Vec<SocketAddr>,
}

impl KnownAddresses {
    fn new(seeds: &[SocketAddr]) -> Self {
        Self { seeds: seeds.len(), addresses: seeds.to_vec() }
    }

    fn at(&self, position: usize) -> Option<SocketAddr> {
        let last = self.addresses.len().checked_sub(1)?;
        self.addresses.get(position % (last + 1)).copied()
    }

    /// Keeps only the seeds and `members`, which a leader has sent.
    fn replace(&mut self, members: &[PeerAddress]) {
        self.addresses.truncate(self.seeds);
        self.add(members);
    }

    /// Adds addresses from a process that does not lead. It may be outside the group, or have been
    /// cut off from it, so that its addresses replace none that a leader has sent. Beyond the limit,
    /// those that were added first are removed.
    fn add(&mut self, members: &[PeerAddress]) {
        for member in members {
            if !self.addresses.contains(&member.0) {
                self.addresses.push(member.0);
            }
        }
        let excess = self.addresses.len().saturating_sub(ADDRESSES_LIMIT.max(self.seeds));
        self.addresses.drain(self.seeds..self.seeds + excess);
    }
}

/// Passes messages on until the leader sends nothing for `SILENCE_TIMEOUT`, the stream breaks, or
/// the process is no longer the leader. The leader's news of its members end here: nothing has
/// changed for the receiver of the messages. Returns the reason and the address of another possible
/// leader.
async fn forward_messages<T>(
    reader: &mut LinkReader<LinkMessage>,
    known_addresses: &mut KnownAddresses,
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
            Ok(Ok(LinkMessage::Welcome { members, .. })) => known_addresses.replace(&members),
            Ok(Ok(message)) => {
                if inputs.send(wrap(LeaderEvent::Message(message))).is_err() {
                    return ("this process is shutting down".to_owned(), None);
                }
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/leader.rs"]
mod tests;
