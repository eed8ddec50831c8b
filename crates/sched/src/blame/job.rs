//! The failures of one job.

use {
    super::{pause, AttemptRecord},
    crate::interface::ParkReason,
    base::{TaskIndex, WorkerId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// The tasks of a job whose failures are told apart.
const TASK_LIMIT: usize = 64;

#[derive(Debug, Default)]
pub(super) struct JobBlame {
    /// Workers on which any task failed since one last succeeded.
    workers: IndexSet<WorkerId>,
    /// Workers on which one task failed, whatever became of the others.
    tasks: IndexMap<TaskIndex, IndexSet<WorkerId>>,
    strikes: u32,
    pub(super) rest_until: Duration,
    pub(super) parked: Option<ParkReason>,
    pub(super) repeat_at: Duration,
    pub(super) repeat_after: Duration,
}

impl JobBlame {
    pub(super) fn fail(&mut self, now: Duration, attempt: AttemptRecord<'_>) {
        self.workers.insert(attempt.worker.clone());
        if self.tasks.len() < TASK_LIMIT || self.tasks.contains_key(&attempt.task.index) {
            let workers = self.tasks.entry(attempt.task.index).or_default();
            workers.insert(attempt.worker.clone());
        }
        self.rest_until = now + pause(self.strikes);
        self.strikes += 1;
    }

    pub(super) fn succeed(&mut self, task: TaskIndex) {
        self.workers.clear();
        self.tasks.swap_remove(&task);
        self.strikes = 0;
        self.rest_until = Duration::ZERO;
    }

    pub(super) fn forget_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
        for workers in self.tasks.values_mut() {
            workers.swap_remove(worker);
        }
        self.strikes = self.workers.len() as u32;
        self.rest_until = Duration::ZERO;
    }

    pub(super) fn failed_on(&self, worker: &WorkerId) -> bool {
        self.workers.contains(worker)
    }

    pub(super) fn failed_workers(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn strikes(&self) -> u32 {
        self.strikes
    }

    /// The number of distinct workers on which the job, or one of its tasks, failed.
    pub(super) fn workers(&self) -> u32 {
        let most = self.tasks.values().map(IndexSet::len).max().unwrap_or(0);
        most.max(self.workers.len()) as u32
    }
}
