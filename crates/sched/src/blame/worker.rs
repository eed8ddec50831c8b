//! The failures of one worker.

use {
    super::{pause, WorkerStanding},
    base::{JobId, TaskId},
    indexmap::IndexSet,
    std::time::Duration,
};

/// How long a probe may take before another is tried.
const PROBE_TIMEOUT: Duration = Duration::from_secs(600);

#[derive(Debug, Default)]
pub(super) struct WorkerBlame {
    jobs: IndexSet<JobId>,
    strikes: u32,
    rest_until: Duration,
    quarantined: Option<Duration>,
    probe: Option<(TaskId, Duration)>,
}

impl WorkerBlame {
    pub(super) fn fail(&mut self, now: Duration, job: &JobId) {
        self.jobs.insert(job.clone());
        self.refuse(now);
    }

    pub(super) fn refuse(&mut self, now: Duration) {
        self.rest_until = now + pause(self.strikes);
        self.strikes += 1;
    }

    pub(super) fn fail_quarantined(&mut self, now: Duration, task: &TaskId) {
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
            self.strikes = 0;
            self.rest_until = Duration::ZERO;
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

    pub(super) fn standing(&self, now: Duration, probe_after: Duration) -> WorkerStanding {
        let Some(since) = self.quarantined else {
            return if now < self.rest_until {
                WorkerStanding::Resting
            } else {
                WorkerStanding::Trusted
            };
        };
        let busy = self.probe.as_ref().is_some_and(|(_, started)| now < *started + PROBE_TIMEOUT);
        if busy || now < since + probe_after {
            return WorkerStanding::Resting;
        }
        WorkerStanding::Probing
    }
}
