//! The settings of one process: its location, its addresses and the control processes that it
//! contacts first.

mod load;

use {
    base::{
        duration_text, ClusterName, ConnectionCount, DataCentreName, EndpointId, PeerAddress,
        ProcessName, RackName, RegionName, ReplicaId, ResourceVector, ServiceName, SlotCount,
        WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{path::PathBuf, time::Duration},
};

/// The settings common to all processes, and those of the process's role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The cluster that the process belongs to.
    pub cluster: ClusterName,
    /// The name of this process.
    pub name: ProcessName,
    /// The region in which the process runs.
    pub region: RegionName,
    /// The data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// The address for other processes of the system.
    pub internal: PeerAddress,
    /// The address for operators: health, metrics, events and, at control, the operator API.
    pub operator: PeerAddress,
    /// Internal addresses of some members of the control group; the process discovers the others.
    pub control_peers: Vec<PeerAddress>,
    /// The settings of the process's role.
    pub role: RoleSettings,
}

/// The settings of one role.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleSettings {
    /// A member of the control group.
    Control(ControlSettings),
    /// An entry.
    Entry(EntrySettings),
    /// An agent.
    Agent(AgentSettings),
    /// A simulated worker platform with one executor, for trials on a single machine.
    StandIn(StandInSettings),
}

impl RoleSettings {
    /// Returns the role's name, as used in settings and on the command line.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Control(_) => "control",
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
            Self::StandIn(_) => "stand-in",
        }
    }
}

/// The settings file of a daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// The settings with which the role starts.
    pub process: ProcessSettings,
    /// The settings of the log.
    pub log: LogSettings,
}

/// The destination and level of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that the process logs: error, warn, info, debug or trace.
    pub level: String,
    /// The file to which the process appends the log; standard error if `None`.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

/// The settings of a simulated worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInSettings {
    /// The address on which the simulated platform listens.
    pub platform: PeerAddress,
    /// The address on which the simulated executor listens.
    pub executor: PeerAddress,
    /// The agent's address for executors that register.
    pub announce_to: PeerAddress,
    /// The service that the executor serves.
    pub service: ServiceName,
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The number of requests that the executor serves concurrently.
    pub slots: SlotCount,
    /// The number of connections that the executor keeps open.
    pub connections: ConnectionCount,
    /// How long the executor takes for a request.
    #[serde(with = "duration_text")]
    pub service_time: Duration,
}

/// A founding member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// The address on which the other replicas reach this one.
    pub address: PeerAddress,
}

/// The settings of a control process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The replica id, which must never have been used with another disk.
    pub replica: ReplicaId,
    /// The folder for the durable state.
    pub data_folder: PathBuf,
    /// The voters with which the group is founded. Empty for a replica that joins later.
    #[serde(default)]
    pub founders: Vec<MemberSettings>,
}

/// The settings of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The address on which the entry accepts callers' requests.
    pub callers: PeerAddress,
}

/// The settings of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The worker beside which the agent runs.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackName,
    /// The resources that the worker offers to tasks.
    pub capacity: ResourceVector,
    /// The address of the worker's platform.
    pub platform: PeerAddress,
    /// The address on which executors register; reachable from this machine only.
    pub announce: PeerAddress,
    /// The file that preserves the revision in force across restarts, if the worker has a disk.
    pub state_file: Option<PathBuf>,
}
