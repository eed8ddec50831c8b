//! Tests of planning once the traffic has ended: a job with nothing running may not go on waiting
//! while the service has free capacity for it.

mod fixtures;

use {
    base::SeededRandom,
    fixtures::fleet_config,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        f64::consts::TAU,
        sync::Arc,
        time::Duration,
    },
    workflow::{
        job::{JobKey, JobSpec, RunNumber, StepSpec, TaskDemand, TaskKey, WorkerIncarnation},
        message::WorkerReport,
        plan::{
            BestEffortShare, CallerEstimates, DurationTable, ImageName, InterferenceTable,
            PlacementPlanner, PlanInputs, PlanTime, SuspectTable, WorkerTable, WorkerView,
        },
        state::{
            CommandBatch, CommandOutcome, EndKind, FlowCommand, FlowState, JobRecord, Submission,
            TaskPhase,
        },
    },
};

const CORES: u64 = 8;
const MEMORY_MB: u64 = 32_000;
const PASS: Duration = Duration::from_millis(100);
/// The longest time for which a job may wait although it could run. Users count three seconds.
const WAIT_LIMIT: Duration = Duration::from_millis(2500);
/// Reserved share of a service's processors from which a job may wait.
const BUSY_SHARE: f64 = 0.5;
/// How many times over a job's tasks must fit for it to count as able to run.
const ROOM_FACTOR: u64 = 2;
/// The headroom that a whole machine of best-effort tasks takes.
const PRESSURE: f64 = 1.5;
/// The period of the load of serving tasks.
const SWING_PERIOD: Duration = Duration::from_secs(11);

/// The headroom of latency-critical tasks that leave none to others.
const NO_SPARE: f64 = 0.9;
/// A label of every third worker.
const LABEL: &str = "large";
const LABELLED_EACH: usize = 3;
const LONG: Duration = Duration::from_secs(60);

fn incarnation(number: usize, started_ms: u64) -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from(format!("e{number}")), started_ms }
}

