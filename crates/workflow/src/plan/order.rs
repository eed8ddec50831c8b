//! The order in which the open steps of a pass are served.
//!
//! It answers a load above what the fleet can carry, where whoever comes last waits. Within a
//! priority, first come lasting tasks that have lost their worker, because a service is short of
//! them until they run again; then the jobs that can still meet their objective, the ones with the
//! least work left before the others, since that lets most jobs end in time. A step that has waited
//! long for much capacity comes before these when its turn has come (`plan/lookahead.rs`).

use {
    super::{steps::OpenStep, urgency::JobProspect},
    crate::job::JobKey,
    std::cmp::Reverse,
};

/// Whether it is the turn of a step that later ones have passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StepTurn {
    /// It is, after this wait in milliseconds. The longest wait is served first.
    Due(Reverse<u64>),
    /// The step is served in the order of prospects and remaining work.
    Regular,
}

/// The rank of a step: the lowest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    priority: u32,
    /// Whether nothing of the step has lost its worker. A displaced step ranks first.
    settled: bool,
    turn: StepTurn,
    prospect: JobProspect,
    remaining_work: u64,
    job: JobKey,
}

impl StepRank {
    pub(super) fn new(step: &OpenStep<'_>, turn: StepTurn) -> Self {
        Self {
            priority: step.record.priority,
            settled: !step.is_displaced(),
            turn,
            prospect: step.prospect,
            remaining_work: step.remaining_work,
            job: step.job,
        }
    }
}
