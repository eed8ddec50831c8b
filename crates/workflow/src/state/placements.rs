//! The placed tasks by incarnation of an executor, so that a decision about one executor costs what
//! runs there and not what the whole fleet runs.

use {
    super::JobRecord,
    crate::job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
    std::{collections::BTreeMap, sync::Arc},
};

/// The placed tasks of each incarnation. Derived from the jobs, and never stored.
#[derive(Debug, Clone, Default)]
pub(super) struct PlacementIndex {
    incarnations: BTreeMap<WorkerIncarnation, BTreeMap<TaskKey, RunNumber>>,
    /// The number of the last change of each executor that has placed tasks.
    changes: BTreeMap<Arc<str>, u64>,
    last_change: u64,
}

impl PlacementIndex {
    /// Collects the placements of jobs.
    pub(super) fn new<'a>(jobs: impl Iterator<Item = (JobKey, &'a JobRecord)>) -> Self {
        let mut index = Self::default();
        for (key, record) in jobs {
            for (task, run, worker) in record.placed_tasks(key) {
                index.insert(task, run, worker);
            }
        }
        index
    }

    pub(super) fn insert(&mut self, task: TaskKey, run: RunNumber, worker: &WorkerIncarnation) {
        self.incarnations.entry(worker.clone()).or_default().insert(task, run);
        self.last_change += 1;
        self.changes.insert(worker.executor.clone(), self.last_change);
    }

    pub(super) fn remove(&mut self, task: &TaskKey, worker: &WorkerIncarnation) {
        let Some(tasks) = self.incarnations.get_mut(worker) else { return };
        tasks.remove(task);
        if tasks.is_empty() {
            self.incarnations.remove(worker);
        }
        self.last_change += 1;
        if self.incarnations_of(&worker.executor).next().is_some() {
            self.changes.insert(worker.executor.clone(), self.last_change);
        } else {
            self.changes.remove(&worker.executor);
        }
    }

    /// Returns the number of the last change of an executor's placements; 0 if it has none.
    pub(super) fn change_of(&self, executor: &str) -> u64 {
        self.changes.get(executor).copied().unwrap_or(0)
    }

    /// Returns the incarnations with placed tasks.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = &WorkerIncarnation> {
        self.incarnations.keys()
    }

    /// Returns the incarnations of one executor that have placed tasks.
    pub(super) fn incarnations_of<'a>(
        &'a self,
        executor: &'a Arc<str>,
    ) -> impl Iterator<Item = &'a WorkerIncarnation> {
        let first = WorkerIncarnation { executor: executor.clone(), started_ms: 0 };
        let later = self.incarnations.range(first..).map(|(worker, _)| worker);
        later.take_while(move |worker| worker.executor == *executor)
    }

    /// Returns the placed tasks of an incarnation, with their runs.
    pub(super) fn tasks_of(
        &self,
        worker: &WorkerIncarnation,
    ) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        let tasks = self.incarnations.get(worker).into_iter().flatten();
        tasks.map(|(task, run)| (*task, *run))
    }
}
