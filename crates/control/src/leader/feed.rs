//! Keeps a leader's soft state in step with what is committed and measured.

use {
    super::{planner, LeaderState, StreamReply},
    crate::state::{FleetFact, FleetState, JobRecord, WorkerRecord},
    base::{TaskId, WorkerId},
    proto::messages::{CommandCursor, TaskCommand, UsageReport},
    sched::{ServiceSample, TaskSample, WorkerSample},
    std::time::{Duration, SystemTime},
};

impl LeaderState {
    /// Builds everything from the applied state. Every worker may hold a lease that an earlier
    /// leader gave it in its last moment.
    pub(super) fn rebuild(&mut self, now: Duration, wall: SystemTime, state: &FleetState) {
        self.model.set_quotas(planner::team_quotas(state));
        let bound = state.declarations().lease_bound();
        for (worker, record) in state.workers().iter() {
            self.sync_worker(worker, record);
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
                    self.model.hold(now, held);
                } else {
                    self.enqueue(now, job, task);
                }
            }
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
        let leased = self.leases.is_held(worker);
        self.model.set_worker(planner::worker_view(worker, record, leased));
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

    /// What a worker with this cursor is to be told, and whether that is everything.
    pub(crate) fn commands_for(
        &mut self,
        worker: &WorkerId,
        cursor: CommandCursor,
        state: &FleetState,
    ) -> (bool, Vec<TaskCommand>) {
        if let StreamReply::Delta(commands) = self.stream_of(worker).after(cursor) {
            return (false, commands);
        }
        let held = state.workers().get(worker).into_iter().flat_map(|record| &record.held);
        let command =
            |task: &TaskId| planner::task_command(state.jobs().get(&task.job)?, task.clone());
        (true, held.filter_map(command).collect())
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
