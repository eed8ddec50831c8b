//! The leader's own work: declaring workers lost, advancing the ledger's clock, lowering the lease
//! bound and asking the placement model for decisions.

use {
    super::{log::ProposalOwner, ControlNode},
    crate::state::FleetCommand,
    base::WorkerId,
    std::time::Duration,
};

/// Interval between two entries that advance the ledger's clock while the ledger holds keys.
const LEDGER_STEP: Duration = Duration::from_secs(10);
/// How much faster than real time the leader's clock may run, in thousandths. Keys must not expire
/// earlier than their owners expect.
const CLOCK_DRIFT_PERMILLE: u32 = 10;
const PERMILLE: u32 = 1000;

impl ControlNode {
    pub(super) fn run_housekeeping(&mut self) {
        self.lose_expired();
        self.move_clocks();
    }

    fn lose_expired(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        leader.processes.forget_silent(now);
        let expired = leader.leases.take_expired(now);
        if expired.is_empty() {
            return;
        }
        let workers = expired.iter().map(|(worker, _)| worker.clone()).collect();
        let loss = |(worker, incarnation)| FleetCommand::ExpireWorker { worker, incarnation };
        let commands = expired.into_iter().map(loss).collect();
        self.propose(ProposalOwner::Losses(workers), commands);
    }

    /// Ends the tracking of each worker that is now lost. A worker whose loss was not committed or
    /// had no effect is checked again.
    pub(super) fn losses_settled(&mut self, workers: &[WorkerId]) {
        let Some(leader) = &mut self.leader else { return };
        for worker in workers {
            match self.state.workers().get(worker) {
                Some(record) if !record.lost => leader.leases.retry_ending(worker),
                _ => leader.leases.forget(worker),
            }
        }
    }

    fn move_clocks(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if leader.housekeeping {
            return;
        }
        let mut commands = Vec::new();
        if self.state.ledger().is_empty() {
            leader.ledger_at = now;
        } else if now >= leader.ledger_at + LEDGER_STEP {
            let elapsed = now - leader.ledger_at;
            let certain = elapsed - elapsed * CLOCK_DRIFT_PERMILLE / PERMILLE;
            commands
                .push(FleetCommand::AdvanceLedgerClock { elapsed_ms: certain.as_millis() as u64 });
            leader.ledger_at = now;
        }
        let declarations = self.state.declarations();
        let bound = declarations.lease_bound();
        let settled_at = leader.elected_at.max(leader.revision_at) + bound * 2;
        if bound > declarations.declared_lease() && now >= settled_at {
            commands.push(FleetCommand::LowerLeaseBound { revision: declarations.revision() });
        }
        if !commands.is_empty() {
            leader.housekeeping = true;
            self.propose(ProposalOwner::Housekeeping, commands);
        }
    }

    /// Allows the next update. Time that was not committed is lost, so keys are kept longer, never
    /// shorter.
    pub(super) fn housekeeping_settled(&mut self) {
        if let Some(leader) = &mut self.leader {
            leader.housekeeping = false;
        }
    }

    pub(super) fn decide(&mut self) {
        let (now, wall) = (self.now, self.wall());
        let Some(leader) = &mut self.leader else { return };
        let commands = leader.decide(now, wall, &self.state);
        if !commands.is_empty() {
            self.propose(ProposalOwner::Decisions, commands);
        }
    }

    pub(super) fn decisions_settled(&mut self) {
        if let Some(leader) = &mut self.leader {
            leader.decisions_pending = false;
            leader.decision_due = true;
        }
    }

    pub(super) fn worker_settled(&mut self, worker: &WorkerId) {
        if let Some(leader) = &mut self.leader {
            leader.reporting.swap_remove(worker);
        }
    }
}
