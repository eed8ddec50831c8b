//! The one shape in which decisions are written, so that the same code runs in the daemon, in a
//! scenario and in a bench. See `docs/ARCHITECTURE.md`, "Reducers and drivers".

use std::time::Duration;

/// A deterministic state machine that turns events into effects.
///
/// An implementation has no clock, no thread, no I/O and no iteration order that depends on
/// hashing: the same events at the same times always give the same effects. A driver performs the
/// effects and feeds their results back as events.
pub trait EventReducer {
    /// What can happen to the state.
    type Event;
    /// What the driver is asked to do.
    type Effect;

    /// Applies one event. `now` is monotonic time since an arbitrary origin fixed for the life of
    /// the process, and never decreases between calls.
    fn reduce(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Effect>;
}
