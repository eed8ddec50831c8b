//! Reconciles the runs on a worker with those that the log places there.

use {
    super::{
        cordons::is_confirmed,
        leader::RunProgress,
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{
        event::{FlowEvent, StopReason},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{LinkMessage, RunReport},
        plan::Placement,
        state::TaskPhase,
    },
    std::time::Duration,
};

/// Time that an order may be in transit. After it, a report without the order's run means that the
/// order was lost.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval at which a stop is repeated while the run is still listed.
pub(super) const STOP_REPEAT: Duration = Duration::from_millis(500);

/// The most listed runs that a leader logs as never ordered.
const UNORDERED_RUNS_LIMIT: usize = 64;

impl ControlNode {
    /// Repeats the orders for all placements on a worker: its agent may have restarted and have no
    /// record of the runs there. On a worker that has become too small or is cordoned, the agent's
    /// list of runs has to show first which of them have begun.
    pub(super) fn repeat_orders(&mut self, session: SessionId, worker: &WorkerIncarnation) {
        if self.start_barrier(&worker.executor).is_some() {
            self.forget_orders(worker);
            return;
        }
        let Some(leader) = &self.leader else { return };
        let mut placements = leader.placements_on(worker);
        placements.retain(|placed| !leader.pending.ends(&placed.task, placed.run));
        for placement in placements {
            self.repeat_order(session, placement, false);
        }
    }

    /// Repeats the order for a placement, or withdraws it if the worker has become too small for
    /// one more run or is cordoned, or if the run is over. The order for a listed run only tells the
    /// worker's agent about it.
    fn repeat_order(&mut self, session: SessionId, placement: Placement, listed: bool) {
        let now = self.now;
        let Placement { task, run, .. } = placement;
        let ended = self.speculative_job_ended(&task);
        let Some(leader) = &mut self.leader else { return };
        leader.ordered.insert(task, (run, now));
        let broken = leader.is_gang_broken(&task);
        let barrier = self.start_barrier(&placement.worker.executor).filter(|_| !listed);
        if ended || broken {
            let reason = if ended { StopReason::Superseded } else { StopReason::GangBroken };
            self.stop_unwanted(session, &placement.worker, (task, run), reason);
        } else if let Some(reason) = barrier {
            self.withdraw_order(&placement, reason);
        } else if let Some(order) = self.start_order(&placement) {
            self.note_repeated_start(&placement, listed);
            let message = LinkMessage::Start(order);
            let effect = ControlEffect::Send { session, message };
            if self.may_send(&effect) {
                self.effects.push(effect);
            }
        }
    }

    /// Returns whether a stream is the one that a worker's agent uses now. Messages that arrive
    /// late on an earlier stream do not count, since orders on the present one may have overtaken
    /// them.
    pub(super) fn is_agent_stream(&self, session: SessionId, worker: &WorkerIncarnation) -> bool {
        self.leader
            .as_ref()
            .is_some_and(|leader| leader.represented_worker(session) == Some(worker))
    }

    /// Compares the runs of an executor with those that the log places on it.
    pub(super) fn handle_run_list(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        runs: Vec<RunReport>,
    ) {
        if !self.is_agent_stream(session, worker) {
            return;
        }
        self.settle_earlier_incarnations(session, worker, &runs);
        self.confirm_crash(worker);
        let now = self.now;
        if let Some(leader) = &mut self.leader {
            leader.unconfirmed.note_list(&worker.executor, now);
            if let Some(view) = leader.workers.get_mut(&worker.executor) {
                view.ever_listed = true;
                if !std::mem::replace(&mut view.listed, true) {
                    leader.planner.touch(&worker.executor);
                    leader.replan = true;
                }
            }
        }
        for report in &runs {
            self.check_run(session, worker, report);
        }
        self.learn_durations(worker, &runs);
        self.repeat_lost_orders(session, worker, &runs);
        self.withdraw_unconfirmed(worker);
        self.learn_interference(worker, &runs);
        self.relieve_worker(worker);
    }

    fn check_run(&mut self, session: SessionId, worker: &WorkerIncarnation, report: &RunReport) {
        let Some(leader) = &mut self.leader else { return };
        let (task, run) = (report.task, report.run);
        let wanted = leader.speculative.job(task.job).filter(|job| job.outcome.is_none());
        let expected = wanted.and_then(|job| job.task(&task)).is_some_and(|record| {
            let here = matches!(&record.phase, TaskPhase::Placed(at)
                if at == worker || at.is_before(worker));
            here && record.run == run
        });
        if leader.speculative.task(&task).is_some_and(|record| record.run < run) {
            self.note_unordered(worker, task, run);
            return;
        }
        if !expected {
            self.stop_unwanted(session, worker, (task, run), StopReason::Superseded);
            return;
        }
        if report.percent > 0 || report.figure > 0 {
            leader.suspects.note_at_work(task, run, self.now);
            if leader.suspects.is_settled(&task, run) {
                leader.crashes.acquit(&task);
            }
        }
        let checkpoint = report.checkpoint.clone();
        let before = leader.progress.get(&task).filter(|before| before.run == run);
        let confirmed = before.is_some_and(|before| before.confirmed) || is_confirmed(report);
        let (percent, listed_at) = (report.percent, self.now);
        let progress = RunProgress { run, checkpoint, percent, confirmed, listed_at };
        leader.progress.insert(task, progress);
        let broken = leader.is_gang_broken(&task);
        self.note_listed(worker, report);
        if broken {
            self.stop_unwanted(session, worker, (task, run), StopReason::GangBroken);
        }
    }

    /// Logs a listed run that is higher than any that was ordered, so that another program must have
    /// written it. It is not stopped: the executor would refuse every run up to its number, and with
    /// them the runs of the task.
    fn note_unordered(&mut self, worker: &WorkerIncarnation, task: TaskKey, run: RunNumber) {
        let Some(leader) = &mut self.leader else { return };
        let is_full = leader.unordered.len() >= UNORDERED_RUNS_LIMIT;
        if !is_full && leader.unordered.insert((task, run)) {
            let from = format!("executor {worker}");
            let reason = format!("lists {task} run {run}, which was never ordered");
            self.record(FlowEvent::MessageRefused { from, reason });
        }
    }

    fn stop_unwanted(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        (task, run): (TaskKey, RunNumber),
        reason: StopReason,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let last_stop = leader.stopping.get(&task).filter(|(stopped, _)| *stopped == run);
        if last_stop.is_some_and(|(_, at)| now.saturating_sub(*at) < STOP_REPEAT) {
            return;
        }
        leader.stopping.insert(task, (run, now));
        leader.endings.note_stop(task, run, reason, now);
        self.record(FlowEvent::RunStopped { task, run, worker: worker.clone(), reason });
        let message = LinkMessage::Stop { worker: worker.clone(), task, run };
        self.effects.push(ControlEffect::Send { session, message });
    }

    /// Repeats the orders for placed tasks that a worker does not list, unless they may still be in
    /// transit, and those that its agent has not received on this stream.
    fn repeat_lost_orders(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        runs: &[RunReport],
    ) {
        let now = self.now;
        let Some(leader) = &self.leader else { return };
        let mut due = Vec::new();
        for placement in leader.placements_on(worker) {
            let (task, run) = (placement.task, placement.run);
            let listed = runs.iter().any(|report| report.is_of(task, run));
            let ordered = leader.ordered.get(&task).filter(|(ordered, _)| *ordered == run);
            let in_transit =
                ordered.is_some_and(|(_, sent)| now.saturating_sub(*sent) < ORDER_TIMEOUT);
            let repeated = if listed { ordered.is_none() } else { !in_transit };
            if repeated && !leader.pending.ends(&task, run) {
                due.push((placement, listed));
            }
        }
        for (placement, listed) in due {
            self.repeat_order(session, placement, listed);
        }
    }

    fn speculative_job_ended(&self, task: &TaskKey) -> bool {
        let job = self.leader.as_ref().and_then(|leader| leader.speculative.job(task.job));
        job.is_none_or(|job| job.outcome.is_some())
    }

    /// Returns the order that stops a placed run, if its worker can be reached. The run's capacity
    /// stays reserved until its end is proposed.
    pub(super) fn stop_run(
        &mut self,
        placement: &Placement,
        reason: StopReason,
    ) -> Vec<ControlEffect> {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return Vec::new() };
        let Placement { task, run, worker } = placement.clone();
        let Some(session) = leader.sessions.get(&worker.executor).copied() else {
            return Vec::new();
        };
        leader.stopping.insert(task, (run, now));
        leader.endings.note_stop(task, run, reason, now);
        let event = FlowEvent::RunStopped { task, run, worker: worker.clone(), reason };
        let message = LinkMessage::Stop { worker, task, run };
        vec![ControlEffect::Record(event), ControlEffect::Send { session, message }]
    }
}
