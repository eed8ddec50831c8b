//! Rows of the executor's lists that can't be decoded. `docs/incidents/odd-entry.md` has the failure.
//!
//! Such a row is never acknowledged by itself: its number need not be one of the executor's, which
//! would then forget an end that it has not listed yet. It is forgotten with the next end after it.

use {
    super::{
        types::{RunList, UnreadableRow},
        AgentNode,
    },
    crate::{event::FlowEvent, job::TaskKey},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The most different reasons that are logged for one incarnation of an executor.
const LOGGED_REASONS_LIMIT: usize = 16;
/// Time for which a row may stand for a run of the task that it names. After it, the run is settled as
/// if the row were not there, since nothing else would end it.
const STAND_IN_TIME: Duration = Duration::from_secs(5);

/// The unreadable rows of one incarnation.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    /// The rows of the last answer.
    rows: Vec<UnreadableRow>,
    /// The tasks that these rows name, with the time since which rows have named them.
    named: BTreeMap<TaskKey, Duration>,
    logged: BTreeSet<(RunList, String)>,
}

impl UnreadableRows {
    /// Returns whether the list of ends has such rows, so that the executor answers polls at once.
    pub(super) fn has_ends(&self) -> bool {
        self.rows.iter().any(|row| row.list == RunList::Finished)
    }

    /// Returns whether a row may stand for a run of a task: then the lists do not show which of its
    /// runs are there.
    pub(super) fn may_hide(&self, task: TaskKey, now: Duration) -> bool {
        let since = self.named.get(&task);
        since.is_some_and(|since| now.saturating_sub(*since) < STAND_IN_TIME)
    }

    /// Replaces the rows. Returns the descriptions of those that were not logged before.
    fn replace(&mut self, rows: Vec<UnreadableRow>, now: Duration) -> Vec<String> {
        let earlier = std::mem::take(&mut self.named);
        let named = rows.iter().filter_map(|row| row.task);
        self.named = named.map(|task| (task, earlier.get(&task).copied().unwrap_or(now))).collect();
        let mut unlogged = Vec::new();
        for row in &rows {
            let is_full = self.logged.len() >= LOGGED_REASONS_LIMIT;
            if !is_full && self.logged.insert((row.list, row.reason.clone())) {
                let list = match row.list {
                    RunList::Running => "running",
                    RunList::Finished => "ended",
                };
                unlogged.push(format!("unreadable row of the {list} runs: {}", row.reason));
            }
        }
        self.rows = rows;
        unlogged
    }
}

impl AgentNode {
    pub(super) fn note_unreadable(&mut self, rows: Vec<UnreadableRow>) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        let from = format!("executor {}", executor.report.worker);
        for reason in executor.unreadable.replace(rows, now) {
            self.record(FlowEvent::MessageRefused { from: from.clone(), reason });
        }
    }
}
