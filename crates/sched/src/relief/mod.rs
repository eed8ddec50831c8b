//! Relief for services that suffer from their neighbours: batch work is throttled first, then
//! moved; latency-critical work is left where it is. Throttles are eased once services recover.

mod estimate;
mod throttle;

use {
    crate::{
        fleet::FleetModel,
        interface::{ReliefReason, SchedDecision, TaskPriority},
    },
    base::{ResourceKind, TaskId, WorkerId},
    estimate::{ServiceEstimate, WorkerEstimate},
    std::time::Duration,
};

/// The largest number of relief decisions that one call makes.
const RELIEF_PER_CALL: usize = 128;
/// How often a worker is looked after while nothing changes on it.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// The longest time, in patiences, for which an eviction is credited with its relief.
const LONGEST_CREDIT: f64 = 20.0;

impl FleetModel {
    /// Looks after the workers on which something has changed.
    pub(crate) fn relieve_workers(&mut self, now: Duration) -> Vec<SchedDecision> {
        let mut decisions = Vec::new();
        for worker in std::mem::take(&mut self.watched) {
            if decisions.len() >= RELIEF_PER_CALL {
                self.watched.insert(worker);
                continue;
            }
            if self.workers.get(&worker).is_some_and(|state| now < state.look_at) {
                self.watched.insert(worker);
                continue;
            }
            let before = decisions.len();
            let keep_watching = self.relieve_worker(now, &worker, &mut decisions);
            if keep_watching || decisions.len() > before {
                self.watch_later(now, worker);
            } else {
                self.watched.swap_remove(&worker);
            }
        }
        decisions
    }

    fn watch_later(&mut self, now: Duration, worker: WorkerId) {
        if let Some(state) = self.workers.get_mut(&worker) {
            state.look_at = now + LOOK_PERIOD;
        }
        self.watched.insert(worker);
    }

    /// True when the worker has to be looked at again although nothing changes on it.
    fn relieve_worker(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let Some(state) = self.workers.get(worker) else {
            return false;
        };
        if !state.view.accepting {
            return self.empty_worker(now, worker, decisions);
        }
        let needs_relief = self.needs_relief(now, state);
        self.relieve_memory(now, worker, decisions);
        if !needs_relief {
            self.set_over_since(worker, None);
            return false;
        }
        let estimate = self.estimate(now, worker);
        match estimate.worst() {
            None => estimate.has_throttles() && self.ease(now, worker, &estimate, decisions),
            Some(worst) if worst.slowdown() > worst.relief => {
                self.relieve_service(now, worker, &estimate, worst, decisions);
                true
            }
            Some(_) => {
                self.set_over_since(worker, None);
                estimate.has_throttles() && self.ease(now, worker, &estimate, decisions)
            }
        }
    }

    fn set_over_since(&mut self, worker: &WorkerId, since: Option<Duration>) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.over_since = since;
        }
    }

    /// Moves the tasks of a worker that is leaving.
    fn empty_worker(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let tasks = self.workers.get(worker).map(|state| state.tasks.clone()).unwrap_or_default();
        for task in &tasks {
            if decisions.len() >= RELIEF_PER_CALL {
                break;
            }
            decisions.extend(self.evict(now, task, ReliefReason::WorkerDraining));
        }
        !tasks.is_empty()
    }

    /// Memory can't be throttled: when tasks use more than there is, the one that exceeds its
    /// reservation most is moved.
    fn relieve_memory(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let staying = state.footprint.saturating_sub(&state.leaving);
        if staying.memory <= state.view.capacity.memory {
            return;
        }
        let entries = state.tasks.iter().filter_map(|task| self.held.get(task));
        let batch = entries.filter(|entry| {
            entry.task.waiting.priority == TaskPriority::Batch && !entry.is_leaving()
        });
        let worst = batch
            .max_by_key(|entry| entry.used.memory.saturating_sub(entry.task.reserved.memory))
            .map(|entry| entry.task.waiting.task.clone());
        if let Some(task) = worst {
            let reason = ReliefReason::WorkerFull { short_of: ResourceKind::Memory };
            decisions.extend(self.evict(now, &task, reason));
        }
    }

    fn relieve_service(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        estimate: &WorkerEstimate,
        worst: &ServiceEstimate,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let remaining = self.throttle(now, estimate, worst, decisions);
        if remaining <= 0.0 {
            self.set_over_since(worker, None);
            return;
        }
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let since = *state.over_since.get_or_insert(now);
        if now.saturating_sub(since) < self.policy.patience {
            return;
        }
        if let Some(task) = self.worth_moving(now, estimate, worst, remaining) {
            let reason = ReliefReason::ServiceSlow {
                service: worst.service.clone(),
                slowdown_percent: worst.slowdown(),
            };
            decisions.extend(self.evict(now, &task, reason));
            self.set_over_since(worker, Some(now));
        }
    }

    /// The task that slows the service most, when moving it is worth its eviction.
    fn worth_moving(
        &self,
        now: Duration,
        estimate: &WorkerEstimate,
        worst: &ServiceEstimate,
        excess: f64,
    ) -> Option<TaskId> {
        let (index, effect) = worst
            .effects
            .iter()
            .enumerate()
            .map(|(index, effect)| (index, effect * estimate.tasks[index].level))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        let task = &estimate.tasks[index].task;
        let entry = self.held.get(task)?;
        let patience = self.policy.patience.as_secs_f64().max(0.001);
        let ran = now.saturating_sub(entry.since);
        let credit = match self.corrections.run_time(&entry.task.waiting) {
            Some(expected) => expected.saturating_sub(ran).as_secs_f64() / patience,
            None => LONGEST_CREDIT,
        };
        let gain = self.policy_of(&worst.service).tail_latency_weight
            * excess.min(effect)
            * credit.min(LONGEST_CREDIT);
        (gain > self.policy.eviction_weight).then(|| task.clone())
    }
}
