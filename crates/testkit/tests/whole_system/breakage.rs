//! Deliberate faults that only tests inject, around the reducers and not within them.

/// A deliberate fault that the witness must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// The network reports to an entry that a lost dispatch never connected, so that the entry
    /// retries without proof.
    ClaimNotConnected,
    /// The platform reports to an agent that it has stopped a task that keeps running.
    ReportFalseStops,
    /// A new leader's clock runs fast until more than a lease has passed, so that the leader does
    /// not wait for the leases that its predecessor granted.
    SkipLeaseWait,
    /// Each answer of an executor goes to the dispatch that ends next on that executor.
    SwapAnswers,
    /// A restarted agent loses the declarations that it had saved.
    RevertRevision,
    /// Agents receive the end of an executor call when the call has only begun.
    ReleaseSlotsEarly,
}
