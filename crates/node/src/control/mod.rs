//! Control's loop: the streams, the disk and the clock around the reducer.
//!
//! A process with a log, or a founder of the group, is a member from the start. Any other first
//! asks the leader for a replica id. One that was removed while it was away gives its log up and
//! asks again.

mod folder;
mod member;
mod peers;
mod sessions;
mod storage;

use {
    self::{folder::LogFolder, member::MemberState, peers::PeerTable, sessions::SessionTable},
    crate::{
        clock::BootClock,
        leader::{LeaderEvent, LeaderSearch},
        logging::{wall_ms, LineLog},
    },
    base::{ClockSource, ClusterName, PeerAddress, ReplicaId, ReplyTicket},
    link::LinkSender,
    quorum::{CoreError, StorageError},
    snafu::{ResultExt, Snafu},
    std::{collections::BTreeMap, io, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{
            mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender},
            oneshot,
        },
        task::JoinHandle,
        time::{interval, MissedTickBehavior},
    },
    workflow::{
        control::{ControlEffect, ControlEvent, OperatorAnswer, SessionId},
        event::FlowEvent,
        job::FleetConfig,
        message::LinkMessage,
        state::StateError,
    },
};

/// How often the reducer is told the time: a fifth of the log's heartbeat.
const TICK: Duration = Duration::from_millis(20);
/// Inputs that are taken before the reducer decides.
const INPUTS_PER_DECISION: usize = 256;
/// How often a process without an id asks for one.
const JOIN_TICKS: u64 = 15;

/// Why a control process can't go on.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The log can't be opened.
    #[snafu(display("the log can't be opened: {source}"))]
    Storage {
        /// What is wrong.
        source: StorageError,
    },
    /// The data folder can't be read or cleared.
    #[snafu(display("the data folder {} can't be used: {source}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The replica can't start from its log.
    #[snafu(display("the replica can't start: {source}"))]
    Core {
        /// What is wrong.
        source: CoreError,
    },
    /// The port for other processes can't be opened.
    #[snafu(display("port {address} can't be opened: {source}"))]
    Listen {
        /// The port.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The log's thread can't be started.
    #[snafu(display("the log's thread can't be started: {source}"))]
    Thread {
        /// What the system reported.
        source: io::Error,
    },
    /// The replicated state is of another format.
    #[snafu(display("{source}"))]
    State {
        /// What is wrong.
        source: StateError,
    },
}

/// What a control process is told when it starts.
#[derive(Debug, Clone)]
pub struct ControlSetup {
    /// Its name.
    pub name: String,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Where it listens for them: the same, unless something forwards to it.
    pub bind: SocketAddr,
    /// Where control processes may listen.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time: the seeds found the group.
    pub founding: bool,
    /// The deployment; logs of another one are refused.
    pub cluster: ClusterName,
    /// The folder on the disk.
    pub data_folder: PathBuf,
    /// How long a lease runs.
    pub lease: Duration,
    /// How long ended jobs are known.
    pub retention: Duration,
    /// How many members may be lost at once.
    pub tolerated_losses: usize,
}

enum ControlInput {
    Event(ControlEvent),
    Opened(SessionId, LinkSender<LinkMessage>),
    PeerUp(SocketAddr, SessionId, LinkSender<LinkMessage>),
    PeerDown(SocketAddr, SessionId),
    Leader(LeaderEvent),
    Configure(FleetConfig, oneshot::Sender<OperatorAnswer>),
    ReadConfig(oneshot::Sender<OperatorAnswer>),
}

/// Passes operators' calls to the loop.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: UnboundedSender<ControlInput>,
}

impl ControlHandle {
    /// Sends a configuration.
    pub async fn configure(&self, config: FleetConfig) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        // Without a loop the reply is dropped, and the answer is that nobody knows.
        let _ = self.inputs.send(ControlInput::Configure(config, reply));
        answer.await.unwrap_or(OperatorAnswer::Unsure)
    }

    /// Reads the configuration.
    pub async fn read_config(&self) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(ControlInput::ReadConfig(reply));
        answer.await.unwrap_or(OperatorAnswer::Unsure)
    }
}

/// Whether the process has a replica id.
enum Membership {
    Joining { leader: Option<LinkSender<LinkMessage>>, search: Option<JoinHandle<()>> },
    Member(Box<MemberState>),
}

struct ControlLoop {
    setup: ControlSetup,
    clock: BootClock,
    log: LineLog,
    folder: LogFolder,
    inputs: UnboundedSender<ControlInput>,
    membership: Membership,
    sessions: SessionTable,
    peers: PeerTable,
    operators: BTreeMap<ReplyTicket, oneshot::Sender<OperatorAnswer>>,
    last_ticket: ReplyTicket,
    ticks: u64,
}

