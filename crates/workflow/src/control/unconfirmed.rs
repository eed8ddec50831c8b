//! Reports the placed runs that nobody confirms: no list of an agent shows them at work, or their
//! end does not follow the order to stop.
//!
//! Such a run keeps its task, and all members of its gang, from being placed. It tells an end that
//! was lost from a task that placement leaves waiting (`waiting.rs`).

use {
    super::{
        leader::LeaderState,
        run_timers::{FoundRun, RunTimers},
        ControlNode,
    },
    crate::{
        event::{AgentPresence, FlowEvent},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        state::TaskPhase,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Interval at which unconfirmed runs are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a run has been unconfirmed when it is reported first. A lease that is not renewed ends
/// before, and its runs with it.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// Age of the last list with a run from which the run counts as no longer listed. Agents list their
/// runs every 800 ms.
const LIST_TIMEOUT: Duration = Duration::from_millis(2500);

/// The unconfirmed runs.
#[derive(Debug)]
pub(super) struct UnconfirmedRuns {
    timers: RunTimers,
    /// The time of the last list of each executor's runs.
    lists: HashMap<Arc<str>, Duration>,
    check_at: Duration,
    /// The number of runs that have been unconfirmed for long, as of the last check.
    pub(super) runs: usize,
}

impl UnconfirmedRuns {
    pub(super) fn new(now: Duration) -> Self {
        let timers = RunTimers::new(REPORT_AGE);
        Self { timers, lists: HashMap::new(), check_at: now, runs: 0 }
    }

    /// Notes a list of an executor's runs.
    pub(super) fn note_list(&mut self, executor: &Arc<str>, now: Duration) {
        self.lists.insert(executor.clone(), now);
    }
}

impl LeaderState {
    /// Returns since when a placed run has been unconfirmed; `None` if it is listed at work and not
    /// ordered to stop.
    fn unconfirmed_since(&self, task: &TaskKey, run: RunNumber, now: Duration) -> Option<Duration> {
        if let Some(stop) = self.endings.stop_of(task, run) {
            return Some(stop.at);
        }
        let progress = self.progress.get(task).filter(|progress| progress.run == run);
        match progress.filter(|progress| progress.confirmed) {
            None => Some(now),
            Some(seen) if now.saturating_sub(seen.listed_at) < LIST_TIMEOUT => None,
            Some(seen) => Some(seen.listed_at),
        }
    }

    fn presence_of(&self, worker: &WorkerIncarnation) -> AgentPresence {
        match self.workers.get(&worker.executor) {
            Some(view) if view.incarnation() == worker => AgentPresence::Connected,
            Some(_) => AgentPresence::OtherIncarnation,
            None => AgentPresence::Absent,
        }
    }
}

impl ControlNode {
    /// Looks for unconfirmed runs, when a check is due.
    pub(super) fn check_unconfirmed_runs(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if now < leader.unconfirmed.check_at {
            return;
        }
        leader.endings.forget_outdated(&leader.speculative);
        let state = &leader.speculative;
        let placed = state.placed_incarnations().flat_map(|worker| state.placed_tasks(worker));
        let found = placed.filter_map(|(task, run)| {
            let since = leader.unconfirmed_since(&task, run, now)?;
            Some(FoundRun { task, run, since })
        });
        let found: Vec<FoundRun> = found.collect();
        let unconfirmed = &mut leader.unconfirmed;
        unconfirmed.check_at = now + CHECK_INTERVAL;
        unconfirmed.lists.retain(|executor, _| leader.workers.contains_key(executor));
        unconfirmed.timers.refresh(found.into_iter());
        unconfirmed.runs = unconfirmed.timers.overdue_runs(now);
        let due = unconfirmed.timers.take_due(now);
        let events: Vec<FlowEvent> =
            due.into_iter().filter_map(|found| self.unconfirmed_event(found)).collect();
        events.into_iter().for_each(|event| self.record(event));
    }

    fn unconfirmed_event(&self, FoundRun { task, run, since }: FoundRun) -> Option<FlowEvent> {
        let leader = self.leader.as_ref()?;
        let TaskPhase::Placed(worker) = &leader.speculative.task(&task)?.phase else { return None };
        let age_ms = |at: Duration| self.now.saturating_sub(at).as_millis() as u64;
        let progress = leader.progress.get(&task).filter(|progress| progress.run == run);
        let list = leader.unconfirmed.lists.get(&worker.executor);
        let lease = leader.leases.get(worker).copied().unwrap_or_default();
        Some(FlowEvent::RunUnconfirmed {
            task,
            run,
            worker: worker.clone(),
            unconfirmed_ms: age_ms(since),
            logged: self.applied.task(&task).is_some_and(|record| record.is_placed(run, worker)),
            ordered: leader.ordered.get(&task).is_some_and(|(ordered, _)| *ordered == run),
            at_work: progress.is_some_and(|progress| progress.confirmed),
            listed_ms_ago: progress.map(|progress| age_ms(progress.listed_at)),
            stopped_for: leader.endings.stop_of(&task, run).map(|stop| stop.reason),
            agent: leader.presence_of(worker),
            list_ms_ago: list.map(|at| age_ms(*at)),
            lease_left_ms: lease.saturating_sub(self.now).as_millis() as u64,
        })
    }
}
