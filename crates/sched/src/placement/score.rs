//! What a placement is predicted to cost, in points for as long as the task runs.

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

/// The speed that a waiting batch task loses, in percent.
const WAITING_LOSS_PERCENT: f64 = 100.0;
/// The time after which a waiting batch task is worth twice as much.
const AGEING: Duration = Duration::from_secs(600);
/// Points for taking a worker with free accelerators that the task does not need.
const ACCELERATOR_WASTE: f64 = 5.0;
/// Points for leaving a worker entirely free, which keeps room for large tasks together.
const FRAGMENT_COST: f64 = 0.5;
/// A task that slows a service by fewer percent is not kept away from it.
const HARMLESS_PERCENT: f64 = 1.0;
/// The level to which a worker's batch tasks may have to be throttled for another to join them.
const LEAST_LEVEL: f64 = 0.9;
/// The part of the tolerated slowdown that counts as none.
const SMALL_PART: f64 = 0.25;
/// The part of all workers on which a class may be tried beside a service before its effect has
/// been measured.
const TRIAL_PART: usize = 8;

/// The predicted cost of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PlacementScore {
    pub(super) cost: f64,
    pub(super) service_slowdown_percent: f64,
}

/// What is worked out once for all workers.
#[derive(Debug)]
pub(super) struct ClassPlan {
    class: ClassIndex,
    is_batch: bool,
    highest_cost: f64,
    /// True when the class runs on so few workers that it may be tried on another.
    may_try: OnceCell<bool>,
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
            may_try: OnceCell::new(),
        }
    }

    fn may_try(&self, class: ClassIndex) -> bool {
        let hosts = self
            .workers
            .iter()
            .filter(|state| !state.services.is_empty() && state.planned.holds(class))
            .count();
        hosts < (self.workers.len() / TRIAL_PART).max(1)
    }

    /// The cost of a worker with room; `None` when a batch task would slow a service too much.
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
        let room = state.room();
        if request.reserve.accelerators.0 == 0 && room.accelerators.0 > 0 {
            cost += ACCELERATOR_WASTE;
        }
        cost += FRAGMENT_COST * room.cpu.0 as f64 / capacity.cpu.0.max(1) as f64;
        Some(PlacementScore { cost, service_slowdown_percent: worst })
    }

    /// The points for the slowdown of the worker's services, and the worst one's in percent.
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
            if plan.is_batch && !self.is_tried(now, state, service.class, plan) {
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
            let felt = forecast.added / self.hosts_of(&service.service);
            cost += policy.tail_latency_weight * felt;
            worst = worst.max(forecast.slowdown());
        }
        Some((cost, worst))
    }

    /// The number of workers that share the service's requests: the slowdown of one of them is felt
    /// by that part of the requests.
    fn hosts_of(&self, service: &ServiceName) -> f64 {
        f64::from(self.service_hosts.get(service).copied().unwrap_or(1).max(1))
    }

    /// A class whose effect on a service is unknown runs beside it in few places at first.
    fn is_tried(
        &self,
        now: Duration,
        state: &WorkerState,
        victim: ClassIndex,
        plan: &ClassPlan,
    ) -> bool {
        if self.pairs.forgets_all() || self.pairs.is_known(now, victim, plan.class) {
            return true;
        }
        let may_try = *plan.may_try.get_or_init(|| self.may_try(plan.class));
        may_try && !state.planned.holds(plan.class)
    }

    /// The speed, in percent of one task, that the task and its neighbours are predicted to lose.
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

/// What a service is predicted to suffer on a worker, in percent.
#[derive(Debug, Clone, Copy)]
struct ServiceForecast {
    unexplained: f64,
    /// Without the new task, as if nothing were throttled.
    caused: f64,
    /// By the new task.
    added: f64,
}

impl ServiceForecast {
    fn slowdown(&self) -> f64 {
        self.unexplained + self.caused + self.added
    }
}

/// A task that would have to run throttled only keeps room from others, unless no other task
/// slows the service: then no place would be better.
fn admits(policy: &SchedPolicy, forecast: &ServiceForecast) -> bool {
    if forecast.added < HARMLESS_PERCENT {
        return true;
    }
    let relief = f64::from(policy.relief_above_percent);
    let floor = f64::from(policy.throttle_floor_percent) / 100.0;
    let spare = relief - forecast.unexplained;
    let level = spare / (forecast.caused + forecast.added);
    let has_worker_alone = forecast.caused < relief * SMALL_PART;
    level >= if has_worker_alone { floor } else { LEAST_LEVEL }
}

/// The speed that is lost, in percent, by a task that takes so many percent longer.
fn lost_speed(slowdown_percent: f64) -> f64 {
    100.0 - 100.0 / (1.0 + slowdown_percent.max(0.0) / 100.0)
}
