//! Leader side of the protocol: accepts proposals, counts acknowledgements and confirms reads.

use {
    super::{progress::ProgressMode, role::RoleState, QuorumCore},
    crate::interface::{EntryPayload, GroupMember, LogEntry, ProposalError, QuorumEffect},
    base::{LogIndex, ReplicaId, ReplyTicket},
    std::time::Duration,
};

/// A member of the group, with its replication progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub member: GroupMember,
    /// The last position up to which the member's synced log is known to equal the leader's. Only a
    /// leader knows this for other members; a replica reports its last synced position for itself.
    pub matched: Option<LogIndex>,
    /// Whether the member replied within the last election timeout; known to a leader only. Always
    /// true for this replica itself.
    pub active: bool,
}

impl QuorumCore {
    /// Returns the members of the latest group in the log, with their progress.
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

    /// Whether a replica replied within the last election timeout; false unless this replica leads.
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

    /// Steps down if no quorum replies, stops sending more than one message at a time to followers
    /// that do not reply, and sends the heartbeats that are due.
    pub(crate) fn tick_leader(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let (now, span) = (self.now, self.settings.election_timeout);
        let established = now.saturating_sub(leader.since) >= span;
        let mut heartbeats_due = Vec::new();
        for (peer, progress) in &mut leader.progress {
            let unresponsive = established && !progress.is_active(now, span);
            if unresponsive && matches!(progress.mode, ProgressMode::Replicate { .. }) {
                progress.probe_again();
            }
            if now.saturating_sub(progress.last_sent) >= self.settings.heartbeat {
                heartbeats_due.push(*peer);
            }
        }
        let group = self.group.latest();
        let responding = group.voters().filter(|voter| self.is_active(*voter)).count();
        if established && responding < group.quorum() {
            self.become_follower(None);
            return;
        }
        for peer in heartbeats_due {
            self.send_heartbeat(peer);
        }
    }

    /// Appends data of the caller and answers `ticket` when it is committed.
    pub(crate) fn propose(&mut self, ticket: ReplyTicket, data: Vec<u8>) {
        if self.may_append(ticket) {
            let index = self.append_own(EntryPayload::Data(data));
            self.await_commit(index, ticket);
        }
    }

    /// Whether this replica leads and can accept another pending proposal. Rejects `ticket`
    /// otherwise.
    pub(crate) fn may_append(&mut self, ticket: ReplyTicket) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            self.reject_not_leader(ticket);
            return false;
        };
        if leader.proposals.len() >= self.settings.pending_limit {
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

    /// Appends an entry of the current term and returns its position.
    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.hard_state.term, payload };
        self.group.record_entry(&entry);
        self.log.push(entry);
        index
    }

    pub(crate) fn confirm_read(&mut self, ticket: ReplyTicket) {
        let RoleState::Leader(leader) = &mut self.role else {
            self.reject_not_leader(ticket);
            return;
        };
        if leader.reads.len() >= self.settings.pending_limit {
            self.reject(ticket, ProposalError::Overloaded);
            return;
        }
        leader.reads.push(ticket);
    }

    /// Commits the entries that a quorum has synced. An entry of an earlier term is committed only
    /// together with one of the current term, and unsynced entries of this replica do not count.
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

    /// Starts a round that confirms leadership for waiting reads, and answers the reads that are
    /// confirmed. Waits until an entry of the current term is applied: before that, entries of
    /// earlier terms may be committed without this replica knowing.
    pub(crate) fn answer_reads(&mut self) {
        self.update_confirmed_round();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        if self.applied < leader.first_index {
            return;
        }
        if leader.reads.start_round(self.committed) {
            self.broadcast_round();
            self.update_confirmed_round();
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(ticket) = leader.reads.pop_ready(self.applied) {
            self.effects.push(QuorumEffect::ReadConfirmed { ticket });
        }
    }

    fn update_confirmed_round(&mut self) {
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
            self.send_empty_append(voter);
        }
    }
}
