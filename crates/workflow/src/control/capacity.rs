//! Workers whose capacity has shrunk below what is reserved on them.
//!
//! Placement counts by the present capacity, but an order may be carried out long after its
//! placement: because it was lost, because its agent has restarted, or because its entry was
//! committed late. Not every executor refuses what does not fit. `docs/decisions/platform.md` says
//! what becomes of such orders.

use {
    super::ControlNode,
    crate::{
        event::StopReason,
        job::WorkerIncarnation,
        plan::{reserved_on, Placement},
    },
    std::sync::Arc,
};

impl ControlNode {
    /// Returns whether the reservations on an executor exceed its capacity, so that no run may
    /// begin there.
    pub(super) fn is_overfull(&self, executor: &Arc<str>) -> bool {
        let Some(leader) = &self.leader else { return false };
        let Some(view) = leader.workers.get(executor) else { return false };
        !reserved_on(&leader.speculative, executor).fits_in(view.report.capacity)
    }

    /// Forgets that the runs on a worker were ordered. The next list of its agent decides which of
    /// them are ordered again.
    pub(super) fn forget_orders(&mut self, worker: &WorkerIncarnation) {
        let Some(leader) = &mut self.leader else { return };
        for placement in leader.placements_on(worker) {
            leader.ordered.remove(&placement.task);
        }
    }

    /// Withdraws an order that its worker does not list. The agent settles it by a stop, which
    /// keeps the executor from starting the run late, and reports that the run never began.
    pub(super) fn withdraw_order(&mut self, placement: &Placement) {
        let stop = self.stop_run(placement, StopReason::WorkerShrunk);
        self.effects.extend(stop);
    }
}
