//! Distributes declarations to all processes. The revision in force at a process never decreases.
//!
//! Every message carries the highest revision that its sender has in force. A process that receives
//! a newer one pulls the declarations from the sender, so that an entry or agent that control can't
//! reach still gets them from any process that it can reach. The crate does no I/O and knows
//! nothing of roles; `control`, `entry` and `agent` use it. See
//! `docs/decisions/configuration-spread.md`.

mod store;

pub use store::{DeclarationStore, OfferOutcome};
