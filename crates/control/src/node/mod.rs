//! The control reducer: the replicated log, the applied state and the work of a leader.

mod explain;
mod heartbeat;
mod housekeeping;
mod ledger;
mod log;
mod operator;
mod reads;
mod status;
mod types;

pub use types::{NodeEffect, NodeEvent, NodeReply, OperatorAnswer, OperatorCall};

use {
    self::{log::ProposalOwner, reads::ReadQueue},
    crate::{
        leader::{LeaderState, SenderInfo},
        state::FleetState,
    },
    base::{
        EventReducer, LogIndex, PeerAddress, ProcessName, ReplicaId, ReplyTicket, RevisionNumber,
    },
    indexmap::IndexMap,
    proto::envelope::ProcessRole,
    quorum::{CoreError, QuorumCore, QuorumEvent, QuorumMessage, QuorumSettings, RecoveredLog},
    std::{
        collections::VecDeque,
        time::{Duration, SystemTime},
    },
};

/// What a control process needs to start.
#[derive(Debug)]
pub struct NodeSettings {
    /// The name of the process.
    pub name: ProcessName,
    /// The address for operators.
    pub operator_address: PeerAddress,
    /// The settings of the replicated log.
    pub quorum: QuorumSettings,
    /// Seed of the random choices, which has to differ between replicas.
    pub seed: u64,
}

/// A replica of the control group.
#[derive(Debug)]
pub struct ControlNode {
    name: ProcessName,
    operator_address: PeerAddress,
    core: QuorumCore,
    state: FleetState,
    applied: LogIndex,
    leader: Option<LeaderState>,
    /// The addresses for operators that the other replicas have sent.
    operators: IndexMap<ReplicaId, PeerAddress>,
    proposals: IndexMap<ReplyTicket, ProposalOwner>,
    outcomes: IndexMap<LogIndex, Vec<crate::state::CommandOutcome>>,
    reads: ReadQueue,
    last_ticket: ReplyTicket,
    now: Duration,
    wall_ms: u64,
    wall_at: Duration,
    queue: VecDeque<QuorumEvent<QuorumMessage>>,
    effects: Vec<NodeEffect>,
}

impl ControlNode {
    /// Returns a replica that starts from the log recovered from its disk.
    pub fn new(
        settings: NodeSettings,
        recovered: RecoveredLog,
        now: Duration,
    ) -> Result<Self, CoreError> {
        let core = QuorumCore::new(settings.quorum, recovered, now, settings.seed)?;
        Ok(Self {
            name: settings.name,
            operator_address: settings.operator_address,
            core,
            state: FleetState::new(),
            applied: LogIndex(0),
            leader: None,
            operators: IndexMap::new(),
            proposals: IndexMap::new(),
            outcomes: IndexMap::new(),
            reads: ReadQueue::default(),
            last_ticket: ReplyTicket(0),
            now,
            wall_ms: 0,
            wall_at: now,
            queue: VecDeque::new(),
            effects: Vec::new(),
        })
    }

    /// Returns the applied state.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns the replicated log.
    pub fn core(&self) -> &QuorumCore {
        &self.core
    }

    /// Returns true if this replica is the leader.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    fn reply(&mut self, ticket: ReplyTicket, reply: NodeReply) {
        self.effects.push(NodeEffect::Reply { ticket, reply });
    }

    fn next_ticket(&mut self) -> ReplyTicket {
        self.last_ticket = self.last_ticket.next();
        self.last_ticket
    }

    /// Returns milliseconds of the wall clock since the Unix epoch, as of the last tick plus the
    /// monotonic time since.
    fn wall_ms(&self) -> u64 {
        let since = self.now.saturating_sub(self.wall_at);
        self.wall_ms + since.as_millis() as u64
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.wall_ms())
    }

    /// Returns the leader and its address for other processes.
    fn leader_hint(&self) -> Option<(ReplicaId, PeerAddress)> {
        let leader = self.core.leader()?;
        let members = self.core.members();
        let found = members.iter().find(|progress| progress.member.replica == leader)?;
        Some((leader, found.member.address))
    }

    /// Returns the leader's address for operators.
    fn leader_operator(&self) -> Option<PeerAddress> {
        let leader = self.core.leader()?;
        if leader == self.core.replica() {
            return Some(self.operator_address);
        }
        self.operators.get(&leader).copied()
    }

    fn record_replica_contact(&mut self, from: ReplicaId, note: SenderInfo, operator: PeerAddress) {
        self.operators.insert(from, operator);
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.processes.record_contact(now, note, operator);
        }
    }

    fn own_note(&self) -> SenderInfo {
        let revision: RevisionNumber = self.state.declarations().revision();
        SenderInfo { name: self.name.clone(), role: ProcessRole::Control, revision }
    }
}

impl EventReducer for ControlNode {
    type Event = NodeEvent;
    type Effect = NodeEffect;

    fn reduce(&mut self, now: Duration, event: NodeEvent) -> Vec<NodeEffect> {
        self.now = self.now.max(now);
        match event {
            NodeEvent::Tick { wall_ms } => {
                self.wall_ms = wall_ms;
                self.wall_at = self.now;
                self.queue.push_back(QuorumEvent::Tick);
                self.run_housekeeping();
            }
            NodeEvent::Quorum { from, note, operator_address, message } => {
                self.record_replica_contact(from, note, operator_address);
                self.queue.push_back(QuorumEvent::Received { from, message });
            }
            NodeEvent::Persisted { number } => {
                self.queue.push_back(QuorumEvent::Persisted { number });
            }
            NodeEvent::PersistFailed { number } => {
                self.queue.push_back(QuorumEvent::PersistFailed { number });
            }
            NodeEvent::Heartbeat { ticket, note, heartbeat } => {
                self.receive_heartbeat(ticket, note, heartbeat);
            }
            NodeEvent::Table { ticket, note, pull } => self.receive_table_pull(ticket, note, pull),
            NodeEvent::Claim { ticket, claim } => self.receive_claim(ticket, claim),
            NodeEvent::Close { ticket, close } => self.receive_close(ticket, close),
            NodeEvent::Declarations { ticket, pull } => {
                let newer = self.state.declarations().newer_than(pull.known);
                let reply = proto::messages::DeclarationReply { newer };
                self.reply(ticket, NodeReply::Declarations(reply));
            }
            NodeEvent::Operator { ticket, call } => self.receive_call(ticket, call),
        }
        self.process_queue();
        self.decide();
        self.process_queue();
        std::mem::take(&mut self.effects)
    }
}
