//! Messages exchanged between the processes of the system, and the HTTP server and clients that
//! carry them.
//!
//! The crate defines typed messages, their `rmp-serde` frames, an RPC client whose errors tell
//! whether the peer can have executed the call, and an HTTP server that bounds every resource a
//! peer can occupy. It knows nothing of policy: `routing`, `control` and `agent` decide which peer
//! to call, when to retry and what to reject. See `docs/ARCHITECTURE.md` and `docs/SECURITY.md`.

pub mod envelope;
pub mod messages;
pub mod operator_client;
pub mod rpc;
pub mod server;