/// Opens the log and listens, then runs the loop, whose end is sent on the returned channel. Has
/// to be called on a `LocalSet`.
pub async fn start_control(
    setup: ControlSetup,
    log: LineLog,
) -> Result<(ControlHandle, oneshot::Receiver<ControlError>), ControlError> {
    let (inputs, queue) = unbounded_channel();
    let (address, bind) = (setup.address, setup.bind);
    let listener = TcpListener::bind(bind).await.context(ListenSnafu { address: bind })?;
    let folder = LogFolder::new(setup.data_folder.clone());
    let found = folder.find()?;
    let founds = found.is_none() && setup.founding && setup.seeds.contains(&address);
    let mut running = ControlLoop {
        clock: BootClock::new(),
        log,
        folder,
        inputs: inputs.clone(),
        membership: Membership::Joining { leader: None, search: None },
        sessions: SessionTable::default(),
        peers: PeerTable::default(),
        operators: BTreeMap::new(),
        last_ticket: ReplyTicket(0),
        ticks: 0,
        setup,
    };
    match found {
        Some(replica) => running.become_member(replica)?,
        None if founds => {
            running.folder.found(&running.setup.seeds)?;
            running.become_member(replica_at(address))?;
        }
        None => running.search_leader(),
    }
    tokio::task::spawn_local(sessions::accept_streams(listener, inputs.clone()));
    let (ended, end) = oneshot::channel();
    tokio::task::spawn_local(async move {
        if let Err(error) = running.run(queue).await {
            let _ = ended.send(error);
        }
    });
    Ok((ControlHandle { inputs }, end))
}

/// A founder's replica id, which every founder works out alike. Later ids lie above all of these.
fn replica_at(address: SocketAddr) -> ReplicaId {
    let host = match address {
        SocketAddr::V4(address) => u64::from(address.ip().to_bits()),
        SocketAddr::V6(address) => address.ip().to_bits() as u64 & 0xffff_ffff,
    };
    // Founders on one host differ by their ports.
    ReplicaId((host << 8) ^ u64::from(address.port()))
}

