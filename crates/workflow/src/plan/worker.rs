//! What a leader knows of the workers, as soft state.

use {
    crate::{
        job::{TaskKey, WorkerLife},
        message::WorkerReport,
    },
    indexmap::IndexMap,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Failures in a row that make a worker suspect; a healthy worker meets a few hopeless jobs.
const SUSPECT_FAILURES: f64 = 3.0;
/// How much a failure of a job counts that has failed on another worker before.
const REPEATED_FAILURE_WEIGHT: f64 = 0.25;
/// How long a suspect worker is avoided before it is tried again.
const SUSPECT_PERIOD: Duration = Duration::from_secs(4);
/// How long a worker is given nothing that has refused a start, as unhealthy or for want of room:
/// what it refused would come back at once.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// A worker.
#[derive(Debug, Clone)]
pub struct WorkerView {
    /// What its agent says of it.
    pub report: WorkerReport,
    /// Whether its agent has listed what runs there.
    pub listed: bool,
    /// Until when it may run what it is given.
    pub lease_until: Duration,
    /// Failures in a row, weighted.
    failures: f64,
    avoid_until: Duration,
    refuses_until: Duration,
    /// Tasks that failed here.
    failed_tasks: BTreeMap<TaskKey, Duration>,
}

impl WorkerView {
    /// A worker of which nothing but its report is known.
    pub fn new(report: WorkerReport) -> Self {
        Self {
            report,
            listed: false,
            lease_until: Duration::ZERO,
            failures: 0.0,
            avoid_until: Duration::ZERO,
            refuses_until: Duration::ZERO,
            failed_tasks: BTreeMap::new(),
        }
    }

    /// Its life.
    pub fn life(&self) -> &WorkerLife {
        &self.report.worker
    }

    /// Its rack: the label after its kind.
    pub fn rack(&self) -> Option<&str> {
        self.report.labels.get(1).map(String::as_str)
    }

    /// Whether it may be given tasks of a service.
    pub fn accepts(&self, service: &str, now: Duration) -> bool {
        let able = self.report.responsive && self.report.drain_left_ms.is_none();
        let open = self.lease_until > now && self.refuses_until <= now;
        self.listed && able && open && self.report.service == service
    }

    /// Whether it has lately failed what others did not.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.avoid_until
    }

    /// Whether a task has failed here.
    pub fn has_failed(&self, task: &TaskKey) -> bool {
        self.failed_tasks.contains_key(task)
    }

    /// Notes a run that was completed.
    pub fn note_done(&mut self) {
        self.failures = 0.0;
    }

    /// Notes a run that failed.
    pub fn note_failure(&mut self, now: Duration, task: TaskKey, failed_elsewhere: bool) {
        self.failures += if failed_elsewhere { REPEATED_FAILURE_WEIGHT } else { 1.0 };
        self.failed_tasks.insert(task, now);
        if self.failed_tasks.len() > FAILED_TASKS_KEPT {
            let oldest = self.failed_tasks.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            oldest.map(|key| self.failed_tasks.remove(&key));
        }
        if self.failures >= SUSPECT_FAILURES {
            self.avoid_until = now + SUSPECT_PERIOD;
        }
    }

    /// Notes a start that was refused.
    pub fn note_refusal(&mut self, now: Duration) {
        self.refuses_until = now + REFUSAL_PERIOD;
    }
}

/// Failed tasks that a worker is remembered for; more than fail while one retry is placed.
const FAILED_TASKS_KEPT: usize = 64;

/// The workers that may be given tasks, by executor.
pub type WorkerTable = IndexMap<Arc<str>, WorkerView>;
