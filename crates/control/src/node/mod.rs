//! The control reducer: the replicated log, the state applied from it, and what a leader does.

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
        leader::{LeaderState, ProcessNote},
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

/// What a control process is told when it starts.
#[derive(Debug)]
pub struct NodeSettings {
    /// Its name.
    pub name: ProcessName,
    /// Where operators reach it.
    pub operator_address: PeerAddress,
    /// The settings of its log.
    pub quorum: QuorumSettings,
    /// Makes its random choices differ from those of other replicas.
    pub seed: u64,
}

/// A member of the control group.
#[derive(Debug)]
pub struct ControlNode {
    name: ProcessName,
    operator_address: PeerAddress,
    core: QuorumCore,
    state: FleetState,
    applied: LogIndex,
    leader: Option<LeaderState>,
    /// Where operators reach the other replicas, as far as they have said.
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
    /// A replica that starts from what its disk holds.
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

    /// The applied state.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The replicated log.
    pub fn core(&self) -> &QuorumCore {
        &self.core
    }

    /// True when this replica leads.
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

    /// Milliseconds of the wall clock since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        let since = self.now.saturating_sub(self.wall_at);
        self.wall_ms + since.as_millis() as u64
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_millis(self.wall_ms())
    }

    /// Who leads, and where other processes reach it.
    fn leader_hint(&self) -> Option<(ReplicaId, PeerAddress)> {
        let leader = self.core.leader()?;
        let members = self.core.members();
        let found = members.iter().find(|progress| progress.member.replica == leader)?;
        Some((leader, found.member.address))
    }

    /// Where operators reach the leader.
    fn leader_operator(&self) -> Option<PeerAddress> {
        let leader = self.core.leader()?;
        if leader == self.core.replica() {
            return Some(self.operator_address);
        }
        self.operators.get(&leader).copied()
    }

    fn hear_replica(&mut self, from: ReplicaId, note: ProcessNote, operator: PeerAddress) {
        self.operators.insert(from, operator);
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.processes.hear(now, note, operator);
        }
    }

    fn own_note(&self) -> ProcessNote {
        let revision: RevisionNumber = self.state.declarations().revision();
        ProcessNote { name: self.name.clone(), role: ProcessRole::Control, revision }
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
                self.keep_house();
            }
            NodeEvent::Quorum { from, note, operator_address, message } => {
                self.hear_replica(from, note, operator_address);
                self.queue.push_back(QuorumEvent::Received { from, message });
            }
            NodeEvent::Persisted { number } => {
                self.queue.push_back(QuorumEvent::Persisted { number });
            }
            NodeEvent::PersistFailed { number } => {
                self.queue.push_back(QuorumEvent::PersistFailed { number });
            }
            NodeEvent::Heartbeat { ticket, note, heartbeat } => {
                self.take_heartbeat(ticket, note, heartbeat);
            }
            NodeEvent::Table { ticket, note, pull } => self.take_table_pull(ticket, note, pull),
            NodeEvent::Claim { ticket, claim } => self.take_claim(ticket, claim),
            NodeEvent::Close { ticket, close } => self.take_close(ticket, close),
            NodeEvent::Declarations { ticket, pull } => {
                let newer = self.state.declarations().newer_than(pull.known);
                let reply = proto::messages::DeclarationReply { newer };
                self.reply(ticket, NodeReply::Declarations(reply));
            }
            NodeEvent::Operator { ticket, call } => self.take_call(ticket, call),
        }
        self.drain_queue();
        self.decide();
        self.drain_queue();
        std::mem::take(&mut self.effects)
    }
}
