//! Throttling of best-effort tasks while a latency-critical task beside them misses, or is about to
//! miss, its latency target.

use {
    super::{types::AgentEffect, AgentNode},
    crate::event::FlowEvent,
    std::time::Duration,
};

/// The share of a target above which the agent throttles best-effort tasks. It is below 1 because
/// figures are half a second old.
const THROTTLE_ABOVE: f64 = 0.95;
/// The share of every target below which best-effort tasks may speed up again.
const SPEED_UP_BELOW: f64 = 0.8;
/// The factor by which the share of best-effort tasks falls.
const THROTTLE_FACTOR: f64 = 0.5;
/// The percentage points by which the share rises.
const SPEED_UP_STEP: f64 = 25.0;
/// Least time between two changes of the throttle: a change and the figures about it need this long
/// to show.
const THROTTLE_INTERVAL: Duration = Duration::from_millis(600);
/// The least share above 0, in percent. A lower one becomes 0, at which the tasks make no progress.
const LEAST_PERCENT: f64 = 10.0;
const FULL_PERCENT: f64 = 100.0;
/// Time for which best-effort tasks stand still although every target is met. After it, they go on
/// with the least share: nothing else would end their wait beside a steady load.
const STANDSTILL_TIME: Duration = Duration::from_secs(3);

/// The throttle of an executor's best-effort tasks.
#[derive(Debug)]
pub(super) struct BestEffortThrottle {
    percent: f64,
    changed: Duration,
    /// Whether best-effort tasks run beside latency-critical ones.
    watching: bool,
    /// The best-effort runs, with the share that each last received.
    sent: Vec<(crate::job::TaskKey, crate::job::RunNumber, u8)>,
}

impl Default for BestEffortThrottle {
    fn default() -> Self {
        Self { percent: FULL_PERCENT, changed: Duration::ZERO, watching: false, sent: Vec::new() }
    }
}

impl BestEffortThrottle {
    /// Returns whether the agent should poll latencies at the shorter interval.
    pub(super) fn is_watching(&self) -> bool {
        self.watching
    }

    /// Adjusts the share by the worst tail latency, given as a share of its target. Returns whether
    /// the share has changed.
    fn adjust(&mut self, now: Duration, worst: f64) -> bool {
        if now.saturating_sub(self.changed) < THROTTLE_INTERVAL {
            return false;
        }
        let before = self.percent;
        if worst > THROTTLE_ABOVE {
            self.percent *= THROTTLE_FACTOR;
            if self.percent < LEAST_PERCENT {
                self.percent = 0.0;
            }
        } else if worst < SPEED_UP_BELOW {
            self.percent = (self.percent + SPEED_UP_STEP).min(FULL_PERCENT);
        } else if before == 0.0 && now.saturating_sub(self.changed) >= STANDSTILL_TIME {
            self.percent = LEAST_PERCENT;
        }
        let changed = self.percent != before;
        if changed {
            self.changed = now;
        }
        changed
    }
}

impl AgentNode {
    /// Throttles or speeds up the best-effort tasks by the reports of the latency-critical ones.
    pub(super) fn throttle_best_effort(&mut self) {
        let now = self.now;
        let Some(executor) = &self.executor else { return };
        let mut best_effort = Vec::new();
        let mut worst: Option<(f64, u64, u64)> = None;
        for row in &executor.listed_runs {
            let Some((is_best_effort, target)) = self.runs.traits_of(row.task, row.run) else {
                continue;
            };
            if is_best_effort {
                best_effort.push((row.task, row.run));
            }
            if let Some(target) = target {
                let share = row.figure as f64 / target.max(1) as f64;
                if worst.is_none_or(|(highest, _, _)| share > highest) {
                    worst = Some((share, row.figure, target));
                }
            }
        }
        let worker = executor.report.worker.clone();
        self.throttle.watching = worst.is_some() && !best_effort.is_empty();
        let (share, tail_ms, target_ms) = worst.unwrap_or_default();
        if self.throttle.adjust(now, share) {
            let percent = self.throttle.percent as u8;
            self.record(FlowEvent::FillersPaced { percent, tail_ms, target_ms });
        }
        let percent = self.throttle.percent as u8;
        let mut sent = Vec::new();
        for (task, run) in best_effort {
            let known = self.throttle.sent.iter().find(|(at, of, _)| (*at, *of) == (task, run));
            let current = known.map_or(100, |(_, _, percent)| *percent);
            if current != percent {
                let (worker, fence) = (worker.clone(), self.fence());
                self.effects.push(AgentEffect::Throttle { worker, task, run, percent, fence });
            }
            sent.push((task, run, percent));
        }
        self.throttle.sent = sent;
    }
}
