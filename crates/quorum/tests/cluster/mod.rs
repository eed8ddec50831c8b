//! A group of replicas on a simulated network and simulated disks, with checks of its guarantees.

#![allow(dead_code)]

pub mod disk;
pub mod observer;
pub mod schedule;

use {
    self::{disk::FakeDisk, observer::GroupObserver},
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

/// A bug injected into the driver to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// Reports batches as synced before they are written.
    NoSync,
    /// Omits the term and vote from every write.
    VoteNotWritten,
    /// Reports a leader's batches as synced before they are written.
    OwnEntriesUnsynced,
    /// Answers reads without a confirmation round.
    ReadUnconfirmed,
    /// Reports a failed write as synced.
    FailureHidden,
}

/// A message in transit.
#[derive(Debug, Clone)]
pub struct Envelope {
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
    /// Whether the process is suspended. It then receives neither ticks nor messages; the next
    /// request addressed to it is the first event that it handles.
    pub paused: bool,
    /// Speed of the replica's clock, in percent.
    pub clock_percent: u32,
    /// Digest of all applied entries, which stands for the caller's state.
    pub digest: u64,
    pub applied: LogIndex,
}

/// A group of replicas with its network and clock.
pub struct Cluster {
    pub now: Duration,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub in_transit: VecDeque<Envelope>,
    pub cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Links on which messages stay in transit until the link is removed from this set.
    pub delayed_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Links on which messages are delivered twice.
    pub duplicated_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Replicas whose disks do not complete writes.
    pub slow_disks: BTreeSet<ReplicaId>,
    pub observer: GroupObserver,
    pub bug: Option<InjectedBug>,
    pub founders: Vec<GroupMember>,
    pub snapshot_every: u64,
    /// Whether every disk also writes to real files.
    pub real_files: bool,
    /// Clock speeds of the replicas in percent, assigned in turn.
    pub clock_percents: Vec<u32>,
    /// Log of observed effects, for scenarios.
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
            in_transit: VecDeque::new(),
            cut_links: BTreeSet::new(),
            delayed_links: BTreeSet::new(),
            duplicated_links: BTreeSet::new(),
            slow_disks: BTreeSet::new(),
            observer: GroupObserver::default(),
            bug: None,
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
            in_flight_limit: 4,
            pending_limit: 100,
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

