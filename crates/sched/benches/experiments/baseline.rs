//! The deciders that are compared: the model, its variants, and two simple baselines.

use {
    base::{AttemptNumber, ResourceVector, TaskId, WorkerId},
    indexmap::IndexMap,
    sched::{
        AttemptEnd, FleetModel, PlacementReason, ReservedTask, SchedDecision, SchedPolicy,
        TaskPriority, WaitingTask, WorkerSample, WorkerView,
    },
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// How long the variant that only evicts waits before it evicts.
const EVICT_PATIENCE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Model,
    NoThrottle,
    NoLearning,
    EvictOnly,
    FirstFit,
    LeastLoaded,
}

pub const VARIANTS: [Variant; 6] = [
    Variant::Model,
    Variant::NoThrottle,
    Variant::NoLearning,
    Variant::EvictOnly,
    Variant::FirstFit,
    Variant::LeastLoaded,
];

impl Variant {
    pub fn name(self) -> &'static str {
        match self {
            Self::Model => "mangorouter",
            Self::NoThrottle => "no throttle",
            Self::NoLearning => "no learning",
            Self::EvictOnly => "evict only",
            Self::FirstFit => "first fit",
            Self::LeastLoaded => "least loaded",
        }
    }

    pub fn policy(self, mut policy: SchedPolicy) -> SchedPolicy {
        match self {
            Self::NoThrottle => policy.throttle_floor_percent = 100,
            Self::EvictOnly => {
                policy.throttle_floor_percent = 100;
                policy.eviction_weight = 0.0;
                policy.patience = EVICT_PATIENCE;
                policy.retry_pairing_after = Duration::ZERO;
            }
            Self::NoLearning => policy.retry_pairing_after = Duration::ZERO,
            Self::Model | Self::FirstFit | Self::LeastLoaded => {}
        }
        policy
    }

    pub fn decider(self, policy: SchedPolicy, seed: u64) -> Box<dyn TaskDecider> {
        match self {
            Self::FirstFit => Box::new(BaselineDecider::new(false)),
            Self::LeastLoaded => Box::new(BaselineDecider::new(true)),
            _ => Box::new(FleetModel::new(self.policy(policy), seed)),
        }
    }
}

/// The reports that all deciders receive in the same way.
pub trait TaskDecider {
    fn set_policy(&mut self, policy: SchedPolicy);
    fn set_worker(&mut self, view: WorkerView);
    fn enqueue(&mut self, now: Duration, task: WaitingTask);
    fn withdraw(&mut self, task: &TaskId);
    fn record_reservation(&mut self, now: Duration, reservation: ReservedTask);
    fn end(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber, end: AttemptEnd);
    fn record_sample(&mut self, now: Duration, sample: &WorkerSample);
    fn decide(&mut self, now: Duration) -> Vec<SchedDecision>;
}

impl TaskDecider for FleetModel {
    fn set_policy(&mut self, policy: SchedPolicy) {
        Self::set_policy(self, policy);
    }

    fn set_worker(&mut self, view: WorkerView) {
        Self::set_worker(self, view);
    }

    fn enqueue(&mut self, now: Duration, task: WaitingTask) {
        Self::enqueue(self, now, task);
    }

    fn withdraw(&mut self, task: &TaskId) {
        Self::withdraw(self, task);
    }

    fn record_reservation(&mut self, now: Duration, reservation: ReservedTask) {
        Self::record_reservation(self, now, reservation);
    }

    fn end(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber, end: AttemptEnd) {
        self.record_outcome(now, task, attempt, end);
        self.release(now, task, attempt);
    }

    fn record_sample(&mut self, now: Duration, sample: &WorkerSample) {
        Self::record_sample(self, now, sample);
    }

    fn decide(&mut self, now: Duration) -> Vec<SchedDecision> {
        Self::decide(self, now)
    }
}

