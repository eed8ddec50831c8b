//! Moves latency-critical runs between workers, so that more of the fleet is open to best-effort
//! work.
//!
//! It answers best-effort work that lacks headroom although processors are idle. The planner
//! chooses the moves (`plan/relocation.rs`); this module decides when a service can bear one. See
//! `docs/design/affinity.md`.

use {
    super::ControlNode,
    crate::{
        event::{FlowEvent, StopReason},
        job::{StepKey, TaskKey},
        plan::{CallerEstimates, Placement, PlanInputs, PlanTime, RunMove},
        state::{TaskPhase, TaskRecord},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Interval at which moves are considered.
const RELOCATION_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a move is counted as in progress: the run is stopped, placed again and warms up.
const MOVE_TIME: Duration = Duration::from_millis(2500);
/// Time that a run stays where it is before it is moved again: what was learned about it there has
/// to outweigh the move.
const SETTLED_AFTER: Duration = Duration::from_millis(5000);
/// Workers for each move in progress: the others go on serving meanwhile.
const WORKERS_PER_MOVE: usize = 4;
/// The percentage that a lasting task reports while it works.
const WORKING_PERCENT: u8 = 100;

/// The moves in progress.
#[derive(Debug, Default)]
pub(super) struct RelocationState {
    /// The time of the next check.
    due: Duration,
    /// The time at which each task was moved last.
    moved: BTreeMap<TaskKey, Duration>,
}

impl RelocationState {
    fn in_progress(&self, now: Duration) -> impl Iterator<Item = &TaskKey> {
        self.moved.iter().filter(move |(_, at)| now < **at + MOVE_TIME).map(|(task, _)| task)
    }

    fn is_moving(&self, step: StepKey, now: Duration) -> bool {
        self.in_progress(now).any(|task| task.step_key() == step)
    }
}

impl ControlNode {
    /// Stops the latency-critical runs that are better off on another worker, when a check is due
    /// and a job with best-effort work has not ended. Placement then starts them there.
    pub(super) fn relocate_runs(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let Some(leader) = &mut self.leader else { return };
        if now < leader.relocations.due {
            return;
        }
        leader.relocations.due = now + RELOCATION_INTERVAL;
        leader.relocations.moved.retain(|_, at| now < *at + SETTLED_AFTER);
        let Some(leader) = &self.leader else { return };
        let moving = leader.relocations.in_progress(now).count();
        let limit = (leader.workers.len() / WORKERS_PER_MOVE).saturating_sub(moving);
        if limit == 0 || !self.has_best_effort_work() {
            return;
        }
        let inputs = PlanInputs {
            state: &leader.speculative,
            workers: &leader.workers,
            learned: &leader.learned,
            suspects: &leader.suspects,
            durations: &leader.durations,
            forecaster: &CallerEstimates,
            time: PlanTime { now, wall_ms },
        };
        let may_move = |placement: &Placement| self.may_relocate(placement);
        let moves = leader.planner.choose_moves(inputs, limit, may_move);
        for run_move in moves {
            self.start_move(run_move);
        }
    }

    /// Stops a run that moves, and keeps its target. Does nothing if the run's worker can't be
    /// reached.
    fn start_move(&mut self, RunMove { placement, target, gain }: RunMove) {
        let now = self.now;
        let stop = self.stop_run(&placement, StopReason::Relocated);
        if stop.is_empty() {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let Placement { task, run, worker } = placement;
        leader.relocations.moved.insert(task, now);
        leader.planner.keep_target(task, target.clone(), now + MOVE_TIME);
        let gain_percent = (gain * 100.0).round() as u32;
        self.record(FlowEvent::RunRelocated { task, run, worker, target, gain_percent });
        self.effects.extend(stop);
    }

    fn has_best_effort_work(&self) -> bool {
        let Some(leader) = &self.leader else { return false };
        let open = leader.speculative.active_jobs().filter(|(_, job)| job.outcome.is_none());
        let mut specs = open.flat_map(|(_, job)| &job.spec.steps);
        specs.any(|spec| spec.filler)
    }

    /// Returns whether a run may be stopped to be moved: it has worked for a while, all tasks of its
    /// step are at work, and the step's disruption budget allows it.
    fn may_relocate(&self, placement: &Placement) -> bool {
        let Some(leader) = &self.leader else { return false };
        let (key, now) = (placement.task, self.now);
        let step_key = key.step_key();
        let Some(job) = leader.speculative.job(key.job).filter(|job| job.outcome.is_none()) else {
            return false;
        };
        let Some(spec) = job.step_spec(&key).filter(|spec| spec.lasting && !spec.gang) else {
            return false;
        };
        let settled = !leader.relocations.moved.contains_key(&key);
        let stopping = leader.stopping.keys().any(|task| task.step_key() == step_key);
        let step = &job.occurrences[key.occurrence as usize].steps[usize::from(key.step)];
        // A moved task that is slow to start is still absent after `MOVE_TIME`.
        let is_at_work = |(index, task): (usize, &TaskRecord)| {
            let progress = leader.progress.get(&TaskKey { index: index as u16, ..key });
            matches!(task.phase, TaskPhase::Placed(_))
                && progress.is_some_and(|progress| {
                    progress.run == task.run && progress.percent >= WORKING_PERCENT
                })
        };
        let complete = step.tasks.iter().enumerate().all(is_at_work);
        let budget = spec.disruption_budget.is_none_or(|budget| budget > 0);
        settled && complete && budget && !stopping && !leader.relocations.is_moving(step_key, now)
    }
}
