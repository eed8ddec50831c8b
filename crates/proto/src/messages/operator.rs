//! The operator API, JSON over HTTP on a port of its own. `mangoctl` and other clients use it;
//! `docs/CLI.md` describes each call.

use {
    super::{DeclarationFile, JobSpec, PriorityClass},
    crate::envelope::ProcessRole,
    base::{
        millis, AttemptNumber, CheckpointId, DataCentreName, EndpointId, IncarnationNumber, JobId,
        PeerAddress, ProcessName, RackName, ReplicaId, ResourceVector, RevisionNumber, ServiceName,
        SlotCount, SubmissionId, TaskId, TeamName, TermNumber, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// `POST /v1/declarations`: replaces the declarations of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifies this submission, so that a resend after a lost response gets the first response.
    pub submission: SubmissionId,
    /// The revision on which the change is based.
    pub base: RevisionNumber,
    /// All files of the folder.
    pub files: Vec<DeclarationFile>,
}

/// The reply to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The change is committed, and comes into force everywhere within seconds.
    Accepted {
        /// The revision of the change.
        revision: RevisionNumber,
    },
    /// Another change was accepted first.
    Conflict {
        /// The current revision.
        current: RevisionNumber,
    },
    /// The declarations contain errors.
    Invalid {
        /// All errors, in the format of `mangoctl check`.
        errors: Vec<String>,
    },
    /// The submission id was already used with different content.
    SubmissionReused,
}

/// `POST /v1/jobs`: submits a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Identifies this submission, so that a resend after a lost response gets the first response.
    pub submission: SubmissionId,
    /// The job.
    pub job: JobSpec,
}

/// The reply to a [`SubmitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmitReply {
    /// The job is committed, and control will place its tasks.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// A different job of this name exists.
    NameTaken,
    /// The job specification is invalid.
    Invalid {
        /// The reason.
        reason: String,
    },
}

/// The reply to `DELETE /v1/jobs/JOB`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CancelReply {
    /// The cancellation is committed. Control is stopping the running tasks.
    Accepted,
    /// The job had already ended.
    AlreadyEnded,
    /// No such job exists.
    NoSuchJob,
}

/// The reply to `POST /v1/jobs/JOB/unpark`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum UnparkReply {
    /// The job may be placed again.
    Accepted,
    /// The job is not parked.
    NotParked,
    /// No such job exists.
    NoSuchJob,
}

/// The phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task waits for placement.
    Pending,
    /// Control has placed the task on a worker, which has not yet reported it as running.
    Placed,
    /// The task runs.
    Running,
    /// The agent is stopping the task, with or without a checkpoint.
    Stopping,
    /// The agent checkpointed and stopped the task, which waits for placement.
    Evicted,
    /// The task ended with success.
    Finished,
    /// The task ended with failure, and control will not retry it.
    Failed,
    /// An operator cancelled the task, which runs nowhere.
    Cancelled,
    /// Control does not place the task until an operator acts; the task's history states the
    /// reason.
    Parked,
}

/// One phase change in a task's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStep {
    /// Milliseconds since the Unix epoch by the leader's wall clock, recorded in the log.
    pub at_ms: u64,
    /// The phase that the task entered.
    pub phase: TaskPhase,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker, if any.
    pub worker: Option<WorkerId>,
    /// The reason, which names the rule, measurement or report behind the decision.
    pub reason: String,
}

/// The status of a task, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The latest attempt.
    pub attempt: AttemptNumber,
    /// The worker to which the task is assigned.
    pub worker: Option<WorkerId>,
    /// The resources reserved for the task.
    pub reserved: ResourceVector,
    /// The checkpoint from which the task will resume.
    pub checkpoint: Option<CheckpointId>,
    /// The newest phase changes, oldest first, up to the declared bound.
    pub history: Vec<TaskStep>,
}

/// The reply to `GET /v1/jobs/JOB`; `GET /v1/jobs` returns a list of these without tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job specification as submitted.
    pub spec: JobSpec,
    /// True if the job has been cancelled.
    pub cancelled: bool,
    /// The number of tasks in each phase.
    pub phases: Vec<(TaskPhase, u32)>,
    /// The tasks; empty in lists.
    pub tasks: Vec<TaskStatus>,
}

/// Whether a worker accepts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPhase {
    /// The worker has a lease and accepts tasks.
    Ready,
    /// The worker is leaving: control moves its tasks away and places no new ones on it.
    Draining,
    /// Tasks failed on the worker, so that control places only probes on it.
    Quarantined,
    /// The worker's lease has expired.
    Lost,
}

