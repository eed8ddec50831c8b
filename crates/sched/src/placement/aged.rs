//! Keeps large tasks from waiting forever while smaller ones overtake them: after a while, a task
//! claims the capacity of one worker as it becomes free, without evictions.

use {
    super::PlacementRequest,
    crate::{
        fleet::FleetModel,
        interface::{TaskPriority, WaitReason},
        proposals::CapacityClaim,
        workers::WorkerState,
    },
    base::ResourceVector,
    std::time::Duration,
};

/// The wait after which a task may claim capacity.
const AGED_WAIT: Duration = Duration::from_secs(600);
/// How long such a claim lasts before another worker may be chosen.
const CLAIM_DURATION: Duration = Duration::from_secs(120);

impl FleetModel {
    /// Claims capacity for a task that has waited for at least [`AGED_WAIT`], unless a claim of
    /// batch priority exists.
    pub(super) fn claim_when_aged(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        reason: &WaitReason,
    ) {
        let is_aged = now.saturating_sub(request.since) >= AGED_WAIT;
        let lacks_capacity = matches!(reason, WaitReason::NoCapacity { .. });
        if !is_aged || !lacks_capacity || self.claims.has_batch() {
            return;
        }
        let waiting = &request.waiting;
        let usable = self.workers.accepting().filter(|state| {
            self.eligibility_for(now, state, waiting).is_some()
                && self.spread.allows(
                    &waiting.task.job,
                    &waiting.spread,
                    &state.view,
                    &self.workers,
                )
                && request.reserve.fits_in(&self.available_without_batch(state))
        });
        let emptiest = usable.max_by_key(|state| state.available_after_exits().cpu);
        let Some(worker) = emptiest.map(|state| state.view.worker.clone()) else {
            return;
        };
        let claim = CapacityClaim {
            worker,
            size: request.reserve,
            priority: TaskPriority::Batch,
            expires: now + CLAIM_DURATION,
        };
        self.claims.insert(waiting.task.clone(), claim);
    }

    fn available_without_batch(&self, state: &WorkerState) -> ResourceVector {
        let entries = state.tasks.iter().filter_map(|task| self.reservations.get(task));
        let lasting = entries.filter(|entry| entry.task.waiting.priority != TaskPriority::Batch);
        let taken = lasting.map(|entry| entry.footprint()).sum();
        state.view.capacity.saturating_sub(&taken)
    }
}
