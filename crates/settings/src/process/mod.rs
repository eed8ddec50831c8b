//! The settings of one process: where it is, where it listens and whom it asks first.

use {
    base::{
        ClusterName, DataCentreName, PeerAddress, ProcessName, RackName, RegionName, ReplicaId,
        ResourceVector, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::path::PathBuf,
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
