//! Measures the cost of a decision at 11, 100 and 660 workers with 12,500 running tasks, of which
//! 2,500 are services: `cargo bench -p sched --bench decision_cost`. A slice of the peak is the
//! work between two of 97 starts per second: one task is submitted, placed, committed and ended,
//! and the workers whose one-second period is over report. The time of a slice over 10.3 ms is the
//! used part of a core.

use {
    base::{
        AttemptNumber, ByteSize, CpuMillis, ResourceVector, SeededRandom, TaskId, TaskIndex,
        WorkerId,
    },
    criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput},
    sched::{
        AttemptEnd, FleetModel, ReservedTask, SchedDecision, SchedPolicy, ServiceSample,
        SpreadRule, TaskPriority, TaskSample, WaitingTask, WorkerSample, WorkerView,
    },
    std::time::Duration,
};

const SERVICES: u32 = 2_500;
const TASKS: u32 = 12_500;
const FLEETS: [usize; 3] = [11, 100, 660];
const CLASSES: usize = 12;
const WAITING: u32 = 500;
/// The time between two starts at 97 starts per second.
const START_GAP: Duration = Duration::from_micros(10_309);
/// The time after which an eviction that was not committed has expired.
const EVICTION_EXPIRY: Duration = Duration::from_secs(4);
const WAVE: u32 = 1_000;

fn size(cpu: u64) -> ResourceVector {
    ResourceVector { cpu: CpuMillis(cpu), memory: ByteSize(cpu), ..ResourceVector::ZERO }
}

struct LargeFleet {
    model: FleetModel,
    now: Duration,
    workers: usize,
    next: u32,
    next_report: usize,
    due_reports: f64,
    tasks: Vec<Vec<TaskId>>,
    samples: Vec<WorkerSample>,
}

fn worker_id(index: usize) -> WorkerId {
    format!("w{index:04}").parse().unwrap()
}

fn waiting(job: &str, index: u32, priority: TaskPriority, cpu: u64) -> WaitingTask {
    let is_service = priority == TaskPriority::LatencyCritical;
    let class = if is_service {
        format!("service-{}", index % 20)
    } else {
        format!("class-{}", index as usize % CLASSES)
    };
    WaitingTask {
        task: TaskId::new(job.parse().unwrap(), TaskIndex(index)),
        team: format!("team-{}", index % 28).parse().unwrap(),
        class: class.parse().unwrap(),
        priority,
        declared: size(cpu),
        run_time: Some(Duration::from_secs(60)),
        service: is_service.then(|| class.parse().unwrap()),
        spread: SpreadRule::default(),
        checkpoint: None,
    }
}

impl LargeFleet {
    fn new(workers: usize) -> Self {
        let mut fleet = Self {
            model: FleetModel::new(SchedPolicy::default(), 1),
            now: Duration::from_secs(1),
            workers,
            next: TASKS,
            next_report: 0,
            due_reports: 0.0,
            tasks: vec![Vec::new(); workers],
            samples: Vec::new(),
        };
        // Every fleet has a tenth of its processors free.
        let each = u64::from(TASKS).div_ceil(workers as u64) * 1000 * 11 / 10;
        for index in 0..workers {
            fleet.model.set_worker(WorkerView {
                worker: worker_id(index),
                data_centre: format!("dc{}", index % 8).parse().unwrap(),
                rack: format!("r{}", index / 20).parse().unwrap(),
                capacity: size(each),
                accepting: true,
            });
        }
        for index in 0..TASKS {
            let priority = match index < SERVICES {
                true => TaskPriority::LatencyCritical,
                false => TaskPriority::Batch,
            };
            let task = waiting("running", index, priority, 1000);
            let place = index as usize % workers;
            fleet.tasks[place].push(task.task.clone());
            fleet.hold(task, worker_id(place));
        }
        (0..workers).for_each(|index| fleet.prepare_sample(index));
        (0..3).for_each(|_| fleet.report_all());
        for index in 0..WAITING {
            let task = waiting("stuck", index, TaskPriority::Batch, each * 2 / 3);
            fleet.model.enqueue(fleet.now, task);
        }
        for _ in 0..20 {
            fleet.run_peak_slice();
        }
        fleet
    }

    fn hold(&mut self, waiting: WaitingTask, worker: WorkerId) {
        let reserved = waiting.declared;
        let attempt = AttemptNumber(1);
        self.model.record_reservation(
            self.now,
            ReservedTask { waiting, attempt, worker, reserved, stopping: false },
        );
    }

