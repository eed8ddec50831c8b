//! What the log carries: commands that change the applied state, and what became of each.

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
    sched::{ParkReason, PlacementReason, ReliefReason},
    serde::{Deserialize, Serialize},
    settings::RuleSource,
};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CommandBatch {
    /// Milliseconds of the leader's wall clock since the Unix epoch. Every replica uses this time
    /// and none of its own, so that all of them come to the same state.
    pub at_ms: u64,
    /// The commands, applied in order.
    pub commands: Vec<FleetCommand>,
}

/// A change of the applied state. Applying one checks everything that it depends on, because the
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
    /// Cancels a job: its waiting tasks end, its running tasks are asked to stop.
    CancelJob {
        /// The job.
        job: JobId,
    },
    /// Keeps a job back.
    ParkJob {
        /// The job.
        job: JobId,
        /// Why.
        reason: ParkReason,
        /// What decided.
        rule: RuleSource,
    },
    /// Lets a parked job be tried again.
    UnparkJob {
        /// The job.
        job: JobId,
    },
    /// Notes whether an operator wants a worker to be left by its tasks.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
        /// True to drain it, false to take that back.
        draining: bool,
    },
    /// Notes whether a worker is blamed for failures.
    BlameWorker {
        /// The worker.
        worker: WorkerId,
        /// The number of distinct jobs that failed on it, or `None` once a probe has succeeded.
        failed_jobs: Option<u32>,
    },
    /// Registers a worker, a new life of it or a changed announcement.
    SeeWorker {
        /// The worker.
        worker: WorkerId,
        /// The life of its agent.
        incarnation: IncarnationNumber,
        /// What the agent says of it.
        announcement: WorkerAnnouncement,
    },
    /// Replaces the endpoints of a worker.
    SeeEndpoints {
        /// The worker.
        worker: WorkerId,
        /// The life of its agent.
        incarnation: IncarnationNumber,
        /// All its endpoints.
        endpoints: Vec<EndpointAnnouncement>,
    },
    /// The worker's lease has expired: it runs nothing any more.
    LoseWorker {
        /// The worker.
        worker: WorkerId,
        /// The life whose lease has expired.
        incarnation: IncarnationNumber,
    },
    /// Reserves room for a task and starts its next attempt.
    Place(PlaceCommand),
    /// Limits how far an attempt may use its reservation.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The limit.
        level: ThrottleLevel,
        /// Why.
        reason: ReliefReason,
        /// What decided.
        rule: RuleSource,
    },
    /// Asks for an attempt to be checkpointed and stopped.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: ReliefReason,
        /// What decided.
        rule: RuleSource,
    },
    /// A worker has said where an attempt stands.
    Report {
        /// The worker.
        worker: WorkerId,
        /// The life of its agent.
        incarnation: IncarnationNumber,
        /// What it said.
        report: AttemptReport,
    },
    /// A worker that named every attempt it knows did not name this one, of which it had been
    /// told: it does not run there.
    MissAttempt {
        /// The worker.
        worker: WorkerId,
        /// The life of its agent.
        incarnation: IncarnationNumber,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Claims an idempotency key.
    Claim(LedgerClaim),
    /// Closes a claim.
    Close(LedgerClose),
    /// Lets the ledger's clock go on, and forgets idempotency keys whose time is up.
    PassTime {
        /// Milliseconds that the leader has seen pass on its monotonic clock.
        elapsed_ms: u64,
    },
    /// No lease that is longer than the declared length can be held any more.
    SettleLease {
        /// The revision that declares the length.
        revision: RevisionNumber,
    },
}

/// A change of the declarations, checked before it is proposed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeclarationChange {
    /// The operator's submission.
    pub submission: SubmissionId,
    /// The revision on which the change was made.
    pub base: RevisionNumber,
    /// All files.
    pub files: Vec<DeclarationFile>,
}

/// A decision to place a task.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlaceCommand {
    /// The task.
    pub task: TaskId,
    /// The attempt that starts, the next one of the task.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerId,
    /// What is reserved.
    pub reserve: ResourceVector,
    /// Why there.
    pub reason: PlacementReason,
    /// What decided.
    pub rule: RuleSource,
}

/// Why a command changed nothing. Every replica refuses the same commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandRefusal {
    /// What it names does not exist.
    Unknown,
    /// What it names is not in the state that the command was made for.
    OtherState,
    /// It is about an attempt that is no longer, or not yet, the current one.
    OtherAttempt,
    /// It comes from a life of an agent that has ended.
    OtherIncarnation,
    /// The worker takes no tasks.
    NotAccepting,
    /// The worker has less room than is to be reserved.
    NoRoom,
    /// The bound on what is kept has been reached.
    Full,
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandOutcome {
    /// It was done.
    Done,
    /// It changed nothing.
    Refused(CommandRefusal),
    /// The answer to a change of the declarations.
    Applied(ApplyReply),
    /// The answer to a job.
    Submitted(SubmitReply),
    /// The answer to a cancellation.
    Cancelled(CancelReply),
    /// The answer to an operator's change of a worker.
    Drained(DrainReply),
    /// The answer to a claim.
    Claimed(ClaimReply),
    /// Whether a claim was closed.
    Closed(bool),
}
