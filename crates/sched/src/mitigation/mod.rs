//! Mitigates interference with services: batch tasks are throttled first, then evicted; other tasks
//! stay where they are. Throttles are relaxed again once services recover. Also evicts all tasks of
//! draining workers, and batch tasks from workers whose memory is overcommitted.

mod estimate;
mod throttle;

use {
    crate::{
        fleet::FleetModel,
        interface::{MitigationReason, SchedDecision, TaskPriority},
    },
    base::{ResourceKind, TaskId, WorkerId},
    estimate::{ServiceEstimate, WorkerEstimate},
    std::time::Duration,
};

/// The number of decisions after which one call checks no more workers.
const DECISIONS_PER_CALL: usize = 128;
/// How often a worker is checked while nothing changes on it.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// The longest time for which an eviction is credited with speeding up a service, as a multiple of
/// [`SchedPolicy::patience`](crate::interface::SchedPolicy::patience).
const MAX_CREDIT_PATIENCES: f64 = 20.0;

impl FleetModel {
    /// Checks the watched workers that are due.
    pub(crate) fn mitigate_workers(&mut self, now: Duration) -> Vec<SchedDecision> {
        let mut decisions = Vec::new();
        for worker in std::mem::take(&mut self.watched) {
            if decisions.len() >= DECISIONS_PER_CALL {
                self.watched.insert(worker);
                continue;
            }
            if self.workers.get(&worker).is_some_and(|state| now < state.check_at) {
                self.watched.insert(worker);
                continue;
            }
            let before = decisions.len();
            let keep_watching = self.mitigate_worker(now, &worker, &mut decisions);
            if keep_watching || decisions.len() > before {
                self.check_later(now, worker);
            } else {
                self.watched.swap_remove(&worker);
            }
        }
        decisions
    }

    fn check_later(&mut self, now: Duration, worker: WorkerId) {
        if let Some(state) = self.workers.get_mut(&worker) {
            state.check_at = now + CHECK_PERIOD;
        }
        self.watched.insert(worker);
    }

    /// Returns true when the worker has to be checked again although nothing changes on it.
    fn mitigate_worker(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let Some(state) = self.workers.get(worker) else {
            return false;
        };
        if !state.view.accepting {
            return self.drain_worker(now, worker, decisions);
        }
        let needs_mitigation = self.needs_mitigation(now, state);
        self.evict_for_memory(now, worker, decisions);
        if !needs_mitigation {
            self.set_insufficient_since(worker, None);
            return false;
        }
        let estimate = self.estimate(now, worker);
        match estimate.worst() {
            None => {
                estimate.has_throttles() && self.relax_throttles(now, worker, &estimate, decisions)
            }
            Some(worst) if worst.slowdown() > worst.threshold => {
                self.mitigate_service(now, worker, &estimate, worst, decisions);
                true
            }
            Some(_) => {
                self.set_insufficient_since(worker, None);
                estimate.has_throttles() && self.relax_throttles(now, worker, &estimate, decisions)
            }
        }
    }

    fn set_insufficient_since(&mut self, worker: &WorkerId, since: Option<Duration>) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.insufficient_since = since;
        }
    }

    /// Evicts the tasks of a draining worker. Returns true while any are left.
    fn drain_worker(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let tasks = self.workers.get(worker).map(|state| state.tasks.clone()).unwrap_or_default();
        for task in &tasks {
            if decisions.len() >= DECISIONS_PER_CALL {
                break;
            }
            decisions.extend(self.evict(now, task, MitigationReason::WorkerDraining));
        }
        !tasks.is_empty()
    }

    /// Evicts a batch task when the tasks reserve or use more memory than the worker has: the one
    /// that exceeds its reservation most. Memory can't be throttled.
    fn evict_for_memory(
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
        let entries = state.tasks.iter().filter_map(|task| self.reservations.get(task));
        let batch = entries.filter(|entry| {
            entry.task.waiting.priority == TaskPriority::Batch && !entry.is_leaving()
        });
        let worst = batch
            .max_by_key(|entry| entry.used.memory.saturating_sub(entry.task.reserved.memory))
            .map(|entry| entry.task.waiting.task.clone());
        if let Some(task) = worst {
            let reason = MitigationReason::WorkerFull { short_of: ResourceKind::Memory };
            decisions.extend(self.evict(now, &task, reason));
        }
    }

    fn mitigate_service(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        estimate: &WorkerEstimate,
        worst: &ServiceEstimate,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let remaining = self.throttle(now, estimate, worst, decisions);
        if remaining <= 0.0 {
            self.set_insufficient_since(worker, None);
            return;
        }
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let since = *state.insufficient_since.get_or_insert(now);
        if now.saturating_sub(since) < self.policy.patience {
            return;
        }
        if let Some(task) = self.eviction_candidate(now, estimate, worst, remaining) {
            let reason = MitigationReason::ServiceSlow {
                service: worst.service.clone(),
                slowdown_percent: worst.slowdown(),
            };
            decisions.extend(self.evict(now, &task, reason));
            self.set_insufficient_since(worker, Some(now));
        }
    }

    /// Returns the task that slows the service most, if moving it is worth an eviction.
    fn eviction_candidate(
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
        let entry = self.reservations.get(task)?;
        let patience = self.policy.patience.as_secs_f64().max(0.001);
        let ran = now.saturating_sub(entry.since);
        let credit = match self.corrections.run_time(&entry.task.waiting) {
            Some(expected) => expected.saturating_sub(ran).as_secs_f64() / patience,
            None => MAX_CREDIT_PATIENCES,
        };
        let gain = self.policy_of(&worst.service).tail_latency_weight
            * excess.min(effect)
            * credit.min(MAX_CREDIT_PATIENCES);
        (gain > self.policy.eviction_weight).then(|| task.clone())
    }
}
