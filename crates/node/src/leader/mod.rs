//! The stream that entries, agents and joining control processes keep to the leader.

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

/// The longest lease that control grants. It outlives an election, and a worker out of reach is
/// replaced not much later than anyone notices.
pub const LEASE_CEILING: Duration = Duration::from_millis(3500);
/// How long a connection may take: many times the delay between data centres.
const CONNECT_PATIENCE: Duration = Duration::from_millis(250);
/// How long a process may take to say whether it leads.
const WELCOME_PATIENCE: Duration = Duration::from_millis(400);
/// How long a leader may be silent; it is asked at least twice in that time.
const SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// The pause before the next process is asked.
const NEXT_PAUSE: Duration = Duration::from_millis(40);

/// What happens to the stream.
#[derive(Debug)]
pub(crate) enum LeaderEvent {
    /// A leader was reached.
    Up {
        /// For what is sent to it.
        sender: LinkSender<LinkMessage>,
        /// The term of its lead.
        term: u64,
    },
    /// It says something.
    Message(LinkMessage),
    /// The stream has ended.
    Down,
}

/// Keeps a stream to whoever leads.
pub(crate) struct LeaderSearch {
    pub(crate) name: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) log: LineLog,
    /// Ends the present stream and makes a new one.
    pub(crate) reconnect: Rc<Notify>,
}

impl LeaderSearch {
    /// Runs until nobody listens any more. `wrap` makes an event the owner's input.
    pub(crate) async fn run<T>(
        self,
        inputs: UnboundedSender<T>,
        wrap: impl Fn(LeaderEvent) -> T + Copy,
    ) {
        let mut known = self.seeds.clone();
        let mut position = self.name.bytes().map(usize::from).sum::<usize>();
        let mut hint = None;
        while !inputs.is_closed() {
            position += 1;
            let address: SocketAddr = match hint.take() {
                Some(address) => address,
                None if known.is_empty() => return,
                None => known[position % known.len()],
            };
            hint = self.visit(address, &mut known, &inputs, wrap).await;
            if hint.is_none() {
                sleep(NEXT_PAUSE).await;
            }
        }
    }

    /// Asks one process; stays as long as it leads. Returns who else might lead.
    async fn visit<T>(
        &self,
        address: SocketAddr,
        known: &mut Vec<SocketAddr>,
        inputs: &UnboundedSender<T>,
        wrap: impl Fn(LeaderEvent) -> T,
    ) -> Option<SocketAddr> {
        let connected = connect::<LinkMessage>(address, CONNECT_PATIENCE).await;
        let (sender, mut reader) = connected.ok()?;
        sender.send(LinkMessage::Hello { name: self.name.clone() });
        let first = timeout(WELCOME_PATIENCE, reader.next()).await.ok()?.ok()?;
        let LinkMessage::Welcome { leading, leader, members, term } = &first else { return None };
        self.learn(known, members.iter().map(|member| member.0));
        if !leading {
            return leader.map(|leader| leader.0).filter(|leader| *leader != address);
        }
        let text = address.to_string();
        self.log.record(&FlowEvent::LeaderReached { address: text.clone(), term: *term });
        let up = LeaderEvent::Up { sender, term: *term };
        inputs.send(wrap(up)).ok()?;
        let (reason, hint) = tokio::select! {
            end = follow(&mut reader, inputs, &wrap) => end,
            () = self.reconnect.notified() => ("a new stream is wanted".to_owned(), Some(address)),
        };
        self.log.record(&FlowEvent::LeaderLost { address: text, reason });
        inputs.send(wrap(LeaderEvent::Down)).ok()?;
        hint
    }

    /// Seeds stay known: they are where others join.
    fn learn(&self, known: &mut Vec<SocketAddr>, members: impl Iterator<Item = SocketAddr>) {
        known.clear();
        known.extend(&self.seeds);
        for member in members {
            if !known.contains(&member) {
                known.push(member);
            }
        }
    }
}

/// Passes messages on until the leader is silent, gone, or leads no more.
async fn follow<T>(
    reader: &mut LinkReader<LinkMessage>,
    inputs: &UnboundedSender<T>,
    wrap: &impl Fn(LeaderEvent) -> T,
) -> (String, Option<SocketAddr>) {
    loop {
        match timeout(SILENCE_LIMIT, reader.next()).await {
            Err(_) => return ("it is silent".to_owned(), None),
            Ok(Err(error)) => return (error.to_string(), None),
            Ok(Ok(LinkMessage::Welcome { leading: false, leader, .. })) => {
                return ("it leads no more".to_owned(), leader.map(|leader| leader.0));
            }
            Ok(Ok(message)) => {
                if inputs.send(wrap(LeaderEvent::Message(message))).is_err() {
                    return ("this process stops".to_owned(), None);
                }
            }
        }
    }
}
