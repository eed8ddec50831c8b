//! Looks ahead for steps that need much capacity at once: whose turn has come, and which workers
//! are kept for them until enough of what runs there has ended.
//!
//! It addresses a service on which small tasks take each core that comes free, and on which the
//! least remaining work is served first: large tasks, gangs and wide best-effort steps would wait
//! for as long as smaller work arrives. `docs/design/look-ahead.md` gives the reasons.

use {
    super::{
        claims::RoomClaims,
        forecast::{forecast_runs, room_at, slot_times, will_have_headroom, ForecastRun},
        order::StepTurn,
        reservations::ReservationTable,
        score::{may_hold, StepRequest},
        steps::OpenStep,
        urgency::{estimated_lengths, longest_chain, JobProspect},
        worker::WorkerTable,
        PassInputs,
    },
    crate::{
        event::{FlowEvent, ReservationEnd},
        job::{JobKey, StepKey, TaskDemand, TaskKey},
        state::{FlowState, TaskPhase},
    },
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Time for which a step waits for room that comes by itself. It is the allowance that callers add
/// to the objective of large jobs; short tasks end in less.
const RESERVE_DELAY_MS: u64 = 1000;
/// The most steps for which one pass looks at the workers. It bounds the cost of a pass.
const RESERVATIONS_LIMIT: usize = 4;
/// Divisor of a service's workers that gives the most on which one pass holds capacity, unless it is
/// for a gang, which cannot start on fewer than it needs. Other work loses at most this share.
const HELD_WORKERS_DIVISOR: usize = 4;
/// Multiple of its own chain for which a job may be passed over.
const TURN_CHAINS: u64 = 3;
/// The least time for which a job may be passed over, in milliseconds.
const TURN_FLOOR_MS: u64 = 5000;
/// Divisor of a service's processors that gives those for which the jobs of one priority whose turn
/// it is may ask, unless it is one job. The others keep the order in which most jobs end in time.
const TURNS_DIVISOR: u64 = 4;
/// The same for jobs that end too late to count: what they take is of no use to callers in time.
const MISSED_TURNS_DIVISOR: u64 = 16;
/// Time without a placed task after which a job's turn ends: the job may ask for what no worker has.
const IDLE_TURN_TIME: Duration = Duration::from_secs(5);
/// Time until such a job may have its turn again.
const TURN_RETRY_TIME: Duration = Duration::from_secs(10);
/// Part of the largest worker from which a task is large: sixteen such tasks fill a worker, and
/// room for one comes together only when several smaller tasks have ended.
const LARGE_TASK_DIVISOR: u64 = 16;
/// Multiple of its first forecast after which a reservation is given up.
const GIVE_UP_FACTOR: u32 = 2;
/// Addition to that time: ends are reported and planned on up to several hundred milliseconds late.
const GIVE_UP_ALLOWANCE: Duration = Duration::from_millis(500);
/// The most doublings of the forecasts of a step whose reservations were given up: three allow for
/// estimates that are off by far more than the usual factor of 1.9.
const CORRECTIONS_LIMIT: u32 = 3;
/// Time until workers are looked at again for a step that fits on none of them. Such steps would
/// otherwise take the few looks of each pass from others.
const UNPLACEABLE_PERIOD: Duration = Duration::from_secs(1);
/// Time without renewal after which a reservation counts as ended. Steps that take turns at being
/// among the first would otherwise fill the log.
const LINGER: Duration = Duration::from_secs(1);
/// The most workers whose headroom one reservation forecasts.
const HEADROOM_CHECKS: usize = 64;

/// The work for which look-ahead keeps capacity and gives turns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LookaheadScope {
    /// Work that reserves processors.
    #[default]
    Reserving,
    /// Best-effort work as well. The longest waits get shorter, and fewer jobs end in time.
    All,
}

/// What the workers of a service offer.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceSize {
    /// The most of each resource that any worker has.
    largest: TaskDemand,
    /// The processors of all workers, in thousandths of a core.
    cpu_milli: u64,
    /// The number of workers that accept tasks.
    workers: usize,
}

