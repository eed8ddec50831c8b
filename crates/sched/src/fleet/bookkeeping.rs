//! Applies all changes of reservations and proposals, so that the totals of workers, quotas and
//! spread always agree.

use {
    super::FleetModel,
    crate::{
        classes::ClassIndex,
        interface::{ReservedTask, TaskPriority},
        interference::ClassShare,
        proposals::{PlacementProposal, PROPOSAL_TIMEOUT},
        queue::QueuedTask,
        reservations::ReservationEntry,
    },
    base::{AttemptNumber, ResourceVector, TaskId, WorkerId},
    std::time::Duration,
};

impl FleetModel {
    pub(super) fn reserve(&mut self, now: Duration, reservation: ReservedTask) {
        let id = reservation.waiting.task.clone();
        let worker = reservation.worker.clone();
        let known = self.reservations.get(&id).map(|entry| &entry.task);
        if known.is_some_and(|known| known.attempt == reservation.attempt && known.worker == worker)
        {
            self.replace(now, reservation);
            return;
        }
        self.unreserve(now, &id);
        let class = self.classes.index(&reservation.waiting.class);
        self.quotas.add(&reservation.waiting.team, &reservation.reserved);
        self.spread.add(&id, &reservation.waiting.spread, &worker);
        self.track_service(now, &reservation, class);
        let entry = ReservationEntry::new(now, class, reservation);
        if let Some(state) = self.workers.get_mut(&worker) {
            state.tasks.insert(id.clone());
            state.add_contribution(&entry.contribution());
        }
        self.reservations.insert(id, entry);
        self.mark_changed(now, &worker);
    }

    /// Replaces a reservation that stays on its worker.
    fn replace(&mut self, now: Duration, reservation: ReservedTask) {
        let id = reservation.waiting.task.clone();
        if let Some(entry) = self.reservations.get(&id) {
            self.quotas.subtract(&reservation.waiting.team, &entry.task.reserved);
            self.quotas.add(&reservation.waiting.team, &reservation.reserved);
        }
        self.change_reservation(now, &id, |entry| entry.task = reservation);
    }

    fn track_service(&mut self, now: Duration, reservation: &ReservedTask, class: ClassIndex) {
        let waiting = &reservation.waiting;
        let Some(state) = self.workers.get_mut(&reservation.worker) else {
            return;
        };
        if let (TaskPriority::LatencyCritical, Some(service)) = (waiting.priority, &waiting.service)
        {
            state.service_mut(now, service, class);
        }
    }

    /// Changes a reservation and the totals of its worker.
    pub(crate) fn change_reservation(
        &mut self,
        now: Duration,
        task: &TaskId,
        change: impl FnOnce(&mut ReservationEntry),
    ) {
        let Some(entry) = self.reservations.get_mut(task) else {
            return;
        };
        let before = entry.contribution();
        change(entry);
        let after = entry.contribution();
        if before == after {
            return;
        }
        let worker = entry.task.worker.clone();
        if let Some(state) = self.workers.get_mut(&worker) {
            state.subtract_contribution(&before);
            state.add_contribution(&after);
        }
        self.mark_changed(now, &worker);
    }

