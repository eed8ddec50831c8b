//! The workers with what is reserved, proposed and measured on each.

use {
    crate::{
        classes::ClassIndex,
        held::TaskWeight,
        interface::WorkerView,
        interference::{ClassShare, LoadLevel, Occupancy, OccupancyHistory},
    },
    base::{DataCentreName, ResourceVector, ServiceName, TaskId, WorkerId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// How long a service is expected back after its last measurement.
const SERVICE_FORGET: Duration = Duration::from_secs(60);
/// How long an unexplained slowdown is believed without a new measurement.
const UNEXPLAINED_KEEP: Duration = Duration::from_secs(30);
/// How long the size of a worker that was removed counts as one that may come back.
const RETIRED_KEEP: Duration = Duration::from_secs(3600);

/// A service as it was last measured on a worker.
#[derive(Debug, Clone)]
pub(crate) struct ServiceState {
    pub(crate) service: ServiceName,
    pub(crate) class: ClassIndex,
    pub(crate) level: LoadLevel,
    /// Requests a second, smoothed, once it has been measured.
    pub(crate) rate: Option<f64>,
    /// By how many percent it is slower than its neighbours explain, smoothed.
    pub(crate) unexplained: f64,
    pub(crate) seen: Duration,
}

impl ServiceState {
    /// The slowdown, in percent, that its neighbours do not explain, as far as it is recent.
    pub(crate) fn unexplained(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.seen) > UNEXPLAINED_KEEP {
            return 0.0;
        }
        self.unexplained.max(0.0)
    }
}

/// One worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) view: WorkerView,
    /// What all reservations take, stopping ones included.
    pub(crate) footprint: ResourceVector,
    /// The part of it whose tasks are leaving.
    pub(crate) leaving: ResourceVector,
    /// What placements that await their commit will take.
    pub(crate) proposed: ResourceVector,
    pub(crate) tasks: IndexSet<TaskId>,
    pub(crate) proposals: IndexSet<TaskId>,
    /// Who shares it now.
    pub(crate) shares: Occupancy,
    /// Who will share it once proposals are committed.
    pub(crate) planned: Occupancy,
    /// The number of batch tasks that are throttled.
    pub(crate) throttled: u32,
    pub(crate) history: OccupancyHistory,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) last_sample: Option<Duration>,
    /// Not looked after before this time unless something changes on it.
    pub(crate) look_at: Duration,
    /// Since when throttles alone have not been enough.
    pub(crate) over_since: Option<Duration>,
    pub(crate) throttled_at: Duration,
}

impl WorkerState {
    pub(crate) fn new(view: WorkerView) -> Self {
        Self {
            view,
            footprint: ResourceVector::ZERO,
            leaving: ResourceVector::ZERO,
            proposed: ResourceVector::ZERO,
            tasks: IndexSet::new(),
            proposals: IndexSet::new(),
            shares: Occupancy::default(),
            planned: Occupancy::default(),
            throttled: 0,
            history: OccupancyHistory::default(),
            services: Vec::new(),
            last_sample: None,
            look_at: Duration::ZERO,
            over_since: None,
            throttled_at: Duration::ZERO,
        }
    }

    /// Adds a task to the books.
    pub(crate) fn add_weight(&mut self, weight: &TaskWeight) {
        self.footprint += weight.footprint;
        if weight.is_leaving {
            self.leaving += weight.footprint;
        }
        self.shares.add(&weight.share);
        self.planned.add(&weight.share);
    }

    /// Takes a task out of the books.
    pub(crate) fn subtract_weight(&mut self, weight: &TaskWeight) {
        self.footprint = self.footprint.saturating_sub(&weight.footprint);
        if weight.is_leaving {
            self.leaving = self.leaving.saturating_sub(&weight.footprint);
        }
        self.shares.subtract(&weight.share);
        self.planned.subtract(&weight.share);
    }

    /// Adds a proposed task to the books.
    pub(crate) fn add_proposal(
        &mut self,
        task: TaskId,
        reserve: &ResourceVector,
        share: &ClassShare,
    ) {
        self.proposed += *reserve;
        self.planned.add(share);
        self.proposals.insert(task);
    }

