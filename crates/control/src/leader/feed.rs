//! Keeps a leader's soft state in step with what is committed and measured.

use {
    super::{planner, CommandStream, LeaderState, StreamReply},
    crate::state::{FleetFact, FleetState, JobRecord, TaskLife, WorkerRecord},
    base::{IncarnationNumber, TaskId, WorkerId},
    proto::messages::{CommandCursor, TaskCommand, ThrottleLevel, UsageReport},
    sched::{HeldTask, ServiceSample, TaskSample, WorkerSample},
    std::time::{Duration, SystemTime},
};

/// What a worker is told.
#[derive(Debug)]
pub(crate) struct WorkerOrders {
    /// Where the worker stands in the stream afterwards.
    pub(crate) cursor: CommandCursor,
    /// True when what is not named is to be stopped.
    pub(crate) complete: bool,
    /// The commands.
    pub(crate) commands: Vec<TaskCommand>,
}

impl LeaderState {
    /// Builds everything from the applied state. Every worker may hold a lease that an earlier
    /// leader gave it in its last moment.
    pub(super) fn rebuild(&mut self, now: Duration, wall: SystemTime, state: &FleetState) {
        self.model.set_quotas(planner::team_quotas(state));
        self.model.set_service_policies(planner::service_policies(state, wall));
        let bound = state.declarations().lease_bound();
        for (worker, record) in state.workers().iter() {
            self.sync_worker(worker, record);
            if record.failed_jobs.is_some() {
                self.model.quarantined(now, worker);
            }
            self.table.set_worker(worker, Some(record));
            if !record.lost {
                let terms = self.terms_of(worker, wall, state);
                let wait = terms.wait_for(bound.max(terms.length));
                self.leases.watch(worker.clone(), record.incarnation, now + wait);
            }
        }
        for (_, job) in state.jobs().iter() {
            for task in job.task_ids() {
                if let Some(held) = planner::held_task(job, task.clone()) {
                    self.rebuild_held(now, state, held);
                } else {
                    self.enqueue(now, job, task);
                }
            }
        }
    }

    /// An earlier leader may have told the worker of the attempt.
    fn rebuild_held(&mut self, now: Duration, state: &FleetState, held: HeldTask) {
        let (task, attempt) = (held.waiting.task.clone(), held.attempt);
        let worker = held.worker.clone();
        self.model.hold(now, held);
        let seat = state.jobs().task(&task).and_then(|record| record.life.seat());
        if let Some(throttle) = seat.map(|seat| seat.throttle).filter(|t| *t < ThrottleLevel::FULL)
        {
            self.model.throttled(now, &task, attempt, throttle.0);
        }
        if let Some(record) = state.workers().get(&worker) {
            self.stream_of(&worker).note_told(&task, attempt, record.incarnation);
        }
    }

    fn enqueue(&mut self, now: Duration, job: &JobRecord, task: TaskId) {
        let record = job.tasks.get(task.index.0 as usize);
        if !record.is_some_and(|record| record.life.is_waiting()) {
            return;
        }
        if let Some(waiting) = planner::waiting_task(job, task) {
            self.model.enqueue(now, waiting);
        }
    }

    fn sync_worker(&mut self, worker: &WorkerId, record: &WorkerRecord) {
        self.model.set_worker(planner::worker_view(worker, record));
    }

    /// Tells the model about a worker whose lease has been renewed for the first time.
    pub(crate) fn worker_renewed(&mut self, worker: &WorkerId, state: &FleetState) {
        self.undecided = true;
        if let Some(record) = state.workers().get(worker) {
            self.sync_worker(worker, record);
        }
    }

    /// Takes committed changes into account.
    pub(crate) fn absorb(
        &mut self,
        now: Duration,
        wall: SystemTime,
        state: &FleetState,
        facts: &[FleetFact],
    ) {
        for fact in facts {
            self.undecided = true;
            self.absorb_one(now, wall, state, fact);
        }
    }

    fn absorb_one(
        &mut self,
        now: Duration,
        wall: SystemTime,
        state: &FleetState,
        fact: &FleetFact,
    ) {
        match fact {
            FleetFact::DeclarationsChanged => {
                self.revision_at = now;
                self.terms.clear();
                self.model.set_policy(planner::sched_policy(state));
                self.model.set_quotas(planner::team_quotas(state));
                self.model.set_service_policies(planner::service_policies(state, wall));
            }
            FleetFact::WorkerChanged(worker) => self.worker_changed(now, wall, state, worker),
            FleetFact::WorkerLost(worker) => {
                self.leases.forget(worker);
                self.stream_of(worker).restart();
                self.worker_changed(now, wall, state, worker);
            }
            FleetFact::WorkerForgotten(worker) => {
                self.model.remove_worker(worker);
                self.streams.swap_remove(worker);
                self.terms.swap_remove(worker);
            }
            FleetFact::EndpointsChanged(worker) => {
                self.table.set_worker(worker, state.workers().get(worker));
            }
            FleetFact::TaskWaiting(task) => {
                if let Some(job) = state.jobs().get(&task.job) {
                    self.enqueue(now, job, task.clone());
                }
            }
            FleetFact::TaskWithdrawn(task) => self.model.withdraw(task),
            FleetFact::TaskPlaced(task) | FleetFact::TaskStopping(task) => {
                self.hold(now, state, task);
                self.command(state, task);
            }
            FleetFact::TaskThrottled(task) => self.command(state, task),
            FleetFact::TaskReleased { task, attempt, worker, end } => {
                self.model.outcome(now, task, *attempt, *end);
                self.model.release(now, task, *attempt);
                self.stream_of(worker).forget(task, *attempt);
            }
            FleetFact::JobUnparked(job) => self.model.unpark(job),
            FleetFact::TaskStarted(_) | FleetFact::TaskEnded(..) | FleetFact::JobParked(_) => {}
        }
    }

