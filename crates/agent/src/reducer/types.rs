//! The configuration, inputs and effects of the reducer.

use {
    crate::{
        announce::ExecutorAnnouncement,
        platform::{PlatformCall, PlatformFault, PlatformReply},
    },
    base::{
        ByteSize, DataCentreName, EndpointId, IncarnationNumber, PeerAddress, ProcessName,
        RackName, RegionName, ReplyTicket, ResourceVector, RevisionNumber, WorkerId,
    },
    proto::messages::{
        AgentHeartbeat, DeclarationBundle, DispatchId, DispatchOutcome, DispatchReply,
        DispatchRequest, FenceReply, FenceRequest, ForwardedRequest, HeartbeatReply,
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
    telemetry::{AgentEvent, ProcessEvent},
};

/// The configuration of an agent, fixed when it starts.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The worker's identifier.
    pub worker: WorkerId,
    /// The incarnation of this agent.
    pub incarnation: IncarnationNumber,
    /// The worker's region.
    pub region: RegionName,
    /// The worker's data centre.
    pub data_centre: DataCentreName,
    /// The worker's rack.
    pub rack: RackName,
    /// The capacity from the settings, in effect until the platform reports the actual one.
    pub capacity: ResourceVector,
    /// The address at which entries and control reach the agent.
    pub address: PeerAddress,
    /// The address at which operators reach the agent.
    pub operator_address: PeerAddress,
    /// Addresses of members of the control group, in any number.
    pub control_peers: Vec<PeerAddress>,
    /// The number of executor calls that the driver can make at once, over all endpoints.
    pub call_limit: u32,
}

/// An input to the reducer.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// Time has passed.
    Tick {
        /// Wall-clock time, by which exceptions expire.
        wall: SystemTime,
    },
    /// An entry asks the agent to run a request.
    Dispatch {
        /// Matches the request with its reply.
        ticket: ReplyTicket,
        /// The request.
        request: Box<DispatchRequest>,
    },
    /// An entry or control asks for the outcome of a keyed request.
    Fence {
        /// Matches the request with its reply.
        ticket: ReplyTicket,
        /// The request.
        request: FenceRequest,
    },
    /// An executor call has ended, and its connection is closed.
    ExecutorDone {
        /// The dispatch.
        dispatch: DispatchId,
        /// The outcome of the request.
        outcome: DispatchOutcome,
    },
    /// A heartbeat was answered, or the agent gave up waiting for the answer.
    HeartbeatDone {
        /// The heartbeat's sequence number.
        sequence: u64,
        /// The sender of the answer and the answer, if one came.
        reply: Option<(ProcessName, HeartbeatReply)>,
    },
    /// A call to the platform has ended.
    PlatformDone {
        /// The call.
        call: PlatformCall,
        /// The platform's answer.
        result: Result<PlatformReply, PlatformFault>,
    },
    /// An executor announced itself.
    Announced(ExecutorAnnouncement),
    /// An executor is leaving.
    ExecutorLeft(EndpointId),
    /// A peer has sent declarations.
    Declarations {
        /// The declarations.
        bundle: DeclarationBundle,
        /// The sender of the declarations.
        source: ProcessName,
    },
    /// A message carried a revision newer than the one in force.
    RevisionReported {
        /// The peer from which that revision can be pulled.
        peer: PeerAddress,
        /// The revision.
        revision: RevisionNumber,
    },
    /// The process is asked to shut down.
    DrainRequested,
}

/// A request to an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorCall {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// The address at which the executor accepts requests.
    pub address: PeerAddress,
    /// The request.
    pub request: ForwardedRequest,
    /// The largest answer that the agent accepts.
    pub answer_limit: ByteSize,
    /// How long the caller still waits.
    pub remaining: Duration,
}

/// A heartbeat to the control group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatSend {
    /// The member that the agent takes for the leader.
    pub peer: PeerAddress,
    /// True when the last exchange failed. The driver then opens a new connection, because an
    /// answer over a pooled one would not prove that the peer can be reached.
    pub fresh_connection: bool,
    /// How long the driver waits for the answer.
    pub deadline: Duration,
    /// The heartbeat.
    pub heartbeat: Box<AgentHeartbeat>,
}

/// An effect that the driver performs for the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEffect {
    /// Answers a dispatch.
    ReplyDispatch {
        /// The ticket of the request.
        ticket: ReplyTicket,
        /// The reply.
        reply: Box<DispatchReply>,
    },
    /// Answers a fence request.
    ReplyFence {
        /// The ticket of the request.
        ticket: ReplyTicket,
        /// The reply.
        reply: FenceReply,
    },
    /// Sends a request to an executor.
    CallExecutor(Box<ExecutorCall>),
    /// Sends a heartbeat.
    SendHeartbeat(HeartbeatSend),
    /// Calls the platform. Calls for one attempt never overlap.
    CallPlatform(PlatformCall),
    /// Saves declarations, then puts their revision in force, which every message header carries.
    PutInForce(Arc<DeclarationBundle>),
    /// Pulls declarations newer than `known` from a peer.
    PullDeclarations {
        /// The peer.
        peer: PeerAddress,
        /// The revision in force.
        known: RevisionNumber,
    },
    /// Records an agent event.
    Record(AgentEvent),
    /// Records an event that all roles share.
    RecordProcess(ProcessEvent),
}
