//! The heartbeat protocol between an agent and the leader of the control group, with one exchange a
//! second.

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

/// The properties of a worker. An agent sends them to each new leader and whenever they change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAnnouncement {
    /// The region.
    pub region: RegionName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The rack.
    pub rack: RackName,
    /// The resources that the worker offers to tasks.
    pub capacity: ResourceVector,
    /// The agent's internal address, for entries and control.
    pub address: PeerAddress,
    /// The agent's operator address.
    pub operator_address: PeerAddress,
    /// True if the agent is draining.
    pub draining: bool,
}

/// An executor that has registered with its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointAnnouncement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The number of requests that the endpoint serves concurrently.
    pub slots: SlotCount,
    /// The number of connections that the endpoint keeps open.
    pub connections: ConnectionCount,
    /// True if the endpoint is draining.
    pub draining: bool,
}

/// The resource use of one task, as the platform measured it some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The task.
    pub task: TaskId,
    /// The attempt to which the measurement applies.
    pub attempt: AttemptNumber,
    /// The resources in use.
    pub used: ResourceVector,
    /// The task's speed, in thousandths of its speed without interference.
    pub speed_permille: u32,
}

/// The requests that the endpoints of one service on a worker served since the previous report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// The service.
    pub service: ServiceName,
    /// The number of requests answered.
    pub requests: u64,
    /// The 99th percentile of the service time.
    pub p99: Duration,
    /// The mean service time.
    pub mean: Duration,
}

/// A measurement of a worker. Measurements arrive with a delay, which `age` states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The time from taking the measurement to sending the heartbeat.
    pub age: Duration,
    /// The tasks that ran at the time of the measurement.
    pub tasks: Vec<TaskUsage>,
    /// The services that answered requests at the time of the measurement.
    pub services: Vec<ServiceUsage>,
}

/// A position in the stream of commands from a leader to a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CommandCursor {
    /// The term of the leader that issued the commands.
    pub term: TermNumber,
    /// The sequence number of the last command within the term.
    pub sequence: u64,
}

/// The heartbeat that an agent sends once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the agent.
    pub incarnation: IncarnationNumber,
    /// Increases with every heartbeat of one incarnation; the leader ignores an older one that
    /// arrives late.
    pub sequence: u64,
    /// The worker's properties, sent when the leader requests them and when they change.
    pub announcement: Option<WorkerAnnouncement>,
    /// All endpoints, sent when the leader requests them and when they change.
    pub endpoints: Option<Vec<EndpointAnnouncement>>,
    /// The position of the last command that the agent received.
    pub cursor: CommandCursor,
    /// True if `reports` names every attempt that the agent knows of. Control then concludes that
    /// an attempt which it placed on this worker, commanded up to `cursor` and does not find in
    /// `reports` neither runs here nor will start here. Must be false while the agent can't name
    /// some known attempt, for example because that attempt is about to start: control would
    /// otherwise start the task elsewhere.
    pub reports_complete: bool,
    /// The attempts whose state the leader has not yet acknowledged.
    pub reports: Vec<AttemptReport>,
    /// The newest measurement, if the agent has not sent it before.
    pub usage: Option<UsageReport>,
}

/// The leader's reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatReply {
    /// This replica is not the leader.
    NotLeader {
        /// The leader and its address, if the replica knows them.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The heartbeat came from an incarnation that has ended: control has received a heartbeat from
    /// a newer one.
    Superseded {
        /// The newer incarnation.
        incarnation: IncarnationNumber,
    },
    /// The lease is renewed.
    Renewed(Box<LeaseRenewal>),
}

/// A renewed lease and the desired state of the worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The duration of the lease, counted from the time at which the agent sent the heartbeat.
    pub lease: Duration,
    /// True if the next heartbeat must carry the agent's complete state.
    pub report_all: bool,
    /// The position of the last command in `commands`.
    pub cursor: CommandCursor,
    /// True if `commands` names every attempt that should be on the worker; the agent stops all
    /// others.
    pub commands_complete: bool,
    /// The commands that follow the agent's cursor.
    pub commands: Vec<TaskCommand>,
    /// Attempts whose final state is committed, so that the agent may discard their records.
    pub acknowledged: Vec<(TaskId, AttemptNumber)>,
    /// The newer declarations, if the agent's are out of date.
    pub declarations: Option<DeclarationBundle>,
}

impl RpcCall for AgentHeartbeat {
    const PATH: &'static str = "/internal/heartbeat";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Agent];
    type Reply = HeartbeatReply;
}
