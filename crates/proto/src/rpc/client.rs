//! The calling side of RPC.

use {
    super::{numeric_client, ProcessIdentity, RpcCall, RpcRefusal},
    crate::envelope::{self, CheckedFrame, FrameError, MessageHeader},
    base::PeerAddress,
    serde::Deserialize,
    snafu::Snafu,
    std::{sync::Arc, time::Duration},
};

/// The content type of frames.
pub const FRAME_CONTENT_TYPE: &str = "application/x-mangorouter-frame";
const IDLE_CONNECTIONS_PER_PEER: usize = 8;
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
/// The size of the HTTP library's buffers, per connection and direction, in bytes. The library's
/// default of 128 KiB would be allocated for every new connection.
const BUFFER_BYTES: usize = 16 * 1024;
/// How long connecting may take. A caller gives up on an unresponsive peer while there is still
/// time to try another one.
const CONNECT_DEADLINE: Duration = Duration::from_secs(1);
/// The largest reply that the client reads, in bytes.
pub const MAX_REPLY_BYTES: u64 = 64 * 1024 * 1024;

/// Why a call has no reply.
#[derive(Debug, Snafu)]
pub enum RpcError {
    /// No connection was established, so that the peer can't have executed the call.
    #[snafu(display("no connection to {peer}: {detail}"))]
    NotConnected {
        /// The peer.
        peer: PeerAddress,
        /// The HTTP library's error.
        detail: String,
    },
    /// The peer rejected the message before processing it, so that the call was not executed.
    #[snafu(display("{peer} refused the message: {refusal}"))]
    Refused {
        /// The peer.
        peer: PeerAddress,
        /// The reason that the peer gave.
        refusal: RpcRefusal,
    },
    /// The message could not be encoded, so that nothing was sent.
    #[snafu(display("the message can't be encoded: {source}"))]
    NotSent {
        /// The encoding error.
        source: FrameError,
    },
    /// The connection was lost or the deadline passed after the message may have been sent.
    #[snafu(display("no reply from {peer}: {detail}"))]
    NoReply {
        /// The peer.
        peer: PeerAddress,
        /// The HTTP library's error.
        detail: String,
    },
    /// The peer's response is not a valid reply to this message.
    #[snafu(display("{peer} sent a bad reply: {source}"))]
    BadReply {
        /// The peer.
        peer: PeerAddress,
        /// The decoding error.
        source: FrameError,
    },
}

impl RpcError {
    /// Returns true if the peer provably did not execute the call.
    pub fn proves_not_done(&self) -> bool {
        match self {
            Self::NotConnected { .. } | Self::Refused { .. } | Self::NotSent { .. } => true,
            Self::NoReply { .. } | Self::BadReply { .. } => false,
        }
    }
}

/// Whether a call may reuse a connection. A call on a pooled connection that no longer delivers
/// data waits for its whole deadline, so that calls that can't be repeated use a new connection
/// (`docs/decisions/connections.md`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Opens a new connection; a failure to connect proves that nothing was sent.
    Fresh,
    /// Reuses an idle connection if there is one.
    Pooled,
}

/// Sends calls on behalf of a process.
#[derive(Clone)]
pub struct RpcClient {
    identity: Arc<ProcessIdentity>,
    fresh: ureq::Agent,
    pool: ureq::Agent,
}

impl RpcClient {
    /// Creates a client whose message headers come from `identity`.
    pub fn new(identity: Arc<ProcessIdentity>) -> Self {
        Self { identity, fresh: build_agent(0), pool: build_agent(IDLE_CONNECTIONS_PER_PEER) }
    }

    /// Sends `call` and waits up to `deadline` for the reply. Records the peer's header and returns
    /// it with the reply.
    pub fn call<C: RpcCall>(
        &self,
        peer: PeerAddress,
        connection: ConnectionUse,
        deadline: Duration,
        call: &C,
    ) -> Result<(MessageHeader, C::Reply), RpcError> {
        let frame = envelope::seal(self.identity.header(), call)
            .map_err(|source| RpcError::NotSent { source })?;
        let agent = match connection {
            ConnectionUse::Fresh => &self.fresh,
            ConnectionUse::Pooled => &self.pool,
        };
        let bytes = send(agent, peer, C::PATH, deadline, &frame)?;
        let frame = CheckedFrame::open(&self.identity.sender().cluster, &bytes)
            .map_err(|source| RpcError::BadReply { peer, source })?;
        self.identity.observe(&frame.header);
        let reply = frame.body().map_err(|source| RpcError::BadReply { peer, source })?;
        Ok((frame.header, reply))
    }
}

fn build_agent(idle_connections: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .input_buffer_size(BUFFER_BYTES)
        .max_redirects(0)
        .output_buffer_size(BUFFER_BYTES)
        .proxy(None)
        .max_idle_connections_per_host(idle_connections)
        .max_idle_age(MAX_IDLE_AGE);
    let config = if idle_connections == 0 { config.max_idle_connections(0) } else { config };
    numeric_client(config.build())
}

fn send(
    agent: &ureq::Agent,
    peer: PeerAddress,
    path: &str,
    deadline: Duration,
    frame: &[u8],
) -> Result<Vec<u8>, RpcError> {
    let sent = agent
        .post(format!("http://{peer}{path}"))
        .config()
        .timeout_connect(Some(deadline.min(CONNECT_DEADLINE)))
        .timeout_global(Some(deadline))
        .build()
        .content_type(FRAME_CONTENT_TYPE)
        .send(frame);
    let mut response = sent.map_err(|error| classify_error(peer, &error))?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES).read_to_vec();
    let body = body.map_err(|error| no_reply(peer, &error))?;
    check_status(peer, status, body)
}

fn check_status(peer: PeerAddress, status: u16, body: Vec<u8>) -> Result<Vec<u8>, RpcError> {
    if status == 200 {
        return Ok(body);
    }
    if let Some(refusal) = server_refusal(&body) {
        return Err(RpcError::Refused { peer, refusal });
    }
    match rmp_serde::from_slice(&body) {
        Ok(refusal) => Err(RpcError::Refused { peer, refusal }),
        Err(_) => Err(RpcError::NoReply { peer, detail: format!("status {status}") }),
    }
}

/// The problem with which the peer's HTTP server rejects a message before its handler receives it.
#[derive(Deserialize)]
struct ServerProblem {
    outcome: String,
    reason: String,
}

fn server_refusal(body: &[u8]) -> Option<RpcRefusal> {
    let problem: ServerProblem = serde_json::from_slice(body).ok()?;
    if problem.outcome != "not-run" {
        return None;
    }
    Some(match problem.reason.as_str() {
        "body-too-large" => RpcRefusal::TooLarge,
        "broken-body" | "slow-body" => RpcRefusal::Malformed,
        _ => RpcRefusal::Overloaded,
    })
}

fn no_reply(peer: PeerAddress, error: &impl ToString) -> RpcError {
    RpcError::NoReply { peer, detail: error.to_string() }
}

/// Classifies a transport error. A failure to connect proves that nothing was sent; every later
/// failure leaves the outcome unknown.
fn classify_error(peer: PeerAddress, error: &ureq::Error) -> RpcError {
    let detail = error.to_string();
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            RpcError::NotConnected { peer, detail }
        }
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            RpcError::NotConnected { peer, detail }
        }
        _ => RpcError::NoReply { peer, detail },
    }
}
