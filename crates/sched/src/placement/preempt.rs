//! Frees capacity for an urgent or latency-critical task, or for a batch task whose team is within
//! its quota, with the fewest and cheapest evictions. A batch task is checkpointed before it stops,
//! and the freed capacity is claimed for the task that needed it.

use {
    super::{CallBudget, PlacementRequest},
    crate::{
        fleet::FleetModel,
        interface::{MitigationReason, SchedDecision, TaskPriority},
        proposals::{CapacityClaim, CLAIM_TIMEOUT},
        reservations::ReservationEntry,
        workers::WorkerState,
    },
    base::{ResourceVector, TaskId, WorkerId},
    std::time::Duration,
};

/// The largest number of evictions that one call proposes to free capacity or quota.
pub(super) const EVICTIONS_PER_CALL: usize = 64;
/// The largest number of tasks for which one call searches for victims.
pub(super) const PLANS_PER_CALL: usize = 8;
/// How long an eviction may wait for its commit before it is proposed again.
pub(crate) const EVICTION_TIMEOUT: Duration = Duration::from_secs(3);
/// The remaining run time below which an eviction costs an additional base price, since the task is
/// about to free its capacity anyway.
const MIN_REMAINING_TIME: Duration = Duration::from_secs(2);
/// The least base price of an eviction, in points, so that young tasks, which lose the least work,
/// are preferred even when evictions cost nothing.
const MIN_EVICTION_PRICE: f64 = 1.0;

/// Whose batch tasks may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VictimRule {
    /// Those of any team.
    AnyBatch,
    /// Those of other teams that exceed their quota.
    Borrowed,
}

#[derive(Debug)]
struct EvictionPlan {
    worker: WorkerId,
    victims: Vec<TaskId>,
    cost: f64,
}

impl FleetModel {
    /// Proposes evictions that free capacity for the request, and claims that capacity.
    pub(super) fn free_capacity(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        rule: VictimRule,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let task = &request.waiting.task;
        let no_victims = rule == VictimRule::Borrowed && !self.quotas.has_borrowers();
        if no_victims || budget.eviction_plans == 0 || self.has_viable_claim(request) {
            return;
        }
        budget.eviction_plans -= 1;
        let plans = self
            .workers
            .accepting()
            .filter_map(|state| self.eviction_plan(now, state, request, rule));
        let Some(plan) = plans.min_by(|a, b| a.cost.total_cmp(&b.cost)) else {
            return;
        };
        if plan.victims.len() > budget.evictions {
            return;
        }
        budget.evictions -= plan.victims.len();
        let claim = CapacityClaim {
            worker: plan.worker,
            size: request.reserve,
            priority: request.waiting.priority,
            expires: now + CLAIM_TIMEOUT,
        };
        self.claims.insert(task.clone(), claim);
        for victim in plan.victims {
            let reason = match rule {
                VictimRule::Borrowed => {
                    MitigationReason::Reclaimed { by: request.waiting.team.clone() }
                }
                VictimRule::AnyBatch => MitigationReason::Preempted { by: task.clone() },
            };
            decisions.extend(self.evict(now, &victim, reason));
        }
    }

    /// Returns true while the claim of the task can still be met: its worker will have enough
    /// capacity once all leaving tasks are gone.
    fn has_viable_claim(&self, request: &PlacementRequest) -> bool {
        let waiting = &request.waiting;
        self.claims.get(&waiting.task).is_some_and(|claim| {
            self.workers.get(&claim.worker).is_some_and(|state| {
                let claimed =
                    self.claims.claimed_by_others(&claim.worker, &waiting.task, waiting.priority);
                state.view.accepting
                    && request
                        .reserve
                        .fits_in(&state.available_after_exits().saturating_sub(&claimed))
            })
        })
    }

    fn eviction_plan(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        rule: VictimRule,
    ) -> Option<EvictionPlan> {
        let waiting = &request.waiting;
        self.eligibility_for(now, state, waiting)?;
        if !self.spread.allows(&waiting.task.job, &waiting.spread, &state.view, &self.workers) {
            return None;
        }
        let worker = &state.view.worker;
        let claimed = self.claims.claimed_by_others(worker, &waiting.task, waiting.priority);
        let mut available = state.available_after_exits().saturating_sub(&claimed);
        let mut victims = Vec::new();
        let mut cost = 0.0;
        while !request.reserve.fits_in(&available) {
            let (victim, price) =
                self.choose_victim(now, state, request, rule, &available, &victims)?;
            available += victim.footprint();
            cost += price;
            victims.push(victim.task.waiting.task.clone());
        }
        let growth = self.policy.tail_latency_weight * self.freed_share(state, &victims);
        Some(EvictionPlan { worker: worker.clone(), victims, cost: cost - growth })
    }

