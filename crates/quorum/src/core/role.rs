//! The state that a replica keeps for its role.

use {
    super::{progress::PeerProgress, reads::ReadQueue},
    base::{LogIndex, ReplicaId, ReplyTicket},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The current role, with the state that exists only in that role.
#[derive(Debug, Clone)]
pub(crate) enum RoleState {
    Follower,
    /// Has sent pre-vote requests.
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    /// Has sent vote requests.
    Candidate {
        granted: BTreeSet<ReplicaId>,
    },
    Leader(LeaderState),
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderState {
    pub(crate) since: Duration,
    /// The position of the leader's first entry, which it appends when elected.
    pub(crate) first_index: LogIndex,
    pub(crate) progress: BTreeMap<ReplicaId, PeerProgress>,
    /// Proposals and membership changes that are not committed yet, by position.
    pub(crate) proposals: BTreeMap<LogIndex, ReplyTicket>,
    pub(crate) reads: ReadQueue,
}

impl LeaderState {
    /// Whether a follower replied within the last `span`.
    pub(crate) fn is_active(&self, replica: ReplicaId, now: Duration, span: Duration) -> bool {
        self.progress.get(&replica).is_some_and(|progress| progress.is_active(now, span))
    }
}