fn usable_worker(worker: WorkerIncarnation) -> WorkerView {
    let mut view = WorkerView::new(WorkerReport {
        worker,
        service: "s".to_owned(),
        data_centre: "north".to_owned(),
        capacity: TaskDemand { cpu_milli: CORES * 1000, memory_mb: MEMORY_MB, accelerators: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        drain_left_ms: None,
        responsive: true,
    });
    view.listed = true;
    view.lease_until = Duration::MAX;
    view
}

fn step(count: u16, cores: u64) -> StepSpec {
    let demand = TaskDemand { cpu_milli: cores * 1000, memory_mb: 100, accelerators: 0 };
    StepSpec { count, demand, estimate_ms: 1000, ..StepSpec::default() }
}

fn one_a_worker(count: u16, cores: u64) -> StepSpec {
    StepSpec { per_worker_limit: Some(1), ..step(count, cores) }
}

fn best_effort(step: StepSpec) -> StepSpec {
    StepSpec { filler: true, image: Some(Arc::from("sort")), ..step }
}

fn serving(step: StepSpec) -> StepSpec {
    let (image, latency_target_ms) = (Some(Arc::from("web")), Some(20));
    StepSpec { lasting: true, image, latency_target_ms, ..step }
}

/// A fleet whose tasks run for the time that their job is given, and report latencies.
struct WaitingFleet {
    state: FlowState,
    workers: WorkerTable,
    learned: InterferenceTable,
    suspects: SuspectTable,
    durations: DurationTable,
    planner: PlacementPlanner,
    now: Duration,
    /// The headroom of a serving task with nothing beside it, and how far it swings.
    level: f64,
    swing: f64,
    spans: BTreeMap<JobKey, Duration>,
    begun: BTreeMap<(TaskKey, RunNumber), Duration>,
    /// The time since which each job could run and does not.
    waiting_since: BTreeMap<JobKey, Duration>,
}

impl WaitingFleet {
    fn new(workers: usize) -> Self {
        let mut fleet = Self {
            state: FlowState::default(),
            workers: WorkerTable::new(),
            learned: InterferenceTable::default(),
            suspects: SuspectTable::default(),
            durations: DurationTable::default(),
            planner: PlacementPlanner::default(),
            now: Duration::ZERO,
            level: 3.0,
            swing: 0.0,
            spans: BTreeMap::new(),
            begun: BTreeMap::new(),
            waiting_since: BTreeMap::new(),
        };
        (0..workers).for_each(|number| fleet.add_worker(number));
        fleet.apply(FlowCommand::Configure(fleet_config(1, 2)));
        fleet
    }

    fn apply(&mut self, command: FlowCommand) -> CommandOutcome {
        let batch = CommandBatch { elapsed_ms: 0, commands: vec![command] };
        self.state.apply(&batch)[0]
    }

    fn add_worker(&mut self, number: usize) {
        let worker = incarnation(number, 100 + self.now.as_millis() as u64);
        let executor = worker.executor.clone();
        let mut view = usable_worker(worker);
        if number.is_multiple_of(LABELLED_EACH) {
            view.report.labels.push(LABEL.to_owned());
        }
        self.workers.insert(executor.clone(), view);
        self.planner.touch(&executor);
    }

    /// Loses a worker with its runs.
    fn lose_worker(&mut self, number: usize) {
        let Some(lost) = self.workers.shift_remove(&incarnation(number, 0).executor) else {
            return;
        };
        for (task, run, worker) in self.placed_on(&lost.incarnation().clone()) {
            self.end(task, run, worker, EndKind::Expired);
        }
    }

    fn end(&mut self, task: TaskKey, run: RunNumber, worker: WorkerIncarnation, end: EndKind) {
        let checkpoint = String::new();
        self.apply(FlowCommand::End { task, run, worker, end, checkpoint });
    }

    fn placed_on(&self, at: &WorkerIncarnation) -> Vec<(TaskKey, RunNumber, WorkerIncarnation)> {
        let placed = self.state.placed_tasks(at);
        placed.map(|(task, run)| (task, run, at.clone())).collect()
    }

    fn submit(&mut self, key: u64, steps: &[StepSpec], span: Duration) {
        let spec = JobSpec { payload: String::new(), steps: steps.to_vec(), schedule: None };
        let submission = Submission {
            job: JobKey(key),
            queue: "q".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            attempt_limit: 100,
            spec: Arc::new(spec),
        };
        self.spans.insert(JobKey(key), span);
        self.apply(FlowCommand::Submit(submission));
    }

    /// Lets time pass until the next pass, and plans.
    fn pass(&mut self) {
        self.now += PASS;
        let elapsed_ms = PASS.as_millis() as u64;
        self.state.apply(&CommandBatch { elapsed_ms, commands: Vec::new() });
        self.end_due_runs();
        self.observe_latencies();
        self.plan();
        self.note_waiting();
    }

    fn pass_for(&mut self, span: Duration) {
        let passes = span.as_millis() / PASS.as_millis();
        (0..passes).for_each(|_| self.pass());
    }

    fn plan(&mut self) {
        let time = PlanTime { now: self.now, wall_ms: 0 };
        let placements = self.planner.plan(PlanInputs {
            state: &self.state,
            workers: &self.workers,
            learned: &self.learned,
            suspects: &self.suspects,
            durations: &self.durations,
            forecaster: &CallerEstimates,
            time,
        });
        for placement in placements {
            let (task, run, worker) = (placement.task, placement.run, placement.worker);
            let outcome = self.apply(FlowCommand::Place { task, run, worker });
            assert_eq!(outcome, CommandOutcome::Done, "{task}");
            self.begun.insert((task, run), self.now);
        }
    }

    fn end_due_runs(&mut self) {
        let at: Vec<WorkerIncarnation> = self.state.placed_incarnations().cloned().collect();
        for (task, run, worker) in at.iter().flat_map(|at| self.placed_on(at)).collect::<Vec<_>>() {
            let span = self.spans[&task.job];
            let due = self.begun.get(&(task, run)).is_some_and(|begun| *begun + span <= self.now);
            let lasting = self.spec_of(&task).is_some_and(|spec| spec.lasting);
            if due && !lasting {
                self.end(task, run, worker, EndKind::Done);
            }
        }
    }

    fn spec_of(&self, task: &TaskKey) -> Option<&StepSpec> {
        self.state.job(task.job)?.step_spec(task)
    }

    fn observe_latencies(&mut self) {
        let turn = TAU * self.now.as_secs_f64() / SWING_PERIOD.as_secs_f64();
        let level = self.level + self.swing * turn.sin();
        let mut seen = Vec::new();
        for worker in self.workers.values() {
            let mut shares: BTreeMap<ImageName, f64> = BTreeMap::new();
            let mut steps = BTreeMap::new();
            for (task, _) in self.state.placed_tasks(worker.incarnation()) {
                let Some(spec) = self.spec_of(&task) else { continue };
                if spec.filler {
                    let share = spec.demand.cpu_milli as f64 / (CORES * 1000) as f64;
                    *shares.entry(spec.image_name()).or_default() += share;
                } else if spec.latency_target_ms.is_some() {
                    steps.insert(task.step_key(), spec.image_name());
                }
            }
            let used: f64 = shares.values().sum();
            let share = |(image, share)| BestEffortShare { image, share };
            let shares: Vec<BestEffortShare> = shares.into_iter().map(share).collect();
            let tail_share = (level - PRESSURE * used).max(0.1).recip();
            seen.extend(steps.into_iter().map(|step| (step, shares.clone(), tail_share)));
        }
        for ((step, image), shares, tail_share) in seen {
            self.learned.observe(self.now, step, &image, &shares, tail_share);
        }
    }

    /// Returns what is reserved on a worker. Best-effort tasks reserve no processors.
    fn reserved_on(&self, worker: &WorkerView) -> TaskDemand {
        let mut reserved = TaskDemand::default();
        for (task, _) in self.state.placed_tasks(worker.incarnation()) {
            let Some(spec) = self.spec_of(&task) else { continue };
            reserved.memory_mb += spec.demand.memory_mb;
            reserved.cpu_milli += if spec.filler { 0 } else { spec.demand.cpu_milli };
        }
        reserved
    }

    fn usable_workers(&self) -> impl Iterator<Item = &WorkerView> {
        self.workers.values().filter(|worker| worker.accepts("s", self.now))
    }

    fn reserved_share(&self) -> f64 {
        let reserved = self.usable_workers().map(|worker| self.reserved_on(worker).cpu_milli);
        let capacity = self.usable_workers().map(|worker| worker.report.capacity.cpu_milli);
        reserved.sum::<u64>() as f64 / (capacity.sum::<u64>() as f64).max(1.0)
    }

    /// Returns whether the tasks of a step that have to start together fit twice over.
    fn has_room_for(&self, spec: &StepSpec) -> bool {
        let together = if spec.gang { u64::from(spec.count) } else { 1 };
        let (mut room, mut within_limit) = (0, 0);
        let labelled = |worker: &&WorkerView| {
            spec.required_label.as_ref().is_none_or(|label| worker.report.labels.contains(label))
        };
        for worker in self.usable_workers().filter(labelled) {
            let reserved = self.reserved_on(worker);
            let capacity = worker.report.capacity;
            let cores = capacity.cpu_milli.saturating_sub(reserved.cpu_milli);
            let memory = capacity.memory_mb.saturating_sub(reserved.memory_mb);
            let fits = (cores / spec.demand.cpu_milli).min(memory / spec.demand.memory_mb);
            room += fits;
            within_limit += fits.min(spec.per_worker_limit.map_or(u64::MAX, u64::from));
        }
        room >= ROOM_FACTOR * together && within_limit >= together
    }

    /// Returns whether a job has nothing running although one of its open steps has room.
    fn could_run(&self, record: &JobRecord) -> bool {
        if record.outcome.is_some() || record.placed > 0 {
            return false;
        }
        let steps = record.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().zip(&record.spec.steps);
            steps.filter(|(_, spec)| occurrence.is_open(spec))
        });
        let mut waiting = steps
            .filter(|(step, _)| step.tasks.iter().any(|task| task.phase == TaskPhase::Waiting));
        waiting.any(|(_, spec)| self.has_room_for(spec))
    }

    fn note_waiting(&mut self) {
        let busy = self.reserved_share() >= BUSY_SHARE;
        let jobs = self.state.active_jobs().filter(|(_, job)| !busy && self.could_run(job));
        let jobs: BTreeSet<JobKey> = jobs.map(|(key, _)| key).collect();
        self.waiting_since.retain(|key, _| jobs.contains(key));
        for key in jobs {
            self.waiting_since.entry(key).or_insert(self.now);
        }
    }

    /// Lets the fleet work without further jobs, and checks how long jobs wait.
    fn check_rest(&mut self, span: Duration, context: &str) {
        self.waiting_since.clear();
        for _ in 0..span.as_millis() / PASS.as_millis() {
            self.pass();
            let late = |(_, since): &(&JobKey, &Duration)| self.now - **since > WAIT_LIMIT;
            let late = self.waiting_since.iter().find(late).map(|(job, _)| *job);
            let spec = late.and_then(|job| self.state.job(job)).map(|job| &job.spec.steps);
            assert_eq!(late, None, "{context} could run and waits: {spec:?}");
        }
    }
}

