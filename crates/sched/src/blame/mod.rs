//! Whose fault a failure is: the job's, when it fails on several workers, or the worker's, when
//! several jobs fail there.

mod job;
mod worker;

use {
    crate::interface::{ParkReason, SchedDecision, SchedPolicy},
    base::{JobId, TaskId, WorkerId},
    indexmap::IndexMap,
    job::JobBlame,
    std::time::Duration,
    worker::WorkerBlame,
};

/// How long a job or worker rests after its first failure. Doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The longest rest after a failure.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
/// The part of all workers that may be in quarantine at once.
const QUARANTINED_PART: usize = 3;
/// How long a parked job with waiting tasks goes unmentioned at first. Doubles each time.
const FIRST_REPEAT: Duration = Duration::from_secs(10);

fn pause(strikes: u32) -> Duration {
    FIRST_PAUSE.saturating_mul(1 << strikes.min(10)).min(LONGEST_PAUSE)
}

/// What a worker may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkerStanding {
    /// Any task.
    Trusted,
    /// Nothing for now.
    Resting,
    /// One batch task, to see whether it has been repaired.
    Probing,
}

/// One attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord<'a> {
    pub(crate) task: &'a TaskId,
    pub(crate) worker: &'a WorkerId,
}

/// The failures of jobs and workers.
#[derive(Debug, Default)]
pub(crate) struct BlameBook {
    jobs: IndexMap<JobId, JobBlame>,
    workers: IndexMap<WorkerId, WorkerBlame>,
    decisions: Vec<SchedDecision>,
}

impl BlameBook {
    /// Learns of a success, which clears the worker and the task.
    pub(crate) fn finished(&mut self, attempt: AttemptRecord<'_>) {
        if let Some(job) = self.jobs.get_mut(&attempt.task.job) {
            job.succeed(attempt.task.index);
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

    /// Learns of a failure. `workers` is the number of workers that take tasks.
    pub(crate) fn failed(
        &mut self,
        now: Duration,
        attempt: AttemptRecord<'_>,
        policy: &SchedPolicy,
        workers: usize,
    ) {
        let worker = self.workers.entry(attempt.worker.clone()).or_default();
        if worker.is_quarantined() {
            worker.fail_quarantined(now, attempt.task);
            return;
        }
        let job = self.jobs.entry(attempt.task.job.clone()).or_default();
        if job.parked.is_some() {
            return;
        }
        job.fail(now, attempt);
        worker.fail(now, &attempt.task.job);
        let distinct = job.workers();
        let enough = policy.job_workers.min(workers as u32).max(1);
        let is_hopeless = distinct >= enough && job.strikes() >= policy.job_workers;
        let is_broken = worker.failed_jobs() >= policy.worker_jobs.max(1);
        if is_broken && self.may_quarantine(workers) {
            self.quarantine(now, attempt.worker);
        } else if is_hopeless {
            self.park(now, &attempt.task.job, ParkReason::FailedEverywhere { workers: distinct });
        }
    }

    /// When jobs fail on most workers, something that all workers need has failed, and taking them
    /// away one by one would only stop everything.
    fn may_quarantine(&self, workers: usize) -> bool {
        let quarantined = self.workers.values().filter(|worker| worker.is_quarantined()).count();
        quarantined < (workers / QUARANTINED_PART).max(1)
    }

    /// Learns that the agent or platform refused a task.
    pub(crate) fn refused(&mut self, now: Duration, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_default().refuse(now);
    }

    /// Holds a worker back as another model decided.
    pub(crate) fn note_quarantined(&mut self, now: Duration, worker: &WorkerId) {
        self.workers.entry(worker.clone()).or_default().quarantine(now);
    }

    /// Failures on a worker that fails everything say nothing about the jobs.
    fn quarantine(&mut self, now: Duration, worker: &WorkerId) {
        let blame = self.workers.entry(worker.clone()).or_default();
        let jobs = blame.quarantine(now);
        for job in self.jobs.values_mut() {
            job.forget_worker(worker);
        }
        self.decisions.push(SchedDecision::Quarantine { worker: worker.clone(), jobs });
    }

    /// Keeps a job back. Its failures say nothing about the workers.
    pub(crate) fn park(&mut self, now: Duration, job: &JobId, reason: ParkReason) {
        let blame = self.jobs.entry(job.clone()).or_default();
        blame.parked = Some(reason.clone());
        blame.repeat_at = now + FIRST_REPEAT;
        blame.repeat_after = FIRST_REPEAT;
        for worker in self.workers.values_mut() {
            worker.forget_job(job);
        }
        self.decisions.push(SchedDecision::Park { job: job.clone(), reason });
    }

    /// Forgets what is held against a job.
    pub(crate) fn unpark(&mut self, job: &JobId) {
        self.jobs.swap_remove(job);
    }

    /// Forgets a worker.
    pub(crate) fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.swap_remove(worker);
    }

    /// True when the job is kept back. A parked job whose tasks still wait is proposed for
    /// parking again from time to time, in case that was never committed.
    pub(crate) fn is_parked(&mut self, now: Duration, job: &JobId) -> bool {
        let Some(blame) = self.jobs.get_mut(job) else {
            return false;
        };
        let Some(reason) = blame.parked.clone() else {
            return false;
        };
        if now >= blame.repeat_at {
            blame.repeat_after *= 2;
            blame.repeat_at = now + blame.repeat_after;
            self.decisions.push(SchedDecision::Park { job: job.clone(), reason });
        }
        true
    }

    /// True while the job rests after a failure.
    pub(crate) fn is_resting(&self, now: Duration, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|blame| now < blame.rest_until)
    }

    /// True when the job has failed lately, so that some workers are closed to it.
    pub(crate) fn has_failed(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// True when the job has failed on the worker, and there are others among `workers` on which
    /// it has not.
    pub(crate) fn avoids(&self, job: &JobId, worker: &WorkerId, workers: usize) -> bool {
        let blame = self.jobs.get(job);
        blame.is_some_and(|blame| blame.failed_on(worker) && blame.failed_workers() < workers)
    }

    /// What a worker may be given now.
    pub(crate) fn standing(
        &self,
        now: Duration,
        worker: &WorkerId,
        policy: &SchedPolicy,
    ) -> WorkerStanding {
        self.workers
            .get(worker)
            .map_or(WorkerStanding::Trusted, |blame| blame.standing(now, policy.probe_after))
    }

    /// True when no worker is held back, so that standings need not be looked up.
    pub(crate) fn trusts_all(&self) -> bool {
        self.workers.is_empty()
    }

    /// Notes that a quarantined worker is being probed.
    pub(crate) fn start_probe(&mut self, now: Duration, worker: &WorkerId, task: &TaskId) {
        if let Some(blame) = self.workers.get_mut(worker) {
            blame.start_probe(now, task);
        }
    }

    /// What has been decided since the last call.
    pub(crate) fn take_decisions(&mut self) -> Vec<SchedDecision> {
        std::mem::take(&mut self.decisions)
    }
}
