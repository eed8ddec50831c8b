//! The control role: one reducer over the replicated log and its driver.
//!
//! The leader of a control group gives workers their leases, places tasks, keeps the ledger of
//! idempotency keys and accepts declarations; the other replicas keep the same state and serve
//! declarations from it. The crate knows nothing of how requests are routed or how a worker runs a
//! task. `mangorouter` starts it; agents, entries and `mangoctl` talk to it.

pub mod leader;
pub mod node;
pub mod state;

mod driver;

pub use driver::{ControlProcess, QuorumAcknowledgement, QuorumEnvelope, StartError};
