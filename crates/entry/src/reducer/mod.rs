//! The one reducer of the entry: every event of its life, and what follows from each.

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
mod request_names;
mod shutdown;
mod table;
mod unsent;

pub use {
    input::{DispatchPlan, EntryEffect, EntryInput, RequestHead},
    request_names::RequestNames,
};

use {
    self::{
        close::PendingCloses,
        control_directory::ControlDirectory,
        declarations::PolicyBook,
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

/// What an entry is told when it starts.
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// Its name.
    pub name: ProcessName,
    /// Its life.
    pub incarnation: IncarnationNumber,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where other processes reach it.
    pub address: PeerAddress,
    /// Where operators reach it.
    pub operator_address: PeerAddress,
    /// Members of the control group, any of them.
    pub control_peers: Vec<PeerAddress>,
    /// The seed of its random choices.
    pub seed: u64,
    /// The wall-clock time, which decides whether an exception has expired.
    pub wall: SystemTime,
}

/// Decides what becomes of every request at one entry.
#[derive(Debug)]
pub struct EntryReducer {
    setup: EntrySetup,
    names: RequestNames,
    random: SeededRandom,
    routers: IndexMap<ServiceName, ServiceRouter>,
    table: EndpointTable,
    policies: PolicyBook,
    control: ControlDirectory,
    open: BTreeMap<RequestNumber, OpenRequest>,
    sent: BTreeMap<FlightNumber, SentDispatch>,
    /// Requests whose dispatch is decided and not sent, by when they are given up.
    unsent: BTreeSet<(Duration, RequestNumber)>,
    closes: PendingCloses,
    drain_until: Option<Duration>,
    drained: bool,
}

/// A dispatch that is out, and what is needed to ask about it and to close its claim.
#[derive(Debug, Clone)]
struct SentDispatch {
    service: ServiceName,
    target: ClaimTarget,
    fence_key: IdempotencyKey,
    claimed: bool,
}

impl EntryReducer {
    /// An entry that knows no endpoint yet.
    pub fn new(setup: EntrySetup) -> Self {
        Self {
            names: RequestNames::new(&setup.name, setup.incarnation),
            random: SeededRandom::new(setup.seed),
            routers: IndexMap::new(),
            table: EndpointTable::default(),
            policies: PolicyBook::new(setup.data_centre.clone(), setup.wall),
            control: ControlDirectory::new(setup.control_peers.clone()),
            open: BTreeMap::new(),
            sent: BTreeMap::new(),
            unsent: BTreeSet::new(),
            closes: PendingCloses::default(),
            drain_until: None,
            drained: false,
            setup,
        }
    }

    /// When a tick is due if nothing happens before.
    pub fn next_wake(&self, now: Duration) -> Duration {
        let routers = self.routers.values().filter_map(|router| router.next_wake(now));
        let requests = self.open.values().filter_map(OpenRequest::next_wake);
        let unsent = self.unsent.first().map(|(until, _)| *until);
        let pull = Some(self.table.next_pull());
        let own = [pull, unsent, self.closes.next_wake(), self.drain_until];
        routers.chain(requests).chain(own.into_iter().flatten()).min().unwrap_or(now)
    }

    /// Requests whose callers have not been told anything yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Requests that wait for an endpoint.
    pub fn waiting_requests(&self) -> usize {
        self.routers.values().map(ServiceRouter::waiting).sum()
    }

    /// The router of a service, if one of its endpoints or its declaration is known.
    pub fn router(&self, service: &ServiceName) -> Option<&ServiceRouter> {
        self.routers.get(service)
    }

    /// The id of a request of this entry.
    pub fn request_id(&self, number: RequestNumber) -> base::RequestId {
        self.names.id(number)
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
        DispatchId { request: self.names.id(flight.request), number: flight.dispatch }
    }

    fn pump(&mut self, now: Duration, service: &ServiceName, effects: &mut Vec<EntryEffect>) {
        let Some(router) = self.routers.get_mut(service) else { return };
        let steps = router.pump(now);
        self.follow(now, service, steps, effects);
    }

    fn follow(
        &mut self,
        now: Duration,
        service: &ServiceName,
        steps: Vec<RouterStep>,
        effects: &mut Vec<EntryEffect>,
    ) {
        for step in steps {
            match step {
                RouterStep::Dispatch(assignment) => {
                    self.assigned(now, service, assignment, effects);
                }
                RouterStep::End(ended) => self.ended(now, ended, effects),
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
            EntryInput::CallerRequest { number, head } => self.caller_request(now, number, head),
            EntryInput::CallerGone { number } => self.caller_gone(now, number),
            EntryInput::DispatchDone { flight, result } => self.dispatch_done(now, flight, result),
            EntryInput::ClaimReceived { flight, peer, claim, result } => {
                self.claim_received(now, flight, peer, &claim, result)
            }
            EntryInput::CloseReceived { dispatch, peer, result } => {
                self.close_received(now, &dispatch, peer, result)
            }
            EntryInput::FenceReceived { flight, result } => {
                self.fence_received(now, flight, result)
            }
            EntryInput::TableReceived { peer, result } => self.table_received(now, peer, result),
            EntryInput::DeclarationsReceived { bundle } => self.offer_declarations(bundle),
            EntryInput::DeclarationsAsked { ticket, known } => {
                self.serve_declarations(ticket, known)
            }
            EntryInput::RevisionHeard { peer, revision } => {
                self.revision_heard(now, peer, revision)
            }
            EntryInput::Tick { wall } => self.tick(now, wall),
            EntryInput::Shutdown => self.begin_drain(now),
        });
        self.finish_drain(now, &mut effects);
        effects
    }
}
