//! Jobs of dependent steps: the replicated state, placement, and the reducers of control and agent.
//!
//! All code here is pure: reducers receive events with the time and return effects. The crate knows
//! neither sockets nor the formats of callers, operators and executors. The design is in
//! `docs/decisions/platform.md`.

pub mod agent;
pub mod control;
pub mod event;
pub mod job;
pub mod message;
pub mod plan;
pub mod state;
