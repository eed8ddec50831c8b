//! Estimates how much the tasks of one worker slow its services now.

use {
    crate::{
        fleet::FleetModel, interface::TaskPriority, interference::PairVictim, workers::WorkerState,
    },
    base::{AttemptNumber, ServiceName, TaskId, WorkerId},
    std::time::Duration,
};

/// A batch task that may be throttled.
#[derive(Debug)]
pub(super) struct BatchEstimate {
    pub(super) task: TaskId,
    pub(super) attempt: AttemptNumber,
    /// The throttle level: the fraction of its reservation that the task may use now, from 0 to 1.
    pub(super) level: f64,
}

/// A service and the effect of each batch task on it.
#[derive(Debug)]
pub(super) struct ServiceEstimate {
    pub(super) service: ServiceName,
    /// The slowdown above which batch tasks are throttled or evicted, in percent.
    pub(super) threshold: f64,
    /// The slowdown that no throttle removes, in percent: the unexplained part and that from other
    /// priorities and leaving tasks.
    pub(super) fixed: f64,
    /// The slowdown that each task would cause without a throttle, in percent.
    pub(super) effects: Vec<f64>,
    /// The slowdown that the tasks cause at their present levels, in percent.
    pub(super) caused: f64,
}

impl ServiceEstimate {
    pub(super) fn slowdown(&self) -> f64 {
        self.fixed + self.caused
    }

    fn severity(&self) -> f64 {
        self.slowdown() / self.threshold.max(1.0)
    }
}

/// The services and batch tasks of one worker.
#[derive(Debug)]
pub(super) struct WorkerEstimate {
    pub(super) tasks: Vec<BatchEstimate>,
    pub(super) services: Vec<ServiceEstimate>,
}

impl WorkerEstimate {
    /// Returns the service that exceeds its tolerated slowdown most, or comes closest to it.
    pub(super) fn worst(&self) -> Option<&ServiceEstimate> {
        self.services.iter().max_by(|a, b| a.severity().total_cmp(&b.severity()))
    }

    pub(super) fn has_throttles(&self) -> bool {
        self.tasks.iter().any(|task| task.level < 1.0)
    }
}

impl FleetModel {
    /// Returns true when a service of the worker is too slow, or when throttles might be relaxed.
    /// Costs far less than an estimate of every task.
    pub(super) fn needs_mitigation(&self, now: Duration, state: &WorkerState) -> bool {
        let cpu = state.view.capacity.cpu;
        state.throttled > 0
            || state.services.iter().any(|service| {
                let victim = PairVictim { class: service.class, level: service.level };
                let others = state.shares.iter().filter(|share| share.class != service.class);
                let parts = others.map(|share| (share.class, share.active_part(cpu)));
                let caused = self.pairs.forecast(now, victim, parts).mean;
                caused + service.unexplained(now) > self.slowdown_threshold(&service.service)
            })
    }

    fn slowdown_threshold(&self, service: &ServiceName) -> f64 {
        f64::from(self.policy_of(service).relief_above_percent)
    }

    pub(super) fn estimate(&self, now: Duration, worker: &WorkerId) -> WorkerEstimate {
        let mut estimate = WorkerEstimate { tasks: Vec::new(), services: Vec::new() };
        let Some(state) = self.workers.get(worker) else {
            return estimate;
        };
        let cpu = state.view.capacity.cpu;
        let mut classes = Vec::new();
        let mut fixed = Vec::new();
        for entry in state.tasks.iter().filter_map(|task| self.reservations.get(task)) {
            let waiting = &entry.task.waiting;
            let level = f64::from(entry.throttle) / 100.0;
            if waiting.priority != TaskPriority::Batch || entry.is_leaving() {
                fixed.push((entry.class, entry.contribution().share.active_part(cpu)));
                continue;
            }
            classes.push((entry.class, entry.contribution().share.demand_part(cpu)));
            let (task, attempt) = (waiting.task.clone(), entry.task.attempt);
            estimate.tasks.push(BatchEstimate { task, attempt, level });
        }
        for service in &state.services {
            let victim = PairVictim { class: service.class, level: service.level };
            let others = fixed.iter().copied().filter(|(class, _)| *class != service.class);
            let effects: Vec<f64> = classes
                .iter()
                .map(|(class, share)| share * self.pairs.unit_effect(now, victim, *class))
                .collect();
            let caused =
                effects.iter().zip(&estimate.tasks).map(|(effect, task)| effect * task.level);
            estimate.services.push(ServiceEstimate {
                service: service.service.clone(),
                threshold: self.slowdown_threshold(&service.service),
                fixed: self.pairs.forecast(now, victim, others).mean + service.unexplained(now),
                caused: caused.sum(),
                effects,
            });
        }
        estimate
    }
}
