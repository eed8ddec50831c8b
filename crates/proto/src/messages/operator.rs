//! The operators' interface, JSON over HTTP on a port of its own. `mangoctl` and any other client
//! speak it; `docs/CLI.md` shows each call.

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
    /// Names this submission, so that a resend after a lost answer gets the first answer.
    pub submission: SubmissionId,
    /// The revision on which the change was made.
    pub base: RevisionNumber,
    /// All files of the folder.
    pub files: Vec<DeclarationFile>,
}

/// Answers an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum ApplyReply {
    /// The change is committed, and in force everywhere within seconds.
    Accepted {
        /// The revision that it became.
        revision: RevisionNumber,
    },
    /// Another change was accepted first.
    Conflict {
        /// The revision that is accepted now.
        current: RevisionNumber,
    },
    /// The declarations have errors.
    Invalid {
        /// Every error, in the words of `mangoctl check`.
        errors: Vec<String>,
    },
    /// The submission id was used with other content.
    SubmissionReused,
}

/// `POST /v1/jobs`: submits a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Names this submission, so that a resend after a lost answer gets the first answer.
    pub submission: SubmissionId,
    /// The job.
    pub job: JobSpec,
}

/// Answers a [`SubmitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmitReply {
    /// The job is committed and will be placed.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// A job of this name exists and differs.
    NameTaken,
    /// The job can't be accepted as it is written.
    Invalid {
        /// What is wrong.
        reason: String,
    },
}

/// `DELETE /v1/jobs/JOB` answers with this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CancelReply {
    /// The cancellation is committed. Running tasks are being stopped.
    Accepted,
    /// The job had ended before.
    AlreadyEnded,
    /// There is no such job.
    NoSuchJob,
}

/// `POST /v1/jobs/JOB/unpark` answers with this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum UnparkReply {
    /// The job may be placed again.
    Accepted,
    /// The job is not parked.
    NotParked,
    /// There is no such job.
    NoSuchJob,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// Waits for a place.
    Pending,
    /// Has a place and has not been seen to run.
    Placed,
    /// Runs.
    Running,
    /// Is being checkpointed and stopped, or only stopped.
    Stopping,
    /// Was checkpointed and stopped, and waits for a place.
    Evicted,
    /// Ended with success.
    Finished,
    /// Ended with failure and will not be tried again.
    Failed,
    /// Was cancelled and runs nowhere.
    Cancelled,
    /// Is kept back, with its reason, until an operator acts.
    Parked,
}

/// One step in a task's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStep {
    /// Milliseconds of the leader's wall clock since the Unix epoch, fixed in the log.
    pub at_ms: u64,
    /// The phase that was entered.
    pub phase: TaskPhase,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker, when there is one.
    pub worker: Option<WorkerId>,
    /// Why, in words that name the rule, measurement or report that decided.
    pub reason: String,
}

/// A task as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Where it stands.
    pub phase: TaskPhase,
    /// The latest attempt.
    pub attempt: AttemptNumber,
    /// The worker that holds it.
    pub worker: Option<WorkerId>,
    /// What is reserved for it.
    pub reserved: ResourceVector,
    /// The checkpoint it will resume from.
    pub checkpoint: Option<CheckpointId>,
    /// Its newest steps, oldest first, up to the declared bound.
    pub history: Vec<TaskStep>,
}

/// `GET /v1/jobs/JOB` answers with this, `GET /v1/jobs` with a list without tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// True when it has been cancelled.
    pub cancelled: bool,
    /// Number of tasks by phase.
    pub phases: Vec<(TaskPhase, u32)>,
    /// Its tasks; empty in lists.
    pub tasks: Vec<TaskStatus>,
}

/// Whether a worker takes tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerPhase {
    /// Holds a lease and takes tasks.
    Ready,
    /// Leaves: its tasks are moved away and it gets no new ones.
    Draining,
    /// Failed what it started, and gets probes only.
    Quarantined,
    /// Its lease has ended.
    Lost,
}

/// A worker as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it takes tasks.
    pub phase: WorkerPhase,
    /// The life of its agent.
    pub incarnation: IncarnationNumber,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// What it offers.
    pub capacity: ResourceVector,
    /// What is reserved on it.
    pub reserved: ResourceVector,
    /// The tasks that hold it.
    pub tasks: u32,
}

/// An endpoint as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Its worker.
    pub worker: WorkerId,
    /// Its slots.
    pub slots: SlotCount,
    /// True when it is leaving.
    pub draining: bool,
}

/// A process that control has heard from, and the revision that it said it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// The process.
    pub name: ProcessName,
    /// Its role.
    pub role: ProcessRole,
    /// Where operators reach it, for its events and metrics.
    pub operator_address: PeerAddress,
    /// The revision in force there.
    pub revision: RevisionNumber,
    /// How long ago it was heard from.
    #[serde(with = "millis", rename = "heard_ms_ago")]
    pub heard_ago: Duration,
}

/// A member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The replica.
    pub replica: ReplicaId,
    /// Where other replicas reach it.
    pub address: PeerAddress,
    /// True for a voter, false for a learner.
    pub voter: bool,
    /// The last position of the log that it is known to hold.
    pub matched: u64,
}

/// `GET /v1/status` answers with this. Reads are confirmed by a quorum before they are answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The leader.
    pub leader: ReplicaId,
    /// Its term.
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
    /// What each team holds against its quota.
    pub teams: Vec<TeamStatus>,
}

/// A team's use of its quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team.
    pub team: TeamName,
    /// What it may hold.
    pub quota: ResourceVector,
    /// What its tasks hold.
    pub held: ResourceVector,
}

/// `POST /v1/workers/WORKER/drain` and `.../undrain` answer with this.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum DrainReply {
    /// The change is committed.
    Accepted,
    /// There is no such worker.
    NoSuchWorker,
}

/// `POST /v1/members`: changes the control group by one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum MemberRequest {
    /// Adds a replica that receives the log and has no vote.
    AddLearner {
        /// An id that was never used before.
        replica: ReplicaId,
        /// Where the other replicas reach it.
        address: PeerAddress,
    },
    /// Gives a learner that has caught up a vote.
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

/// Answers a [`MemberRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum MemberReply {
    /// The change is committed.
    Accepted,
    /// The change can't be made now.
    Refused {
        /// Why, and what to do.
        reason: String,
    },
}

/// `GET /v1/explain/...` answers with this: the decision, what decided it and since when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// What was asked about.
    pub subject: String,
    /// The decisions, newest first.
    pub decisions: Vec<ExplainedDecision>,
}

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedDecision {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What was decided.
    pub decision: String,
    /// The typed reason, spelled out.
    pub reason: String,
    /// The default or exception that decided, with its written reason.
    pub rule: String,
}

/// A problem that an operator's call met, with an HTTP status other than 200.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorProblem {
    /// What went wrong, from a fixed list (`docs/CLI.md`).
    pub kind: OperatorProblemKind,
    /// In words.
    pub detail: String,
    /// Where the leader's operator interface is, when that is the remedy.
    pub leader: Option<PeerAddress>,
}

/// The kinds of [`OperatorProblem`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorProblemKind {
    /// Ask the leader instead.
    NotLeader,
    /// There is no quorum, or the answer was not confirmed in time. The change may still be made:
    /// resend it with the same submission id.
    Unconfirmed,
    /// The call is malformed.
    BadRequest,
    /// There is no such thing.
    NotFound,
    /// Too many calls wait.
    Overloaded,
}
