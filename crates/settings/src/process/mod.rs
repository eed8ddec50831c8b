//! The settings of one process: where it is, where it listens and whom it asks first.

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

/// What every process is told, and what its role needs besides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The deployment.
    pub cluster: ClusterName,
    /// The name of this process.
    pub name: ProcessName,
    /// The region in which it runs.
    pub region: RegionName,
    /// The data centre in which it runs.
    pub data_centre: DataCentreName,
    /// Where other processes of the system reach it.
    pub internal: PeerAddress,
    /// Where operators reach it: health, metrics, events and, at control, the operators' calls.
    pub operator: PeerAddress,
    /// The internal addresses of the control group, any of them; the rest is learned.
    pub control_peers: Vec<PeerAddress>,
    /// What its role needs.
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
    /// A stand-in for a worker's platform and one executor, for trials on one machine.
    StandIn(StandInSettings),
}

impl RoleSettings {
    /// The role's name, as it is written in settings and on the command line.
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
    /// What the role is started with.
    pub process: ProcessSettings,
    /// Where the log goes.
    pub log: LogSettings,
}

/// Where the log goes and how much of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is written: error, warn, info, debug or trace.
    pub level: String,
    /// The file that is appended to; standard error when there is none.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}

/// What the stand-in for a worker needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandInSettings {
    /// Where the stand-in platform listens.
    pub platform: PeerAddress,
    /// Where the stand-in executor listens.
    pub executor: PeerAddress,
    /// The announce port of the agent.
    pub announce_to: PeerAddress,
    /// The service that the executor serves.
    pub service: ServiceName,
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The requests that it serves at once.
    pub slots: SlotCount,
    /// The connections that it keeps open.
    pub connections: ConnectionCount,
    /// How long a request takes.
    #[serde(with = "duration_text")]
    pub service_time: Duration,
}

/// A member of the control group as it is first set up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The replica.
    pub replica: ReplicaId,
    /// Where the other replicas reach it.
    pub address: PeerAddress,
}

/// What a control process needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Its replica id, never used before by another disk.
    pub replica: ReplicaId,
    /// The folder that holds its durable state.
    pub data_folder: PathBuf,
    /// The voters with which the group is founded. Empty for a replica that joins later.
    #[serde(default)]
    pub founders: Vec<MemberSettings>,
}

/// What an entry needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where callers reach it.
    pub callers: PeerAddress,
}

/// What an agent needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The worker beside which it runs.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackName,
    /// What the worker offers to tasks.
    pub capacity: ResourceVector,
    /// Where the worker's platform listens.
    pub platform: PeerAddress,
    /// Where executors announce themselves; reached from this machine only.
    pub announce: PeerAddress,
    /// A file that keeps the revision in force over restarts, if the worker has a disk.
    pub state_file: Option<PathBuf>,
}
