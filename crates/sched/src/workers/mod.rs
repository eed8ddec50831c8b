//! Tracks the workers and what is reserved, proposed and measured on each.

use {
    crate::{
        classes::ClassIndex,
        interface::WorkerView,
        interference::{ClassShare, LoadLevel, Occupancy, OccupancyHistory},
        reservations::TaskContribution,
    },
    base::{DataCentreName, ResourceVector, ServiceName, TaskId, WorkerId},
    indexmap::{IndexMap, IndexSet},
    std::time::Duration,
};

/// How long a service without tasks on the worker is kept after its last measurement.
const SERVICE_RETENTION: Duration = Duration::from_secs(60);
/// How long the unexplained slowdown of a service counts after its last measurement.
const UNEXPLAINED_RETENTION: Duration = Duration::from_secs(30);
/// How long the size of a removed worker counts as one that may come back.
const RETIRED_RETENTION: Duration = Duration::from_secs(3600);

/// A service as last measured on a worker.
#[derive(Debug, Clone)]
pub(crate) struct ServiceState {
    pub(crate) service: ServiceName,
    pub(crate) class: ClassIndex,
    pub(crate) level: LoadLevel,
    /// The smoothed request rate in requests per second, once it has been measured.
    pub(crate) rate: Option<f64>,
    /// By how many percent the service is slower than its neighbours explain, smoothed.
    pub(crate) unexplained: f64,
    pub(crate) seen: Duration,
}

impl ServiceState {
    /// Returns the slowdown, in percent, that the neighbours do not explain, or 0 when the last
    /// measurement is too old.
    pub(crate) fn unexplained(&self, now: Duration) -> f64 {
        if now.saturating_sub(self.seen) > UNEXPLAINED_RETENTION {
            return 0.0;
        }
        self.unexplained.max(0.0)
    }
}

/// The state of one worker.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) view: WorkerView,
    /// The footprints of all reservations, stopping ones included.
    pub(crate) footprint: ResourceVector,
    /// The part of `footprint` whose tasks are leaving.
    pub(crate) leaving: ResourceVector,
    /// The resources of placements whose commit is pending.
    pub(crate) proposed: ResourceVector,
    pub(crate) tasks: IndexSet<TaskId>,
    pub(crate) proposals: IndexSet<TaskId>,
    /// The classes that share the worker now.
    pub(crate) shares: Occupancy,
    /// The classes that will share the worker once proposals are committed.
    pub(crate) planned: Occupancy,
    /// The number of batch tasks that are throttled.
    pub(crate) throttled: u32,
    pub(crate) history: OccupancyHistory,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) last_sample: Option<Duration>,
    /// The worker is not checked before this time unless something changes on it.
    pub(crate) check_at: Duration,
    /// The time since which throttles alone have not been enough.
    pub(crate) insufficient_since: Option<Duration>,
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
            check_at: Duration::ZERO,
            insufficient_since: None,
            throttled_at: Duration::ZERO,
        }
    }

    /// Adds a reservation to the totals.
    pub(crate) fn add_contribution(&mut self, contribution: &TaskContribution) {
        self.footprint += contribution.footprint;
        if contribution.is_leaving {
            self.leaving += contribution.footprint;
        }
        self.shares.add(&contribution.share);
        self.planned.add(&contribution.share);
    }

    /// Subtracts a reservation from the totals.
    pub(crate) fn subtract_contribution(&mut self, contribution: &TaskContribution) {
        self.footprint = self.footprint.saturating_sub(&contribution.footprint);
        if contribution.is_leaving {
            self.leaving = self.leaving.saturating_sub(&contribution.footprint);
        }
        self.shares.subtract(&contribution.share);
        self.planned.subtract(&contribution.share);
    }

    /// Adds a proposed placement to the totals.
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

    /// Subtracts a proposed placement from the totals.
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

    /// Returns the capacity that is available now.
    pub(crate) fn available(&self) -> ResourceVector {
        self.view.capacity.saturating_sub(&(self.footprint + self.proposed))
    }

    /// Returns the capacity that is available once all leaving tasks are gone.
    pub(crate) fn available_after_exits(&self) -> ResourceVector {
        let staying = self.footprint.saturating_sub(&self.leaving);
        self.view.capacity.saturating_sub(&(staying + self.proposed))
    }

    /// Returns the state of a service, and adds it when it is new. A new service is presumed to be
    /// at the highest load level until it is measured.
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

    /// Removes services that have not been measured recently and have no task on the worker.
    pub(crate) fn forget_services(&mut self, now: Duration) {
        let shares = &self.shares;
        self.services.retain(|state| {
            now.saturating_sub(state.seen) < SERVICE_RETENTION || shares.holds(state.class)
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
pub(crate) struct WorkerTable {
    workers: IndexMap<WorkerId, WorkerState>,
    retired: IndexMap<WorkerId, RetiredWorker>,
    capacity: ResourceVector,
    accepting: usize,
    /// The worker sizes in use, with their data centres, including workers that may come back.
    sizes: IndexSet<(DataCentreName, ResourceVector)>,
}

impl WorkerTable {
    pub(crate) fn set(&mut self, view: WorkerView) {
        self.retired.swap_remove(&view.worker);
        match self.workers.get_mut(&view.worker) {
            Some(state) if state.view == view => return,
            Some(state) => state.view = view,
            None => {
                self.workers.insert(view.worker.clone(), WorkerState::new(view));
            }
        }
        self.recompute_totals();
    }

    pub(crate) fn remove(&mut self, now: Duration, worker: &WorkerId) {
        if let Some(state) = self.workers.shift_remove(worker) {
            let until = now + RETIRED_RETENTION;
            self.retired.insert(worker.clone(), RetiredWorker { view: state.view, until });
        }
        self.retired.retain(|_, retired| retired.until > now);
        self.recompute_totals();
    }

    fn recompute_totals(&mut self) {
        self.accepting = self.accepting().count();
        self.capacity = self.accepting().map(|state| state.view.capacity).sum();
        let present = self.workers.values().map(|state| &state.view);
        let retired = self.retired.values().map(|retired| &retired.view);
        let sizes = present.chain(retired);
        self.sizes = sizes.map(|view| (view.data_centre.clone(), view.capacity)).collect();
    }

    /// Returns the number of workers that accept tasks.
    pub(crate) fn accepting_count(&self) -> usize {
        self.accepting
    }

    /// Returns the total capacity of the workers that accept tasks.
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

    /// Returns the worker sizes in use, including those of workers that may come back.
    pub(crate) fn sizes(&self) -> impl Iterator<Item = &(DataCentreName, ResourceVector)> {
        self.sizes.iter()
    }
}
