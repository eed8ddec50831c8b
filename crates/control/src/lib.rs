//! The control role: a reducer over the replicated log, and the driver around it.
//!
//! The leader of a control group grants leases to workers, places tasks, keeps the ledger of
//! idempotency keys and accepts declarations. The other replicas hold the same state and serve
//! declarations from it. The crate does not know how requests are routed or how a worker runs a
//! task. `mangorouter` starts it; agents, entries and `mangoctl` call it.

pub mod leader;
pub mod node;
pub mod state;

mod driver;

pub use driver::{ControlProcess, QuorumAcknowledgement, QuorumEnvelope, StartError};
