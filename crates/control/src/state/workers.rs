//! Workers and their endpoints as the log knows them.

use {
    base::{IncarnationNumber, ResourceVector, TaskId, WorkerId},
    indexmap::{IndexMap, IndexSet},
    proto::messages::{
        operator::{WorkerPhase, WorkerStatus},
        EndpointAnnouncement, WorkerAnnouncement,
    },
    serde::{Deserialize, Serialize},
};

/// Workers whose lease has expired and that are still remembered.
const LOST_WORKERS_LIMIT: usize = 256;

/// One worker.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The life of its agent.
    pub incarnation: IncarnationNumber,
    /// What its agent said of it.
    pub announcement: WorkerAnnouncement,
    /// True when its lease has expired and no later life or heartbeat was seen.
    pub lost: bool,
    /// True when an operator wants its tasks moved away.
    pub drained: bool,
    /// The number of distinct jobs that failed on it, when it is blamed for that.
    pub failed_jobs: Option<u32>,
    /// Its endpoints.
    pub endpoints: Vec<EndpointAnnouncement>,
    /// The tasks that hold a reservation on it.
    pub held: IndexSet<TaskId>,
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
            held: IndexSet::new(),
            reserved: ResourceVector::ZERO,
        }
    }

    /// True when its tasks are to be moved away.
    pub fn is_draining(&self) -> bool {
        self.drained || self.announcement.draining
    }

    /// True when it may be given tasks.
    pub fn is_accepting(&self) -> bool {
        !self.lost && !self.is_draining()
    }

    /// The room that no reservation takes.
    pub fn room(&self) -> ResourceVector {
        self.announcement.capacity.saturating_sub(&self.reserved)
    }

    /// Whether it takes tasks, for operators.
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

    /// The worker as operators see it.
    pub fn status(&self, worker: &WorkerId) -> WorkerStatus {
        WorkerStatus {
            worker: worker.clone(),
            phase: self.phase(),
            incarnation: self.incarnation,
            data_centre: self.announcement.data_centre.clone(),
            rack: self.announcement.rack.clone(),
            capacity: self.announcement.capacity,
            reserved: self.reserved,
            tasks: self.held.len() as u32,
        }
    }

    /// Notes a reservation.
    pub(super) fn reserve(&mut self, task: TaskId, amount: ResourceVector) {
        self.held.insert(task);
        self.reserved += amount;
    }

    /// Frees a reservation.
    pub(super) fn release(&mut self, task: &TaskId, amount: &ResourceVector) {
        if self.held.swap_remove(task) {
            self.reserved = self.reserved.saturating_sub(amount);
        }
    }
}

/// Every worker that was heard of and is not forgotten.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkerTable {
    workers: IndexMap<WorkerId, WorkerRecord>,
}

impl WorkerTable {
    /// Looks a worker up.
    pub fn get(&self, worker: &WorkerId) -> Option<&WorkerRecord> {
        self.workers.get(worker)
    }

    /// All workers, in the order in which they were first seen.
    pub fn iter(&self) -> impl Iterator<Item = (&WorkerId, &WorkerRecord)> {
        self.workers.iter()
    }

    pub(super) fn get_mut(&mut self, worker: &WorkerId) -> Option<&mut WorkerRecord> {
        self.workers.get_mut(worker)
    }

    /// Notes a worker or a newer life of it. False when the life has ended.
    pub(super) fn see(
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

    /// Forgets the workers that were lost first when there are too many lost ones. Returns them.
    pub(super) fn forget_lost(&mut self) -> Vec<WorkerId> {
        let lost = |record: &WorkerRecord| record.lost && record.held.is_empty();
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
