//! Takes every decision of the agent, as one reducer over all inputs.
//!
//! Each module has one concern: [`guard`] the slots of endpoints, [`memory`] past dispatches,
//! [`lease`] the worker's lease, [`attempts`] the tasks, [`heartbeat`] the exchange with control.
//! The `on_*` modules apply inputs to them.

mod attempts;
mod guard;
mod heartbeat;
mod lease;
mod memory;
mod on_command;
mod on_dispatch;
mod on_heartbeat;
mod on_platform;
mod platform_view;
mod policy;
mod records;
mod types;

pub(crate) use on_dispatch::EXECUTOR_TIME_LIMIT;
pub use types::{AgentConfig, AgentEffect, AgentInput, ExecutorCall, HeartbeatSend};

use {
    attempts::AttemptTable,
    base::{EventReducer, PeerAddress, ProcessName, RevisionNumber},
    guard::EndpointTable,
    heartbeat::HeartbeatSchedule,
    indexmap::IndexMap,
    lease::WorkerLease,
    memory::DispatchMemory,
    on_dispatch::RunningCall,
    platform_view::PlatformView,
    policy::PolicyCache,
    proto::messages::{CommandCursor, DeclarationBundle, DispatchId},
    spread::{DeclarationStore, OfferOutcome},
    std::{sync::Arc, time::Duration},
    telemetry::{AgentEvent, ProcessEvent},
};

/// The number of heartbeat intervals that a draining agent waits for a leader to receive its
/// notice.
const DRAIN_NOTICE_HEARTBEATS: u32 = 3;

/// The agent's state. See the module documentation.
#[derive(Debug)]
pub struct AgentReducer {
    config: AgentConfig,
    declarations: DeclarationStore,
    policy: PolicyCache,
    endpoints: EndpointTable,
    memory: DispatchMemory,
    calls: IndexMap<DispatchId, RunningCall>,
    lease: WorkerLease,
    schedule: Option<HeartbeatSchedule>,
    attempts: AttemptTable,
    platform: PlatformView,
    cursor: CommandCursor,
    announcement_version: u64,
    acknowledged_announcement: u64,
    acknowledged_endpoints: u64,
    report_all: bool,
    draining: bool,
    /// When a draining agent stops waiting for a leader to receive its notice.
    drain_notice_deadline: Duration,
    superseded: bool,
    effects: Vec<AgentEffect>,
}

impl AgentReducer {
    /// Creates an agent that has just started. `saved` holds the declarations that its previous
    /// incarnation had in force, if it saved them.
    pub fn new(config: AgentConfig, saved: Option<DeclarationBundle>) -> Self {
        let mut declarations = DeclarationStore::new();
        if let Some(bundle) = saved {
            declarations.offer(bundle);
        }
        let policy = PolicyCache::new(&config, declarations.fleet().clone());
        Self {
            schedule: HeartbeatSchedule::new(config.control_peers.clone()),
            config,
            declarations,
            policy,
            endpoints: EndpointTable::default(),
            memory: DispatchMemory::default(),
            calls: IndexMap::new(),
            lease: WorkerLease::default(),
            attempts: AttemptTable::default(),
            platform: PlatformView::default(),
            cursor: CommandCursor::default(),
            announcement_version: 1,
            acknowledged_announcement: 0,
            acknowledged_endpoints: 0,
            report_all: true,
            draining: false,
            drain_notice_deadline: Duration::ZERO,
            superseded: false,
            effects: Vec::new(),
        }
    }

    /// Returns the latest time for the next tick.
    pub fn next_wakeup(&self) -> Duration {
        let heartbeat = self.schedule.as_ref().and_then(HeartbeatSchedule::next_at);
        let wakeups = [
            heartbeat.filter(|_| !self.superseded),
            self.platform.next_list_at().filter(|_| !self.superseded),
            self.next_call_deadline(),
            self.lease.stop_at(self.policy.lease().stop_margin),
            self.endpoints.next_expiry(),
            self.next_call_retry(),
        ];
        wakeups.into_iter().flatten().min().unwrap_or(Duration::MAX)
    }

    /// Returns the number of executor calls that have not ended.
    pub fn in_progress(&self) -> usize {
        self.calls.len()
    }

    /// Returns true when the leader has received the notice that the agent is leaving, or when a
    /// few heartbeat intervals have passed without that. Without a leader, nobody learns of the
    /// drain before the lease ends anyway.
    pub fn drain_notice_is_settled(&self, now: Duration) -> bool {
        let acknowledged = self.acknowledged_announcement == self.announcement_version
            && self.acknowledged_endpoints == self.endpoints_version();
        self.superseded || (self.draining && (acknowledged || now >= self.drain_notice_deadline))
    }