const FLEET: u16 = 4;

/// Serving tasks without spare headroom on all workers, and best-effort tasks on most of the rest.
fn strained_fleet() -> WaitingFleet {
    let mut fleet = WaitingFleet::new(usize::from(FLEET));
    fleet.submit(1, &[serving(one_a_worker(FLEET, 3))], LONG);
    fleet.submit(2, &[best_effort(one_a_worker(FLEET, 3))], LONG);
    fleet.pass_for(Duration::from_secs(2));
    fleet.level = NO_SPARE;
    fleet.pass_for(Duration::from_secs(4));
    fleet
}

/// Best-effort tasks that use every processor.
fn filled_fleet() -> WaitingFleet {
    let mut fleet = WaitingFleet::new(usize::from(FLEET));
    fleet.submit(1, &[best_effort(one_a_worker(FLEET, CORES))], LONG);
    fleet.pass_for(Duration::from_secs(2));
    fleet
}

/// Lasting tasks that have lost their workers, and fit beside what runs on no other.
fn claimed_fleet() -> WaitingFleet {
    let count = usize::from(FLEET);
    let mut fleet = WaitingFleet::new(2 * count);
    let lasting = StepSpec { lasting: true, ..one_a_worker(FLEET, 6) };
    fleet.submit(1, &[lasting], LONG);
    fleet.pass();
    let free = fleet.workers.values().filter(|worker| fleet.reserved_on(worker).cpu_milli == 0);
    let free: BTreeSet<Arc<str>> =
        free.map(|worker| worker.incarnation().executor.clone()).collect();
    fleet.submit(2, &[one_a_worker(FLEET, 3)], LONG);
    fleet.pass();
    for number in 0..2 * count {
        if !free.contains(&incarnation(number, 0).executor) {
            fleet.lose_worker(number);
        }
    }
    fleet.pass_for(Duration::from_secs(5));
    fleet
}

