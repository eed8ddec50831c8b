//! The envelope of every message between the system's processes.
//!
//! The receiver decodes and checks the header before the body, and rejects with a typed error any
//! message from another cluster, of a different protocol version or from a role that may not send
//! it. Every header carries the highest revision that the sender has in force, so that a process
//! that cannot reach control still learns that its declarations are out of date
//! (`docs/decisions/configuration-spread.md`).

use {
    base::{ClusterName, HybridStamp, IncarnationNumber, PeerAddress, ProcessName, RevisionNumber},
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::fmt,
};

/// The version of the message formats of this build. Receivers reject peers of any other version.
pub const PROTOCOL_VERSION: u16 = 1;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// A member of the control group.
    Control,
    /// A process that accepts callers' requests.
    Entry,
    /// The process that runs beside a worker and its endpoints.
    Agent,
    /// An operator's command-line client.
    Operator,
}

impl fmt::Display for ProcessRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Operator => "operator",
        })
    }
}

/// Identifies the sender of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderIdentity {
    /// The cluster that the sender belongs to.
    pub cluster: ClusterName,
    /// The sender's role.
    pub role: ProcessRole,
    /// The sender's name.
    pub name: ProcessName,
    /// The sender's incarnation.
    pub incarnation: IncarnationNumber,
}

/// The header that precedes the body of every message and reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The protocol version of the sender.
    pub version: u16,
    /// The sender.
    pub sender: SenderIdentity,
    /// The hybrid logical timestamp at which the message was sent.
    pub stamp: HybridStamp,
    /// The highest revision that the sender has in force.
    pub revision: RevisionNumber,
    /// The address on which the sender accepts internal calls, so that the receiver of a newer
    /// revision can pull the declarations from there. `None` until the sender listens.
    #[serde(default)]
    pub address: Option<PeerAddress>,
}

#[derive(Serialize, Deserialize)]
struct MessageFrame {
    header: MessageHeader,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

/// Why a frame is rejected.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The bytes are not a well-formed frame.
    #[snafu(display("the frame can't be decoded: {source}"))]
    BadFrame {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// The body does not have the shape that its path requires.
    #[snafu(display("the body can't be decoded: {source}"))]
    BadBody {
        /// The codec's error.
        source: rmp_serde::decode::Error,
    },
    /// The message can't be encoded.
    #[snafu(display("the message can't be encoded: {source}"))]
    NotEncodable {
        /// The codec's error.
        source: rmp_serde::encode::Error,
    },
    /// The sender uses another protocol version.
    #[snafu(display("the sender uses protocol version {found}, this process {PROTOCOL_VERSION}"))]
    OtherVersion {
        /// The sender's protocol version.
        found: u16,
    },
    /// The sender belongs to another cluster.
    #[snafu(display("the sender belongs to cluster {found}"))]
    OtherCluster {
        /// The sender's cluster.
        found: ClusterName,
    },
    /// The sender's role may not send this message.
    #[snafu(display("a process of role {found} may not send this message"))]
    WrongRole {
        /// The sender's role.
        found: ProcessRole,
    },
}

/// A frame whose header has been checked and whose body is not yet decoded.
#[derive(Debug, Clone)]
pub struct CheckedFrame {
    /// The header.
    pub header: MessageHeader,
    body: Vec<u8>,
}

impl CheckedFrame {
    /// Decodes the frame in `bytes` and checks the protocol version and the cluster of its header.
    pub fn open(cluster: &ClusterName, bytes: &[u8]) -> Result<Self, FrameError> {
        let frame: MessageFrame = rmp_serde::from_slice(bytes).context(BadFrameSnafu)?;
        if frame.header.version != PROTOCOL_VERSION {
            return OtherVersionSnafu { found: frame.header.version }.fail();
        }
        if frame.header.sender.cluster != *cluster {
            return OtherClusterSnafu { found: frame.header.sender.cluster }.fail();
        }
        Ok(Self { header: frame.header, body: frame.body })
    }

    /// Rejects senders whose role is not among `allowed`.
    pub fn require_role(&self, allowed: &[ProcessRole]) -> Result<(), FrameError> {
        let found = self.header.sender.role;
        if allowed.contains(&found) {
            return Ok(());
        }
        WrongRoleSnafu { found }.fail()
    }

    /// Decodes the body as `B`.
    pub fn body<B: DeserializeOwned>(&self) -> Result<B, FrameError> {
        rmp_serde::from_slice(&self.body).context(BadBodySnafu)
    }
}

/// Encodes `header` and `body` into one frame.
pub fn seal<B: Serialize>(header: MessageHeader, body: &B) -> Result<Vec<u8>, FrameError> {
    let body = rmp_serde::to_vec(body).context(NotEncodableSnafu)?;
    rmp_serde::to_vec(&MessageFrame { header, body }).context(NotEncodableSnafu)
}
