//! Moves of latency-critical runs that open workers to best-effort work.
//!
//! It answers a fleet on which latency-critical tasks were placed before anything was known about
//! their images. `affinity.rs` gives the value of a move. On a fleet whose processors are all
//! reserved, two runs change places. See `docs/design/affinity.md`.

use {
    super::{
        affinity::AffinityTable,
        interference::ImageName,
        reservations::{fits_after, ReservationTable, WorkerReservations},
        score::{may_hold, StartTerms, StepRequest},
        worker::{WorkerTable, WorkerView},
        Placement, PlanInputs,
    },
    crate::job::{StepKey, StepSpec, TaskKey},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// The least gain for which a run moves, in average workers' openness: the service misses the task
/// for about a second.
const MIN_GAIN: f64 = 0.08;
/// The most runs for which one check looks for a better worker.
const CANDIDATES_LIMIT: usize = 24;
/// The most workers that one check considers for each run.
const TARGETS_LIMIT: usize = 128;

/// A run that moves, and the executor to which it moves.
#[derive(Debug, Clone, PartialEq)]
pub struct RunMove {
    /// The run to stop.
    pub placement: Placement,
    /// The executor that takes the task.
    pub target: Arc<str>,
    /// What the move, with the one in exchange for it, opens to best-effort work: 1 for an average
    /// worker.
    pub gain: f64,
}

/// The tasks that are moving, each with its target and the time until which the target is kept.
#[derive(Debug, Default)]
pub(super) struct MoveTable {
    moves: BTreeMap<TaskKey, (Arc<str>, Duration)>,
}

impl MoveTable {
    pub(super) fn add(&mut self, task: TaskKey, target: Arc<str>, until: Duration) {
        self.moves.insert(task, (target, until));
    }

    pub(super) fn remove(&mut self, task: &TaskKey) {
        self.moves.remove(task);
    }

    /// Forgets the moves whose time is over, or whose target takes no tasks any more.
    pub(super) fn refresh(&mut self, workers: &WorkerTable, now: Duration) {
        self.moves.retain(|_, (target, until)| {
            let able = |worker: &WorkerView| worker.accepts(&worker.report.service, now);
            now < *until && workers.get(target).is_some_and(able)
        });
    }

    pub(super) fn is_empty(&self) -> bool {
        self.moves.is_empty()
    }

    /// Returns the executor to which a task moves.
    pub(super) fn target_of(&self, task: &TaskKey) -> Option<&Arc<str>> {
        self.moves.get(task).map(|(target, _)| target)
    }

    /// Returns the positions of the workers that are kept for moving tasks.
    pub(super) fn targets(&self, workers: &WorkerTable) -> BTreeSet<usize> {
        let targets = self.moves.values();
        targets.filter_map(|(target, _)| workers.get_index_of(target)).collect()
    }
}

/// The latency-critical tasks of one step on a worker.
#[derive(Clone, Copy)]
struct ServingStep<'a> {
    key: StepKey,
    image: &'a ImageName,
    spec: &'a StepSpec,
    service: &'a str,
    position: usize,
}

impl<'a> ServingStep<'a> {
    fn request(&self) -> StepRequest<'a> {
        let Self { key, spec, service, .. } = *self;
        let (rack, span, terms) = (None, Duration::ZERO, StartTerms::Regular);
        StepRequest { key, spec, service, rack, span, terms }
    }
}

/// Looks for moves that open workers to best-effort work.
pub(super) struct MoveSearch<'a, F> {
    inputs: &'a PlanInputs<'a>,
    reservations: &'a ReservationTable,
    table: AffinityTable,
    /// The openness of each worker, by position.
    openness: Vec<Vec<f64>>,
    /// Whether a run may be stopped now.
    may_move: F,
    /// The steps and workers of the moves chosen so far, which take part in no other.
    used_steps: BTreeSet<StepKey>,
    used_workers: BTreeSet<usize>,
}

/// The best change found for a run: the worker to which it moves, and the step of which a task comes
/// back in exchange.
struct Exchange<'a> {
    gain: f64,
    target: usize,
    partner: Option<ServingStep<'a>>,
}

impl<'a, F: Fn(&Placement) -> bool> MoveSearch<'a, F> {
    /// Creates a search. Returns `None` while nothing is known about the images.
    pub(super) fn new(
        inputs: &'a PlanInputs<'a>,
        reservations: &'a ReservationTable,
        kept: BTreeSet<usize>,
        may_move: F,
    ) -> Option<Self> {
        let table = AffinityTable::new(inputs.learned, inputs.workers, reservations)?;
        let none = WorkerReservations::default();
        let openness = inputs.workers.keys().map(|executor| {
            let reserved = reservations.of(executor).unwrap_or(&none);
            table.openness_of(reserved)
        });
        let openness = openness.collect();
        let (used_steps, used_workers) = (BTreeSet::new(), kept);
        Some(Self { inputs, reservations, table, openness, may_move, used_steps, used_workers })
    }

