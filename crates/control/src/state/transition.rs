//! Commands that move a task through its life cycle.

use {
    super::{
        command::{CommandOutcome, CommandRefusal, PlaceCommand},
        fact::FleetFact,
        reason::StepReason,
        task::{EndPhase, SeatedPhase, StopPurpose, Task, TaskLife, Waiting},
        ApplyScope,
    },
    base::{AttemptNumber, CheckpointId, IncarnationNumber, TaskId, WorkerId},
    proto::messages::{
        operator::TaskPhase, AttemptReport, AttemptState, StartRefusal, ThrottleLevel,
    },
    sched::AttemptEnd,
};

/// Failed attempts after which a task is given up, whatever the reason.
const FAILED_ATTEMPTS_LIMIT: u32 = 32;

/// How a task leaves its place.
enum SeatExit {
    Finished,
    Failed,
    Left { checkpoint: Option<CheckpointId> },
}

impl ApplyScope<'_> {
    pub(super) fn life_of(&self, task: &TaskId) -> Option<TaskLife> {
        self.state.jobs.task(task).map(|record| record.life.clone())
    }

    pub(super) fn enter(&mut self, task: &TaskId, life: TaskLife, reason: StepReason) {
        let (at_ms, bound) = (self.at_ms, self.step_bound());
        let ended = life.is_ended();
        let phase = life.phase();
        let Some(job) = self.state.jobs.get_mut(&task.job) else { return };
        let Some(record) = job.tasks.get_mut(task.index.0 as usize) else { return };
        record.enter(at_ms, life, reason, bound);
        if ended {
            let bound = self.state.declarations.retention().finished_jobs as usize;
            self.facts.push(FleetFact::TaskEnded(task.clone(), phase));
            self.state.jobs.close_task(&task.job, bound);
        }
    }

    pub(super) fn place(&mut self, place: PlaceCommand) -> CommandOutcome {
        let PlaceCommand { task, attempt, worker, reserve, reason, rule } = place;
        let waiting = match self.life_of(&task) {
            Some(TaskLife::Waiting(waiting)) => waiting,
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
        if !reserve.fits_in(&record.room()) {
            return CommandOutcome::Refused(CommandRefusal::NoRoom);
        }
        record.reserve(task.clone(), reserve);
        let life = TaskLife::Placed(waiting.place(worker, reserve));
        self.enter(&task, life, StepReason::Chosen(reason, rule));
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
        if record.life.attempt() != attempt {
            return CommandOutcome::Refused(CommandRefusal::OtherAttempt);
        }
        let Some(seat) = record.life.seat_mut() else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        seat.throttle = ThrottleLevel(level.0.clamp(1, 100));
        let worker = Some(seat.worker.clone());
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
        let life = match self.life_of(task) {
            None => return CommandOutcome::Refused(CommandRefusal::Unknown),
            Some(life) if life.attempt() != attempt => {
                return CommandOutcome::Refused(CommandRefusal::OtherAttempt);
            }
            Some(TaskLife::Placed(placed)) => placed.stop(StopPurpose::Evict),
            Some(TaskLife::Running(running)) => running.stop(StopPurpose::Evict),
            Some(_) => return CommandOutcome::Refused(CommandRefusal::OtherState),
        };
        self.enter(task, TaskLife::Stopping(life), reason);
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
                let exit = SeatExit::Left { checkpoint: None };
                let reason = StepReason::Refused(refusal_text(&refusal));
                self.vacate(task, exit, AttemptEnd::Refused, reason)
            }
            AttemptState::Finished => {
                let reason = StepReason::Finished;
                self.vacate(task, SeatExit::Finished, AttemptEnd::Finished, reason)
            }
            AttemptState::Failed { detail } => {
                let reason = StepReason::Failed(detail);
                self.vacate(task, SeatExit::Failed, AttemptEnd::Failed, reason)
            }
            AttemptState::Stopped { checkpoint } => {
                let exit = SeatExit::Left { checkpoint };
                self.vacate(task, exit, AttemptEnd::Stopped, StepReason::Stopped)
            }
        }
    }

    pub(super) fn miss_attempt(
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

    /// A task whose attempt runs no more, without a word of how it ended.
    pub(super) fn lose_attempt(&mut self, task: &TaskId, reason: StepReason) -> CommandOutcome {
        let exit = SeatExit::Left { checkpoint: None };
        self.vacate(task, exit, AttemptEnd::Stopped, reason)
    }

    /// Only the present life of the worker that holds the present attempt has a say: whatever an
    /// earlier attempt or life reports comes too late.
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
        let life = &self.state.jobs.task(task).ok_or(CommandRefusal::Unknown)?.life;
        if life.attempt() != attempt {
            return Err(CommandRefusal::OtherAttempt);
        }
        match life.seat() {
            Some(seat) if seat.worker == *worker => Ok(()),
            _ => Err(CommandRefusal::OtherState),
        }
    }

    fn start(&mut self, task: &TaskId) -> CommandOutcome {
        let Some(TaskLife::Placed(placed)) = self.life_of(task) else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        self.enter(task, TaskLife::Running(placed.start()), StepReason::Started);
        self.facts.push(FleetFact::TaskStarted(task.clone()));
        CommandOutcome::Done
    }

    /// Frees a reservation and takes the task where it belongs next, in one step.
    fn vacate(
        &mut self,
        task: &TaskId,
        exit: SeatExit,
        end: AttemptEnd,
        reason: StepReason,
    ) -> CommandOutcome {
        let Some(life) = self.life_of(task) else {
            return CommandOutcome::Refused(CommandRefusal::Unknown);
        };
        let Some(seat) = life.seat().cloned() else {
            return CommandOutcome::Refused(CommandRefusal::OtherState);
        };
        let attempt = life.attempt();
        let next = match life {
            TaskLife::Placed(placed) => self.leave_seat(task, placed, exit),
            TaskLife::Running(running) => self.leave_seat(task, running, exit),
            TaskLife::Stopping(stopping) => self.leave_seat(task, stopping, exit),
            TaskLife::Waiting(_) | TaskLife::Parked(_) | TaskLife::Ended(_) => {
                return CommandOutcome::Refused(CommandRefusal::OtherState);
            }
        };
        if let Some(record) = self.state.workers.get_mut(&seat.worker) {
            record.release(task, &seat.reserved);
        }
        let worker = seat.worker;
        self.facts.push(FleetFact::TaskReleased { task: task.clone(), attempt, worker, end });
        let phase = next.phase();
        self.enter(task, next, reason);
        if matches!(phase, TaskPhase::Pending | TaskPhase::Evicted) {
            self.facts.push(FleetFact::TaskWaiting(task.clone()));
        }
        CommandOutcome::Done
    }

    fn leave_seat<S: SeatedPhase>(
        &self,
        task: &TaskId,
        seated: Task<S>,
        exit: SeatExit,
    ) -> TaskLife {
        match exit {
            SeatExit::Finished => TaskLife::Ended(seated.end(EndPhase::Finished)),
            SeatExit::Failed => self.wait_again(task, seated.fail()),
            SeatExit::Left { checkpoint } => self.wait_again(task, seated.leave(checkpoint)),
        }
    }

    fn wait_again(&self, task: &TaskId, waiting: Task<Waiting>) -> TaskLife {
        let job = self.state.jobs.get(&task.job);
        if job.is_some_and(|job| job.cancelled) {
            return TaskLife::Ended(waiting.end(EndPhase::Cancelled));
        }
        if waiting.failures >= FAILED_ATTEMPTS_LIMIT {
            return TaskLife::Ended(waiting.end(EndPhase::Failed));
        }
        if job.is_some_and(|job| job.parked) {
            return TaskLife::Parked(waiting.park());
        }
        TaskLife::Waiting(waiting)
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
