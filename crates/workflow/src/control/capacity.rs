//! Workers whose capacity has shrunk below what is reserved on them.
//!
//! Placement counts by the present capacity, but an order may be carried out long after its
//! placement: because it was lost, because its agent has restarted, or because its entry was
//! committed late. Not every executor refuses what does not fit. `docs/decisions/platform.md` says
//! what becomes of such orders.

use {
    super::{endings::EndCause, types::ControlEffect, ControlNode},
    crate::{
        event::{EndFact, FactSource, FlowEvent, StopReason},
        job::{TaskDemand, WorkerIncarnation},
        message::{LinkMessage, StartOrder, WorkerReport},
        plan::{reserved_on, Placement},
        state::EndKind,
    },
    std::sync::Arc,
};

impl ControlNode {
    /// Logs that a worker has become smaller, or is too small for its reservations when it first
    /// reports to this leader.
    pub(super) fn record_shrinkage(&mut self, report: &WorkerReport) {
        let Some(leader) = &self.leader else { return };
        let WorkerReport { worker, capacity, .. } = report;
        let overfull = !reserved_on(&leader.speculative, &worker.executor).fits_in(*capacity);
        let known = leader.workers.get(&worker.executor);
        let shrunk = known.map_or(overfull, |view| !view.report.capacity.fits_in(*capacity));
        if !shrunk {
            return;
        }
        let (worker, TaskDemand { cpu_milli, memory_mb, accelerators }) =
            (worker.clone(), *capacity);
        let event =
            FlowEvent::WorkerShrunk { worker, cpu_milli, memory_mb, accelerators, overfull };
        self.record(event);
    }

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

    /// Returns why no run may begin on an executor any more, if so.
    pub(super) fn start_barrier(&self, executor: &Arc<str>) -> Option<StopReason> {
        if self.is_cordoned(executor) {
            return Some(StopReason::DataCentreCordoned);
        }
        self.is_overfull(executor).then_some(StopReason::WorkerShrunk)
    }

    /// Withdraws an order that its worker does not list. The agent settles it by a stop, which
    /// keeps the executor from starting the run late, and reports that the run never began.
    pub(super) fn withdraw_order(&mut self, placement: &Placement, reason: StopReason) {
        let stop = self.stop_run(placement, reason);
        self.effects.extend(stop);
    }

    /// Ends the run of a committed start that its worker may not begin any more. Returns whether the
    /// effect was such a start. Nothing has sent it, so that the run has certainly not begun.
    pub(super) fn withdraw_unsent(&mut self, effect: &ControlEffect) -> bool {
        let ControlEffect::Send { message: LinkMessage::Start(order), .. } = effect else {
            return false;
        };
        let StartOrder { worker, task, run, .. } = order;
        let Some(reason) = self.start_barrier(&worker.executor) else { return false };
        let (worker, now) = (worker.clone(), self.now);
        if let Some(leader) = &mut self.leader {
            leader.endings.note_stop(*task, *run, reason, now);
        }
        self.record(FlowEvent::RunStopped {
            task: *task,
            run: *run,
            worker: worker.clone(),
            reason,
        });
        let cause = EndCause { fact: EndFact::NeverSent, source: FactSource::LeaderOrders };
        self.end_run(&worker, (*task, *run), EndKind::Stopped, String::new(), cause);
        true
    }
}
