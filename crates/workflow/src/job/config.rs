//! The configuration of queues and services.

use {
    serde::{Deserialize, Serialize},
    snafu::{ensure, Snafu},
    std::collections::BTreeSet,
};

/// A queue: where callers hand jobs in, and how they are treated.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueueRule {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// What the path begins with; the job key follows.
    pub path_prefix: String,
    /// The service whose executors run the tasks.
    pub service: String,
    /// How long a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// How often a task may fail before its job has failed.
    pub attempt_limit: u32,
    /// The objective as a multiple of the longest chain of work.
    pub stretch: f64,
    /// What the objective allows on top, in milliseconds.
    pub latency_allowance_ms: u64,
}

/// A service: a pool of executors.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: String,
    /// Whether its executors refuse what does not fit.
    pub guarded: bool,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Its version; the highest is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// What the operator sent, returned as it was when the configuration is read.
    #[serde(with = "serde_bytes")]
    pub document: Vec<u8>,
}

/// Why a configuration is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConfigProblem {
    /// A queue names a service that is not there.
    #[snafu(display("queue {queue:?} names unknown service {service:?}"))]
    UnknownService {
        /// The queue.
        queue: String,
        /// The service.
        service: String,
    },
    /// Two queues can't be told apart.
    #[snafu(display("queue {queue:?} has the host and path prefix of another one"))]
    SamePlace {
        /// The second queue.
        queue: String,
    },
    /// A queue would fail every request.
    #[snafu(display("queue {queue:?} has a timeout of 0"))]
    NoTimeout {
        /// The queue.
        queue: String,
    },
}

impl FleetConfig {
    /// Checks that the parts fit each other.
    pub fn check(&self) -> Result<(), ConfigProblem> {
        let services: BTreeSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        let mut places = BTreeSet::new();
        for rule in &self.queues {
            let queue = rule.name.clone();
            ensure!(rule.timeout_ms > 0, NoTimeoutSnafu { queue });
            let service = rule.service.clone();
            ensure!(services.contains(service.as_str()), UnknownServiceSnafu { queue, service });
            let fresh = places.insert((rule.host.as_str(), rule.path_prefix.as_str()));
            ensure!(fresh, SamePlaceSnafu { queue });
        }
        Ok(())
    }

    /// The queue that a request addresses: that of its host with the longest matching prefix.
    pub fn queue_at(&self, host: &str, path: &str) -> Option<&QueueRule> {
        let matching = |rule: &&QueueRule| rule.host == host && path.starts_with(&rule.path_prefix);
        self.queues.iter().filter(matching).max_by_key(|rule| rule.path_prefix.len())
    }

    /// The queue of a name.
    pub fn queue(&self, name: &str) -> Option<&QueueRule> {
        self.queues.iter().find(|rule| rule.name == name)
    }
}
