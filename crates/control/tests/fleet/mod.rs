//! A control group and its agents over a fake network, fake disks and a fake clock. Scenarios and
//! seeded fault schedules drive the same reducer as the daemon.

#![allow(dead_code)]

pub mod agent;
pub mod calls;
pub mod schedule;
pub mod script;
pub mod witness;

use {
    self::{agent::FakeAgent, witness::FleetWitness},
    base::{
        ByteSize, CpuMillis, EventReducer, PeerAddress, ProcessName, ReplicaId, ReplyTicket,
        ResourceVector, RevisionNumber, SeededRandom, WorkerId,
    },
    control::{
        leader::SenderInfo,
        node::{ControlNode, NodeEffect, NodeEvent, NodeReply, NodeSettings},
    },
    proto::{
        envelope::ProcessRole,
        messages::{AgentHeartbeat, HeartbeatReply, WorkerAnnouncement},
    },
    quorum::{GroupMember, PersistBatch, QuorumMessage, QuorumSettings, RecoveredLog},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    telemetry::CatalogueEvent,
};

pub const STEP: Duration = Duration::from_millis(50);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1000);
const CLOCK_AHEAD: Duration = Duration::from_secs(30);
const LEADER_HEARTBEAT: Duration = Duration::from_millis(200);

/// A replica with its disk.
#[derive(Debug, Default)]
pub struct Replica {
    pub node: Option<ControlNode>,
    pub disk: RecoveredLog,
    /// The batch that is being written.
    pub writing: Option<PersistBatch>,
    pub disk_full: bool,
    /// Distinguishes disk completions from those of an earlier incarnation.
    incarnation: u64,
    halted: bool,
}

/// A deliberate fault outside the reducer, which shows that the witness detects the violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// Agents let tasks run on when their lease has ended.
    LeaseOverstayed,
    /// Agents confirm a stop at once and let the task run on.
    StopConfirmedEarly,
    /// Disks report batches as synced and then lose them.
    DiskForgets,
    /// The clock of the leader runs far ahead, so that it does not wait for leases to expire.
    NoWaitForLeases,
}

/// The network and disk faults of a seeded schedule. Scenarios use a perfect network except for
/// their cuts.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    pub delay: Duration,
    pub loss: f64,
    pub repeat: f64,
    pub disk_delay: Duration,
}

#[derive(Debug, Clone)]
enum Flight {
    Quorum { from: ReplicaId, to: ReplicaId, message: Box<QuorumMessage> },
    Heartbeat { to: ReplicaId, heartbeat: Box<AgentHeartbeat> },
    Renewal { from: ReplicaId, worker: WorkerId, sequence: u64, reply: Box<HeartbeatReply> },
    Written { at: ReplicaId, incarnation: u64, number: u64 },
}

/// The process that waits for a reply.
#[derive(Debug, Clone)]
enum Waiting {
    Agent(WorkerId, u64),
    Caller(String),
}

/// The simulated fleet.
pub struct Fleet {
    pub now: Duration,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    pub agents: BTreeMap<WorkerId, FakeAgent>,
    /// Cut directions between endpoints of the network, which are replica ids and worker names as
    /// text.
    pub cuts: BTreeSet<(String, String)>,
    pub faults: NetworkFaults,
    pub breakage: Option<Breakage>,
    pub witness: FleetWitness,
    pub lines: Vec<String>,
    pub snapshot_every: u64,
    /// Replies to operators and entries, by the name of the call.
    pub replies: BTreeMap<String, NodeReply>,
    random: SeededRandom,
    flights: BTreeMap<(Duration, u64), Flight>,
    last_flight: u64,
    last_ticket: u64,
    waiting: BTreeMap<(ReplicaId, ReplyTicket), Waiting>,
    founders: Vec<GroupMember>,
}

pub fn address_of(replica: ReplicaId) -> PeerAddress {
    PeerAddress(([127, 0, 0, 1], u16::try_from(replica.0).expect("a small id")).into())
}

fn name_of(text: &str) -> ProcessName {
    text.parse().expect("a name")
}

