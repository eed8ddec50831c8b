//! The applied state: what every replica derives from the log alone.
//!
//! Applying is a pure function of the state and the batch. A command that no longer fits changes
//! nothing, on every replica alike, so that a leader may propose on top of what it has proposed.

mod command;
mod cordons;
mod placements;
mod record;
mod transition;

pub use {
    command::{CommandBatch, CommandOutcome, EndKind, FlowCommand, Submission},
    cordons::{CordonSet, DataCentreError, DataCentreName, CORDON_LIMIT},
    record::{
        JobOutcome, JobPhase, JobRecord, OccurrenceRecord, StepRecord, TaskPhase, TaskRecord,
    },
};

use {
    self::placements::PlacementIndex,
    crate::{
        job::{FleetConfig, JobKey, RunNumber, TaskKey, WorkerIncarnation},
        plan::LearnedPair,
    },
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The most jobs that are kept as cancelled before their submission. Every replica keeps them for as
/// long as ended jobs.
pub const WITHDRAWN_LIMIT: usize = 8192;

/// The error for a snapshot or an entry that cannot be decoded: it has another format, or another
/// program wrote it.
#[derive(Debug, Snafu)]
#[snafu(display("the replicated state can't be decoded: {source}"))]
pub struct StateError {
    source: rmp_serde::decode::Error,
}

/// The replicated state.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct FlowState {
    /// Milliseconds that leaders have measured, summed over all leaderships.
    clock_ms: u64,
    /// The time for which a job is kept after its end, in milliseconds.
    retention_ms: u64,
    config: Option<FleetConfig>,
    jobs: BTreeMap<JobKey, JobRecord>,
    /// Jobs that have not ended, and ended jobs with runs that have not.
    active: BTreeSet<JobKey>,
    /// Ended jobs in the order of their end.
    ended: BTreeSet<(u64, JobKey)>,
    /// The interference between images that leaders have learned.
    #[serde(default)]
    learned: Vec<LearnedPair>,
    /// The address of each executor, kept while a task is placed on the executor or no other
    /// executor answers there.
    #[serde(default)]
    addresses: BTreeMap<Arc<str>, Arc<str>>,
    /// The cordoned data centres. Left out while there are none, so that an older build can decode
    /// the snapshot.
    #[serde(default, skip_serializing_if = "CordonSet::is_empty")]
    cordons: CordonSet,
    /// The number of withdrawn jobs, derived from `jobs`.
    #[serde(skip)]
    withdrawn: usize,
    /// The number of tasks of all jobs, derived from `jobs`.
    #[serde(skip)]
    tasks: u64,
    /// The placed tasks by executor, derived from `jobs`.
    #[serde(skip)]
    placements: PlacementIndex,
}

impl FlowState {
    /// Decodes a snapshot. Returns an error if it has another format or another program wrote it.
    pub fn from_snapshot(data: &[u8]) -> Result<Self, StateError> {
        let mut state: Self = rmp_serde::from_slice(data).context(StateSnafu)?;
        state.placements = PlacementIndex::new(state.active_jobs());
        state.tasks = state.jobs.values().map(|job| job.spec.task_count()).sum();
        state.withdrawn = state.jobs.values().filter(|job| job.is_withdrawn()).count();
        Ok(state)
    }

