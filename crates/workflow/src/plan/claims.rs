//! Workers on which free capacity is kept until a displaced lasting task, or a task of a step that
//! look-ahead has reserved capacity for, fits.
//!
//! The claims of displaced tasks answer a fleet whose processors are all reserved: the small tasks of short jobs take each
//! core that comes free, and the room that a larger task needs at once never comes together. For
//! each displaced task that has fitted nowhere for a while, one worker receives no other task that
//! reserves processors, until enough of those that it runs have ended. See
//! `docs/decisions/scale.md`.

use {
    super::{
        reservations::{assumed_use, fit_share, will_fit, ReservationTable},
        score::{may_hold, StartTerms, StepRequest},
        PassInputs,
    },
    crate::job::{StepKey, StepSpec, TaskDemand},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a displaced task waits for room that comes by itself. Claims cost the short tasks that
/// could run meanwhile.
const CLAIM_DELAY: Duration = Duration::from_millis(3000);
/// The most workers on which one pass keeps capacity free.
const CLAIMS_LIMIT: usize = 16;

/// The displaced steps for which passes have found too little room, with the time of the first such
/// pass.
#[derive(Debug, Default)]
pub(super) struct DisplacedSteps {
    since: BTreeMap<StepKey, Duration>,
}

impl DisplacedSteps {
    /// Notes that a pass left a step waiting that was in `earlier` if the pass before it did.
    /// Returns whether the step may claim room.
    pub(super) fn add(&mut self, step: StepKey, now: Duration, earlier: &Self) -> bool {
        let since = earlier.since.get(&step).copied().unwrap_or(now);
        self.since.insert(step, since);
        now.saturating_sub(since) >= CLAIM_DELAY
    }
}

/// What look-ahead keeps on a worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservedRoom {
    /// The step for which it is kept, and for how many of its tasks.
    pub(super) step: StepKey,
    pub(super) tasks: u64,
    /// Whether it is the turn of the step.
    pub(super) due: bool,
    /// Whether it is kept for best-effort tasks, so that idle processors count.
    pub(super) best_effort: bool,
    /// Whether best-effort tasks there share the headroom of latency-critical tasks.
    pub(super) shares_headroom: bool,
    /// The time at which the reserved tasks are expected to fit.
    pub(super) until: Duration,
    /// What is free at that time beside the reserved tasks.
    pub(super) spare: TaskDemand,
}

impl ReservedRoom {
    /// Returns what a task takes from the reserved tasks. Best-effort tasks take no processors from
    /// those that reserve them.
    fn taken_by(&self, spec: &StepSpec) -> TaskDemand {
        let cpu_milli = match (self.best_effort, spec.filler) {
            (true, _) => assumed_use(spec) as u64,
            (false, true) => 0,
            (false, false) => spec.demand.cpu_milli,
        };
        TaskDemand { cpu_milli, ..spec.demand }
    }

    fn admits(&self, backfill: &BackfillTerms<'_>) -> bool {
        let spec = backfill.spec;
        let first = backfill.step == self.step || (backfill.due && !self.due);
        let in_time = backfill.ends_at <= self.until;
        let apart = !(spec.filler && self.shares_headroom);
        first || in_time || (apart && self.taken_by(spec).fits_in(self.spare))
    }

    fn take(&mut self, backfill: &BackfillTerms<'_>) {
        if backfill.step == self.step {
            self.tasks = self.tasks.saturating_sub(1);
        } else if backfill.ends_at > self.until {
            self.spare = self.spare.beyond(self.taken_by(backfill.spec));
        }
    }
}

/// Why a worker is kept for other tasks than those that come later in a pass.
#[derive(Debug, Clone, Copy)]
enum HeldRoom {
    /// A displaced lasting task needs all that comes free.
    Claimed,
    /// Look-ahead has reserved a part of what will be free.
    Reserved(ReservedRoom),
}

/// What decides whether the tasks of a step may start on a held worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct BackfillTerms<'a> {
    step: StepKey,
    /// Whether it is the turn of the step.
    due: bool,
    spec: &'a StepSpec,
    /// The time at which a task that starts now is expected to end.
    ends_at: Duration,
    /// Whether the tasks don't wait for what is held for others: lasting and latency-critical ones,
    /// and the first of a job that starves.
    ignores_held: bool,
}

impl<'a> BackfillTerms<'a> {
    pub(super) fn new(
        request: &StepRequest<'a>,
        inputs: &PassInputs<'_>,
        claims: &RoomClaims,
    ) -> Self {
        let (step, due) = (request.key, claims.due.contains(&request.key));
        let spec = request.spec;
        let length = inputs.forecaster.length(request.key, spec);
        let serves = spec.lasting || spec.latency_target_ms.is_some();
        let ignores_held = serves || request.terms == StartTerms::Stranded;
        let ends_at = inputs.time.now.saturating_add(length);
        Self { step, due, spec, ends_at, ignores_held }
    }
}

