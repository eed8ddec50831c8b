//! The event loops of the deployed processes: they connect the reducers of `workflow` to sockets,
//! disk and timers.
//!
//! Each loop runs on one thread, where it also calls its reducer. Control writes its log on a
//! second thread. This crate does not know the protocols of callers, operators and executors:
//! whoever starts a loop provides them through the handles and [`ExecutorPort`].

mod agent;
mod clock;
mod control;
mod entry;
mod leader;
mod logging;
#[cfg(test)]
#[path = "../tests/unit/scripted.rs"]
mod scripted;

pub use {
    agent::{start_agent, AgentHandle, AgentSetup, ExecutorPort, HoldRequest, RunRequest},
    clock::BootClock,
    control::{start_control, ControlError, ControlHandle, ControlSetup},
    entry::{start_entry, EntryHandle, EntrySetup},
    leader::LEASE_CEILING,
    logging::LineLog,
};
