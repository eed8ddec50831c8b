//! A group of replicas over a fake network and fake disks, and what an outsider may demand of it.

#![allow(dead_code)]

pub mod disk;
pub mod schedule;
pub mod witness;

use {
    self::{disk::FakeDisk, witness::GroupWitness},
    base::{EventReducer, LogIndex, PeerAddress, ReplicaId, ReplyTicket, TermNumber},
    quorum::{
        EntryPayload, GroupMember, LogEntry, MemberChange, PersistBatch, ProposalError, QuorumCore,
        QuorumEffect, QuorumEvent, QuorumMessage, QuorumSettings, ReplicaRole,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(100);
pub const HEARTBEAT: Duration = Duration::from_millis(20);

/// A deliberate fault of the driver, to show that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// Batches count as synced when they are handed over.
    NoSync,
    /// Term and vote are never written.
    VoteNotWritten,
    /// A leader's own entries count before they are synced.
    OwnEntriesUnsynced,
    /// Reads are answered without a round of messages.
    ReadUnconfirmed,
    /// A failed write is reported as done.
    FailureHidden,
}

/// A message on its way.
#[derive(Debug, Clone)]
pub struct Flight {
    pub from: ReplicaId,
    pub to: ReplicaId,
    pub message: QuorumMessage,
}

/// A replica and its disk.
#[derive(Debug, Default)]
pub struct Node {
    pub core: Option<QuorumCore>,
    pub disk: FakeDisk,
    /// Batches that are written but not synced.
    pub unsynced: VecDeque<PersistBatch>,
    pub disk_full: bool,
    /// The process stands still: it sees neither time nor messages, but what is asked of it next
    /// is the first thing that it handles.
    pub paused: bool,
    /// How fast the replica's clock runs, in percent.
    pub clock_percent: u32,
    /// The caller's state: a digest of everything applied, and the last position.
    pub digest: u64,
    pub applied: LogIndex,
}

/// The group, its network and its clock.
pub struct Cluster {
    pub now: Duration,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub flights: VecDeque<Flight>,
    pub cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Messages on these ways are late until the way is taken out.
    pub delayed: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Messages on these ways arrive twice.
    pub doubled: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Disks that do not finish what they are given.
    pub slow_disks: BTreeSet<ReplicaId>,
    pub witness: GroupWitness,
    pub breakage: Option<Breakage>,
    pub founders: Vec<GroupMember>,
    pub snapshot_every: u64,
    /// Whether every disk writes real files, too.
    pub real_files: bool,
    /// The clocks of replicas run at these rates, in turn.
    pub clock_percents: Vec<u32>,
    /// What happened, for scenarios.
    pub lines: Vec<String>,
    next_ticket: u64,
    seed: u64,
}

pub fn address(replica: ReplicaId) -> PeerAddress {
    PeerAddress(([127, 0, 0, 1], u16::try_from(replica.0).unwrap()).into())
}

impl Cluster {
    pub fn new(voters: u64, seed: u64) -> Self {
        let founders = (1..=voters)
            .map(|id| GroupMember {
                replica: ReplicaId(id),
                address: address(ReplicaId(id)),
                voter: true,
            })
            .collect();
        Self {
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            flights: VecDeque::new(),
            cuts: BTreeSet::new(),
            delayed: BTreeSet::new(),
            doubled: BTreeSet::new(),
            slow_disks: BTreeSet::new(),
            witness: GroupWitness::default(),
            breakage: None,
            founders,
            snapshot_every: 1_000_000,
            real_files: false,
            clock_percents: vec![100],
            lines: Vec::new(),
            next_ticket: 1,
            seed,
        }
    }

    pub fn settings(&self, replica: ReplicaId) -> QuorumSettings {
        QuorumSettings {
            replica,
            founders: self.founders.clone(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: HEARTBEAT,
            batch_bytes: 256,
            in_flight: 4,
            pending: 100,
            snapshot_chunk: 8,
            snapshot_every: self.snapshot_every,
        }
    }

    pub fn start(&mut self, replica: ReplicaId) {
        self.seed += 1;
        let settings = self.settings(replica);
        let real_files = self.real_files;
        let node = self.nodes.entry(replica).or_insert_with(|| Node {
            disk: if real_files { FakeDisk::with_files() } else { FakeDisk::default() },
            ..Node::default()
        });
        let recovered = node.disk.recover();
        node.digest = 0;
        node.applied = LogIndex(0);
        node.clock_percent = self.clock_percents[replica.0 as usize % self.clock_percents.len()];
        let now = self.now * node.clock_percent / 100;
        match QuorumCore::new(settings, recovered, now, self.seed) {
            Ok(core) => node.core = Some(core),
            Err(error) => self.lines.push(format!("{replica}: {error}")),
        }
    }

    /// Kills a replica. What was not synced is lost, unless the disk got to it in time.
    pub fn crash(&mut self, replica: ReplicaId, keep_unsynced: bool) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        node.core = None;
        node.paused = false;
        let lost: Vec<_> = node.unsynced.drain(..).collect();
        if keep_unsynced {
            lost.iter().for_each(|batch| node.disk.write(batch));
        }
        self.witness.forget_tickets(replica);
    }

    /// Leaves half a record at the end of a crashed replica's files.
    pub fn tear(&mut self, replica: ReplicaId) {
        self.nodes.get_mut(&replica).unwrap().disk.tear();
    }

    pub fn event(&mut self, replica: ReplicaId, event: QuorumEvent<QuorumMessage>) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        let now = self.now * node.clock_percent / 100;
        let Some(core) = node.core.as_mut() else { return };
        let effects = core.reduce(now, event);
        for effect in effects {
            self.perform(replica, effect);
        }
    }

    fn perform(&mut self, replica: ReplicaId, effect: QuorumEffect<QuorumMessage>) {
        match effect {
            QuorumEffect::Send { to, message, .. } => {
                self.witness.saw_message(replica, &message);
                self.flights.push_back(Flight { from: replica, to, message });
            }
            QuorumEffect::Persist(batch) => self.persist(replica, batch),
            QuorumEffect::InstallSnapshot(snapshot) => {
                let node = self.nodes.get_mut(&replica).unwrap();
                node.digest = u64::from_le_bytes(snapshot.data[..8].try_into().unwrap());
                node.applied = snapshot.index;
                self.witness.installed(replica, snapshot.index, node.digest);
                self.lines.push(format!("{replica}: installed snapshot {}", snapshot.index));
            }
            QuorumEffect::Apply(entry) => self.apply(replica, entry),
            QuorumEffect::Committed { ticket, index } => {
                self.witness.acknowledged(ticket, index);
                self.lines.push(format!("{replica}: committed {ticket} at {index}"));
            }
            QuorumEffect::ReadConfirmed { ticket } => {
                let applied = self.nodes[&replica].applied;
                self.witness.read_answered(ticket, applied);
                self.lines.push(format!("{replica}: read {ticket} sees {applied}"));
            }
            QuorumEffect::Rejected { ticket, error } => {
                self.witness.rejected(ticket, &error);
                self.lines.push(format!("{replica}: rejected {ticket}: {}", describe(&error)));
            }
            QuorumEffect::RoleChanged { role, term, leader } => {
                self.role_changed(replica, role, term, leader);
            }
            QuorumEffect::TakeSnapshot => {
                let node = &self.nodes[&replica];
                let mut data = node.digest.to_le_bytes().to_vec();
                data.resize(20, 0);
                let index = node.applied;
                self.lines.push(format!("{replica}: takes snapshot {index}"));
                self.event(replica, QuorumEvent::SnapshotTaken { index, data });
            }
        }
    }

    fn role_changed(
        &mut self,
        replica: ReplicaId,
        role: ReplicaRole,
        term: TermNumber,
        leader: Option<ReplicaId>,
    ) {
        if role == ReplicaRole::Leader {
            self.witness.leads(replica, term);
        }
        let leader = leader.map_or("none".to_owned(), |leader| leader.to_string());
        self.lines.push(format!("{replica}: {role:?} in term {term}, leader {leader}"));
    }

    fn persist(&mut self, replica: ReplicaId, mut batch: PersistBatch) {
        let node = self.nodes.get_mut(&replica).unwrap();
        let number = batch.number;
        if self.breakage == Some(Breakage::VoteNotWritten) {
            batch.hard_state = None;
        }
        let early = match self.breakage {
            Some(Breakage::NoSync) => true,
            Some(Breakage::OwnEntriesUnsynced) => {
                let core = node.core.as_ref().unwrap();
                core.leader() == Some(replica)
            }
            _ => false,
        };
        node.unsynced.push_back(batch);
        if early {
            self.event(replica, QuorumEvent::Persisted { number });
        }
    }

    /// Lets a disk finish what it was given.
    pub fn sync(&mut self, replica: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        let Some(batch) = node.unsynced.pop_front() else { return };
        let number = batch.number;
        if node.disk_full && self.breakage != Some(Breakage::FailureHidden) {
            self.event(replica, QuorumEvent::PersistFailed { number });
            return;
        }
        if !node.disk_full {
            node.disk.write(&batch);
        }
        self.event(replica, QuorumEvent::Persisted { number });
    }

    fn apply(&mut self, replica: ReplicaId, entry: LogEntry) {
        let node = self.nodes.get_mut(&replica).unwrap();
        node.digest = witness::extend_digest(node.digest, &entry);
        let gap = entry.index != node.applied.next();
        node.applied = entry.index;
        self.witness.applied(replica, &entry, node.digest, gap);
        let what = match &entry.payload {
            EntryPayload::Empty => "empty".to_owned(),
            EntryPayload::Data(data) => String::from_utf8_lossy(data).into_owned(),
            EntryPayload::Members { members, .. } => describe_members(members),
        };
        self.lines.push(format!("{replica}: applied {} {what}", entry.index));
    }

    fn ticket(&mut self) -> ReplyTicket {
        self.next_ticket += 1;
        ReplyTicket(self.next_ticket - 1)
    }

    pub fn propose(&mut self, replica: ReplicaId, data: &str) {
        let ticket = self.ticket();
        self.witness.proposed(replica, ticket, data.as_bytes());
        let data = data.as_bytes().to_vec();
        self.event(replica, QuorumEvent::Propose { ticket, data });
    }

    pub fn read(&mut self, replica: ReplicaId) {
        let ticket = self.ticket();
        self.witness.read_asked(replica, ticket);
        let believes = self.nodes.get(&replica).and_then(|node| node.core.as_ref());
        let leads = believes.is_some_and(|core| core.role() == ReplicaRole::Leader);
        if self.breakage == Some(Breakage::ReadUnconfirmed) && leads {
            self.perform(replica, QuorumEffect::ReadConfirmed { ticket });
            return;
        }
        self.event(replica, QuorumEvent::ConfirmRead { ticket });
    }

    pub fn change(&mut self, replica: ReplicaId, change: MemberChange) {
        let ticket = self.ticket();
        self.witness.change_asked(replica, ticket, change);
        self.event(replica, QuorumEvent::ChangeMembers { ticket, change });
    }

    /// Delivers one message, unless its way is cut.
    pub fn deliver(&mut self, flight: Flight) {
        if self.cuts.contains(&(flight.from, flight.to)) {
            return;
        }
        let Flight { from, to, message } = flight;
        if self.doubled.contains(&(from, to)) {
            self.event(to, QuorumEvent::Received { from, message: message.clone() });
        }
        self.event(to, QuorumEvent::Received { from, message });
    }

    /// Delivers every message and finishes every write until nothing is left to do now.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            if !self.step() {
                return;
            }
        }
        panic!("the group never settles");
    }

    /// Delivers what is on its way now and finishes one write on each disk. False when there was
    /// nothing to do.
    pub fn step(&mut self) -> bool {
        let flights = std::mem::take(&mut self.flights);
        let (late, due): (Vec<_>, Vec<_>) =
            flights.into_iter().partition(|flight| self.is_late(flight));
        self.flights = late.into();
        let writing = self.nodes.iter().filter(|(_, node)| !node.unsynced.is_empty());
        let ids: Vec<ReplicaId> = writing.map(|(id, _)| *id).collect();
        let ids: Vec<_> = ids.into_iter().filter(|id| !self.slow_disks.contains(id)).collect();
        let busy = !due.is_empty() || !ids.is_empty();
        due.into_iter().for_each(|flight| self.deliver(flight));
        ids.into_iter().for_each(|id| self.sync(id));
        busy
    }

    fn is_late(&self, flight: &Flight) -> bool {
        let paused = self.nodes.get(&flight.to).is_some_and(|node| node.paused);
        paused || self.delayed.contains(&(flight.from, flight.to))
    }

    pub fn tick_all(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids.into_iter().filter(|id| !self.nodes[id].paused).collect::<Vec<_>>() {
            self.event(id, QuorumEvent::Tick);
        }
    }

    /// Lets time pass in steps of half a heartbeat, over a network and disks without delay.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += HEARTBEAT / 2;
            self.tick_all();
            self.settle();
        }
    }

    /// Lets time pass for one replica alone, so that it is the first to stand for election.
    pub fn elect(&mut self, replica: ReplicaId) {
        self.now += ELECTION_TIMEOUT * 2;
        self.event(replica, QuorumEvent::Tick);
    }

    /// The leader of the newest term among the replicas that run.
    pub fn leader(&self) -> Option<ReplicaId> {
        let cores = self.nodes.values().filter_map(|node| node.core.as_ref());
        cores
            .filter(|core| core.role() == ReplicaRole::Leader)
            .max_by_key(|core| core.term())
            .map(QuorumCore::replica)
    }
}

pub fn describe_members(members: &[GroupMember]) -> String {
    let kind = |member: &GroupMember| if member.voter { "" } else { "?" };
    let ids: Vec<_> = members.iter().map(|m| format!("{}{}", m.replica, kind(m))).collect();
    format!("members {}", ids.join(","))
}

fn describe(error: &ProposalError) -> String {
    match error {
        ProposalError::NotLeader { leader: Some(leader) } => {
            format!("{error}; the leader is {leader}")
        }
        _ => error.to_string(),
    }
}