/// The held workers of one pass, by position in the worker table.
#[derive(Debug, Clone, Default)]
pub(super) struct RoomClaims {
    held: BTreeMap<usize, HeldRoom>,
    /// The number of workers that displaced tasks have claimed.
    claimed: usize,
    /// Workers that are kept for latency-critical tasks that move there.
    moving: BTreeSet<usize>,
    /// Workers on which a suspected job is tried, which take nothing else.
    closed: BTreeSet<usize>,
    /// The steps whose turn it is, which do not wait for what is held for others.
    due: BTreeSet<StepKey>,
}

impl RoomClaims {
    /// Creates the claims of a pass, with the workers that trials have for themselves, and the
    /// steps whose turn it is.
    pub(super) fn new(closed: BTreeSet<usize>, due: BTreeSet<StepKey>) -> Self {
        Self { closed, due, ..Self::default() }
    }

    /// Returns whether a worker is kept for a displaced task or a trial.
    pub(super) fn is_claimed(&self, position: usize) -> bool {
        let claimed = matches!(self.held.get(&position), Some(HeldRoom::Claimed));
        claimed || self.moving.contains(&position) || self.closed.contains(&position)
    }

    /// Keeps workers for tasks that move there.
    pub(super) fn keep(&mut self, positions: BTreeSet<usize>) {
        self.moving.extend(positions);
    }

    /// Returns whether a worker is kept for other tasks than those of one step.
    pub(super) fn contains(&self, position: usize) -> bool {
        let held = self.held.contains_key(&position) || self.moving.contains(&position);
        held || self.closed.contains(&position)
    }

    /// Returns whether a worker takes one more task of a step. Some tasks may run on a held worker,
    /// but none beside a trial.
    pub(super) fn is_open(&self, position: usize, backfill: &BackfillTerms<'_>) -> bool {
        let admits = match self.held.get(&position) {
            None => true,
            Some(_) if backfill.ignores_held => true,
            // Best-effort tasks reserve no processors.
            Some(HeldRoom::Claimed) => backfill.spec.filler,
            Some(HeldRoom::Reserved(room)) => room.admits(backfill),
        };
        // Best-effort tasks reserve no processors.
        let kept = self.moving.contains(&position) && !backfill.spec.filler;
        admits && !kept && !self.closed.contains(&position)
    }

    /// Counts a task that starts on a worker.
    pub(super) fn take(&mut self, position: usize, backfill: &BackfillTerms<'_>) {
        if let Some(HeldRoom::Reserved(room)) = self.held.get_mut(&position) {
            room.take(backfill);
            if room.tasks == 0 {
                self.held.remove(&position);
            }
        }
    }

    /// Returns whether it is the turn of a step.
    pub(super) fn is_due(&self, step: &StepKey) -> bool {
        self.due.contains(step)
    }

    /// Ends the reservation of a step that has nothing left to place.
    pub(super) fn release(&mut self, step: &StepKey) {
        let kept = |room: &HeldRoom| match room {
            HeldRoom::Claimed => true,
            HeldRoom::Reserved(room) => room.step != *step,
        };
        self.held.retain(|_, room| kept(room));
    }

    /// Keeps capacity of a worker for the tasks of a reservation.
    pub(super) fn hold(&mut self, position: usize, room: ReservedRoom) {
        self.held.insert(position, HeldRoom::Reserved(room));
    }

    /// Keeps a worker for a trial.
    pub(super) fn close(&mut self, position: usize) {
        self.closed.insert(position);
    }

    /// Claims a worker for each of `count` tasks that fit nowhere: the one that lacks least.
    pub(super) fn add(
        &mut self,
        request: &StepRequest<'_>,
        count: usize,
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
    ) {
        let now = inputs.time.now;
        let mut candidates: Vec<(f64, usize)> = Vec::new();
        for (position, (executor, worker)) in inputs.workers.iter().enumerate() {
            let Some(reserved) = reservations.of(executor) else { continue };
            let usable = may_hold(request, worker, reserved, now) && !worker.is_suspect(now);
            let frees = will_fit(worker, reserved, request.spec);
            if usable && frees && !self.contains(position) {
                candidates.push((fit_share(worker, reserved, request.spec), position));
            }
        }
        candidates.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        let free = CLAIMS_LIMIT.saturating_sub(self.claimed);
        for (_, position) in candidates.into_iter().take(count.min(free)) {
            self.claimed += 1;
            self.held.insert(position, HeldRoom::Claimed);
        }
    }
}
