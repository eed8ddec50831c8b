//! The two simulated deployments at their present sizes, and their workloads.

use {
    crate::effects::BatchClass,
    base::{ByteSize, CpuMillis, ResourceVector, SeededRandom},
    sched::{SchedPolicy, TaskPriority},
    std::time::Duration,
};

pub const WORKERS: usize = 11;
const RACK_SIZE: usize = 3;
const GB: u64 = 1_000_000_000;

/// A deployment: its workers and its scheduling parameters.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub cores: u64,
    pub memory: ByteSize,
    pub executor: ResourceVector,
    pub policy: SchedPolicy,
    /// The data centre of each rack.
    data_centres: [&'static str; 4],
}

pub fn gigabytes(count: f64) -> ByteSize {
    ByteSize((count * GB as f64) as u64)
}

fn size(cores: f64, memory: f64) -> ResourceVector {
    let cpu = CpuMillis((cores * 1000.0) as u64);
    ResourceVector { cpu, memory: gigabytes(memory), ..ResourceVector::ZERO }
}

pub fn umoja() -> Deployment {
    Deployment {
        name: "Umoja booking desk",
        cores: 16,
        memory: gigabytes(60.0),
        executor: size(6.0, 16.0),
        policy: SchedPolicy {
            tail_latency_weight: 10.0,
            eviction_weight: 20.0,
            throughput_weight: 1.0,
            relief_above_percent: 30,
            throttle_floor_percent: 20,
            patience: Duration::from_secs(10),
            retry_pairing_after: Duration::from_secs(600),
            job_workers: 3,
            worker_jobs: 3,
            probe_after: Duration::from_secs(300),
        },
        data_centres: ["arusha", "moshi", "tanga", "babati"],
    }
}

pub fn postal() -> Deployment {
    Deployment {
        name: "Postal Exchange pen-pal desk",
        cores: 32,
        memory: gigabytes(125.0),
        executor: size(12.0, 32.0),
        policy: SchedPolicy {
            tail_latency_weight: 3.0,
            eviction_weight: 500.0,
            throughput_weight: 0.5,
            relief_above_percent: 30,
            throttle_floor_percent: 10,
            patience: Duration::from_secs(60),
            ..umoja().policy
        },
        data_centres: ["asahi", "nayo", "wakka", "asahi"],
    }
}

impl Deployment {
    pub fn rack(&self, worker: usize) -> usize {
        worker / RACK_SIZE
    }

    pub fn data_centre(&self, worker: usize) -> &'static str {
        self.data_centres[self.rack(worker)]
    }

    pub fn capacity(&self) -> ResourceVector {
        let cpu = CpuMillis(self.cores * 1000);
        ResourceVector { cpu, memory: self.memory, ..ResourceVector::ZERO }
    }
}

/// A job of one or more equal tasks, with its true and its declared needs.
#[derive(Debug, Clone)]
pub struct JobPlan {
    pub at: f64,
    pub tasks: u32,
    pub class: BatchClass,
    pub priority: TaskPriority,
    /// The resources that one task uses.
    pub needs: ResourceVector,
    /// The seconds that one task takes without neighbours.
    pub work: f64,
    pub declared: ResourceVector,
    pub declared_time: Duration,
    /// True when each task fails after a second.
    pub fails: bool,
}

/// A fault or disturbance and its time. Times are in seconds.
#[derive(Debug, Clone, PartialEq)]
pub enum Disturbance {
    /// Workers are lost and come back.
    Lose { workers: Vec<usize>, from: f64, to: f64 },
    /// A worker fails every task that it starts.
    FailAll { worker: usize, from: f64, to: f64 },
    /// All batch work is cancelled, waiting or running.
    CancelAll { at: f64 },
    /// The request rate doubles, and the service is declared to tolerate less.
    Merger { at: f64 },
}

/// One experiment, which every variant runs under the same conditions.
#[derive(Debug, Clone)]
pub struct Experiment {
    pub name: &'static str,
    pub minutes: f64,
    /// The utilisation of executors without neighbours.
    pub load: f64,
    pub report_lag: f64,
    /// The strength of the effects on the service; 1 is the usual strength.
    pub strength: f64,
    pub jobs: Vec<JobPlan>,
    pub disturbances: Vec<Disturbance>,
}

