//! A control group of several processes in one thread.

use {
    crate::fixtures::fleet_config,
    base::{EventReducer, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{EntryPayload, GroupMember, QuorumSettings, RecoveredLog},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
    workflow::{
        control::{
            ControlEffect, ControlEvent, ControlNode, ControlSettings, OperatorAnswer, SessionId,
        },
        message::{CallerAnswer, CallerCall, LinkMessage},
        plan::LookaheadScope,
        state::FlowState,
    },
};

pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(20);
/// The stream on which messages of the replicated log arrive.
const PEER_SESSION: SessionId = SessionId(u64::MAX);

struct GroupHost {
    node: ControlNode,
    disk: RecoveredLog,
}

/// The members of a control group by their ports. Messages arrive at once, unless a cut separates the
/// two processes.
pub struct ControlGroup {
    hosts: BTreeMap<u16, GroupHost>,
    founders: Vec<GroupMember>,
    now: Duration,
    /// The processes that are cut off from all others.
    cut: BTreeSet<u16>,
    arrivals: VecDeque<(u16, ControlEvent)>,
    /// What has arrived at a process that stands still.
    paused: BTreeMap<u16, Vec<ControlEvent>>,
    /// The answers to operators.
    answers: Vec<OperatorAnswer>,
    /// The messages to joining processes and entries, with the ports of sender and receiver.
    sent: Vec<(u16, u16, LinkMessage)>,
}

impl ControlGroup {
    /// Founds a group of processes at the ports from 1 on, and waits until it has a leader.
    pub fn start(members: u16) -> Self {
        let founder = |port| GroupMember {
            replica: ReplicaId(u64::from(port)),
            address: address_of(port),
            voter: true,
        };
        let mut group = Self {
            hosts: BTreeMap::new(),
            founders: (1..=members).map(founder).collect(),
            now: Duration::ZERO,
            cut: BTreeSet::new(),
            arrivals: VecDeque::new(),
            paused: BTreeMap::new(),
            answers: Vec::new(),
            sent: Vec::new(),
        };
        for port in 1..=members {
            group.open(port, ReplicaId(u64::from(port)), RecoveredLog::default());
        }
        group.advance(ELECTION_TIMEOUT * 4);
        group
    }

    /// Starts a process with an id and the contents of its disk.
    fn open(&mut self, port: u16, replica: ReplicaId, disk: RecoveredLog) {
        let founders =
            if replica.0 == u64::from(port) { self.founders.clone() } else { Vec::new() };
        let quorum = QuorumSettings {
            replica,
            founders,
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: Duration::from_millis(100),
            batch_bytes: 1 << 20,
            in_flight_limit: 8,
            pending_limit: 1000,
            snapshot_chunk: 1 << 16,
            snapshot_every: 10_000,
        };
        let settings = ControlSettings {
            quorum,
            lease: Duration::from_millis(3500),
            retention: Duration::from_secs(60),
            tolerated_losses: self.founders.len() / 2,
            look_ahead: LookaheadScope::All,
        };
        let node = ControlNode::new(settings, disk.clone(), self.now, u64::from(port)).unwrap();
        self.hosts.insert(port, GroupHost { node, disk });
    }

    /// Starts a process with an empty disk under an id that it was assigned.
    pub fn admit(&mut self, port: u16, replica: ReplicaId) {
        self.open(port, replica, RecoveredLog::default());
    }

    /// Ends a process with its disk.
    pub fn stop(&mut self, port: u16) {
        self.hosts.remove(&port);
    }

    /// Returns the process that leads in the newest term.
    pub fn leader(&self) -> Option<u16> {
        let leading = self.hosts.iter().filter(|(_, host)| host.node.is_leader());
        leading.max_by_key(|(_, host)| host.disk.hard_state.term).map(|(port, _)| *port)
    }

    /// Cuts a process off from all other members. Joining processes and entries still reach it.
    pub fn cut_off(&mut self, port: u16) {
        self.cut.insert(port);
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Stops a process until [`Self::resume`].
    pub fn pause(&mut self, port: u16) {
        self.paused.insert(port, Vec::new());
    }

    /// Lets a process go on with what has arrived meanwhile, in this order.
    pub fn resume(&mut self, port: u16) {
        let waiting = self.paused.remove(&port).unwrap_or_default();
        self.arrivals.extend(waiting.into_iter().map(|event| (port, event)));
        self.deliver();
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            let ports: Vec<u16> = self.hosts.keys().copied().collect();
            for port in ports {
                self.arrivals.push_back((port, ControlEvent::Tick { wall_ms: 1_000_000 }));
            }
            self.deliver();
        }
    }

    /// Sends a message of a joining process or an entry to a member.
    pub fn send(&mut self, to: u16, from: u16, message: LinkMessage) {
        let session = SessionId(u64::from(from));
        self.arrivals.push_back((to, ControlEvent::Message { session, message }));
        self.deliver();
    }

    /// Sends the request of a process with an empty disk.
    pub fn join(&mut self, to: u16, from: u16) {
        self.send(to, from, LinkMessage::Join { address: address_of(from) });
    }

    /// Sends a caller's request about job 10 to a member.
    pub fn call(&mut self, to: u16, from: u16, call: CallerCall) {
        let (host, path) = ("h".to_owned(), "/q/000000000000000a".to_owned());
        self.send(to, from, LinkMessage::Call { sequence: 1, host, path, call });
    }

    /// Takes the messages to an entry, and returns the answers to its calls.
    pub fn caller_answers(&mut self, port: u16) -> Vec<CallerAnswer> {
        let answers = self.take_sent(port).into_iter().filter_map(|message| match message {
            LinkMessage::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.collect()
    }

    /// Takes the answers to operators.
    pub fn operator_answers(&mut self) -> Vec<OperatorAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// Asks a member for the cordon of a data centre.
    pub fn cordon(&mut self, to: u16, data_centre: &str) {
        let (ticket, data_centre) = (ReplyTicket(1), data_centre.parse().unwrap());
        self.arrivals.push_back((to, ControlEvent::Cordon { ticket, data_centre }));
        self.deliver();
    }

    /// Returns the applied state of a member.
    pub fn state(&self, port: u16) -> &FlowState {
        self.hosts[&port].node.applied()
    }

    /// Sends a configuration to a member.
    pub fn configure(&mut self, to: u16, version: u64) {
        let (ticket, config) = (ReplyTicket(version), fleet_config(version, 2));
        self.arrivals.push_back((to, ControlEvent::Configure { ticket, config }));
        self.deliver();
    }

    /// Sends the question of a process whether it still belongs to the group.
    pub fn check_member(&mut self, to: u16, from: u16, replica: ReplicaId) {
        let address = address_of(from);
        self.send(to, from, LinkMessage::CheckMember { replica, address });
    }

    /// Returns how long no leader has reached a process that may not start elections.
    pub fn unreached_for(&self, port: u16) -> Option<Duration> {
        self.hosts[&port].node.unreached_for()
    }

    /// Returns the ids of the members by a process's log, the latest last.
    pub fn member_ids(&self, port: u16) -> Vec<ReplicaId> {
        let entries = self.hosts[&port].disk.entries.iter().rev();
        let mut groups = entries.filter_map(|entry| match &entry.payload {
            EntryPayload::Members { members, .. } => Some(members),
            _ => None,
        });
        let members = groups.next().unwrap_or(&self.founders);
        members.iter().map(|member| member.replica).collect()
    }

    /// Takes the messages to a joining process or an entry.
    pub fn take_sent(&mut self, to: u16) -> Vec<LinkMessage> {
        let (taken, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.sent).into_iter().partition(|(_, port, _)| *port == to);
        self.sent = left;
        taken.into_iter().map(|(_, _, message)| message).collect()
    }

    /// Takes the messages to a joining process, and returns the id that the last of them assigns.
    pub fn admitted(&mut self, port: u16) -> Option<ReplicaId> {
        let ids = self.take_sent(port).into_iter().filter_map(|message| match message {
            LinkMessage::Admitted { replica } => Some(replica),
            _ => None,
        });
        ids.last()
    }

    /// Takes the messages to a process, and returns the id under which it is told to leave.
    pub fn removed(&mut self, port: u16) -> Option<ReplicaId> {
        let ids = self.take_sent(port).into_iter().filter_map(|message| match message {
            LinkMessage::Removed { replica } => Some(replica),
            _ => None,
        });
        ids.last()
    }

    /// Takes the messages to an entry, and returns the ports of the members in the last one of a leader.
    pub fn announced(&mut self, port: u16) -> Vec<u16> {
        let lists = self.take_sent(port).into_iter().filter_map(|message| match message {
            LinkMessage::Welcome { leading: true, members, .. } => Some(members),
            _ => None,
        });
        let members = lists.last().unwrap_or_default();
        members.into_iter().map(|address| address.0.port()).collect()
    }

    fn deliver(&mut self) {
        while let Some((port, event)) = self.arrivals.pop_front() {
            if let Some(waiting) = self.paused.get_mut(&port) {
                if !matches!(event, ControlEvent::Tick { .. }) {
                    waiting.push(event);
                }
                continue;
            }
            let Some(host) = self.hosts.get_mut(&port) else { continue };
            let mut effects = host.node.reduce(self.now, event);
            effects.extend(host.node.reduce(self.now, ControlEvent::Settle));
            effects.into_iter().for_each(|effect| self.perform(port, effect));
        }
    }

    fn perform(&mut self, port: u16, effect: ControlEffect) {
        match effect {
            ControlEffect::SendPeer { from, to, address, message } => {
                let peer = address.0.port();
                if self.cut.contains(&port) || self.cut.contains(&peer) {
                    return;
                }
                let message = LinkMessage::Quorum { from, to, message: Box::new(message) };
                let event = ControlEvent::Message { session: PEER_SESSION, message };
                self.arrivals.push_back((peer, event));
            }
            ControlEffect::Persist(batch) => {
                if let Some(host) = self.hosts.get_mut(&port) {
                    host.disk.apply(&batch);
                }
                let number = batch.number;
                self.arrivals.push_back((port, ControlEvent::Persisted { number }));
            }
            ControlEffect::Send { session, message } if session != PEER_SESSION => {
                self.sent.push((port, session.0 as u16, message));
            }
            ControlEffect::Answer { answer, .. } => self.answers.push(answer),
            ControlEffect::Halt(error) => panic!("process {port}: {error}"),
            _ => {}
        }
    }
}

fn address_of(port: u16) -> PeerAddress {
    PeerAddress(([127, 0, 0, 1], port).into())
}
