//! Frees quota for an urgent or latency-critical task whose team uses up its quota with batch tasks
//! of its own.

use {
    super::{CallBudget, PlacementRequest},
    crate::{
        fleet::FleetModel,
        interface::{MitigationReason, SchedDecision, TaskPriority},
    },
    base::{ResourceVector, TaskId},
    std::time::Duration,
};

impl FleetModel {
    /// Evicts as few batch tasks of the team as needed, the largest first, to free enough of its
    /// quota.
    pub(super) fn free_own_quota(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let waiting = &request.waiting;
        if waiting.priority == TaskPriority::Batch || budget.eviction_plans == 0 {
            return;
        }
        budget.eviction_plans -= 1;
        let mut missing = self.quotas.excess(&waiting.team, &request.reserve);
        let own =
            self.reservations.values().filter(|entry| entry.task.waiting.team == waiting.team);
        let leaving = own.clone().filter(|entry| entry.is_leaving());
        let freed: ResourceVector = leaving.map(|entry| entry.task.reserved).sum();
        missing = missing.saturating_sub(&freed);
        let staying = own.filter(|entry| {
            !entry.is_leaving() && entry.task.waiting.priority == TaskPriority::Batch
        });
        let mut victims: Vec<(ResourceVector, TaskId)> =
            staying.map(|entry| (entry.task.reserved, entry.task.waiting.task.clone())).collect();
        victims.sort_by(|(a, first), (b, second)| {
            let larger = (b.cpu, b.memory).cmp(&(a.cpu, a.memory));
            larger.then_with(|| first.cmp(second))
        });
        for (size, victim) in victims {
            if missing == ResourceVector::ZERO || budget.evictions == 0 {
                return;
            }
            if missing.saturating_sub(&size) == missing {
                continue;
            }
            missing = missing.saturating_sub(&size);
            budget.evictions -= 1;
            let reason = MitigationReason::Preempted { by: waiting.task.clone() };
            decisions.extend(self.evict(now, &victim, reason));
        }
    }
}
