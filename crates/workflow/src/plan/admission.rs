//! Admission: decides whether a submitted job can still end within the time that counts.
//!
//! It addresses a load far above what a service can finish, where jobs of a less urgent priority are
//! accepted and end too late to be of use to their callers. Only a job that certainly ends too late
//! is refused: a wrong refusal costs a caller its job, a missing one only its wait. Work of the same
//! priority proves nothing, because a new job is placed before those that have missed their time.
//! `docs/design/admission.md` has the design.

use {
    super::{
        urgency::{
            estimated_lengths, longest_chain, objective_of, prospect_of, remaining_work,
            JobProspect, LATE_FACTOR,
        },
        worker::WorkerTable,
        PlanInputs,
    },
    crate::{
        job::{JobKey, JobSpec, QueueRule, StepSpec, TaskDemand},
        state::JobRecord,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time at the start of a leadership in which no job is refused: a new leader does not know the rate
/// at which work ends.
const START_GRACE: Duration = Duration::from_secs(5);
/// Age after which the survey of accepted work is renewed.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
/// Time over which the rate of finished work is averaged: several tasks of the longest common kind.
const RATE_SPAN_S: usize = 5;
/// Time for which the highest rate is remembered, so that a loss of executors that lasts less does
/// not make jobs look hopeless.
const RATE_MEMORY_S: usize = 30;
/// Tasks that must have ended within the rate's span for a rate to mean anything.
const MIN_ENDED_TASKS: u32 = 20;
/// Greatest factor by which callers' estimates are off. The objective of a job may be larger by
/// this factor, and its run time smaller.
const ESTIMATE_ERROR: f64 = 1.9;
/// Factor between the wait at which a queue's refusals start and the one at which they end.
const START_FACTOR: f64 = 1.25;
/// Time without a refusal after which a queue's refusals have ended.
const REFUSAL_MEMORY: Duration = Duration::from_secs(5);
/// Time for which a start of work of a priority shows that this priority gets capacity. Work of a
/// more urgent priority then does not occupy all of it, for example because it fits nowhere.
const START_MEMORY: Duration = Duration::from_secs(5);
/// Bounds of the delay after which a caller may retry. The shortest is the unit of its header. The
/// forecast says nothing about the time after the longest.
const RETRY_MIN: Duration = Duration::from_secs(1);
const RETRY_MAX: Duration = Duration::from_secs(60);
/// The part of the retry delay by which it varies between jobs, so that callers do not return at the
/// same time.
const RETRY_JITTER: f64 = 0.5;

/// The reasons for a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionVerdict {
    /// The time for which the job would wait at least.
    pub wait: Duration,
    /// The longest wait after which the job could still end in time.
    pub limit: Duration,
    /// The age of the survey that the wait is based on.
    pub survey_age: Duration,
    /// The delay after which the caller may retry.
    pub retry_after: Duration,
}

/// The waiting work of one priority in one service.
#[derive(Debug, Default)]
struct WaitingWork {
    /// Thousandths of core-milliseconds.
    work: u64,
    /// Whether jobs wait that cannot end any more within the time that counts.
    missed: bool,
}

/// The work that a service has finished, by second.
#[derive(Debug, Default)]
struct FinishedWork {
    /// The second of the last bucket.
    second: u64,
    /// Work in thousandths of core-milliseconds and ended tasks, the present second last.
    buckets: VecDeque<(u64, u32)>,
}

impl FinishedWork {
    /// Adds the buckets up to the present second.
    fn advance(&mut self, now: Duration) {
        let second = now.as_secs();
        let missing = if self.buckets.is_empty() { 1 } else { second.saturating_sub(self.second) };
        for _ in 0..missing.min(RATE_MEMORY_S as u64 + 1) {
            self.buckets.push_back((0, 0));
        }
        while self.buckets.len() > RATE_MEMORY_S + 1 {
            self.buckets.pop_front();
        }
        self.second = second;
    }

    /// Returns the highest rate over the span, in thousandths of a core; `None` if too few tasks
    /// have ended. Leaves out the present second, which is not over.
    fn rate(&self) -> Option<f64> {
        let whole = self.buckets.len().saturating_sub(1);
        let spans = (0..=whole.checked_sub(RATE_SPAN_S)?).map(|first| {
            let span = self.buckets.range(first..first + RATE_SPAN_S);
            span.fold((0_u64, 0_u32), |sum, bucket| {
                (sum.0.saturating_add(bucket.0), sum.1 + bucket.1)
            })
        });
        let (work, tasks) = spans.max()?;
        (work > 0 && tasks >= MIN_ENDED_TASKS)
            .then_some(work as f64 / (RATE_SPAN_S as f64 * 1000.0))
    }
}

/// What a leader knows about the load of each service. A new leader starts with an empty table.
#[derive(Debug, Default)]
pub struct AdmissionTable {
    since: Duration,
    surveyed: Option<Duration>,
    /// The waiting work by service and priority.
    waiting: BTreeMap<String, BTreeMap<u32, WaitingWork>>,
    /// The processors that the placed tasks of each service have reserved at most, lasting tasks
    /// excepted, in thousandths of a core.
    busy_milli: BTreeMap<String, u64>,
    finished: BTreeMap<String, FinishedWork>,
    /// The time of the last start of a task by service and priority.
    started: BTreeMap<String, BTreeMap<u32, Duration>>,
    /// The time of the last refusal of each queue.
    refused: BTreeMap<String, Duration>,
}

impl AdmissionTable {
    /// Creates the table of a leadership that starts now.
    pub fn new(now: Duration) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Notes that a task of a job is placed.
    pub fn note_started(&mut self, service: &str, priority: u32, now: Duration) {
        if !self.started.contains_key(service) {
            self.started.insert(service.to_owned(), BTreeMap::new());
        }
        if let Some(started) = self.started.get_mut(service) {
            started.insert(priority, now);
        }
    }

    /// Adds a task that has completed its work. Rates use the same estimates as the work that waits,
    /// so that a common bias cancels out.
    pub fn note_done(&mut self, service: &str, spec: &StepSpec, now: Duration) {
        if spec.lasting {
            return;
        }
        if !self.finished.contains_key(service) {
            self.finished.insert(service.to_owned(), FinishedWork::default());
        }
        let Some(finished) = self.finished.get_mut(service) else { return };
        finished.advance(now);
        if let Some((work, tasks)) = finished.buckets.back_mut() {
            *work = work.saturating_add(spec.estimate_ms.saturating_mul(spec.demand.cpu_milli));
            *tasks += 1;
        }
    }

    /// Returns why a job has to be refused; `None` to admit it. The caller checks whether capacity
    /// is free.
    pub fn judge(
        &mut self,
        key: JobKey,
        spec: &JobSpec,
        rule: &QueueRule,
        inputs: PlanInputs<'_>,
    ) -> Option<AdmissionVerdict> {
        let now = inputs.time.now;
        let exempt = |step: &StepSpec| step.lasting || step.demand.cpu_milli == 0;
        let exempt = spec.schedule.is_some() || spec.steps.iter().any(exempt);
        let chain = longest_chain(spec, &estimated_lengths(spec), |_| true) as f64;
        let early = now.saturating_sub(self.since) < START_GRACE;
        if exempt || early || chain == 0.0 || !has_objective(rule) {
            return None;
        }
        self.survey_if_due(inputs);
        let rate = self.finished.get_mut(&rule.service).and_then(|finished| {
            finished.advance(now);
            finished.rate()
        })?;
        // While few tasks end, because they are long or have only begun, more work is done than has
        // been finished.
        let busy = self.busy_milli.get(&rule.service).copied().unwrap_or(0);
        let rate = rate.max(busy as f64);
        let waiting = self.waiting.get(&rule.service)?;
        let observed = waiting.range(..=rule.priority).any(|(_, work)| work.missed);
        if !observed {
            return None;
        }
        let started = self.started.get(&rule.service).into_iter();
        let mut started = started.flat_map(|started| started.range(rule.priority..));
        if started.any(|(_, at)| now.saturating_sub(*at) < START_MEMORY) {
            return None;
        }
        // More urgent work comes first whatever it can still reach.
        let ahead = waiting.range(..rule.priority).map(|(_, waiting)| waiting.work);
        let wait = ahead.fold(0, u64::saturating_add) as f64 / rate;
        let objective = objective_of(rule, chain * ESTIMATE_ERROR);
        let limit = objective * LATE_FACTOR - chain / ESTIMATE_ERROR;
        let last = self.refused.get(&rule.name);
        let refusing = last.is_some_and(|last| now.saturating_sub(*last) < REFUSAL_MEMORY);
        if wait <= limit * if refusing { 1.0 } else { START_FACTOR } {
            return None;
        }
        let survey_age = now.saturating_sub(self.surveyed.unwrap_or(now));
        let (wait, limit) = (milliseconds(wait), milliseconds(limit));
        let retry_after = retry_delay(key, wait.saturating_sub(limit));
        Some(AdmissionVerdict { wait, limit, survey_age, retry_after })
    }

    /// Notes that a job of a queue was refused.
    pub fn note_refused(&mut self, queue: &str, now: Duration) {
        self.refused.insert(queue.to_owned(), now);
    }

    fn survey_if_due(&mut self, inputs: PlanInputs<'_>) {
        let PlanInputs { state, workers, suspects, time, .. } = inputs;
        let now = time.now;
        if self.surveyed.is_some_and(|at| now.saturating_sub(at) < SURVEY_INTERVAL) {
            return;
        }
        self.surveyed = Some(now);
        let mut waiting = BTreeMap::<String, BTreeMap<u32, WaitingWork>>::new();
        let mut busy_milli = BTreeMap::<String, u64>::new();
        let mut least = BTreeMap::<&str, TaskDemand>::new();
        for (key, job) in state.active_jobs() {
            let rule = state.config().and_then(|config| config.queue(&job.queue));
            let service: &str = rule.map_or(&job.service, |rule| &rule.service);
            if !waiting.contains_key(service) {
                waiting.insert(service.to_owned(), BTreeMap::new());
                busy_milli.insert(service.to_owned(), 0);
            }
            if let Some(busy) = busy_milli.get_mut(service) {
                *busy = busy.saturating_add(busy_milli_of(job));
            }
            let lasting = job.spec.steps.iter().any(|step| step.lasting);
            if job.outcome.is_some() || job.spec.schedule.is_some() || lasting {
                continue;
            }
            let Some(priorities) = waiting.get_mut(service) else { continue };
            let least = least.entry(service);
            let least = *least.or_insert_with(|| least_capacity(workers, service, now));
            // Tasks on trial wait for an executor of their own.
            if suspects.has_suspects(key) || !fits_everywhere(&job.spec, least) {
                continue;
            }
            let entry = priorities.entry(job.priority).or_default();
            let work = waiting_work(job);
            entry.work = entry.work.saturating_add(work);
            if work > 0 && rule.is_some_and(has_objective) {
                let age_ms = state.clock_ms().saturating_sub(job.accepted_ms);
                let lengths = estimated_lengths(&job.spec);
                let prospect = prospect_of(job, &job.occurrences[0], &lengths, rule, age_ms);
                entry.missed |= prospect == JobProspect::Missed;
            }
        }
        (self.waiting, self.busy_milli) = (waiting, busy_milli);
    }
}

/// Returns what every worker of a service has that may receive tasks: the least of each resource.
fn least_capacity(workers: &WorkerTable, service: &str, now: Duration) -> TaskDemand {
    let accepting = workers.values().filter(|view| view.accepts(service, now));
    let least = accepting.map(|view| view.report.capacity).reduce(|least, capacity| TaskDemand {
        cpu_milli: least.cpu_milli.min(capacity.cpu_milli),
        memory_mb: least.memory_mb.min(capacity.memory_mb),
        accelerators: least.accelerators.min(capacity.accelerators),
    });
    least.unwrap_or_default()
}

/// Returns whether every step of a job can use processors on whichever worker they come free. Other
/// work may wait while less urgent work gets them: what does not fit on some worker, gangs, tasks
/// limited to some workers, and best-effort tasks, which also wait for headroom.
fn fits_everywhere(spec: &JobSpec, least: TaskDemand) -> bool {
    spec.steps.iter().all(|step| {
        let limited = step.gang || step.per_worker_limit.is_some() || step.required_label.is_some();
        !limited && !step.filler && step.demand.fits_in(least)
    })
}

fn has_objective(rule: &QueueRule) -> bool {
    rule.stretch > 0.0
}

/// Returns at most the work of a job that waits: its remaining work, without a task of the largest
/// kind for each placed one.
fn waiting_work(job: &JobRecord) -> u64 {
    let task = |step: &StepSpec| step.estimate_ms.saturating_mul(step.demand.cpu_milli);
    let largest = job.spec.steps.iter().map(task).max().unwrap_or(0);
    let lengths = estimated_lengths(&job.spec);
    let remaining = remaining_work(job, &job.occurrences[0], &lengths);
    remaining.saturating_sub(largest.saturating_mul(u64::from(job.placed)))
}

/// Returns at most the processors that the placed tasks of a job have reserved, lasting tasks
/// excepted, in thousandths of a core.
fn busy_milli_of(job: &JobRecord) -> u64 {
    let ending = job.spec.steps.iter().filter(|step| !step.lasting);
    let most = ending.map(|step| step.demand.cpu_milli).max().unwrap_or(0);
    most.saturating_mul(u64::from(job.placed))
}

fn milliseconds(value: f64) -> Duration {
    Duration::from_millis(value.max(0.0) as u64)
}

/// Returns the delay after which a caller may retry: the time in which the excess is worked off,
/// longer by a part that depends on the job's id.
fn retry_delay(key: JobKey, excess: Duration) -> Duration {
    // The finalizer of SplitMix64, so that similar ids spread over the whole range.
    let mut mixed = key.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let share = ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
    excess.clamp(RETRY_MIN, RETRY_MAX).mul_f64(1.0 + RETRY_JITTER * share)
}