/// A time from which one more task of a step fits on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TaskSlot {
    ready_at: Duration,
    position: usize,
}

/// What is remembered of a step with a reservation, to tell whether the forecast comes true.
#[derive(Debug)]
struct ReservationWatch {
    task: TaskKey,
    first_made: Duration,
    /// The time of the present forecast: of the first one since a task of the step has started.
    made: Duration,
    ready_at: Duration,
    left: usize,
    /// The last pass that made the reservation.
    seen: Duration,
    /// How often a reservation of the step was given up.
    given_up: u32,
    /// The time from which the step may have a reservation again; `None` unless it was given up.
    retry_at: Option<Duration>,
}

/// A step that has waited beyond its bound.
struct DueStep<'a> {
    waited: Reverse<u64>,
    step: &'a OpenStep<'a>,
}

/// The turn of a job, which lasts until the job ends.
#[derive(Debug)]
struct JobTurn {
    service: String,
    priority: u32,
    /// Whether the job could no longer end in the time that counts when its turn came.
    missed: bool,
    /// The processors for which its step asks, in thousandths of a core.
    cpu_milli: u64,
    /// The last pass that saw a task placed, or the time at which the turn came.
    active: Duration,
    /// The time from which the job may have its turn again; `None` during the turn.
    retry_at: Option<Duration>,
}

/// The steps whose turn it is in one pass.
pub(super) type TurnTable = BTreeMap<StepKey, StepTurn>;

/// Looks ahead, and remembers between two passes what the next one need not compute again. The
/// reservations themselves are derived in each pass.
#[derive(Debug, Default)]
pub(super) struct LookaheadTable {
    scope: LookaheadScope,
    /// The runs on each worker that was looked at since its placements changed, first end first.
    runs: HashMap<Arc<str>, Vec<ForecastRun>>,
    sizes: BTreeMap<String, ServiceSize>,
    watches: BTreeMap<StepKey, ReservationWatch>,
    turns: BTreeMap<JobKey, JobTurn>,
    /// The executors on which the last pass held capacity.
    held: Vec<Arc<str>>,
    /// The steps that will not fit on what is known to end, with the time of the next look.
    unplaceable: BTreeMap<StepKey, Duration>,
    /// How often the present pass has looked at all workers, so far.
    looks: usize,
    /// The steps for which the present pass has kept capacity, so far.
    reserved: BTreeSet<StepKey>,
    /// The number of workers of each service on which the present pass holds capacity, so far.
    held_counts: BTreeMap<String, usize>,
    events: Vec<FlowEvent>,
}

impl LookaheadTable {
    pub(super) fn new(scope: LookaheadScope) -> Self {
        Self { scope, ..Self::default() }
    }

    /// Begins a pass, given the workers that have changed since the last one. Returns the positions
    /// of the workers that the last pass held: other tasks may have become able to start there.
    pub(super) fn begin_pass(
        &mut self,
        workers: &WorkerTable,
        changed: &BTreeSet<usize>,
        full: bool,
    ) -> Vec<usize> {
        self.reserved.clear();
        self.looks = 0;
        self.held_counts.clear();
        if full {
            self.runs.clear();
            self.sizes.clear();
        }
        for (executor, _) in changed.iter().filter_map(|position| workers.get_index(*position)) {
            self.runs.remove(executor);
        }
        let held = std::mem::take(&mut self.held);
        held.iter().filter_map(|executor| workers.get_index_of(executor)).collect()
    }

