//! Limits how many tasks of a job run in one rack or data centre.

use {
    crate::{
        interface::{SpreadRule, WorkerView},
        workers::WorkerTable,
    },
    base::{JobId, TaskId, WorkerId},
    indexmap::IndexMap,
};

/// The workers of the tasks of jobs that limit their tasks per rack or data centre, including
/// proposed placements.
#[derive(Debug, Default)]
pub(crate) struct SpreadTable {
    jobs: IndexMap<JobId, IndexMap<TaskId, WorkerId>>,
}

fn is_limited(rule: &SpreadRule) -> bool {
    rule.most_per_rack.is_some() || rule.most_per_data_centre.is_some()
}

impl SpreadTable {
    pub(crate) fn add(&mut self, task: &TaskId, rule: &SpreadRule, worker: &WorkerId) {
        if is_limited(rule) {
            let tasks = self.jobs.entry(task.job.clone()).or_default();
            tasks.insert(task.clone(), worker.clone());
        }
    }

    pub(crate) fn remove(&mut self, task: &TaskId) {
        let Some(tasks) = self.jobs.get_mut(&task.job) else {
            return;
        };
        tasks.swap_remove(task);
        if tasks.is_empty() {
            self.jobs.swap_remove(&task.job);
        }
    }

    /// Returns true when the rule lets another task of the job run on the worker.
    pub(crate) fn allows(
        &self,
        job: &JobId,
        rule: &SpreadRule,
        view: &WorkerView,
        workers: &WorkerTable,
    ) -> bool {
        if !rule.data_centres.is_empty() && !rule.data_centres.contains(&view.data_centre) {
            return false;
        }
        if !is_limited(rule) {
            return true;
        }
        let views = self.jobs.get(job).into_iter().flat_map(|tasks| tasks.values());
        let (mut rack, mut data_centre) = (0, 0);
        for other in views.filter_map(|worker| workers.get(worker)).map(|state| &state.view) {
            rack += u32::from(other.rack == view.rack);
            data_centre += u32::from(other.data_centre == view.data_centre);
        }
        rule.most_per_rack.is_none_or(|most| rack < most)
            && rule.most_per_data_centre.is_none_or(|most| data_centre < most)
    }
}