    /// Takes a proposed task out of the books.
    pub(crate) fn subtract_proposal(
        &mut self,
        task: &TaskId,
        reserve: &ResourceVector,
        share: &ClassShare,
    ) {
        self.proposed = self.proposed.saturating_sub(reserve);
        self.planned.subtract(share);
        self.proposals.swap_remove(task);
    }

    /// What is free now.
    pub(crate) fn room(&self) -> ResourceVector {
        self.view.capacity.saturating_sub(&(self.footprint + self.proposed))
    }

    /// What is free once all leaving tasks have gone.
    pub(crate) fn room_later(&self) -> ResourceVector {
        let staying = self.footprint.saturating_sub(&self.leaving);
        self.view.capacity.saturating_sub(&(staying + self.proposed))
    }

    /// Makes sure that a service is known; a new one is presumed to be busy.
    pub(crate) fn service_mut(
        &mut self,
        now: Duration,
        service: &ServiceName,
        class: ClassIndex,
    ) -> &mut ServiceState {
        let found = self.services.iter().position(|state| state.service == *service);
        let index = found.unwrap_or_else(|| {
            let service = service.clone();
            let state = ServiceState {
                service,
                class,
                level: LoadLevel::BUSIEST,
                rate: None,
                unexplained: 0.0,
                seen: now,
            };
            self.services.push(state);
            self.services.len() - 1
        });
        &mut self.services[index]
    }

    /// Forgets services that have not been measured for long and have no task here.
    pub(crate) fn forget_services(&mut self, now: Duration) {
        let shares = &self.shares;
        self.services.retain(|state| {
            now.saturating_sub(state.seen) < SERVICE_FORGET || shares.holds(state.class)
        });
    }
}

#[derive(Debug)]
struct RetiredWorker {
    view: WorkerView,
    until: Duration,
}

/// All workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerBook {
    workers: IndexMap<WorkerId, WorkerState>,
    retired: IndexMap<WorkerId, RetiredWorker>,
    capacity: ResourceVector,
    accepting: usize,
    /// The sizes that occur, with their data centres, of present workers and of those that may
    /// come back.
    sizes: IndexSet<(DataCentreName, ResourceVector)>,
}

impl WorkerBook {
    pub(crate) fn set(&mut self, view: WorkerView) {
        self.retired.swap_remove(&view.worker);
        match self.workers.get_mut(&view.worker) {
            Some(state) if state.view == view => return,
            Some(state) => state.view = view,
            None => {
                self.workers.insert(view.worker.clone(), WorkerState::new(view));
            }
        }
        self.measure();
    }

    pub(crate) fn remove(&mut self, now: Duration, worker: &WorkerId) {
        if let Some(state) = self.workers.shift_remove(worker) {
            let until = now + RETIRED_KEEP;
            self.retired.insert(worker.clone(), RetiredWorker { view: state.view, until });
        }
        self.retired.retain(|_, retired| retired.until > now);
        self.measure();
    }

    fn measure(&mut self) {
        self.accepting = self.accepting().count();
        self.capacity = self.accepting().map(|state| state.view.capacity).sum();
        let present = self.workers.values().map(|state| &state.view);
        let retired = self.retired.values().map(|retired| &retired.view);
        let sizes = present.chain(retired);
        self.sizes = sizes.map(|view| (view.data_centre.clone(), view.capacity)).collect();
    }

    /// The number of workers that take tasks.
    pub(crate) fn accepting_count(&self) -> usize {
        self.accepting
    }

    /// What all accepting workers offer together.
    pub(crate) fn capacity(&self) -> &ResourceVector {
        &self.capacity
    }

    pub(crate) fn get(&self, worker: &WorkerId) -> Option<&WorkerState> {
        self.workers.get(worker)
    }

    pub(crate) fn get_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerState> {
        self.workers.get_mut(worker)
    }

    pub(crate) fn get_index(&self, index: usize) -> Option<&WorkerState> {
        self.workers.get_index(index).map(|(_, state)| state)
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.values()
    }

    pub(crate) fn accepting(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.values().filter(|state| state.view.accepting)
    }

    /// The sizes that occur, those of workers that may come back included.
    pub(crate) fn sizes(&self) -> impl Iterator<Item = &(DataCentreName, ResourceVector)> {
        self.sizes.iter()
    }
}
