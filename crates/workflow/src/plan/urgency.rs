//! Judges what a job can still reach, which decides whose tasks are placed first.

use {
    super::durations::DurationTable,
    crate::{
        job::{JobKey, JobSpec, QueueRule, StepKey},
        state::{JobRecord, OccurrenceRecord},
    },
};

/// Multiple of a job's objective up to which the job counts as late rather than missed.
pub(super) const LATE_FACTOR: f64 = 3.0;

/// What a job can still reach. Tasks are placed in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum JobProspect {
    /// The job meets its objective if nothing delays it.
    InTime,
    /// The job ends within the time that counts as late.
    Late,
    /// The job ends too late to count.
    Missed,
}

/// Returns the forecast length of a run of each step, in milliseconds.
pub(super) fn expected_lengths(
    (job, record): (JobKey, &JobRecord),
    occurrence: u32,
    durations: &DurationTable,
) -> Vec<u64> {
    let steps = record.spec.steps.iter().enumerate();
    let lengths = steps.map(|(step, spec)| {
        let key = StepKey { job, occurrence, step: step as u16 };
        durations.expected(key, &record.queue, spec).length.as_millis() as u64
    });
    lengths.collect()
}

/// Returns the caller's estimate of the length of a run of each step, in milliseconds.
pub(super) fn estimated_lengths(spec: &JobSpec) -> Vec<u64> {
    spec.steps.iter().map(|step| step.estimate_ms).collect()
}

/// Judges an occurrence by its age and its longest remaining chain of work.
pub(super) fn prospect_of(
    record: &JobRecord,
    occurrence: &OccurrenceRecord,
    lengths: &[u64],
    rule: Option<&QueueRule>,
    age_ms: u64,
) -> JobProspect {
    let Some(rule) = rule else { return JobProspect::InTime };
    if record.spec.steps.iter().any(|step| step.lasting) {
        return JobProspect::InTime;
    }
    let whole = longest_chain(&record.spec, lengths, |_| true) as f64;
    let open = |step: usize| !occurrence.steps[step].is_done();
    let left = longest_chain(&record.spec, lengths, open) as f64;
    let objective = objective_of(rule, whole);
    let end = age_ms as f64 + left;
    if end <= objective {
        JobProspect::InTime
    } else if end <= objective * LATE_FACTOR {
        JobProspect::Late
    } else {
        JobProspect::Missed
    }
}

/// Returns the objective for the duration of a job with a chain of this length, in milliseconds.
pub(super) fn objective_of(rule: &QueueRule, chain_ms: f64) -> f64 {
    rule.stretch * chain_ms + rule.latency_allowance_ms as f64
}

/// Returns the forecast of the longest chain of dependent steps, in milliseconds. Steps that
/// `counts` does not select take no time.
pub(super) fn longest_chain(
    spec: &JobSpec,
    lengths: &[u64],
    counts: impl Fn(usize) -> bool,
) -> u64 {
    let mut chains: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (position, step) in spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().map(|on| chains[usize::from(*on)]).max().unwrap_or(0);
        let own = if counts(position) { lengths[position] } else { 0 };
        chains.push(before.saturating_add(own));
    }
    chains.into_iter().max().unwrap_or(0)
}

/// Returns the remaining work of an occurrence, in thousandths of core-milliseconds.
pub(super) fn remaining_work(
    record: &JobRecord,
    occurrence: &OccurrenceRecord,
    lengths: &[u64],
) -> u64 {
    let steps = record.spec.steps.iter().zip(&occurrence.steps);
    let left = steps.zip(lengths).map(|((spec, step), length)| {
        let tasks = step.tasks.len() as u64 - u64::from(step.done);
        tasks.saturating_mul(*length).saturating_mul(spec.demand.cpu_milli)
    });
    left.fold(0, u64::saturating_add)
}
