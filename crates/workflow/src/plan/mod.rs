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
mod durations;
mod forecast;
mod interference;
mod lookahead;
mod order;
mod relief;
mod relocation;
mod reservations;
mod score;
mod steps;
mod suspects;
mod swing;
mod trials;
mod urgency;
mod worker;

pub use {
    admission::{AdmissionTable, AdmissionVerdict},
    durations::{DurationTable, QueueSummary, RemainingTimes, RunForecast, RunOrigin, RunReading},
    forecast::{left_by_progress, CallerEstimates, RunForecaster},
    interference::{BestEffortShare, HeadroomForecast, ImageName, InterferenceTable, LearnedPair},
    lookahead::LookaheadScope,
    relief::{assumed_demand, fits_elsewhere},
    relocation::RunMove,
    reservations::reserved_on,
    suspects::SuspectTable,
    worker::{WorkerTable, WorkerView},
};

use {
    self::{
        affinity::AffinityTable,
        candidates::CandidateQueue,
        claims::{DisplacedSteps, RoomClaims},
        lookahead::LookaheadTable,
        order::{StepRank, StepTurn},
        relocation::{MoveSearch, MoveTable},
        reservations::{fitting, ReservationTable},
        score::{may_hold, may_run, score_of, StartTerms, StepRequest},
        steps::{open_steps, OpenStep},
        trials::TrialTable,
    },
    crate::{
        event::FlowEvent,
        job::{JobKey, JobSpec, RunNumber, StepKey, TaskKey, WorkerIncarnation},
        state::FlowState,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
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
/// Age of a job in milliseconds from which, with nothing placed, its best-effort tasks may start
/// beside latency-critical tasks whose targets they put at risk. Throttling then protects the
/// targets.
const STARVATION_MS: u64 = 1500;
/// Reserved share of a service's processors below which a job may count as starving. Above it,
/// other tasks occupy the capacity that the job waits for.
const STARVATION_LOAD: f64 = 0.6;

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
        let PlanInputs { state, workers, learned, suspects, durations, forecaster, time } = inputs;
        let forecast = learned.forecast(time.now);
        let affinity = None;
        let inputs = PassInputs {
            state,
            workers,
            suspects,
            durations,
            forecaster,
            time,
            forecast,
            affinity,
        };
        let mut first =
            spec.steps.iter().enumerate().filter(|(_, step)| step.depends_on.is_empty());
        first.any(|(step, spec)| {
            let key = StepKey { job, occurrence: 0, step: step as u16 };
            let terms = StartTerms::Regular;
            let span = Duration::from_millis(spec.estimate_ms);
            let request = StepRequest { key, spec, service, rack: None, span, terms };
            workers.iter().any(|(executor, view)| match self.reservations.of(executor) {
                Some(reserved) => score_of(&request, view, reserved, &inputs).is_some(),
                None => view.accepts(service, time.now),
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
        let PlanInputs { state, workers, learned, suspects, durations, forecaster, time } = inputs;
        let forecast = learned.forecast(time.now);
        let mut steps = open_steps(state, durations, time);
        let serving = |step: &OpenStep<'_>| {
            step.spec().latency_target_ms.is_some() && step.waiting().next().is_some()
        };
        let affinity = steps
            .iter()
            .any(serving)
            .then(|| AffinityTable::new(learned, workers, &self.reservations))
            .flatten();
        let inputs = &PassInputs {
            state,
            workers,
            suspects,
            durations,
            forecaster,
            time,
            forecast,
            affinity,
        };
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
        pass.placements
    }
}

/// What a pass decides on, with what it derives once.
struct PassInputs<'a> {
    state: &'a FlowState,
    workers: &'a WorkerTable,
    suspects: &'a SuspectTable,
    durations: &'a DurationTable,
    forecaster: &'a dyn RunForecaster,
    time: PlanTime,
    forecast: HeadroomForecast<'a>,
    /// Present if latency-critical tasks wait and something is known about the images.
    affinity: Option<AffinityTable>,
}

/// One pass over the open steps.
struct PlanPass<'a> {
    inputs: &'a PassInputs<'a>,
    reservations: &'a mut ReservationTable,
    /// The displaced steps that the pass before left waiting, and those that this one leaves.
    earlier: DisplacedSteps,
    displaced: &'a mut DisplacedSteps,
    trials: &'a mut TrialTable,
    moves: &'a mut MoveTable,
    lookahead: &'a mut LookaheadTable,
    claims: RoomClaims,
    /// The reserved share of each service's processors when the pass first asked for it.
    loads: BTreeMap<String, f64>,
    placements: Vec<Placement>,
}

impl PlanPass<'_> {
    /// Keeps capacity for the steps of the first one's priority for which the last passes did, before
    /// any of these is served: work that ranks first by its little work would take it.
    fn renew_reservations(&mut self, steps: &[OpenStep<'_>]) {
        let Some(first) = steps.first().filter(|_| self.lookahead.is_active()) else { return };
        let priority = first.record.priority;
        for step in steps.iter().take_while(|step| step.record.priority == priority) {
            let key = step.step_key();
            if !self.lookahead.is_watched(&key) {
                continue;
            }
            let (spec, service) = (step.spec(), step.service());
            let starving = self.is_starving(step, service);
            let terms = if starving { StartTerms::Starving } else { StartTerms::Regular };
            let span = self.inputs.durations.expected(key, &step.record.queue, spec).length;
            let request = StepRequest { key, spec, service, rack: None, span, terms };
            let left = self.regular_tasks(step).count();
            self.reserve_for(step, &request, left, false);
        }
    }

    fn reserve_for(
        &mut self,
        step: &OpenStep<'_>,
        request: &StepRequest<'_>,
        left: usize,
        served: bool,
    ) {
        let (reservations, claims) = (&*self.reservations, &mut self.claims);
        let terms = (request, left, served);
        self.lookahead.reserve(step, terms, self.inputs, reservations, claims);
    }

    /// Places the waiting tasks of a step on the given workers, or on any. Returns whether no task
    /// is left waiting.
    fn place_step(&mut self, step: &OpenStep<'_>, workers: Option<&BTreeSet<usize>>) -> bool {
        if step.waiting().next().is_none() {
            return true;
        }
        let suspected = may_need_trial(self.inputs.suspects, step);
        let unchanged = workers.is_some_and(BTreeSet::is_empty);
        if unchanged && !step.is_displaced() && !suspected {
            let left = self.regular_tasks(step).count();
            if !self.lookahead.may_reserve(step, left, self.inputs) {
                return false;
            }
        }
        let PassInputs { workers: table, durations, time, .. } = self.inputs;
        let spec = step.spec();
        let service = step.service();
        let rack = self.reservations.rack_for(step.tasks(), spec, service, table, time.now);
        let starving = self.is_starving(step, service);
        let terms = if starving { StartTerms::Starving } else { StartTerms::Regular };
        let (key, rack) = (step.step_key(), rack.as_deref());
        let span = durations.expected(key, &step.record.queue, spec).length;
        let request = StepRequest { key, spec, service, rack, span, terms };
        let on_trial = if suspected { self.place_on_trial(step, &request) } else { 0 };
        let regular = self.regular_tasks(step).count();
        let mut placed = self.place_tasks(step, &request, regular, workers);
        if starving && placed == 0 {
            let request = StepRequest { terms: StartTerms::Stranded, ..request };
            placed = self.place_tasks(step, &request, regular.min(1), workers);
        }
        let left = regular - placed;
        let displaced = left > 0 && !spec.gang && step.is_displaced();
        if displaced && self.displaced.add(key, time.now, &self.earlier) {
            self.claims.add(&request, left, self.inputs, self.reservations);
        } else if left > 0 && !displaced {
            self.reserve_for(step, &request, left, true);
        } else if left == 0 {
            self.claims.release(&key);
        }
        on_trial + left == 0
    }

    /// Places the waiting tasks of a step that move, each on its target once it fits there.
    fn place_moving(&mut self, step: &OpenStep<'_>) {
        if self.moves.is_empty() {
            return;
        }
        let PassInputs { workers, time, .. } = self.inputs;
        let (key, spec, rack) = (step.step_key(), step.spec(), None);
        let service = step.rule.map_or(step.record.service.as_str(), |rule| rule.service.as_str());
        let (span, terms) = (Duration::ZERO, StartTerms::Regular);
        let request = StepRequest { key, spec, service, rack, span, terms };
        for index in step.waiting() {
            let task = step.key(index);
            let Some(target) = self.moves.target_of(&task) else { continue };
            let Some(view) = workers.get(target) else { continue };
            let reserved = self.reservations.of(target);
            if !reserved.is_some_and(|reserved| may_run(&request, view, reserved, time.now)) {
                continue;
            }
            let (worker, run) = (view.incarnation().clone(), step.tasks().tasks[index].run.next());
            self.reservations.reserve(&worker, &task, spec);
            self.placements.push(Placement { task, run, worker });
            self.moves.remove(&task);
        }
    }

    /// Places the waiting tasks of a suspected job on the executor of its trial. Returns how many
    /// of them are left.
    fn place_on_trial(&mut self, step: &OpenStep<'_>, request: &StepRequest<'_>) -> usize {
        let PassInputs { workers, suspects, time, .. } = self.inputs;
        let waiting: Vec<usize> =
            step.waiting().filter(|index| needs_trial(suspects, step, &step.key(*index))).collect();
        if waiting.is_empty() || suspects.is_held(step.job, time.now) {
            return waiting.len();
        }
        let (inputs, claims) = (self.inputs, &mut self.claims);
        let position =
            self.trials.claim_executor(step.job, request, inputs, self.reservations, claims);
        let Some((executor, view)) = position.and_then(|position| workers.get_index(position))
        else {
            return waiting.len();
        };
        let worker = view.incarnation();
        let just_placed =
            |placement: &Placement| placement.worker == *worker && placement.task.job != step.job;
        if self.placements.iter().any(just_placed) {
            return waiting.len();
        }
        let mut placed = 0;
        for index in &waiting {
            let fits = self.reservations.of(executor).is_some_and(|reserved| {
                may_hold(request, view, reserved, time.now)
                    && fitting(view, reserved, request.spec) > 0
            });
            if !fits {
                break;
            }
            let (task, run) = (step.key(*index), step.tasks().tasks[*index].run.next());
            self.reservations.reserve(worker, &task, request.spec);
            self.placements.push(Placement { task, run, worker: worker.clone() });
            placed += 1;
        }
        waiting.len() - placed
    }

    /// Returns whether a job is past the starvation age and has nothing placed while the service
    /// has capacity.
    fn is_starving(&mut self, step: &OpenStep<'_>, service: &str) -> bool {
        let PassInputs { state, workers, time, .. } = self.inputs;
        let waited = state.clock_ms().saturating_sub(step.record.accepted_ms);
        if step.record.placed > 0 || waited <= STARVATION_MS {
            return false;
        }
        let load = match self.loads.get(service) {
            Some(load) => *load,
            None => {
                let load = self.reservations.load_of(service, workers, time.now);
                self.loads.insert(service.to_owned(), load);
                load
            }
        };
        load < STARVATION_LOAD
    }

    /// Returns the waiting tasks of a step that may start on any worker: they need no trial, and no
    /// worker is kept for them.
    fn regular_tasks<'b>(&'b self, step: &'b OpenStep<'_>) -> impl Iterator<Item = usize> + 'b {
        let suspects = self.inputs.suspects;
        let waiting = step.waiting().map(move |index| (index, step.key(index)));
        let regular = waiting.filter(move |(_, task)| {
            !needs_trial(suspects, step, task) && self.moves.target_of(task).is_none()
        });
        regular.map(|(index, _)| index)
    }

    /// Places at most `limit` waiting tasks of a step, or the whole gang. Returns how many it has
    /// placed.
    fn place_tasks(
        &mut self,
        step: &OpenStep<'_>,
        request: &StepRequest<'_>,
        limit: usize,
        workers: Option<&BTreeSet<usize>>,
    ) -> usize {
        let (inputs, claims) = (self.inputs, &self.claims);
        let mut queue = CandidateQueue::new(request, inputs, self.reservations, claims, workers);
        if request.spec.gang {
            return self.place_gang(step, &mut queue);
        }
        let mut placed = 0;
        let waiting: Vec<usize> = self.regular_tasks(step).take(limit).collect();
        for index in waiting {
            let task = step.key(index);
            let record = &step.tasks().tasks[index];
            let best = if record.failures > 0 { queue.best_for_retry(&task) } else { queue.best() };
            // All tasks of a step have the same demand: if one does not fit, none does.
            let Some(worker) = best else { break };
            let run = record.run.next();
            let worker = queue.reserve(worker, &task, self.reservations, &mut self.claims);
            self.placements.push(Placement { task, run, worker });
            placed += 1;
        }
        placed
    }

    /// Starts all members of a gang together under one run number, or none of them. Returns how
    /// many it has started.
    fn place_gang(&mut self, step: &OpenStep<'_>, queue: &mut CandidateQueue<'_>) -> usize {
        let tasks = &step.tasks().tasks;
        if step.waiting().count() != tasks.len() {
            return 0;
        }
        let run = tasks.iter().map(|task| task.run).max().unwrap_or_default().next();
        let mut members = Vec::new();
        let held = self.claims.clone();
        for index in 0..tasks.len() {
            let task = step.key(index);
            let Some(worker) = queue.best_for_retry(&task) else {
                for Placement { task, worker, .. } in &members {
                    self.reservations.release(worker, task, step.spec());
                }
                self.claims = held;
                return 0;
            };
            let worker = queue.reserve(worker, &task, self.reservations, &mut self.claims);
            members.push(Placement { task, run, worker });
        }
        self.placements.extend(members);
        tasks.len()
    }
}

/// Returns whether a step may have tasks that start only in a trial of their job. The members of a
/// gang need several executors at once and are not tried.
fn may_need_trial(suspects: &SuspectTable, step: &OpenStep<'_>) -> bool {
    !step.spec().gang && suspects.has_suspects(step.job)
}

/// Returns whether a task starts only in a trial: a suspected one, and any other of its job, unless
/// it lasts.
fn needs_trial(suspects: &SuspectTable, step: &OpenStep<'_>, task: &TaskKey) -> bool {
    may_need_trial(suspects, step) && (!step.spec().lasting || suspects.is_suspect(task))
}
