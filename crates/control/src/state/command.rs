//! The contents of the log: commands that change the applied state, and the outcome of each.

use {
    base::{
        AttemptNumber, IncarnationNumber, JobId, ResourceVector, RevisionNumber, SubmissionId,
        TaskId, WorkerId,
    },
    proto::messages::{
        operator::{ApplyReply, CancelReply, DrainReply, SubmitReply},
        AttemptReport, ClaimReply, DeclarationFile, EndpointAnnouncement, JobSpec, LedgerClaim,
        LedgerClose, ThrottleLevel, WorkerAnnouncement,
    },
    sched::{MitigationReason, ParkReason, PlacementReason},
    serde::{Deserialize, Serialize},
    settings::RuleSource,
};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CommandBatch {
    /// Milliseconds of the leader's wall clock since the Unix epoch. Every replica uses this time
    /// instead of its own, so that all replicas reach the same state.
    pub at_ms: u64,
    /// The commands, applied in order.
    pub commands: Vec<FleetCommand>,
}

/// A change of the applied state. Applying a command checks all its preconditions, because the
/// state may have changed since the leader proposed it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the declarations.
    Apply(DeclarationChange),
    /// Accepts a job.
    SubmitJob {
        /// The operator's submission.
        submission: SubmissionId,
        /// The job.
        job: JobSpec,
    },
    /// Cancels a job: waiting tasks end, and running tasks are asked to stop.
    CancelJob {
        /// The job.
        job: JobId,
    },
    /// Parks a job, so that its tasks are not placed.
    ParkJob {
        /// The job.
        job: JobId,
        /// Why the job is parked.
        reason: ParkReason,
        /// The source of the declared values that led to this.
        rule: RuleSource,
    },
    /// Returns a parked job to the queue.
    UnparkJob {
        /// The job.
        job: JobId,
    },
    /// Records whether an operator drains a worker.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
        /// True to drain the worker, false to stop draining it.
        draining: bool,
    },
    /// Records whether failures are attributed to a worker, which quarantines it.
    #[serde(rename = "BlameWorker")]
    SetWorkerFailures {
        /// The worker.
        worker: WorkerId,
        /// The number of distinct jobs that failed on it, or `None` once a probe has succeeded.
        failed_jobs: Option<u32>,
    },
    /// Registers a worker, a new incarnation of its agent, or a changed announcement.
    #[serde(rename = "SeeWorker")]
    RegisterWorker {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of the worker's agent.
        incarnation: IncarnationNumber,
        /// The worker as its agent announces it.
        announcement: WorkerAnnouncement,
    },
    /// Replaces the endpoints of a worker.
    #[serde(rename = "SeeEndpoints")]
    SetEndpoints {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of the worker's agent.
        incarnation: IncarnationNumber,
        /// All endpoints of the worker.
        endpoints: Vec<EndpointAnnouncement>,
    },
    /// Marks a worker as lost, because its lease has expired: its tasks no longer run there.
    #[serde(rename = "LoseWorker")]
    ExpireWorker {
        /// The worker.
        worker: WorkerId,
        /// The incarnation whose lease has expired.
        incarnation: IncarnationNumber,
    },
    /// Reserves resources for a task and starts its next attempt.
    Place(PlaceCommand),
    /// Limits the share of its reservation that an attempt may use.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The share of the reservation that the attempt may use.
        level: ThrottleLevel,
        /// Why the attempt is throttled.
        reason: MitigationReason,
        /// The source of the declared values that led to this.
        rule: RuleSource,
    },
    /// Asks the worker to checkpoint and stop an attempt.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why the attempt is evicted.
        reason: MitigationReason,
        /// The source of the declared values that led to this.
        rule: RuleSource,
    },
    /// A worker reports the state of an attempt.
    Report {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of the worker's agent.
        incarnation: IncarnationNumber,
        /// The report.
        report: AttemptReport,
    },
    /// A worker has reported all attempts that it knows, and the report proves that this attempt
    /// neither runs nor will run there.
    #[serde(rename = "MissAttempt")]
    ReportMissingAttempt {
        /// The worker.
        worker: WorkerId,
        /// The incarnation of the worker's agent.
        incarnation: IncarnationNumber,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Claims an idempotency key.
    Claim(LedgerClaim),
    /// Closes a claim on an idempotency key.
    Close(LedgerClose),
    /// Advances the ledger's clock and removes the idempotency keys that have expired.
    #[serde(rename = "PassTime")]
    AdvanceLedgerClock {
        /// Milliseconds that have passed on the leader's monotonic clock.
        elapsed_ms: u64,
    },
    /// Lowers the lease bound to the declared length, since no worker can hold a longer lease any
    /// more.
    #[serde(rename = "SettleLease")]
    LowerLeaseBound {
        /// The revision that declares the length.
        revision: RevisionNumber,
    },
}

/// A change of the declarations. The leader validates it before proposing it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeclarationChange {
    /// The operator's submission.
    pub submission: SubmissionId,
    /// The revision that the change is based on.
    pub base: RevisionNumber,
    /// All declaration files of the new revision.
    pub files: Vec<DeclarationFile>,
}

/// A decision to place a task.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlaceCommand {
    /// The task.
    pub task: TaskId,
    /// The attempt to start, which is the task's next one.
    pub attempt: AttemptNumber,
    /// The worker to place the task on.
    pub worker: WorkerId,
    /// The resources to reserve.
    pub reserve: ResourceVector,
    /// Why the model chose this worker.
    pub reason: PlacementReason,
    /// The source of the weights that led to this.
    pub rule: RuleSource,
}

/// Why a command changed nothing. Every replica refuses the same commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRefusal {
    /// The worker, job or task that the command names does not exist.
    Unknown,
    /// The worker, job or task is not in the state that the command requires.
    OtherState,
    /// The command names an attempt that is not the current one.
    OtherAttempt,
    /// The command names another incarnation of the agent than the registered one.
    OtherIncarnation,
    /// The worker does not accept tasks.
    NotAccepting,
    /// The worker has less free capacity than the command reserves.
    NoRoom,
    /// The ledger already holds as many idempotency keys as the declarations allow.
    Full,
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// The command was applied.
    Done,
    /// The command changed nothing.
    Refused(CommandRefusal),
    /// The reply to a change of the declarations.
    Applied(ApplyReply),
    /// The reply to a job submission.
    Submitted(SubmitReply),
    /// The reply to a cancellation.
    Cancelled(CancelReply),
    /// The reply to an operator who drains or undrains a worker.
    Drained(DrainReply),
    /// The reply to a claim.
    Claimed(ClaimReply),
    /// True if the dispatch has closed the claim, now or earlier, or if there is no claim to
    /// release.
    Closed(bool),
}
