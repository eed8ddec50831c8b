//! What a leader does: it takes proposals, sends entries, counts acknowledgements and confirms
//! reads.

use {
    super::{
        log::EntryLog,
        outbox::MessageSender,
        progress::{PeerProgress, ProgressMode},
        role::RoleState,
        QuorumCore,
    },
    crate::{
        interface::{
            EntryPayload, GroupMember, LogEntry, ProposalError, QuorumEffect, QuorumSettings,
        },
        message::{AppendOutcome, AppendReply, AppendRequest, MessageBody},
    },
    base::{LogIndex, ReplicaId, ReplyTicket},
    std::time::Duration,
};

/// A member of the group and what this replica knows about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub member: GroupMember,
    /// Up to where its synced log is known to equal the leader's; only a leader knows that of
    /// others.
    pub matched: Option<LogIndex>,
    /// Whether it answered within the last election timeout, as far as a leader knows.
    pub active: bool,
}

impl QuorumCore {
    /// The members of the group as the log has it, and what is known about each.
    pub fn members(&self) -> Vec<MemberProgress> {
        let members = &self.group.latest().members;
        members.iter().map(|member| self.member_progress(*member)).collect()
    }

    fn member_progress(&self, member: GroupMember) -> MemberProgress {
        if member.replica == self.settings.replica {
            return MemberProgress { member, matched: Some(self.writes.stable()), active: true };
        }
        let matched = match &self.role {
            RoleState::Leader(leader) => {
                leader.progress.get(&member.replica).map(|progress| progress.matched)
            }
            _ => None,
        };
        MemberProgress { member, matched, active: self.is_active(member.replica) }
    }

    /// Whether a replica answers, as far as a leader knows.
    fn is_active(&self, replica: ReplicaId) -> bool {
        self.is_active_within(replica, self.settings.election_timeout)
    }

    pub(crate) fn is_active_within(&self, replica: ReplicaId, span: Duration) -> bool {
        match &self.role {
            RoleState::Leader(leader) => {
                replica == self.settings.replica || leader.is_active(replica, self.now, span)
            }
            _ => false,
        }
    }

    /// Steps down without a quorum that answers, and sends what is due.
    pub(crate) fn lead_tick(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let (now, span) = (self.now, self.settings.election_timeout);
        let settled = now.saturating_sub(leader.since) >= span;
        let mut due = Vec::new();
        for (peer, progress) in &mut leader.progress {
            let silent = settled && !progress.is_active(now, span);
            if silent && matches!(progress.mode, ProgressMode::Replicate { .. }) {
                progress.probe_again();
            }
            if now.saturating_sub(progress.sent) >= self.settings.heartbeat {
                due.push(*peer);
            }
        }
        let group = self.group.latest();
        let answering = group.voters().filter(|voter| self.is_active(*voter)).count();
        if settled && answering < group.quorum() {
            self.become_follower(None);
            return;
        }
        for peer in due {
            self.send_heartbeat(peer);
        }
    }

    /// Appends data of the caller.
    pub(crate) fn propose(&mut self, ticket: ReplyTicket, data: Vec<u8>) {
        if self.may_append(ticket) {
            let index = self.append_own(EntryPayload::Data(data));
            self.await_commit(index, ticket);
        }
    }

