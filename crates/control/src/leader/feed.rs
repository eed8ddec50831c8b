//! Updates a leader's in-memory state from committed changes and measurements.

use {
    super::{planner, CommandStream, LeaderState, StreamReply},
    crate::state::{FleetFact, FleetState, JobRecord, TaskLifecycle, WorkerRecord},
    base::{IncarnationNumber, TaskId, WorkerId},
    proto::messages::{CommandCursor, TaskCommand, ThrottleLevel, UsageReport},
    sched::{ReservedTask, ServiceSample, TaskSample, WorkerSample},
    std::time::{Duration, SystemTime},
};

/// The commands to send to a worker.
#[derive(Debug)]
pub(crate) struct CommandDelivery {
    /// The worker's position in the stream after these commands.
    pub(crate) cursor: CommandCursor,
    /// True if the worker has to stop every attempt that is not named.
    pub(crate) complete: bool,
    /// The commands.
    pub(crate) commands: Vec<TaskCommand>,
}

impl LeaderState {
    /// Builds the leader's state from the applied state. Any worker may hold a lease that the
    /// previous leader renewed just before it lost leadership.
    pub(super) fn rebuild(&mut self, now: Duration, wall: SystemTime, state: &FleetState) {
        self.model.set_quotas(planner::team_quotas(state));
        self.model.set_service_policies(planner::service_policies(state, wall));
        let bound = state.declarations().lease_bound();
        for (worker, record) in state.workers().iter() {
            self.sync_worker(worker, record);
            if record.failed_jobs.is_some() {
                self.model.restore_quarantine(now, worker);
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
                if let Some(held) = planner::reserving_task(job, task.clone()) {
                    self.rebuild_reservation(now, state, held);
                } else {
                    self.enqueue(now, job, task);
                }
            }
        }
    }

    /// Restores a reservation. The previous leader may already have sent the attempt to the worker.
    fn rebuild_reservation(&mut self, now: Duration, state: &FleetState, held: ReservedTask) {
        let (task, attempt) = (held.waiting.task.clone(), held.attempt);
        let worker = held.worker.clone();
        self.model.record_reservation(now, held);
        let placement = state.jobs().task(&task).and_then(|record| record.lifecycle.placement());
        if let Some(throttle) =
            placement.map(|placement| placement.throttle).filter(|t| *t < ThrottleLevel::FULL)
        {
            self.model.restore_throttle(now, &task, attempt, throttle.0);
        }
        if let Some(record) = state.workers().get(&worker) {
            self.stream_of(&worker).note_sent(&task, attempt, record.incarnation);
        }
    }

    fn enqueue(&mut self, now: Duration, job: &JobRecord, task: TaskId) {
        let record = job.tasks.get(task.index.0 as usize);
        if !record.is_some_and(|record| record.lifecycle.is_waiting()) {
            return;
        }
        if let Some(waiting) = planner::waiting_task(job, task) {
            self.model.enqueue(now, waiting);
        }
    }

    fn sync_worker(&mut self, worker: &WorkerId, record: &WorkerRecord) {
        self.model.set_worker(planner::worker_view(worker, record));
    }

    /// Updates the model when a worker's lease has been renewed for the first time in this term.
    pub(crate) fn worker_renewed(&mut self, worker: &WorkerId, state: &FleetState) {
        self.decision_due = true;
        if let Some(record) = state.workers().get(worker) {
            self.sync_worker(worker, record);
        }
    }

    /// Applies committed changes to the leader's state.
    pub(crate) fn apply_facts(
        &mut self,
        now: Duration,
        wall: SystemTime,
        state: &FleetState,
        facts: &[FleetFact],
    ) {
        for fact in facts {
            self.decision_due = true;
            self.apply_fact(now, wall, state, fact);
        }
    }

    fn apply_fact(
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
                self.update_reservation(now, state, task);
                self.command(state, task);
            }
            FleetFact::TaskThrottled(task) => self.command(state, task),
            FleetFact::TaskReleased { task, attempt, worker, end } => {
                self.model.record_outcome(now, task, *attempt, *end);
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

    fn update_reservation(&mut self, now: Duration, state: &FleetState, task: &TaskId) {
        let job = state.jobs().get(&task.job);
        if let Some(held) = job.and_then(|job| planner::reserving_task(job, task.clone())) {
            self.model.record_reservation(now, held);
        }
    }

    fn command(&mut self, state: &FleetState, task: &TaskId) {
        let Some(job) = state.jobs().get(&task.job) else { return };
        let Some(lifecycle) = job.tasks.get(task.index.0 as usize).map(|record| &record.lifecycle)
        else {
            return;
        };
        let (Some(placement), attempt) = (lifecycle.placement(), lifecycle.attempt()) else {
            return;
        };
        let Some(command) = planner::task_command(job, task.clone()) else { return };
        self.stream_of(&placement.worker).push(task, attempt, command);
    }

    /// Returns the commands for a worker at this cursor, and whether they are the complete list.
    /// Sends nothing to a lost worker, to an incarnation that the log does not know yet, or to one
    /// that has not reported yet which attempts of an earlier incarnation it found.
    pub(crate) fn commands_for(
        &mut self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        cursor: CommandCursor,
        state: &FleetState,
    ) -> CommandDelivery {
        let record = state.workers().get(worker);
        let Some(record) =
            record.filter(|record| !record.lost && record.incarnation == incarnation)
        else {
            return CommandDelivery { cursor, complete: false, commands: Vec::new() };
        };
        let stream = self.stream_of(worker);
        let awaits_report = record.reserved_tasks.iter().any(|task| {
            let lifecycle = state.jobs().task(task).map(|record| &record.lifecycle);
            lifecycle.is_some_and(|found| {
                !matches!(found, TaskLifecycle::Stopping(_))
                    && stream.was_sent_to_other(incarnation, task, found.attempt())
            })
        });
        if awaits_report {
            return CommandDelivery { cursor, complete: false, commands: Vec::new() };
        }
        let (complete, commands) = match stream.after(cursor) {
            StreamReply::Delta(commands) => (false, commands),
            StreamReply::Everything => (true, everything(record, incarnation, stream, state)),
        };
        for command in &commands {
            if let TaskCommand::Run { assignment, .. } = command {
                stream.note_sent(&assignment.task, assignment.attempt, incarnation);
            }
        }
        CommandDelivery { cursor: stream.cursor(), complete, commands }
    }

    /// Feeds a worker's measurements into the model.
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
        self.model.record_sample(received_at, &sample);
    }
}

/// Returns the complete list of commands for a worker. An attempt that has to stop is preceded by a
/// command to run it: a worker that never received the attempt then learns of it, never starts it
/// and confirms the stop. An incarnation later than the one that received the attempt gets no such
/// run command, because it would hide an attempt that the platform still runs.
fn everything(
    record: &WorkerRecord,
    incarnation: IncarnationNumber,
    stream: &CommandStream,
    state: &FleetState,
) -> Vec<TaskCommand> {
    let mut commands = Vec::new();
    for task in &record.reserved_tasks {
        let Some(job) = state.jobs().get(&task.job) else { continue };
        let Some(command) = planner::task_command(job, task.clone()) else { continue };
        let attempt = state.jobs().task(task).map(|record| record.lifecycle.attempt());
        let own =
            attempt.is_some_and(|attempt| !stream.was_sent_to_other(incarnation, task, attempt));
        if own && !matches!(command, TaskCommand::Run { .. }) {
            commands.extend(planner::run_command(job, task.clone()));
        }
        commands.push(command);
    }
    commands
}
