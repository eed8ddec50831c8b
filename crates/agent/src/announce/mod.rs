//! Defines the JSON messages that executors post to the agent on their worker. See
//! `docs/PLATFORM.md`.

use {
    base::{
        ConnectionCount, EndpointId, IncarnationNumber, PeerAddress, ServiceName, SlotCount, TaskId,
    },
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::time::Duration,
};

/// The path to which executors post announcements.
pub const ANNOUNCE_PATH: &str = "/announce";
/// The path to which executors post that they are leaving.
pub const LEAVE_PATH: &str = "/leave";
/// The interval at which an executor repeats its announcement.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an announcement stays valid without being repeated.
pub const ANNOUNCE_LEASE: Duration = Duration::from_secs(5);

/// An executor's announcement of its endpoint, repeated every [`ANNOUNCE_INTERVAL`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorAnnouncement {
    /// The endpoint's identifier, unique within the cluster.
    pub endpoint: EndpointId,
    /// The incarnation of the executor. An executor that has left must come back with a larger
    /// number.
    #[serde(default)]
    pub incarnation: IncarnationNumber,
    /// The service that the executor serves.
    pub service: ServiceName,
    /// The address on this machine at which the executor accepts requests.
    pub address: PeerAddress,
    /// The number of requests that the executor serves at once.
    pub slots: SlotCount,
    /// The number of connections that the executor accepts at once.
    pub connections: ConnectionCount,
    /// The task that runs the executor, if control started it. The agent sends the endpoint no new
    /// requests once the task is to be stopped or evicted.
    #[serde(default)]
    pub task: Option<TaskId>,
}

/// An executor's notice that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutorLeave {
    /// The endpoint that is leaving.
    pub endpoint: EndpointId,
}

/// Why the agent refuses an announcement.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum AnnounceRefusal {
    /// The sender is on another machine.
    #[snafu(display("only executors on this machine may announce themselves"))]
    OtherMachine,
    /// The announced address is on another machine.
    #[snafu(display("the announced address {address} is not on this machine"))]
    ForeignAddress {
        /// The announced address.
        address: PeerAddress,
    },
    /// The request body is not a valid announcement.
    #[snafu(display("malformed announcement: {detail}"))]
    Malformed {
        /// The error that the JSON decoder reported.
        detail: String,
    },
    /// This port serves no such path and method.
    #[snafu(display("this port serves only POST {ANNOUNCE_PATH} and POST {LEAVE_PATH}"))]
    NoSuchPath,
}
