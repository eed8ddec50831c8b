//! Predicts the cost of a placement in points, as a rate that applies while the task runs.

use {
    super::PlacementRequest,
    crate::{
        classes::ClassIndex,
        fleet::FleetModel,
        interface::{SchedPolicy, TaskPriority},
        interference::{LoadLevel, PairVictim},
        workers::WorkerState,
    },
    base::ServiceName,
    std::{cell::OnceCell, time::Duration},
};

/// The speed that a batch task loses while it waits, in percent.
const WAITING_LOSS_PERCENT: f64 = 100.0;
/// The wait after which placing a batch task is worth twice as much as at first.
const AGEING: Duration = Duration::from_secs(600);
/// Points for occupying a worker with free accelerators that the task does not need.
const ACCELERATOR_WASTE: f64 = 5.0;
/// Points for using an empty worker, proportionally less for a fuller one. Prefers fuller workers,
/// so that whole workers stay free for large tasks.
const FRAGMENT_COST: f64 = 0.5;
/// The slowdown of a service, in percent, below which a task is admitted beside it in any case.
const HARMLESS_SLOWDOWN_PERCENT: f64 = 1.0;
/// The lowest throttle level that may become necessary when a batch task joins a worker where other
/// tasks already slow a service.
const MIN_LEVEL: f64 = 0.9;
/// The new task counts as the only cause of a slowdown when the other tasks cause less than this
/// fraction of the tolerated slowdown.
const NEGLIGIBLE_PART: f64 = 0.25;
/// Before its effect on a service has been measured, a class may run beside services on at most one
/// worker in this many, but always on one.
const TRIAL_DIVISOR: usize = 8;

/// The predicted cost of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PlacementScore {
    pub(super) cost: f64,
    pub(super) service_slowdown_percent: f64,
}

/// The values of a request that are the same for all workers.
#[derive(Debug)]
pub(super) struct ClassPlan {
    class: ClassIndex,
    is_batch: bool,
    highest_cost: f64,
    /// True when the class runs on so few workers with services that it may be tried on another
    /// one. Computed on first use.
    allows_trial: OnceCell<bool>,
}

impl FleetModel {
    pub(super) fn class_plan(&mut self, now: Duration, request: &PlacementRequest) -> ClassPlan {
        let class = self.classes.index(&request.waiting.class);
        let waited = now.saturating_sub(request.since).as_secs_f64() / AGEING.as_secs_f64();
        let worth = self.policy.throughput_weight * WAITING_LOSS_PERCENT;
        ClassPlan {
            class,
            is_batch: request.waiting.priority == TaskPriority::Batch,
            highest_cost: worth * (1.0 + waited),
            allows_trial: OnceCell::new(),
        }
    }

    fn allows_trial(&self, class: ClassIndex) -> bool {
        let hosts = self
            .workers
            .iter()
            .filter(|state| !state.services.is_empty() && state.planned.holds(class))
            .count();
        hosts < (self.workers.len() / TRIAL_DIVISOR).max(1)
    }

    /// Returns the cost of a worker with enough capacity, or `None` when a batch task would slow a
    /// service too much or cost more than it costs to wait.
    pub(super) fn score(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        plan: &ClassPlan,
    ) -> Option<PlacementScore> {
        let capacity = &state.view.capacity;
        let share = request.reserve.cpu.0 as f64 / capacity.cpu.0.max(1) as f64;
        let (growth_cost, worst) = self.service_growth(now, state, plan, share)?;
        let loss = self.speed_loss(now, state, plan, share);
        let mut cost = growth_cost + self.policy.throughput_weight * loss;
        if plan.is_batch && cost > plan.highest_cost {
            return None;
        }
        let available = state.available();
        if request.reserve.accelerators.0 == 0 && available.accelerators.0 > 0 {
            cost += ACCELERATOR_WASTE;
        }
        cost += FRAGMENT_COST * available.cpu.0 as f64 / capacity.cpu.0.max(1) as f64;
        Some(PlacementScore { cost, service_slowdown_percent: worst })
    }

