//! The configuration of queues and services.

use {
    serde::{Deserialize, Serialize},
    snafu::{ensure, Snafu},
    std::collections::BTreeSet,
};

/// A queue: the address to which callers submit jobs, and the treatment of these jobs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueRule {
    /// The name of the queue.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The prefix of the path; the job key follows.
    pub path_prefix: String,
    /// The service whose executors run the tasks.
    pub service: String,
    /// The time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failures after which a task fails its job.
    pub attempt_limit: u32,
    /// The objective for a job's duration, as a multiple of its longest chain of dependent steps.
    pub stretch: f64,
    /// Addition to the objective, in milliseconds.
    pub latency_allowance_ms: u64,
}

/// A service: a pool of executors.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// The name of the service.
    pub name: String,
    /// Whether the service's executors refuse tasks that do not fit.
    pub guarded: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// The version; the highest is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// The operator's original text, returned unchanged when the configuration is read.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// The reason why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigProblem {
    /// A queue names an unknown service.
    #[snafu(display("queue {queue:?} names unknown service {service:?}"))]
    UnknownService {
        /// The queue.
        queue: String,
        /// The service.
        service: String,
    },
    /// Two queues have the same host and path prefix.
    #[snafu(display("queue {queue:?} has the host and path prefix of another one"))]
    SamePlace {
        /// The second queue.
        queue: String,
    },
    /// A queue has a time limit of 0, with which every request would fail.
    #[snafu(display("queue {queue:?} has a timeout of 0"))]
    NoTimeout {
        /// The queue.
        queue: String,
    },
}

impl FleetConfig {
    /// Checks that the parts are consistent. Returns the first problem.
    pub fn check(&self) -> Result<(), ConfigProblem> {
        let services: BTreeSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for rule in &self.queues {
            let queue = rule.name.clone();
            ensure!(rule.timeout_ms > 0, NoTimeoutSnafu { queue });
            let service = rule.service.clone();
            ensure!(services.contains(service.as_str()), UnknownServiceSnafu { queue, service });
            let unique = places.insert((rule.host.as_str(), rule.path_prefix.as_str()));
            ensure!(unique, SamePlaceSnafu { queue });
        }
        Ok(())
    }

    /// Returns the queue that a request addresses: that of its host with the longest matching
    /// prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&QueueRule> {
        let matching = |rule: &&QueueRule| rule.host == host && path.starts_with(&rule.path_prefix);
        self.queues.iter().filter(matching).max_by_key(|rule| rule.path_prefix.len())
    }

    /// Returns the queue of a name.
    pub fn queue(&self, name: &str) -> Option<&QueueRule> {
        self.queues.iter().find(|rule| rule.name == name)
    }
}