// A job with nothing running waited on a fleet with most of its room free.
#[rstest]
#[case::strained_single(strained_fleet(), best_effort(step(1, 1)))]
#[case::strained_many(strained_fleet(), best_effort(step(8, 1)))]
#[case::strained_gang(strained_fleet(), StepSpec { gang: true, ..best_effort(step(4, 2)) })]
#[case::filled_single(filled_fleet(), best_effort(step(1, 1)))]
#[case::filled_many(filled_fleet(), best_effort(step(8, 1)))]
#[case::filled_gang(filled_fleet(), StepSpec { gang: true, ..best_effort(step(4, 2)) })]
#[case::claimed_single(claimed_fleet(), step(1, 1))]
#[case::claimed_many(claimed_fleet(), one_a_worker(8, 1))]
#[case::claimed_gang(claimed_fleet(), StepSpec { gang: true, ..step(4, 1) })]
fn a_job_that_could_run_does_not_wait(#[case] mut fleet: WaitingFleet, #[case] spec: StepSpec) {
    assert!(fleet.reserved_share() < BUSY_SHARE && fleet.has_room_for(&spec));
    fleet.submit(9, &[spec], LONG);
    fleet.check_rest(Duration::from_secs(8), "a job");
}

// A best-effort task reserves no processors, yet it needs a worker that has them.
#[rstest]
#[case::larger_than_a_worker(filled_fleet(), best_effort(step(1, CORES + 1)))]
#[case::larger_than_what_is_unreserved(strained_fleet(), best_effort(step(1, CORES - 2)))]
fn a_starving_task_waits_for_a_worker_that_holds_it(
    #[case] mut fleet: WaitingFleet,
    #[case] spec: StepSpec,
) {
    fleet.submit(9, &[spec], LONG);
    fleet.pass_for(Duration::from_secs(8));
    assert_eq!(fleet.state.job(JobKey(9)).map(|job| job.begun), Some(false));
}

