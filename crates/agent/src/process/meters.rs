//! Updates the agent's metrics from the effects that the reducer returns.

use {
    crate::reducer::{AgentEffect, AgentReducer},
    proto::messages::{DispatchOutcome, NotRunReason},
    std::time::Duration,
    telemetry::{
        metrics::{CounterKind, DurationKind, GaugeKind, ProcessMetrics},
        AgentEvent,
    },
};

/// Counts an effect.
pub(super) fn count_effect(metrics: &ProcessMetrics, effect: &AgentEffect) {
    match effect {
        AgentEffect::CallExecutor(_) => metrics.add(CounterKind::Admissions, "admitted", 1),
        AgentEffect::Record(AgentEvent::TaskStarted { .. }) => {
            metrics.add(CounterKind::TaskStarts, "started", 1);
        }
        AgentEffect::Record(AgentEvent::StartRefused { .. }) => {
            metrics.add(CounterKind::TaskStarts, "refused", 1);
        }
        AgentEffect::ReplyDispatch { reply, .. } => {
            if let DispatchOutcome::NotRun(reason) = &reply.outcome {
                metrics.add(CounterKind::Admissions, refusal_label(*reason), 1);
            }
        }
        _ => {}
    }
}

/// Sets the gauges after an input.
pub(super) fn set_gauges(metrics: &ProcessMetrics, reducer: &AgentReducer, now: Duration) {
    metrics.set(GaugeKind::SlotsInUse, reducer.in_progress() as u64);
    metrics.set(GaugeKind::LeaseRemaining, reducer.lease_remaining(now).as_millis() as u64);
    metrics.set(GaugeKind::Revision, reducer.revision().0);
}

/// Records the duration of an executor call.
pub(super) fn observe_call(metrics: &ProcessMetrics, outcome: &DispatchOutcome, elapsed: Duration) {
    let label = match outcome {
        DispatchOutcome::Answered(_) => "answered",
        DispatchOutcome::NotRun(_) => "not-run",
        DispatchOutcome::Unknown(_) => "unknown",
    };
    metrics.observe(DurationKind::ClientRequest, label, elapsed);
}

fn refusal_label(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NoSlot => "no-slot",
        NotRunReason::Draining => "draining",
        NotRunReason::OtherIncarnation => "other-incarnation",
        NotRunReason::NoEndpoint => "no-endpoint",
        NotRunReason::DeadlinePassed => "deadline-passed",
        NotRunReason::Fenced => "fenced",
        NotRunReason::NoLease => "no-lease",
        _ => "other",
    }
}
