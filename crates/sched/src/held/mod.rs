//! The committed reservations.

use {
    crate::{classes::ClassIndex, interface::HeldTask, interference::ClassShare},
    base::{ResourceVector, TaskId},
    indexmap::IndexMap,
    std::time::Duration,
};

/// A reservation and what is known of the task that holds it.
#[derive(Debug)]
pub(crate) struct HeldEntry {
    pub(crate) task: HeldTask,
    pub(crate) class: ClassIndex,
    pub(crate) since: Duration,
    /// The last measured use.
    pub(crate) used: ResourceVector,
    /// The number of its measurements, as far as it matters.
    pub(crate) samples: u32,
    /// The largest measured use.
    pub(crate) peak: ResourceVector,
    /// Percent of the reservation that it may use.
    pub(crate) throttle: u8,
    pub(crate) throttled_at: Duration,
    /// An eviction has been proposed and is not proposed again before this time.
    pub(crate) evict_again_at: Option<Duration>,
}

impl HeldEntry {
    pub(crate) fn new(now: Duration, class: ClassIndex, task: HeldTask) -> Self {
        Self {
            task,
            class,
            since: now,
            used: ResourceVector::ZERO,
            samples: 0,
            peak: ResourceVector::ZERO,
            throttle: 100,
            throttled_at: now,
            evict_again_at: None,
        }
    }

    /// What it takes of its worker: what is reserved, or what is used where that is more.
    pub(crate) fn footprint(&self) -> ResourceVector {
        self.task.reserved.max_each(&self.used)
    }

    /// True when it stops or has been proposed for it.
    pub(crate) fn is_leaving(&self) -> bool {
        self.task.stopping || self.evict_again_at.is_some()
    }

    /// What it adds to the books of its worker.
    pub(crate) fn weight(&self) -> TaskWeight {
        TaskWeight {
            footprint: self.footprint(),
            is_leaving: self.is_leaving(),
            share: ClassShare::of_task(self.class, self.task.reserved.cpu, self.throttle),
        }
    }
}

/// What a reservation adds to the books of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskWeight {
    pub(crate) footprint: ResourceVector,
    pub(crate) is_leaving: bool,
    pub(crate) share: ClassShare,
}

/// All reservations by task.
pub(crate) type HeldTable = IndexMap<TaskId, HeldEntry>;
