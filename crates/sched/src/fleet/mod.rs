//! The model of the fleet.

use {
    crate::interface::{
        AttemptEnd, HeldTask, PlacementReason, SchedDecision, SchedPolicy, TaskPriority, TeamQuota,
        WaitReason, WaitingTask, WorkerSample, WorkerView,
    },
    base::{AttemptNumber, JobId, ResourceKind, ResourceVector, TaskId, TeamName, WorkerId},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a proposed placement keeps its room while its commit is awaited.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest number of placements that one call proposes.
const PLACEMENTS_PER_CALL: usize = 128;

#[derive(Debug)]
struct PlacementProposal {
    worker: WorkerId,
    reserve: ResourceVector,
    expires: Duration,
}

/// Everything that placement decides from. The caller reports what is committed and what was
/// measured; [`FleetModel::decide`] says what should be done.
#[derive(Debug)]
pub struct FleetModel {
    policy: SchedPolicy,
    workers: IndexMap<WorkerId, WorkerView>,
    held: IndexMap<TaskId, HeldTask>,
    waiting: IndexMap<TaskId, (u64, WaitingTask)>,
    order: BTreeSet<(Reverse<TaskPriority>, u64, TaskId)>,
    proposals: BTreeMap<TaskId, PlacementProposal>,
    reasons: BTreeMap<TaskId, WaitReason>,
    sequence: u64,
}

impl FleetModel {
    /// A model of an empty fleet. `seed` breaks ties.
    pub fn new(policy: SchedPolicy, seed: u64) -> Self {
        let _ = seed;
        Self {
            policy,
            workers: IndexMap::new(),
            held: IndexMap::new(),
            waiting: IndexMap::new(),
            order: BTreeSet::new(),
            proposals: BTreeMap::new(),
            reasons: BTreeMap::new(),
            sequence: 0,
        }
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
        self.workers.insert(worker.worker.clone(), worker);
    }

    /// Forgets a worker that holds no task.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.workers.shift_remove(worker);
    }

    /// Adds or replaces a task that waits for a place.
    pub fn enqueue(&mut self, now: Duration, task: WaitingTask) {
        let _ = now;
        self.withdraw(&task.task);
        self.sequence += 1;
        self.order.insert((Reverse(task.priority), self.sequence, task.task.clone()));
        self.waiting.insert(task.task.clone(), (self.sequence, task));
    }

    /// Forgets a waiting task.
    pub fn withdraw(&mut self, task: &TaskId) {
        self.proposals.remove(task);
        self.reasons.remove(task);
        if let Some((sequence, waiting)) = self.waiting.swap_remove(task) {
            self.order.remove(&(Reverse(waiting.priority), sequence, task.clone()));
        }
    }

    /// Notes a committed reservation, or that it is stopping. The task waits no longer.
    pub fn hold(&mut self, now: Duration, held: HeldTask) {
        let _ = now;
        self.withdraw(&held.waiting.task);
        self.held.insert(held.waiting.task.clone(), held);
    }

    /// Frees a reservation, because the stop is confirmed or the lease has expired.
    pub fn release(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber) {
        let _ = now;
        if self.held.get(task).is_some_and(|held| held.attempt == attempt) {
            self.held.swap_remove(task);
        }
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
        self.proposals.retain(|_, proposal| proposal.expires > now);
        let mut free = self.free_room();
        let mut decisions = Vec::new();
        for (_, _, task) in &self.order {
            if decisions.len() == PLACEMENTS_PER_CALL {
                break;
            }
            if self.proposals.contains_key(task) {
                continue;
            }
            let declared = self.waiting[task].1.declared;
            let candidates = free.values().filter(|room| declared.fits_in(room)).count() as u32;
            let Some((worker, room)) = free.iter_mut().find(|(_, room)| declared.fits_in(room))
            else {
                let short_of = free
                    .values()
                    .next()
                    .and_then(|room| declared.shortage(room))
                    .unwrap_or(ResourceKind::Cpu);
                self.reasons.insert(task.clone(), WaitReason::NoRoom { short_of });
                continue;
            };
            *room = room.saturating_sub(&declared);
            let proposal = PlacementProposal {
                worker: worker.clone(),
                reserve: declared,
                expires: now + PROPOSAL_TIMEOUT,
            };
            decisions.push(SchedDecision::Place {
                task: task.clone(),
                worker: worker.clone(),
                reserve: declared,
                reason: PlacementReason {
                    candidates,
                    cost: 0.0,
                    service_slowdown_percent: 0.0,
                    corrected: false,
                },
            });
            self.reasons.remove(task);
            self.proposals.insert(task.clone(), proposal);
        }
        decisions
    }

    fn free_room(&self) -> IndexMap<WorkerId, ResourceVector> {
        let mut free: IndexMap<_, _> = self
            .workers
            .values()
            .filter(|view| view.accepting)
            .map(|view| (view.worker.clone(), view.capacity))
            .collect();
        let held = self.held.values().map(|held| (&held.worker, &held.reserved));
        let proposed =
            self.proposals.values().map(|proposal| (&proposal.worker, &proposal.reserve));
        for (worker, reserved) in held.chain(proposed) {
            if let Some(room) = free.get_mut(worker) {
                *room = room.saturating_sub(reserved);
            }
        }
        free
    }

    /// Why a task waits, as of the last decision.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        self.reasons.get(task).cloned()
    }
}
