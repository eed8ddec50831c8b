//! What the processes of the system say to each other, and the HTTP rim on which they say it.
//!
//! The crate holds typed messages, their `rmp-serde` frames, an RPC client whose errors tell
//! whether the peer can have acted, and an HTTP server with bounds on everything that a peer can
//! make it keep. It knows nothing of policy: who is chosen, retried or refused is decided by
//! `routing`, `control` and `agent`, which call it. See `docs/ARCHITECTURE.md` and
//! `docs/SECURITY.md`.

pub mod envelope;
pub mod messages;
pub mod operator_client;
pub mod rpc;
pub mod server;