    /// Returns true while the worker's lease is valid.
    pub fn lease_holds(&self, now: Duration) -> bool {
        self.lease.is_valid(now, self.policy.lease().stop_margin)
    }

    /// Returns the time left on the worker's lease.
    pub fn lease_remaining(&self, now: Duration) -> Duration {
        self.lease.deadline().unwrap_or_default().saturating_sub(now)
    }

    /// Returns how long a shutdown may wait for requests in progress.
    pub fn drain_limit(&self) -> Duration {
        self.policy.drain_limit()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> RevisionNumber {
        self.declarations.revision()
    }

    /// Returns the declarations in force if they are newer than `known`.
    pub fn declarations_after(&self, known: RevisionNumber) -> Option<DeclarationBundle> {
        self.declarations.newer_than(known)
    }

    fn endpoints_version(&self) -> u64 {
        self.endpoints.version() + u64::from(self.draining) + 1
    }

    fn tick(&mut self, now: Duration) {
        self.expire_calls(now);
        self.stop_when_lease_ends(now);
        for event in self.endpoints.expire(now) {
            self.record(event);
            self.expedite_heartbeat();
        }
        self.list_when_due(now);
        self.advance_attempts(now);
        self.send_heartbeat_when_due(now);
    }

    fn begin_drain(&mut self, now: Duration) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.drain_notice_deadline = now + self.policy.lease().heartbeat * DRAIN_NOTICE_HEARTBEATS;
        self.announcement_version += 1;
        self.record(AgentEvent::DrainBegan { worker: self.config.worker.clone() });
        self.expedite_heartbeat();
    }

    fn offer_declarations(&mut self, bundle: DeclarationBundle, source: ProcessName) {
        let revision = bundle.revision;
        match self.declarations.offer(bundle) {
            OfferOutcome::NotNewer => {}
            OfferOutcome::InForce(revision) => {
                self.policy.replace(&self.config, self.declarations.fleet().clone());
                let event = ProcessEvent::RevisionInForce { revision, source };
                self.effects.push(AgentEffect::RecordProcess(event));
                let bundle: Arc<DeclarationBundle> = self.declarations.bundle().clone();
                self.effects.push(AgentEffect::PutInForce(bundle));
            }
            OfferOutcome::Refused(errors) => {
                let reason = errors.first().map(ToString::to_string).unwrap_or_default();
                let event = ProcessEvent::RevisionRefused { revision, reason };
                self.effects.push(AgentEffect::RecordProcess(event));
            }
        }
    }

    fn on_revision_received(&mut self, now: Duration, peer: PeerAddress, revision: RevisionNumber) {
        if self.declarations.should_pull(now, peer, revision) {
            let known = self.declarations.revision();
            self.effects.push(AgentEffect::PullDeclarations { peer, known });
        }
    }

    fn record(&mut self, event: AgentEvent) {
        self.effects.push(AgentEffect::Record(event));
    }

    /// Moves the next heartbeat forward, so that the leader soon receives a change.
    fn expedite_heartbeat(&mut self) {
        let interval = self.policy.lease().heartbeat;
        if let Some(schedule) = &mut self.schedule {
            schedule.expedite_heartbeat(interval);
        }
    }
}

impl EventReducer for AgentReducer {
    type Event = AgentInput;
    type Effect = AgentEffect;

    fn reduce(&mut self, now: Duration, event: Self::Event) -> Vec<Self::Effect> {
        match event {
            AgentInput::Tick { wall } => self.policy.refresh(&self.config, wall),
            AgentInput::Dispatch { ticket, request } => self.on_dispatch(now, ticket, *request),
            AgentInput::Fence { ticket, request } => self.on_fence(now, ticket, &request),
            AgentInput::ExecutorDone { dispatch, outcome } => {
                self.on_executor_done(now, &dispatch, outcome);
            }
            AgentInput::HeartbeatDone { sequence, reply } => {
                self.on_heartbeat_done(now, sequence, reply);
            }
            AgentInput::PlatformDone { call, result } => self.on_platform_done(now, call, result),
            AgentInput::Announced(announcement) => {
                if let Some(event) = self.endpoints.announce(now, announcement) {
                    self.record(event);
                    self.expedite_heartbeat();
                }
            }
            AgentInput::ExecutorLeft(endpoint) => {
                if let Some(event) = self.endpoints.leave(&endpoint) {
                    self.record(event);
                    self.expedite_heartbeat();
                }
            }
            AgentInput::Declarations { bundle, source } => self.offer_declarations(bundle, source),
            AgentInput::RevisionReported { peer, revision } => {
                self.on_revision_received(now, peer, revision);
            }
            AgentInput::DrainRequested => self.begin_drain(now),
        }
        self.tick(now);
        std::mem::take(&mut self.effects)
    }
}
