//! The failures of one job.

use {
    super::{backoff, AttemptRecord},
    crate::interface::ParkReason,
    base::{TaskIndex, WorkerId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// The number of tasks of a job whose failures are tracked separately.
const TASK_LIMIT: usize = 64;

#[derive(Debug, Default)]
pub(super) struct JobFailures {
    /// The workers on which any task of the job has failed since one last succeeded.
    workers: IndexSet<WorkerId>,
    /// The workers on which each task has failed since that task last succeeded.
    tasks: IndexMap<TaskIndex, IndexSet<WorkerId>>,
    failure_count: u32,
    pub(super) backoff_until: Duration,
    pub(super) parked: Option<ParkReason>,
    pub(super) repeat_at: Duration,
    pub(super) repeat_after: Duration,
}

impl JobFailures {
    pub(super) fn record_failure(&mut self, now: Duration, attempt: AttemptRecord<'_>) {
        self.workers.insert(attempt.worker.clone());
        if self.tasks.len() < TASK_LIMIT || self.tasks.contains_key(&attempt.task.index) {
            let workers = self.tasks.entry(attempt.task.index).or_default();
            workers.insert(attempt.worker.clone());
        }
        self.backoff_until = now + backoff(self.failure_count);
        self.failure_count += 1;
    }

    pub(super) fn record_success(&mut self, task: TaskIndex) {
        self.workers.clear();
        self.tasks.swap_remove(&task);
        self.failure_count = 0;
        self.backoff_until = Duration::ZERO;
    }

    pub(super) fn forget_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
        for workers in self.tasks.values_mut() {
            workers.swap_remove(worker);
        }
        self.failure_count = self.workers.len() as u32;
        self.backoff_until = Duration::ZERO;
    }

    pub(super) fn failed_on(&self, worker: &WorkerId) -> bool {
        self.workers.contains(worker)
    }

    pub(super) fn failed_workers(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Returns the largest number of distinct workers on which the job as a whole or any one of its
    /// tasks has failed.
    pub(super) fn max_distinct_workers(&self) -> u32 {
        let most = self.tasks.values().map(IndexSet::len).max().unwrap_or(0);
        most.max(self.workers.len()) as u32
    }
}
