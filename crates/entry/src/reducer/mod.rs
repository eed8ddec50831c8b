//! The reducer of the entry: handles every input and returns the effects that follow.

mod arrive;
mod close;
mod control_directory;
mod declarations;
mod dispatch;
mod fence;
mod input;
mod ledger;
mod open_request;
mod outcome;
mod request_id_source;
mod shutdown;
mod table;
mod unsent;

pub use {
    input::{DispatchPlan, EntryEffect, EntryInput, RequestHead},
    request_id_source::RequestIdSource,
};

use {
    self::{
        close::PendingCloses,
        control_directory::ControlDirectory,
        declarations::ServicePolicies,
        dispatch::claim_target,
        open_request::{OpenRequest, RequestStage},
        table::EndpointTable,
    },
    base::{
        DataCentreName, EventReducer, IncarnationNumber, PeerAddress, ProcessName, SeededRandom,
        ServiceName,
    },
    indexmap::IndexMap,
    proto::messages::{ClaimTarget, DispatchId, IdempotencyKey},
    routing::{FlightNumber, RequestNumber, RouterStep, ServiceRouter},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, SystemTime},
    },
};

/// Configuration of an entry at its start.
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// Process name.
    pub name: ProcessName,
    /// Incarnation of the process.
    pub incarnation: IncarnationNumber,
    /// Data centre of the entry.
    pub data_centre: DataCentreName,
    /// Address for other processes.
    pub address: PeerAddress,
    /// Address for operators.
    pub operator_address: PeerAddress,
    /// Known members of the control group.
    pub control_peers: Vec<PeerAddress>,
    /// Seed for random choices.
    pub seed: u64,
    /// Wall-clock time, against which exceptions expire.
    pub wall: SystemTime,
}

/// Decides the outcome of every request at one entry.
#[derive(Debug)]
pub struct EntryReducer {
    setup: EntrySetup,
    request_ids: RequestIdSource,
    random: SeededRandom,
    routers: IndexMap<ServiceName, ServiceRouter>,
    table: EndpointTable,
    policies: ServicePolicies,
    control: ControlDirectory,
    open: BTreeMap<RequestNumber, OpenRequest>,
    sent: BTreeMap<FlightNumber, SentDispatch>,
    /// Requests whose dispatch is decided but not sent, ordered by their timeout.
    unsent: BTreeSet<(Duration, RequestNumber)>,
    closes: PendingCloses,
    drain_deadline: Option<Duration>,
    drained: bool,
}

/// A dispatch that was sent, with the data needed to ask about it and to close its claim.
#[derive(Debug, Clone)]
struct SentDispatch {
    service: ServiceName,
    target: ClaimTarget,
    fence_key: IdempotencyKey,
    claimed: bool,
}

impl EntryReducer {
    /// Creates an entry without endpoints.
    pub fn new(setup: EntrySetup) -> Self {
        Self {
            request_ids: RequestIdSource::new(&setup.name, setup.incarnation),
            random: SeededRandom::new(setup.seed),
            routers: IndexMap::new(),
            table: EndpointTable::default(),
            policies: ServicePolicies::new(setup.data_centre.clone(), setup.wall),
            control: ControlDirectory::new(setup.control_peers.clone()),
            open: BTreeMap::new(),
            sent: BTreeMap::new(),
            unsent: BTreeSet::new(),
            closes: PendingCloses::default(),
            drain_deadline: None,
            drained: false,
            setup,
        }
    }

