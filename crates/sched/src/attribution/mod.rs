//! Attributes failures: to the job, when the job fails on several workers, or to the worker, when
//! several jobs fail there.

mod job;
mod worker;

use {
    crate::interface::{ParkReason, SchedDecision, SchedPolicy},
    base::{JobId, TaskId, WorkerId},
    indexmap::IndexMap,
    job::JobFailures,
    std::time::Duration,
    worker::WorkerFailures,
};

/// The backoff of a job or worker after its first failure. Doubles with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// The longest backoff after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// At most one worker in this many may be in quarantine at once.
const QUARANTINE_DIVISOR: usize = 3;
/// How long after parking a job with waiting tasks the model first proposes to park it again.
/// Doubles each time.
const FIRST_PARK_REPEAT: Duration = Duration::from_secs(10);

fn backoff(failure_count: u32) -> Duration {
    FIRST_BACKOFF.saturating_mul(1 << failure_count.min(10)).min(MAX_BACKOFF)
}

/// Which tasks a worker may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerEligibility {
    /// Any task.
    Eligible,
    /// No task for now.
    Excluded,
    /// One batch task, which shows whether the worker has been repaired.
    ProbeOnly,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord<'a> {
    pub(crate) task: &'a TaskId,
    pub(crate) worker: &'a WorkerId,
}

/// The recent failures of jobs and workers.
#[derive(Debug, Default)]
pub(crate) struct FailureAttribution {
    jobs: IndexMap<JobId, JobFailures>,
    workers: IndexMap<WorkerId, WorkerFailures>,
    decisions: Vec<SchedDecision>,
}