    /// Whether this replica leads and has room for another proposal; else it is rejected.
    pub(crate) fn may_append(&mut self, ticket: ReplyTicket) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            self.reject_not_leader(ticket);
            return false;
        };
        if leader.proposals.len() >= self.settings.pending {
            self.reject(ticket, ProposalError::Overloaded);
            return false;
        }
        true
    }

    pub(crate) fn await_commit(&mut self, index: LogIndex, ticket: ReplyTicket) {
        if let RoleState::Leader(leader) = &mut self.role {
            leader.proposals.insert(index, ticket);
        }
    }

    /// Appends an entry of this term.
    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.hard_state.term, payload };
        self.group.note(&entry);
        self.log.push(entry);
        index
    }

    pub(crate) fn confirm_read(&mut self, ticket: ReplyTicket) {
        let RoleState::Leader(leader) = &mut self.role else {
            self.reject_not_leader(ticket);
            return;
        };
        if leader.reads.len() >= self.settings.pending {
            self.reject(ticket, ProposalError::Overloaded);
            return;
        }
        leader.reads.push(ticket);
    }

    /// Commits what a quorum has synced. An entry of an earlier term is committed only through
    /// one of this term, and unsynced entries of this replica do not count.
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role else {
            return;
        };
        let own = self.settings.replica;
        let reached = self.group.latest().reached(|voter| {
            if voter == own {
                return self.writes.stable();
            }
            leader.progress.get(&voter).map_or(LogIndex(0), |progress| progress.matched)
        });
        let Some(reached) = reached else {
            return;
        };
        if reached > self.committed && self.log.term_at(reached) == Some(self.hard_state.term) {
            self.committed = reached;
        }
    }

    /// Confirms the lead for the reads that wait, and answers those that may be. Nothing is
    /// confirmed before an entry of this term is applied: until then entries of earlier terms may
    /// be committed without this replica knowing.
    pub(crate) fn answer_reads(&mut self) {
        self.note_confirmed_round();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if self.applied < leader.first_index {
            return;
        }
        if leader.reads.start_round(self.committed) {
            self.broadcast_round();
            self.note_confirmed_round();
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(ticket) = leader.reads.pop_ready(self.applied) {
            self.effects.push(QuorumEffect::ReadConfirmed { ticket });
        }
    }

    fn note_confirmed_round(&mut self) {
        let own = self.settings.replica;
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let started = leader.reads.round();
        let confirmed = self.group.latest().reached(|voter| {
            if voter == own {
                return started;
            }
            leader.progress.get(&voter).map_or(0, |progress| progress.round)
        });
        leader.reads.confirm(confirmed.unwrap_or(0));
    }

    fn broadcast_round(&mut self) {
        let own = self.settings.replica;
        let voters: Vec<ReplicaId> = self.group.latest().voters().collect();
        for voter in voters.into_iter().filter(|voter| *voter != own) {
            self.send_bare_append(voter);
        }
    }

    pub(crate) fn handle_append_reply(&mut self, sender: MessageSender, reply: AppendReply) {
        if !self.note_answer(sender) {
            return;
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&sender.replica) else {
            return;
        };
        progress.round = progress.round.max(reply.round);
        match reply.outcome {
            AppendOutcome::Accepted { matched } if matched <= self.log.last_index() => {
                progress.accepted(matched);
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected { prev_index, hint_index, hint_term } => {
                progress.rejected(prev_index, self.log.last_up_to(hint_index, hint_term));
            }
        }
    }

    /// Notes that a member answered in this term. False when the answer is of no use.
    pub(crate) fn note_answer(&mut self, sender: MessageSender) -> bool {
        if self.group.latest().member(sender.replica).is_none() {
            return false;
        }
        self.adopt_term(sender.term);
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.progress.get_mut(&sender.replica) else {
            return false;
        };
        if sender.term != self.hard_state.term {
            return false;
        }
        progress.heard = Some(now);
        true
    }

    /// Sends every follower what it lacks, as far as flow control allows.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.reads.round();
        let young = self.now.saturating_sub(leader.since) < self.settings.election_timeout;
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            let source = BodySource {
                log: &self.log,
                settings: &self.settings,
                committed: self.committed,
                round,
                awake: young || progress.is_active(self.now, self.settings.election_timeout),
            };
            while progress.may_send(self.settings.in_flight) {
                let Some(body) = source.next_body(progress) else {
                    break;
                };
                progress.sent = self.now;
                bodies.push((*peer, body));
            }
        }
        for (peer, body) in bodies {
            let message = self.message(body);
            self.send(peer, message);
        }
    }

    /// Repeats what may have been lost, and shows an idle follower that the leader lives.
    fn send_heartbeat(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        let kept = self.log.term_at(LogIndex(progress.next.0 - 1)).is_some();
        match &progress.mode {
            ProgressMode::Probe { .. } => progress.probe_again(),
            // Messages are outstanding, and the log was compacted past them.
            ProgressMode::Replicate { .. } if !kept => progress.probe_again(),
            ProgressMode::Snapshot(_) => {
                progress.probe_again();
                self.send_bare_append(peer);
            }
            ProgressMode::Replicate { .. } => self.send_bare_append(peer),
        }
    }

    /// Sends an append without entries. Where the logs may differ it builds on position 0, which
    /// is the same everywhere, so that it is always accepted.
    pub(crate) fn send_bare_append(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        progress.sent = self.now;
        let prev_index = match progress.mode {
            ProgressMode::Replicate { .. } => LogIndex(progress.next.0 - 1),
            _ => LogIndex(0),
        };
        let (prev_index, prev_term) = match self.log.term_at(prev_index) {
            Some(term) => (prev_index, term),
            None => Default::default(),
        };
        let request = AppendRequest {
            prev_index,
            prev_term,
            entries: Vec::new(),
            committed: self.committed,
            round: leader.reads.round(),
        };
        let message = self.message(MessageBody::Append(request));
        self.send(peer, message);
    }
}

/// What messages to followers are made of.
struct BodySource<'a> {
    log: &'a EntryLog,
    settings: &'a QuorumSettings,
    committed: LogIndex,
    round: u64,
    /// Whether the follower is worth sending entries to before it has answered.
    awake: bool,
}

impl BodySource<'_> {
    /// The next message for a follower, if there is something to say.
    fn next_body(&self, progress: &mut PeerProgress) -> Option<MessageBody> {
        if let ProgressMode::Snapshot(transfer) = &mut progress.mode {
            return Some(transfer.next_chunk(self.settings.snapshot_chunk));
        }
        let prev_index = LogIndex(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            progress.start_snapshot(self.log.snapshot()?.clone());
            return self.next_body(progress);
        };
        let probing = matches!(progress.mode, ProgressMode::Probe { .. });
        if !probing && progress.next > self.log.last_index() {
            return None;
        }
        let entries = match probing && !self.awake {
            true => Vec::new(),
            false => self.log.slice(progress.next, self.settings.batch_bytes),
        };
        progress.note_sent(LogIndex(prev_index.0 + entries.len() as u64));
        let (committed, round) = (self.committed, self.round);
        let request = AppendRequest { prev_index, prev_term, entries, committed, round };
        Some(MessageBody::Append(request))
    }
}
