//! The model of the fleet.

use {
    crate::interface::{
        AttemptEnd, HeldTask, SchedDecision, SchedPolicy, TeamQuota, WaitReason, WaitingTask,
        WorkerSample, WorkerView,
    },
    base::{AttemptNumber, JobId, TaskId, TeamName, WorkerId},
    std::time::Duration,
};

/// Everything that placement decides from. The caller reports what is committed and what was
/// measured; [`FleetModel::decide`] says what should be done.
#[derive(Debug)]
pub struct FleetModel {
    policy: SchedPolicy,
}

impl FleetModel {
    /// A model of an empty fleet. `seed` breaks ties.
    pub fn new(policy: SchedPolicy, seed: u64) -> Self {
        let _ = seed;
        Self { policy }
    }

    /// Replaces the declared values.
    pub fn set_policy(&mut self, policy: SchedPolicy) {
        self.policy = policy;
    }

    /// Replaces the quotas of all teams. A team without quota may use what others leave.
    pub fn set_quotas(&mut self, quotas: Vec<(TeamName, TeamQuota)>) {
        let _ = quotas;
    }

    /// Adds or changes a worker.
    pub fn set_worker(&mut self, worker: WorkerView) {
        let _ = worker;
    }

    /// Forgets a worker that holds no task.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        let _ = worker;
    }

    /// Adds or replaces a task that waits for a place.
    pub fn enqueue(&mut self, now: Duration, task: WaitingTask) {
        let _ = (now, task);
    }

    /// Forgets a waiting task.
    pub fn withdraw(&mut self, task: &TaskId) {
        let _ = task;
    }

    /// Notes a committed reservation, or that it is stopping. The task waits no longer.
    pub fn hold(&mut self, now: Duration, held: HeldTask) {
        let _ = (now, held);
    }

    /// Frees a reservation, because the stop is confirmed or the lease has expired.
    pub fn release(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber) {
        let _ = (now, task, attempt);
    }

    /// Learns how an attempt ended. Comes before [`FleetModel::release`].
    pub fn outcome(
        &mut self,
        now: Duration,
        task: &TaskId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        let _ = (now, task, attempt, end);
    }

    /// Learns from a measurement, which may be late.
    pub fn sample(&mut self, now: Duration, sample: &WorkerSample) {
        let _ = (now, sample);
    }

    /// Lets a parked job be tried again.
    pub fn unpark(&mut self, job: &JobId) {
        let _ = job;
    }

    /// Decides what should be done now. Decisions that are not committed are made again later.
    pub fn decide(&mut self, now: Duration) -> Vec<SchedDecision> {
        let _ = now;
        Vec::new()
    }

    /// Why a task waits, as of the last decision.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        let _ = task;
        None
    }
}