/// The status of a worker, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the worker accepts tasks.
    pub phase: WorkerPhase,
    /// The incarnation of the worker's agent.
    pub incarnation: IncarnationNumber,
    /// The worker's data centre.
    pub data_centre: DataCentreName,
    /// The worker's rack.
    pub rack: RackName,
    /// The resources that the worker offers.
    pub capacity: ResourceVector,
    /// The resources reserved on the worker.
    pub reserved: ResourceVector,
    /// The number of tasks with a reservation on the worker.
    pub tasks: u32,
}

/// The status of an endpoint, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's service.
    pub service: ServiceName,
    /// The endpoint's worker.
    pub worker: WorkerId,
    /// The number of the endpoint's slots.
    pub slots: SlotCount,
    /// True if the endpoint is draining.
    pub draining: bool,
}

/// A process from which control has received messages, and the revision that the process reported
/// as in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The process.
    pub name: ProcessName,
    /// The role of the process.
    pub role: ProcessRole,
    /// The operator address of the process, for its events and metrics.
    pub operator_address: PeerAddress,
    /// The revision in force at the process.
    pub revision: RevisionNumber,
    /// The time since control last received a message from the process.
    #[serde(with = "millis", rename = "heard_ms_ago")]
    pub last_seen_ago: Duration,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// The address on which other replicas reach this one.
    pub address: PeerAddress,
    /// True for a voter, false for a learner.
    pub voter: bool,
    /// The last log position that the replica is known to have stored.
    pub matched: u64,
}

/// The reply to `GET /v1/status`. A quorum confirms each read before the leader replies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The leader.
    pub leader: ReplicaId,
    /// The leader's term.
    pub term: TermNumber,
    /// The last committed position of the log.
    pub committed: u64,
    /// The accepted revision.
    pub revision: RevisionNumber,
    /// The control group.
    pub members: Vec<MemberStatus>,
    /// All workers.
    pub workers: Vec<WorkerStatus>,
    /// All endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// All processes.
    pub processes: Vec<ProcessStatus>,
    /// Number of tasks by priority and phase.
    pub tasks: Vec<(PriorityClass, TaskPhase, u32)>,
    /// The use of each team's quota.
    pub teams: Vec<TeamStatus>,
}

/// A team's use of its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// The quota.
    pub quota: ResourceVector,
    /// The resources reserved for the team's tasks.
    pub held: ResourceVector,
}

/// The reply to `POST /v1/workers/WORKER/drain` and `.../undrain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum DrainReply {
    /// The change is committed.
    Accepted,
    /// No such worker exists.
    NoSuchWorker,
}

/// `POST /v1/members`: changes the control group by one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum MemberRequest {
    /// Adds a replica that receives the log but does not vote.
    AddLearner {
        /// A replica id that was never used before.
        replica: ReplicaId,
        /// The address on which the other replicas reach the new one.
        address: PeerAddress,
    },
    /// Makes a learner that has caught up a voter.
    Promote {
        /// The learner.
        replica: ReplicaId,
    },
    /// Removes a replica.
    Remove {
        /// The replica.
        replica: ReplicaId,
    },
}

/// The reply to a [`MemberRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum MemberReply {
    /// The change is committed.
    Accepted,
    /// The change is not possible now.
    Refused {
        /// The reason, and how to proceed.
        reason: String,
    },
}

/// The reply to `GET /v1/explain/...`: the decisions, the rules behind them and when they were
/// made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// The subject of the query.
    pub subject: String,
    /// The decisions, newest first.
    pub decisions: Vec<ExplainedDecision>,
}

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The decision.
    pub decision: String,
    /// The reason in words.
    pub reason: String,
    /// The default or exception behind the decision, with its written reason.
    pub rule: String,
}

/// A problem with an operator's call, sent with an HTTP status other than 200.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorProblem {
    /// The kind of problem, from a fixed list (`docs/CLI.md`).
    pub kind: OperatorProblemKind,
    /// The description for people.
    pub detail: String,
    /// The operator address of the leader, if the caller should ask the leader instead.
    pub leader: Option<PeerAddress>,
}

/// The kinds of [`OperatorProblem`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorProblemKind {
    /// This replica is not the leader; the caller should ask the leader instead.
    NotLeader,
    /// There is no quorum, or the leader could not confirm the result in time. The change may still
    /// be made: the caller should resend it with the same submission id.
    Unconfirmed,
    /// The call is malformed.
    BadRequest,
    /// The subject of the call does not exist.
    NotFound,
    /// The queue of pending calls is full.
    Overloaded,
}
