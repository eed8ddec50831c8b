//! Since when runs or tasks have been in a state that operators should know of, and which of them
//! the log tells next.

use {
    crate::job::{JobKey, RunNumber, TaskKey},
    std::{collections::BTreeMap, time::Duration},
};

/// Time between two lines about the same run.
const REPEAT_INTERVAL: Duration = Duration::from_secs(15);
/// The most lines of one check, so that one cause for many tasks leaves room for other lines.
const LINES_LIMIT: usize = 6;

/// A run, or the last run of a waiting task, as a check has found it.
#[derive(Debug, Clone, Copy)]
pub(super) struct FoundRun {
    pub(super) task: TaskKey,
    pub(super) run: RunNumber,
    /// The time since which it has been so at least.
    pub(super) since: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RunTimer {
    run: RunNumber,
    since: Duration,
    reported: Option<Duration>,
}

/// The runs that the last check has found.
#[derive(Debug)]
pub(super) struct RunTimers {
    timers: BTreeMap<TaskKey, RunTimer>,
    /// The age from which a run is reported.
    report_age: Duration,
}

impl RunTimers {
    pub(super) fn new(report_age: Duration) -> Self {
        Self { timers: BTreeMap::new(), report_age }
    }

    /// Replaces the runs by those that a check has found. A run that the check before has found as
    /// well keeps its time.
    pub(super) fn refresh(&mut self, found: impl Iterator<Item = FoundRun>) {
        let earlier = std::mem::take(&mut self.timers);
        let timer = |FoundRun { task, run, since }| {
            let known = earlier.get(&task).filter(|timer| timer.run == run);
            let reported = known.and_then(|timer| timer.reported);
            let since = known.map_or(since, |timer| timer.since.min(since));
            (task, RunTimer { run, since, reported })
        };
        self.timers = found.map(timer).collect();
    }

    fn overdue(&self, now: Duration) -> impl Iterator<Item = (&TaskKey, &RunTimer)> {
        let report_age = self.report_age;
        self.timers.iter().filter(move |(_, timer)| now.saturating_sub(timer.since) >= report_age)
    }

    /// Returns the number of runs that have reached the age.
    pub(super) fn overdue_runs(&self, now: Duration) -> usize {
        self.overdue(now).count()
    }

    /// Returns the number of jobs with such runs.
    pub(super) fn overdue_jobs(&self, now: Duration) -> usize {
        let mut jobs: Vec<JobKey> = self.overdue(now).map(|(task, _)| task.job).collect();
        jobs.dedup();
        jobs.len()
    }

    /// Chooses the runs to report now: first those that were not reported yet, the oldest first.
    pub(super) fn take_due(&mut self, now: Duration) -> Vec<FoundRun> {
        let due = self.overdue(now).filter(|(_, timer)| {
            timer.reported.is_none_or(|at| now.saturating_sub(at) >= REPEAT_INTERVAL)
        });
        let mut due: Vec<_> = due.map(|(task, timer)| (*timer, *task)).collect();
        due.sort_by_key(|(timer, task)| (timer.reported, timer.since, *task));
        due.truncate(LINES_LIMIT);
        for (_, task) in &due {
            if let Some(timer) = self.timers.get_mut(task) {
                timer.reported = Some(now);
            }
        }
        let found = due.into_iter().map(|(timer, task)| {
            let RunTimer { run, since, .. } = timer;
            FoundRun { task, run, since }
        });
        found.collect()
    }
}