    /// Returns moves of at most `limit` runs, at most one of each step.
    pub(super) fn choose(&mut self, limit: usize) -> Vec<RunMove> {
        let mut candidates: Vec<(f64, ServingStep<'a>)> = (0..self.inputs.workers.len())
            .flat_map(|position| self.serving_steps(position))
            .map(|step| (self.gain_of_leaving(&step), step))
            .filter(|(gain, _)| *gain > MIN_GAIN)
            .collect();
        candidates.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let (mut moves, mut examined) = (Vec::new(), 0);
        for (_, step) in candidates {
            if moves.len() >= limit || examined >= CANDIDATES_LIMIT {
                break;
            }
            if self.is_used(&step) {
                continue;
            }
            let Some(run) = self.movable_run(&step) else { continue };
            examined += 1;
            let Some(exchange) = self.best_exchange(&step) else { continue };
            let back = match exchange.partner {
                Some(partner) => match self.movable_run(&partner) {
                    Some(run) => Some((partner, run)),
                    None => continue,
                },
                None => None,
            };
            self.used_workers.extend([step.position, exchange.target]);
            let Exchange { gain, target, .. } = exchange;
            moves.extend(self.move_to(&step, run, target, gain));
            if let Some((partner, run)) = back {
                moves.extend(self.move_to(&partner, run, step.position, gain));
            }
        }
        moves
    }

    fn move_to(
        &mut self,
        step: &ServingStep<'a>,
        placement: Placement,
        target: usize,
        gain: f64,
    ) -> Option<RunMove> {
        self.used_steps.insert(step.key);
        let (executor, _) = self.inputs.workers.get_index(target)?;
        Some(RunMove { placement, target: executor.clone(), gain })
    }

    fn is_used(&self, step: &ServingStep<'a>) -> bool {
        self.used_steps.contains(&step.key) || self.used_workers.contains(&step.position)
    }

    fn serving_steps(&self, position: usize) -> Vec<ServingStep<'a>> {
        let (inputs, reservations) = (self.inputs, self.reservations);
        let reserved =
            inputs.workers.get_index(position).and_then(|(name, _)| reservations.of(name));
        let steps = reserved.into_iter().flat_map(|reserved| &reserved.latency_critical);
        let serving = steps.filter_map(|(key, image)| {
            let job = inputs.state.job(key.job)?;
            let spec = job.spec.steps.get(usize::from(key.step))?;
            let rule = inputs.state.config().and_then(|config| config.queue(&job.queue));
            let service = rule.map_or(job.service.as_str(), |rule| rule.service.as_str());
            Some(ServingStep { key: *key, image, spec, service, position })
        });
        serving.collect()
    }

    fn gain_of_leaving(&self, step: &ServingStep<'a>) -> f64 {
        let openness = &self.openness[step.position];
        self.table.value_after(openness, Some(step.image), None) - self.table.value_of(openness)
    }

    fn movable_run(&self, step: &ServingStep<'a>) -> Option<Placement> {
        let (_, view) = self.inputs.workers.get_index(step.position)?;
        let worker = view.incarnation();
        let tasks = self.inputs.state.placed_tasks(worker);
        let mut runs = tasks
            .filter(|(task, _)| task.step_key() == step.key)
            .map(|(task, run)| Placement { task, run, worker: worker.clone() });
        runs.find(|run| (self.may_move)(run))
    }

    /// Returns the change that opens the fleet most: a move to a worker with free capacity, or an
    /// exchange with a task there.
    fn best_exchange(&self, step: &ServingStep<'a>) -> Option<Exchange<'a>> {
        let count = self.inputs.workers.len();
        let targets = (1..count).map(|offset| (step.position + offset) % count);
        let mut best: Option<Exchange<'a>> = None;
        for target in targets.take(TARGETS_LIMIT) {
            if self.used_workers.contains(&target) || !self.may_join(step, target) {
                continue;
            }
            let alone = self.fits(target, None, step).then_some(None);
            let partners = self.serving_steps(target);
            let swaps = partners.into_iter().filter(|partner| {
                !self.used_steps.contains(&partner.key)
                    && partner.image != step.image
                    && self.may_join(partner, step.position)
                    && self.fits(target, Some(partner), step)
                    && self.fits(step.position, Some(step), partner)
            });
            for partner in alone.into_iter().chain(swaps.map(Some)) {
                let gain = self.gain_of_exchange(step, target, partner.as_ref());
                let runs = 1.0 + f64::from(u8::from(partner.is_some()));
                let enough = gain > MIN_GAIN * runs;
                if enough && best.as_ref().is_none_or(|best| gain > best.gain) {
                    best = Some(Exchange { gain, target, partner });
                }
            }
        }
        best
    }

    fn gain_of_exchange(
        &self,
        step: &ServingStep<'a>,
        target: usize,
        partner: Option<&ServingStep<'a>>,
    ) -> f64 {
        let back = partner.map(|partner| partner.image);
        let (here, there) = (&self.openness[step.position], &self.openness[target]);
        let after = self.table.value_after(here, Some(step.image), back)
            + self.table.value_after(there, back, Some(step.image));
        after - self.table.value_of(here) - self.table.value_of(there)
    }

    fn may_join(&self, step: &ServingStep<'a>, position: usize) -> bool {
        let now = self.inputs.time.now;
        let Some((executor, worker)) = self.inputs.workers.get_index(position) else {
            return false;
        };
        let reserved = self.reservations.of(executor);
        let holds = |reserved| may_hold(&step.request(), worker, reserved, now);
        !worker.is_suspect(now) && reserved.is_some_and(holds)
    }

    /// Returns whether a task of `joining` fits on a worker once one of `leaving` has gone.
    fn fits(
        &self,
        position: usize,
        leaving: Option<&ServingStep<'a>>,
        joining: &ServingStep<'a>,
    ) -> bool {
        let Some((executor, worker)) = self.inputs.workers.get_index(position) else {
            return false;
        };
        let leaving = leaving.map(|step| step.spec.demand).unwrap_or_default();
        let reserved = self.reservations.of(executor);
        reserved.is_some_and(|reserved| fits_after(worker, reserved, leaving, joining.spec.demand))
    }
}
