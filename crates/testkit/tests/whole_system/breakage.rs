//! Deliberate, test-only breakages, made around the reducers and not within them.

/// What is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// An entry is told that a lost dispatch never connected, and so retries without proof.
    ClaimNotConnected,
    /// An agent is told that the platform has stopped a task that runs on.
    ReportUnmadeStops,
    /// A new leader's clock runs fast until more than a lease has passed: it does not wait for the
    /// leases that its predecessor gave.
    HurryNewLeader,
    /// Executors' answers reach the dispatch that ended before.
    SwapAnswers,
    /// A restarted agent forgets the declarations that it had saved.
    RevertRevision,
    /// Agents are told that an executor call has ended when it has only begun.
    ForgetSlots,
}
