//! The workers and their endpoints in the applied state.

use {
    base::{IncarnationNumber, ResourceVector, TaskId, WorkerId},
    indexmap::{IndexMap, IndexSet},
    proto::messages::{
        operator::{WorkerPhase, WorkerStatus},
        EndpointAnnouncement, WorkerAnnouncement,
    },
    serde::{Deserialize, Serialize},
};

/// Upper bound on lost workers without reservations that stay in the table.
const LOST_WORKERS_LIMIT: usize = 256;

/// One worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The incarnation of the worker's agent.
    pub incarnation: IncarnationNumber,
    /// The worker as its agent announces it.
    pub announcement: WorkerAnnouncement,
    /// True if the lease has expired and the worker has not registered again since.
    pub lost: bool,
    /// True if an operator drains the worker.
    pub drained: bool,
    /// The number of distinct jobs that failed on the worker, if the failures are attributed to it.
    pub failed_jobs: Option<u32>,
    /// The endpoints of the worker.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// The tasks that hold a reservation on the worker.
    pub reserved_tasks: IndexSet<TaskId>,
    /// The sum of the reservations.
    pub reserved: ResourceVector,
}

impl WorkerRecord {
    fn new(incarnation: IncarnationNumber, announcement: WorkerAnnouncement) -> Self {
        Self {
            incarnation,
            announcement,
            lost: false,
            drained: false,
            failed_jobs: None,
            endpoints: Vec::new(),
            reserved_tasks: IndexSet::new(),
            reserved: ResourceVector::ZERO,
        }
    }

    /// Returns true if tasks are to be moved away from the worker.
    pub fn is_draining(&self) -> bool {
        self.drained || self.announcement.draining
    }

    /// Returns true if tasks may be placed on the worker. The placement model alone restricts a
    /// quarantined worker to probes.
    pub fn is_accepting(&self) -> bool {
        !self.lost && !self.is_draining()
    }

    /// Returns the capacity that is not reserved.
    pub fn free_capacity(&self) -> ResourceVector {
        self.announcement.capacity.saturating_sub(&self.reserved)
    }

    /// Returns the phase that operators see.
    pub fn phase(&self) -> WorkerPhase {
        if self.lost {
            return WorkerPhase::Lost;
        }
        if self.is_draining() {
            return WorkerPhase::Draining;
        }
        if self.failed_jobs.is_some() {
            return WorkerPhase::Quarantined;
        }
        WorkerPhase::Ready
    }

    /// Returns the status of the worker for operators.
    pub fn status(&self, worker: &WorkerId) -> WorkerStatus {
        WorkerStatus {
            worker: worker.clone(),
            phase: self.phase(),
            incarnation: self.incarnation,
            data_centre: self.announcement.data_centre.clone(),
            rack: self.announcement.rack.clone(),
            capacity: self.announcement.capacity,
            reserved: self.reserved,
            tasks: self.reserved_tasks.len() as u32,
        }
    }

    /// Adds the reservation of a task.
    pub(super) fn reserve(&mut self, task: TaskId, amount: ResourceVector) {
        self.reserved_tasks.insert(task);
        self.reserved += amount;
    }

    /// Releases the reservation of a task.
    pub(super) fn release(&mut self, task: &TaskId, amount: &ResourceVector) {
        if self.reserved_tasks.swap_remove(task) {
            self.reserved = self.reserved.saturating_sub(amount);
        }
    }
}

/// All workers that have registered and were not removed since.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerTable {
    workers: IndexMap<WorkerId, WorkerRecord>,
}

impl WorkerTable {
    /// Looks up a worker.
    pub fn get(&self, worker: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(worker)
    }

    /// Iterates over all workers, in the order in which they first registered.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.workers.iter()
    }

    pub(super) fn get_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerRecord> {
        self.workers.get_mut(worker)
    }

    /// Registers a worker, a newer incarnation of its agent or a changed announcement. Returns
    /// false if the incarnation is outdated.
    pub(super) fn register(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
        announcement: WorkerAnnouncement,
    ) -> bool {
        let Some(record) = self.workers.get_mut(&worker) else {
            self.workers.insert(worker, WorkerRecord::new(incarnation, announcement));
            return true;
        };
        if incarnation < record.incarnation {
            return false;
        }
        record.incarnation = incarnation;
        record.announcement = announcement;
        record.lost = false;
        true
    }

    /// Removes lost workers without reservations beyond the limit, starting with those that
    /// registered first, and returns the removed workers.
    pub(super) fn forget_lost(&mut self) -> Vec<WorkerId> {
        let lost = |record: &WorkerRecord| record.lost && record.reserved_tasks.is_empty();
        let count = self.workers.values().filter(|record| lost(record)).count();
        let excess = count.saturating_sub(LOST_WORKERS_LIMIT);
        let forgotten: Vec<_> = self
            .workers
            .iter()
            .filter(|(_, record)| lost(record))
            .take(excess)
            .map(|(worker, _)| worker.clone())
            .collect();
        for worker in &forgotten {
            self.workers.shift_remove(worker);
        }
        forgotten
    }
}
