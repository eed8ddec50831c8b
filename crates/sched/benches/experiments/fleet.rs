//! A small fake of the workers, with tasks that slow each other, delayed reports, and commits,
//! starts and checkpoints that take time.

use {
    crate::{
        baseline::{TaskDecider, Variant},
        deployment::{Deployment, Disturbance, Experiment, JobPlan, WORKERS},
        effects::{batch_slowdown, service_slowdown, ClassActivity, CLASSES},
        executor::{FakeExecutor, SERVICE_MEAN, SLOTS},
        outcome::RunOutcome,
    },
    base::{AttemptNumber, CpuMillis, ResourceVector, SeededRandom, TaskId, TaskIndex, WorkerId},
    sched::{
        AttemptEnd, ReservedTask, SchedDecision, SchedPolicy, ServiceSample, SpreadRule,
        TaskPriority, TaskSample, WaitingTask, WorkerSample, WorkerView,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The time step of the simulation, in seconds.
const STEP: f64 = 0.1;
const COMMIT_DELAY: f64 = 0.1;
const START_DELAY: f64 = 0.5;
const CHECKPOINT_DELAY: f64 = 1.5;
/// Work that is repeated after an eviction, in seconds.
const RESTART_COST: f64 = 5.0;
const LEASE_EXPIRY: f64 = 10.0;
const NETWORK: f64 = 0.006;
const SERVICE: &str = "booking";

/// A delayed effect. Effects are ordered by time, then by sequence number.
enum DelayedEffect {
    Commit(SchedDecision),
    Stopped(TaskId, AttemptNumber),
    Lost(TaskId, AttemptNumber),
    Report(WorkerSample),
}

struct RunningTask {
    reservation: ReservedTask,
    plan: usize,
    starts: f64,
    throttle: f64,
    frozen: bool,
    sampled_speed: f64,
}

struct TaskState {
    plan: usize,
    done: f64,
    attempt: u32,
    waiting: WaitingTask,
}

struct FakeWorker {
    id: WorkerId,
    alive: bool,
    fails_all: bool,
    executor: FakeExecutor,
    utilisation: f64,
    activity: ClassActivity,
}

pub struct FakeFleet<'a> {
    deployment: &'a Deployment,
    experiment: &'a Experiment,
    policy: SchedPolicy,
    decider: Box<dyn TaskDecider>,
    now: f64,
    workers: Vec<FakeWorker>,
    running: BTreeMap<TaskId, RunningTask>,
    tasks: BTreeMap<TaskId, TaskState>,
    delayed: BTreeMap<(u64, u64), DelayedEffect>,
    sequence: u64,
    random: SeededRandom,
    load: f64,
    next_job: usize,
    applied: Vec<(bool, bool)>,
    pub outcome: RunOutcome,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl<'a> FakeFleet<'a> {
    pub fn new(
        deployment: &'a Deployment,
        experiment: &'a Experiment,
        variant: Variant,
        seed: u64,
    ) -> Self {
        let policy = variant.policy(deployment.policy.clone());
        let worker = |index: usize| FakeWorker {
            id: format!("w{index:02}").parse().unwrap(),
            alive: true,
            fails_all: false,
            executor: FakeExecutor::new(),
            utilisation: experiment.load,
            activity: [0.0; CLASSES.len()],
        };
        let mut fleet = Self {
            deployment,
            experiment,
            decider: variant.decider(policy.clone(), seed),
            policy,
            now: 0.0,
            workers: (0..WORKERS).map(worker).collect(),
            running: BTreeMap::new(),
            tasks: BTreeMap::new(),
            delayed: BTreeMap::new(),
            sequence: 0,
            random: SeededRandom::new(seed),
            load: experiment.load,
            next_job: 0,
            applied: vec![(false, false); experiment.disturbances.len()],
            outcome: RunOutcome::default(),
        };
        (0..WORKERS).for_each(|index| fleet.add_worker(index));
        fleet
    }

    pub fn run(mut self) -> RunOutcome {
        let steps = (self.experiment.minutes * 60.0 / STEP) as u64;
        for step in 1..=steps {
            self.now = step as f64 * STEP;
            self.submit_due();
            self.apply_disturbances();
            self.apply_due_effects();
            self.advance_tasks();
            self.answer_requests();
            if step % 10 == 0 {
                self.report_all();
            }
            if step % 2 == 0 {
                self.decide();
            }
        }
        self.outcome.minutes = self.experiment.minutes;
        self.outcome.left = self.tasks.len() as u32;
        self.outcome
    }

    /// Adds a worker with its executor.
    fn add_worker(&mut self, index: usize) {
        self.workers[index].alive = true;
        self.workers[index].executor = FakeExecutor::new();
        self.decider.set_worker(self.view(index, true));
        let waiting = WaitingTask {
            task: TaskId::new("executor".parse().unwrap(), TaskIndex(index as u32)),
            team: "desk".parse().unwrap(),
            class: "desk".parse().unwrap(),
            priority: TaskPriority::LatencyCritical,
            declared: self.deployment.executor,
            run_time: None,
            service: Some(SERVICE.parse().unwrap()),
            spread: SpreadRule::default(),
            checkpoint: None,
        };
        let attempt = AttemptNumber(self.now as u32 + 1);
        let worker = self.workers[index].id.clone();
        let reserved = self.deployment.executor;
        let reservation = ReservedTask { waiting, attempt, worker, reserved, stopping: false };
        self.decider.record_reservation(at(self.now), reservation);
    }

    fn view(&self, index: usize, accepting: bool) -> WorkerView {
        WorkerView {
            worker: self.workers[index].id.clone(),
            data_centre: self.deployment.data_centre(index).parse().unwrap(),
            rack: format!("r{}", self.deployment.rack(index)).parse().unwrap(),
            capacity: self.deployment.capacity(),
            accepting,
        }
    }

    fn schedule(&mut self, delay: f64, what: DelayedEffect) {
        self.sequence += 1;
        let due = ((self.now + delay) * 1000.0) as u64;
        self.delayed.insert((due, self.sequence), what);
    }

    fn submit_due(&mut self) {
        while let Some(plan) = self.experiment.jobs.get(self.next_job) {
            if plan.at > self.now {
                return;
            }
            self.submit(self.next_job, plan);
            self.next_job += 1;
        }
    }

    fn submit(&mut self, index: usize, plan: &JobPlan) {
        for task in 0..plan.tasks {
            let waiting = WaitingTask {
                task: TaskId::new(format!("j{index}").parse().unwrap(), TaskIndex(task)),
                team: "batch".parse().unwrap(),
                class: plan.class.name().parse().unwrap(),
                priority: plan.priority,
                declared: plan.declared,
                run_time: Some(plan.declared_time),
                service: None,
                spread: SpreadRule::default(),
                checkpoint: None,
            };
            self.decider.enqueue(at(self.now), waiting.clone());
            let state = TaskState { plan: index, done: 0.0, attempt: 0, waiting };
            self.tasks.insert(state.waiting.task.clone(), state);
        }
    }

    fn apply_disturbances(&mut self) {
        for (index, disturbance) in self.experiment.disturbances.iter().enumerate() {
            let (started, ended) = self.applied[index];
            let (from, to) = match disturbance {
                Disturbance::Lose { from, to, .. } | Disturbance::FailAll { from, to, .. } => {
                    (*from, *to)
                }
                Disturbance::CancelAll { at } | Disturbance::Merger { at } => (*at, f64::MAX),
            };
            if !started && self.now >= from {
                self.applied[index].0 = true;
                self.begin(disturbance);
            }
            if !ended && self.now >= to {
                self.applied[index].1 = true;
                self.end(disturbance);
            }
        }
    }

    fn begin(&mut self, disturbance: &Disturbance) {
        match disturbance {
            Disturbance::Lose { workers, .. } => {
                workers.iter().for_each(|worker| self.remove_worker(*worker))
            }
            Disturbance::FailAll { worker, .. } => self.workers[*worker].fails_all = true,
            Disturbance::CancelAll { .. } => self.cancel_all(),
            Disturbance::Merger { .. } => {
                self.load *= 2.0;
                self.policy.relief_above_percent = self.policy.relief_above_percent * 3 / 4;
                self.decider.set_policy(self.policy.clone());
            }
        }
    }

    fn end(&mut self, disturbance: &Disturbance) {
        match disturbance {
            Disturbance::Lose { workers, .. } => {
                workers.iter().for_each(|worker| self.add_worker(*worker))
            }
            Disturbance::FailAll { worker, .. } => self.workers[*worker].fails_all = false,
            Disturbance::CancelAll { .. } | Disturbance::Merger { .. } => {}
        }
    }

    /// Removes a worker at once; its reservations are released when its lease expires.
    fn remove_worker(&mut self, index: usize) {
        self.workers[index].alive = false;
        let id = self.workers[index].id.clone();
        self.decider.set_worker(self.view(index, false));
        let lost: Vec<(TaskId, AttemptNumber)> = self
            .running
            .iter_mut()
            .filter(|(_, running)| running.reservation.worker == id)
            .map(|(task, running)| {
                running.frozen = true;
                (task.clone(), running.reservation.attempt)
            })
            .collect();
        for (task, attempt) in lost {
            self.schedule(LEASE_EXPIRY, DelayedEffect::Lost(task, attempt));
        }
        let executor = TaskId::new("executor".parse().unwrap(), TaskIndex(index as u32));
        self.decider.end(at(self.now), &executor, AttemptNumber(1), AttemptEnd::Stopped);
    }

    fn cancel_all(&mut self) {
        let tasks: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for task in tasks {
            match self.running.get_mut(&task) {
                Some(running) => {
                    running.reservation.stopping = true;
                    running.frozen = true;
                    let reservation = running.reservation.clone();
                    let attempt = reservation.attempt;
                    self.decider.record_reservation(at(self.now), reservation);
                    self.schedule(CHECKPOINT_DELAY, DelayedEffect::Stopped(task.clone(), attempt));
                }
                None => self.decider.withdraw(&task),
            }
            self.tasks.remove(&task);
            self.outcome.cancelled += 1;
        }
    }

    fn apply_due_effects(&mut self) {
        let now = (self.now * 1000.0) as u64;
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            match entry.remove() {
                DelayedEffect::Commit(decision) => self.commit(decision),
                DelayedEffect::Stopped(task, attempt) => {
                    self.end_attempt(&task, attempt, AttemptEnd::Stopped, 0.0);
                }
                DelayedEffect::Lost(task, attempt) => {
                    self.outcome.lost += 1;
                    self.end_attempt(&task, attempt, AttemptEnd::Stopped, f64::MAX);
                }
                DelayedEffect::Report(sample) => self.decider.record_sample(at(self.now), &sample),
            }
        }
    }

    fn commit(&mut self, decision: SchedDecision) {
        match decision {
            SchedDecision::Place { task, worker, reserve, .. } => self.place(task, worker, reserve),
            SchedDecision::Throttle { task, attempt, percent, .. } => {
                self.outcome.throttles += 1;
                if let Some(running) = self.running.get_mut(&task) {
                    if running.reservation.attempt == attempt {
                        running.throttle = f64::from(percent) / 100.0;
                    }
                }
            }
            SchedDecision::Evict { task, attempt, .. } => self.evict(task, attempt),
            SchedDecision::Park { job, .. } => {
                self.outcome.parked += 1;
                let parked: Vec<TaskId> =
                    self.tasks.keys().filter(|task| task.job == job).cloned().collect();
                for task in parked {
                    if !self.running.contains_key(&task) {
                        self.decider.withdraw(&task);
                        self.tasks.remove(&task);
                    }
                }
            }
            SchedDecision::Quarantine { .. } => self.outcome.quarantines += 1,
            SchedDecision::Restore { .. } => {}
        }
    }

    fn place(&mut self, task: TaskId, worker: WorkerId, reserved: ResourceVector) {
        let index = self.index(&worker);
        let Some(state) = self.tasks.get_mut(&task).filter(|_| !self.running.contains_key(&task))
        else {
            return;
        };
        if !self.workers[index].alive {
            self.decider.enqueue(at(self.now), state.waiting.clone());
            return;
        }
        state.attempt += 1;
        let attempt = AttemptNumber(state.attempt);
        let waiting = state.waiting.clone();
        if waiting.priority == TaskPriority::Urgent && state.attempt == 1 {
            let plan = &self.experiment.jobs[state.plan];
            self.outcome.urgent_waits.push(self.now + START_DELAY - plan.at);
        }
        let reservation = ReservedTask { waiting, attempt, worker, reserved, stopping: false };
        self.decider.record_reservation(at(self.now), reservation.clone());
        let running = RunningTask {
            reservation,
            plan: state.plan,
            starts: self.now + START_DELAY,
            throttle: 1.0,
            frozen: false,
            sampled_speed: 1.0,
        };
        self.running.insert(task, running);
        self.check_commitment(index);
    }

    fn check_commitment(&mut self, index: usize) {
        let id = &self.workers[index].id;
        let batch: ResourceVector = self
            .running
            .values()
            .filter(|running| running.reservation.worker == *id)
            .map(|running| running.reservation.reserved)
            .sum();
        if !(batch + self.deployment.executor).fits_in(&self.deployment.capacity()) {
            self.outcome.overcommits += 1;
        }
    }

    fn evict(&mut self, task: TaskId, attempt: AttemptNumber) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        if running.reservation.attempt != attempt || running.reservation.stopping || running.frozen
        {
            return;
        }
        running.reservation.stopping = true;
        self.outcome.evictions += 1;
        let reservation = running.reservation.clone();
        self.decider.record_reservation(at(self.now), reservation);
        self.schedule(CHECKPOINT_DELAY, DelayedEffect::Stopped(task, attempt));
    }

    /// Ends an attempt. `lost_work` is the work, in seconds, that is missing from its checkpoint.
    fn end_attempt(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        end: AttemptEnd,
        lost_work: f64,
    ) {
        if self.running.get(task).is_none_or(|running| running.reservation.attempt != attempt) {
            return;
        }
        self.running.remove(task);
        self.decider.end(at(self.now), task, attempt, end);
        let Some(state) = self.tasks.get_mut(task) else {
            return;
        };
        if end == AttemptEnd::Finished {
            self.tasks.remove(task);
            self.outcome.finished += 1;
            return;
        }
        let restart = if end == AttemptEnd::Stopped { RESTART_COST } else { 0.0 };
        state.done = (state.done - restart - lost_work).max(0.0);
        let waiting = state.waiting.clone();
        self.decider.enqueue(at(self.now), waiting);
    }

    fn index(&self, worker: &WorkerId) -> usize {
        self.workers.iter().position(|state| state.id == *worker).unwrap()
    }

    /// Advances every task by the progress that its neighbours allow.
    fn advance_tasks(&mut self) {
        let mut used = vec![ResourceVector::ZERO; WORKERS];
        for worker in &mut self.workers {
            worker.activity = [0.0; CLASSES.len()];
        }
        let now = self.now;
        let places: BTreeMap<WorkerId, usize> =
            self.workers.iter().enumerate().map(|(index, w)| (w.id.clone(), index)).collect();
        for running in self.running.values().filter(|running| running.starts <= now) {
            let (index, plan) =
                (places[&running.reservation.worker], &self.experiment.jobs[running.plan]);
            let cores = active_cores(running, plan);
            self.workers[index].activity[plan.class as usize] +=
                cores / self.deployment.cores as f64;
            used[index] += plan.needs;
        }
        let mut ended = Vec::new();
        for (task, running) in &mut self.running {
            if running.frozen || running.starts > now {
                continue;
            }
            let plan = &self.experiment.jobs[running.plan];
            let worker = &self.workers[places[&running.reservation.worker]];
            let cores = active_cores(running, plan);
            let own = cores / self.deployment.cores as f64;
            let slowdown = batch_slowdown(&worker.activity, plan.class, own) / 100.0;
            let contention = contention(worker, self.deployment);
            let alone = cores * 1000.0 / plan.needs.cpu.0 as f64;
            let speed = alone / (1.0 + slowdown) / contention;
            running.sampled_speed = speed;
            if (plan.fails || worker.fails_all) && now > running.starts + 1.0 {
                ended.push((task.clone(), running.reservation.attempt, AttemptEnd::Failed));
                continue;
            }
            if let Some(state) = self.tasks.get_mut(task) {
                state.done += speed * STEP;
                if state.done >= plan.work && !running.reservation.stopping {
                    ended.push((task.clone(), running.reservation.attempt, AttemptEnd::Finished));
                }
            }
        }
        self.record_memory(&used);
        for (task, attempt, end) in ended {
            if end == AttemptEnd::Failed {
                self.outcome.failures += 1;
            }
            let lost_work = if end == AttemptEnd::Failed { f64::MAX } else { 0.0 };
            self.end_attempt(&task, attempt, end, lost_work);
        }
        self.slow_executors();
    }

    /// Adds up the time during which tasks use more memory than their worker has.
    fn record_memory(&mut self, used: &[ResourceVector]) {
        let available = self.deployment.memory.saturating_sub(self.deployment.executor.memory);
        let over = used.iter().filter(|used| used.memory > available).count();
        self.outcome.overused += over as f64 * STEP;
    }

    fn slow_executors(&mut self) {
        for worker in &mut self.workers {
            let slowdown =
                service_slowdown(&worker.activity, worker.utilisation) * self.experiment.strength;
            let contention = contention(worker, self.deployment);
            worker.executor.factor = (1.0 + slowdown / 100.0) * contention;
        }
    }

    /// Simulates random request arrivals. Each request goes to the less loaded of two random
    /// executors.
    fn answer_requests(&mut self) {
        let alive: Vec<usize> = (0..WORKERS).filter(|index| self.workers[*index].alive).collect();
        let rate = self.load * (SLOTS * WORKERS) as f64 / SERVICE_MEAN;
        let mut arrival = self.now - STEP;
        loop {
            arrival += self.random.exponential(at(1.0 / rate)).as_secs_f64();
            if arrival >= self.now {
                return;
            }
            let (a, b) = (self.random.below(alive.len()), self.random.below(alive.len()));
            let (a, b) = (alive[a], alive[b]);
            let busier = self.workers[a].executor.backlog(arrival)
                > self.workers[b].executor.backlog(arrival);
            let chosen = if busier { b } else { a };
            let time = self.workers[chosen].executor.serve(arrival, &mut self.random) + NETWORK;
            self.outcome.answer(time);
        }
    }

    fn report_all(&mut self) {
        for index in 0..WORKERS {
            let worker = &mut self.workers[index];
            worker.utilisation = worker.executor.utilisation(1.0);
            let (requests, mean, p99) = worker.executor.report();
            if !worker.alive {
                continue;
            }
            let service = ServiceSample {
                service: SERVICE.parse().unwrap(),
                requests,
                p99: at(p99),
                mean: at(mean),
            };
            let mut tasks = Vec::new();
            for (task, running) in &self.running {
                let plan = &self.experiment.jobs[running.plan];
                if running.reservation.worker != self.workers[index].id || running.starts > self.now
                {
                    continue;
                }
                let cpu = CpuMillis((active_cores(running, plan) * 1000.0) as u64);
                tasks.push(TaskSample {
                    task: task.clone(),
                    attempt: running.reservation.attempt,
                    used: ResourceVector { cpu, ..plan.needs },
                    speed_permille: (running.sampled_speed * 1000.0) as u32,
                });
            }
            let sample = WorkerSample {
                worker: self.workers[index].id.clone(),
                taken_at: at(self.now),
                tasks,
                services: vec![service],
            };
            self.schedule(self.experiment.report_lag, DelayedEffect::Report(sample));
        }
    }

    fn decide(&mut self) {
        let started = std::time::Instant::now();
        let decisions = self.decider.decide(at(self.now));
        self.outcome.decide_time += started.elapsed().as_secs_f64();
        for decision in decisions {
            self.schedule(COMMIT_DELAY, DelayedEffect::Commit(decision));
        }
    }
}

/// Returns the cores that a task keeps busy: its needs, or less when it is throttled.
fn active_cores(running: &RunningTask, plan: &JobPlan) -> f64 {
    let needs = plan.needs.cpu.0 as f64 / 1000.0;
    if running.throttle >= 1.0 {
        return needs;
    }
    needs.min(running.throttle * running.reservation.reserved.cpu.0 as f64 / 1000.0)
}

/// Returns the factor by which everything on a worker slows when its processors are oversubscribed.
fn contention(worker: &FakeWorker, deployment: &Deployment) -> f64 {
    let executor =
        worker.utilisation * deployment.executor.cpu.0 as f64 / 1000.0 / deployment.cores as f64;
    let demand: f64 = worker.activity.iter().sum::<f64>() + executor;
    demand.max(1.0)
}
