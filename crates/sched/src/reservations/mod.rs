//! The table of committed reservations.

use {
    crate::{classes::ClassIndex, interface::ReservedTask, interference::ClassShare},
    base::{ResourceVector, TaskId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// A committed reservation and the measurements of its task.
#[derive(Debug)]
pub(crate) struct ReservationEntry {
    pub(crate) task: ReservedTask,
    pub(crate) class: ClassIndex,
    pub(crate) since: Duration,
    /// The last measured use.
    pub(crate) used: ResourceVector,
    /// The number of measurements that have counted towards a correction.
    pub(crate) samples: u32,
    /// The largest measured use.
    pub(crate) peak: ResourceVector,
    /// Percent of the reservation that the task may use.
    pub(crate) throttle: u8,
    pub(crate) throttled_at: Duration,
    /// Set while an eviction is proposed: it is not proposed again before this time.
    pub(crate) eviction_retry_at: Option<Duration>,
}

impl ReservationEntry {
    pub(crate) fn new(now: Duration, class: ClassIndex, task: ReservedTask) -> Self {
        Self {
            task,
            class,
            since: now,
            used: ResourceVector::ZERO,
            samples: 0,
            peak: ResourceVector::ZERO,
            throttle: 100,
            throttled_at: now,
            eviction_retry_at: None,
        }
    }

    /// Returns the resources that the task occupies on its worker: of each resource, the larger of
    /// the reserved and the used amount.
    pub(crate) fn footprint(&self) -> ResourceVector {
        self.task.reserved.max_each(&self.used)
    }

    /// Returns true when the task is stopping, or its eviction has been proposed.
    pub(crate) fn is_leaving(&self) -> bool {
        self.task.stopping || self.eviction_retry_at.is_some()
    }

    /// Returns what the reservation adds to the totals of its worker.
    pub(crate) fn contribution(&self) -> TaskContribution {
        TaskContribution {
            footprint: self.footprint(),
            is_leaving: self.is_leaving(),
            share: ClassShare::of_task(self.class, self.task.reserved.cpu, self.throttle),
        }
    }
}

/// The contribution of a reservation to the totals of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskContribution {
    pub(crate) footprint: ResourceVector,
    pub(crate) is_leaving: bool,
    pub(crate) share: ClassShare,
}

/// All reservations by task.
pub(crate) type ReservationTable = IndexMap<TaskId, ReservationEntry>;