    /// Encodes a snapshot.
    pub fn to_snapshot(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).unwrap_or_default()
    }

    /// Returns the log's clock: the milliseconds that leaders have measured.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&FleetConfig> {
        self.config.as_ref()
    }

    /// Returns the interference between images that leaders have learned.
    pub fn learned(&self) -> &[LearnedPair] {
        &self.learned
    }

    /// Returns the cordoned data centres.
    pub fn cordons(&self) -> &CordonSet {
        &self.cordons
    }

    /// Returns the address at which an executor answers, or last answered.
    pub fn executor_address_of(&self, executor: &str) -> Option<&Arc<str>> {
        self.addresses.get(executor)
    }

    /// Returns the recorded address of each executor.
    pub fn executor_addresses(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.addresses.iter()
    }

    /// Returns a job, unless it is unknown.
    pub fn job(&self, key: JobKey) -> Option<&JobRecord> {
        self.jobs.get(&key)
    }

    /// Returns all known jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (JobKey, &JobRecord)> {
        self.jobs.iter().map(|(key, job)| (*key, job))
    }

    /// Returns the jobs that have not ended, and ended jobs with runs that have not.
    pub fn active_jobs(&self) -> impl Iterator<Item = (JobKey, &JobRecord)> {
        self.active.iter().filter_map(|key| Some((*key, self.jobs.get(key)?)))
    }

    /// Returns the number of tasks of all known jobs, which is what most of the state consists of.
    pub fn task_count(&self) -> u64 {
        self.tasks
    }

    /// Returns the number of jobs that were cancelled before they were submitted.
    pub fn withdrawn_jobs(&self) -> usize {
        self.withdrawn
    }

    /// Returns a task, unless it is unknown.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        self.jobs.get(&key.job)?.task(key)
    }

    /// Returns the incarnations of executors on which tasks are placed, in order.
    pub fn placed_incarnations(&self) -> impl Iterator<Item = &WorkerIncarnation> {
        self.placements.incarnations()
    }

    /// Returns the incarnations of one executor on which tasks are placed, in order.
    pub fn placed_incarnations_of<'a>(
        &'a self,
        executor: &'a Arc<str>,
    ) -> impl Iterator<Item = &'a WorkerIncarnation> {
        self.placements.incarnations_of(executor)
    }

    /// Returns the tasks that have reserved capacity on an incarnation, with their runs, in order.
    pub fn placed_tasks(
        &self,
        worker: &WorkerIncarnation,
    ) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        self.placements.tasks_of(worker)
    }

    /// Returns the number of the last change of the tasks that are placed on an executor, 0 if there
    /// are none. Equal numbers of one state mean equal placements.
    pub fn placement_change_of(&self, executor: &str) -> u64 {
        self.placements.change_of(executor)
    }

    /// Applies one entry of the log and returns the outcome of each command.
    pub fn apply(&mut self, batch: &CommandBatch) -> Vec<CommandOutcome> {
        self.clock_ms += batch.elapsed_ms;
        let outcomes = batch.commands.iter().map(|command| self.apply_one(command)).collect();
        self.forget_ended();
        outcomes
    }

    fn apply_one(&mut self, command: &FlowCommand) -> CommandOutcome {
        match command {
            FlowCommand::Configure(config) => self.configure(config),
            FlowCommand::RetainFor { retention_ms } => {
                self.retention_ms = *retention_ms;
                CommandOutcome::Done
            }
            FlowCommand::StoreInterference(pairs) => {
                self.learned.clone_from(pairs);
                CommandOutcome::Done
            }
            FlowCommand::RecordAddress { executor, place } => self.record_address(executor, place),
            FlowCommand::Submit(submission) => self.submit(submission),
            FlowCommand::Cancel { job } => self.cancel(*job),
            FlowCommand::Place { task, run, worker } => self.place(task, *run, worker),
            FlowCommand::Adopt { task, run, worker } => self.adopt(task, *run, worker),
            FlowCommand::End { task, run, worker, end, checkpoint } => {
                self.end(task, *run, worker, *end, checkpoint)
            }
            FlowCommand::Cordon { data_centre } => self.cordons.cordon(data_centre),
            FlowCommand::LiftCordon { data_centre } => self.cordons.lift(data_centre),
        }
    }

    fn forget_ended(&mut self) {
        let horizon = self.clock_ms.saturating_sub(self.retention_ms);
        while let Some((at, key)) = self.ended.first().copied() {
            if at >= horizon || self.active.contains(&key) {
                break;
            }
            self.ended.remove(&(at, key));
            let Some(job) = self.jobs.remove(&key) else { continue };
            self.withdrawn -= usize::from(job.is_withdrawn());
            self.tasks -= job.spec.task_count();
        }
    }
}