    /// Returns the cheapest task that frees enough on its own, or else the one that frees the most.
    fn choose_victim(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        rule: VictimRule,
        available: &ResourceVector,
        taken: &[TaskId],
    ) -> Option<(&ReservationEntry, f64)> {
        let missing = request.reserve.saturating_sub(available);
        let entries = state.tasks.iter().filter_map(|task| self.reservations.get(task));
        let allowed = entries.filter(|entry| {
            !taken.contains(&entry.task.waiting.task) && self.may_evict(entry, request, rule)
        });
        allowed
            .map(|entry| (entry, self.price_eviction(now, entry)))
            .filter(|(entry, _)| reduces_shortage(&entry.footprint(), &missing))
            .min_by(|(a, price), (b, other)| {
                let (a, b) = (a.footprint(), b.footprint());
                let enough = missing.fits_in(&b).cmp(&missing.fits_in(&a));
                let smaller = price.total_cmp(other).then(a.cpu.cmp(&b.cpu));
                let larger = b.cpu.cmp(&a.cpu).then(b.memory.cmp(&a.memory));
                enough.then(if missing.fits_in(&a) { smaller } else { larger })
            })
    }

    fn may_evict(
        &self,
        entry: &ReservationEntry,
        request: &PlacementRequest,
        rule: VictimRule,
    ) -> bool {
        let victim = &entry.task.waiting;
        if victim.priority != TaskPriority::Batch || entry.is_leaving() {
            return false;
        }
        match rule {
            VictimRule::AnyBatch => true,
            VictimRule::Borrowed => {
                victim.team != request.waiting.team && self.quotas.borrows(&victim.team)
            }
        }
    }

    /// Returns the points for evicting a task: more the longer it has run, and the most when it is
    /// about to end.
    fn price_eviction(&self, now: Duration, entry: &ReservationEntry) -> f64 {
        let ran = now.saturating_sub(entry.since);
        let expected = self.corrections.run_time(&entry.task.waiting);
        let part = expected.map_or(0.5, |expected| {
            (ran.as_secs_f64() / expected.as_secs_f64().max(0.001)).min(1.0)
        });
        let ending =
            expected.is_some_and(|expected| expected > ran && expected - ran < MIN_REMAINING_TIME);
        let base = self.policy.eviction_weight.max(MIN_EVICTION_PRICE);
        base * (1.0 + part) + if ending { base } else { 0.0 }
    }

    /// Returns the share of the worker's processors that evicting the victims frees, which speeds
    /// up its services.
    fn freed_share(&self, state: &WorkerState, victims: &[TaskId]) -> f64 {
        if state.services.is_empty() {
            return 0.0;
        }
        let entries = victims.iter().filter_map(|victim| self.reservations.get(victim));
        entries.map(|entry| entry.contribution().share.active_part(state.view.capacity.cpu)).sum()
    }

    /// Proposes to evict a task, unless its eviction is already proposed.
    pub(crate) fn evict(
        &mut self,
        now: Duration,
        task: &TaskId,
        reason: MitigationReason,
    ) -> Option<SchedDecision> {
        let entry = self.reservations.get(task).filter(|entry| !entry.is_leaving())?;
        let attempt = entry.task.attempt;
        self.change_reservation(now, task, |entry| {
            entry.eviction_retry_at = Some(now + EVICTION_TIMEOUT)
        });
        self.evicting.insert(task.clone());
        Some(SchedDecision::Evict { task: task.clone(), attempt, reason })
    }
}

/// Returns true when the footprint contains some of the missing resources.
fn reduces_shortage(footprint: &ResourceVector, missing: &ResourceVector) -> bool {
    (missing.cpu.0 > 0 && footprint.cpu.0 > 0)
        || (missing.memory.0 > 0 && footprint.memory.0 > 0)
        || (missing.accelerators.0 > 0 && footprint.accelerators.0 > 0)
}
