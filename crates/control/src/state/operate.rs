//! Applies commands that change declarations, jobs and workers.

use {
    super::{
        command::{CommandOutcome, CommandRefusal, DeclarationChange},
        fact::FleetFact,
        jobs::{JobRecord, TaskRecord, TASKS_PER_JOB_LIMIT},
        reason::StepReason,
        submissions::{ContentDigest, SubmissionMatch},
        task::{EndPhase, StopPurpose, Task, TaskLifecycle},
        ApplyScope,
    },
    base::{IncarnationNumber, JobId, SubmissionId, TaskId, WorkerId},
    proto::messages::{
        operator::{ApplyReply, CancelReply, DrainReply, SubmitReply},
        EndpointAnnouncement, JobSpec, WorkerAnnouncement,
    },
    sched::ParkReason,
    settings::RuleSource,
    std::collections::VecDeque,
};

impl ApplyScope<'_> {
    pub(super) fn change_declarations(&mut self, change: DeclarationChange) -> CommandOutcome {
        let before = self.state.declarations.revision();
        let reply: ApplyReply = self.state.declarations.apply(change);
        if self.state.declarations.revision() != before {
            self.facts.push(FleetFact::DeclarationsChanged);
        }
        CommandOutcome::Applied(reply)
    }

    pub(super) fn submit_job(&mut self, submission: SubmissionId, job: JobSpec) -> CommandOutcome {
        let digest = ContentDigest::of(&job);
        let known = match self.state.submissions.find(&submission, digest) {
            SubmissionMatch::Resent(answer) => Some(answer.clone()),
            SubmissionMatch::Reused => Some(SubmitReply::Invalid {
                reason: "the submission id was used with another job".to_owned(),
            }),
            SubmissionMatch::New => None,
        };
        if let Some(answer) = known {
            return CommandOutcome::Submitted(answer);
        }
        let answer = self.accept_job(job);
        let bound = self.state.declarations.retention().submissions as usize;
        self.state.submissions.keep(submission, digest, answer.clone(), bound);
        CommandOutcome::Submitted(answer)
    }

    fn accept_job(&mut self, job: JobSpec) -> SubmitReply {
        if !(1..=TASKS_PER_JOB_LIMIT).contains(&job.tasks) {
            let reason = format!("a job has from 1 to {TASKS_PER_JOB_LIMIT} tasks");
            return SubmitReply::Invalid { reason };
        }
        match self.state.jobs.get(&job.id) {
            Some(kept) if kept.spec == job && !kept.is_ended() => {
                return SubmitReply::Accepted { job: job.id };
            }
            Some(_) => return SubmitReply::NameTaken,
            None => {}
        }
        let id = job.id.clone();
        let bound = self.step_bound();
        let mut task =
            TaskRecord { lifecycle: TaskLifecycle::Waiting(Task::new()), history: VecDeque::new() };
        task.note(self.at_ms, None, StepReason::Submitted, bound);
        let record = JobRecord {
            cancelled: false,
            parked: false,
            open_tasks: job.tasks,
            tasks: vec![task; job.tasks as usize],
            spec: job,
        };
        self.facts.extend(record.task_ids().map(FleetFact::TaskWaiting));
        self.state.jobs.insert(record);
        SubmitReply::Accepted { job: id }
    }

    pub(super) fn cancel_job(&mut self, job: &JobId) -> CommandOutcome {
        let Some(record) = self.state.jobs.get_mut(job) else {
            return CommandOutcome::Cancelled(CancelReply::NoSuchJob);
        };
        if record.is_ended() {
            return CommandOutcome::Cancelled(CancelReply::AlreadyEnded);
        }
        record.cancelled = true;
        let tasks: Vec<_> = record.task_ids().collect();
        for task in tasks {
            self.cancel_task(&task);
        }
        CommandOutcome::Cancelled(CancelReply::Accepted)
    }

    fn cancel_task(&mut self, task: &TaskId) {
        let Some(record) = self.state.jobs.task(task) else { return };
        let lifecycle = match record.lifecycle.clone() {
            TaskLifecycle::Waiting(waiting) => {
                self.facts.push(FleetFact::TaskWithdrawn(task.clone()));
                TaskLifecycle::Ended(waiting.end(EndPhase::Cancelled))
            }
            TaskLifecycle::Parked(parked) => TaskLifecycle::Ended(parked.end(EndPhase::Cancelled)),
            TaskLifecycle::Placed(placed) => {
                TaskLifecycle::Stopping(placed.stop(StopPurpose::Cancel))
            }
            TaskLifecycle::Running(running) => {
                TaskLifecycle::Stopping(running.stop(StopPurpose::Cancel))
            }
            TaskLifecycle::Stopping(stopping) => {
                TaskLifecycle::Stopping(stopping.stop(StopPurpose::Cancel))
            }
            TaskLifecycle::Ended(_) => return,
        };
        if matches!(lifecycle, TaskLifecycle::Stopping(_)) {
            self.facts.push(FleetFact::TaskStopping(task.clone()));
        }
        self.enter(task, lifecycle, StepReason::Cancelled);
    }

    pub(super) fn park_job(
        &mut self,
        job: &JobId,
        reason: ParkReason,
        rule: RuleSource,
    ) -> CommandOutcome {
        let Some(record) = self.state.jobs.get_mut(job) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if record.parked || record.cancelled || record.is_ended() {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        }
        record.parked = true;
        let tasks: Vec<_> = record.task_ids().collect();
        for task in tasks {
            let Some(TaskLifecycle::Waiting(waiting)) = self.lifecycle_of(&task) else { continue };
            self.facts.push(FleetFact::TaskWithdrawn(task.clone()));
            let reason = StepReason::Parked(reason.clone(), rule.clone());
            self.enter(&task, TaskLifecycle::Parked(waiting.park()), reason);
        }
        self.facts.push(FleetFact::JobParked(job.clone()));
        CommandOutcome::Done
    }

    pub(super) fn unpark_job(&mut self, job: &JobId) -> CommandOutcome {
        let Some(record) = self.state.jobs.get_mut(job) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if !record.parked {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        }
        record.parked = false;
        self.facts.push(FleetFact::JobUnparked(job.clone()));
        let tasks: Vec<_> = record.task_ids().collect();
        for task in tasks {
            let Some(TaskLifecycle::Parked(parked)) = self.lifecycle_of(&task) else { continue };
            self.enter(&task, TaskLifecycle::Waiting(parked.unpark()), StepReason::Unparked);
            self.facts.push(FleetFact::TaskWaiting(task));
        }
        CommandOutcome::Done
    }

    pub(super) fn drain_worker(&mut self, worker: WorkerId, draining: bool) -> CommandOutcome {
        let Some(record) = self.state.workers.get_mut(&worker) else {
            return CommandOutcome::Drained(DrainReply::NoSuchWorker);
        };
        record.drained = draining;
        self.facts.push(FleetFact::WorkerChanged(worker));
        CommandOutcome::Drained(DrainReply::Accepted)
    }

    pub(super) fn set_worker_failures(
        &mut self,
        worker: WorkerId,
        failed_jobs: Option<u32>,
    ) -> CommandOutcome {
        let Some(record) = self.state.workers.get_mut(&worker) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        record.failed_jobs = failed_jobs;
        self.facts.push(FleetFact::WorkerChanged(worker));
        CommandOutcome::Done
    }

    pub(super) fn register_worker(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
        announcement: WorkerAnnouncement,
    ) -> CommandOutcome {
        if !self.state.workers.register(worker.clone(), incarnation, announcement) {
            return CommandOutcome::Refused(CommandRefusal::OtherIncarnation);
        }
        self.facts.push(FleetFact::WorkerChanged(worker.clone()));
        self.facts.push(FleetFact::EndpointsChanged(worker));
        CommandOutcome::Done
    }

    pub(super) fn set_endpoints(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
        endpoints: Vec<EndpointAnnouncement>,
    ) -> CommandOutcome {
        let Some(record) = self.state.workers.get_mut(&worker) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if record.incarnation != incarnation {
            return CommandOutcome::Refused(CommandRefusal::OtherIncarnation);
        }
        record.endpoints = endpoints;
        self.facts.push(FleetFact::EndpointsChanged(worker));
        CommandOutcome::Done
    }

    pub(super) fn expire_worker(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
    ) -> CommandOutcome {
        let Some(record) = self.state.workers.get_mut(&worker) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if record.incarnation > incarnation {
            return CommandOutcome::Refused(CommandRefusal::OtherIncarnation);
        }
        record.lost = true;
        record.endpoints.clear();
        let held: Vec<_> = record.reserved_tasks.iter().cloned().collect();
        for task in held {
            self.lose_attempt(&task, StepReason::WorkerLost);
        }
        self.facts.push(FleetFact::EndpointsChanged(worker.clone()));
        self.facts.push(FleetFact::WorkerLost(worker));
        let forgotten = self.state.workers.forget_lost();
        self.facts.extend(forgotten.into_iter().map(FleetFact::WorkerForgotten));
        CommandOutcome::Done
    }
}
