//! What the leader knows about the time that runs still take.

use {
    super::leader::RunProgress,
    crate::{
        job::{RunNumber, StepSpec, TaskKey},
        plan::{left_by_progress, RunForecaster},
    },
    std::{collections::HashMap, time::Duration},
};

/// Forecasts the ends of runs from the times of their start orders and from the agents' reports.
#[derive(Debug)]
pub(super) struct LeaderRuns<'a> {
    pub(super) ordered: &'a HashMap<TaskKey, (RunNumber, Duration)>,
    pub(super) progress: &'a HashMap<TaskKey, RunProgress>,
    pub(super) now: Duration,
}

impl RunForecaster for LeaderRuns<'_> {
    fn left(&self, task: &TaskKey, spec: &StepSpec) -> Duration {
        let ordered = self.ordered.get(task);
        let age = ordered.map(|(_, at)| self.now.saturating_sub(*at));
        // A report of an earlier run says nothing about the one that was ordered after it.
        let present = |progress: &&RunProgress| ordered.is_none_or(|(run, _)| *run == progress.run);
        let percent = self.progress.get(task).filter(present).map_or(0, |report| report.percent);
        left_by_progress(spec, age, percent)
    }
}
