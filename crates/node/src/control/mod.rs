//! Control's event loop: connects the reducer to the streams, the disk and the clock.
//!
//! A process that has a log or is a founder of the group is a member from the start. Any other
//! process first requests a replica id from the leader. A process that was removed from the group
//! while it was down deletes its log and requests a new id. So does one whose id the group does not
//! know, which it asks for once no leader has reached it for a while.

mod folder;
mod member;
mod peers;
mod search;
mod sessions;
mod storage;

use {
    self::{
        folder::LogFolder,
        member::MemberState,
        peers::{PeerLink, PeerSending, PeerTable},
        search::GroupSearch,
        sessions::{OpenStream, SessionTable},
    },
    crate::{
        clock::BootClock,
        leader::{LeaderEvent, LeaderSearch},
        logging::{wall_ms, LineLog},
    },
    base::{ClockSource, ClusterName, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{CoreError, StorageError},
    snafu::{ResultExt, Snafu},
    std::{collections::BTreeMap, io, net::SocketAddr, path::PathBuf, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{
            mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender},
            oneshot,
        },
        time::{interval, MissedTickBehavior},
    },
    workflow::{
        control::{ControlEffect, ControlEvent, OperatorAnswer, SessionId},
        event::FlowEvent,
        job::FleetConfig,
        message::{CallerAnswer, LinkMessage},
        plan::LookaheadScope,
        state::{DataCentreName, StateError},
    },
};

/// How often the reducer receives the time: five times in each heartbeat interval of the log.
const TICK: Duration = Duration::from_millis(20);
/// The most inputs that are read before the reducer settles its decisions.
const INPUTS_PER_DECISION: usize = 256;
/// Ticks between two requests of a process that has no replica id, or that no leader reaches.
const JOIN_TICKS: u64 = 15;
/// How long no leader may reach a member without a vote before it asks whether it still belongs to the
/// group. Covers an election after an outage of the group.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// Ticks between two looks for silent streams: one second.
const SESSIONS_TICKS: u64 = 50;
/// Ticks between two updates of the gauges of the leader: one second.
const FIGURES_TICKS: u64 = 50;

/// Why a control process stopped or did not start.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// The log can't be opened.
    #[snafu(display("can't open the log: {source}"))]
    Storage {
        /// The failure of the log.
        source: StorageError,
    },
    /// The data folder can't be read, written or cleared.
    #[snafu(display("can't use the data folder {}: {source}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The replica can't start from its log.
    #[snafu(display("can't start the replica from its log: {source}"))]
    Core {
        /// The failure of the replica.
        source: CoreError,
    },
    /// The address for other processes can't be opened.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log's thread can't be started.
    #[snafu(display("can't start the log's storage thread: {source}"))]
    Thread {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The replicated state has another format.
    #[snafu(display("{source}"))]
    State {
        /// The failure of the state.
        source: StateError,
    },
}

/// The settings of a control process.
#[derive(Debug, Clone)]
pub struct ControlSetup {
    /// The process's name.
    pub name: String,
    /// The address at which other processes reach this one.
    pub address: SocketAddr,
    /// The address that this process binds. Differs from `address` only if something forwards to
    /// it.
    pub bind: SocketAddr,
    /// Addresses where control processes may listen.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time. If so, the seeds found the group.
    pub founding: bool,
    /// The name of the deployment. A log of another deployment is refused.
    pub cluster: ClusterName,
    /// The data folder on the disk.
    pub data_folder: PathBuf,
    /// The length of a lease.
    pub lease: Duration,
    /// How long the state keeps ended jobs.
    pub retention: Duration,
    /// How many members may be lost at once.
    pub tolerated_losses: usize,
    /// The work for which placement looks ahead.
    pub look_ahead: LookaheadScope,
}

enum ControlInput {
    Event(ControlEvent),
    Opened(SessionId, OpenStream),
    PeerUp(SocketAddr, PeerLink),
    PeerHeard(SocketAddr, SessionId),
    PeerDown(SocketAddr, SessionId),
    Leader(LeaderEvent),
    Configure(FleetConfig, oneshot::Sender<OperatorAnswer>),
    ReadConfig(oneshot::Sender<OperatorAnswer>),
    Cordon(DataCentreName, oneshot::Sender<OperatorAnswer>),
    LiftCordon(DataCentreName, oneshot::Sender<OperatorAnswer>),
}

