//! Dispatch history of one request, and the outcome that follows from it.

use {
    super::{NotRunProof, RetryPermit},
    crate::router::Assignment,
    proto::messages::{ForwardedAnswer, NotRunReason, UnknownReason},
};

/// Confirms to a caller that its request did not run and never will. Only
/// [`AttemptHistory::give_up`] creates a verdict, and a verdict does not permit another dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunVerdict {
    reason: NotRunReason,
}

impl NotRunVerdict {
    /// Returns why the request did not run.
    pub fn reason(self) -> NotRunReason {
        self.reason
    }
}

/// Outcome of a request, as reported to its caller.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The executor's complete answer.
    Answered(ForwardedAnswer),
    /// The request did not run and never will.
    NotRun(NotRunVerdict),
    /// The request may or may not have run.
    Unknown(UnknownReason),
}

/// Counts the dispatches of one request and tracks whether one of them may have run.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    dispatches: u32,
    outstanding: u32,
    unknown_reason: Option<UnknownReason>,
}

impl AttemptHistory {
    /// Starts the first dispatch and returns its number, or `None` if the request was dispatched
    /// before.
    pub fn begin_first(&mut self) -> Option<u32> {
        if self.dispatches > 0 {
            return None;
        }
        Some(self.begin_dispatch())
    }

    /// Starts a further dispatch and returns its number.
    pub fn begin_retry(&mut self, _permit: RetryPermit) -> u32 {
        self.begin_dispatch()
    }

    fn begin_dispatch(&mut self) -> u32 {
        let number = self.dispatches;
        self.dispatches += 1;
        self.outstanding += 1;
        number
    }

    /// Records that a dispatch was answered.
    pub fn record_answered(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that a dispatch provably did not run.
    pub fn record_not_run(&mut self, _proof: &NotRunProof) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that a decided dispatch was never sent. Its only assignment has come back, which
    /// proves it.
    pub(crate) fn record_withdrawn(&mut self, _assignment: &Assignment) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that a dispatch may have run.
    pub fn record_unknown(&mut self, reason: UnknownReason) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.unknown_reason = Some(reason);
    }

    /// Returns the number of dispatches so far.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Returns the number of dispatches that have not ended.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the outcome of a request that ends without an answer. The outcome is "not run" only
    /// if every dispatch provably did not run; a dispatch that is still in flight or may have run
    /// makes it unknown.
    pub fn give_up(&self, reason: NotRunReason) -> RequestOutcome {
        match (self.unknown_reason, self.outstanding) {
            (Some(unknown_reason), _) => RequestOutcome::Unknown(unknown_reason),
            (None, 0) => RequestOutcome::NotRun(NotRunVerdict { reason }),
            (None, _) => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
        }
    }
}

/// Returns the outcome of a request that was rejected before any dispatch.
pub fn reject_undispatched(reason: NotRunReason) -> RequestOutcome {
    AttemptHistory::default().give_up(reason)
}
