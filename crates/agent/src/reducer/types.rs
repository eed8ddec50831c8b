//! What the reducer is told and what it asks for.

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

/// What the reducer knows from the start.
#[derive(Debug, Clone)]
pub struct AgentConfig {
    /// The worker.
    pub worker: WorkerId,
    /// The life of this agent.
    pub incarnation: IncarnationNumber,
    /// The region.
    pub region: RegionName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The rack.
    pub rack: RackName,
    /// What the worker is set up to offer.
    pub capacity: ResourceVector,
    /// Where entries and control reach the agent.
    pub address: PeerAddress,
    /// Where operators reach the agent.
    pub operator_address: PeerAddress,
    /// Members of the control group, any of them.
    pub control_peers: Vec<PeerAddress>,
    /// Executor calls that the driver can make at once, over all endpoints.
    pub call_limit: u32,
}

/// What can happen to an agent.
#[derive(Debug, Clone)]
pub enum AgentInput {
    /// Time has passed.
    Tick {
        /// Wall-clock time, by which exceptions expire.
        wall: SystemTime,
    },
    /// An entry asks to run a request.
    Dispatch {
        /// Pairs the request with its reply.
        ticket: ReplyTicket,
        /// The request.
        request: Box<DispatchRequest>,
    },
    /// An entry or control asks what became of a keyed request.
    Fence {
        /// Pairs the request with its reply.
        ticket: ReplyTicket,
        /// The request.
        request: FenceRequest,
    },
    /// An executor call has ended, and its connection is closed.
    ExecutorDone {
        /// The dispatch.
        dispatch: DispatchId,
        /// What became of it.
        outcome: DispatchOutcome,
    },
    /// A heartbeat was answered, or was not.
    HeartbeatDone {
        /// The heartbeat's number.
        sequence: u64,
        /// Who answered and what, if there is an answer.
        reply: Option<(ProcessName, HeartbeatReply)>,
    },
    /// A call to the platform has ended.
    PlatformDone {
        /// The call.
        call: PlatformCall,
        /// What the platform answered.
        result: Result<PlatformReply, PlatformFault>,
    },
    /// An executor announced itself.
    Announced(ExecutorAnnouncement),
    /// An executor is leaving.
    ExecutorLeft(EndpointId),
    /// Declarations have been received.
    Declarations {
        /// The declarations.
        bundle: DeclarationBundle,
        /// Who sent them.
        source: ProcessName,
    },
    /// A message named a revision.
    RevisionHeard {
        /// Who answers pulls for it.
        peer: PeerAddress,
        /// The revision.
        revision: RevisionNumber,
    },
    /// The agent is to leave.
    DrainRequested,
}

/// A request that is to be sent to an executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorCall {
    /// The dispatch.
    pub dispatch: DispatchId,
    /// Where the executor takes requests.
    pub address: PeerAddress,
    /// The request.
    pub request: ForwardedRequest,
    /// The largest answer that is passed on.
    pub answer_limit: ByteSize,
    /// How long the caller still waits.
    pub remaining: Duration,
}

/// A heartbeat that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatSend {
    /// The member of the control group that is believed to lead.
    pub peer: PeerAddress,
    /// True when the last exchange failed, so that only a new connection proves anything.
    pub fresh_connection: bool,
    /// How long to wait for the answer.
    pub deadline: Duration,
    /// The heartbeat.
    pub heartbeat: Box<AgentHeartbeat>,
}

/// What the driver is asked to do.
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
    /// Calls the platform. The calls for one attempt never overlap.
    CallPlatform(PlatformCall),
    /// Saves declarations, then names their revision in every header.
    PutInForce(Arc<DeclarationBundle>),
    /// Asks a peer for declarations newer than `known`.
    PullDeclarations {
        /// The peer.
        peer: PeerAddress,
        /// The revision in force.
        known: RevisionNumber,
    },
    /// Records an event of agents.
    Record(AgentEvent),
    /// Records an event that every role has.
    RecordProcess(ProcessEvent),
}
