//! The values that declarations set, by section, with the built-in value of each.

use {
    base::{duration_text, ByteSize},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Every value that can be declared, resolved for one subject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicy {
    /// How requests are answered.
    pub request: RequestPolicy,
    /// What is weighed when outcomes clash.
    pub weights: OutcomeWeights,
    /// How tasks are placed and relieved.
    pub placement: PlacementPolicy,
    /// When a job or a worker is blamed for failures.
    pub blame: BlamePolicy,
    /// How long workers may run tasks without hearing from control.
    pub lease: LeasePolicy,
    /// How long a graceful shutdown may take.
    pub drain: DrainPolicy,
    /// How much of the past is kept.
    pub retention: RetentionPolicy,
}

/// How requests are answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestPolicy {
    /// How long a caller waits when it does not say.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// The largest body in either direction.
    pub body_limit: ByteSize,
    /// Requests that may wait at one entry.
    pub queue: u32,
    /// Retries, in percent of requests.
    pub retry_percent: u32,
    /// Hedges, in percent of requests.
    pub hedge_percent: u32,
    /// How long an idempotency key is kept after its request has ended.
    #[serde(with = "duration_text")]
    pub key_keep: Duration,
    /// True for requests that are shed first.
    pub batch: bool,
}

impl Default for RequestPolicy {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(5),
            body_limit: ByteSize(1024 * 1024),
            queue: 256,
            retry_percent: 10,
            hedge_percent: 5,
            key_keep: Duration::from_secs(24 * 3600),
            batch: false,
        }
    }
}

/// What a unit of each outcome is worth, so that clashes are decided by declaration. Costs are in
/// points; `docs/CONFIGURATION.md` gives the units.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeWeights {
    /// Points for each percent by which the p99 of a service is predicted to grow.
    pub tail_latency: f64,
    /// Points for each eviction.
    pub evictions: f64,
    /// Points for each percent of speed that a batch task is predicted to lose.
    pub throughput: f64,
}

impl Default for OutcomeWeights {
    fn default() -> Self {
        Self { tail_latency: 1.0, evictions: 100.0, throughput: 1.0 }
    }
}

/// How tasks are placed and relieved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementPolicy {
    /// The slowdown of a service, in percent, above which its neighbours are relieved of work.
    pub relief_above_percent: u32,
    /// The share of its reservation below which a batch task is not throttled, in percent.
    pub throttle_floor_percent: u32,
    /// How long a throttle is given to help before a task is moved.
    #[serde(with = "duration_text")]
    pub patience: Duration,
    /// How long an unwelcome pairing is remembered before it may be tried again.
    #[serde(with = "duration_text")]
    pub retry_pairing_after: Duration,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            relief_above_percent: 25,
            throttle_floor_percent: 20,
            patience: Duration::from_secs(15),
            retry_pairing_after: Duration::from_secs(600),
        }
    }
}

/// When a job or a worker is blamed for failures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BlamePolicy {
    /// Distinct workers on which a job must fail before it is parked.
    pub job_workers: u32,
    /// Distinct jobs that must fail on a worker before it is quarantined.
    pub worker_jobs: u32,
    /// How long a quarantined worker waits for a probe.
    #[serde(with = "duration_text")]
    pub probe_after: Duration,
}

impl Default for BlamePolicy {
    fn default() -> Self {
        Self { job_workers: 3, worker_jobs: 3, probe_after: Duration::from_secs(300) }
    }
}

/// How long workers may run tasks without hearing from control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeasePolicy {
    /// The length of a worker's lease.
    #[serde(with = "duration_text")]
    pub length: Duration,
    /// The time between heartbeats.
    #[serde(with = "duration_text")]
    pub heartbeat: Duration,
    /// By how much two clocks may run apart, in thousandths.
    pub drift_permille: u32,
    /// How long before the lease's end an agent starts to stop its tasks.
    #[serde(with = "duration_text")]
    pub stop_margin: Duration,
}

impl Default for LeasePolicy {
    fn default() -> Self {
        Self {
            length: Duration::from_secs(10),
            heartbeat: Duration::from_secs(1),
            drift_permille: 10,
            stop_margin: Duration::from_secs(3),
        }
    }
}

/// How long a graceful shutdown may take.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DrainPolicy {
    /// The time for requests in progress.
    #[serde(with = "duration_text")]
    pub requests: Duration,
    /// The time for tasks to be checkpointed and stopped.
    #[serde(with = "duration_text")]
    pub tasks: Duration,
}

impl Default for DrainPolicy {
    fn default() -> Self {
        Self { requests: Duration::from_secs(30), tasks: Duration::from_secs(120) }
    }
}

/// How much of the past is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetentionPolicy {
    /// Finished jobs.
    pub finished_jobs: u32,
    /// Steps of one task's history.
    pub task_steps: u32,
    /// Idempotency keys whose requests have ended.
    pub ledger_keys: u32,
    /// Submission ids of operators.
    pub submissions: u32,
    /// Events in the ring of one process.
    pub events: u32,
}

impl Default for RetentionPolicy {
    fn default() -> Self {
        Self {
            finished_jobs: 1000,
            task_steps: 16,
            ledger_keys: 100_000,
            submissions: 1000,
            events: 8192,
        }
    }
}
