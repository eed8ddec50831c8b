//! The failures of one worker.

use {
    super::{backoff, WorkerEligibility},
    base::{JobId, TaskId},
    indexmap::IndexSet,
    std::time::Duration,
};

/// How long a probe may take before another one is started.
const PROBE_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Debug, Default)]
pub(super) struct WorkerFailures {
    jobs: IndexSet<JobId>,
    failure_count: u32,
    backoff_until: Duration,
    quarantined: Option<Duration>,
    probe: Option<(TaskId, Duration)>,
}

impl WorkerFailures {
    pub(super) fn record_failure(&mut self, now: Duration, job: &JobId) {
        self.jobs.insert(job.clone());
        self.record_refusal(now);
    }

    pub(super) fn record_refusal(&mut self, now: Duration) {
        self.backoff_until = now + backoff(self.failure_count);
        self.failure_count += 1;
    }

    pub(super) fn record_quarantined_failure(&mut self, now: Duration, task: &TaskId) {
        if self.is_probe(task) {
            self.probe = None;
            self.quarantined = Some(now);
        }
    }

    pub(super) fn quarantine(&mut self, now: Duration) -> u32 {
        self.quarantined = Some(now);
        self.failed_jobs()
    }

    pub(super) fn forget_job(&mut self, job: &JobId) {
        if self.quarantined.is_none() && self.jobs.swap_remove(job) && self.jobs.is_empty() {
            self.failure_count = 0;
            self.backoff_until = Duration::ZERO;
        }
    }

    pub(super) fn failed_jobs(&self) -> u32 {
        self.jobs.len() as u32
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantined.is_some()
    }

    pub(super) fn is_probe(&self, task: &TaskId) -> bool {
        self.probe.as_ref().is_some_and(|(probe, _)| probe == task)
    }

    pub(super) fn start_probe(&mut self, now: Duration, task: &TaskId) {
        if self.quarantined.is_some() {
            self.probe = Some((task.clone(), now));
        }
    }

    pub(super) fn eligibility(&self, now: Duration, probe_after: Duration) -> WorkerEligibility {
        let Some(since) = self.quarantined else {
            return if now < self.backoff_until {
                WorkerEligibility::Excluded
            } else {
                WorkerEligibility::Eligible
            };
        };
        let is_probed =
            self.probe.as_ref().is_some_and(|(_, started)| now < *started + PROBE_TIMEOUT);
        if is_probed || now < since + probe_after {
            return WorkerEligibility::Excluded;
        }
        WorkerEligibility::ProbeOnly
    }
}