/// The parameters from which the batch work of an experiment is drawn.
#[derive(Debug, Clone, Copy)]
pub struct BatchMix {
    /// The number of tasks in a wave of imports; 0 for no waves.
    pub wave: u32,
    /// The part of the processors not used by executors that steady work takes.
    pub steady: f64,
    /// The factor by which declarations are too large or too small.
    pub declared_factor: f64,
    /// The second at which steady work doubles.
    pub doubles_at: f64,
    /// The number of jobs that fit no worker, and the number of jobs that always fail.
    pub infeasible: u32,
    /// The number of urgent jobs.
    pub urgent: u32,
}

pub const CALM_MIX: BatchMix = BatchMix {
    wave: 0,
    steady: 0.5,
    declared_factor: 1.0,
    doubles_at: f64::MAX,
    infeasible: 0,
    urgent: 0,
};

const WAVE_EVERY: f64 = 300.0;

/// Draws the jobs of an experiment.
pub fn draw_jobs(deployment: &Deployment, mix: BatchMix, seconds: f64, seed: u64) -> Vec<JobPlan> {
    let mut random = SeededRandom::new(seed);
    let scale = deployment.cores as f64 / 16.0;
    let spare =
        WORKERS as f64 * (deployment.cores as f64 - deployment.executor.cpu.0 as f64 / 1000.0);
    let mut jobs = Vec::new();
    let mut at = 0.0;
    while at < seconds {
        let class = match random.below(10) {
            0..=3 => BatchClass::Report,
            4..=6 => BatchClass::Sweep,
            _ => BatchClass::Archive,
        };
        let work = 30.0 + 60.0 * random.unit();
        let tasks = 1 + random.below(5) as u32;
        let needs = size(2.0, 1.0 + 3.0 * random.unit());
        jobs.push(plan(at, tasks, class, needs, work, &mix, &mut random));
        let rate = mix.steady * spare * if at > mix.doubles_at { 2.0 } else { 1.0 };
        let gap = 2.0 * work * f64::from(tasks) / rate;
        at += random.exponential(Duration::from_secs_f64(gap)).as_secs_f64();
    }
    let mut wave = 120.0;
    while mix.wave > 0 && wave < seconds {
        for part in 0..4 {
            let tasks = (f64::from(mix.wave) * scale / 4.0) as u32;
            let (needs, start) = (size(2.0, 2.0), wave + f64::from(part));
            jobs.push(plan(start, tasks, BatchClass::Import, needs, 45.0, &mix, &mut random));
        }
        wave += WAVE_EVERY;
    }
    for index in 0..mix.infeasible {
        let at = 30.0 + 20.0 * f64::from(index);
        let huge = size(deployment.cores as f64 + 4.0, 2.0);
        jobs.push(plan(at, 5, BatchClass::Report, huge, 60.0, &CALM_MIX, &mut random));
        let bad = plan(at, 5, BatchClass::Report, size(2.0, 2.0), 60.0, &CALM_MIX, &mut random);
        jobs.push(JobPlan { fails: true, ..bad });
    }
    for index in 0..mix.urgent {
        let at = 125.0 + 60.0 * f64::from(index);
        let job = plan(at, 1, BatchClass::Archive, size(4.0, 4.0), 20.0, &CALM_MIX, &mut random);
        jobs.push(JobPlan { priority: TaskPriority::Urgent, ..job });
    }
    jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
    jobs
}

fn plan(
    at: f64,
    tasks: u32,
    class: BatchClass,
    needs: ResourceVector,
    work: f64,
    mix: &BatchMix,
    random: &mut SeededRandom,
) -> JobPlan {
    let factor = if random.chance(0.5) { mix.declared_factor } else { 1.0 / mix.declared_factor };
    let declared = ResourceVector {
        cpu: CpuMillis((needs.cpu.0 as f64 * factor) as u64),
        memory: ByteSize((needs.memory.0 as f64 * factor) as u64),
        ..needs
    };
    JobPlan {
        at,
        tasks,
        class,
        priority: TaskPriority::Batch,
        needs,
        work,
        declared,
        declared_time: Duration::from_secs_f64(work * factor),
        fails: false,
    }
}
