//! The values that declarations can set, by section, with the built-in value of each.

use {
    base::{duration_text, ByteSize},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// All values that can be declared, resolved for one subject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicy {
    /// How entries handle requests.
    pub request: RequestPolicy,
    /// The weights of competing outcomes.
    pub weights: OutcomeWeights,
    /// How control places tasks and mitigates interference.
    pub placement: PlacementPolicy,
    /// When control attributes failures to a job or to a worker.
    pub blame: FailureAttributionPolicy,
    /// How long workers may run tasks without contact with control.
    pub lease: LeasePolicy,
    /// How long a graceful shutdown may take.
    pub drain: DrainPolicy,
    /// How much history is kept.
    pub retention: RetentionPolicy,
}

/// How entries handle requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestPolicy {
    /// The deadline of a request whose caller sets none.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// The maximum size of a body in either direction, in bytes.
    pub body_limit: ByteSize,
    /// Requests that may wait at one entry.
    pub queue: u32,
    /// The maximum share of retries, in percent of requests.
    pub retry_percent: u32,
    /// The maximum share of hedged requests, in percent of requests.
    pub hedge_percent: u32,
    /// How long an idempotency key is kept after its request has ended.
    #[serde(with = "duration_text")]
    pub key_keep: Duration,
    /// True for requests that the entry sheds first under overload.
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

/// The cost of a unit of each outcome, which decides between competing outcomes. Costs are in
/// points; `docs/CONFIGURATION.md` gives the units.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OutcomeWeights {
    /// Points per percent by which the 99th percentile of a service's latency is predicted to grow.
    pub tail_latency: f64,
    /// Points per eviction.
    pub evictions: f64,
    /// Points per percent of speed that a batch task is predicted to lose.
    pub throughput: f64,
}

impl Default for OutcomeWeights {
    fn default() -> Self {
        Self { tail_latency: 1.0, evictions: 100.0, throughput: 1.0 }
    }
}

/// How control places tasks and mitigates interference.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementPolicy {
    /// The slowdown of a service, in percent, above which control throttles or evicts tasks on its
    /// workers.
    pub relief_above_percent: u32,
    /// The lower bound for throttling a batch task, in percent of its reservation.
    pub throttle_floor_percent: u32,
    /// How long control waits for a throttle to help before it evicts a task.
    #[serde(with = "duration_text")]
    pub patience: Duration,
    /// How long control avoids a pairing that caused interference before it may try the pairing
    /// again.
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

/// When control attributes failures to a job or to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FailureAttributionPolicy {
    /// The number of distinct workers on which a job must fail before control parks it.
    pub job_workers: u32,
    /// The number of distinct jobs that must fail on a worker before control quarantines it.
    pub worker_jobs: u32,
    /// How long a worker is quarantined before control places a probe on it.
    #[serde(with = "duration_text")]
    pub probe_after: Duration,
}

impl Default for FailureAttributionPolicy {
    fn default() -> Self {
        Self { job_workers: 3, worker_jobs: 3, probe_after: Duration::from_secs(300) }
    }
}

/// How long workers may run tasks without contact with control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeasePolicy {
    /// The duration of a worker's lease.
    #[serde(with = "duration_text")]
    pub length: Duration,
    /// The time between heartbeats.
    #[serde(with = "duration_text")]
    pub heartbeat: Duration,
    /// The maximum drift between two clocks, in thousandths.
    pub drift_permille: u32,
    /// How long before the end of the lease an agent starts to stop its tasks.
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

/// How much history is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetentionPolicy {
    /// The maximum number of finished jobs.
    pub finished_jobs: u32,
    /// The maximum number of steps in one task's history.
    pub task_steps: u32,
    /// The maximum number of idempotency keys whose requests have ended.
    pub ledger_keys: u32,
    /// The maximum number of operators' submission ids.
    pub submissions: u32,
    /// The maximum number of events in the ring buffer of one process.
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
