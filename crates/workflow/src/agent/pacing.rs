//! Pacing: filling tasks make way while a serving task beside them misses its latency target.

use {
    super::{types::AgentEffect, AgentNode},
    crate::event::FlowEvent,
    std::time::Duration,
};

/// The share of a target above which filling tasks are slowed: figures are half a second old.
const SLOW_ABOVE: f64 = 0.95;
/// The share of every target below which they are given more again.
const EASE_BELOW: f64 = 0.8;
/// What the share of filling tasks is multiplied by when it falls.
const SLOW_FACTOR: f64 = 0.5;
/// Percent by which it rises.
const EASE_STEP: f64 = 25.0;
/// The time that a change of pace and the figures about it need to show.
const PACE_INTERVAL: Duration = Duration::from_millis(600);
/// The least share that differs from a stop, in percent.
const LEAST_PERCENT: f64 = 10.0;
const FULL_PERCENT: f64 = 100.0;

/// The pace of an executor's filling tasks.
#[derive(Debug)]
pub(super) struct Pacer {
    percent: f64,
    changed: Duration,
    /// Whether filling tasks run beside serving ones.
    watching: bool,
    /// Runs that were told the present pace.
    told: Vec<(crate::job::TaskKey, crate::job::RunNumber, u8)>,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { percent: FULL_PERCENT, changed: Duration::ZERO, watching: false, told: Vec::new() }
    }
}

impl Pacer {
    /// Whether latencies are worth looking at often.
    pub(super) fn is_watching(&self) -> bool {
        self.watching
    }

    /// Moves the pace by the worst tail latency, as a share of its target.
    fn adjust(&mut self, now: Duration, worst: f64) -> bool {
        if now.saturating_sub(self.changed) < PACE_INTERVAL {
            return false;
        }
        let before = self.percent;
        if worst > SLOW_ABOVE {
            self.percent *= SLOW_FACTOR;
            if self.percent < LEAST_PERCENT {
                self.percent = 0.0;
            }
        } else if worst < EASE_BELOW {
            self.percent = (self.percent + EASE_STEP).min(FULL_PERCENT);
        }
        let changed = self.percent != before;
        if changed {
            self.changed = now;
        }
        changed
    }
}

impl AgentNode {
    /// Slows or eases the filling tasks by what the serving ones report.
    pub(super) fn pace_fillers(&mut self) {
        let now = self.now;
        let Some(executor) = &self.executor else { return };
        let mut fillers = Vec::new();
        let mut worst: Option<(f64, u64, u64)> = None;
        for row in &executor.rows {
            let Some((filler, target)) = self.runs.traits_of(row.task, row.run) else { continue };
            if filler {
                fillers.push((row.task, row.run));
            }
            if let Some(target) = target {
                let share = row.figure as f64 / target.max(1) as f64;
                if worst.is_none_or(|(highest, _, _)| share > highest) {
                    worst = Some((share, row.figure, target));
                }
            }
        }
        let worker = executor.report.worker.clone();
        self.pacer.watching = worst.is_some() && !fillers.is_empty();
        let (share, tail_ms, target_ms) = worst.unwrap_or_default();
        if self.pacer.adjust(now, share) {
            let percent = self.pacer.percent as u8;
            self.record(FlowEvent::FillersPaced { percent, tail_ms, target_ms });
        }
        let percent = self.pacer.percent as u8;
        let mut told = Vec::new();
        for (task, run) in fillers {
            let known = self.pacer.told.iter().find(|(at, of, _)| (*at, *of) == (task, run));
            let current = known.map_or(100, |(_, _, percent)| *percent);
            if current != percent {
                let (worker, fence) = (worker.clone(), self.fence());
                self.effects.push(AgentEffect::Pace { worker, task, run, percent, fence });
            }
            told.push((task, run, percent));
        }
        self.pacer.told = told;
    }
}
