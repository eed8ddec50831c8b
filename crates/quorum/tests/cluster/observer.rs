//! Records what an external observer sees, and reports violations of the log's guarantees. Uses
//! only effects, messages and replies, never a replica's internal state.

use {
    base::{LogIndex, ReplicaId, ReplyTicket, TermNumber},
    quorum::{EntryPayload, LogEntry, MemberChange, ProposalError, QuorumMessage},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

#[derive(Debug, Default)]
pub struct GroupObserver {
    leaders: BTreeMap<TermNumber, ReplicaId>,
    /// The entry applied at each position, and the digest after it.
    applied: BTreeMap<LogIndex, (LogEntry, u64)>,
    proposals: BTreeMap<ReplyTicket, (ReplicaId, Vec<u8>)>,
    changes: BTreeMap<ReplyTicket, (ReplicaId, MemberChange)>,
    /// The lowest position that each pending read must reflect.
    reads: BTreeMap<ReplyTicket, (ReplicaId, LogIndex)>,
    /// The largest position that was acknowledged or read by any caller.
    acknowledged_index: LogIndex,
    /// Removed replicas, with the term in which their removal was acknowledged.
    removed: BTreeMap<ReplicaId, TermNumber>,
    pub acknowledged: usize,
    pub reads_answered: usize,
    pub snapshots_installed: usize,
    pub changes_made: usize,
    pub violations: Vec<String>,
}

pub fn extend_digest(digest: u64, entry: &LogEntry) -> u64 {
    let mut hasher = DefaultHasher::new();
    let EntryPayload::Data(data) = &entry.payload else {
        (digest, entry.index.0, format!("{:?}", entry.payload)).hash(&mut hasher);
        return hasher.finish();
    };
    (digest, entry.index.0, data).hash(&mut hasher);
    hasher.finish()
}

impl GroupObserver {
    fn report_violation(&mut self, violation: String) {
        self.violations.push(violation);
    }

    /// Records that a replica reports itself as leader.
    pub fn leader_reported(&mut self, replica: ReplicaId, term: TermNumber) {
        self.elected(replica, term);
        if self.removed.get(&replica).is_some_and(|removed_in| term > *removed_in) {
            self.report_violation(format!("{replica} leads in term {term} though it was removed"));
        }
    }

    /// Records a sent message. Only an elected replica may send entries. A leader that does not
    /// know that its removal is committed may do so to commit it, but must not report itself as
    /// leader.
    pub fn message_sent(&mut self, from: ReplicaId, message: &QuorumMessage) {
        if message.entry_count() > 0 {
            self.elected(from, message.term());
        }
    }

    fn elected(&mut self, replica: ReplicaId, term: TermNumber) {
        let first = *self.leaders.entry(term).or_insert(replica);
        if first != replica {
            self.report_violation(format!("{first} and {replica} both lead in term {term}"));
        }
    }

    pub fn applied(&mut self, replica: ReplicaId, entry: &LogEntry, digest: u64, gap: bool) {
        let index = entry.index;
        if gap {
            self.report_violation(format!("{replica} skips to {index}"));
        }
        let (first, expected) =
            self.applied.entry(index).or_insert_with(|| (entry.clone(), digest)).clone();
        if first != *entry || expected != digest {
            self.report_violation(format!(
                "{replica} applies {entry:?} where {first:?} was applied"
            ));
        }
    }

    pub fn installed(&mut self, replica: ReplicaId, index: LogIndex, digest: u64) {
        self.snapshots_installed += 1;
        if self.applied.get(&index).is_none_or(|(_, expected)| *expected != digest) {
            self.report_violation(format!("{replica} installs a wrong snapshot of {index}"));
        }
    }

    pub fn proposed(&mut self, replica: ReplicaId, ticket: ReplyTicket, data: &[u8]) {
        self.proposals.insert(ticket, (replica, data.to_vec()));
    }

    pub fn change_requested(
        &mut self,
        replica: ReplicaId,
        ticket: ReplyTicket,
        change: MemberChange,
    ) {
        self.changes.insert(ticket, (replica, change));
    }

    pub fn acknowledged(&mut self, ticket: ReplyTicket, index: LogIndex) {
        self.acknowledged += 1;
        self.acknowledged_index = self.acknowledged_index.max(index);
        let Some((entry, _)) = self.applied.get(&index).cloned() else {
            return self.report_violation(format!("{index} is acknowledged but was never applied"));
        };
        if let Some((_, data)) = self.proposals.remove(&ticket) {
            if entry.payload != EntryPayload::Data(data) {
                self.report_violation(format!("another entry is acknowledged at {index}"));
            }
            return;
        }
        self.changes_made += 1;
        match self.changes.remove(&ticket) {
            Some((_, MemberChange::Remove { replica })) => {
                self.removed.insert(replica, entry.term);
            }
            Some((_, MemberChange::AddLearner { replica, .. }))
                if self.removed.contains_key(&replica) =>
            {
                self.report_violation(format!("removed replica {replica} is added again"));
            }
            Some(_) => {}
            None => self.report_violation(format!("ticket {ticket} is answered twice")),
        }
    }

    pub fn read_requested(&mut self, replica: ReplicaId, ticket: ReplyTicket) {
        self.reads.insert(ticket, (replica, self.acknowledged_index));
    }

    pub fn read_answered(&mut self, ticket: ReplyTicket, applied: LogIndex) {
        self.reads_answered += 1;
        let Some((replica, minimum)) = self.reads.remove(&ticket) else {
            return self.report_violation(format!("read {ticket} is answered twice"));
        };
        if applied < minimum {
            self.report_violation(format!(
                "a read at {replica} sees {applied}, but {minimum} was acknowledged"
            ));
        }
        self.acknowledged_index = self.acknowledged_index.max(applied);
    }

    pub fn rejected(&mut self, ticket: ReplyTicket, _error: &ProposalError) {
        let known = self.proposals.remove(&ticket).is_some()
            | self.changes.remove(&ticket).is_some()
            | self.reads.remove(&ticket).is_some();
        if !known {
            self.report_violation(format!("ticket {ticket} is answered twice"));
        }
    }

    /// Removes the pending requests of a crashed replica, which can't answer them any more.
    pub fn forget_tickets(&mut self, replica: ReplicaId) {
        self.proposals.retain(|_, (requester, _)| *requester != replica);
        self.changes.retain(|_, (requester, _)| *requester != replica);
        self.reads.retain(|_, (requester, _)| *requester != replica);
    }

    pub fn removed(&self) -> BTreeSet<ReplicaId> {
        self.removed.keys().copied().collect()
    }

    /// Returns the largest position that was acknowledged or read by any caller.
    pub fn acknowledged_index(&self) -> LogIndex {
        self.acknowledged_index
    }

    /// Returns the digest after a position.
    pub fn digest_at(&self, index: LogIndex) -> Option<u64> {
        self.applied.get(&index).map(|(_, digest)| *digest)
    }
}
