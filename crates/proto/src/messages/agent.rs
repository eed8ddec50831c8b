//! The conversation between an agent and the leader of its control group, one exchange a second.

use {
    super::{AttemptReport, DeclarationBundle, TaskCommand},
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{
        AttemptNumber, ConnectionCount, DataCentreName, EndpointId, IncarnationNumber, PeerAddress,
        RackName, RegionName, ReplicaId, ResourceVector, ServiceName, SlotCount, TaskId,
        TermNumber, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What an agent says of its worker when it first meets a leader and whenever it changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAnnouncement {
    /// The region.
    pub region: RegionName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The rack.
    pub rack: RackName,
    /// What the worker offers to tasks.
    pub capacity: ResourceVector,
    /// Where entries and control reach the agent.
    pub address: PeerAddress,
    /// Where operators reach the agent.
    pub operator_address: PeerAddress,
    /// True when the agent is leaving.
    pub draining: bool,
}

/// An executor that has announced itself to its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that it serves.
    pub service: ServiceName,
    /// The requests that it serves at once.
    pub slots: SlotCount,
    /// The connections that it keeps open.
    pub connections: ConnectionCount,
    /// True when the endpoint is leaving.
    pub draining: bool,
}

/// What one task used, as the platform measured it some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The attempt that was measured.
    pub attempt: AttemptNumber,
    /// What it used.
    pub used: ResourceVector,
    /// How fast it made progress, in thousandths of its speed when alone.
    pub speed_permille: u32,
}

/// What the endpoints of one service on a worker served since the report before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// Requests that were answered.
    pub requests: u64,
    /// The 99th percentile of their service time.
    pub p99: Duration,
    /// The mean of their service time.
    pub mean: Duration,
}

/// A measurement of a worker. Measurements arrive late: `age` says how late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// How long before the heartbeat was sent the measurement was taken.
    pub age: Duration,
    /// The tasks that ran when it was taken.
    pub tasks: Vec<TaskUsage>,
    /// The services that answered when it was taken.
    pub services: Vec<ServiceUsage>,
}

/// Places a point in the stream of commands from a leader to a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandCursor {
    /// The term of the leader that issued the commands.
    pub term: TermNumber,
    /// The number of the last command within the term.
    pub sequence: u64,
}

/// What an agent sends once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The worker.
    pub worker: WorkerId,
    /// The life of the agent.
    pub incarnation: IncarnationNumber,
    /// Rises with every heartbeat of one life; an older one that arrives late is ignored.
    pub sequence: u64,
    /// Sent when the leader asked for it and when it changed.
    pub announcement: Option<WorkerAnnouncement>,
    /// All endpoints, sent when the leader asked for them and when they changed.
    pub endpoints: Option<Vec<EndpointAnnouncement>>,
    /// The last command that was received.
    pub cursor: CommandCursor,
    /// True when `reports` names every attempt that the agent knows of, so that what control
    /// believes to be here, told the agent of up to `cursor` and does not find named runs here no
    /// more and will not start. It must be false while any known attempt can't be named, for
    /// example because it is about to start: control would start it elsewhere.
    pub reports_complete: bool,
    /// Attempts whose state the leader has not acknowledged yet.
    pub reports: Vec<AttemptReport>,
    /// The newest measurement, when there is one that was not sent before.
    pub usage: Option<UsageReport>,
}

/// What the leader answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// This replica does not lead.
    NotLeader {
        /// Who leads, as far as the replica knows, and where.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The heartbeat came from a life that has ended: a newer one has been seen.
    Superseded {
        /// The newer life.
        incarnation: IncarnationNumber,
    },
    /// The lease is renewed.
    Renewed(Box<LeaseRenewal>),
}

/// A renewed lease and what control wants of the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// How long the lease lasts, counted from when the agent sent the heartbeat.
    pub lease: Duration,
    /// True when the next heartbeat is to carry everything the agent knows.
    pub report_all: bool,
    /// The place of the last of `commands`.
    pub cursor: CommandCursor,
    /// True when `commands` names everything that is to be on the worker; what is not named is
    /// to be stopped.
    pub commands_complete: bool,
    /// The commands after the agent's cursor.
    pub commands: Vec<TaskCommand>,
    /// Attempts whose final state is committed, so that the agent may forget them.
    pub acknowledged: Vec<(TaskId, AttemptNumber)>,
    /// Newer declarations, when the agent is behind.
    pub declarations: Option<DeclarationBundle>,
}

impl RpcCall for AgentHeartbeat {
    const PATH: &'static str = "/internal/heartbeat";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Agent];
    type Reply = HeartbeatReply;
}
