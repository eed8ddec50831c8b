//! Reports the tasks that wait although their step is open: why, and how their last run has ended.

use {
    super::{
        endings::{last_end, EndingTable},
        run_timers::{FoundRun, RunTimers},
    },
    crate::{
        event::{FlowEvent, WaitCause},
        job::TaskKey,
        plan::{waiting_tasks, Placement, PlacementPlanner, PlanInputs},
        state::{FlowState, TaskPhase},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval at which waiting tasks are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a task has waited when it is reported first.
const REPORT_AGE: Duration = Duration::from_secs(4);

/// The waiting tasks.
#[derive(Debug)]
pub(super) struct WaitWatch {
    timers: RunTimers,
    check_at: Duration,
    /// The number of jobs with tasks that have waited for long, as of the last check.
    pub(super) jobs: usize,
}

impl WaitWatch {
    pub(super) fn new(now: Duration) -> Self {
        Self { timers: RunTimers::new(REPORT_AGE), check_at: now, jobs: 0 }
    }

    /// Returns the events about tasks that a full pass has left waiting, when a check is due.
    /// `placements` are those of the pass, and `applied` is what the log holds.
    pub(super) fn check(
        &mut self,
        (planner, inputs): (&PlacementPlanner, PlanInputs<'_>),
        placements: &[Placement],
        endings: &EndingTable,
        applied: &FlowState,
    ) -> Vec<FlowEvent> {
        let now = inputs.time.now;
        if now < self.check_at {
            return Vec::new();
        }
        self.check_at = now + CHECK_INTERVAL;
        let mut waiting = waiting_tasks(inputs.state, inputs.durations, inputs.time);
        waiting.retain(|found| placements.iter().all(|placed| placed.task != found.task));
        self.timers.refresh(waiting.iter().map(|found| {
            let since = endings.end_of(&found.task).map_or(now, |ending| ending.at);
            FoundRun { task: found.task, run: found.run, since }
        }));
        self.jobs = self.timers.overdue_jobs(now);
        let due = self.timers.take_due(now);
        if due.is_empty() {
            return Vec::new();
        }
        let tasks: Vec<TaskKey> = due.iter().map(|found| found.task).collect();
        let causes: BTreeMap<TaskKey, WaitCause> =
            planner.explain(inputs, &tasks).into_iter().collect();
        let events = due.into_iter().filter_map(|FoundRun { task, run, since }| {
            let ending = endings.end_of(&task);
            let logged = applied.task(&task);
            Some(FlowEvent::TaskWaiting {
                task,
                run,
                waited_ms: now.saturating_sub(since).as_millis() as u64,
                cause: *causes.get(&task)?,
                last_end: last_end(run, ending),
                stopped_for: ending.and_then(|ending| ending.reason),
                logged: logged
                    .is_some_and(|record| record.run == run && record.phase == TaskPhase::Waiting),
            })
        });
        events.collect()
    }
}
