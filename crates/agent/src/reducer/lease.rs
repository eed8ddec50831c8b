//! The worker's lease, measured on the agent's clock.

use {base::TermNumber, std::time::Duration};

/// The right to run tasks, up to a local deadline.
///
/// The deadline counts from when the agent sent the heartbeat that renewed the lease. That is
/// before control granted it, so the agent's lease always ends before control's.
#[derive(Debug, Default)]
pub(super) struct WorkerLease {
    deadline: Option<Duration>,
    term: TermNumber,
}

impl WorkerLease {
    /// Renews the lease. Returns false for a renewal of an older term: its leader has been
    /// replaced.
    pub(super) fn renew(&mut self, term: TermNumber, sent: Duration, length: Duration) -> bool {
        if term < self.term {
            return false;
        }
        self.term = term;
        self.deadline = Some(self.deadline.unwrap_or_default().max(sent + length));
        true
    }

    /// Gives up the lease.
    pub(super) fn give_up(&mut self) {
        self.deadline = None;
    }

    /// Returns the end of the lease, if the agent has one.
    pub(super) fn deadline(&self) -> Option<Duration> {
        self.deadline
    }

    /// Returns when the agent must stop its tasks unless control renews the lease.
    pub(super) fn stop_at(&self, margin: Duration) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_sub(margin))
    }

    /// Returns true when tasks may run and start.
    pub(super) fn is_valid(&self, now: Duration, margin: Duration) -> bool {
        self.stop_at(margin).is_some_and(|stop| now < stop)
    }
}