    /// Records who shares a worker from now on, and makes the next decision check the worker.
    pub(crate) fn mark_changed(&mut self, now: Duration, worker: &WorkerId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.history.push(now, &state.shares);
            state.check_at = now;
        }
        if !self.watched.contains(worker) {
            self.watched.insert(worker.clone());
        }
    }

    pub(super) fn unreserve(&mut self, now: Duration, task: &TaskId) {
        let Some(entry) = self.reservations.swap_remove(task) else {
            return;
        };
        self.releases += 1;
        self.quotas.subtract(&entry.task.waiting.team, &entry.task.reserved);
        self.spread.remove(task);
        if let Some(state) = self.workers.get_mut(&entry.task.worker) {
            state.tasks.swap_remove(task);
            state.subtract_contribution(&entry.contribution());
            state.throttled -= u32::from(entry.throttle < 100 && state.throttled > 0);
        }
        self.mark_changed(now, &entry.task.worker);
    }

    /// Removes a task from the queue and reserves capacity for it until the placement is committed.
    pub(crate) fn propose(&mut self, now: Duration, proposal: ProposedPlacement) {
        let ProposedPlacement { queued, worker, reserve } = proposal;
        let waiting = &queued.waiting;
        let id = waiting.task.clone();
        let class = self.classes.index(&waiting.class);
        self.claims.remove(&id);
        self.quotas.add(&waiting.team, &reserve);
        self.spread.add(&id, &waiting.spread, &worker);
        if let Some(state) = self.workers.get_mut(&worker) {
            let share = ClassShare::of_task(class, reserve.cpu, 100);
            state.add_proposal(id.clone(), &reserve, &share);
        }
        let expires = now + PROPOSAL_TIMEOUT;
        self.proposals.insert(id, PlacementProposal { queued, worker, reserve, expires });
    }

    /// Removes a proposal and returns it; its task is not queued again.
    pub(super) fn drop_proposal(&mut self, task: &TaskId) -> Option<PlacementProposal> {
        let proposal = self.proposals.swap_remove(task)?;
        self.releases += 1;
        self.quotas.subtract(&proposal.queued.waiting.team, &proposal.reserve);
        self.spread.remove(task);
        if let Some(state) = self.workers.get_mut(&proposal.worker) {
            let class = self.classes.index(&proposal.queued.waiting.class);
            let share = ClassShare::of_task(class, proposal.reserve.cpu, 100);
            state.subtract_proposal(task, &proposal.reserve, &share);
        }
        Some(proposal)
    }

    pub(super) fn drop_proposals_on(&mut self, worker: &WorkerId) {
        let tasks = self.workers.get(worker).map(|state| state.proposals.clone());
        self.requeue(tasks.into_iter().flatten());
    }

    pub(super) fn expire_proposals(&mut self, now: Duration) {
        let expired: Vec<TaskId> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| proposal.expires <= now)
            .map(|(task, _)| task.clone())
            .collect();
        self.requeue(expired);
    }

    /// Lets evictions that were not committed in time be proposed again.
    pub(super) fn expire_evictions(&mut self, now: Duration) {
        for task in std::mem::take(&mut self.evicting) {
            let pending = self.reservations.get(&task).filter(|entry| !entry.task.stopping);
            let Some(again_at) = pending.and_then(|entry| entry.eviction_retry_at) else {
                continue;
            };
            if now < again_at {
                self.evicting.insert(task);
                continue;
            }
            self.change_reservation(now, &task, |entry| entry.eviction_retry_at = None);
        }
    }

    fn requeue(&mut self, tasks: impl IntoIterator<Item = TaskId>) {
        for task in tasks {
            if let Some(proposal) = self.drop_proposal(&task) {
                self.queue.put_back(proposal.queued);
            }
        }
    }

    pub(crate) fn set_throttle(
        &mut self,
        now: Duration,
        task: &TaskId,
        attempt: AttemptNumber,
        percent: u8,
    ) {
        let Some(entry) = self.reservations.get(task).filter(|entry| entry.task.attempt == attempt)
        else {
            return;
        };
        let (was_full, is_full) = (entry.throttle == 100, percent >= 100);
        if let Some(state) = self.workers.get_mut(&entry.task.worker) {
            state.throttled_at = now;
            match (was_full, is_full) {
                (true, false) => state.throttled += 1,
                (false, true) => state.throttled = state.throttled.saturating_sub(1),
                _ => {}
            }
        }
        self.change_reservation(now, task, |entry| {
            entry.throttle = percent.clamp(1, 100);
            entry.throttled_at = now;
        });
    }
}

/// A placement to be proposed.
#[derive(Debug)]
pub(crate) struct ProposedPlacement {
    pub(crate) queued: QueuedTask,
    pub(crate) worker: WorkerId,
    pub(crate) reserve: ResourceVector,
}
