//! What has been tried for one request, and what that allows to be said.

use {
    super::{NotRunProof, RetryPermit},
    crate::router::Assignment,
    proto::messages::{ForwardedAnswer, NotRunReason, UnknownReason},
};

/// What may be told to a caller whose request did not run and never will. Made by
/// [`AttemptHistory::give_up`] alone, and no ground for a further dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRunVerdict {
    reason: NotRunReason,
}

impl NotRunVerdict {
    /// Why the request did not run.
    pub fn reason(self) -> NotRunReason {
        self.reason
    }
}

/// What a caller is told.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The executor's whole answer.
    Answered(ForwardedAnswer),
    /// It did not run and never will.
    NotRun(NotRunVerdict),
    /// Nobody knows whether it ran.
    Unknown(UnknownReason),
}

/// Counts the dispatches of one request and those that may have run.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    dispatches: u32,
    outstanding: u32,
    doubt: Option<UnknownReason>,
}

impl AttemptHistory {
    /// The number of the first dispatch, or `None` when there has been one.
    pub fn first(&mut self) -> Option<u32> {
        if self.dispatches > 0 {
            return None;
        }
        Some(self.begin())
    }

    /// The number of a further dispatch.
    pub fn again(&mut self, _permit: RetryPermit) -> u32 {
        self.begin()
    }

    fn begin(&mut self) -> u32 {
        let number = self.dispatches;
        self.dispatches += 1;
        self.outstanding += 1;
        number
    }

    /// A dispatch was answered.
    pub fn answered(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// A dispatch provably did not run.
    pub fn not_run(&mut self, _proof: &NotRunProof) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// A dispatch was decided but never sent: its assignment, of which there is one, came back.
    pub(crate) fn withdrawn(&mut self, _assignment: &Assignment) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// A dispatch may have run.
    pub fn unknown(&mut self, reason: UnknownReason) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.doubt = Some(reason);
    }

    /// Dispatches so far.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Dispatches whose end is not known yet.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Ends the request without an answer. It is "not run" only when every dispatch provably did
    /// not run; one that is still out or may have run makes it unknown.
    pub fn give_up(&self, reason: NotRunReason) -> RequestOutcome {
        match (self.doubt, self.outstanding) {
            (Some(doubt), _) => RequestOutcome::Unknown(doubt),
            (None, 0) => RequestOutcome::NotRun(NotRunVerdict { reason }),
            (None, _) => RequestOutcome::Unknown(UnknownReason::DeadlinePassed),
        }
    }
}

/// Refuses a request that was never dispatched.
pub fn refuse_undispatched(reason: NotRunReason) -> RequestOutcome {
    AttemptHistory::default().give_up(reason)
}
