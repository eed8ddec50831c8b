//! A small fake of the workers: tasks that slow each other, reports that lag, commits, starts and
//! checkpoints that take time.

use {
    crate::{
        baseline::{TaskDecider, Variant},
        desk::{Desk, Experiment, JobPlan, Mishap, WORKERS},
        effects::{batch_slowdown, service_slowdown, Activity, CLASSES},
        executor::{FakeExecutor, SERVICE_MEAN, SLOTS},
        outcome::RunOutcome,
    },
    base::{AttemptNumber, CpuMillis, ResourceVector, SeededRandom, TaskId, TaskIndex, WorkerId},
    sched::{
        AttemptEnd, HeldTask, SchedDecision, SchedPolicy, ServiceSample, SpreadRule, TaskPriority,
        TaskSample, WaitingTask, WorkerSample, WorkerView,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The step of the fake, in seconds.
const STEP: f64 = 0.1;
const COMMIT_DELAY: f64 = 0.1;
const START_DELAY: f64 = 0.5;
const CHECKPOINT_DELAY: f64 = 1.5;
/// Work that is done again after an eviction, in seconds.
const RESTART_COST: f64 = 5.0;
const LEASE: f64 = 10.0;
const NETWORK: f64 = 0.006;
const SERVICE: &str = "booking";

/// Something that takes effect later. Ordered by time, then by number.
enum Delayed {
    Commit(SchedDecision),
    Stopped(TaskId, AttemptNumber),
    Lost(TaskId, AttemptNumber),
    Report(WorkerSample),
}

struct RunningTask {
    held: HeldTask,
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
    activity: Activity,
}

pub struct FakeFleet<'a> {
    desk: &'a Desk,
    experiment: &'a Experiment,
    policy: SchedPolicy,
    decider: Box<dyn TaskDecider>,
    now: f64,
    workers: Vec<FakeWorker>,
    running: BTreeMap<TaskId, RunningTask>,
    tasks: BTreeMap<TaskId, TaskState>,
    delayed: BTreeMap<(u64, u64), Delayed>,
    sequence: u64,
    random: SeededRandom,
    load: f64,
    next_job: usize,
    fired: Vec<(bool, bool)>,
    pub outcome: RunOutcome,
}

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

impl<'a> FakeFleet<'a> {
    pub fn new(desk: &'a Desk, experiment: &'a Experiment, variant: Variant, seed: u64) -> Self {
        let policy = variant.policy(desk.policy.clone());
        let worker = |index: usize| FakeWorker {
            id: format!("w{index:02}").parse().unwrap(),
            alive: true,
            fails_all: false,
            executor: FakeExecutor::new(),
            utilisation: experiment.load,
            activity: [0.0; CLASSES.len()],
        };
        let mut fleet = Self {
            desk,
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
            fired: vec![(false, false); experiment.mishaps.len()],
            outcome: RunOutcome::default(),
        };
        (0..WORKERS).for_each(|index| fleet.join(index));
        fleet
    }

    pub fn run(mut self) -> RunOutcome {
        let steps = (self.experiment.minutes * 60.0 / STEP) as u64;
        for step in 1..=steps {
            self.now = step as f64 * STEP;
            self.submit_due();
            self.cause_mishaps();
            self.take_effect();
            self.work();
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

    /// A worker joins with its executor on it.
    fn join(&mut self, index: usize) {
        self.workers[index].alive = true;
        self.workers[index].executor = FakeExecutor::new();
        self.decider.set_worker(self.view(index, true));
        let waiting = WaitingTask {
            task: TaskId::new("executor".parse().unwrap(), TaskIndex(index as u32)),
            team: "desk".parse().unwrap(),
            class: "desk".parse().unwrap(),
            priority: TaskPriority::LatencyCritical,
            declared: self.desk.executor,
            run_time: None,
            service: Some(SERVICE.parse().unwrap()),
            spread: SpreadRule::default(),
            checkpoint: None,
        };
        let attempt = AttemptNumber(self.now as u32 + 1);
        let worker = self.workers[index].id.clone();
        let reserved = self.desk.executor;
        let held = HeldTask { waiting, attempt, worker, reserved, stopping: false };
        self.decider.hold(at(self.now), held);
    }

    fn view(&self, index: usize, accepting: bool) -> WorkerView {
        WorkerView {
            worker: self.workers[index].id.clone(),
            data_centre: self.desk.site(index).parse().unwrap(),
            rack: format!("r{}", self.desk.rack(index)).parse().unwrap(),
            capacity: self.desk.capacity(),
            accepting,
        }
    }

    fn later(&mut self, delay: f64, what: Delayed) {
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

    fn cause_mishaps(&mut self) {
        for (index, mishap) in self.experiment.mishaps.iter().enumerate() {
            let (started, ended) = self.fired[index];
            let (from, to) = match mishap {
                Mishap::Lose { from, to, .. } | Mishap::FailAll { from, to, .. } => (*from, *to),
                Mishap::CancelAll { at } | Mishap::Merger { at } => (*at, f64::MAX),
            };
            if !started && self.now >= from {
                self.fired[index].0 = true;
                self.begin(mishap);
            }
            if !ended && self.now >= to {
                self.fired[index].1 = true;
                self.end(mishap);
            }
        }
    }

    fn begin(&mut self, mishap: &Mishap) {
        match mishap {
            Mishap::Lose { workers, .. } => workers.iter().for_each(|worker| self.lose(*worker)),
            Mishap::FailAll { worker, .. } => self.workers[*worker].fails_all = true,
            Mishap::CancelAll { .. } => self.cancel_all(),
            Mishap::Merger { .. } => {
                self.load *= 2.0;
                self.policy.relief_above_percent = self.policy.relief_above_percent * 3 / 4;
                self.decider.set_policy(self.policy.clone());
            }
        }
    }

    fn end(&mut self, mishap: &Mishap) {
        match mishap {
            Mishap::Lose { workers, .. } => workers.iter().for_each(|worker| self.join(*worker)),
            Mishap::FailAll { worker, .. } => self.workers[*worker].fails_all = false,
            Mishap::CancelAll { .. } | Mishap::Merger { .. } => {}
        }
    }

    /// The worker is gone at once; its reservations are released when its lease has expired.
    fn lose(&mut self, index: usize) {
        self.workers[index].alive = false;
        let id = self.workers[index].id.clone();
        self.decider.set_worker(self.view(index, false));
        let lost: Vec<(TaskId, AttemptNumber)> = self
            .running
            .iter_mut()
            .filter(|(_, running)| running.held.worker == id)
            .map(|(task, running)| {
                running.frozen = true;
                (task.clone(), running.held.attempt)
            })
            .collect();
        for (task, attempt) in lost {
            self.later(LEASE, Delayed::Lost(task, attempt));
        }
        let executor = TaskId::new("executor".parse().unwrap(), TaskIndex(index as u32));
        self.decider.end(at(self.now), &executor, AttemptNumber(1), AttemptEnd::Stopped);
    }

    fn cancel_all(&mut self) {
        let tasks: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for task in tasks {
            match self.running.get_mut(&task) {
                Some(running) => {
                    running.held.stopping = true;
                    running.frozen = true;
                    let held = running.held.clone();
                    let attempt = held.attempt;
                    self.decider.hold(at(self.now), held);
                    self.later(CHECKPOINT_DELAY, Delayed::Stopped(task.clone(), attempt));
                }
                None => self.decider.withdraw(&task),
            }
            self.tasks.remove(&task);
            self.outcome.cancelled += 1;
        }
    }

    fn take_effect(&mut self) {
        let now = (self.now * 1000.0) as u64;
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            match entry.remove() {
                Delayed::Commit(decision) => self.commit(decision),
                Delayed::Stopped(task, attempt) => {
                    self.leave(&task, attempt, AttemptEnd::Stopped, 0.0);
                }
                Delayed::Lost(task, attempt) => {
                    self.outcome.lost += 1;
                    self.leave(&task, attempt, AttemptEnd::Stopped, f64::MAX);
                }
                Delayed::Report(sample) => self.decider.sample(at(self.now), &sample),
            }
        }
    }

    fn commit(&mut self, decision: SchedDecision) {
        match decision {
            SchedDecision::Place { task, worker, reserve, .. } => self.place(task, worker, reserve),
            SchedDecision::Throttle { task, attempt, percent, .. } => {
                self.outcome.throttles += 1;
                if let Some(running) = self.running.get_mut(&task) {
                    if running.held.attempt == attempt {
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
        let held = HeldTask { waiting, attempt, worker, reserved, stopping: false };
        self.decider.hold(at(self.now), held.clone());
        let running = RunningTask {
            held,
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
            .filter(|running| running.held.worker == *id)
            .map(|running| running.held.reserved)
            .sum();
        if !(batch + self.desk.executor).fits_in(&self.desk.capacity()) {
            self.outcome.overcommits += 1;
        }
    }

    fn evict(&mut self, task: TaskId, attempt: AttemptNumber) {
        let Some(running) = self.running.get_mut(&task) else {
            return;
        };
        if running.held.attempt != attempt || running.held.stopping || running.frozen {
            return;
        }
        running.held.stopping = true;
        self.outcome.evictions += 1;
        let held = running.held.clone();
        self.decider.hold(at(self.now), held);
        self.later(CHECKPOINT_DELAY, Delayed::Stopped(task, attempt));
    }

    /// An attempt is over. `lost_work` is the work, in seconds, that its checkpoint lacks.
    fn leave(&mut self, task: &TaskId, attempt: AttemptNumber, end: AttemptEnd, lost_work: f64) {
        if self.running.get(task).is_none_or(|running| running.held.attempt != attempt) {
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

    /// Lets every task make the progress that its neighbours leave it.
    fn work(&mut self) {
        let mut used = vec![ResourceVector::ZERO; WORKERS];
        for worker in &mut self.workers {
            worker.activity = [0.0; CLASSES.len()];
        }
        let now = self.now;
        let places: BTreeMap<WorkerId, usize> =
            self.workers.iter().enumerate().map(|(index, w)| (w.id.clone(), index)).collect();
        for running in self.running.values().filter(|running| running.starts <= now) {
            let (index, plan) = (places[&running.held.worker], &self.experiment.jobs[running.plan]);
            let cores = active_cores(running, plan);
            self.workers[index].activity[plan.class as usize] += cores / self.desk.cores as f64;
            used[index] += plan.needs;
        }
        let mut ended = Vec::new();
        for (task, running) in &mut self.running {
            if running.frozen || running.starts > now {
                continue;
            }
            let plan = &self.experiment.jobs[running.plan];
            let worker = &self.workers[places[&running.held.worker]];
            let cores = active_cores(running, plan);
            let own = cores / self.desk.cores as f64;
            let slowdown = batch_slowdown(&worker.activity, plan.class, own) / 100.0;
            let contention = contention(worker, self.desk);
            let alone = cores * 1000.0 / plan.needs.cpu.0 as f64;
            let speed = alone / (1.0 + slowdown) / contention;
            running.sampled_speed = speed;
            if (plan.fails || worker.fails_all) && now > running.starts + 1.0 {
                ended.push((task.clone(), running.held.attempt, AttemptEnd::Failed));
                continue;
            }
            if let Some(state) = self.tasks.get_mut(task) {
                state.done += speed * STEP;
                if state.done >= plan.work && !running.held.stopping {
                    ended.push((task.clone(), running.held.attempt, AttemptEnd::Finished));
                }
            }
        }
        self.note_memory(&used);
        for (task, attempt, end) in ended {
            if end == AttemptEnd::Failed {
                self.outcome.failures += 1;
            }
            let lost_work = if end == AttemptEnd::Failed { f64::MAX } else { 0.0 };
            self.leave(&task, attempt, end, lost_work);
        }
        self.slow_executors();
    }

    /// Counts the time during which tasks truly use more memory than their worker has.
    fn note_memory(&mut self, used: &[ResourceVector]) {
        let room = self.desk.memory.saturating_sub(self.desk.executor.memory);
        let over = used.iter().filter(|used| used.memory > room).count();
        self.outcome.overused += over as f64 * STEP;
    }

    fn slow_executors(&mut self) {
        for worker in &mut self.workers {
            let slowdown =
                service_slowdown(&worker.activity, worker.utilisation) * self.experiment.strength;
            let contention = contention(worker, self.desk);
            worker.executor.factor = (1.0 + slowdown / 100.0) * contention;
        }
    }

    /// Requests arrive at random and go to the less loaded of two random executors.
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
                if running.held.worker != self.workers[index].id || running.starts > self.now {
                    continue;
                }
                let cpu = CpuMillis((active_cores(running, plan) * 1000.0) as u64);
                tasks.push(TaskSample {
                    task: task.clone(),
                    attempt: running.held.attempt,
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
            self.later(self.experiment.report_lag, Delayed::Report(sample));
        }
    }

    fn decide(&mut self) {
        let started = std::time::Instant::now();
        let decisions = self.decider.decide(at(self.now));
        self.outcome.decide_time += started.elapsed().as_secs_f64();
        for decision in decisions {
            self.later(COMMIT_DELAY, Delayed::Commit(decision));
        }
    }
}

/// The cores that a task keeps busy: what it needs, or less when it is throttled.
fn active_cores(running: &RunningTask, plan: &JobPlan) -> f64 {
    let needs = plan.needs.cpu.0 as f64 / 1000.0;
    if running.throttle >= 1.0 {
        return needs;
    }
    needs.min(running.throttle * running.held.reserved.cpu.0 as f64 / 1000.0)
}

/// The factor by which everything on a worker slows when its processors are oversubscribed.
fn contention(worker: &FakeWorker, desk: &Desk) -> f64 {
    let executor = worker.utilisation * desk.executor.cpu.0 as f64 / 1000.0 / desk.cores as f64;
    let demand: f64 = worker.activity.iter().sum::<f64>() + executor;
    demand.max(1.0)
}
