//! Placement: decides which waiting task starts on which worker.
//!
//! One pass serves the tasks of every open step, a step whose dependencies are done, ordered by
//! priority, by what the job can still reach and by the work it has left. A placement keeps its
//! reservation until the end of its run is proposed. A start that uses the freed capacity is sent
//! only when the log holds that end, so that the same capacity never serves two runs.
//!
//! A full pass offers every worker to every open step. The passes between two full ones answer
//! bursts of events at the cost of what has changed: a step that found no worker is offered only
//! the workers that have changed since. `docs/decisions/scale.md` says why.

mod admission;
mod affinity;
mod candidates;
mod claims;
mod crash_ledger;
mod durations;
mod forecast;
mod interference;
mod lookahead;
mod order;
mod pass;
mod relief;
mod relocation;
mod reservations;
mod score;
mod steps;
mod suspects;
mod swing;
mod trials;
mod urgency;
mod wait_cause;
mod worker;

pub use {
    admission::{AdmissionTable, AdmissionVerdict},
    crash_ledger::{CrashLedger, CrashSuspect},
    durations::{DurationTable, QueueSummary, RemainingTimes, RunForecast, RunOrigin, RunReading},
    forecast::{left_by_progress, CallerEstimates, RunForecaster},
    interference::{BestEffortShare, HeadroomForecast, ImageName, InterferenceTable, LearnedPair},
    lookahead::LookaheadScope,
    relief::{assumed_demand, fits_elsewhere},
    relocation::RunMove,
    reservations::reserved_on,
    suspects::SuspectTable,
    wait_cause::{waiting_tasks, WaitingTask},
    worker::{FailureHistory, WorkerTable, WorkerView},
};

use {
    self::{
        affinity::AffinityTable,
        claims::{DisplacedSteps, RoomClaims},
        lookahead::LookaheadTable,
        order::{StepRank, StepTurn},
        pass::{PassInputs, PlanPass},
        relocation::{MoveSearch, MoveTable},
        reservations::ReservationTable,
        score::{score_of, StartTerms, StepRequest},
        steps::{open_steps, OpenStep},
        trials::TrialTable,
    },
    crate::{
        event::FlowEvent,
        job::{JobKey, JobSpec, RunNumber, StepKey, TaskKey, WorkerIncarnation},
        state::FlowState,
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// A decision to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The task to start.
    pub task: TaskKey,
    /// The number of the run to start.
    pub run: RunNumber,
    /// The worker, in its current incarnation, that runs the task.
    pub worker: WorkerIncarnation,
}

/// The time at which a pass takes place.
#[derive(Debug, Clone, Copy)]
pub struct PlanTime {
    /// The leader's clock.
    pub now: Duration,
    /// Milliseconds since the Unix epoch, for jobs with a schedule.
    pub wall_ms: u64,
}

/// What a pass decides on.
#[derive(Debug, Clone, Copy)]
pub struct PlanInputs<'a> {
    /// The state on which placements are planned.
    pub state: &'a FlowState,
    /// The workers.
    pub workers: &'a WorkerTable,
    /// The learned interference.
    pub learned: &'a InterferenceTable,
    /// The tasks that may have crashed an executor.
    pub suspects: &'a SuspectTable,
    /// The observed run times.
    pub durations: &'a DurationTable,
    /// How long runs still take.
    pub forecaster: &'a dyn RunForecaster,
    /// The time of the pass.
    pub time: PlanTime,
}

/// Interval of full passes. What changes with time alone, such as schedules, learned interference
/// and the suspicion of workers, shows in the placements after this time at the latest.
const FULL_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Decides placements, and remembers between two passes what the next one need not compute again.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    reservations: ReservationTable,
    /// Steps for which the last pass found no worker.
    blocked: BTreeSet<StepKey>,
    /// The displaced steps that the last pass left waiting.
    displaced: DisplacedSteps,
    /// The executors on which suspected jobs are tried.
    trials: TrialTable,
    /// The tasks that move to another worker.
    moves: MoveTable,
    /// What is kept for steps that need much capacity at once.
    lookahead: LookaheadTable,
    /// What the last pass kept for others, as it was at the end of the pass.
    claims: RoomClaims,
    /// Executors that changed in another way than by their placements since the last pass.
    touched: BTreeSet<Arc<str>>,
    last_full: Option<Duration>,
}

impl PlacementPlanner {
    /// Creates a planner that looks ahead for the given work.
    pub fn new(scope: LookaheadScope) -> Self {
        Self { lookahead: LookaheadTable::new(scope), ..Self::default() }
    }

    /// Notes that a worker may have become able to receive tasks.
    pub fn touch(&mut self, executor: &Arc<str>) {
        self.touched.insert(executor.clone());
    }

    /// Returns the steps for which the last pass found no worker.
    pub fn blocked_steps(&self) -> impl Iterator<Item = &StepKey> {
        self.blocked.iter()
    }

    /// Returns whether a full pass is due.
    pub fn is_full_pass_due(&self, now: Duration) -> bool {
        self.last_full.is_none_or(|last| now.saturating_sub(last) >= FULL_PASS_INTERVAL)
    }

