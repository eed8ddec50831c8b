//! The state machine of a replica: one reducer over all events.
//!
//! The protocol is described in `docs/decisions/quorum.md`.

mod apply;
mod election;
mod follower;
mod group;
mod leader;
mod log;
mod membership;
mod outbox;
mod progress;
mod reads;
mod replicate;
mod role;
mod snapshot;
mod start;
mod writes;

pub use {
    leader::MemberProgress,
    start::{CoreError, SettingsProblem},
};

use {
    self::{
        group::GroupHistory, log::EntryLog, outbox::DeferredMessage, role::RoleState,
        snapshot::IncomingSnapshot, writes::WriteTracker,
    },
    crate::{
        interface::{
            GroupMember, HardState, LogSnapshot, ProposalError, QuorumEffect, QuorumEvent,
            QuorumSettings, ReplicaRole,
        },
        message::{MessageBody, QuorumMessage},
    },
    base::{EventReducer, LogIndex, ReplicaId, ReplyTicket, SeededRandom, TermNumber},
    std::{collections::VecDeque, time::Duration},
};

/// The role, term and leader that were last reported to the driver.
type ReportedRole = (ReplicaRole, TermNumber, Option<ReplicaId>);

/// The state machine of one replica of the log.
#[derive(Debug)]
pub struct QuorumCore {
    settings: QuorumSettings,
    random: SeededRandom,
    now: Duration,
    hard_state: HardState,
    role: RoleState,
    leader: Option<ReplicaId>,
    /// When the last append or snapshot message from a leader arrived.
    last_leader_contact: Duration,
    election_deadline: Duration,
    log: EntryLog,
    group: GroupHistory,
    writes: WriteTracker,
    /// When a failed write is retried.
    retry_at: Duration,
    committed: LogIndex,
    applied: LogIndex,
    /// Size of the applied entries after the snapshot, in bytes.
    uncompacted_bytes: usize,
    /// Messages that wait until a batch is synced.
    deferred: VecDeque<DeferredMessage>,
    incoming: Option<IncomingSnapshot>,
    snapshot_requested: bool,
    recovered_snapshot: Option<LogSnapshot>,
    reported_role: ReportedRole,
    effects: Vec<QuorumEffect<QuorumMessage>>,
}

impl EventReducer for QuorumCore {
    type Event = QuorumEvent<QuorumMessage>;
    type Effect = QuorumEffect<QuorumMessage>;