    /// Returns the events since the last call.
    pub(super) fn take_events(&mut self) -> Vec<FlowEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the steps of the jobs whose turn it is: those that have waited longest beyond their
    /// bound, as many as fill a share of their service.
    pub(super) fn turns(&mut self, steps: &[OpenStep<'_>], inputs: &PassInputs<'_>) -> TurnTable {
        self.end_turns(inputs.state, inputs.time.now);
        let mut due: Vec<DueStep<'_>> = Vec::new();
        for step in steps {
            if age_ms(step, inputs) < TURN_FLOOR_MS {
                continue;
            }
            let (waiting, waited_ms) = (step.waiting().count(), waited_ms(step, inputs));
            let waits = waiting > 0 && waited_ms >= turn_ms(step);
            if waits && self.is_demanding(step, waiting, inputs) {
                due.push(DueStep { waited: Reverse(waited_ms), step });
            }
        }
        due.sort_by_key(|due| (due.waited, due.step.step_key()));
        let mut turns = TurnTable::new();
        let mut refused = BTreeSet::new();
        for DueStep { waited, step } in due {
            let missed = step.prospect == JobProspect::Missed;
            let group = (step.service(), step.record.priority, missed);
            if self.has_turn(step, !refused.contains(&group), inputs) {
                turns.insert(step.step_key(), StepTurn::Due(waited));
            } else if !self.turns.contains_key(&step.job) {
                // Smaller jobs behind a wide one would otherwise always leave too little for it.
                refused.insert(group);
            }
        }
        turns
    }

    /// Returns whether a due step's job has its turn, or gets it now if `may_begin`.
    fn has_turn(&mut self, step: &OpenStep<'_>, may_begin: bool, inputs: &PassInputs<'_>) -> bool {
        if let Some(turn) = self.turns.get(&step.job) {
            return turn.retry_at.is_none();
        }
        if !may_begin {
            return false;
        }
        let (service, priority) = (step.service(), step.record.priority);
        let missed = step.prospect == JobProspect::Missed;
        let others = self.turns.values().filter(|turn| {
            let same = turn.service == service && turn.priority == priority;
            same && turn.retry_at.is_none() && (turn.missed || !missed)
        });
        let taken: u64 = others.map(|turn| turn.cpu_milli).sum();
        let divisor = if missed { MISSED_TURNS_DIVISOR } else { TURNS_DIVISOR };
        let spec = step.spec();
        let cpu_milli = spec.demand.cpu_milli.saturating_mul(u64::from(spec.count));
        let share = self.size_of(service, inputs).cpu_milli / divisor;
        if taken > 0 && taken.saturating_add(cpu_milli) > share {
            return false;
        }
        let (service, active) = (service.to_owned(), inputs.time.now);
        let turn = JobTurn { service, priority, missed, cpu_milli, active, retry_at: None };
        self.turns.insert(step.job, turn);
        true
    }

    /// Ends the turns of jobs that have ended, and of those that make no use of them.
    fn end_turns(&mut self, state: &FlowState, now: Duration) {
        self.turns.retain(|job, turn| {
            let Some(record) = state.job(*job).filter(|record| record.outcome.is_none()) else {
                return false;
            };
            if record.placed > 0 {
                turn.active = now;
            }
            if turn.retry_at.is_none() && now.saturating_sub(turn.active) >= IDLE_TURN_TIME {
                turn.retry_at = Some(now + TURN_RETRY_TIME);
            }
            turn.retry_at.is_none_or(|at| now < at)
        });
    }

    /// Returns whether the last passes kept capacity for any step.
    pub(super) fn is_active(&self) -> bool {
        !self.watches.is_empty()
    }

    /// Returns whether the last passes kept capacity for a step.
    pub(super) fn is_watched(&self, step: &StepKey) -> bool {
        self.watches.contains_key(step)
    }

    /// Keeps capacity for the waiting tasks of a step that needs much at once and has waited:
    /// before its priority is served, if the last passes left it waiting, or after its own tasks
    /// have been served. Only then is what is free already of no use to it.
    pub(super) fn reserve(
        &mut self,
        step: &OpenStep<'_>,
        (request, left, served): (&StepRequest<'_>, usize, bool),
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
        claims: &mut RoomClaims,
    ) {
        let key = step.step_key();
        if self.reserved.contains(&key) || !self.may_reserve(step, left, inputs) {
            return;
        }
        let most = self.worker_limit(request, left, inputs);
        if most == 0 {
            return;
        }
        self.looks += 1;
        let mut slots = self.find_slots((request, left, most), inputs, reservations, claims);
        let now = inputs.time.now;
        if slots.is_empty() {
            self.unplaceable.insert(key, now + UNPLACEABLE_PERIOD);
        }
        if served {
            slots.retain(|slot| request.spec.gang || slot.ready_at > now);
            if slots.last().is_some_and(|slot| slot.ready_at <= now) {
                return;
            }
        }
        let Some(first) = slots.first() else { return };
        // The members of a gang start when the last of them fits.
        let last = slots.last().map_or(first.ready_at, |slot| slot.ready_at);
        let ready_at = if request.spec.gang { last } else { first.ready_at };
        let mut by_worker: BTreeMap<usize, (Duration, u64)> = BTreeMap::new();
        for TaskSlot { ready_at, position } in &slots {
            let room = by_worker.entry(*position).or_insert((*ready_at, 0));
            *room = (if request.spec.gang { last } else { *ready_at }, room.1 + 1);
        }
        let waited_ms = waited_ms(step, inputs);
        if !self.renew_watch(step, (left, by_worker.len()), ready_at, waited_ms, now) {
            return;
        }
        let watch = self.watches.get(&key);
        let wrong_before = watch.is_some_and(|watch| watch.given_up > 0);
        self.reserved.insert(key);
        *self.held_counts.entry(request.service.to_owned()).or_default() += by_worker.len();
        for (position, (until, tasks)) in by_worker {
            let Some((executor, worker)) = inputs.workers.get_index(position) else { continue };
            let Some(reserved) = reservations.of(executor) else { continue };
            let runs = self.runs.get(executor).map_or(&[][..], Vec::as_slice);
            let mut room = room_at(until, tasks, request, (worker, reserved), runs);
            room.due = claims.is_due(&key);
            if wrong_before {
                // What the forecast leaves over may not come free either.
                room.spare = TaskDemand::default();
            }
            claims.hold(position, room);
            self.held.push(executor.clone());
        }
    }

    /// Returns whether a step may have a reservation, without a look at any worker for a step that
    /// has not waited.
    pub(super) fn may_reserve(
        &mut self,
        step: &OpenStep<'_>,
        left: usize,
        inputs: &PassInputs<'_>,
    ) -> bool {
        let early = age_ms(step, inputs) < RESERVE_DELAY_MS;
        if early || left == 0 || self.looks >= RESERVATIONS_LIMIT {
            return false;
        }
        if self.unplaceable.contains_key(&step.step_key()) {
            return false;
        }
        let watch = self.watches.get(&step.step_key());
        let retry_at = watch.and_then(|watch| watch.retry_at);
        retry_at.is_none_or(|at| at <= inputs.time.now)
            && (!step.spec().gang || left == step.tasks().tasks.len())
            && (step.prospect != JobProspect::Missed || self.turns.contains_key(&step.job))
            && self.is_demanding(step, left, inputs)
            && waited_ms(step, inputs) >= RESERVE_DELAY_MS
    }

    /// Returns whether a step needs much capacity at once: a gang, large tasks, or many of which
    /// most wait.
    fn is_demanding(&mut self, step: &OpenStep<'_>, left: usize, inputs: &PassInputs<'_>) -> bool {
        let spec = step.spec();
        if spec.filler && self.scope == LookaheadScope::Reserving {
            return false;
        }
        let ServiceSize { largest, workers, .. } = self.size_of(step.service(), inputs);
        let TaskDemand { cpu_milli, memory_mb, accelerators } = spec.demand;
        let is_large = |asked: u64, largest: u64| {
            asked > 0 && asked.saturating_mul(LARGE_TASK_DIVISOR) >= largest
        };
        let large = is_large(cpu_milli, largest.cpu_milli)
            || is_large(memory_mb, largest.memory_mb)
            || accelerators > 1;
        let waiting_milli = cpu_milli.saturating_mul(left as u64);
        let wide = left * 2 > usize::from(spec.count) && waiting_milli >= largest.cpu_milli;
        workers > 0 && (spec.gang || large || wide)
    }

    fn size_of(&mut self, service: &str, inputs: &PassInputs<'_>) -> ServiceSize {
        if let Some(size) = self.sizes.get(service) {
            return *size;
        }
        let mut size = ServiceSize::default();
        let now = inputs.time.now;
        for worker in inputs.workers.values().filter(|worker| worker.accepts(service, now)) {
            let TaskDemand { cpu_milli, memory_mb, accelerators } = worker.report.capacity;
            size.largest.cpu_milli = size.largest.cpu_milli.max(cpu_milli);
            size.largest.memory_mb = size.largest.memory_mb.max(memory_mb);
            size.largest.accelerators = size.largest.accelerators.max(accelerators);
            size.cpu_milli = size.cpu_milli.saturating_add(cpu_milli);
            size.workers += 1;
        }
        self.sizes.insert(service.to_owned(), size);
        size
    }

    /// Returns the most workers on which a step may hold capacity, beside the other reservations of
    /// the pass.
    fn worker_limit(
        &mut self,
        request: &StepRequest<'_>,
        left: usize,
        inputs: &PassInputs<'_>,
    ) -> usize {
        if request.spec.gang {
            return left;
        }
        let held = self.held_counts.get(request.service).copied().unwrap_or(0);
        let share = self.size_of(request.service, inputs).workers / HELD_WORKERS_DIVISOR;
        share.max(1).saturating_sub(held)
    }

    /// Finds the earliest slots for the waiting tasks of a step: for each of them while the limit
    /// of workers permits, or for a whole gang. Looks at each worker once. Returns none for a gang
    /// that cannot start on what will be free.
    fn find_slots(
        &mut self,
        (request, left, most): (&StepRequest<'_>, usize, usize),
        inputs: &PassInputs<'_>,
        reservations: &ReservationTable,
        claims: &RoomClaims,
    ) -> Vec<TaskSlot> {
        let (spec, now) = (request.spec, inputs.time.now);
        let mut slots = Vec::new();
        for (position, (executor, worker)) in inputs.workers.iter().enumerate() {
            let Some(reserved) = reservations.of(executor) else { continue };
            let usable = may_hold(request, worker, reserved, now) && !worker.is_suspect(now);
            if !usable || claims.contains(position) {
                continue;
            }
            let unlimited = if spec.gang { left } else { 1 };
            let limit = spec.per_worker_limit.map_or(unlimited, |limit| {
                unlimited.min(limit.saturating_sub(reserved.of_step(&request.key)) as usize)
            });
            let runs = self.runs.entry(executor.clone());
            let runs = runs.or_insert_with(|| forecast_runs(executor, inputs));
            let times = slot_times(spec, (worker, reserved), runs, (limit, now));
            slots.extend(times.into_iter().map(|ready_at| TaskSlot { ready_at, position }));
        }
        slots.sort_unstable();
        let mut checks = 0;
        slots.retain(|slot| {
            let Some((executor, worker)) = inputs.workers.get_index(slot.position) else {
                return false;
            };
            let Some(reserved) = reservations.of(executor) else { return false };
            if !spec.filler || reserved.latency_critical.is_empty() {
                return true;
            }
            checks += 1;
            let runs = self.runs.get(executor).map_or(&[][..], Vec::as_slice);
            checks <= HEADROOM_CHECKS
                && will_have_headroom(request, (worker, reserved), runs, slot.ready_at, inputs)
        });
        slots.truncate(left.min(most));
        if spec.gang && slots.len() < left {
            slots.clear();
        }
        slots
    }

    /// Notes a reservation of the present pass. Returns whether it holds: one whose forecast was
    /// wrong is given up.
    fn renew_watch(
        &mut self,
        step: &OpenStep<'_>,
        (left, workers): (usize, usize),
        ready_at: Duration,
        waited_ms: u64,
        now: Duration,
    ) -> bool {
        let key = step.step_key();
        let given_up = self.watches.get(&key).map_or(0, |watch| watch.given_up);
        // What was too short before is likely to be so again.
        let correction = 1 << given_up.min(CORRECTIONS_LIMIT);
        let forecast = ready_at.saturating_sub(now) * correction;
        let ready_at = now + forecast;
        let known = self.watches.get_mut(&key).filter(|watch| watch.retry_at.is_none());
        let Some(watch) = known else {
            let Some(index) = step.waiting().next() else { return false };
            let task = step.key(index);
            let watch = ReservationWatch {
                task,
                first_made: now,
                made: now,
                ready_at,
                left,
                seen: now,
                given_up,
                retry_at: None,
            };
            self.watches.insert(key, watch);
            let ready_ms = forecast.as_millis() as u64;
            let event =
                FlowEvent::ReservationMade { task, tasks: left, workers, ready_ms, waited_ms };
            self.events.push(event);
            return true;
        };
        watch.seen = now;
        if watch.left != left {
            (watch.made, watch.ready_at, watch.left) = (now, ready_at, left);
        }
        let forecast = watch.ready_at.saturating_sub(watch.made);
        if now.saturating_sub(watch.made) <= forecast * GIVE_UP_FACTOR + GIVE_UP_ALLOWANCE {
            return true;
        }
        // Other work has the capacity for as long as it was kept in vain.
        watch.retry_at = Some(now + now.saturating_sub(watch.made));
        watch.given_up += 1;
        self.events.push(watch.dropped(ReservationEnd::GivenUp));
        false
    }

    /// Removes what is remembered of reservations that passes no longer make.
    pub(super) fn drop_ended(&mut self, state: &FlowState, now: Duration) {
        self.unplaceable.retain(|_, until| now < *until);
        let events = &mut self.events;
        self.watches.retain(|_, watch| {
            let last = watch.retry_at.unwrap_or(watch.seen);
            if now.saturating_sub(last) < LINGER {
                return true;
            }
            if watch.retry_at.is_none() {
                events.push(watch.dropped(end_of(state, &watch.task)));
            }
            false
        });
    }
}

impl ReservationWatch {
    fn dropped(&self, end: ReservationEnd) -> FlowEvent {
        let held_ms = self.seen.saturating_sub(self.first_made).as_millis() as u64;
        FlowEvent::ReservationDropped { task: self.task, tasks: self.left, end, held_ms }
    }
}

/// Returns why a step has no reservation any more.
fn end_of(state: &FlowState, task: &TaskKey) -> ReservationEnd {
    let Some(job) = state.job(task.job).filter(|job| job.outcome.is_none()) else {
        return ReservationEnd::JobEnded;
    };
    let occurrence = job.occurrences.get(task.occurrence as usize);
    let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
    let mut tasks = step.into_iter().flat_map(|step| &step.tasks);
    if tasks.any(|task| task.phase == TaskPhase::Waiting) {
        ReservationEnd::Superseded
    } else {
        ReservationEnd::Met
    }
}

/// Returns the age of a step's occurrence, in milliseconds.
fn age_ms(step: &OpenStep<'_>, inputs: &PassInputs<'_>) -> u64 {
    match step.record.spec.due_ms(step.occurrence) {
        Some(due) => inputs.time.wall_ms.saturating_sub(due),
        None => inputs.state.clock_ms().saturating_sub(step.record.accepted_ms),
    }
}

/// Returns the age of a step's occurrence less the time that its finished steps were to take.
fn waited_ms(step: &OpenStep<'_>, inputs: &PassInputs<'_>) -> u64 {
    let spec = &step.record.spec;
    let steps = &step.record.occurrences[step.occurrence as usize].steps;
    let lengths = estimated_lengths(spec);
    let left = longest_chain(spec, &lengths, |step| !steps[step].is_done());
    let finished = longest_chain(spec, &lengths, |_| true).saturating_sub(left);
    age_ms(step, inputs).saturating_sub(finished)
}

/// Returns the wait from which it is a step's turn, in milliseconds. The chain of a lasting job has
/// no length.
fn turn_ms(step: &OpenStep<'_>) -> u64 {
    let spec = &step.record.spec;
    let lengths = estimated_lengths(spec);
    let chain = longest_chain(spec, &lengths, |position| !spec.steps[position].lasting);
    chain.saturating_mul(TURN_CHAINS).max(TURN_FLOOR_MS)
}
