//! The event loops of the deployed processes: sockets, disk and timers around the reducers of
//! `workflow`.
//!
//! Each loop runs on one thread and reduces in place; control writes its log on a second one. How
//! callers, operators and executors speak is left to whoever starts a loop, by the handles and
//! [`ExecutorPort`].

mod agent;
mod clock;
mod control;
mod entry;
mod leader;
mod logging;

pub use {
    agent::{start_agent, AgentHandle, AgentSetup, ExecutorPort, HoldRequest, RunRequest},
    clock::BootClock,
    control::{start_control, ControlError, ControlHandle, ControlSetup},
    entry::{start_entry, EntryHandle, EntrySetup},
    leader::LEASE_CEILING,
    logging::LineLog,
};
