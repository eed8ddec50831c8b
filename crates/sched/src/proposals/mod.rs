//! Placements whose commit is awaited, and room that is kept for tasks that wait for it.

use {
    crate::{interface::TaskPriority, queue::QueuedTask},
    base::{ResourceVector, TaskId, WorkerId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// How long a proposed placement keeps its room while its commit is awaited.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long freed room is kept for the task for which it was freed.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// A placement whose commit is awaited.
#[derive(Debug)]
pub(crate) struct PlacementProposal {
    pub(crate) queued: QueuedTask,
    pub(crate) worker: WorkerId,
    pub(crate) reserve: ResourceVector,
    pub(crate) expires: Duration,
}

/// Room on a worker that only one task, or more urgent ones, may take.
#[derive(Debug, Clone)]
pub(crate) struct RoomClaim {
    pub(crate) worker: WorkerId,
    pub(crate) size: ResourceVector,
    pub(crate) priority: TaskPriority,
    pub(crate) expires: Duration,
}

/// All proposals by task.
pub(crate) type ProposalTable = IndexMap<TaskId, PlacementProposal>;

/// All claims by task.
#[derive(Debug, Default)]
pub(crate) struct ClaimTable {
    claims: IndexMap<TaskId, RoomClaim>,
}

impl ClaimTable {
    pub(crate) fn insert(&mut self, task: TaskId, claim: RoomClaim) {
        self.claims.insert(task, claim);
    }

    pub(crate) fn remove(&mut self, task: &TaskId) {
        self.claims.swap_remove(task);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// True while room is kept for a batch task.
    pub(crate) fn has_batch(&self) -> bool {
        self.claims.values().any(|claim| claim.priority == TaskPriority::Batch)
    }

    pub(crate) fn get(&self, task: &TaskId) -> Option<&RoomClaim> {
        self.claims.get(task)
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.claims.retain(|_, claim| claim.expires > now);
    }

    /// What is kept on `worker` from a task of this priority.
    pub(crate) fn kept_from(
        &self,
        worker: &WorkerId,
        task: &TaskId,
        priority: TaskPriority,
    ) -> ResourceVector {
        self.claims
            .iter()
            .filter(|(owner, claim)| {
                claim.worker == *worker && *owner != task && claim.priority >= priority
            })
            .map(|(_, claim)| claim.size)
            .sum()
    }
}
