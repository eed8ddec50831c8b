//! Moves runs away from workers that have shrunk below what their tasks use.
//!
//! Nothing is stopped for a shortage that passes by itself: the capacity may grow again, and short
//! tasks end. A run is moved only if it can go on elsewhere at once without losing its work; any
//! other is better off slow than stopped. `docs/decisions/platform.md` says why.

use {
    super::ControlNode,
    crate::{
        event::StopReason,
        job::{StepSpec, TaskDemand, WorkerIncarnation},
        plan::{assumed_demand, fits_elsewhere, Placement},
        state::{JobRecord, TaskPhase},
    },
    std::{cmp::Reverse, time::Duration},
};

/// Time that a shortage lasts before a run is moved.
const RELIEF_DELAY: Duration = Duration::from_millis(2000);
/// Time between two moves from one worker: the first one has to take effect.
const RELIEF_INTERVAL: Duration = Duration::from_millis(1000);
/// Remaining time of a task below which its end is awaited.
const SOON: Duration = Duration::from_millis(2000);
/// Time that a stop may take. After it, the run counts as running again.
const STOP_TIMEOUT: Duration = Duration::from_millis(3000);

/// A run on the worker that is expected to stay there for a while.
struct StayingRun<'a> {
    placement: Placement,
    job: &'a JobRecord,
    spec: &'a StepSpec,
}

impl ControlNode {
    /// Moves one run from a worker that has been short of some resource for a while.
    pub(super) fn relieve_worker(&mut self, worker: &WorkerIncarnation) {
        let now = self.now;
        let executor = &worker.executor;
        if self.shortage_of(worker).is_none() {
            if let Some(leader) = &mut self.leader {
                leader.relief_due.remove(executor);
            }
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let due = *leader.relief_due.entry(executor.clone()).or_insert(now + RELIEF_DELAY);
        if now < due {
            return;
        }
        let Some(placement) = self.run_to_move(worker) else { return };
        if let Some(leader) = &mut self.leader {
            leader.relief_due.insert(executor.clone(), now + RELIEF_INTERVAL);
        }
        let stop = self.stop_run(&placement, StopReason::WorkerShrunk);
        self.effects.extend(stop);
    }

    /// Returns by how much the staying runs exceed a worker's capacity; `None` if they fit.
    fn shortage_of(&self, worker: &WorkerIncarnation) -> Option<TaskDemand> {
        let leader = self.leader.as_ref()?;
        let capacity = leader.workers.get(&worker.executor)?.report.capacity;
        let demands = self.staying_runs(worker).into_iter().map(|run| assumed_demand(run.spec));
        let used = demands.fold(TaskDemand::default(), TaskDemand::plus);
        (!used.fits_in(capacity)).then(|| used.beyond(capacity))
    }

    /// Returns the runs on a worker, except those that are being stopped or end soon.
    fn staying_runs(&self, worker: &WorkerIncarnation) -> Vec<StayingRun<'_>> {
        let Some(leader) = &self.leader else { return Vec::new() };
        let times = leader.remaining_times(self.now);
        let staying = leader.placements_on(worker).into_iter().filter_map(|placement| {
            let job = leader.speculative.job(placement.task.job)?;
            let spec = job.step_spec(&placement.task)?;
            let ends_soon = times.remaining(&placement.task, spec) < SOON;
            let stays = !self.is_stopping(&placement) && !ends_soon;
            stays.then_some(StayingRun { placement, job, spec })
        });
        staying.collect()
    }

    fn is_stopping(&self, placement: &Placement) -> bool {
        let stopping = self.leader.as_ref().and_then(|leader| leader.stopping.get(&placement.task));
        stopping.is_some_and(|(run, at)| {
            *run == placement.run && self.now.saturating_sub(*at) < STOP_TIMEOUT
        })
    }

    /// Returns the run whose move costs least of those that hold what the worker lacks: best-effort
    /// ones first, then those of the least urgent priority, those that do not last, and the latest;
    /// latency-critical ones come last.
    fn run_to_move(&self, worker: &WorkerIncarnation) -> Option<Placement> {
        let shortage = self.shortage_of(worker)?;
        let leader = self.leader.as_ref()?;
        let movable = self
            .staying_runs(worker)
            .into_iter()
            .filter(|run| assumed_demand(run.spec).shares_with(shortage) && self.may_move(run));
        let cost = |run: &StayingRun<'_>| {
            let StayingRun { placement, job, spec } = run;
            let ordered = leader.ordered.get(&placement.task).map(|(_, at)| *at);
            let critical = spec.latency_target_ms.is_some();
            (critical, !spec.filler, Reverse(job.priority), spec.lasting, Reverse(ordered))
        };
        movable.min_by_key(cost).map(|run| run.placement)
    }

    /// Returns whether a run can go on elsewhere at once without losing its work. A gang would be
    /// broken, and a step keeps the tasks that its budget guarantees.
    fn may_move(&self, run: &StayingRun<'_>) -> bool {
        let StayingRun { placement, job, spec } = run;
        let Some(leader) = &self.leader else { return false };
        if spec.gang || !(spec.lasting || spec.checkpointing) {
            return false;
        }
        let key = placement.task;
        let step = &job.occurrences[key.occurrence as usize].steps[usize::from(key.step)];
        let unavailable = step.tasks.iter().filter(|task| task.phase == TaskPhase::Waiting);
        let stopping = leader.stopping.keys().filter(|task| task.step_key() == key.step_key());
        let absent = unavailable.count() + stopping.count();
        if spec.disruption_budget.is_some_and(|budget| absent >= budget as usize) {
            return false;
        }
        let state = &leader.speculative;
        let rule = state.config().and_then(|config| config.queue(&job.queue));
        let service = rule.map_or(job.service.as_str(), |rule| rule.service.as_str());
        let executor = &placement.worker.executor;
        fits_elsewhere((&key, spec, service), executor, (state, &leader.workers), self.now)
    }
}
