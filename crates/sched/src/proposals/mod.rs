//! Tracks placements that await their commit, and capacity that is claimed for waiting tasks.

use {
    crate::{interface::TaskPriority, queue::QueuedTask},
    base::{ResourceVector, TaskId, WorkerId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// How long a proposed placement reserves capacity while its commit is pending.
pub(crate) const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long freed capacity is claimed for the task for which it was freed.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

/// A placement whose commit is pending.
#[derive(Debug)]
pub(crate) struct PlacementProposal {
    pub(crate) queued: QueuedTask,
    pub(crate) worker: WorkerId,
    pub(crate) reserve: ResourceVector,
    pub(crate) expires: Duration,
}

/// Capacity on a worker that only the claiming task, or more urgent ones, may use.
#[derive(Debug, Clone)]
pub(crate) struct CapacityClaim {
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
    claims: IndexMap<TaskId, CapacityClaim>,
}

impl ClaimTable {
    pub(crate) fn insert(&mut self, task: TaskId, claim: CapacityClaim) {
        self.claims.insert(task, claim);
    }

    pub(crate) fn remove(&mut self, task: &TaskId) {
        self.claims.swap_remove(task);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns true while a batch task has a claim.
    pub(crate) fn has_batch(&self) -> bool {
        self.claims.values().any(|claim| claim.priority == TaskPriority::Batch)
    }

    pub(crate) fn get(&self, task: &TaskId) -> Option<&CapacityClaim> {
        self.claims.get(task)
    }

    pub(crate) fn expire(&mut self, now: Duration) {
        self.claims.retain(|_, claim| claim.expires > now);
    }

    /// Returns the capacity on `worker` that other tasks claim and a task of this priority may not
    /// use.
    pub(crate) fn claimed_by_others(
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
