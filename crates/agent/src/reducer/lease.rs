//! The worker's lease as the agent counts it.

use {base::TermNumber, std::time::Duration};

/// The right to run tasks, up to a local deadline.
///
/// The deadline counts from when the heartbeat that renewed it was sent, which is earlier than
/// when control granted it, so that the agent's lease always ends before control's.
#[derive(Debug, Default)]
pub(super) struct WorkerLease {
    deadline: Option<Duration>,
    term: TermNumber,
}

impl WorkerLease {
    /// Takes a renewal. One of an older term is worth nothing: its leader has been replaced.
    pub(super) fn renew(&mut self, term: TermNumber, sent: Duration, length: Duration) -> bool {
        if term < self.term {
            return false;
        }
        self.term = term;
        self.deadline = Some(self.deadline.unwrap_or_default().max(sent + length));
        true
    }

    /// Gives the lease up.
    pub(super) fn surrender(&mut self) {
        self.deadline = None;
    }

    /// The lease's end, if one is held.
    pub(super) fn deadline(&self) -> Option<Duration> {
        self.deadline
    }

    /// When tasks are to be stopped unless the lease is renewed.
    pub(super) fn stop_at(&self, margin: Duration) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.saturating_sub(margin))
    }

    /// True when tasks may run and be started.
    pub(super) fn holds(&self, now: Duration, margin: Duration) -> bool {
        self.stop_at(margin).is_some_and(|stop| now < stop)
    }
}
