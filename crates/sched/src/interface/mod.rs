//! The reports that the model receives and the decisions that it returns.

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
    /// Serves callers.
    LatencyCritical,
    /// Has to start within seconds and may preempt batch work.
    Urgent,
}

/// The scheduling parameters that declarations set.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedPolicy {
    /// Cost points for each percent by which a service is predicted to slow down, measured by the
    /// growth of its p99 and mean service times. Points are the common unit in which the model
    /// compares placements and evictions.
    pub tail_latency_weight: f64,
    /// Cost points for each eviction.
    pub eviction_weight: f64,
    /// Cost points for each percent of speed that a batch task is predicted to lose.
    pub throughput_weight: f64,
    /// The slowdown of a service, in percent, above which the model throttles or evicts batch tasks
    /// beside the service.
    pub relief_above_percent: u32,
    /// The lowest throttle level, in percent.
    pub throttle_floor_percent: u32,
    /// How long throttling alone must have been insufficient for a service before the model evicts
    /// a task. Also the unit in which the remaining run time of that task is weighed against the
    /// eviction.
    pub patience: Duration,
    /// How long an effect of one class on another is remembered after its last measurement; after
    /// that, the pairing may be tried again. With zero, nothing is remembered and every pairing is
    /// allowed.
    pub retry_pairing_after: Duration,
    /// Distinct workers on which a job must fail before it is parked, or all accepting workers when
    /// there are fewer. The job must also have failed at least this many times.
    pub job_workers: u32,
    /// Distinct jobs that must fail on a worker before it is quarantined.
    pub worker_jobs: u32,
    /// How long after its quarantine, or after a failed probe, a worker receives no probe (a single
    /// batch task that shows whether the worker has recovered).
    pub probe_after: Duration,
}

/// The built-in parameters, which hold when no file declares others; `docs/CONFIGURATION.md` lists
/// them.
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

/// A worker as control reports it to the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// The identifier of the worker.
    pub worker: WorkerId,
    /// The data centre of the worker.
    pub data_centre: DataCentreName,
    /// The rack of the worker.
    pub rack: RackName,
    /// The resources of the worker.
    pub capacity: ResourceVector,
    /// False when the worker is draining or its lease has ended: the model places no new tasks
    /// there and evicts the remaining ones.
    pub accepting: bool,
}

/// A team's quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// The resources that tasks of the team may reserve at once.
    pub quota: ResourceVector,
    /// True when the team may exceed the quota while other teams leave theirs unused.
    pub may_borrow: bool,
}

/// The limits on where the tasks of a job may run.
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
    /// Returns true when the tasks may run anywhere.
    pub fn is_open(&self) -> bool {
        self.data_centres.is_empty()
            && self.most_per_rack.is_none()
            && self.most_per_data_centre.is_none()
    }
}

/// A task that waits to be placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingTask {
    /// The identifier of the task.
    pub task: TaskId,
    /// The team whose quota the task uses.
    pub team: TeamName,
    /// The class under which the model learns interference.
    pub class: ClassName,
    /// The urgency of the task.
    pub priority: TaskPriority,
    /// The declared size.
    pub declared: ResourceVector,
    /// The declared run time.
    pub run_time: Option<Duration>,
    /// The service whose requests the task answers.
    pub service: Option<ServiceName>,
    /// The limits on where the task may run.
    pub spread: SpreadRule,
    /// The checkpoint to resume from, if the task has run before.
    pub checkpoint: Option<CheckpointId>,
}

/// A committed reservation, which occupies its worker until control releases it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedTask {
    /// The task as it was queued.
    pub waiting: WaitingTask,
    /// The attempt that the reservation is for.
    pub attempt: AttemptNumber,
    /// The worker that runs the task.
    pub worker: WorkerId,
    /// The reserved resources.
    pub reserved: ResourceVector,
    /// True once the task has been asked to stop; the reservation still counts.
    pub stopping: bool,
}

/// A measurement of one task. It may arrive late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSample {
    /// The measured task.
    pub task: TaskId,
    /// The attempt that was measured.
    pub attempt: AttemptNumber,
    /// The resources that the task used.
    pub used: ResourceVector,
    /// The speed of the task, in thousandths of its speed without neighbours.
    pub speed_permille: u32,
}

/// A measurement of a service on one worker. It may arrive late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSample {
    /// The measured service.
    pub service: ServiceName,
    /// The number of requests that were answered.
    pub requests: u64,
    /// The 99th percentile of their service time.
    pub p99: Duration,
    /// The mean of their service time.
    pub mean: Duration,
}