    /// Crashes a replica. Unsynced batches are lost unless `keep_unsynced` is set.
    pub fn crash(&mut self, replica: ReplicaId, keep_unsynced: bool) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        node.core = None;
        node.paused = false;
        let lost: Vec<_> = node.unsynced.drain(..).collect();
        if keep_unsynced {
            lost.iter().for_each(|batch| node.disk.write(batch));
        }
        self.observer.forget_tickets(replica);
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
                self.observer.message_sent(replica, &message);
                self.in_transit.push_back(Envelope { from: replica, to, message });
            }
            QuorumEffect::Persist(batch) => self.persist(replica, batch),
            QuorumEffect::InstallSnapshot(snapshot) => {
                let node = self.nodes.get_mut(&replica).unwrap();
                node.digest = u64::from_le_bytes(snapshot.data[..8].try_into().unwrap());
                node.applied = snapshot.index;
                self.observer.installed(replica, snapshot.index, node.digest);
                self.lines.push(format!("{replica}: installed snapshot {}", snapshot.index));
            }
            QuorumEffect::Apply(entry) => self.apply(replica, entry),
            QuorumEffect::Committed { ticket, index } => {
                self.observer.acknowledged(ticket, index);
                self.lines.push(format!("{replica}: committed {ticket} at {index}"));
            }
            QuorumEffect::ReadConfirmed { ticket } => {
                let applied = self.nodes[&replica].applied;
                self.observer.read_answered(ticket, applied);
                self.lines.push(format!("{replica}: read {ticket} sees {applied}"));
            }
            QuorumEffect::Rejected { ticket, error } => {
                self.observer.rejected(ticket, &error);
                self.lines
                    .push(format!("{replica}: rejected {ticket}: {}", describe_error(&error)));
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
            self.observer.leader_reported(replica, term);
        }
        let leader = leader.map_or("none".to_owned(), |leader| leader.to_string());
        self.lines.push(format!("{replica}: {role:?} in term {term}, leader {leader}"));
    }

    fn persist(&mut self, replica: ReplicaId, mut batch: PersistBatch) {
        let node = self.nodes.get_mut(&replica).unwrap();
        let number = batch.number;
        if self.bug == Some(InjectedBug::VoteNotWritten) {
            batch.hard_state = None;
        }
        let early = match self.bug {
            Some(InjectedBug::NoSync) => true,
            Some(InjectedBug::OwnEntriesUnsynced) => {
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

    /// Completes the oldest pending write of a disk.
    pub fn sync(&mut self, replica: ReplicaId) {
        let Some(node) = self.nodes.get_mut(&replica) else { return };
        let Some(batch) = node.unsynced.pop_front() else { return };
        let number = batch.number;
        if node.disk_full && self.bug != Some(InjectedBug::FailureHidden) {
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
        node.digest = observer::extend_digest(node.digest, &entry);
        let gap = entry.index != node.applied.next();
        node.applied = entry.index;
        self.observer.applied(replica, &entry, node.digest, gap);
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
        self.observer.proposed(replica, ticket, data.as_bytes());
        let data = data.as_bytes().to_vec();
        self.event(replica, QuorumEvent::Propose { ticket, data });
    }

    pub fn read(&mut self, replica: ReplicaId) {
        let ticket = self.ticket();
        self.observer.read_requested(replica, ticket);
        let believes = self.nodes.get(&replica).and_then(|node| node.core.as_ref());
        let leads = believes.is_some_and(|core| core.role() == ReplicaRole::Leader);
        if self.bug == Some(InjectedBug::ReadUnconfirmed) && leads {
            self.perform(replica, QuorumEffect::ReadConfirmed { ticket });
            return;
        }
        self.event(replica, QuorumEvent::ConfirmRead { ticket });
    }

    pub fn change(&mut self, replica: ReplicaId, change: MemberChange) {
        let ticket = self.ticket();
        self.observer.change_requested(replica, ticket, change);
        self.event(replica, QuorumEvent::ChangeMembers { ticket, change });
    }

    /// Delivers one message, unless its link is cut.
    pub fn deliver(&mut self, envelope: Envelope) {
        if self.cut_links.contains(&(envelope.from, envelope.to)) {
            return;
        }
        let Envelope { from, to, message } = envelope;
        if self.duplicated_links.contains(&(from, to)) {
            self.event(to, QuorumEvent::Received { from, message: message.clone() });
        }
        self.event(to, QuorumEvent::Received { from, message });
    }

    /// Delivers messages and completes writes until none are left.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            if !self.step() {
                return;
            }
        }
        panic!("the group never settles");
    }

    /// Delivers all messages that are due and completes one write on each disk. Returns false if
    /// there was nothing to do.
    pub fn step(&mut self) -> bool {
        let in_transit = std::mem::take(&mut self.in_transit);
        let (late, due): (Vec<_>, Vec<_>) =
            in_transit.into_iter().partition(|envelope| self.is_delayed(envelope));
        self.in_transit = late.into();
        let writing = self.nodes.iter().filter(|(_, node)| !node.unsynced.is_empty());
        let ids: Vec<ReplicaId> = writing.map(|(id, _)| *id).collect();
        let ids: Vec<_> = ids.into_iter().filter(|id| !self.slow_disks.contains(id)).collect();
        let made_progress = !due.is_empty() || !ids.is_empty();
        due.into_iter().for_each(|envelope| self.deliver(envelope));
        ids.into_iter().for_each(|id| self.sync(id));
        made_progress
    }

    fn is_delayed(&self, envelope: &Envelope) -> bool {
        let paused = self.nodes.get(&envelope.to).is_some_and(|node| node.paused);
        paused || self.delayed_links.contains(&(envelope.from, envelope.to))
    }

    pub fn tick_all(&mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids.into_iter().filter(|id| !self.nodes[id].paused).collect::<Vec<_>>() {
            self.event(id, QuorumEvent::Tick);
        }
    }

    /// Advances time in steps of half a heartbeat, with no delay in the network and on disks.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += HEARTBEAT / 2;
            self.tick_all();
            self.settle();
        }
    }

    /// Advances time for one replica only, so that it is the first to start an election.
    pub fn elect(&mut self, replica: ReplicaId) {
        self.now += ELECTION_TIMEOUT * 2;
        self.event(replica, QuorumEvent::Tick);
    }

    /// Returns the leader with the newest term among the running replicas.
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

fn describe_error(error: &ProposalError) -> String {
    match error {
        ProposalError::NotLeader { leader: Some(leader) } => {
            format!("{error}; the leader is {leader}")
        }
        _ => error.to_string(),
    }
}
