//! The frame around every message between our processes.
//!
//! The header is decoded and checked before the body, so that a message of another cluster, of a
//! newer version or from a role that has no business here is refused by name. Every header
//! carries the highest revision that the sender has in force, which is how a process that control
//! can't reach learns that it is behind (`docs/decisions/configuration-spread.md`).

use {
    base::{ClusterName, HybridStamp, IncarnationNumber, PeerAddress, ProcessName, RevisionNumber},
    serde::{de::DeserializeOwned, Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::fmt,
};

/// The version of the message formats of this build. A peer of another version is refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// What a process is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// A member of the control group.
    Control,
    /// A process that takes callers' requests.
    Entry,
    /// The process beside a worker and its endpoints.
    Agent,
    /// An operator's command line.
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

/// Who sends a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SenderIdentity {
    /// The deployment that the sender belongs to.
    pub cluster: ClusterName,
    /// What the sender is for.
    pub role: ProcessRole,
    /// The sender's name.
    pub name: ProcessName,
    /// The sender's life.
    pub incarnation: IncarnationNumber,
}

/// What precedes the body of every message and reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageHeader {
    /// The version of the formats that the sender speaks.
    pub version: u16,
    /// Who sends the message.
    pub sender: SenderIdentity,
    /// The sender's place in the causal order of events.
    pub stamp: HybridStamp,
    /// The highest revision that the sender has in force.
    pub revision: RevisionNumber,
    /// Where the sender answers internal calls, so that whoever hears of a newer revision can ask
    /// for it. `None` until the sender listens.
    #[serde(default)]
    pub address: Option<PeerAddress>,
}

#[derive(Serialize, Deserialize)]
struct MessageFrame {
    header: MessageHeader,
    #[serde(with = "serde_bytes")]
    body: Vec<u8>,
}

/// Why a frame is refused.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The frame is no well-formed message.
    #[snafu(display("the frame can't be decoded: {source}"))]
    BadFrame {
        /// What the codec reported.
        source: rmp_serde::decode::Error,
    },
    /// The body does not have the shape that its path calls for.
    #[snafu(display("the body can't be decoded: {source}"))]
    BadBody {
        /// What the codec reported.
        source: rmp_serde::decode::Error,
    },
    /// The message can't be written.
    #[snafu(display("the message can't be encoded: {source}"))]
    NotEncodable {
        /// What the codec reported.
        source: rmp_serde::encode::Error,
    },
    /// The sender speaks another version.
    #[snafu(display("the sender speaks version {found}, this process {PROTOCOL_VERSION}"))]
    OtherVersion {
        /// The sender's version.
        found: u16,
    },
    /// The sender belongs to another deployment.
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

/// A frame whose header has been checked and whose body has not been decoded yet.
#[derive(Debug, Clone)]
pub struct CheckedFrame {
    /// The header.
    pub header: MessageHeader,
    body: Vec<u8>,
}

impl CheckedFrame {
    /// Decodes the header of `bytes` and checks version and cluster.
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

    /// Refuses senders whose role is not among `allowed`.
    pub fn require_role(&self, allowed: &[ProcessRole]) -> Result<(), FrameError> {
        let found = self.header.sender.role;
        if allowed.contains(&found) {
            return Ok(());
        }
        WrongRoleSnafu { found }.fail()
    }

    /// Decodes the body.
    pub fn body<B: DeserializeOwned>(&self) -> Result<B, FrameError> {
        rmp_serde::from_slice(&self.body).context(BadBodySnafu)
    }
}

/// Writes a frame.
pub fn seal<B: Serialize>(header: MessageHeader, body: &B) -> Result<Vec<u8>, FrameError> {
    let body = rmp_serde::to_vec(body).context(NotEncodableSnafu)?;
    rmp_serde::to_vec(&MessageFrame { header, body }).context(NotEncodableSnafu)
}
