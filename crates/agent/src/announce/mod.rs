//! What executors say to the agent beside them, as JSON over HTTP. See `docs/PLATFORM.md`.

use {
    base::{
        ConnectionCount, EndpointId, IncarnationNumber, PeerAddress, ServiceName, SlotCount, TaskId,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// The path to which executors announce themselves.
pub const ANNOUNCE_PATH: &str = "/announce";
/// The path to which executors say that they are leaving.
pub const LEAVE_PATH: &str = "/leave";
/// How often an executor repeats its announcement.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an announcement holds without being repeated.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(5);

/// An executor's announcement of itself, repeated every [`ANNOUNCE_INTERVAL`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorAnnouncement {
    /// The endpoint, unique within the cluster.
    pub endpoint: EndpointId,
    /// The life of the executor. One that has said that it leaves comes back with a larger number.
    #[serde(default)]
    pub incarnation: IncarnationNumber,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where the executor takes requests, on this machine.
    pub address: PeerAddress,
    /// The requests that it serves at once.
    pub slots: SlotCount,
    /// The connections that it keeps open.
    pub connections: ConnectionCount,
    /// The task that the executor is, when it was started by control. Its endpoint takes no new
    /// requests once the task is told to stop.
    #[serde(default)]
    pub task: Option<TaskId>,
}

/// An executor's word that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorLeave {
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum AnnounceRefusal {
    /// The sender is on another machine.
    #[snafu(display("only executors on this machine may announce themselves"))]
    OtherMachine,
    /// The announced address is on another machine.
    #[snafu(display("{address} is not on this machine"))]
    ForeignAddress {
        /// The announced address.
        address: PeerAddress,
    },
    /// The announcement is no such document.
    #[snafu(display("not an announcement: {detail}"))]
    Malformed {
        /// What the codec reported.
        detail: String,
    },
    /// The path or method is none of this port's.
    #[snafu(display("this port takes POST {ANNOUNCE_PATH} and POST {LEAVE_PATH}"))]
    NoSuchPath,
}
