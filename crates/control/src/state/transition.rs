//! Applies commands that move a task through its life cycle.

use {
    super::{
        command::{CommandOutcome, CommandRefusal, PlaceCommand},
        fact::FleetFact,
        reason::StepReason,
        task::{EndPhase, PlacedPhase, StopPurpose, Task, TaskLifecycle, Waiting},
        ApplyScope,
    },
    base::{AttemptNumber, CheckpointId, IncarnationNumber, TaskId, WorkerId},
    proto::messages::{
        operator::TaskPhase, AttemptReport, AttemptState, StartRefusal, ThrottleLevel,
    },
    sched::AttemptEnd,
};

/// Failed attempts after which a task fails for good, whatever the reason. Unparking a task starts
/// its count again.
const FAILED_ATTEMPTS_LIMIT: u32 = 32;

/// How a task leaves its placement. `Left` is an attempt that was refused, stopped or lost.
enum PlacementExit {
    Finished,
    Failed,
    Left { checkpoint: Option<CheckpointId> },
}

impl ApplyScope<'_> {
    pub(super) fn lifecycle_of(&self, task: &TaskId) -> Option<TaskLifecycle> {
        self.state.jobs.task(task).map(|record| record.lifecycle.clone())
    }

    pub(super) fn enter(&mut self, task: &TaskId, lifecycle: TaskLifecycle, reason: StepReason) {
        let (at_ms, bound) = (self.at_ms, self.step_bound());
        let ended = lifecycle.is_ended();
        let phase = lifecycle.phase();
        let Some(job) = self.state.jobs.get_mut(&task.job) else { return };
        let Some(record) = job.tasks.get_mut(task.index.0 as usize) else { return };
        record.enter(at_ms, lifecycle, reason, bound);
        if ended {
            let bound = self.state.declarations.retention().finished_jobs as usize;
            self.facts.push(FleetFact::TaskEnded(task.clone(), phase));
            self.state.jobs.close_task(&task.job, bound);
        }
    }

    pub(super) fn place(&mut self, place: PlaceCommand) -> CommandOutcome {
        let PlaceCommand { task, attempt, worker, reserve, reason, rule } = place;
        let waiting = match self.lifecycle_of(&task) {
            Some(TaskLifecycle::Waiting(waiting)) => waiting,
            Some(_) => return CommandOutcome::Refused(CommandRefusal::OtherState),
            None => return CommandOutcome::Refused(CommandRefusal::Unknown),
        };
        if attempt != waiting.attempt.next() {
            return CommandOutcome::Refused(CommandRefusal::OtherAttempt);
        }
        let Some(record) = self.state.workers.get_mut(&worker) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if !record.is_accepting() {
            return CommandOutcome::Refused(CommandRefusal::NotAccepting);
        }
        if !reserve.fits_in(&record.free_capacity()) {
            return CommandOutcome::Refused(CommandRefusal::NoRoom);
        }
        record.reserve(task.clone(), reserve);
        let lifecycle = TaskLifecycle::Placed(waiting.place(worker, reserve));
        self.enter(&task, lifecycle, StepReason::Chosen(reason, rule));
        self.facts.push(FleetFact::TaskPlaced(task));
        CommandOutcome::Done
    }

    pub(super) fn throttle(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        level: ThrottleLevel,
        reason: StepReason,
    ) -> CommandOutcome {
        let (at_ms, bound) = (self.at_ms, self.step_bound());
        let Some(job) = self.state.jobs.get_mut(&task.job) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        let Some(record) = job.tasks.get_mut(task.index.0 as usize) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        if record.lifecycle.attempt() != attempt {
            return CommandOutcome::Refused(CommandRefusal::OtherAttempt);
        }
        let Some(placement) = record.lifecycle.placement_mut() else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        placement.throttle = ThrottleLevel(level.0.clamp(1, 100));
        let worker = Some(placement.worker.clone());
        record.note(at_ms, worker, reason, bound);
        self.facts.push(FleetFact::TaskThrottled(task.clone()));
        CommandOutcome::Done
    }

    pub(super) fn evict(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        reason: StepReason,
    ) -> CommandOutcome {
        let lifecycle = match self.lifecycle_of(task) {
            None => return CommandOutcome::Refused(CommandRefusal::Unknown),
            Some(lifecycle) if lifecycle.attempt() != attempt => {
                return CommandOutcome::Refused(CommandRefusal::OtherAttempt);
            }
            Some(TaskLifecycle::Placed(placed)) => placed.stop(StopPurpose::Evict),
            Some(TaskLifecycle::Running(running)) => running.stop(StopPurpose::Evict),
            Some(_) => return CommandOutcome::Refused(CommandRefusal::OtherState),
        };
        self.enter(task, TaskLifecycle::Stopping(lifecycle), reason);
        self.facts.push(FleetFact::TaskStopping(task.clone()));
        CommandOutcome::Done
    }

    pub(super) fn report(
        &mut self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        report: AttemptReport,
    ) -> CommandOutcome {
        if let Err(refusal) = self.check_holder(worker, incarnation, &report.task, report.attempt) {
            return CommandOutcome::Refused(refusal);
        }
        let task = &report.task;
        match report.state {
            AttemptState::Running => self.start(task),
            AttemptState::Refused(refusal) => {
                let exit = PlacementExit::Left { checkpoint: None };
                let reason = StepReason::Refused(refusal_text(&refusal));
                self.end_attempt(task, exit, AttemptEnd::Refused, reason)
            }
            AttemptState::Finished => {
                let reason = StepReason::Finished;
                self.end_attempt(task, PlacementExit::Finished, AttemptEnd::Finished, reason)
            }
            AttemptState::Failed { detail } => {
                let reason = StepReason::Failed(detail);
                self.end_attempt(task, PlacementExit::Failed, AttemptEnd::Failed, reason)
            }
            AttemptState::Stopped { checkpoint } => {
                let exit = PlacementExit::Left { checkpoint };
                self.end_attempt(task, exit, AttemptEnd::Stopped, StepReason::Stopped)
            }
        }
    }

    pub(super) fn report_missing_attempt(
        &mut self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> CommandOutcome {
        if let Err(refusal) = self.check_holder(worker, incarnation, task, attempt) {
            return CommandOutcome::Refused(refusal);
        }
        self.lose_attempt(task, StepReason::Missing)
    }

    /// Ends an attempt that no longer runs and whose outcome is unknown.
    pub(super) fn lose_attempt(&mut self, task: &TaskId, reason: StepReason) -> CommandOutcome {
        let exit = PlacementExit::Left { checkpoint: None };
        self.end_attempt(task, exit, AttemptEnd::Stopped, reason)
    }

    /// Checks that the report comes from the current incarnation of the worker that holds the
    /// current attempt. Reports of earlier attempts or incarnations are refused as outdated.
    fn check_holder(
        &self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        task: &TaskId,
        attempt: AttemptNumber,
    ) -> Result<(), CommandRefusal> {
        let record = self.state.workers.get(worker).ok_or(CommandRefusal::Unknown)?;
        if record.incarnation != incarnation {
            return Err(CommandRefusal::OtherIncarnation);
        }
        let lifecycle = &self.state.jobs.task(task).ok_or(CommandRefusal::Unknown)?.lifecycle;
        if lifecycle.attempt() != attempt {
            return Err(CommandRefusal::OtherAttempt);
        }
        match lifecycle.placement() {
            Some(placement) if placement.worker == *worker => Ok(()),
            _ => Err(CommandRefusal::OtherState),
        }
    }

    fn start(&mut self, task: &TaskId) -> CommandOutcome {
        let Some(TaskLifecycle::Placed(placed)) = self.lifecycle_of(task) else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        self.enter(task, TaskLifecycle::Running(placed.start()), StepReason::Started);
        self.facts.push(FleetFact::TaskStarted(task.clone()));
        CommandOutcome::Done
    }

    /// Releases a reservation and moves the task to its next phase, as one change.
    fn end_attempt(
        &mut self,
        task: &TaskId,
        exit: PlacementExit,
        end: AttemptEnd,
        reason: StepReason,
    ) -> CommandOutcome {
        let Some(lifecycle) = self.lifecycle_of(task) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        let Some(placement) = lifecycle.placement().cloned() else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        let attempt = lifecycle.attempt();
        let next = match lifecycle {
            TaskLifecycle::Placed(placed) => self.leave_placement(task, placed, exit),
            TaskLifecycle::Running(running) => self.leave_placement(task, running, exit),
            TaskLifecycle::Stopping(stopping) => self.leave_placement(task, stopping, exit),
            TaskLifecycle::Waiting(_) | TaskLifecycle::Parked(_) | TaskLifecycle::Ended(_) => {
                return CommandOutcome::Refused(CommandRefusal::OtherState);
            }
        };
        if let Some(record) = self.state.workers.get_mut(&placement.worker) {
            record.release(task, &placement.reserved);
        }
        let worker = placement.worker;
        self.facts.push(FleetFact::TaskReleased { task: task.clone(), attempt, worker, end });
        let phase = next.phase();
        self.enter(task, next, reason);
        if matches!(phase, TaskPhase::Pending | TaskPhase::Evicted) {
            self.facts.push(FleetFact::TaskWaiting(task.clone()));
        }
        CommandOutcome::Done
    }

    fn leave_placement<S: PlacedPhase>(
        &self,
        task: &TaskId,
        placed_task: Task<S>,
        exit: PlacementExit,
    ) -> TaskLifecycle {
        match exit {
            PlacementExit::Finished => TaskLifecycle::Ended(placed_task.end(EndPhase::Finished)),
            PlacementExit::Failed => self.requeue(task, placed_task.fail()),
            PlacementExit::Left { checkpoint } => self.requeue(task, placed_task.leave(checkpoint)),
        }
    }

    fn requeue(&self, task: &TaskId, waiting: Task<Waiting>) -> TaskLifecycle {
        let job = self.state.jobs.get(&task.job);
        if job.is_some_and(|job| job.cancelled) {
            return TaskLifecycle::Ended(waiting.end(EndPhase::Cancelled));
        }
        if waiting.failures >= FAILED_ATTEMPTS_LIMIT {
            return TaskLifecycle::Ended(waiting.end(EndPhase::Failed));
        }
        if job.is_some_and(|job| job.parked) {
            return TaskLifecycle::Parked(waiting.park());
        }
        TaskLifecycle::Waiting(waiting)
    }
}

fn refusal_text(refusal: &StartRefusal) -> String {
    match refusal {
        StartRefusal::NoRoom => "it has less room than control believed".to_owned(),
        StartRefusal::LeaseEnding => "its lease was about to end".to_owned(),
        StartRefusal::Draining => "it is leaving".to_owned(),
        StartRefusal::OtherAttempt => "another attempt still runs there".to_owned(),
        StartRefusal::Platform { detail } => detail.clone(),
    }
}
