//! Withdraws the starts that were ordered before the executor's capacity shrank.
//!
//! Control orders no start that exceeds the capacity that it knows, and an order does not say what
//! it reserves. After its executor has shrunk, an agent therefore trusts no order that control may
//! have sent by the earlier capacity: not every executor refuses what does not fit, and a start
//! that is carried out seconds later would exceed what is left.

use {super::AgentNode, crate::message::WorkerReport};

const REFUSAL: &str = "the executor has shrunk";

impl AgentNode {
    /// Withdraws every start that the executor has not confirmed.
    pub(super) fn handle_shrink(&mut self) {
        for (task, run) in self.runs.withdraw_starts(self.now) {
            self.refuse_run(task, run, REFUSAL);
        }
        self.repeat_orders();
    }
}

/// Returns whether an executor has less of any resource than it had.
pub(super) fn has_shrunk(before: &WorkerReport, after: &WorkerReport) -> bool {
    !before.capacity.fits_in(after.capacity)
}