/// Places tasks by priority and age on the first worker with enough capacity, or on the one with
/// the most free processors. It trusts declarations and ignores measurements and failures.
struct BaselineDecider {
    prefers_emptiest: bool,
    workers: IndexMap<WorkerId, WorkerView>,
    available: IndexMap<WorkerId, ResourceVector>,
    reservations: IndexMap<TaskId, ReservedTask>,
    waiting: BTreeMap<(Reverse<TaskPriority>, u64), WaitingTask>,
    arrivals: IndexMap<TaskId, (Reverse<TaskPriority>, u64)>,
    proposed: IndexMap<TaskId, (WorkerId, ResourceVector)>,
    count: u64,
}

impl BaselineDecider {
    fn new(prefers_emptiest: bool) -> Self {
        Self {
            prefers_emptiest,
            workers: IndexMap::new(),
            available: IndexMap::new(),
            reservations: IndexMap::new(),
            waiting: BTreeMap::new(),
            arrivals: IndexMap::new(),
            proposed: IndexMap::new(),
            count: 0,
        }
    }

    fn reserve(&mut self, worker: &WorkerId, size: &ResourceVector) {
        if let Some(available) = self.available.get_mut(worker) {
            *available = available.saturating_sub(size);
        }
    }

    fn unreserve(&mut self, worker: &WorkerId, size: &ResourceVector) {
        if let Some(available) = self.available.get_mut(worker) {
            *available += *size;
        }
    }

    fn choose(&self, size: &ResourceVector) -> Option<WorkerId> {
        let mut fitting = self.available.iter().filter(|(worker, available)| {
            self.workers[*worker].accepting && size.fits_in(available)
        });
        let chosen = if self.prefers_emptiest {
            fitting.max_by_key(|(_, available)| available.cpu)
        } else {
            fitting.next()
        };
        chosen.map(|(worker, _)| worker.clone())
    }
}

impl TaskDecider for BaselineDecider {
    fn set_policy(&mut self, _policy: SchedPolicy) {}

    fn set_worker(&mut self, view: WorkerView) {
        self.available.entry(view.worker.clone()).or_insert(view.capacity);
        self.workers.insert(view.worker.clone(), view);
    }

    fn enqueue(&mut self, _now: Duration, task: WaitingTask) {
        self.count += 1;
        let key = (Reverse(task.priority), self.count);
        self.arrivals.insert(task.task.clone(), key);
        self.waiting.insert(key, task);
    }

    fn withdraw(&mut self, task: &TaskId) {
        if let Some(key) = self.arrivals.swap_remove(task) {
            self.waiting.remove(&key);
        }
        if let Some((worker, size)) = self.proposed.swap_remove(task) {
            self.unreserve(&worker, &size);
        }
    }

    fn record_reservation(&mut self, _now: Duration, reservation: ReservedTask) {
        let id = reservation.waiting.task.clone();
        self.withdraw(&id);
        if !self.reservations.contains_key(&id) {
            self.reserve(&reservation.worker.clone(), &reservation.reserved);
        }
        self.reservations.insert(id, reservation);
    }

    fn end(&mut self, _now: Duration, task: &TaskId, _attempt: AttemptNumber, _end: AttemptEnd) {
        if let Some(reservation) = self.reservations.swap_remove(task) {
            self.unreserve(&reservation.worker, &reservation.reserved);
        }
    }

    fn record_sample(&mut self, _now: Duration, _sample: &WorkerSample) {}

    fn decide(&mut self, _now: Duration) -> Vec<SchedDecision> {
        let mut decisions = Vec::new();
        let waiting: Vec<WaitingTask> = self.waiting.values().take(256).cloned().collect();
        for task in waiting {
            if self.proposed.contains_key(&task.task) {
                continue;
            }
            let Some(worker) = self.choose(&task.declared) else {
                continue;
            };
            self.reserve(&worker, &task.declared);
            self.proposed.insert(task.task.clone(), (worker.clone(), task.declared));
            decisions.push(SchedDecision::Place {
                task: task.task,
                worker,
                reserve: task.declared,
                reason: PlacementReason {
                    candidates: 0,
                    cost: 0.0,
                    service_slowdown_percent: 0.0,
                    corrected: false,
                },
            });
        }
        decisions
    }
}
