//! Refuses submissions that cannot end in time, and tells callers when to retry.

use {
    super::{leader::JobSubmission, ControlNode},
    crate::{
        event::FlowEvent,
        job::{JobKey, JobSpec, QueueRule, RunNumber, TaskKey},
        message::CallerAnswer,
        plan::{CallerEstimates, PlanInputs, PlanTime},
        state::{EndKind, FlowState, JobRecord},
    },
    std::time::Duration,
};

/// The most tasks that the state may hold. Every replica keeps a record of each, and a leader two, also of
/// jobs that are due much later.
pub const TASKS_HELD_LIMIT: u64 = 500_000;
/// A job may have this part of the tasks that the state can still take, so that many large jobs leave
/// space for small ones.
const FREE_TASKS_DIVISOR: u64 = 8;
/// The delay after which a job that was refused for its number of tasks may be submitted again.
const TASKS_RETRY: Duration = Duration::from_secs(10);

impl ControlNode {
    /// Returns the answer to a job that is refused because the state holds too many tasks; `None` to
    /// accept the job.
    pub(super) fn refuse_excess(&mut self, key: JobKey, spec: &JobSpec) -> Option<CallerAnswer> {
        let leader = self.leader.as_ref()?;
        let (tasks, held) = (spec.task_count(), leader.task_count());
        let free = TASKS_HELD_LIMIT.saturating_sub(held);
        let known = leader.submission_of(key) == JobSubmission::Submitted;
        if known || tasks <= free / FREE_TASKS_DIVISOR {
            return None;
        }
        let reason = format!("{tasks} tasks are too many beside {held} of {TASKS_HELD_LIMIT}");
        self.record(FlowEvent::JobRefused { job: key, reason });
        let retry_after_ms = TASKS_RETRY.as_millis() as u64;
        Some(CallerAnswer::Overloaded { retry_after_ms })
    }

    /// Returns the answer to a job that is refused because its service is overloaded; `None` to
    /// admit the job.
    pub(super) fn refuse_overload(
        &mut self,
        key: JobKey,
        spec: &JobSpec,
        rule: &QueueRule,
    ) -> Option<CallerAnswer> {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let leader = self.leader.as_mut()?;
        if leader.submission_of(key) == JobSubmission::Submitted {
            // It may run, so that it must not be refused.
            return None;
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
        let verdict = leader.admission.judge(key, spec, rule, inputs)?;
        if leader.planner.has_capacity_for(key, spec, &rule.service, inputs) {
            return None;
        }
        leader.admission.note_refused(&rule.name, now);
        let retry_after_ms = verdict.retry_after.as_millis() as u64;
        self.record(FlowEvent::JobDeferred {
            job: key,
            queue: rule.name.clone(),
            wait_ms: verdict.wait.as_millis() as u64,
            limit_ms: verdict.limit.as_millis() as u64,
            survey_age_ms: verdict.survey_age.as_millis() as u64,
            retry_after_ms,
        });
        Some(CallerAnswer::Overloaded { retry_after_ms })
    }

    /// Notes that a task of a job is placed.
    pub(super) fn note_started_work(&mut self, key: JobKey) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let Some(job) = leader.speculative.job(key) else { return };
        leader.admission.note_started(service_of(job, &leader.speculative), job.priority, now);
    }

    /// Adds the work of a run to the finished work of its service, when its end is first reported.
    pub(super) fn note_finished_work(&mut self, task: &TaskKey, run: RunNumber, end: EndKind) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let Some(job) = leader.speculative.job(task.job) else { return };
        let current = job.task(task).is_some_and(|record| record.run == run);
        if let Some(spec) = job.step_spec(task).filter(|_| current && end == EndKind::Done) {
            leader.admission.note_done(service_of(job, &leader.speculative), spec, now);
        }
    }
}

/// Returns the service that runs a job now: that of its queue, if the queue is still configured.
fn service_of<'a>(job: &'a JobRecord, state: &'a FlowState) -> &'a str {
    let rule = state.config().and_then(|config| config.queue(&job.queue));
    rule.map_or(&job.service, |rule| &rule.service)
}
