//! Throttles batch tasks, and relaxes the throttles again.

use {
    super::estimate::{ServiceEstimate, WorkerEstimate},
    crate::{
        fleet::FleetModel,
        interface::{MitigationReason, SchedDecision},
    },
    base::WorkerId,
    std::time::Duration,
};

/// The target of throttling, as a fraction of the tolerated slowdown.
const TARGET_PART: f64 = 0.85;
/// The fraction of that target below which throttles are relaxed.
const RELAX_PART: f64 = 0.85;
/// How long the throttles of a worker stay unchanged before they are relaxed.
const RELAX_COOLDOWN: Duration = Duration::from_secs(5);
/// The largest factor by which one step relaxes a throttle.
const RELAX_FACTOR: f64 = 2.0;
/// Throttle levels are multiples of this fraction of the reservation, so that small changes of an
/// estimate change nothing.
const LEVEL_STEP: f64 = 0.1;
/// The smallest step by which a throttle level is raised, unless the throttle is lifted altogether.
const MIN_RAISE: f64 = 0.2;
/// Effects below this many percent are not worth a throttle.
const MIN_EFFECT_PERCENT: f64 = 0.5;

impl FleetModel {
    /// Throttles batch tasks, starting with the one that slows the service most. Returns by how
    /// many percent the slowdown is still predicted to exceed the tolerated one.
    pub(super) fn throttle(
        &mut self,
        now: Duration,
        estimate: &WorkerEstimate,
        worst: &ServiceEstimate,
        decisions: &mut Vec<SchedDecision>,
    ) -> f64 {
        let threshold = worst.threshold;
        let floor = f64::from(self.policy.throttle_floor_percent) / 100.0;
        let mut excess = worst.slowdown() - threshold * TARGET_PART;
        for index in indices_by_effect(worst).into_iter().rev() {
            let (task, effect) = (&estimate.tasks[index], worst.effects[index]);
            if excess <= 0.0 || effect < MIN_EFFECT_PERCENT {
                break;
            }
            let lowered = round_to_step(task.level - excess / effect).max(floor);
            if task.level <= lowered {
                continue;
            }
            excess -= (task.level - lowered) * effect;
            let reason = MitigationReason::ServiceSlow {
                service: worst.service.clone(),
                slowdown_percent: worst.slowdown(),
            };
            decisions.push(self.set_level(now, estimate, index, lowered, reason));
        }
        excess - threshold * (1.0 - TARGET_PART)
    }

    /// Relaxes throttles as far as the most affected service is predicted to stay within its
    /// target. Returns false only when the worker is gone.
    pub(super) fn relax_throttles(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        estimate: &WorkerEstimate,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let Some(state) = self.workers.get(worker) else {
            return false;
        };
        let cooled_down = now.saturating_sub(state.throttled_at) >= RELAX_COOLDOWN;
        let worst = estimate.worst();
        let target = worst.map_or(f64::MAX, |worst| worst.threshold * TARGET_PART);
        let recovered = worst.is_none_or(|worst| worst.slowdown() < target * RELAX_PART);
        if !(cooled_down && recovered) {
            return true;
        }
        let mut spare = worst.map_or(f64::MAX, |worst| target - worst.slowdown());
        let order = worst.map_or_else(|| (0..estimate.tasks.len()).collect(), indices_by_effect);
        for index in order {
            let task = &estimate.tasks[index];
            let effect = worst.map_or(0.0, |worst| worst.effects[index]).max(MIN_EFFECT_PERCENT);
            let step = (task.level * RELAX_FACTOR).max(task.level + MIN_RAISE);
            let affordable = step.min(task.level + spare / effect).min(1.0);
            let raised = round_to_step(affordable);
            if raised < 1.0 && raised - task.level < MIN_RAISE || task.level >= raised {
                continue;
            }
            spare -= (raised - task.level) * effect;
            decisions.push(self.set_level(
                now,
                estimate,
                index,
                raised,
                MitigationReason::Recovered,
            ));
        }
        true
    }

    fn set_level(
        &mut self,
        now: Duration,
        estimate: &WorkerEstimate,
        index: usize,
        level: f64,
        reason: MitigationReason,
    ) -> SchedDecision {
        let batch = &estimate.tasks[index];
        let percent = (level * 100.0).round().clamp(1.0, 100.0) as u8;
        self.set_throttle(now, &batch.task, batch.attempt, percent);
        let (task, attempt) = (batch.task.clone(), batch.attempt);
        SchedDecision::Throttle { task, attempt, percent, reason }
    }
}

fn round_to_step(level: f64) -> f64 {
    (level / LEVEL_STEP + 1e-9).floor() * LEVEL_STEP
}

/// Returns the indices of the tasks, from the least to the most harmful.
fn indices_by_effect(service: &ServiceEstimate) -> Vec<usize> {
    let mut order: Vec<usize> = (0..service.effects.len()).collect();
    order.sort_by(|a, b| service.effects[*a].total_cmp(&service.effects[*b]));
    order
}
