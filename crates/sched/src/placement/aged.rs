//! Large batch tasks that smaller ones overtake again and again: after a while, room is kept for
//! them as it becomes free, without evicting anyone.

use {
    super::PlacementRequest,
    crate::{
        fleet::FleetModel,
        interface::{TaskPriority, WaitReason},
        proposals::RoomClaim,
        workers::WorkerState,
    },
    base::ResourceVector,
    std::time::Duration,
};

/// The wait after which room is kept.
const OLD: Duration = Duration::from_secs(600);
/// How long the room is kept before another worker may be chosen.
const KEEP: Duration = Duration::from_secs(120);

impl FleetModel {
    /// Keeps room for a batch task that has waited long, one task at a time.
    pub(super) fn claim_when_old(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        reason: &WaitReason,
    ) {
        let is_old = now.saturating_sub(request.since) >= OLD;
        let lacks_room = matches!(reason, WaitReason::NoRoom { .. });
        if !is_old || !lacks_room || self.claims.has_batch() {
            return;
        }
        let waiting = &request.waiting;
        let usable = self.workers.accepting().filter(|state| {
            self.standing_for(now, state, waiting).is_some()
                && self.spread.allows(
                    &waiting.task.job,
                    &waiting.spread,
                    &state.view,
                    &self.workers,
                )
                && request.reserve.fits_in(&self.room_without_batch(state))
        });
        let emptiest = usable.max_by_key(|state| state.room_later().cpu);
        let Some(worker) = emptiest.map(|state| state.view.worker.clone()) else {
            return;
        };
        let claim = RoomClaim {
            worker,
            size: request.reserve,
            priority: TaskPriority::Batch,
            expires: now + KEEP,
        };
        self.claims.insert(waiting.task.clone(), claim);
    }

    fn room_without_batch(&self, state: &WorkerState) -> ResourceVector {
        let entries = state.tasks.iter().filter_map(|task| self.held.get(task));
        let lasting = entries.filter(|entry| entry.task.waiting.priority != TaskPriority::Batch);
        let taken = lasting.map(|entry| entry.footprint()).sum();
        state.view.capacity.saturating_sub(&taken)
    }
}