    /// Returns when a tick is due if no other input arrives before.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let routers = self.routers.values().filter_map(|router| router.next_wake(now));
        let requests = self.open.values().filter_map(OpenRequest::next_wake);
        let unsent = self.unsent.first().map(|(until, _)| *until);
        let pull = Some(self.table.next_pull());
        let own = [pull, unsent, self.closes.next_wake(), self.drain_deadline];
        routers.chain(requests).chain(own.into_iter().flatten()).min().unwrap_or(now)
    }

    /// Returns the number of requests whose callers have no outcome yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of requests that wait for an endpoint.
    pub fn waiting_requests(&self) -> usize {
        self.routers.values().map(ServiceRouter::waiting).sum()
    }

    /// Returns the router of a service, if the entry has created one.
    pub fn router(&self, service: &ServiceName) -> Option<&ServiceRouter> {
        self.routers.get(service)
    }

    /// Returns the id of a request of this entry.
    pub fn request_id(&self, number: RequestNumber) -> base::RequestId {
        self.request_ids.id(number)
    }

    fn router_mut(&mut self, service: &ServiceName) -> &mut ServiceRouter {
        let policy = self.policies.router_policy(service);
        let random = &mut self.random;
        let home = &self.setup.data_centre;
        self.routers.entry(service.clone()).or_insert_with(|| {
            ServiceRouter::new(home.clone(), policy, SeededRandom::new(random.next_u64()))
        })
    }

    fn dispatch_id(&self, flight: FlightNumber) -> DispatchId {
        DispatchId { request: self.request_ids.id(flight.request), number: flight.dispatch }
    }

    fn pump(&mut self, now: Duration, service: &ServiceName, effects: &mut Vec<EntryEffect>) {
        let Some(router) = self.routers.get_mut(service) else { return };
        let steps = router.pump(now);
        self.apply_steps(now, service, steps, effects);
    }

    fn apply_steps(
        &mut self,
        now: Duration,
        service: &ServiceName,
        steps: Vec<RouterStep>,
        effects: &mut Vec<EntryEffect>,
    ) {
        for step in steps {
            match step {
                RouterStep::Dispatch(assignment) => {
                    self.handle_assignment(now, service, assignment, effects);
                }
                RouterStep::End(ended) => self.finish_request(now, ended, effects),
            }
        }
    }

    fn tick(&mut self, now: Duration, wall: SystemTime) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        if self.policies.refresh(now, wall) {
            self.apply_policies();
        }
        self.retry_calls(now, &mut effects);
        let services: Vec<_> = self.routers.keys().cloned().collect();
        for service in services {
            self.pump(now, &service, &mut effects);
        }
        self.pull_table(now, &mut effects);
        self.retry_closes(now, &mut effects);
        effects
    }
}

impl EventReducer for EntryReducer {
    type Event = EntryInput;
    type Effect = EntryEffect;

    fn reduce(&mut self, now: Duration, event: EntryInput) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        self.expire_unsent(now, &mut effects);
        effects.extend(match event {
            EntryInput::CallerRequest { number, head } => self.handle_request(now, number, head),
            EntryInput::CallerGone { number } => self.handle_disconnect(now, number),
            EntryInput::DispatchDone { flight, result } => {
                self.handle_dispatch_result(now, flight, result)
            }
            EntryInput::ClaimReceived { flight, peer, claim, result } => {
                self.handle_claim_result(now, flight, peer, &claim, result)
            }
            EntryInput::CloseReceived { dispatch, peer, result } => {
                self.handle_close_result(now, &dispatch, peer, result)
            }
            EntryInput::FenceReceived { flight, result } => {
                self.handle_fence_result(now, flight, result)
            }
            EntryInput::TableReceived { peer, result } => {
                self.handle_table_result(now, peer, result)
            }
            EntryInput::DeclarationsReceived { bundle } => self.apply_declarations(bundle),
            EntryInput::DeclarationsRequested { ticket, known } => {
                self.reply_to_pull(ticket, known)
            }
            EntryInput::RevisionReported { peer, revision } => {
                self.handle_peer_revision(now, peer, revision)
            }
            EntryInput::Tick { wall } => self.tick(now, wall),
            EntryInput::Shutdown => self.begin_drain(now),
        });
        self.finish_drain(now, &mut effects);
        effects
    }
}
