//! Observed run times: what the leader learns from reports and ends, and what it logs about them.

use {
    super::{leader::LeaderState, types::ControlEffect, ControlNode},
    crate::{
        event::FlowEvent,
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::RunReport,
        plan::{Placement, QueueSummary, RemainingTimes, RunOrigin, RunReading},
        state::EndKind,
    },
    std::time::Duration,
};

/// Interval of the log lines about observed run times.
pub(super) const DURATIONS_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// The largest number of such lines at a time.
const LOGGED_QUEUES: usize = 16;

impl LeaderState {
    /// Returns the remaining times of the placed runs.
    pub(super) fn remaining_times(&self, now: Duration) -> RemainingTimes<'_> {
        RemainingTimes { durations: &self.durations, state: &self.speculative, now }
    }

    /// Watches a run from its placement, or without one from the first report that lists it.
    pub(super) fn watch_run(
        &mut self,
        task: &TaskKey,
        run: RunNumber,
        worker: &WorkerIncarnation,
        (placed, wall_ms): (Option<Duration>, u64),
    ) {
        let job = self.speculative.job(task.job).filter(|job| job.outcome.is_none());
        let Some(job) = job else { return };
        let Some((spec, record)) = job.step_spec(task).zip(job.task(task)) else { return };
        let rack = self.workers.get(&worker.executor).and_then(|view| view.rack());
        // A gang resumes from the checkpoint of any member.
        let again = spec.gang && run > RunNumber(1);
        let resumed = spec.checkpointing && (again || !record.checkpoint.is_empty());
        let origin = RunOrigin { placed, worker, rack, resumed, wall_ms };
        self.durations.watch((task, run), &job.queue, spec, origin);
    }
}

impl ControlNode {
    /// Learns from the progress of the runs that an agent lists.
    pub(super) fn learn_durations(&mut self, worker: &WorkerIncarnation, runs: &[RunReport]) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let Some(leader) = &mut self.leader else { return };
        let critical = |report: &RunReport| {
            let job = leader.speculative.job(report.task.job);
            let spec = job.and_then(|job| job.step_spec(&report.task));
            spec.is_some_and(|spec| spec.latency_target_ms.is_some())
        };
        let beside_critical = runs.iter().any(critical);
        for report in runs {
            let (task, run) = (&report.task, report.run);
            // The progress of unwanted runs is not recorded.
            if leader.progress.get(task).is_none_or(|progress| progress.run != run) {
                continue;
            }
            if !leader.durations.is_watched(task, run) {
                leader.watch_run(task, run, worker, (None, wall_ms));
            }
            let job = leader.speculative.job(task.job);
            let Some(spec) = job.and_then(|job| job.step_spec(task)) else { continue };
            let (percent, used_milli) = (report.percent, report.figure);
            let reading = RunReading { percent, used_milli, beside_critical };
            leader.durations.note_report(now, (task, run), spec, reading);
        }
    }

    /// Learns from the end of a run.
    pub(super) fn learn_end(
        &mut self,
        worker: &WorkerIncarnation,
        task: &TaskKey,
        run: RunNumber,
        end: EndKind,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let job = leader.speculative.job(task.job);
        match job.and_then(|job| Some((job, job.step_spec(task)?))) {
            Some((job, spec)) if end == EndKind::Done => {
                leader.durations.note_done(now, (task, run), &job.queue, spec, worker);
            }
            _ => leader.durations.forget_run(task, run),
        }
    }

    /// Learns nothing more from the present runs of a worker that was out of reach: its agent's
    /// reports about them are late.
    pub(super) fn distrust_durations(&mut self, worker: &WorkerIncarnation) {
        let Some(leader) = &mut self.leader else { return };
        for Placement { task, .. } in leader.placements_on(worker) {
            leader.durations.distrust_run(&task);
        }
    }

    /// Notes that a start is ordered again: the run began later than its placement tells, unless
    /// the worker lists it.
    pub(super) fn note_repeated_start(&mut self, placement: &Placement, listed: bool) {
        if let Some(leader) = self.leader.as_mut().filter(|_| !listed) {
            leader.durations.note_repeated(&placement.task);
        }
    }

    /// Logs the errors of the queues from which the leader has learned since the last lines.
    pub(super) fn report_durations(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.report_durations_at)
        else {
            return;
        };
        leader.report_durations_at = now + DURATIONS_LOG_INTERVAL;
        for summary in leader.durations.take_summaries().into_iter().take(LOGGED_QUEUES) {
            let QueueSummary { queue, steps, estimate_error_percent, forecast_error_percent } =
                summary;
            self.effects.push(ControlEffect::Record(FlowEvent::RunTimesLearned {
                queue,
                steps,
                estimate_error_percent,
                forecast_error_percent,
            }));
        }
    }
}
