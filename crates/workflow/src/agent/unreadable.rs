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
    std::collections::BTreeSet,
};

/// The most different reasons that are logged for one incarnation of an executor.
const LOGGED_REASONS_LIMIT: usize = 16;

/// The unreadable rows of one incarnation.
#[derive(Debug, Default)]
pub(super) struct UnreadableRows {
    /// The rows of the last answer.
    rows: Vec<UnreadableRow>,
    logged: BTreeSet<(RunList, String)>,
}

impl UnreadableRows {
    /// Returns whether the list of ends has such rows, so that the executor answers polls at once.
    pub(super) fn has_ends(&self) -> bool {
        self.rows.iter().any(|row| row.list == RunList::Finished)
    }

    /// Returns whether a row names a task: then the lists do not show which of its runs are there.
    pub(super) fn name(&self, task: TaskKey) -> bool {
        self.rows.iter().any(|row| row.task == Some(task))
    }

    /// Replaces the rows. Returns the descriptions of those that were not logged before.
    fn replace(&mut self, rows: Vec<UnreadableRow>) -> Vec<String> {
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
        let Some(executor) = &mut self.executor else { return };
        let from = format!("executor {}", executor.report.worker);
        for reason in executor.unreadable.replace(rows) {
            self.record(FlowEvent::MessageRefused { from: from.clone(), reason });
        }
    }
}
