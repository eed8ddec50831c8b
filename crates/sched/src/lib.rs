//! Where tasks run: fit, quotas, priorities, interference, relief, eviction and blame.
//!
//! The crate is pure: it holds a model of the fleet, is told what happens and says what should be
//! done. It knows nothing of the log, of leases and of I/O: the leader of a control group feeds it
//! and commits its decisions before they take effect (`control`). What it has learned is soft
//! state that a new leader learns again. See `docs/decisions/placement.md`.

mod blame;
mod classes;
mod correction;
mod fleet;
mod held;
pub mod interface;
mod interference;
mod placement;
mod proposals;
mod queue;
mod quota;
mod relief;
mod workers;

pub use {fleet::FleetModel, interface::*};
