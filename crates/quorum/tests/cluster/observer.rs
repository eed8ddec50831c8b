//! What an outsider saw, and the complaints that follow from it. It knows effects, messages and
//! answers only, never the state of a replica.

use {
    base::{LogIndex, ReplicaId, ReplyTicket, TermNumber},
    quorum::{EntryPayload, LogEntry, MemberChange, ProposalError, QuorumMessage},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

#[derive(Debug, Default)]
pub struct GroupWitness {
    leaders: BTreeMap<TermNumber, ReplicaId>,
    /// What was applied at each position, and the digest after it.
    applied: BTreeMap<LogIndex, (LogEntry, u64)>,
    proposals: BTreeMap<ReplyTicket, (ReplicaId, Vec<u8>)>,
    changes: BTreeMap<ReplyTicket, (ReplicaId, MemberChange)>,
    /// What a read must see at least.
    reads: BTreeMap<ReplyTicket, (ReplicaId, LogIndex)>,
    /// The largest position that anyone outside was told of.
    told: LogIndex,
    /// Removed replicas and the term in which their removal was acknowledged.
    removed: BTreeMap<ReplicaId, TermNumber>,
    pub acknowledged: usize,
    pub reads_answered: usize,
    pub snapshots_installed: usize,
    pub changes_made: usize,
    pub complaints: Vec<String>,
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

impl GroupWitness {
    fn complain(&mut self, complaint: String) {
        self.complaints.push(complaint);
    }

    /// A replica says that it leads.
    pub fn leads(&mut self, replica: ReplicaId, term: TermNumber) {
        self.elected(replica, term);
        if self.removed.get(&replica).is_some_and(|removed_in| term > *removed_in) {
            self.complain(format!("{replica} leads in term {term} though it was removed"));
        }
    }

    /// Only an elected replica sends entries. One that has not heard that its removal is committed
    /// may do so, to commit its removal, but never reports that it leads.
    pub fn saw_message(&mut self, from: ReplicaId, message: &QuorumMessage) {
        if message.entry_count() > 0 {
            self.elected(from, message.term());
        }
    }

    fn elected(&mut self, replica: ReplicaId, term: TermNumber) {
        let first = *self.leaders.entry(term).or_insert(replica);
        if first != replica {
            self.complain(format!("{first} and {replica} both lead in term {term}"));
        }
    }

    pub fn applied(&mut self, replica: ReplicaId, entry: &LogEntry, digest: u64, gap: bool) {
        let index = entry.index;
        if gap {
            self.complain(format!("{replica} skips to {index}"));
        }
        let (first, expected) =
            self.applied.entry(index).or_insert_with(|| (entry.clone(), digest)).clone();
        if first != *entry || expected != digest {
            self.complain(format!("{replica} applies {entry:?} where {first:?} was applied"));
        }
    }

    pub fn installed(&mut self, replica: ReplicaId, index: LogIndex, digest: u64) {
        self.snapshots_installed += 1;
        if self.applied.get(&index).is_none_or(|(_, expected)| *expected != digest) {
            self.complain(format!("{replica} installs a wrong snapshot of {index}"));
        }
    }

    pub fn proposed(&mut self, replica: ReplicaId, ticket: ReplyTicket, data: &[u8]) {
        self.proposals.insert(ticket, (replica, data.to_vec()));
    }

    pub fn change_asked(&mut self, replica: ReplicaId, ticket: ReplyTicket, change: MemberChange) {
        self.changes.insert(ticket, (replica, change));
    }

    pub fn acknowledged(&mut self, ticket: ReplyTicket, index: LogIndex) {
        self.acknowledged += 1;
        self.told = self.told.max(index);
        let Some((entry, _)) = self.applied.get(&index).cloned() else {
            return self.complain(format!("{index} is acknowledged but was never applied"));
        };
        if let Some((_, data)) = self.proposals.remove(&ticket) {
            if entry.payload != EntryPayload::Data(data) {
                self.complain(format!("another entry is acknowledged at {index}"));
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
                self.complain(format!("removed replica {replica} comes back"));
            }
            Some(_) => {}
            None => self.complain(format!("ticket {ticket} is answered twice")),
        }
    }

    pub fn read_asked(&mut self, replica: ReplicaId, ticket: ReplyTicket) {
        self.reads.insert(ticket, (replica, self.told));
    }

    pub fn read_answered(&mut self, ticket: ReplyTicket, applied: LogIndex) {
        self.reads_answered += 1;
        let Some((replica, least)) = self.reads.remove(&ticket) else {
            return self.complain(format!("read {ticket} is answered twice"));
        };
        if applied < least {
            self.complain(format!("a read at {replica} sees {applied}, but {least} was told"));
        }
        self.told = self.told.max(applied);
    }

    pub fn rejected(&mut self, ticket: ReplyTicket, _error: &ProposalError) {
        let known = self.proposals.remove(&ticket).is_some()
            | self.changes.remove(&ticket).is_some()
            | self.reads.remove(&ticket).is_some();
        if !known {
            self.complain(format!("ticket {ticket} is answered twice"));
        }
    }

    /// A crashed replica answers nothing any more.
    pub fn forget_tickets(&mut self, replica: ReplicaId) {
        self.proposals.retain(|_, (asked, _)| *asked != replica);
        self.changes.retain(|_, (asked, _)| *asked != replica);
        self.reads.retain(|_, (asked, _)| *asked != replica);
    }

    pub fn removed(&self) -> BTreeSet<ReplicaId> {
        self.removed.keys().copied().collect()
    }

    /// The largest position that anyone outside was told of.
    pub fn told(&self) -> LogIndex {
        self.told
    }

    /// The digest after a position.
    pub fn digest_at(&self, index: LogIndex) -> Option<u64> {
        self.applied.get(&index).map(|(_, digest)| *digest)
    }
}