/// A measurement of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSample {
    /// The measured worker.
    pub worker: WorkerId,
    /// The end of the measured period, on the clock that `decide` is given. The period begins with
    /// the previous measurement of the worker.
    pub taken_at: Duration,
    /// The tasks that ran.
    pub tasks: Vec<TaskSample>,
    /// The services that answered requests.
    pub services: Vec<ServiceSample>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The task succeeded.
    Finished,
    /// The task failed.
    Failed,
    /// The agent or the platform refused to start the task.
    Refused,
    /// The task was stopped, or its worker was lost.
    Stopped,
}

/// Why a worker was chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementReason {
    /// The number of workers that met all constraints and were compared.
    pub candidates: u32,
    /// The predicted cost of the chosen worker, in points.
    pub cost: f64,
    /// The predicted slowdown of the most affected service on the worker, in percent.
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

/// Why a task has not been placed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// No worker in an allowed data centre is large enough, even when empty: the task can never run
    /// as declared.
    NeverFits {
        /// The resource of which no worker has enough.
        short_of: ResourceKind,
    },
    /// No worker has enough available capacity now.
    NoCapacity {
        /// The resource of which most workers have too little available.
        short_of: ResourceKind,
    },
    /// The quota of the team is used up.
    QuotaUsed {
        /// The resource that the quota lacks.
        short_of: ResourceKind,
    },
    /// Workers have available capacity, but the spread rule of the job excludes them.
    Spread,
    /// Workers have available capacity, but on at least one the task would slow a service too much
    /// or cost more than waiting, and no other can be used.
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
            Self::NoCapacity { short_of } => write!(f, "no worker has enough free {short_of}"),
            Self::QuotaUsed { short_of } => write!(f, "the team's quota of {short_of} is used up"),
            Self::Spread => f.write_str("the job's spread allows no worker with room"),
            Self::Interference => f.write_str("every worker with room would slow a service"),
            Self::JobParked => f.write_str("the job is parked"),
        }
    }
}

/// Why the model throttles or evicts a running task, or relaxes its throttle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum MitigationReason {
    /// The slowdown of a service on the worker exceeds [`SchedPolicy::relief_above_percent`].
    ServiceSlow {
        /// The slow service.
        service: ServiceName,
        /// The slowdown of the service, in percent.
        slowdown_percent: f64,
    },
    /// A more urgent task needs the capacity, or the quota of the team to which both tasks belong.
    Preempted {
        /// The urgent task.
        by: TaskId,
    },
    /// Another team reclaims quota that this task's team borrowed.
    Reclaimed {
        /// The team that reclaims its quota.
        by: TeamName,
    },
    /// The worker is draining or its lease has ended.
    WorkerDraining,
    /// The tasks on the worker reserve or use more than the worker has.
    WorkerFull {
        /// The resource that the worker lacks.
        short_of: ResourceKind,
    },
    /// The service has recovered, and the throttle is relaxed.
    Recovered,
}

impl fmt::Display for MitigationReason {
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

/// A decision for control to commit.
#[derive(Debug, Clone, PartialEq)]
pub enum SchedDecision {
    /// Reserve capacity on a worker and start the task there.
    Place {
        /// The task to place.
        task: TaskId,
        /// The worker to place the task on.
        worker: WorkerId,
        /// The resources to reserve.
        reserve: ResourceVector,
        /// Why this worker was chosen.
        reason: PlacementReason,
    },
    /// Limit the part of its reservation that a running task may use.
    Throttle {
        /// The task to throttle.
        task: TaskId,
        /// The attempt to throttle.
        attempt: AttemptNumber,
        /// Percent of the reservation, from 1 to 100.
        percent: u8,
        /// Why the task is throttled.
        reason: MitigationReason,
    },
    /// Checkpoint and stop a running task, which then waits to be placed again.
    Evict {
        /// The task to evict.
        task: TaskId,
        /// The attempt to evict.
        attempt: AttemptNumber,
        /// Why the task is evicted.
        reason: MitigationReason,
    },
    /// Withhold a job until an operator unparks it: the job failed on several workers, or can never
    /// run.
    Park {
        /// The job to park.
        job: JobId,
        /// Why the job is parked.
        reason: ParkReason,
    },
    /// Give a worker no tasks but probes, because several jobs failed there.
    Quarantine {
        /// The worker to quarantine.
        worker: WorkerId,
        /// The number of distinct jobs that failed.
        jobs: u32,
    },
    /// End the quarantine of a worker: a probe succeeded.
    Restore {
        /// The worker to restore.
        worker: WorkerId,
    },
}

/// Why a job is parked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ParkReason {
    /// The job failed on several workers.
    FailedEverywhere {
        /// The number of distinct workers on which the job failed.
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
