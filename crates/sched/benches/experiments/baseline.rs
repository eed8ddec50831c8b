//! The deciders that are compared: the model, its variants, and two plain baselines.

use {
    base::{AttemptNumber, ResourceVector, TaskId, WorkerId},
    indexmap::IndexMap,
    sched::{
        AttemptEnd, FleetModel, HeldTask, PlacementReason, SchedDecision, SchedPolicy,
        TaskPriority, WaitingTask, WorkerSample, WorkerView,
    },
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// How long the variant that only evicts waits before it does.
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
            Self::FirstFit => Box::new(PlainDecider::new(false)),
            Self::LeastLoaded => Box::new(PlainDecider::new(true)),
            _ => Box::new(FleetModel::new(self.policy(policy), seed)),
        }
    }
}

/// What all deciders are told, in the same way.
pub trait TaskDecider {
    fn set_policy(&mut self, policy: SchedPolicy);
    fn set_worker(&mut self, view: WorkerView);
    fn enqueue(&mut self, now: Duration, task: WaitingTask);
    fn withdraw(&mut self, task: &TaskId);
    fn hold(&mut self, now: Duration, held: HeldTask);
    fn end(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber, end: AttemptEnd);
    fn sample(&mut self, now: Duration, sample: &WorkerSample);
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

    fn hold(&mut self, now: Duration, held: HeldTask) {
        Self::hold(self, now, held);
    }

    fn end(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber, end: AttemptEnd) {
        self.outcome(now, task, attempt, end);
        self.release(now, task, attempt);
    }

    fn sample(&mut self, now: Duration, sample: &WorkerSample) {
        Self::sample(self, now, sample);
    }

    fn decide(&mut self, now: Duration) -> Vec<SchedDecision> {
        Self::decide(self, now)
    }
}

/// Places by priority and age on the first, or on the emptiest, worker with room. It trusts
/// declarations and takes no notice of measurements and failures.
struct PlainDecider {
    spread_out: bool,
    workers: IndexMap<WorkerId, WorkerView>,
    room: IndexMap<WorkerId, ResourceVector>,
    held: IndexMap<TaskId, HeldTask>,
    waiting: BTreeMap<(Reverse<TaskPriority>, u64), WaitingTask>,
    arrivals: IndexMap<TaskId, (Reverse<TaskPriority>, u64)>,
    proposed: IndexMap<TaskId, (WorkerId, ResourceVector)>,
    count: u64,
}

impl PlainDecider {
    fn new(spread_out: bool) -> Self {
        Self {
            spread_out,
            workers: IndexMap::new(),
            room: IndexMap::new(),
            held: IndexMap::new(),
            waiting: BTreeMap::new(),
            arrivals: IndexMap::new(),
            proposed: IndexMap::new(),
            count: 0,
        }
    }

    fn take(&mut self, worker: &WorkerId, size: &ResourceVector) {
        if let Some(room) = self.room.get_mut(worker) {
            *room = room.saturating_sub(size);
        }
    }

    fn give(&mut self, worker: &WorkerId, size: &ResourceVector) {
        if let Some(room) = self.room.get_mut(worker) {
            *room += *size;
        }
    }

    fn choose(&self, size: &ResourceVector) -> Option<WorkerId> {
        let mut fitting = self
            .room
            .iter()
            .filter(|(worker, room)| self.workers[*worker].accepting && size.fits_in(room));
        let chosen =
            if self.spread_out { fitting.max_by_key(|(_, room)| room.cpu) } else { fitting.next() };
        chosen.map(|(worker, _)| worker.clone())
    }
}

impl TaskDecider for PlainDecider {
    fn set_policy(&mut self, _policy: SchedPolicy) {}

    fn set_worker(&mut self, view: WorkerView) {
        self.room.entry(view.worker.clone()).or_insert(view.capacity);
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
            self.give(&worker, &size);
        }
    }

    fn hold(&mut self, _now: Duration, held: HeldTask) {
        let id = held.waiting.task.clone();
        self.withdraw(&id);
        if !self.held.contains_key(&id) {
            self.take(&held.worker.clone(), &held.reserved);
        }
        self.held.insert(id, held);
    }

    fn end(&mut self, _now: Duration, task: &TaskId, _attempt: AttemptNumber, _end: AttemptEnd) {
        if let Some(held) = self.held.swap_remove(task) {
            self.give(&held.worker, &held.reserved);
        }
    }

    fn sample(&mut self, _now: Duration, _sample: &WorkerSample) {}

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
            self.take(&worker, &task.declared);
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
