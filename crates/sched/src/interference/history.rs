//! Records which classes shared a worker at what time, so that a late measurement is attributed to
//! the neighbours of that time.

use {
    crate::classes::ClassIndex,
    base::CpuMillis,
    std::{collections::VecDeque, time::Duration},
};

/// The number of past occupancies kept for each worker.
const HISTORY_LIMIT: usize = 32;

/// The level of a task that is not throttled, in percent.
const FULL_PERCENT: u64 = 100;

/// The processors of a worker that one task, or all tasks of a class, may use. Amounts are
/// integers, so that adding and subtracting a task leaves no rounding error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClassShare {
    /// The class.
    pub(crate) class: ClassIndex,
    /// Processors that the tasks may use under their throttles, in thousandths of a core times
    /// percent.
    active: u64,
    /// Processors that the tasks may use without throttles, in the same unit.
    demand: u64,
    /// The number of tasks.
    pub(crate) tasks: u32,
}

impl ClassShare {
    /// Returns the share of one task.
    pub(crate) fn of_task(class: ClassIndex, cpu: CpuMillis, throttle_percent: u8) -> Self {
        let active = cpu.0 * u64::from(throttle_percent);
        Self { class, active, demand: cpu.0 * FULL_PERCENT, tasks: 1 }
    }

    /// Returns the fraction of the worker's processors that the tasks may use under their
    /// throttles.
    pub(crate) fn active_part(&self, capacity: CpuMillis) -> f64 {
        part(self.active, capacity)
    }

    /// Returns the fraction of the worker's processors that the tasks may use without throttles.
    pub(crate) fn demand_part(&self, capacity: CpuMillis) -> f64 {
        part(self.demand, capacity)
    }
}

fn part(amount: u64, capacity: CpuMillis) -> f64 {
    amount as f64 / (capacity.0.max(1) * FULL_PERCENT) as f64
}

/// The classes that share a worker, in ascending order, each with its share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Occupancy(Vec<ClassShare>);

impl Occupancy {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ClassShare> + Clone {
        self.0.iter()
    }

    pub(crate) fn holds(&self, class: ClassIndex) -> bool {
        self.0.binary_search_by_key(&class, |share| share.class).is_ok()
    }

    pub(crate) fn add(&mut self, task: &ClassShare) {
        match self.0.binary_search_by_key(&task.class, |share| share.class) {
            Ok(position) => {
                let share = &mut self.0[position];
                share.active += task.active;
                share.demand += task.demand;
                share.tasks += task.tasks;
            }
            Err(position) => self.0.insert(position, *task),
        }
    }

    pub(crate) fn subtract(&mut self, task: &ClassShare) {
        let Ok(position) = self.0.binary_search_by_key(&task.class, |share| share.class) else {
            return;
        };
        let share = &mut self.0[position];
        share.active = share.active.saturating_sub(task.active);
        share.demand = share.demand.saturating_sub(task.demand);
        share.tasks = share.tasks.saturating_sub(task.tasks);
        if share.tasks == 0 {
            self.0.remove(position);
        }
    }
}

/// The past occupancies of one worker, newest last.
#[derive(Debug, Default)]
pub(crate) struct OccupancyHistory {
    entries: VecDeque<(Duration, Occupancy)>,
}

impl OccupancyHistory {
    /// Records the occupancy from `at` on.
    pub(crate) fn push(&mut self, at: Duration, shares: &Occupancy) {
        if self.entries.back().is_some_and(|(_, last)| last == shares) {
            return;
        }
        if self.entries.back().is_some_and(|(since, _)| *since == at) {
            self.entries.pop_back();
        }
        if self.entries.len() == HISTORY_LIMIT {
            self.entries.pop_front();
        }
        self.entries.push_back((at, shares.clone()));
    }

    /// Returns the occupancy during the whole time from `from` to `to`, or `None` when the
    /// occupancy changed in between or is no longer kept.
    pub(crate) fn during(&self, from: Duration, to: Duration) -> Option<&Occupancy> {
        let (since, shares) = self.entries.iter().rev().find(|(since, _)| *since <= to)?;
        (*since <= from).then_some(shares)
    }
}