    /// Returns the points for the slowdown of the worker's services, and the slowdown of the worst
    /// one in percent.
    fn service_growth(
        &self,
        now: Duration,
        state: &WorkerState,
        plan: &ClassPlan,
        share: f64,
    ) -> Option<(f64, f64)> {
        let cpu = state.view.capacity.cpu;
        let (mut cost, mut worst) = (0.0, 0.0_f64);
        for service in state.services.iter().filter(|service| service.class != plan.class) {
            if plan.is_batch && !self.allows_pairing(now, state, service.class, plan) {
                return None;
            }
            let victim = PairVictim { class: service.class, level: service.level };
            let others = state.planned.iter().filter(|entry| entry.class != service.class);
            let parts = others.map(|entry| (entry.class, entry.demand_part(cpu)));
            let before = self.pairs.forecast(now, victim, parts);
            let after = self.pairs.with_neighbour(now, victim, before, (plan.class, share));
            let forecast = ServiceForecast {
                unexplained: service.unexplained(now),
                caused: before.mean,
                added: after.pessimistic() - before.pessimistic(),
            };
            let policy = self.policy_of(&service.service);
            if plan.is_batch && !admits(policy, &forecast) {
                return None;
            }
            let diluted = forecast.added / self.hosts_of(&service.service);
            cost += policy.tail_latency_weight * diluted;
            worst = worst.max(forecast.slowdown());
        }
        Some((cost, worst))
    }

    /// Returns the number of workers that share the service's requests. The slowdown on one worker
    /// affects only its part of the requests.
    fn hosts_of(&self, service: &ServiceName) -> f64 {
        f64::from(self.service_hosts.get(service).copied().unwrap_or(1).max(1))
    }

    /// Returns true when the class may run beside the victim. A class whose effect is unknown runs
    /// beside services on few workers at first.
    fn allows_pairing(
        &self,
        now: Duration,
        state: &WorkerState,
        victim: ClassIndex,
        plan: &ClassPlan,
    ) -> bool {
        if self.pairs.retains_nothing() || self.pairs.is_known(now, victim, plan.class) {
            return true;
        }
        let allows_trial = *plan.allows_trial.get_or_init(|| self.allows_trial(plan.class));
        allows_trial && !state.planned.holds(plan.class)
    }

    /// Returns the speed that the new task and its neighbours are predicted to lose, summed over
    /// the tasks, in percent of one task's full speed.
    fn speed_loss(&self, now: Duration, state: &WorkerState, plan: &ClassPlan, share: f64) -> f64 {
        let own = PairVictim { class: plan.class, level: LoadLevel::default() };
        let cpu = state.view.capacity.cpu;
        let all = state.planned.iter().map(|entry| (entry.class, entry.active_part(cpu)));
        let mut loss = lost_speed(self.pairs.forecast(now, own, all).mean);
        for entry in state.planned.iter() {
            if state.services.iter().any(|service| service.class == entry.class) {
                continue;
            }
            let victim = PairVictim { class: entry.class, level: LoadLevel::default() };
            let slowdown = share * self.pairs.unit_effect(now, victim, plan.class);
            loss += f64::from(entry.tasks) * lost_speed(slowdown);
        }
        loss
    }
}

/// The predicted slowdown of a service on a worker, in percent.
#[derive(Debug, Clone, Copy)]
struct ServiceForecast {
    unexplained: f64,
    /// The slowdown without the new task, as if nothing were throttled.
    caused: f64,
    /// The slowdown that the new task adds, estimated pessimistically.
    added: f64,
}

impl ServiceForecast {
    fn slowdown(&self) -> f64 {
        self.unexplained + self.caused + self.added
    }
}

/// Returns true when the service can bear the task. A task that would have to run throttled only
/// takes capacity from others, so it is rejected, unless no other task slows the service: then no
/// worker would be better.
fn admits(policy: &SchedPolicy, forecast: &ServiceForecast) -> bool {
    if forecast.added < HARMLESS_SLOWDOWN_PERCENT {
        return true;
    }
    let threshold = f64::from(policy.relief_above_percent);
    let floor = f64::from(policy.throttle_floor_percent) / 100.0;
    let spare = threshold - forecast.unexplained;
    let level = spare / (forecast.caused + forecast.added);
    let is_sole_cause = forecast.caused < threshold * NEGLIGIBLE_PART;
    level >= if is_sole_cause { floor } else { MIN_LEVEL }
}

/// Returns the speed that a task loses, in percent, when it takes `slowdown_percent` longer.
fn lost_speed(slowdown_percent: f64) -> f64 {
    100.0 - 100.0 / (1.0 + slowdown_percent.max(0.0) / 100.0)
}
