//! The declared policy for this worker and its services, cached between changes.

use {
    super::AgentConfig,
    base::{ByteSize, ServiceName},
    indexmap::IndexMap,
    settings::{declaration::LeasePolicy, FleetDeclaration, FleetPolicy, PolicySubject},
    std::{
        sync::Arc,
        time::{Duration, SystemTime},
    },
};

/// How often the cache checks whether exceptions have expired.
const REFRESH_INTERVAL: Duration = Duration::from_secs(60);
/// The number of services whose answer limit is cached.
const SERVICE_LIMIT: usize = 1024;

/// The policies resolved from one revision, at one point in wall-clock time.
#[derive(Debug)]
pub(super) struct PolicyCache {
    fleet: Arc<FleetDeclaration>,
    wall: SystemTime,
    worker: FleetPolicy,
    answer_limits: IndexMap<ServiceName, ByteSize>,
}

impl PolicyCache {
    /// Resolves the worker's policy from `fleet`.
    pub(super) fn new(config: &AgentConfig, fleet: Arc<FleetDeclaration>) -> Self {
        let wall = SystemTime::UNIX_EPOCH;
        let worker = fleet.policy_for(&subject(config, None), wall).policy;
        Self { fleet, wall, worker, answer_limits: IndexMap::new() }
    }

    /// Resolves the policies again, from new declarations.
    pub(super) fn replace(&mut self, config: &AgentConfig, fleet: Arc<FleetDeclaration>) {
        self.fleet = fleet;
        self.resolve(config);
    }

    /// Resolves the policies again when exceptions may have expired.
    pub(super) fn refresh(&mut self, config: &AgentConfig, wall: SystemTime) {
        let age = wall.duration_since(self.wall).unwrap_or(REFRESH_INTERVAL);
        if age >= REFRESH_INTERVAL {
            self.wall = wall;
            self.resolve(config);
        }
    }

    /// Returns the policy of the worker's lease.
    pub(super) fn lease(&self) -> &LeasePolicy {
        &self.worker.lease
    }

    /// Returns how long a checkpoint may take.
    pub(super) fn checkpoint_limit(&self) -> Duration {
        self.worker.drain.tasks
    }

    /// Returns how long a shutdown may wait for requests in progress.
    pub(super) fn drain_limit(&self) -> Duration {
        self.worker.drain.requests
    }

    /// Returns the largest answer that a service may give.
    pub(super) fn answer_limit(&mut self, config: &AgentConfig, service: &ServiceName) -> ByteSize {
        if let Some(limit) = self.answer_limits.get(service) {
            return *limit;
        }
        if self.answer_limits.len() >= SERVICE_LIMIT {
            self.answer_limits.clear();
        }
        let subject = subject(config, Some(service.clone()));
        let limit = self.fleet.policy_for(&subject, self.wall).policy.request.body_limit;
        self.answer_limits.insert(service.clone(), limit);
        limit
    }

    fn resolve(&mut self, config: &AgentConfig) {
        self.worker = self.fleet.policy_for(&subject(config, None), self.wall).policy;
        self.answer_limits.clear();
    }
}

fn subject(config: &AgentConfig, service: Option<ServiceName>) -> PolicySubject {
    PolicySubject {
        service,
        data_centre: Some(config.data_centre.clone()),
        rack: Some(config.rack.clone()),
        worker: Some(config.worker.clone()),
        ..PolicySubject::default()
    }
}
