//! Executors on which the tasks of one suspected job start apart from all others.
//!
//! A trial tells whether the job crashes executors, and protects the others while it is not known:
//! its executor receives nothing else, and no second executor tries the same job. It ends when the
//! job's tasks have settled there. See `docs/decisions/crashes.md`.

use {
    super::{
        claims::RoomClaims,
        reservations::{fitting, will_fit, ReservationTable, WorkerReservations},
        score::{may_hold, StepRequest},
        suspects::SuspectTable,
        worker::{WorkerTable, WorkerView},
        PassInputs,
    },
    crate::{
        job::{JobKey, WorkerIncarnation},
        state::FlowState,
    },
    indexmap::IndexMap,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Share of a service's workers on which suspected jobs may be tried at once.
const TRIAL_SHARE: f64 = 0.25;
/// Time that a suspected job waits for one of these. After it, any further worker may try it: the
/// job could otherwise wait behind many others.
const TRIAL_PATIENCE: Duration = Duration::from_millis(1500);
/// Time that a trial waits until the other runs on its executor have settled.
const CLEARING_TIME: Duration = Duration::from_millis(1500);
/// Time after which a trial without a run is given up.
const IDLE_TRIAL_TIME: Duration = Duration::from_millis(3000);
/// Time after which a trial ends although its runs have not settled: they stand still, or are stopped
/// and start again. Above the time that settling takes after any number of crashes.
const TRIAL_TIME: Duration = Duration::from_secs(8);
/// The largest number of jobs that are tried together.
const GROUP_LIMIT: usize = 4;

/// A trial of one or more jobs on one executor.
#[derive(Debug)]
struct JobTrial {
    /// The jobs that start together, one alone unless it is their first trial.
    jobs: Vec<JobKey>,
    since: Duration,
}

/// The trials in progress, by executor.
#[derive(Debug, Default)]
pub(super) struct TrialTable {
    trials: IndexMap<Arc<str>, JobTrial>,
    /// The suspected jobs whose last trial was given up, because nothing of them had started there.
    given_up: BTreeSet<JobKey>,
    /// The number of jobs that the last pass left without a trial.
    left_last_pass: usize,
    /// The same of the present pass, so far.
    left_so_far: usize,
}

impl TrialTable {
    /// Ends the trials that are over: their jobs are no longer suspected, the executor is gone, the
    /// jobs have nothing there that has yet to settle, or it takes too long to do so.
    pub(super) fn refresh(
        &mut self,
        state: &FlowState,
        workers: &WorkerTable,
        suspects: &SuspectTable,
        now: Duration,
    ) {
        self.left_last_pass = std::mem::take(&mut self.left_so_far);
        let given_up = &mut self.given_up;
        given_up.retain(|job| suspects.has_suspects(*job));
        self.trials.retain(|executor, trial| {
            let Some(worker) = workers.get(executor) else { return false };
            trial.jobs.retain(|job| suspects.has_suspects(*job));
            let open = worker.accepts(&worker.report.service, now);
            let placed = state.placed_tasks(worker.incarnation());
            let mut tried = placed.filter(|(task, _)| trial.jobs.contains(&task.job)).peekable();
            let over = match tried.peek() {
                Some(_) => tried.all(|(task, run)| suspects.is_settled(&task, run)),
                None => now.saturating_sub(trial.since) >= IDLE_TRIAL_TIME,
            };
            if over && tried.peek().is_none() {
                given_up.extend(&trial.jobs);
            }
            let overdue = now.saturating_sub(trial.since) >= TRIAL_TIME;
            open && !over && !overdue && !trial.jobs.is_empty()
        });
    }

    /// Returns the positions of the executors that trials have for themselves.
    pub(super) fn positions<'a>(
        &'a self,
        workers: &'a WorkerTable,
    ) -> impl Iterator<Item = usize> + 'a {
        self.trials.keys().filter_map(|executor| workers.get_index_of(executor))
    }

    /// Finds the executor of a job's trial, or begins one. Returns its position if the job may start
    /// tasks there now; `None` while there is none, or while runs of other jobs have yet to settle.
    pub(super) fn claim_executor(
        &mut self,
        job: JobKey,
        request: &StepRequest<'_>,
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
        claims: &mut RoomClaims,
    ) -> Option<usize> {
        let known = self.trials.iter().find(|(_, trial)| trial.jobs.contains(&job));
        let known = known.and_then(|(executor, _)| inputs.workers.get_index_of(executor));
        let joined = || self.join(job, request, inputs, reservations);
        let found = known.or_else(joined);
        let begun = found.or_else(|| self.begin(job, request, inputs, reservations, claims));
        let Some(position) = begun else {
            self.left_so_far += 1;
            return None;
        };
        let (executor, worker) = inputs.workers.get_index(position)?;
        let trial = self.trials.get(executor)?;
        let waited = inputs.time.now.saturating_sub(trial.since);
        // Beside a run that has just begun, a second crash would prove nothing.
        let overdue = waited >= CLEARING_TIME && is_first_trial(job, inputs.state);
        (overdue || trial.unsettled_on(worker, inputs) == 0).then_some(position)
    }

    /// Removes a job from the trial on an executor whose room the other jobs of the trial have taken,
    /// so that another executor may try it.
    pub(super) fn leave(&mut self, job: JobKey, worker: &WorkerIncarnation, state: &FlowState) {
        let Some(trial) = self.trials.get_mut(&worker.executor) else { return };
        let present = state.placed_tasks(worker).any(|(task, _)| task.job == job);
        if !present && trial.jobs.len() > 1 {
            trial.jobs.retain(|other| *other != job);
        }
    }

    /// Adds a job to a trial that has just begun, if more jobs wait than can be tried alone. A job
    /// that was tried before is tried alone.
    fn join(
        &mut self,
        job: JobKey,
        request: &StepRequest<'_>,
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
    ) -> Option<usize> {
        let now = inputs.time.now;
        let limit = trial_limit(request, inputs);
        let size = self.left_last_pass.div_ceil(limit.max(1)).min(GROUP_LIMIT);
        if !is_first_trial(job, inputs.state) {
            return None;
        }
        for (executor, trial) in &mut self.trials {
            let Some((position, _, worker)) = inputs.workers.get_full(executor) else { continue };
            let Some(reserved) = reservations.of(executor) else { continue };
            let forming = trial.since == now && trial.jobs.len() < size;
            let first = trial.jobs.iter().all(|other| is_first_trial(*other, inputs.state));
            let room = fitting(worker, reserved, request.spec) > 0;
            if forming && first && room && may_hold(request, worker, reserved, now) {
                trial.jobs.push(job);
                return Some(position);
            }
        }
        None
    }

    /// Begins a trial on the executor with the least to lose. An executor without crashes is worth a
    /// wait for its capacity, but not a second one.
    fn begin(
        &mut self,
        job: JobKey,
        request: &StepRequest<'_>,
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
        claims: &mut RoomClaims,
    ) -> Option<usize> {
        let now = inputs.time.now;
        let trial = JobTrial { jobs: vec![job], since: now };
        let since = inputs.suspects.suspected_since(job).unwrap_or(now);
        let patient = now.saturating_sub(since) < TRIAL_PATIENCE;
        let may_disturb = self.trials.len() < trial_limit(request, inputs) || !patient;
        let usable = |worker: &WorkerView, reserved: &WorkerReservations| {
            let room = will_fit(worker, reserved, request.spec);
            may_hold(request, worker, reserved, now) && room && !worker.is_suspect(now)
        };
        let candidates = inputs.workers.iter().enumerate().filter_map(|(position, entry)| {
            let (executor, worker) = entry;
            let reserved = reservations.of(executor)?;
            let open = !claims.is_claimed(position) && usable(worker, reserved);
            let idle = reserved.is_empty();
            let lacks_room = fitting(worker, reserved, request.spec) == 0;
            let address = inputs.state.executor_address_of(executor);
            let crashes = address.map(|at| inputs.suspects.ledger.trial_rank(job, at, now));
            let (against, others) = crashes.unwrap_or_default();
            let unsettled = trial.unsettled_on(worker, inputs);
            let (lasting, tasks) = (reserved.lasting_tasks(), reserved.tasks());
            let no_wait = lacks_room && self.given_up.contains(&job);
            let rank = (no_wait, against, lacks_room, others, unsettled, lasting, tasks, position);
            (open && (idle || may_disturb)).then_some(rank)
        });
        let (.., position) = candidates.min()?;
        let (executor, _) = inputs.workers.get_index(position)?;
        self.trials.insert(executor.clone(), trial);
        claims.close(position);
        Some(position)
    }
}

impl JobTrial {
    /// Returns how many runs of other jobs on a worker have yet to settle.
    fn unsettled_on(&self, worker: &WorkerView, inputs: &PassInputs<'_>) -> usize {
        let placed = inputs.state.placed_tasks(worker.incarnation());
        let others = placed.filter(|(task, _)| !self.jobs.contains(&task.job));
        others.filter(|(task, run)| !inputs.suspects.is_settled(task, *run)).count()
    }
}

/// Returns the number of workers on which jobs may be tried at once.
fn trial_limit(request: &StepRequest<'_>, inputs: &PassInputs<'_>) -> usize {
    let now = inputs.time.now;
    let workers = inputs.workers.values();
    let accepting = workers.filter(|worker| worker.accepts(request.service, now)).count();
    (accepting as f64 * TRIAL_SHARE).ceil() as usize
}

/// Returns whether at most one executor has crashed around any task of a job.
fn is_first_trial(job: JobKey, state: &FlowState) -> bool {
    let tasks = state.job(job).into_iter().flat_map(|record| record.tasks(job));
    tasks.map(|(_, task)| task.run.suspicions()).max().unwrap_or(0) <= 1
}
