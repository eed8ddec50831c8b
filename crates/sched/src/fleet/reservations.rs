//! Bookkeeping of reservations and proposals: every change goes through here, so that workers,
//! quotas and spread always agree.

use {
    super::FleetModel,
    crate::{
        held::HeldEntry,
        interface::{HeldTask, TaskPriority},
        proposals::{PlacementProposal, PROPOSAL_TIMEOUT},
        queue::QueuedTask,
        workers::add_share,
    },
    base::{AttemptNumber, ResourceVector, TaskId, WorkerId},
    std::time::Duration,
};

impl FleetModel {
    pub(super) fn reserve(&mut self, now: Duration, held: HeldTask) {
        let id = held.waiting.task.clone();
        let worker = held.worker.clone();
        if let Some(entry) = self.held.get_mut(&id) {
            if entry.task.attempt == held.attempt && entry.task.worker == held.worker {
                let (old, new) = (entry.task.reserved, held.reserved);
                self.quotas.subtract(&held.waiting.team, &old);
                self.quotas.add(&held.waiting.team, &new);
                entry.task = held;
                self.refresh(now, &worker);
                return;
            }
            self.unreserve(now, &id);
        }
        let class = self.classes.index(&held.waiting.class);
        self.quotas.add(&held.waiting.team, &held.reserved);
        self.spread.add(&id, &held.waiting.spread, &worker);
        self.held.insert(id.clone(), HeldEntry::new(now, class, held));
        if let Some(state) = self.workers.get_mut(&worker) {
            state.tasks.insert(id);
        }
        self.refresh(now, &worker);
    }

    pub(super) fn unreserve(&mut self, now: Duration, task: &TaskId) {
        let Some(entry) = self.held.swap_remove(task) else {
            return;
        };
        self.releases += 1;
        self.quotas.subtract(&entry.task.waiting.team, &entry.task.reserved);
        self.spread.remove(task);
        if let Some(state) = self.workers.get_mut(&entry.task.worker) {
            state.tasks.swap_remove(task);
        }
        self.refresh(now, &entry.task.worker);
    }

    /// Takes a task out of the queue and keeps room for it until its commit.
    pub(crate) fn propose(&mut self, now: Duration, proposal: ProposedPlace) {
        let ProposedPlace { queued, worker, reserve } = proposal;
        let waiting = &queued.waiting;
        let id = waiting.task.clone();
        let class = self.classes.index(&waiting.class);
        self.claims.remove(&id);
        self.quotas.add(&waiting.team, &reserve);
        self.spread.add(&id, &waiting.spread, &worker);
        if let Some(state) = self.workers.get_mut(&worker) {
            state.proposed += reserve;
            state.proposals.insert(id.clone());
            let share = reserve.cpu.0 as f64 / state.view.capacity.cpu.0.max(1) as f64;
            add_share(&mut state.planned, class, share, 100);
        }
        let expires = now + PROPOSAL_TIMEOUT;
        self.proposals.insert(id, PlacementProposal { queued, worker, reserve, expires });
    }

    /// Forgets a proposal; its task is no longer known.
    pub(super) fn drop_proposal(&mut self, task: &TaskId) -> Option<PlacementProposal> {
        let proposal = self.proposals.swap_remove(task)?;
        self.releases += 1;
        self.quotas.subtract(&proposal.queued.waiting.team, &proposal.reserve);
        self.spread.remove(task);
        if let Some(state) = self.workers.get_mut(&proposal.worker) {
            state.proposed = state.proposed.saturating_sub(&proposal.reserve);
            state.proposals.swap_remove(task);
        }
        self.plan(&proposal.worker);
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

    /// Lets evictions that were not committed in time be decided anew.
    pub(super) fn expire_evictions(&mut self, now: Duration) {
        for task in std::mem::take(&mut self.evicting) {
            let Some(entry) = self.held.get_mut(&task) else {
                continue;
            };
            if entry.task.stopping || entry.evict_again_at.is_none() {
                continue;
            }
            if entry.evict_again_at.is_some_and(|again_at| now < again_at) {
                self.evicting.insert(task);
                continue;
            }
            entry.evict_again_at = None;
            let worker = entry.task.worker.clone();
            self.refresh(now, &worker);
        }
    }

    fn requeue(&mut self, tasks: impl IntoIterator<Item = TaskId>) {
        for task in tasks {
            if let Some(proposal) = self.drop_proposal(&task) {
                self.queue.put(proposal.queued);
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
        let Some(entry) = self.held.get_mut(task).filter(|entry| entry.task.attempt == attempt)
        else {
            return;
        };
        entry.throttle = percent.clamp(1, 100);
        entry.throttled_at = now;
        let worker = entry.task.worker.clone();
        if let Some(state) = self.workers.get_mut(&worker) {
            state.throttled_at = now;
        }
        self.refresh(now, &worker);
    }

    /// Works out again what a worker's tasks take, after any of them has changed.
    pub(crate) fn refresh(&mut self, now: Duration, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let capacity = state.view.capacity;
        let tasks = std::mem::take(&mut state.tasks);
        let (mut footprint, mut leaving) = (ResourceVector::ZERO, ResourceVector::ZERO);
        state.shares.clear();
        for entry in tasks.iter().filter_map(|task| self.held.get(task)) {
            footprint += entry.footprint();
            if entry.is_leaving() {
                leaving += entry.footprint();
            }
            add_share(&mut state.shares, entry.class, entry.share(&capacity), entry.throttle);
            let waiting = &entry.task.waiting;
            if let (TaskPriority::LatencyCritical, Some(service)) =
                (waiting.priority, &waiting.service)
            {
                state.service_mut(now, service, entry.class);
            }
        }
        (state.footprint, state.leaving, state.tasks) = (footprint, leaving, tasks);
        state.history.push(now, &state.shares);
        self.plan(worker);
        self.watched.insert(worker.clone());
    }

    fn plan(&mut self, worker: &WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.planned.clone_from(&state.shares);
        let capacity = state.view.capacity.cpu.0.max(1) as f64;
        for proposal in state.proposals.iter().filter_map(|task| self.proposals.get(task)) {
            let class = self.classes.index(&proposal.queued.waiting.class);
            let share = proposal.reserve.cpu.0 as f64 / capacity;
            add_share(&mut state.planned, class, share, 100);
        }
    }
}

/// A placement that is about to be proposed.
#[derive(Debug)]
pub(crate) struct ProposedPlace {
    pub(crate) queued: QueuedTask,
    pub(crate) worker: WorkerId,
    pub(crate) reserve: ResourceVector,
}