impl FailureAttribution {
    /// Records a success, which clears the failures of the worker and the task, and the job's
    /// backoff and excluded workers; the failures of its other tasks remain. A quarantined worker
    /// is cleared only by the success of its probe.
    pub(crate) fn record_success(&mut self, attempt: AttemptRecord<'_>) {
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.record_success(attempt.task.index);
        }
        let Some(worker) = self.workers.get_mut(attempt.worker) else {
            return;
        };
        if worker.is_quarantined() && !worker.is_probe(attempt.task) {
            return;
        }
        if worker.is_quarantined() {
            self.decisions.push(SchedDecision::Restore { worker: attempt.worker.clone() });
        }
        self.workers.swap_remove(attempt.worker);
    }

    /// Records a failure. `workers` is the number of workers that accept tasks.
    pub(crate) fn record_failure(
        &mut self,
        now: Duration,
        attempt: AttemptRecord<'_>,
        policy: &SchedPolicy,
        workers: usize,
    ) {
        let worker = self.workers.entry(attempt.worker.clone()).or_default();
        if worker.is_quarantined() {
            worker.record_quarantined_failure(now, attempt.task);
            return;
        }
        let job = self.jobs.entry(attempt.task.job.clone()).or_default();
        if job.parked.is_some() {
            return;
        }
        job.record_failure(now, attempt);
        worker.record_failure(now, &attempt.task.job);
        let distinct = job.max_distinct_workers();
        let enough = policy.job_workers.min(workers as u32).max(1);
        let job_is_faulty = distinct >= enough && job.failure_count() >= policy.job_workers;
        let worker_is_faulty = worker.failed_jobs() >= policy.worker_jobs.max(1);
        if worker_is_faulty && self.may_quarantine(workers) {
            self.quarantine(now, attempt.worker);
        } else if job_is_faulty {
            self.park(now, &attempt.task.job, ParkReason::FailedEverywhere { workers: distinct });
        }
    }

    /// Limits the number of quarantined workers. When jobs fail on most workers, something that all
    /// workers need has failed, and quarantining them one by one would stop all work.
    fn may_quarantine(&self, workers: usize) -> bool {
        let quarantined = self.workers.values().filter(|worker| worker.is_quarantined()).count();
        quarantined < (workers / QUARANTINE_DIVISOR).max(1)
    }

    /// Records that the agent or the platform refused a task.
    pub(crate) fn record_refusal(&mut self, now: Duration, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_default().record_refusal(now);
    }

    /// Quarantines a worker as another model, such as that of an earlier leader, decided.
    pub(crate) fn record_quarantine(&mut self, now: Duration, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_default().quarantine(now);
    }

    /// Quarantines a worker and clears its failures from all jobs: failures on a worker that fails
    /// everything do not count against the jobs.
    fn quarantine(&mut self, now: Duration, worker: &WorkerId) {
        let failures = self.workers.entry(worker.clone()).or_default();
        let jobs = failures.quarantine(now);
        for job in self.jobs.values_mut() {
            job.forget_worker(worker);
        }
        self.decisions.push(SchedDecision::Quarantine { worker: worker.clone(), jobs });
    }

    /// Parks a job and clears its failures from all workers: they do not count against the workers.
    pub(crate) fn park(&mut self, now: Duration, job: &JobId, reason: ParkReason) {
        let failures = self.jobs.entry(job.clone()).or_default();
        failures.parked = Some(reason.clone());
        failures.repeat_at = now + FIRST_PARK_REPEAT;
        failures.repeat_after = FIRST_PARK_REPEAT;
        for worker in self.workers.values_mut() {
            worker.forget_job(job);
        }
        self.decisions.push(SchedDecision::Park { job: job.clone(), reason });
    }

    /// Clears the failures of a job.
    pub(crate) fn unpark(&mut self, job: &JobId) {
        self.jobs.swap_remove(job);
    }

    /// Removes a worker and its failures.
    pub(crate) fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
    }

    /// Returns true when the job is parked. A parked job whose tasks still wait is proposed for
    /// parking again with growing pauses, in case the decision was never committed.
    pub(crate) fn is_parked(&mut self, now: Duration, job: &JobId) -> bool {
        let Some(failures) = self.jobs.get_mut(job) else {
            return false;
        };
        let Some(reason) = failures.parked.clone() else {
            return false;
        };
        if now >= failures.repeat_at {
            failures.repeat_after *= 2;
            failures.repeat_at = now + failures.repeat_after;
            self.decisions.push(SchedDecision::Park { job: job.clone(), reason });
        }
        true
    }

    /// Returns true during the backoff of a job after a failure.
    pub(crate) fn is_backing_off(&self, now: Duration, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|failures| now < failures.backoff_until)
    }

    /// Returns true when failures of the job have been recorded, so that some workers may be
    /// excluded for it.
    pub(crate) fn has_failed(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns true when the job has failed on the worker, and `workers` includes others on which
    /// the job has not failed.
    pub(crate) fn excludes(&self, job: &JobId, worker: &WorkerId, workers: usize) -> bool {
        let failures = self.jobs.get(job);
        failures.is_some_and(|failures| {
            failures.failed_on(worker) && failures.failed_workers() < workers
        })
    }

    /// Returns the tasks that a worker may be given now.
    pub(crate) fn eligibility(
        &self,
        now: Duration,
        worker: &WorkerId,
        policy: &SchedPolicy,
    ) -> WorkerEligibility {
        self.workers.get(worker).map_or(WorkerEligibility::Eligible, |failures| {
            failures.eligibility(now, policy.probe_after)
        })
    }

    /// Returns true when no worker has recent failures, so that no eligibility has to be looked up.
    pub(crate) fn all_eligible(&self) -> bool {
        self.workers.is_empty()
    }

    /// Records that a quarantined worker is being probed.
    pub(crate) fn start_probe(&mut self, now: Duration, worker: &WorkerId, task: &TaskId) {
        if let Some(failures) = self.workers.get_mut(worker) {
            failures.start_probe(now, task);
        }
    }

    /// Returns the decisions since the last call.
    pub(crate) fn take_decisions(&mut self) -> Vec<SchedDecision> {
        std::mem::take(&mut self.decisions)
    }
}