impl Fleet {
    pub fn new(voters: u64, seed: u64) -> Self {
        let founder = |id| GroupMember {
            replica: ReplicaId(id),
            address: address_of(ReplicaId(id)),
            voter: true,
        };
        Self {
            now: Duration::ZERO,
            replicas: BTreeMap::new(),
            agents: BTreeMap::new(),
            cuts: BTreeSet::new(),
            faults: NetworkFaults::default(),
            breakage: None,
            witness: FleetWitness::default(),
            lines: Vec::new(),
            snapshot_every: 1_000_000,
            replies: BTreeMap::new(),
            random: SeededRandom::new(seed),
            flights: BTreeMap::new(),
            last_flight: 0,
            last_ticket: 0,
            waiting: BTreeMap::new(),
            founders: (1..=voters).map(founder).collect(),
        }
    }

    pub fn start_all(&mut self) {
        for member in self.founders.clone() {
            self.start(member.replica);
        }
    }

    pub fn start(&mut self, replica: ReplicaId) {
        let quorum = QuorumSettings {
            replica,
            founders: self.founders.clone(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: LEADER_HEARTBEAT,
            batch_bytes: 64 * 1024,
            in_flight_limit: 4,
            pending_limit: 1024,
            snapshot_chunk: 4 * 1024,
            snapshot_every: self.snapshot_every,
        };
        let settings = NodeSettings {
            name: name_of(&format!("control-{replica}")),
            operator_address: address_of(ReplicaId(replica.0 + 1000)),
            quorum,
            seed: self.random.next_u64(),
        };
        let found = self.replicas.entry(replica).or_default();
        found.incarnation += 1;
        found.halted = false;
        match ControlNode::new(settings, found.disk.clone(), self.now) {
            Ok(node) => found.node = Some(node),
            Err(error) => self.lines.push(format!("{replica} does not start: {error}")),
        }
        self.witness.in_force(replica, RevisionNumber(0), true);
    }

    /// Kills a replica. The batch being written may have reached the disk.
    pub fn crash(&mut self, replica: ReplicaId, written: bool) {
        let Some(found) = self.replicas.get_mut(&replica) else { return };
        found.node = None;
        if let Some(batch) = found.writing.take().filter(|_| written) {
            found.disk.apply(&batch);
        }
        self.waiting.retain(|(holder, _), _| *holder != replica);
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let led = |replica: &&ReplicaId| {
            let node = self.replicas[replica].node.as_ref();
            node.is_some_and(ControlNode::is_leader)
        };
        let term = |replica: &&ReplicaId| {
            self.replicas[replica].node.as_ref().map(|node| node.core().term())
        };
        self.replicas.keys().filter(led).max_by_key(term).copied()
    }

    pub fn node(&self, replica: ReplicaId) -> Option<&ControlNode> {
        self.replicas.get(&replica)?.node.as_ref()
    }

    pub fn add_worker(&mut self, worker: WorkerId, rack: &str, cpu: u64) {
        let announcement = WorkerAnnouncement {
            region: "north".parse().expect("a name"),
            data_centre: "Arusha".parse().expect("a name"),
            rack: rack.parse().expect("a name"),
            capacity: ResourceVector {
                cpu: CpuMillis(cpu),
                memory: ByteSize(1 << 36),
                ..ResourceVector::ZERO
            },
            address: address_of(ReplicaId(2000)),
            operator_address: address_of(ReplicaId(2001)),
            draining: false,
        };
        let replicas = self.founders.iter().map(|member| member.replica).collect();
        let agent = FakeAgent::new(worker.clone(), announcement, replicas);
        self.agents.insert(worker, agent);
    }

    pub fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Advances the clock in small steps.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let wall_ms = self.now.as_millis() as u64;
            for replica in self.replicas.keys().copied().collect::<Vec<_>>() {
                self.event(replica, NodeEvent::Tick { wall_ms });
            }
            self.send_heartbeats();
            self.settle();
        }
    }

    fn send_heartbeats(&mut self) {
        for worker in self.agents.keys().cloned().collect::<Vec<_>>() {
            self.advance_agent(&worker);
            let Some(agent) = self.agents.get_mut(&worker) else { continue };
            let to = agent.target;
            if let Some(heartbeat) = agent.next_heartbeat(self.now) {
                let heartbeat = Box::new(heartbeat);
                self.send(worker.as_str(), Flight::Heartbeat { to, heartbeat });
            }
        }
    }

    pub fn advance_agent(&mut self, worker: &WorkerId) {
        let Some(agent) = self.agents.get_mut(worker) else { return };
        let actions = agent.advance(self.now);
        self.note_actions(worker, actions);
        let agent = &self.agents[worker];
        let (used, capacity) = (agent.in_use(), agent.announcement.capacity);
        if !used.fits_in(&capacity) {
            self.witness.violations.push(format!("{worker} holds {used} of {capacity}"));
        }
    }

    pub fn note_actions(&mut self, worker: &WorkerId, actions: Vec<agent::AgentAction>) {
        for action in actions {
            self.witness.record_action(worker, &action);
            let text = match &action {
                agent::AgentAction::Started(assignment) => {
                    let from = match &assignment.checkpoint {
                        Some(checkpoint) => format!(" from {checkpoint}"),
                        None => String::new(),
                    };
                    format!("runs {}#{}{from}", assignment.task, assignment.attempt)
                }
                agent::AgentAction::Stopped(task, attempt, why) => {
                    format!("stops {task}#{attempt}: {why}")
                }
            };
            self.line(&format!("{worker} {text}"));
        }
    }

    fn line(&mut self, text: &str) {
        self.lines.push(format!("{:>7.2}s {text}", self.now.as_secs_f64()));
    }

    fn send(&mut self, from: &str, flight: Flight) {
        if self.random.chance(self.faults.loss) {
            return;
        }
        let to = match &flight {
            Flight::Quorum { to, .. } | Flight::Heartbeat { to, .. } => to.to_string(),
            Flight::Renewal { worker, .. } => worker.to_string(),
            Flight::Written { .. } => String::new(),
        };
        if self.is_cut(from, &to) {
            return;
        }
        if self.random.chance(self.faults.repeat) {
            self.schedule_delivery(self.faults.delay * 4, flight.clone());
        }
        self.schedule_delivery(self.faults.delay, flight);
    }

    fn schedule_delivery(&mut self, longest: Duration, flight: Flight) {
        let delay = self.random.duration_between(Duration::ZERO, longest);
        self.last_flight += 1;
        self.flights.insert((self.now + delay, self.last_flight), flight);
    }

    /// Delivers all messages that are due.
    pub fn settle(&mut self) {
        while let Some(entry) = self.flights.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let flight = entry.remove();
            self.deliver(flight);
        }
    }

    fn deliver(&mut self, flight: Flight) {
        match flight {
            Flight::Quorum { from, to, message } => {
                if self.is_cut(&from.to_string(), &to.to_string()) {
                    return;
                }
                let note = SenderInfo {
                    name: name_of(&format!("control-{from}")),
                    role: ProcessRole::Control,
                    revision: RevisionNumber(0),
                };
                let operator_address = address_of(ReplicaId(from.0 + 1000));
                let message = *message;
                self.event(to, NodeEvent::Quorum { from, note, operator_address, message });
            }
            Flight::Heartbeat { to, heartbeat } => {
                if self.is_cut(heartbeat.worker.as_str(), &to.to_string()) {
                    return;
                }
                let worker = heartbeat.worker.clone();
                let ticket = self.ticket(to, Waiting::Agent(worker.clone(), heartbeat.sequence));
                let note = SenderInfo {
                    name: name_of(&format!("agent-{worker}")),
                    role: ProcessRole::Agent,
                    revision: RevisionNumber(0),
                };
                let heartbeat = *heartbeat;
                self.event(to, NodeEvent::Heartbeat { ticket, note, heartbeat });
            }
            Flight::Renewal { from, worker, sequence, reply } => {
                if self.is_cut(&from.to_string(), worker.as_str()) {
                    return;
                }
                let now = self.now;
                let Some(agent) = self.agents.get_mut(&worker) else { return };
                let actions = agent.answered(now, sequence, *reply);
                self.note_actions(&worker, actions);
                self.advance_agent(&worker);
            }
            Flight::Written { at, incarnation, number } => self.written(at, incarnation, number),
        }
    }

    fn written(&mut self, at: ReplicaId, incarnation: u64, number: u64) {
        let Some(replica) = self.replicas.get_mut(&at) else { return };
        if replica.incarnation != incarnation || replica.node.is_none() {
            return;
        }
        let batch = replica.writing.take_if(|batch| batch.number == number);
        let Some(batch) = batch else { return };
        if replica.disk_full {
            return self.event(at, NodeEvent::PersistFailed { number });
        }
        if self.breakage != Some(Breakage::DiskForgets) {
            replica.disk.apply(&batch);
        }
        self.event(at, NodeEvent::Persisted { number });
    }

    fn ticket(&mut self, at: ReplicaId, waiting: Waiting) -> ReplyTicket {
        self.last_ticket += 1;
        let ticket = ReplyTicket(self.last_ticket);
        self.waiting.insert((at, ticket), waiting);
        ticket
    }

    /// A call whose reply is kept under `name`.
    pub fn call(
        &mut self,
        at: ReplicaId,
        name: &str,
        event: impl FnOnce(ReplyTicket) -> NodeEvent,
    ) {
        let ticket = self.ticket(at, Waiting::Caller(name.to_owned()));
        self.event(at, event(ticket));
        self.settle();
    }

    pub fn event(&mut self, at: ReplicaId, event: NodeEvent) {
        let now = self.now;
        let Some(replica) = self.replicas.get_mut(&at) else { return };
        let Some(node) = replica.node.as_mut().filter(|_| !replica.halted) else { return };
        let ahead = self.breakage == Some(Breakage::NoWaitForLeases) && node.is_leader();
        let now = if ahead { now + CLOCK_AHEAD } else { now };
        for effect in node.reduce(now, event) {
            self.perform(at, effect);
        }
    }

    fn perform(&mut self, at: ReplicaId, effect: NodeEffect) {
        match effect {
            NodeEffect::SendQuorum { to, message, .. } => {
                let message = Box::new(message);
                self.send(&at.to_string(), Flight::Quorum { from: at, to, message });
            }
            NodeEffect::Persist(batch) => {
                let Some(replica) = self.replicas.get_mut(&at) else { return };
                let flight =
                    Flight::Written { at, incarnation: replica.incarnation, number: batch.number };
                replica.writing = Some(batch);
                self.schedule_delivery(self.faults.disk_delay, flight);
            }
            NodeEffect::Reply { ticket, reply } => self.replied(at, ticket, reply),
            NodeEffect::Record(event) => {
                let fields = event.fields().into_iter();
                let fields: Vec<_> = fields.map(|(key, value)| format!("{key}={value}")).collect();
                self.line(&format!("{at}: {} {}", event.name(), fields.join(" ")));
            }
            NodeEffect::PutInForce(revision) => self.witness.in_force(at, revision, false),
            NodeEffect::Ready(_) => {}
            NodeEffect::Halt(error) => {
                self.witness.violations.push(format!("{at} halted: {error}"));
                if let Some(replica) = self.replicas.get_mut(&at) {
                    replica.halted = true;
                }
            }
        }
    }

    fn replied(&mut self, at: ReplicaId, ticket: ReplyTicket, reply: NodeReply) {
        let waiting = self.waiting.remove(&(at, ticket));
        match (waiting, reply) {
            (Some(Waiting::Agent(worker, sequence)), NodeReply::Heartbeat(reply)) => {
                let reply = Box::new(reply);
                let flight = Flight::Renewal { from: at, worker, sequence, reply };
                self.send(&at.to_string(), flight);
            }
            (Some(Waiting::Caller(name)), reply) => {
                self.replies.insert(name, reply);
            }
            _ => {}
        }
    }
}
