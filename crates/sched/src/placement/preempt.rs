//! Making room for a task that may not wait, with the fewest and cheapest evictions. A batch task
//! is checkpointed before it stops, and the freed room is kept for the task that needed it.

use {
    super::{CallBudget, PlacementRequest},
    crate::{
        fleet::FleetModel,
        held::HeldEntry,
        interface::{ReliefReason, SchedDecision, TaskPriority},
        proposals::{RoomClaim, CLAIM_TIMEOUT},
        workers::WorkerState,
    },
    base::{ResourceVector, TaskId, WorkerId},
    std::time::Duration,
};

/// The largest number of evictions that one call proposes.
pub(super) const EVICTIONS_PER_CALL: usize = 64;
/// The largest number of tasks for which one call works out whom to evict.
pub(super) const PLANS_PER_CALL: usize = 8;
/// How long an eviction is given to be committed before it is proposed again.
pub(crate) const EVICTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Below this remaining run time a task is cheaper to wait for than to evict.
const ALMOST_DONE: Duration = Duration::from_secs(2);
/// Points of an eviction that its freshness can save: young tasks lose the least.
const AGE_COST: f64 = 1.0;

/// Whose batch tasks may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VictimRule {
    /// Anyone's.
    AnyBatch,
    /// Those of teams that hold more than their quota.
    Borrowed,
}

#[derive(Debug)]
struct EvictionPlan {
    worker: WorkerId,
    victims: Vec<TaskId>,
    cost: f64,
}

impl FleetModel {
    /// Proposes evictions that make room for the request, and keeps that room for it.
    pub(super) fn make_room(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        rule: VictimRule,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let task = &request.waiting.task;
        let nobody = rule == VictimRule::Borrowed && !self.quotas.has_borrowers();
        if nobody || budget.eviction_plans == 0 || self.claim_holds(request) {
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
        let claim = RoomClaim {
            worker: plan.worker,
            size: request.reserve,
            priority: request.waiting.priority,
            expires: now + CLAIM_TIMEOUT,
        };
        self.claims.insert(task.clone(), claim);
        for victim in plan.victims {
            let reason = match rule {
                VictimRule::Borrowed => {
                    ReliefReason::Reclaimed { by: request.waiting.team.clone() }
                }
                VictimRule::AnyBatch => ReliefReason::Preempted { by: task.clone() },
            };
            decisions.extend(self.evict(now, &victim, reason));
        }
    }

    /// True while the room that was claimed before is still being freed.
    fn claim_holds(&self, request: &PlacementRequest) -> bool {
        let waiting = &request.waiting;
        self.claims.get(&waiting.task).is_some_and(|claim| {
            self.workers.get(&claim.worker).is_some_and(|state| {
                let kept = self.claims.kept_from(&claim.worker, &waiting.task, waiting.priority);
                state.view.accepting
                    && request.reserve.fits_in(&state.room_later().saturating_sub(&kept))
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
        self.standing_for(now, state, waiting)?;
        if !self.spread.allows(&waiting.task.job, &waiting.spread, &state.view, &self.workers) {
            return None;
        }
        let worker = &state.view.worker;
        let kept = self.claims.kept_from(worker, &waiting.task, waiting.priority);
        let mut room = state.room_later().saturating_sub(&kept);
        let mut victims = Vec::new();
        let mut cost = 0.0;
        while !request.reserve.fits_in(&room) {
            let (victim, price) = self.best_victim(now, state, request, rule, &room, &victims)?;
            room += victim.footprint();
            cost += price;
            victims.push(victim.task.waiting.task.clone());
        }
        let growth = self.policy.tail_latency_weight * self.victim_relief(state, &victims);
        Some(EvictionPlan { worker: worker.clone(), victims, cost: cost - growth })
    }

    /// The cheapest task that frees enough alone, or else the one that frees most.
    fn best_victim(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        rule: VictimRule,
        room: &ResourceVector,
        taken: &[TaskId],
    ) -> Option<(&HeldEntry, f64)> {
        let missing = request.reserve.saturating_sub(room);
        let entries = state.tasks.iter().filter_map(|task| self.held.get(task));
        let allowed = entries.filter(|entry| {
            !taken.contains(&entry.task.waiting.task) && self.may_evict(entry, request, rule)
        });
        allowed
            .map(|entry| (entry, self.eviction_price(now, entry)))
            .filter(|(entry, _)| helps(&entry.footprint(), &missing))
            .min_by(|(a, price), (b, other)| {
                let (a, b) = (a.footprint(), b.footprint());
                let enough = missing.fits_in(&b).cmp(&missing.fits_in(&a));
                let smaller = price.total_cmp(other).then(a.cpu.cmp(&b.cpu));
                let larger = b.cpu.cmp(&a.cpu).then(b.memory.cmp(&a.memory));
                enough.then(if missing.fits_in(&a) { smaller } else { larger })
            })
    }

    fn may_evict(&self, entry: &HeldEntry, request: &PlacementRequest, rule: VictimRule) -> bool {
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

    /// Points for evicting a task: more for one that has run long, and most for one about to end.
    fn eviction_price(&self, now: Duration, entry: &HeldEntry) -> f64 {
        let ran = now.saturating_sub(entry.since);
        let expected = self.corrections.run_time(&entry.task.waiting);
        let part = expected.map_or(0.5, |expected| {
            (ran.as_secs_f64() / expected.as_secs_f64().max(0.001)).min(1.0)
        });
        let ending =
            expected.is_some_and(|expected| expected > ran && expected - ran < ALMOST_DONE);
        let base = self.policy.eviction_weight.max(AGE_COST);
        base * (1.0 + part) + if ending { base } else { 0.0 }
    }

    /// The share of the worker's processors that goes with the victims, which eases its services.
    fn victim_relief(&self, state: &WorkerState, victims: &[TaskId]) -> f64 {
        if state.services.is_empty() {
            return 0.0;
        }
        let entries = victims.iter().filter_map(|victim| self.held.get(victim));
        entries.map(|entry| entry.weight().share.active_part(state.view.capacity.cpu)).sum()
    }

    /// Proposes to evict a task, unless that has just been proposed.
    pub(crate) fn evict(
        &mut self,
        now: Duration,
        task: &TaskId,
        reason: ReliefReason,
    ) -> Option<SchedDecision> {
        let entry = self.held.get(task).filter(|entry| !entry.is_leaving())?;
        let attempt = entry.task.attempt;
        self.change_held(now, task, |entry| entry.evict_again_at = Some(now + EVICTION_TIMEOUT));
        self.evicting.insert(task.clone());
        Some(SchedDecision::Evict { task: task.clone(), attempt, reason })
    }
}

/// True when the footprint holds some of what is missing.
fn helps(footprint: &ResourceVector, missing: &ResourceVector) -> bool {
    (missing.cpu.0 > 0 && footprint.cpu.0 > 0)
        || (missing.memory.0 > 0 && footprint.memory.0 > 0)
        || (missing.accelerators.0 > 0 && footprint.accelerators.0 > 0)
}
