//! What the leader knows about the workers and keeps in memory alone.

use {
    crate::{
        job::{TaskKey, WorkerIncarnation},
        message::WorkerReport,
    },
    indexmap::IndexMap,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Consecutive failures that make a worker suspect. A healthy worker meets a few jobs that fail
/// everywhere.
const SUSPECT_FAILURES: f64 = 3.0;
/// Weight of a failure of a task that has failed before, on any worker.
const REPEATED_FAILURE_WEIGHT: f64 = 0.25;
/// Time that placement avoids a suspect worker before it tries the worker again.
const SUSPECT_PERIOD: Duration = Duration::from_secs(4);
/// Time that placement avoids a worker that refused a start, as unhealthy or for lack of capacity.
/// Without it, the worker would receive the refused task again at once.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// What is known about a task whose run has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureHistory {
    /// The task has not failed before.
    First,
    /// The task has failed before, on any worker.
    Repeated,
    /// The run is that of a gang, whose failure another member has reported.
    SameRun,
}

/// The leader's view of one worker.
#[derive(Debug, Clone)]
pub struct WorkerView {
    /// The latest report of the worker's agent.
    pub report: WorkerReport,
    /// Whether the agent has listed the runs on the worker.
    pub listed: bool,
    /// Whether the agent has ever listed the runs on this incarnation to this leader.
    pub ever_listed: bool,
    /// Whether the worker's data centre is cordoned, so that nothing more may start here.
    pub cordoned: bool,
    /// The end of the lease under which the worker may run its tasks.
    pub lease_until: Duration,
    /// Consecutive failures, weighted.
    failures: f64,
    avoid_until: Duration,
    refuses_until: Duration,
    /// Tasks that failed on this worker.
    failed_tasks: BTreeMap<TaskKey, Duration>,
}

impl WorkerView {
    /// Creates a view from the worker's report alone.
    pub fn new(report: WorkerReport) -> Self {
        Self {
            report,
            listed: false,
            ever_listed: false,
            cordoned: false,
            lease_until: Duration::ZERO,
            failures: 0.0,
            avoid_until: Duration::ZERO,
            refuses_until: Duration::ZERO,
            failed_tasks: BTreeMap::new(),
        }
    }

    /// Returns the worker's incarnation.
    pub fn incarnation(&self) -> &WorkerIncarnation {
        &self.report.worker
    }

    /// Returns the worker's rack, the label after its kind.
    pub fn rack(&self) -> Option<&str> {
        self.report.labels.get(1).map(String::as_str)
    }

    /// Returns whether the worker may receive tasks of a service.
    pub fn accepts(&self, service: &str, now: Duration) -> bool {
        let able = self.report.responsive && self.report.drain_left_ms.is_none();
        let open = self.lease_until > now && self.refuses_until <= now;
        self.listed && !self.cordoned && able && open && self.report.service == service
    }

    /// Returns whether the worker has recently failed too many runs in a row.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Returns whether a task has failed on this worker.
    pub fn has_failed(&self, task: &TaskKey) -> bool {
        self.failed_tasks.contains_key(task)
    }

    /// Records a completed run.
    pub fn record_completion(&mut self) {
        self.failures = 0.0;
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, now: Duration, task: TaskKey, history: FailureHistory) {
        self.failures += match history {
            FailureHistory::First => 1.0,
            FailureHistory::Repeated => REPEATED_FAILURE_WEIGHT,
            FailureHistory::SameRun => 0.0,
        };
        self.failed_tasks.insert(task, now);
        if self.failed_tasks.len() > FAILED_TASKS_KEPT {
            let oldest = self.failed_tasks.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.map(|key| self.failed_tasks.remove(&key));
        }
        if self.failures >= SUSPECT_FAILURES {
            self.avoid_until = now + SUSPECT_PERIOD;
        }
    }

    /// Records a refused start.
    pub fn record_refusal(&mut self, now: Duration) {
        self.refuses_until = now + REFUSAL_PERIOD;
    }
}

/// Limit of the failed tasks that are remembered for each worker: more than fail there before a
/// retry is placed.
const FAILED_TASKS_KEPT: usize = 64;

/// The workers that may receive tasks, by executor.
pub type WorkerTable = IndexMap<Arc<str>, WorkerView>;
