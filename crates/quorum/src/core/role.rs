//! What a replica keeps for the role it has.

use {
    super::{progress::PeerProgress, reads::ReadQueue},
    base::{LogIndex, ReplicaId, ReplyTicket},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The role, with the state that exists only in it.
#[derive(Debug, Clone)]
pub(crate) enum RoleState {
    Follower,
    /// Asks whether an election would succeed.
    PreCandidate {
        granted: BTreeSet<ReplicaId>,
    },
    /// Stands in an election.
    Candidate {
        granted: BTreeSet<ReplicaId>,
    },
    Leader(LeaderState),
}

/// What a leader keeps.
#[derive(Debug, Clone)]
pub(crate) struct LeaderState {
    pub(crate) since: Duration,
    /// The position of the first entry of the leader's term.
    pub(crate) first_index: LogIndex,
    pub(crate) progress: BTreeMap<ReplicaId, PeerProgress>,
    /// Proposals and membership changes that wait for commitment.
    pub(crate) proposals: BTreeMap<LogIndex, ReplyTicket>,
    pub(crate) reads: ReadQueue,
}

impl LeaderState {
    /// Whether a follower answered within the last `span`, or the lead is younger than that.
    pub(crate) fn is_active(&self, replica: ReplicaId, now: Duration, span: Duration) -> bool {
        self.progress.get(&replica).is_some_and(|progress| progress.is_active(now, span))
    }
}
