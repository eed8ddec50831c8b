//! Stand-ins for what lies outside the system, for tests, `mangorouter dev` and the scripts that
//! run a desk on loopback: a worker's platform, an executor, and peers that misbehave on the wire.
//!
//! Nothing here decides anything for the system. The roles don't depend on this crate; their
//! tests and the binary's `dev` role do.

pub mod executor;
pub mod peer;
pub mod worker;

pub use {
    executor::{ExecutorFault, StandInExecutor, StandInExecutorSettings},
    peer::{DelayRelay, RawPeer, RawPeerMode},
    worker::{PlatformTasks, StandInWorker, StandInWorkerSettings, WorkerFault, WorkerRun},
};

use {base::PeerAddress, snafu::Snafu};

/// Why a stand-in can't start.
#[derive(Debug, Snafu)]
pub enum StandInError {
    /// Its port can't be opened.
    #[snafu(display("can't listen on {address}: {detail}"))]
    Listen {
        /// The address.
        address: PeerAddress,
        /// What the system reported.
        detail: String,
    },
}

fn listen(address: PeerAddress) -> Result<(tiny_http::Server, PeerAddress), StandInError> {
    let server = tiny_http::Server::http(address.0)
        .map_err(|error| StandInError::Listen { address, detail: error.to_string() })?;
    let bound = server.server_addr().to_ip().map_or(address, PeerAddress);
    Ok((server, bound))
}
