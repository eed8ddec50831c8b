//! The group as defined by the membership entries in the log. Such an entry takes effect when it is
//! appended and loses its effect when it is truncated.

use {
    crate::interface::{EntryPayload, GroupMember, LogEntry, LogSnapshot},
    base::{LogIndex, PeerAddress, ReplicaId},
    std::collections::BTreeSet,
};

/// The group that is in effect from one log position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct GroupState {
    /// The position of the entry or snapshot that defines the group; 0 for the founders.
    pub(crate) index: LogIndex,
    pub(crate) members: Vec<GroupMember>,
    pub(crate) retired: Vec<ReplicaId>,
}

impl GroupState {
    pub(crate) fn member(&self, replica: ReplicaId) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.replica == replica)
    }

    pub(crate) fn is_voter(&self, replica: ReplicaId) -> bool {
        self.member(replica).is_some_and(|member| member.voter)
    }

    pub(crate) fn is_retired(&self, replica: ReplicaId) -> bool {
        self.retired.contains(&replica)
    }

    pub(crate) fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|member| member.voter).map(|member| member.replica)
    }

    pub(crate) fn address_of(&self, replica: ReplicaId) -> Option<PeerAddress> {
        self.member(replica).map(|member| member.address)
    }

    /// Returns the number of voters that form a quorum.
    pub(crate) fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the given replicas include a quorum of the voters.
    pub(crate) fn is_quorum(&self, replicas: &BTreeSet<ReplicaId>) -> bool {
        self.voters().filter(|voter| replicas.contains(voter)).count() >= self.quorum()
    }

    /// Returns the largest value that a quorum of the voters has reached.
    pub(crate) fn reached<T: Ord + Copy>(&self, value_of: impl Fn(ReplicaId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }
}

/// The group at every log position since the last snapshot.
#[derive(Debug, Clone)]
pub(crate) struct GroupHistory {
    base: GroupState,
    changes: Vec<GroupState>,
}

impl GroupHistory {
    /// Creates the history from the group in a snapshot, or else from the founders.
    pub(crate) fn new(snapshot: Option<&LogSnapshot>, founders: &[GroupMember]) -> Self {
        let base = snapshot.map_or_else(
            || GroupState { index: LogIndex(0), members: founders.to_vec(), retired: Vec::new() },
            group_from,
        );
        Self { base, changes: Vec::new() }
    }

    /// Returns the group that is in effect now.
    pub(crate) fn latest(&self) -> &GroupState {
        self.changes.last().unwrap_or(&self.base)
    }

    /// Returns the group before the last change that is not known to be committed, or the latest
    /// group if there is no such change.
    pub(crate) fn before_pending_change(&self, committed: LogIndex) -> &GroupState {
        let latest = self.latest().index;
        if latest <= committed {
            return self.latest();
        }
        self.at(LogIndex(latest.0 - 1))
    }

    /// Returns the group at a log position.
    pub(crate) fn at(&self, index: LogIndex) -> &GroupState {
        self.changes.iter().rev().find(|change| change.index <= index).unwrap_or(&self.base)
    }

    /// Records the group of an appended membership entry and ignores other entries.
    pub(crate) fn record_entry(&mut self, entry: &LogEntry) {
        if let EntryPayload::Members { members, retired } = &entry.payload {
            self.changes.push(GroupState {
                index: entry.index,
                members: members.clone(),
                retired: retired.clone(),
            });
        }
    }

    /// Removes the changes from a position on.
    pub(crate) fn truncate_from(&mut self, from: LogIndex) {
        self.changes.retain(|change| change.index < from);
    }

    /// Removes the changes up to a snapshot's position, whose group the snapshot contains.
    pub(crate) fn compact(&mut self, snapshot: &LogSnapshot) {
        self.changes.retain(|change| change.index > snapshot.index);
        self.base = group_from(snapshot);
    }

    /// Replaces the whole history by the group of a snapshot.
    pub(crate) fn reset(&mut self, snapshot: &LogSnapshot) {
        self.changes.clear();
        self.base = group_from(snapshot);
    }
}

fn group_from(snapshot: &LogSnapshot) -> GroupState {
    GroupState {
        index: snapshot.index,
        members: snapshot.members.clone(),
        retired: snapshot.retired.clone(),
    }
}