    fn prepare_sample(&mut self, index: usize) {
        let mut random = SeededRandom::new(index as u64);
        let task = |task: &TaskId| TaskSample {
            task: task.clone(),
            attempt: AttemptNumber(1),
            used: size(900),
            speed_permille: 950,
        };
        let tasks = self.tasks[index].iter().map(task).collect();
        let services = (0..20)
            .filter(|service| (service + index).is_multiple_of(5))
            .map(|service| ServiceSample {
                service: format!("service-{service}").parse().unwrap(),
                requests: 100,
                p99: Duration::from_millis(30),
                mean: Duration::from_micros(9_500 + random.below(1000) as u64),
            })
            .collect();
        let (worker, taken_at) = (worker_id(index), self.now);
        self.samples.push(WorkerSample { worker, taken_at, tasks, services });
    }

    /// Submits urgent work for which no capacity is available, decides whom to evict, and withdraws
    /// the work. Returns the number of evictions.
    fn preempt(&mut self) -> usize {
        self.next += 1;
        self.now += EVICTION_EXPIRY;
        let task = waiting("urgent", self.next, TaskPriority::Urgent, 4_000);
        self.model.enqueue(self.now, task.clone());
        let decisions = self.model.decide(self.now);
        self.model.withdraw(&task.task);
        let evictions =
            decisions.iter().filter(|decision| matches!(decision, SchedDecision::Evict { .. }));
        evictions.count()
    }

    /// Reports one second of the next worker.
    fn report(&mut self) {
        let index = self.next_report % self.workers;
        self.next_report += 1;
        let sample = &mut self.samples[index];
        sample.taken_at = self.now;
        self.model.record_sample(self.now, sample);
    }

    /// Simulates the peak between two starts: one start, one end, and the reports of that time.
    fn run_peak_slice(&mut self) {
        self.now += START_GAP;
        self.due_reports += self.workers as f64 * START_GAP.as_secs_f64();
        while self.due_reports >= 1.0 {
            self.due_reports -= 1.0;
            self.report();
        }
        self.start_and_end();
    }

    /// Advances by a second in which every worker reports.
    fn report_all(&mut self) {
        self.now += Duration::from_secs(1);
        (0..self.workers).for_each(|_| self.report());
    }

    /// Submits one task, expects it to be placed at once, commits the placement and ends the task.
    fn start_and_end(&mut self) {
        self.next += 1;
        let task = waiting("short", self.next, TaskPriority::Batch, 500);
        self.model.enqueue(self.now, task.clone());
        let decisions = self.model.decide(self.now);
        let placed = decisions.into_iter().find_map(|decision| match decision {
            SchedDecision::Place { task: id, worker, .. } if id == task.task => Some(worker),
            _ => None,
        });
        match placed {
            Some(worker) => {
                let id = task.task.clone();
                self.hold(task, worker);
                self.model.record_outcome(self.now, &id, AttemptNumber(1), AttemptEnd::Finished);
                self.model.release(self.now, &id, AttemptNumber(1));
            }
            None => {
                let reason = self.model.wait_reason(&task.task);
                panic!("a small task finds no place: {reason:?}");
            }
        }
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(30).measurement_time(Duration::from_secs(2));
    for workers in FLEETS {
        let mut fleet = LargeFleet::new(workers);
        group.bench_function(BenchmarkId::new("slice of peak", workers), |bencher| {
            bencher.iter(|| fleet.run_peak_slice());
        });
        let mut fleet = LargeFleet::new(workers);
        group.bench_function(BenchmarkId::new("start and end", workers), |bencher| {
            bencher.iter(|| fleet.start_and_end());
        });
        let mut fleet = LargeFleet::new(workers);
        group.bench_function(BenchmarkId::new("report", workers), |bencher| {
            bencher.iter(|| {
                fleet.now += Duration::from_millis(1);
                fleet.report();
            });
        });
    }
    let mut fleet = LargeFleet::new(FLEETS[2]);
    assert!(fleet.preempt() > 0, "urgent work evicts nobody");
    group.bench_function(BenchmarkId::new("urgent without room", FLEETS[2]), |bencher| {
        bencher.iter(|| fleet.preempt());
    });
    let mut fleet = LargeFleet::new(FLEETS[2]);
    let wave: Vec<WaitingTask> =
        (0..WAVE).map(|index| waiting("wave", index, TaskPriority::Batch, 500)).collect();
    group.throughput(Throughput::Elements(u64::from(WAVE)));
    group.bench_function("submit and cancel 1000 waiting tasks", |bencher| {
        bencher.iter(|| {
            wave.iter().for_each(|task| fleet.model.enqueue(fleet.now, task.clone()));
            wave.iter().for_each(|task| fleet.model.withdraw(&task.task));
        });
    });
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
