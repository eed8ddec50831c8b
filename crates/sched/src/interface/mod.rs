//! What the model is told and what it decides.

use {
    base::{
        AttemptNumber, CheckpointId, ClassName, DataCentreName, JobId, RackName, ResourceKind,
        ResourceVector, ServiceName, TaskId, TeamName, WorkerId,
    },
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// How urgent work is, from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TaskPriority {
    /// May wait, be throttled and be evicted.
    Batch,
    /// Answers callers.
    LatencyCritical,
    /// Has to start within seconds and may preempt batch work.
    Urgent,
}

/// Values that declarations set.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedPolicy {
    /// Points for each percent by which a service's p99 is predicted to grow.
    pub tail_latency_weight: f64,
    /// Points for each eviction.
    pub eviction_weight: f64,
    /// Points for each percent of speed that a batch task is predicted to lose.
    pub throughput_weight: f64,
    /// The slowdown of a service, in percent, above which its neighbours are relieved of work.
    pub relief_above_percent: u32,
    /// The lowest throttle level, in percent.
    pub throttle_floor_percent: u32,
    /// How long a throttle is given to help before a task is moved.
    pub patience: Duration,
    /// How long an unwelcome pairing is remembered before it may be tried again.
    pub retry_pairing_after: Duration,
    /// Distinct workers on which a job must fail before it is parked.
    pub job_workers: u32,
    /// Distinct jobs that must fail on a worker before it is quarantined.
    pub worker_jobs: u32,
    /// How long a quarantined worker waits for a probe.
    pub probe_after: Duration,
}

/// The values that hold when no file declares others; `docs/CONFIGURATION.md` lists them.
impl Default for SchedPolicy {
    fn default() -> Self {
        Self {
            tail_latency_weight: 1.0,
            eviction_weight: 100.0,
            throughput_weight: 1.0,
            relief_above_percent: 25,
            throttle_floor_percent: 20,
            patience: Duration::from_secs(15),
            retry_pairing_after: Duration::from_secs(600),
            job_workers: 3,
            worker_jobs: 3,
            probe_after: Duration::from_secs(300),
        }
    }
}

/// A worker as the model sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its rack.
    pub rack: RackName,
    /// What it offers.
    pub capacity: ResourceVector,
    /// False when it is draining or its lease has ended: it gets no new tasks.
    pub accepting: bool,
}

/// A team's quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// What its tasks may hold at once.
    pub quota: ResourceVector,
    /// True when it may hold more while others leave theirs unused.
    pub may_borrow: bool,
}

/// Where the tasks of a job may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SpreadRule {
    /// The data centres that may be used; all when empty.
    pub data_centres: Vec<DataCentreName>,
    /// The largest number of the job's tasks in one rack.
    pub most_per_rack: Option<u32>,
    /// The largest number of the job's tasks in one data centre.
    pub most_per_data_centre: Option<u32>,
}

impl SpreadRule {
    /// True when the tasks may run anywhere.
    pub fn is_open(&self) -> bool {
        self.data_centres.is_empty()
            && self.most_per_rack.is_none()
            && self.most_per_data_centre.is_none()
    }
}

/// A task that waits for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The task.
    pub task: TaskId,
    /// The team whose quota it uses.
    pub team: TeamName,
    /// The class in which interference is learned.
    pub class: ClassName,
    /// How urgent it is.
    pub priority: TaskPriority,
    /// What it is declared to take.
    pub declared: ResourceVector,
    /// How long it is declared to run.
    pub run_time: Option<Duration>,
    /// The service that it serves.
    pub service: Option<ServiceName>,
    /// Where it may run.
    pub spread: SpreadRule,
    /// The checkpoint that it resumes from, if it has run before.
    pub checkpoint: Option<CheckpointId>,
}

/// A committed reservation. It holds its worker until it is released.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldTask {
    /// The task as it waited.
    pub waiting: WaitingTask,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: WorkerId,
    /// What is reserved.
    pub reserved: ResourceVector,
    /// True once it has been asked to stop: its room is not free yet.
    pub stopping: bool,
}

/// A measurement of one task, taken some time ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSample {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// What it used.
    pub used: ResourceVector,
    /// Its speed, in thousandths of its speed when alone.
    pub speed_permille: u32,
}

/// A measurement of a service on one worker, taken some time ago.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSample {
    /// The service.
    pub service: ServiceName,
    /// Requests that were answered.
    pub requests: u64,
    /// The 99th percentile of their service time.
    pub p99: Duration,
    /// The mean of their service time.
    pub mean: Duration,
}

/// A measurement of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSample {
    /// The worker.
    pub worker: WorkerId,
    /// When it was taken, on the clock that `decide` is given.
    pub taken_at: Duration,
    /// The tasks that ran.
    pub tasks: Vec<TaskSample>,
    /// The services that answered.
    pub services: Vec<ServiceSample>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With success.
    Finished,
    /// With failure.
    Failed,
    /// The agent or platform would not start it.
    Refused,
    /// It was stopped, or its worker was lost.
    Stopped,
}