/// Passes operators' calls to the event loop.
#[derive(Clone)]
pub struct ControlHandle {
    inputs: UnboundedSender<ControlInput>,
}

impl ControlHandle {
    /// Proposes a configuration and returns the answer.
    pub async fn configure(&self, config: FleetConfig) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        // If the event loop has ended, it drops the reply, and the outcome is unknown.
        let _ = self.inputs.send(ControlInput::Configure(config, reply));
        answer.await.unwrap_or(OperatorAnswer::Unknown)
    }

    /// Returns the configuration in force.
    pub async fn read_config(&self) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(ControlInput::ReadConfig(reply));
        answer.await.unwrap_or(OperatorAnswer::Unknown)
    }

    /// Proposes the cordon of a data centre and returns the answer.
    pub async fn cordon(&self, data_centre: DataCentreName) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(ControlInput::Cordon(data_centre, reply));
        answer.await.unwrap_or(OperatorAnswer::Unknown)
    }

    /// Proposes to lift the cordon of a data centre and returns the answer.
    pub async fn lift_cordon(&self, data_centre: DataCentreName) -> OperatorAnswer {
        let (reply, answer) = oneshot::channel();
        let _ = self.inputs.send(ControlInput::LiftCordon(data_centre, reply));
        answer.await.unwrap_or(OperatorAnswer::Unknown)
    }
}

/// Whether the process has a replica id.
enum Membership {
    Joining,
    Member(Box<MemberState>),
}

struct ControlLoop {
    setup: ControlSetup,
    clock: BootClock,
    log: LineLog,
    folder: LogFolder,
    inputs: UnboundedSender<ControlInput>,
    membership: Membership,
    /// The search for the leader, of a process that has no replica id or that no leader reaches.
    search: Option<GroupSearch>,
    /// When a member may search again. A leader of an older build closes the stream on its question.
    search_again_at: Duration,
    sessions: SessionTable,
    peers: PeerTable,
    pending_replies: BTreeMap<ReplyTicket, oneshot::Sender<OperatorAnswer>>,
    last_ticket: ReplyTicket,
    ticks: u64,
}

