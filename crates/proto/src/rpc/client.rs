//! The calling side.

use {
    super::{ProcessIdentity, RpcCall, RpcRefusal},
    crate::envelope::{self, CheckedFrame, FrameError, MessageHeader},
    base::PeerAddress,
    snafu::Snafu,
    std::{io::Read, sync::Arc, time::Duration},
};

/// The content type of frames.
pub const FRAME_CONTENT_TYPE: &str = "application/x-mangorouter-frame";
const IDLE_CONNECTIONS_PER_PEER: usize = 8;
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);
/// The largest reply that is read.
pub const REPLY_LIMIT: u64 = 64 * 1024 * 1024;

/// Why there is no reply.
#[derive(Debug, Snafu)]
pub enum RpcError {
    /// No connection came about, so that the peer can't have acted.
    #[snafu(display("no connection to {peer}: {detail}"))]
    NotConnected {
        /// The peer.
        peer: PeerAddress,
        /// What the library reported.
        detail: String,
    },
    /// The peer refused the message unread, so that it has not acted.
    #[snafu(display("{peer} refused the message: {refusal}"))]
    Refused {
        /// The peer.
        peer: PeerAddress,
        /// Why.
        refusal: RpcRefusal,
    },
    /// The message could not be written, so that nothing was sent.
    #[snafu(display("the message can't be encoded: {source}"))]
    NotSent {
        /// What the codec reported.
        source: FrameError,
    },
    /// The connection was lost or the deadline passed after the message may have been sent.
    #[snafu(display("no reply from {peer}: {detail}"))]
    NoReply {
        /// The peer.
        peer: PeerAddress,
        /// What the library reported.
        detail: String,
    },
    /// The peer answered with something that is no reply to this message.
    #[snafu(display("{peer} sent a bad reply: {source}"))]
    BadReply {
        /// The peer.
        peer: PeerAddress,
        /// What is wrong with it.
        source: FrameError,
    },
}

impl RpcError {
    /// True when the peer provably has not acted on the message.
    pub fn proves_not_done(&self) -> bool {
        match self {
            Self::NotConnected { .. } | Self::Refused { .. } | Self::NotSent { .. } => true,
            Self::NoReply { .. } | Self::BadReply { .. } => false,
        }
    }
}

/// Whether a call may travel on a connection that has been used before. A connection that has
/// gone silent costs its user the whole deadline, so that calls that can't be repeated use a new
/// one (`docs/decisions/connections.md`).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Connect anew; a failure to connect proves that nothing was sent.
    Fresh,
    /// Take an idle connection when there is one.
    Pooled,
}

/// Sends calls on behalf of a process.
#[derive(Clone)]
pub struct RpcClient {
    identity: Arc<ProcessIdentity>,
    pool: ureq::Agent,
}

impl RpcClient {
    /// A client whose headers come from `identity`.
    pub fn new(identity: Arc<ProcessIdentity>) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections_per_host(IDLE_CONNECTIONS_PER_PEER)
            .max_idle_age(MAX_IDLE_AGE)
            .build();
        Self { identity, pool: config.into() }
    }

    /// Sends `call` and waits for its reply, `deadline` at the most. The peer's header is taken
    /// note of and returned with the reply.
    pub fn call<C: RpcCall>(
        &self,
        peer: PeerAddress,
        connection: ConnectionUse,
        deadline: Duration,
        call: &C,
    ) -> Result<(MessageHeader, C::Reply), RpcError> {
        let frame = envelope::seal(self.identity.header(), call)
            .map_err(|source| RpcError::NotSent { source })?;
        let url = format!("http://{peer}{}", C::PATH);
        let bytes = match connection {
            ConnectionUse::Fresh => send_fresh(peer, &url, deadline, frame)?,
            ConnectionUse::Pooled => self.send_pooled(peer, &url, deadline, &frame)?,
        };
        let frame = CheckedFrame::open(&self.identity.sender().cluster, &bytes)
            .map_err(|source| RpcError::BadReply { peer, source })?;
        self.identity.observe(&frame.header);
        let reply = frame.body().map_err(|source| RpcError::BadReply { peer, source })?;
        Ok((frame.header, reply))
    }

    fn send_pooled(
        &self,
        peer: PeerAddress,
        url: &str,
        deadline: Duration,
        frame: &[u8],
    ) -> Result<Vec<u8>, RpcError> {
        let sent = self
            .pool
            .post(url)
            .config()
            .timeout_global(Some(deadline))
            .build()
            .content_type(FRAME_CONTENT_TYPE)
            .send(frame);
        let mut response = sent.map_err(|error| pooled_error(peer, &error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(REPLY_LIMIT).read_to_vec();
        let body = body.map_err(|error| no_reply(peer, &error))?;
        accept_status(peer, status, body)
    }
}

fn send_fresh(
    peer: PeerAddress,
    url: &str,
    deadline: Duration,
    frame: Vec<u8>,
) -> Result<Vec<u8>, RpcError> {
    let sent = attohttpc::post(url)
        .header("content-type", FRAME_CONTENT_TYPE)
        .follow_redirects(false)
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(deadline)
        .timeout(deadline)
        .bytes(frame)
        .send();
    let response = sent.map_err(|error| fresh_error(peer, &error))?;
    let (status, _, reader) = response.split();
    let mut body = Vec::new();
    reader.take(REPLY_LIMIT).read_to_end(&mut body).map_err(|error| no_reply(peer, &error))?;
    accept_status(peer, status.as_u16(), body)
}

fn accept_status(peer: PeerAddress, status: u16, body: Vec<u8>) -> Result<Vec<u8>, RpcError> {
    if status == 200 {
        return Ok(body);
    }
    match rmp_serde::from_slice(&body) {
        Ok(refusal) => Err(RpcError::Refused { peer, refusal }),
        Err(_) => Err(RpcError::NoReply { peer, detail: format!("status {status}") }),
    }
}

fn no_reply(peer: PeerAddress, error: &impl ToString) -> RpcError {
    RpcError::NoReply { peer, detail: error.to_string() }
}

fn pooled_error(peer: PeerAddress, error: &ureq::Error) -> RpcError {
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

fn fresh_error(peer: PeerAddress, error: &attohttpc::Error) -> RpcError {
    let detail = error.to_string();
    match error.kind() {
        attohttpc::ErrorKind::ConnectError { .. } => RpcError::NotConnected { peer, detail },
        attohttpc::ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            RpcError::NotConnected { peer, detail }
        }
        _ => RpcError::NoReply { peer, detail },
    }
}