    fn reduce(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Effect> {
        self.now = self.now.max(now);
        if let Some(snapshot) = self.recovered_snapshot.take() {
            self.effects.push(QuorumEffect::InstallSnapshot(snapshot));
        }
        self.handle(event);
        self.advance();
        std::mem::take(&mut self.effects)
    }
}

impl QuorumCore {
    /// Returns the role. A new leader reports itself as a candidate until it has applied every
    /// entry of earlier terms.
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::Leader(leader) if self.applied >= leader.first_index => ReplicaRole::Leader,
            _ => ReplicaRole::Candidate,
        }
    }

    /// Returns the id of this replica.
    pub fn replica(&self) -> ReplicaId {
        self.settings.replica
    }

    /// Returns the newest term that this replica has seen.
    pub fn term(&self) -> TermNumber {
        self.hard_state.term
    }

    /// Returns the leader, if known. A leader returns itself only once [`Self::role`] is
    /// [`ReplicaRole::Leader`].
    pub fn leader(&self) -> Option<ReplicaId> {
        match self.role() {
            ReplicaRole::Candidate => None,
            ReplicaRole::Follower | ReplicaRole::Leader => self.leader,
        }
    }

    /// Returns the last position that this replica knows to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Returns the last applied position.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the last position of the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the members of the group in the committed log. A change that is not committed yet may
    /// still be lost with its leader.
    pub fn committed_members(&self) -> &[GroupMember] {
        &self.group.at(self.committed).members
    }

    /// Returns how long no leader has reached this replica. `None` if it may start elections, by
    /// which it finds the group itself; a replica without a vote depends on being contacted.
    pub fn unreached_for(&self) -> Option<Duration> {
        (!self.may_campaign()).then(|| self.now.saturating_sub(self.last_leader_contact))
    }

    /// Whether the committed log contains the removal of a replica.
    pub fn is_retired(&self, replica: ReplicaId) -> bool {
        self.group.at(self.committed).is_retired(replica)
    }

    /// Whether a write has failed and no retried batch is synced yet.
    pub fn storage_failed(&self) -> bool {
        self.writes.failed()
    }

    fn handle(&mut self, event: QuorumEvent<QuorumMessage>) {
        match event {
            QuorumEvent::Tick => self.tick(),
            QuorumEvent::Received { from, message } => self.receive(from, message),
            QuorumEvent::Persisted { number } => self.persisted(number),
            QuorumEvent::PersistFailed { number } => self.persist_failed(number),
            QuorumEvent::Propose { ticket, data } => self.propose(ticket, data),
            QuorumEvent::ConfirmRead { ticket } => self.confirm_read(ticket),
            QuorumEvent::ChangeMembers { ticket, change } => self.change_members(ticket, change),
            QuorumEvent::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
        }
    }

    fn tick(&mut self) {
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Handles a message. Ignores replicas whose removal is committed, so that they can't disturb
    /// the group.
    fn receive(&mut self, from: ReplicaId, message: QuorumMessage) {
        let removed = self.group.at(self.committed).is_retired(from);
        if removed || from == self.settings.replica {
            return;
        }
        self.handle_message(from, message);
    }

    fn handle_message(&mut self, from: ReplicaId, message: QuorumMessage) {
        let QuorumMessage { term, reply_to, body } = message;
        let sender = outbox::MessageSender { replica: from, term, reply_to };
        match body {
            MessageBody::PreVote(request) => self.handle_pre_vote(sender, request),
            MessageBody::PreVoteReply { granted } => self.handle_pre_vote_reply(sender, granted),
            MessageBody::Vote(request) => self.handle_vote(sender, request),
            MessageBody::VoteReply { granted } => self.handle_vote_reply(sender, granted),
            MessageBody::Append(request) => self.handle_append(sender, request),
            MessageBody::AppendReply(reply) => self.handle_append_reply(sender, reply),
            MessageBody::SnapshotChunk(chunk) => self.handle_chunk(sender, chunk),
            MessageBody::SnapshotReply { index, received } => {
                self.handle_chunk_reply(sender, index, received);
            }
        }
    }

    fn persisted(&mut self, number: u64) {
        if self.writes.persisted(number) {
            self.send_deferred(number);
        }
    }

    /// Steps down after a failed write, because this replica can't guarantee anything without a
    /// working disk. It acknowledges nothing until a retried batch is synced.
    fn persist_failed(&mut self, number: u64) {
        if !self.writes.persist_failed(number) {
            return;
        }
        self.retry_at = self.now + self.settings.heartbeat;
        if !matches!(self.role, RoleState::Follower) {
            self.become_follower(None);
        }
    }

    /// Does everything that the last event made possible: commits, applies, answers reads,
    /// replicates, writes and reports the role.
    fn advance(&mut self) {
        self.advance_commit();
        self.apply_committed();
        self.answer_reads();
        self.replicate();
        self.flush_writes();
        self.report_role();
    }

    fn flush_writes(&mut self) {
        if self.writes.failed() && self.now < self.retry_at {
            return;
        }
        if let Some(batch) = self.writes.next_batch(&self.log, self.hard_state) {
            self.effects.push(QuorumEffect::Persist(batch));
        }
    }

    fn report_role(&mut self) {
        let role = (self.role(), self.hard_state.term, self.leader());
        if role == self.reported_role {
            return;
        }
        self.reported_role = role;
        let (role, term, leader) = role;
        self.effects.push(QuorumEffect::RoleChanged { role, term, leader });
    }

    fn reject(&mut self, ticket: ReplyTicket, error: ProposalError) {
        self.effects.push(QuorumEffect::Rejected { ticket, error });
    }

    fn reject_not_leader(&mut self, ticket: ReplyTicket) {
        let leader = self.leader();
        self.reject(ticket, ProposalError::NotLeader { leader });
    }
}