/// Opens the log, binds the listener and starts the event loop. If the loop fails, its error
/// arrives on the returned channel. Must be called on a `LocalSet`.
///
/// # Errors
///
/// Returns an error if the address can't be bound, or the data folder or the log can't be used.
pub async fn start_control(
    setup: ControlSetup,
    log: LineLog,
) -> Result<(ControlHandle, oneshot::Receiver<ControlError>), ControlError> {
    let (inputs, queue) = unbounded_channel();
    let (address, bind) = (setup.address, setup.bind);
    let listener = TcpListener::bind(bind).await.context(ListenSnafu { address: bind })?;
    let mut folder = LogFolder::new(setup.data_folder.clone());
    folder.remove_leftovers()?;
    let stored_replica = folder.newest_replica()?;
    let is_founder = stored_replica.is_none() && setup.founding && setup.seeds.contains(&address);
    let mut running = ControlLoop {
        clock: BootClock::new(),
        log,
        folder,
        inputs: inputs.clone(),
        membership: Membership::Joining,
        search: None,
        search_again_at: Duration::ZERO,
        sessions: SessionTable::default(),
        peers: PeerTable::default(),
        pending_replies: BTreeMap::new(),
        last_ticket: ReplyTicket(0),
        ticks: 0,
        setup,
    };
    match stored_replica {
        Some(replica) => running.become_member(replica)?,
        None if is_founder => {
            running.folder.store_founders(&running.setup.seeds)?;
            running.become_member(founder_replica_id(address))?;
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

/// Returns the replica id of the founder at `address`, which every founder computes alike. Later
/// ids are larger than all founders' ids.
fn founder_replica_id(address: SocketAddr) -> ReplicaId {
    let host = match address {
        SocketAddr::V4(address) => u64::from(address.ip().to_bits()),
        SocketAddr::V6(address) => address.ip().to_bits() as u64 & 0xffff_ffff,
    };
    // Founders on one host differ in their ports.
    ReplicaId((host << 8) ^ u64::from(address.port()))
}

impl ControlLoop {
    async fn run(mut self, mut queue: UnboundedReceiver<ControlInput>) -> Result<(), ControlError> {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => self.handle_input(input)?,
                    None => return Ok(()),
                },
                _ = ticker.tick() => self.tick()?,
            }
            for _ in 0..INPUTS_PER_DECISION {
                let Ok(input) = queue.try_recv() else { break };
                self.handle_input(input)?;
            }
            self.step(ControlEvent::Settle)?;
        }
    }

    fn tick(&mut self) -> Result<(), ControlError> {
        self.ticks += 1;
        self.check_contact();
        if self.ticks.is_multiple_of(JOIN_TICKS) {
            self.ask_leader();
        }
        if self.ticks.is_multiple_of(SESSIONS_TICKS) {
            self.sessions.close_silent(self.clock.monotonic());
        }
        if let (Membership::Member(member), true) =
            (&self.membership, self.ticks.is_multiple_of(FIGURES_TICKS))
        {
            self.log.set_cordon_figures(&member.cordon_figures());
            self.log.set_wait_figures(&member.wait_figures());
            self.log.set_withdrawn_jobs(member.withdrawn_jobs());
        }
        self.step(ControlEvent::Tick { wall_ms: wall_ms() })
    }

    fn handle_input(&mut self, input: ControlInput) -> Result<(), ControlError> {
        match input {
            ControlInput::Opened(session, stream) => {
                self.sessions.insert(session, stream, self.clock.monotonic());
                Ok(())
            }
            ControlInput::PeerUp(address, link) => {
                let now = self.clock.monotonic();
                self.sessions.insert(link.session(), OpenStream::own(link.sender().clone()), now);
                self.peers.connected(address, link, now);
                Ok(())
            }
            ControlInput::PeerHeard(address, session) => {
                self.peers.heard(address, session, self.clock.monotonic());
                Ok(())
            }
            ControlInput::PeerDown(address, session) => {
                self.sessions.remove(session);
                self.peers.disconnected(address, session, self.clock.monotonic());
                self.step(ControlEvent::Closed { session })
            }
            ControlInput::Leader(event) => self.handle_leader_event(event),
            ControlInput::Event(ControlEvent::Message {
                message: LinkMessage::Removed { replica },
                ..
            }) => self.leave_group(replica),
            ControlInput::Event(event) => {
                match &event {
                    ControlEvent::Closed { session } => self.sessions.remove(*session),
                    ControlEvent::Message { session, .. } => {
                        self.sessions.hear(*session, self.clock.monotonic());
                    }
                    _ => {}
                }
                self.step(event)
            }
            ControlInput::Configure(config, reply) => {
                let ticket = self.register_reply(reply);
                self.step(ControlEvent::Configure { ticket, config })
            }
            ControlInput::ReadConfig(reply) => {
                let ticket = self.register_reply(reply);
                self.step(ControlEvent::ReadConfig { ticket })
            }
            ControlInput::Cordon(data_centre, reply) => {
                let ticket = self.register_reply(reply);
                self.step(ControlEvent::Cordon { ticket, data_centre })
            }
            ControlInput::LiftCordon(data_centre, reply) => {
                let ticket = self.register_reply(reply);
                self.step(ControlEvent::LiftCordon { ticket, data_centre })
            }
        }
    }

    fn register_reply(&mut self, reply: oneshot::Sender<OperatorAnswer>) -> ReplyTicket {
        self.last_ticket = self.last_ticket.next();
        self.pending_replies.retain(|_, reply| !reply.is_closed());
        self.pending_replies.insert(self.last_ticket, reply);
        self.last_ticket
    }

    fn step(&mut self, event: ControlEvent) -> Result<(), ControlError> {
        let now = self.clock.monotonic();
        let Membership::Member(member) = &mut self.membership else {
            self.answer_as_non_member(event);
            return Ok(());
        };
        for effect in member.step(now, event) {
            self.perform(effect, now)?;
        }
        Ok(())
    }

    /// Answers without a replica id: other processes receive only the seeds, and operators and
    /// callers are told that this process is not the leader. An entry may still forward calls here
    /// if this process led before it left the group.
    fn answer_as_non_member(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Message { session, message: LinkMessage::Call { sequence, .. } } => {
                let answer = CallerAnswer::NotLeading;
                self.sessions.send(session, LinkMessage::Answer { sequence, answer });
            }
            ControlEvent::Message { session, message } => {
                if matches!(message, LinkMessage::Hello { .. } | LinkMessage::Ping { .. }) {
                    let members = self.setup.seeds.iter().map(|seed| PeerAddress(*seed)).collect();
                    let welcome =
                        LinkMessage::Welcome { leading: false, leader: None, members, term: 0 };
                    self.sessions.send(session, welcome);
                }
            }
            ControlEvent::Configure { ticket, .. }
            | ControlEvent::ReadConfig { ticket }
            | ControlEvent::Cordon { ticket, .. }
            | ControlEvent::LiftCordon { ticket, .. } => {
                let answer = OperatorAnswer::NotLeading { leader: None };
                self.answer(ticket, answer);
            }
            _ => {}
        }
    }

    fn answer(&mut self, ticket: ReplyTicket, answer: OperatorAnswer) {
        if let Some(reply) = self.pending_replies.remove(&ticket) {
            // An operator that has disconnected repeats its call.
            let _ = reply.send(answer);
        }
    }

    fn perform(&mut self, effect: ControlEffect, now: Duration) -> Result<(), ControlError> {
        match effect {
            ControlEffect::SendPeer { from, to, address, message } => {
                let message = LinkMessage::Quorum { from, to, message: Box::new(message) };
                let sending = self.peers.send(address.0, message, now, &self.inputs);
                if sending == PeerSending::Replaced {
                    self.log.record(&FlowEvent::PeerSilent { address: address.to_string() });
                }
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
        let folder = self.folder.replica_path(replica);
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

    /// Looks for the leader at the seeds and, as a member, at the other members that the log names.
    fn search_leader(&mut self) {
        let own = self.setup.address;
        let mut seeds = self.setup.seeds.clone();
        if let Membership::Member(member) = &self.membership {
            seeds.extend(member.member_addresses());
        }
        seeds.retain(|seed| *seed != own);
        let (name, log, reconnect) = (self.setup.name.clone(), self.log.clone(), Rc::default());
        let search = LeaderSearch { name, seeds, log, reconnect };
        self.search = Some(GroupSearch::start(search, self.inputs.clone()));
    }

    /// Searches for the leader while none reaches this member, which has no vote: it may be removed, or
    /// its id may be of an entry that was lost.
    fn check_contact(&mut self) {
        let Membership::Member(member) = &self.membership else { return };
        let silence = member.unreached_for().filter(|silence| *silence >= CONTACT_TIMEOUT);
        match (silence, &self.search) {
            (Some(silence), None) if self.clock.monotonic() >= self.search_again_at => {
                let (replica, silent_ms) = (member.replica().0, silence.as_millis() as u64);
                self.log.record(&FlowEvent::MemberUnreached { replica, silent_ms });
                self.search_leader();
            }
            (None, Some(_)) => self.search = None,
            _ => {}
        }
    }

    /// Requests a replica id, or asks whether the one of this process still belongs to a member.
    fn ask_leader(&self) {
        let address = PeerAddress(self.setup.address);
        let request = match &self.membership {
            Membership::Joining => LinkMessage::Join { address },
            Membership::Member(member) => {
                LinkMessage::CheckMember { replica: member.replica(), address }
            }
        };
        if let Some(search) = &self.search {
            search.ask(request, self.ticks);
        }
    }

    fn handle_leader_event(&mut self, event: LeaderEvent) -> Result<(), ControlError> {
        let Some(search) = &mut self.search else { return Ok(()) };
        match event {
            LeaderEvent::Up { sender, .. } => {
                search.set_leader(Some(sender));
                self.ask_leader();
                Ok(())
            }
            LeaderEvent::Down => {
                search.set_leader(None);
                if matches!(self.membership, Membership::Member(_)) {
                    self.search = None;
                    self.search_again_at = self.clock.monotonic() + CONTACT_TIMEOUT;
                }
                Ok(())
            }
            LeaderEvent::Message(LinkMessage::Admitted { replica })
                if matches!(self.membership, Membership::Joining) =>
            {
                self.search = None;
                self.become_member(replica)
            }
            LeaderEvent::Message(LinkMessage::Removed { replica }) => self.leave_group(replica),
            LeaderEvent::Message(_) => Ok(()),
        }
    }

    /// Deletes the log, which is useless once the group has removed this replica, and joins again.
    fn leave_group(&mut self, replica: ReplicaId) -> Result<(), ControlError> {
        let Membership::Member(member) = &self.membership else { return Ok(()) };
        if member.replica() != replica {
            return Ok(());
        }
        let address = self.setup.address.to_string();
        let change = "left the group";
        self.log.record(&FlowEvent::MemberChange { replica: replica.0, address, change });
        self.membership = Membership::Joining;
        self.folder.clear()?;
        self.search_leader();
        Ok(())
    }
}

#[cfg(test)]
#[path = "../../tests/unit/control.rs"]
mod tests;