/// Why a worker was chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReason {
    /// The workers that had room.
    pub candidates: u32,
    /// The predicted cost of the chosen one, in points.
    pub cost: f64,
    /// The predicted slowdown of the worker's services, in percent.
    pub service_slowdown_percent: f64,
    /// True when the reservation differs from the declaration because of measurements.
    pub corrected: bool,
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cheapest of {} workers with room: {:.1} points, services predicted {:.0}% slower",
            self.candidates, self.cost, self.service_slowdown_percent
        )?;
        if self.corrected {
            f.write_str(", size corrected from measurements")?;
        }
        Ok(())
    }
}

/// Why a task has no place yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker is large enough, even when empty: it can never run as declared.
    NeverFits {
        /// The resource of which no worker has enough.
        short_of: ResourceKind,
    },
    /// No worker has room now.
    NoRoom {
        /// The resource that most workers lack.
        short_of: ResourceKind,
    },
    /// The team's quota is used up.
    QuotaUsed {
        /// The resource that the quota lacks.
        short_of: ResourceKind,
    },
    /// The job's spread allows none of the workers with room.
    Spread,
    /// The only workers with room would slow a service too much.
    Interference,
    /// The job is parked.
    JobParked,
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverFits { short_of } => {
                write!(f, "no worker is large enough in {short_of}, even when empty")
            }
            Self::NoRoom { short_of } => write!(f, "no worker has enough free {short_of}"),
            Self::QuotaUsed { short_of } => write!(f, "the team's quota of {short_of} is used up"),
            Self::Spread => f.write_str("the job's spread allows no worker with room"),
            Self::Interference => f.write_str("every worker with room would slow a service"),
            Self::JobParked => f.write_str("the job is parked"),
        }
    }
}

/// Why a running task is throttled, moved or evicted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReliefReason {
    /// A service on the worker is slower than declared to be tolerable.
    ServiceSlow {
        /// The service.
        service: ServiceName,
        /// Its slowdown, in percent.
        slowdown_percent: f64,
    },
    /// More urgent work needs the room.
    Preempted {
        /// The urgent task.
        by: TaskId,
    },
    /// Another team reclaims the quota that was borrowed.
    Reclaimed {
        /// The team.
        by: TeamName,
    },
    /// The worker is leaving.
    WorkerDraining,
    /// The task uses more than the worker has.
    WorkerFull {
        /// The resource.
        short_of: ResourceKind,
    },
    /// The service has recovered, and the throttle is eased.
    Recovered,
}

impl fmt::Display for ReliefReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceSlow { service, slowdown_percent } => {
                write!(f, "service {service} on the worker is {slowdown_percent:.0}% slower")
            }
            Self::Preempted { by } => write!(f, "urgent task {by} needs the room"),
            Self::Reclaimed { by } => write!(f, "team {by} reclaims its quota"),
            Self::WorkerDraining => f.write_str("the worker is leaving"),
            Self::WorkerFull { short_of } => write!(f, "the worker runs out of {short_of}"),
            Self::Recovered => f.write_str("the services on the worker have recovered"),
        }
    }
}

/// What should be done.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedDecision {
    /// Reserve room on a worker and start the task there.
    Place {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// What to reserve.
        reserve: ResourceVector,
        /// Why there.
        reason: PlacementReason,
    },
    /// Limit how far a running task may use its reservation.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Percent of the reservation, from 1 to 100.
        percent: u8,
        /// Why.
        reason: ReliefReason,
    },
    /// Checkpoint and stop a running task; it will wait for another place.
    Evict {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why.
        reason: ReliefReason,
    },
    /// Keep a job back until an operator acts: it failed on several workers, or can never run.
    Park {
        /// The job.
        job: JobId,
        /// Why.
        reason: ParkReason,
    },
    /// Give a worker no tasks but probes: distinct jobs failed there.
    Quarantine {
        /// The worker.
        worker: WorkerId,
        /// The number of distinct jobs that failed.
        jobs: u32,
    },
    /// Give a worker tasks again: a probe succeeded.
    Restore {
        /// The worker.
        worker: WorkerId,
    },
}

/// Why a job is kept back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ParkReason {
    /// It failed on several workers.
    FailedEverywhere {
        /// The number of distinct workers.
        workers: u32,
    },
    /// No worker is large enough.
    NeverFits {
        /// The resource of which no worker has enough.
        short_of: ResourceKind,
    },
}

impl fmt::Display for ParkReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FailedEverywhere { workers } => write!(f, "failed on {workers} distinct workers"),
            Self::NeverFits { short_of } => {
                write!(f, "no worker is large enough in {short_of}, even when empty")
            }
        }
    }
}