    fn worker_changed(
        &mut self,
        now: Duration,
        wall: SystemTime,
        state: &FleetState,
        worker: &WorkerId,
    ) {
        self.terms.swap_remove(worker);
        let Some(record) = state.workers().get(worker) else { return };
        if !record.lost {
            let terms = self.terms_of(worker, wall, state);
            let expires_at = now + terms.wait_for(terms.length);
            self.leases.watch(worker.clone(), record.incarnation, expires_at);
        }
        self.sync_worker(worker, record);
        self.table.set_worker(worker, Some(record));
    }

    fn hold(&mut self, now: Duration, state: &FleetState, task: &TaskId) {
        let job = state.jobs().get(&task.job);
        if let Some(held) = job.and_then(|job| planner::held_task(job, task.clone())) {
            self.model.hold(now, held);
        }
    }

    fn command(&mut self, state: &FleetState, task: &TaskId) {
        let Some(job) = state.jobs().get(&task.job) else { return };
        let Some(life) = job.tasks.get(task.index.0 as usize).map(|record| &record.life) else {
            return;
        };
        let (Some(seat), attempt) = (life.seat(), life.attempt()) else { return };
        let Some(command) = planner::task_command(job, task.clone()) else { return };
        self.stream_of(&seat.worker).push(task, attempt, command);
    }

    /// What a worker with this cursor is to be told, and whether that is everything. A life of
    /// which the log does not know yet is told nothing, nor one that has not said yet which attempts
    /// of an earlier life it found.
    pub(crate) fn commands_for(
        &mut self,
        worker: &WorkerId,
        life: IncarnationNumber,
        cursor: CommandCursor,
        state: &FleetState,
    ) -> WorkerOrders {
        let record = state.workers().get(worker);
        let Some(record) = record.filter(|record| !record.lost && record.incarnation == life)
        else {
            return WorkerOrders { cursor, complete: false, commands: Vec::new() };
        };
        let stream = self.stream_of(worker);
        let undecided = record.held.iter().any(|task| {
            let life_cycle = state.jobs().task(task).map(|record| &record.life);
            life_cycle.is_some_and(|found| {
                !matches!(found, TaskLife::Stopping(_))
                    && stream.belongs_to_other(life, task, found.attempt())
            })
        });
        if undecided {
            return WorkerOrders { cursor, complete: false, commands: Vec::new() };
        }
        let (complete, commands) = match stream.after(cursor) {
            StreamReply::Delta(commands) => (false, commands),
            StreamReply::Everything => (true, everything(record, life, stream, state)),
        };
        for command in &commands {
            if let TaskCommand::Run { assignment, .. } = command {
                stream.note_told(&assignment.task, assignment.attempt, life);
            }
        }
        WorkerOrders { cursor: stream.cursor(), complete, commands }
    }

    /// Learns from a measurement.
    pub(crate) fn sample(&mut self, received_at: Duration, worker: &WorkerId, usage: UsageReport) {
        let tasks = usage.tasks.into_iter().map(|task| TaskSample {
            task: task.task,
            attempt: task.attempt,
            used: task.used,
            speed_permille: task.speed_permille,
        });
        let services = usage.services.into_iter().map(|service| ServiceSample {
            service: service.service,
            requests: service.requests,
            p99: service.p99,
            mean: service.mean,
        });
        let sample = WorkerSample {
            worker: worker.clone(),
            taken_at: received_at.saturating_sub(usage.age),
            tasks: tasks.collect(),
            services: services.collect(),
        };
        self.model.sample(received_at, &sample);
    }
}

/// Everything that is to be on a worker. An attempt that is to stop is named as one to run first:
/// a worker that was never told of it learns of it, never starts it and confirms the stop. To a
/// later life than the one that was told of it this would hide an attempt that the platform still
/// runs.
fn everything(
    record: &WorkerRecord,
    life: IncarnationNumber,
    stream: &CommandStream,
    state: &FleetState,
) -> Vec<TaskCommand> {
    let mut commands = Vec::new();
    for task in &record.held {
        let Some(job) = state.jobs().get(&task.job) else { continue };
        let Some(command) = planner::task_command(job, task.clone()) else { continue };
        let attempt = state.jobs().task(task).map(|record| record.life.attempt());
        let own = attempt.is_some_and(|attempt| !stream.belongs_to_other(life, task, attempt));
        if own && !matches!(command, TaskCommand::Run { .. }) {
            commands.extend(planner::run_command(job, task.clone()));
        }
        commands.push(command);
    }
    commands
}
