//! Judges what a job can still reach, which decides whose tasks are placed first.

use crate::{
    job::{JobSpec, QueueRule},
    state::{JobRecord, OccurrenceRecord},
};

/// Multiple of a job's objective up to which the job counts as late rather than missed.
const LATE_FACTOR: f64 = 3.0;

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

/// Judges an occurrence by its age and its longest remaining chain of work.
pub(super) fn prospect_of(
    record: &JobRecord,
    occurrence: &OccurrenceRecord,
    rule: Option<&QueueRule>,
    age_ms: u64,
) -> JobProspect {
    let Some(rule) = rule else { return JobProspect::InTime };
    if record.spec.steps.iter().any(|step| step.lasting) {
        return JobProspect::InTime;
    }
    let whole = longest_chain(&record.spec, |_| true) as f64;
    let left = longest_chain(&record.spec, |step| !occurrence.steps[step].is_done()) as f64;
    let objective = rule.stretch * whole + rule.latency_allowance_ms as f64;
    let end = age_ms as f64 + left;
    if end <= objective {
        JobProspect::InTime
    } else if end <= objective * LATE_FACTOR {
        JobProspect::Late
    } else {
        JobProspect::Missed
    }
}

/// Returns the estimate of the longest chain of dependent steps, in milliseconds. Steps that
/// `counts` does not select take no time.
pub(super) fn longest_chain(spec: &JobSpec, counts: impl Fn(usize) -> bool) -> u64 {
    let mut chains: Vec<u64> = Vec::with_capacity(spec.steps.len());
    for (position, step) in spec.steps.iter().enumerate() {
        let before = step.depends_on.iter().map(|on| chains[usize::from(*on)]).max().unwrap_or(0);
        let own = if counts(position) { step.estimate_ms } else { 0 };
        chains.push(before.saturating_add(own));
    }
    chains.into_iter().max().unwrap_or(0)
}

/// Returns the remaining work of an occurrence, in thousandths of core-milliseconds.
pub(super) fn remaining_work(record: &JobRecord, occurrence: u32) -> u64 {
    let steps = &record.occurrences[occurrence as usize].steps;
    let left = record.spec.steps.iter().zip(steps).map(|(spec, step)| {
        let tasks = step.tasks.len() as u64 - u64::from(step.done);
        tasks.saturating_mul(spec.estimate_ms).saturating_mul(spec.demand.cpu_milli)
    });
    left.fold(0, u64::saturating_add)
}