/// Jobs of one task each, which an executor has crashed under, on workers with other tasks.
fn suspected_fleet(jobs: u64) -> WaitingFleet {
    let mut fleet = WaitingFleet::new(2 * usize::from(FLEET));
    fleet.submit(1, &[StepSpec { lasting: true, ..one_a_worker(2 * FLEET, 2) }], LONG);
    fleet.pass();
    for key in 2..2 + jobs {
        fleet.submit(key, &[wide(step(1, 1))], LONG);
        let task = TaskKey { job: JobKey(key), occurrence: 0, step: 0, index: 0 };
        fleet.suspects.suspect(task, fleet.now, fleet.now);
    }
    fleet
}

/// Makes a step's tasks so large that a worker holds one of them.
fn wide(step: StepSpec) -> StepSpec {
    StepSpec { demand: TaskDemand { memory_mb: MEMORY_MB / 2 + 1, ..step.demand }, ..step }
}

/// The time in which several trials, one after the other, come about.
const TRIALS_TIME: Duration = Duration::from_secs(10);

// A job that had joined the trial of another one waited there for room as long as that one ran.
#[test]
fn a_suspected_job_leaves_a_trial_without_room() {
    let mut fleet = suspected_fleet(6);
    fleet.pass_for(TRIALS_TIME);
    fleet.check_rest(Duration::from_secs(8), "a suspected job");
}

// The run of a trial stood still, and its executor received nothing else as long as it ran.
#[test]
fn a_trial_whose_run_stands_still_ends() {
    let mut fleet = suspected_fleet(2 * u64::from(FLEET));
    fleet.pass_for(TRIALS_TIME);
    fleet.submit(99, &[step(1, 1)], LONG);
    fleet.pass_for(TRIALS_TIME);
    assert_eq!(fleet.state.job(JobKey(99)).map(|job| job.placed), Some(1));
}

const SEEDS: u64 = 24;
const TRAFFIC: Duration = Duration::from_secs(20);
const REST: Duration = Duration::from_secs(15);
/// The time that a tenth of the jobs' tasks run.
const LONG_RUN: Duration = Duration::from_secs(10);
const PROPERTY_FLEET: usize = 12;

