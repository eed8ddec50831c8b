//! One pass over the open steps: which of their waiting tasks start where.
//!
//! Each kind of task has one way to its worker: on trial, to the target of a move, or to the best of
//! the candidates. Capacity that is kept for others limits all of them.

use {
    super::{
        affinity::AffinityTable,
        candidates::CandidateQueue,
        claims::{DisplacedSteps, RoomClaims},
        durations::DurationTable,
        forecast::RunForecaster,
        interference::HeadroomForecast,
        lookahead::LookaheadTable,
        relocation::MoveTable,
        reservations::{fitting, ReservationTable},
        score::{may_hold, may_run, StartTerms, StepRequest},
        steps::OpenStep,
        suspects::SuspectTable,
        trials::TrialTable,
        worker::WorkerTable,
        Placement, PlanInputs, PlanTime,
    },
    crate::{job::TaskKey, state::FlowState},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Age of a job in milliseconds from which, with nothing placed, its best-effort tasks may start
/// beside latency-critical tasks whose targets they put at risk. Throttling then protects the
/// targets.
const STARVATION_MS: u64 = 1500;
/// Reserved share of a service's processors below which a job may count as starving. Above it,
/// other tasks occupy the capacity that the job waits for.
const STARVATION_LOAD: f64 = 0.6;

/// What a pass decides on, with what it derives once.
pub(super) struct PassInputs<'a> {
    pub(super) state: &'a FlowState,
    pub(super) workers: &'a WorkerTable,
    pub(super) suspects: &'a SuspectTable,
    pub(super) durations: &'a DurationTable,
    pub(super) forecaster: &'a dyn RunForecaster,
    pub(super) time: PlanTime,
    pub(super) forecast: HeadroomForecast<'a>,
    /// Present if latency-critical tasks wait and something is known about the images.
    pub(super) affinity: Option<AffinityTable>,
}

impl<'a> PassInputs<'a> {
    pub(super) fn new(inputs: PlanInputs<'a>, affinity: Option<AffinityTable>) -> Self {
        let PlanInputs { state, workers, learned, suspects, durations, forecaster, time } = inputs;
        let forecast = learned.forecast(time.now);
        Self { state, workers, suspects, durations, forecaster, time, forecast, affinity }
    }
}

/// One pass over the open steps.
pub(super) struct PlanPass<'a> {
    pub(super) inputs: &'a PassInputs<'a>,
    pub(super) reservations: &'a mut ReservationTable,
    /// The displaced steps that the pass before left waiting, and those that this one leaves.
    pub(super) earlier: DisplacedSteps,
    pub(super) displaced: &'a mut DisplacedSteps,
    pub(super) trials: &'a mut TrialTable,
    pub(super) moves: &'a mut MoveTable,
    pub(super) lookahead: &'a mut LookaheadTable,
    pub(super) claims: RoomClaims,
    /// The reserved share of each service's processors when the pass first asked for it.
    pub(super) loads: BTreeMap<String, f64>,
    pub(super) placements: Vec<Placement>,
}

impl PlanPass<'_> {
    /// Keeps capacity for the steps of the first one's priority for which the last passes did, before
    /// any of these is served: work that ranks first by its little work would take it.
    pub(super) fn renew_reservations(&mut self, steps: &[OpenStep<'_>]) {
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
    pub(super) fn place_step(
        &mut self,
        step: &OpenStep<'_>,
        workers: Option<&BTreeSet<usize>>,
    ) -> bool {
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
    pub(super) fn place_moving(&mut self, step: &OpenStep<'_>) {
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
        let here =
            |placement: &Placement| placement.worker == *worker && placement.task.job == step.job;
        if !self.placements.iter().any(here) {
            self.trials.leave(step.job, worker, self.inputs.state);
        }
        waiting.len() - placed
    }

    /// Returns whether a job is past the starvation age and has nothing placed while the service
    /// has capacity.
    fn is_starving(&mut self, step: &OpenStep<'_>, service: &str) -> bool {
        let PassInputs { state, workers, time, .. } = self.inputs;
        starves(step, state, || match self.loads.get(service) {
            Some(load) => *load,
            None => {
                let load = self.reservations.load_of(service, workers, time.now);
                self.loads.insert(service.to_owned(), load);
                load
            }
        })
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
        if !step.waits_as_whole() {
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

/// Returns whether a job is past the starvation age and has nothing placed while the reserved share
/// of its service's processors, which `load` computes, leaves capacity.
pub(super) fn starves(step: &OpenStep<'_>, state: &FlowState, load: impl FnOnce() -> f64) -> bool {
    let waited = state.clock_ms().saturating_sub(step.record.accepted_ms);
    step.record.placed == 0 && waited > STARVATION_MS && load() < STARVATION_LOAD
}

/// Returns whether a step may have tasks that start only in a trial of their job. The members of a
/// gang need several executors at once and are not tried.
fn may_need_trial(suspects: &SuspectTable, step: &OpenStep<'_>) -> bool {
    !step.spec().gang && suspects.has_suspects(step.job)
}

/// Returns whether a task starts only in a trial: a suspected one, and any other of its job, unless
/// it lasts.
pub(super) fn needs_trial(suspects: &SuspectTable, step: &OpenStep<'_>, task: &TaskKey) -> bool {
    may_need_trial(suspects, step) && (!step.spec().lasting || suspects.is_suspect(task))
}