impl ControlLoop {
    async fn run(mut self, mut queue: UnboundedReceiver<ControlInput>) -> Result<(), ControlError> {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => self.take(input)?,
                    None => return Ok(()),
                },
                _ = ticker.tick() => self.tick()?,
            }
            for _ in 0..INPUTS_PER_DECISION {
                let Ok(input) = queue.try_recv() else { break };
                self.take(input)?;
            }
            self.step(ControlEvent::Settle)?;
        }
    }

    fn tick(&mut self) -> Result<(), ControlError> {
        self.ticks += 1;
        if let Membership::Joining { leader: Some(leader), .. } = &self.membership {
            if self.ticks.is_multiple_of(JOIN_TICKS) {
                let address = PeerAddress(self.setup.address);
                leader.send(LinkMessage::Join { address });
                leader.send(LinkMessage::Ping { sequence: self.ticks });
            }
        }
        self.step(ControlEvent::Tick { wall_ms: wall_ms() })
    }

    fn take(&mut self, input: ControlInput) -> Result<(), ControlError> {
        match input {
            ControlInput::Opened(session, sender) => {
                self.sessions.insert(session, sender);
                Ok(())
            }
            ControlInput::PeerUp(address, session, sender) => {
                self.sessions.insert(session, sender.clone());
                self.peers.connected(address, session, sender);
                Ok(())
            }
            ControlInput::PeerDown(address, session) => {
                self.sessions.remove(session);
                self.peers.disconnected(address, session, self.clock.monotonic());
                self.step(ControlEvent::Closed { session })
            }
            ControlInput::Leader(event) => self.take_leader(event),
            ControlInput::Event(ControlEvent::Message {
                message: LinkMessage::Removed { replica },
                ..
            }) => self.leave_group(replica),
            ControlInput::Event(event) => {
                if let ControlEvent::Closed { session } = &event {
                    self.sessions.remove(*session);
                }
                self.step(event)
            }
            ControlInput::Configure(config, reply) => {
                let ticket = self.await_answer(reply);
                self.step(ControlEvent::Configure { ticket, config })
            }
            ControlInput::ReadConfig(reply) => {
                let ticket = self.await_answer(reply);
                self.step(ControlEvent::ReadConfig { ticket })
            }
        }
    }

    fn await_answer(&mut self, reply: oneshot::Sender<OperatorAnswer>) -> ReplyTicket {
        self.last_ticket = self.last_ticket.next();
        self.operators.retain(|_, reply| !reply.is_closed());
        self.operators.insert(self.last_ticket, reply);
        self.last_ticket
    }

    fn step(&mut self, event: ControlEvent) -> Result<(), ControlError> {
        let now = self.clock.monotonic();
        let Membership::Member(member) = &mut self.membership else {
            self.answer_outside(event);
            return Ok(());
        };
        for effect in member.step(now, event) {
            self.perform(effect, now)?;
        }
        Ok(())
    }

    /// Without a replica id nobody is told more than where others may be.
    fn answer_outside(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Message { session, message } => {
                if matches!(message, LinkMessage::Hello { .. } | LinkMessage::Ping { .. }) {
                    let members = self.setup.seeds.iter().map(|seed| PeerAddress(*seed)).collect();
                    let welcome =
                        LinkMessage::Welcome { leading: false, leader: None, members, term: 0 };
                    self.sessions.send(session, welcome);
                }
            }
            ControlEvent::Configure { ticket, .. } | ControlEvent::ReadConfig { ticket } => {
                let answer = OperatorAnswer::NotLeading { leader: None };
                self.answer(ticket, answer);
            }
            _ => {}
        }
    }

    fn answer(&mut self, ticket: ReplyTicket, answer: OperatorAnswer) {
        if let Some(reply) = self.operators.remove(&ticket) {
            // An operator that has gone asks again.
            let _ = reply.send(answer);
        }
    }

    fn perform(&mut self, effect: ControlEffect, now: Duration) -> Result<(), ControlError> {
        match effect {
            ControlEffect::SendPeer { from, to, address, message } => {
                let message = LinkMessage::Quorum { from, to, message: Box::new(message) };
                self.peers.send(address.0, message, now, &self.inputs);
            }
            ControlEffect::Send { session, message } => self.sessions.send(session, message),
            ControlEffect::Persist(batch) => {
                if let Membership::Member(member) = &self.membership {
                    member.persist(batch);
                }
            }
            ControlEffect::Answer { ticket, answer } => self.answer(ticket, answer),
            ControlEffect::Record(event) => self.log.record(&event),
            ControlEffect::Halt(source) => return Err(ControlError::State { source }),
        }
        Ok(())
    }

    fn become_member(&mut self, replica: ReplicaId) -> Result<(), ControlError> {
        let founders = self.folder.founders()?;
        let now = self.clock.monotonic();
        let (setup, inputs) = (&self.setup, self.inputs.clone());
        let folder = self.folder.of(replica);
        match MemberState::open(setup, replica, &founders, &folder, now, inputs, &self.log) {
            Err(ControlError::Core { source: CoreError::Retired { .. } }) => {
                self.folder.clear()?;
                self.search_leader();
                Ok(())
            }
            Err(error) => Err(error),
            Ok(member) => {
                self.membership = Membership::Member(Box::new(member));
                Ok(())
            }
        }
    }

    fn search_leader(&mut self) {
        let own = self.setup.address;
        let seeds = self.setup.seeds.iter().copied().filter(|seed| *seed != own).collect();
        let (name, log, reconnect) = (self.setup.name.clone(), self.log.clone(), Rc::default());
        let search = LeaderSearch { name, seeds, log, reconnect };
        let running = search.run(self.inputs.clone(), ControlInput::Leader);
        let search = Some(tokio::task::spawn_local(running));
        self.membership = Membership::Joining { leader: None, search };
    }

    fn take_leader(&mut self, event: LeaderEvent) -> Result<(), ControlError> {
        let Membership::Joining { leader, search } = &mut self.membership else { return Ok(()) };
        match event {
            LeaderEvent::Up { sender, .. } => {
                sender.send(LinkMessage::Join { address: PeerAddress(self.setup.address) });
                *leader = Some(sender);
                Ok(())
            }
            LeaderEvent::Down => {
                *leader = None;
                Ok(())
            }
            LeaderEvent::Message(LinkMessage::Admitted { replica }) => {
                if let Some(search) = search.take() {
                    search.abort();
                }
                self.become_member(replica)
            }
            LeaderEvent::Message(_) => Ok(()),
        }
    }

    /// The group goes on without this replica: its log is of no use any more.
    fn leave_group(&mut self, replica: ReplicaId) -> Result<(), ControlError> {
        let Membership::Member(member) = &self.membership else { return Ok(()) };
        if member.replica() != replica {
            return Ok(());
        }
        let address = self.setup.address.to_string();
        let change = "left the group";
        self.log.record(&FlowEvent::MemberChange { replica: replica.0, address, change });
        self.membership = Membership::Joining { leader: None, search: None };
        self.folder.clear()?;
        self.search_leader();
        Ok(())
    }
}