    /// Chooses moves of at most `limit` latency-critical runs that open workers to best-effort work.
    /// `may_move` decides whether a run may be stopped now.
    pub fn choose_moves(
        &self,
        inputs: PlanInputs<'_>,
        limit: usize,
        may_move: impl Fn(&Placement) -> bool,
    ) -> Vec<RunMove> {
        let PlanInputs { workers, .. } = inputs;
        let mut kept = self.moves.targets(workers);
        kept.extend(self.trials.positions(workers));
        let search = MoveSearch::new(&inputs, &self.reservations, kept, may_move);
        search.map(|mut search| search.choose(limit)).unwrap_or_default()
    }

    /// Keeps the target of a moving task for that task, at most until `until`.
    pub fn keep_target(&mut self, task: TaskKey, target: Arc<str>, until: Duration) {
        self.moves.add(task, target, until);
    }

    /// Returns whether a task of a job that is not in the state could start at once: a worker has
    /// free capacity for it. A worker that no pass has seen counts as free.
    pub fn has_capacity_for(
        &self,
        job: JobKey,
        spec: &JobSpec,
        service: &str,
        inputs: PlanInputs<'_>,
    ) -> bool {
        let (workers, now) = (inputs.workers, inputs.time.now);
        let inputs = PassInputs::new(inputs, None);
        let mut first =
            spec.steps.iter().enumerate().filter(|(_, step)| step.depends_on.is_empty());
        first.any(|(step, spec)| {
            let key = StepKey { job, occurrence: 0, step: step as u16 };
            let terms = StartTerms::Regular;
            let span = Duration::from_millis(spec.estimate_ms);
            let request = StepRequest { key, spec, service, rack: None, span, terms };
            workers.iter().any(|(executor, view)| match self.reservations.of(executor) {
                Some(reserved) => score_of(&request, view, reserved, &inputs).is_some(),
                None => view.accepts(service, now),
            })
        })
    }

    /// Returns the events of the passes since the last call.
    pub fn take_events(&mut self) -> Vec<FlowEvent> {
        self.lookahead.take_events()
    }

    /// Chooses a worker with enough free capacity for the waiting tasks that may start now.
    pub fn plan(&mut self, inputs: PlanInputs<'_>) -> Vec<Placement> {
        let mut changed = self.reservations.refresh(inputs.state, inputs.workers);
        let touched = std::mem::take(&mut self.touched);
        changed.extend(touched.iter().filter_map(|executor| inputs.workers.get_index_of(executor)));
        let mut blocked = std::mem::take(&mut self.blocked);
        let full = self.is_full_pass_due(inputs.time.now);
        if full {
            self.last_full = Some(inputs.time.now);
            blocked.clear();
            self.lookahead.drop_ended(inputs.state, inputs.time.now);
        }
        let held = self.lookahead.begin_pass(inputs.workers, &changed, full);
        changed.extend(held);
        let PlanInputs { state, workers, learned, suspects, durations, time, .. } = inputs;
        let mut steps = open_steps(state, durations, time);
        let serving = |step: &OpenStep<'_>| {
            step.spec().latency_target_ms.is_some() && step.waiting().next().is_some()
        };
        let affinity = steps
            .iter()
            .any(serving)
            .then(|| AffinityTable::new(learned, workers, &self.reservations))
            .flatten();
        let inputs = &PassInputs::new(inputs, affinity);
        let turns = self.lookahead.turns(&steps, inputs);
        let turn = |step: &OpenStep<'_>| turns.get(&step.step_key()).copied();
        let regular = StepTurn::Regular;
        steps.sort_by_cached_key(|step| StepRank::new(step, turn(step).unwrap_or(regular)));
        self.moves.refresh(workers, time.now);
        self.trials.refresh(state, workers, suspects, time.now);
        let due = turns.keys().copied().collect();
        let mut claims = RoomClaims::new(self.trials.positions(workers).collect(), due);
        claims.keep(self.moves.targets(workers));
        let moves = &mut self.moves;
        let trials = &mut self.trials;
        let lookahead = &mut self.lookahead;
        let reservations = &mut self.reservations;
        let earlier = std::mem::take(&mut self.displaced);
        let displaced = &mut self.displaced;
        let (loads, placements) = Default::default();
        let mut pass = PlanPass {
            inputs,
            reservations,
            earlier,
            displaced,
            trials,
            moves,
            lookahead,
            claims,
            loads,
            placements,
        };
        for step in &steps {
            pass.place_moving(step);
        }
        let mut priority = None;
        for (rank, step) in steps.iter().enumerate() {
            if priority.replace(step.record.priority) != Some(step.record.priority) {
                pass.renew_reservations(&steps[rank..]);
            }
            let known = blocked.contains(&step.step_key()) && !step.spec().gang;
            let workers = known.then_some(&changed);
            if !pass.place_step(step, workers) {
                self.blocked.insert(step.step_key());
            }
        }
        let PlanPass { claims, placements, .. } = pass;
        self.claims = claims;
        placements
    }
}
