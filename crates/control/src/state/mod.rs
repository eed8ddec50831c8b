//! The applied state, which every replica derives from the log alone.
//!
//! Applying an entry is a pure function of the state and the entry. Every replica refuses a command
//! whose preconditions no longer hold, so a leader may propose from a state that is a few entries
//! old.

mod command;
mod declarations;
mod fact;
mod jobs;
mod ledger;
mod operate;
mod reason;
mod submissions;
mod task;
mod transition;
mod workers;

pub use {
    command::{
        CommandBatch, CommandOutcome, CommandRefusal, DeclarationChange, FleetCommand, PlaceCommand,
    },
    declarations::DeclarationTable,
    fact::FleetFact,
    jobs::{JobRecord, JobTable, StepRecord, TaskRecord, TASKS_PER_JOB_LIMIT},
    ledger::LedgerTable,
    reason::StepReason,
    submissions::{ContentDigest, SubmissionLog, SubmissionMatch},
    task::{
        EndPhase, Ended, Parked, Placed, PlacedPhase, Running, StopPurpose, Stopping, Task,
        TaskLifecycle, TaskPlacement, Waiting,
    },
    workers::{WorkerRecord, WorkerTable},
};

use {
    proto::messages::operator::SubmitReply,
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
};

/// Why a snapshot or an entry can't be used. The log itself is intact, so a newer version or another
/// program wrote it.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The bytes do not decode as a state or an entry of this version.
    #[snafu(display("the replicated state can't be decoded: {source}"))]
    Undecodable {
        /// The error of the decoder.
        source: rmp_serde::decode::Error,
    },
}

/// The replicated state.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct FleetState {
    declarations: DeclarationTable,
    workers: WorkerTable,
    jobs: JobTable,
    ledger: LedgerTable,
    submissions: SubmissionLog<SubmitReply>,
}

impl FleetState {
    /// Returns the state of a new cluster.
    pub fn new() -> Self {
        Self { declarations: DeclarationTable::new(), ..Self::default() }
    }

    /// Decodes a snapshot.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        let mut state: Self = rmp_serde::from_slice(data).context(UndecodableSnafu)?;
        state.declarations.restore();
        state.ledger.restore();
        Ok(state)
    }

    /// Encodes a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Returns the accepted declarations.
    pub fn declarations(&self) -> &DeclarationTable {
        &self.declarations
    }

    /// Returns the workers.
    pub fn workers(&self) -> &WorkerTable {
        &self.workers
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> &JobTable {
        &self.jobs
    }

    /// Returns the ledger of idempotency keys.
    pub fn ledger(&self) -> &LedgerTable {
        &self.ledger
    }

    /// Applies one entry of the log, appends the changes to `facts` and returns the outcome of each
    /// command.
    pub fn apply(
        &mut self,
        batch: CommandBatch,
        facts: &mut Vec<FleetFact>,
    ) -> Vec<CommandOutcome> {
        let at_ms = batch.at_ms;
        batch.commands.into_iter().map(|command| self.apply_one(at_ms, command, facts)).collect()
    }

    fn apply_one(
        &mut self,
        at_ms: u64,
        command: FleetCommand,
        facts: &mut Vec<FleetFact>,
    ) -> CommandOutcome {
        let mut scope = ApplyScope { state: self, at_ms, facts };
        match command {
            FleetCommand::Apply(change) => scope.change_declarations(change),
            FleetCommand::SubmitJob { submission, job } => scope.submit_job(submission, job),
            FleetCommand::CancelJob { job } => scope.cancel_job(&job),
            FleetCommand::ParkJob { job, reason, rule } => scope.park_job(&job, reason, rule),
            FleetCommand::UnparkJob { job } => scope.unpark_job(&job),
            FleetCommand::DrainWorker { worker, draining } => scope.drain_worker(worker, draining),
            FleetCommand::SetWorkerFailures { worker, failed_jobs } => {
                scope.set_worker_failures(worker, failed_jobs)
            }
            FleetCommand::RegisterWorker { worker, incarnation, announcement } => {
                scope.register_worker(worker, incarnation, announcement)
            }
            FleetCommand::SetEndpoints { worker, incarnation, endpoints } => {
                scope.set_endpoints(worker, incarnation, endpoints)
            }
            FleetCommand::ExpireWorker { worker, incarnation } => {
                scope.expire_worker(worker, incarnation)
            }
            FleetCommand::Place(place) => scope.place(place),
            FleetCommand::Throttle { task, attempt, level, reason, rule } => {
                let reason = StepReason::Throttled(level.0, reason, rule);
                scope.throttle(&task, attempt, level, reason)
            }
            FleetCommand::Evict { task, attempt, reason, rule } => {
                scope.evict(&task, attempt, StepReason::Evicted(reason, rule))
            }
            FleetCommand::Report { worker, incarnation, report } => {
                scope.report(&worker, incarnation, report)
            }
            FleetCommand::ReportMissingAttempt { worker, incarnation, task, attempt } => {
                scope.report_missing_attempt(&worker, incarnation, &task, attempt)
            }
            FleetCommand::Claim(claim) => scope.claim(claim),
            FleetCommand::Close(close) => CommandOutcome::Closed(scope.state.ledger.close(close)),
            FleetCommand::AdvanceLedgerClock { elapsed_ms } => {
                scope.state.ledger.advance_clock(elapsed_ms);
                CommandOutcome::Done
            }
            FleetCommand::LowerLeaseBound { revision } => {
                done_if(scope.state.declarations.lower_lease_bound(revision))
            }
        }
    }
}

fn done_if(done: bool) -> CommandOutcome {
    if done {
        return CommandOutcome::Done;
    }
    CommandOutcome::Refused(CommandRefusal::OtherState)
}

/// What one command reads and changes: the state, the time of its log entry and the list of facts.
struct ApplyScope<'a> {
    state: &'a mut FleetState,
    at_ms: u64,
    facts: &'a mut Vec<FleetFact>,
}

impl ApplyScope<'_> {
    fn claim(&mut self, claim: proto::messages::LedgerClaim) -> CommandOutcome {
        let bound = self.state.declarations.retention().ledger_keys as usize;
        match self.state.ledger.claim(claim, bound) {
            Some(reply) => CommandOutcome::Claimed(reply),
            None => CommandOutcome::Refused(CommandRefusal::Full),
        }
    }

    fn step_bound(&self) -> usize {
        self.state.declarations.retention().task_steps as usize
    }
}