/// A fleet with random jobs, lost workers, refused starts and changes of the leader.
struct RandomTraffic {
    random: SeededRandom,
    fleet: WaitingFleet,
    /// The number of jobs so far.
    jobs: u64,
    job_chance: f64,
    best_effort_chance: f64,
}

impl RandomTraffic {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom::new(seed);
        let mut fleet = WaitingFleet::new(PROPERTY_FLEET);
        fleet.level = 0.8 + 2.0 * random.unit();
        fleet.swing = 0.6 * random.unit();
        let job_chance = 0.1 + 0.5 * random.unit();
        let best_effort_chance = random.unit();
        Self { random, fleet, jobs: 0, job_chance, best_effort_chance }
    }

    fn submit(&mut self, steps: &[StepSpec], span: Duration) {
        self.jobs += 1;
        self.fleet.submit(self.jobs, steps, span);
    }

    fn submit_lasting(&mut self) {
        let count = 1 + self.random.below(5) as u16;
        let cores = 1 + self.random.below(3) as u64;
        let limit = self.random.chance(0.5).then_some(1);
        let plain = StepSpec { per_worker_limit: limit, ..step(count, cores) };
        let serves = self.random.chance(0.7);
        let lasting = if serves { serving(plain) } else { StepSpec { lasting: true, ..plain } };
        self.submit(&[lasting], LONG);
    }

    fn submit_short(&mut self) {
        let is_best_effort = self.random.chance(self.best_effort_chance);
        let count = 1 + self.random.below(2) as u16;
        let steps: Vec<StepSpec> =
            (0..count).map(|at| self.random_step(at, is_best_effort)).collect();
        let (low, high) = (Duration::from_millis(300), Duration::from_secs(3));
        let long = self.random.chance(0.1);
        let span = if long { LONG_RUN } else { self.random.duration_between(low, high) };
        self.submit(&steps, span);
    }

    fn random_step(&mut self, position: u16, is_best_effort: bool) -> StepSpec {
        let plain = step(1 + self.random.below(8) as u16, 1 + self.random.below(5) as u64);
        let spec = StepSpec {
            depends_on: if position > 0 { vec![position - 1] } else { Vec::new() },
            gang: self.random.chance(0.15),
            per_worker_limit: self.random.chance(0.25).then_some(2),
            required_label: self.random.chance(0.2).then(|| LABEL.to_owned()),
            same_rack: self.random.chance(0.2),
            ..plain
        };
        if is_best_effort {
            best_effort(spec)
        } else {
            spec
        }
    }

    /// Loses a worker or brings one back, lets a worker refuse, or lets another leader plan.
    fn disturb(&mut self) {
        let number = self.random.below(PROPERTY_FLEET);
        let executor = incarnation(number, 0).executor;
        let now = self.fleet.now;
        let known = self.fleet.workers.contains_key(&executor);
        match self.random.below(3) {
            0 if known => self.fleet.lose_worker(number),
            1 => self.fleet.planner = PlacementPlanner::default(),
            _ if known => self.fleet.workers[&executor].record_refusal(now),
            _ => self.fleet.add_worker(number),
        }
    }

    fn play(&mut self) {
        for _ in 0..2 + self.random.below(4) {
            self.submit_lasting();
        }
        for _ in 0..TRAFFIC.as_millis() / PASS.as_millis() {
            if self.random.chance(self.job_chance) {
                self.submit_short();
            }
            if self.random.chance(0.04) {
                self.disturb();
            }
            self.fleet.pass();
        }
    }
}

#[test]
fn no_job_that_could_run_waits_after_the_traffic() {
    for seed in 0..SEEDS {
        let mut traffic = RandomTraffic::new(seed);
        traffic.play();
        traffic.fleet.check_rest(REST, &format!("seed {seed}:"));
    }
}
