//! Withdraws the starts that were ordered before the executor's capacity shrank.
//!
//! Control orders no start that exceeds the capacity that it knows, and an order does not say what
//! it reserves. After its executor has shrunk, an agent therefore trusts no order that control may
//! have sent by the earlier capacity: not every executor refuses what does not fit, and a start
//! that is carried out seconds later would exceed what is left.

use {
    super::{orders::EndTrace, AgentNode},
    crate::message::WorkerReport,
};

const REFUSAL: &str = "the executor has shrunk";

impl AgentNode {
    /// Withdraws every start that the executor has not confirmed, and asks the leader to confirm
    /// that it has the executor's new description, which has to be sent before.
    pub(super) fn handle_shrink(&mut self) {
        for (task, run, arrived) in self.runs.withdraw_starts(self.now) {
            self.refuse_run(task, run, REFUSAL, EndTrace::refused_by_agent(arrived));
        }
        self.ping();
        self.unconfirmed_shrink = Some(self.last_ping);
        self.repeat_orders();
    }

    /// Handles the answer to a ping. A stream keeps the order of its messages, so that all orders
    /// after this one take into account what the agent had sent before the ping.
    pub(super) fn confirm_shrink(&mut self, sequence: u64) {
        self.unconfirmed_shrink = self.unconfirmed_shrink.filter(|asked| *asked > sequence);
    }

    /// Returns why the executor may start nothing for the moment.
    pub(super) fn refusal_reason(&self) -> Option<&'static str> {
        let draining = self.executor.as_ref().is_some_and(|e| e.report.drain_left_ms.is_some());
        if draining {
            return Some("the executor is draining");
        }
        self.unconfirmed_shrink.map(|_| REFUSAL)
    }
}

/// Returns whether an executor has less of any resource than it had.
pub(super) fn has_shrunk(before: &WorkerReport, after: &WorkerReport) -> bool {
    !before.capacity.fits_in(after.capacity)
}
