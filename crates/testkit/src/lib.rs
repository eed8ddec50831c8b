//! Stand-ins for what lies outside the system: a worker's platform, an executor, and peers that
//! misbehave on the wire. Tests, `mangorouter dev` and scripts that run a fleet on loopback use
//! them.
//!
//! The stand-ins make no decisions for the system. The roles don't depend on this crate; their
//! tests and the `dev` and `stand-in` roles of the binary do.

pub mod executor;
pub mod peer;
pub mod worker;

pub use {
    executor::{ExecutorFault, StandInExecutor, StandInExecutorSettings},
    peer::{DelayRelay, RawPeer, RawPeerMode},
    worker::{PlatformTasks, StandInWorker, StandInWorkerSettings, WorkerFault, WorkerRun},
};

use {base::PeerAddress, snafu::Snafu};

/// An error that keeps a stand-in from starting.
#[derive(Debug, Snafu)]
pub enum StandInError {
    /// The stand-in can't listen on its address.
    #[snafu(display("can't listen on {address}: {detail}"))]
    Listen {
        /// The address to listen on.
        address: PeerAddress,
        /// Error of the operating system or the HTTP server.
        detail: String,
    },
}

fn listen(address: PeerAddress) -> Result<(tiny_http::Server, PeerAddress), StandInError> {
    let server = tiny_http::Server::http(address.0)
        .map_err(|error| StandInError::Listen { address, detail: error.to_string() })?;
    let bound = server.server_addr().to_ip().map_or(address, PeerAddress);
    Ok((server, bound))
}
