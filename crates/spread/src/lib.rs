//! How a process comes to the newest declarations and never goes back.
//!
//! Every message names the highest revision that its sender has in force. A process that hears of
//! a newer one asks whoever named it, so that an entry or agent that control can't reach still
//! learns it from any process that it can talk to. The crate is pure and knows nothing of roles;
//! `control`, `entry` and `agent` call it. See `docs/decisions/configuration-spread.md`.

mod store;

pub use store::{DeclarationStore, OfferOutcome};
