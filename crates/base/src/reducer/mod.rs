//! The common interface of all decision logic, so that the same code runs in the daemon, in
//! scenarios and in benches. See `docs/ARCHITECTURE.md`, "Reducers and drivers".

use std::time::Duration;

/// A deterministic state machine that turns events into effects.
///
/// An implementation has no clock, no thread, no I/O and no iteration order that depends on
/// hashing: the same events at the same times always produce the same effects. A driver executes
/// the effects and feeds their results back as events.
pub trait EventReducer {
    /// The inputs that change the state.
    type Event;
    /// The actions that the driver executes.
    type Effect;

    /// Applies one event and returns its effects. `now` is the monotonic time since an arbitrary
    /// origin, which is fixed for the lifetime of the process; it never decreases between calls.
    fn reduce(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Effect>;
}
