//! Decides where tasks run: fit, quotas, priorities, interference, throttling, eviction and failure
//! attribution.
//!
//! The crate is pure: the caller reports events to a model of the fleet, and the model returns
//! decisions. The crate may not depend on the log, on leases or on I/O: the leader of a control
//! group feeds the model and commits each decision before it takes effect (`control`). What the
//! model learns is soft state, which a new leader learns again. See `docs/decisions/placement.md`.

mod attribution;
mod classes;
mod correction;
mod fleet;
pub mod interface;
mod interference;
mod mitigation;
mod placement;
mod proposals;
mod queue;
mod quota;
mod reservations;
mod workers;

pub use {fleet::FleetModel, interface::*};
