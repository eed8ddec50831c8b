//! Descriptions of another incarnation, while the present executor may still be there.
//!
//! Only the executor's address tells which incarnation is there: other programs can send a
//! description, and one of an earlier incarnation can arrive late. The incident is in
//! `docs/incidents/foreign-heartbeat.md`.

use {
    super::AgentNode,
    crate::{event::FlowEvent, message::WorkerReport},
    std::time::Duration,
};

/// The description of another incarnation than the present executor.
#[derive(Debug)]
pub(super) struct SuccessorClaim {
    pub(super) report: WorkerReport,
    pub(super) sequence: u64,
    /// The time of the description. An answer of the present executor to a later poll refutes it.
    claimed_at: Duration,
}

impl AgentNode {
    /// Keeps a description and polls the present executor at once. Replaces a poll in progress that
    /// may wait for an end: polls during a claim do not wait.
    pub(super) fn note_claim(&mut self, report: WorkerReport, sequence: u64) {
        let now = self.now;
        let first =
            self.claim.replace(SuccessorClaim { report, sequence, claimed_at: now }).is_none();
        let Some(executor) = self.executor.as_mut().filter(|_| first) else { return };
        executor.poll_sent = None;
        executor.next_poll = executor.next_poll.min(now);
        self.poll_executor();
    }

    /// Drops a description that the answer to a later poll of the present executor refutes.
    pub(super) fn refuse_claim(&mut self, asked: Duration) {
        let refuted = self.claim.take_if(|claim| claim.claimed_at <= asked);
        let (Some(claim), Some(worker)) = (refuted, self.incarnation()) else { return };
        let from = format!("heartbeat of {}", claim.report.worker);
        let reason = format!("{worker} still answers at the executor's address");
        self.record(FlowEvent::MessageRefused { from, reason });
    }
}
