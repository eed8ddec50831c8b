//! The one reducer of the entry: every event of its life, and what follows from each.

mod close;
mod control_directory;
mod declarations;
mod fence;
mod input;
mod ledger;
mod open_request;
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
        open_request::{OpenRequest, RequestStage},
        table::EndpointTable,
    },
    crate::problem::ProblemReport,
    base::{
        DataCentreName, EventReducer, IncarnationNumber, PeerAddress, ProcessName, SeededRandom,
        ServiceName,
    },
    indexmap::IndexMap,
    proto::{
        messages::{
            ClaimTarget, DispatchId, DispatchReply, ForwardedAnswer, IdempotencyKey, NotRunReason,
            PriorityClass,
        },
        rpc::RpcError,
    },
    routing::{
        refuse_undispatched, Assignment, DispatchEnd, EndedRequest, FlightNumber, RepeatRule,
        RequestNumber, RequestOutcome, RouterRequest, RouterStep, ServiceRouter, Settlement,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, SystemTime},
    },
    telemetry::EntryEvent,
};

/// The longest time that a caller may ask to be waited for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

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

    fn caller_request(
        &mut self,
        now: Duration,
        number: RequestNumber,
        head: RequestHead,
    ) -> Vec<EntryEffect> {
        let service = match self.admit_head(&head) {
            Ok(service) => service,
            Err(reason) => return vec![self.refuse_early(number, reason)],
        };
        let policy = self.policies.request_policy(&service);
        let declared = self.policies.idempotent_methods(&service);
        let rule = RepeatRule::of_method(&head.method, declared);
        let waits = head.deadline.unwrap_or(policy.deadline).min(LONGEST_DEADLINE);
        let priority = match policy.batch {
            true => PriorityClass::Batch,
            false => PriorityClass::LatencyCritical,
        };
        let deadline = now.saturating_add(waits);
        let key = head.key.filter(|_| !rule.is_idempotent());
        let request = OpenRequest {
            service: service.clone(),
            rule,
            priority,
            deadline,
            key: key.map(|text| IdempotencyKey { service: service.clone(), text }),
            fingerprint: head.fingerprint,
            claimed: None,
            stage: RequestStage::Routed,
        };
        self.open.insert(number, request);
        let mut effects = vec![EntryEffect::Record(EntryEvent::RequestReceived {
            request: self.names.id(number),
            service: service.to_string(),
        })];
        let arrival = RouterRequest { number, rule, priority, deadline };
        let steps = self.router_mut(&service).arrive(now, arrival);
        self.follow(now, &service, steps, &mut effects);
        self.pump(now, &service, &mut effects);
        effects
    }

    /// The service that a request is for, or why it is refused before it is routed.
    fn admit_head(&self, head: &RequestHead) -> Result<ServiceName, NotRunReason> {
        if self.drain_until.is_some() {
            return Err(NotRunReason::ShuttingDown);
        }
        let declared = |service: &&ServiceName| self.policies.declares(service);
        let Some(service) = head.services.iter().find(declared) else {
            return Err(match self.table.is_known() {
                true => NotRunReason::UnknownService,
                false => NotRunReason::NoEndpoint,
            });
        };
        if head.body > self.policies.request_policy(service).body_limit {
            return Err(NotRunReason::BodyTooLarge);
        }
        Ok(service.clone())
    }

    fn refuse_early(&self, number: RequestNumber, reason: NotRunReason) -> EntryEffect {
        let ended =
            EndedRequest { number, outcome: refuse_undispatched(reason), retry_after: None };
        self.refuse(&ended).unwrap_or(EntryEffect::Drained)
    }

    fn refuse(&self, ended: &EndedRequest) -> Option<EntryEffect> {
        let problem = ProblemReport::of_ended(ended)?;
        Some(EntryEffect::Refuse { number: ended.number, problem })
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

    fn assigned(
        &mut self,
        now: Duration,
        service: &ServiceName,
        assignment: Assignment,
        effects: &mut Vec<EntryEffect>,
    ) {
        let number = assignment.flight.request;
        match self.open.get(&number) {
            None => self.router_mut(service).withdraw(assignment),
            Some(request) if request.key.is_some() => self.claim(now, assignment, effects),
            Some(_) => self.send(assignment, false, effects),
        }
    }

    fn send(&mut self, assignment: Assignment, claimed: bool, effects: &mut Vec<EntryEffect>) {
        let flight = assignment.flight;
        let Some(request) = self.open.get_mut(&flight.request) else { return };
        request.stage = RequestStage::Routed;
        let target = claim_target(&self.names, &assignment);
        let own_key = || IdempotencyKey {
            service: request.service.clone(),
            text: target.dispatch.to_string(),
        };
        let fence_key = request.key.clone().unwrap_or_else(own_key);
        let repeatable = request.rule.is_idempotent();
        effects.push(EntryEffect::Record(EntryEvent::RequestDispatched {
            request: target.dispatch.request.clone(),
            dispatch: flight.dispatch,
            endpoint: target.endpoint.clone(),
            hedge: assignment.hedge,
        }));
        effects.push(EntryEffect::Dispatch(DispatchPlan {
            flight,
            target: target.clone(),
            priority: request.priority,
            deadline: request.deadline,
            key: (!repeatable).then(|| fence_key.clone()),
            repeatable,
            hedge: assignment.hedge,
        }));
        let service = request.service.clone();
        self.sent.insert(flight, SentDispatch { service, target, fence_key, claimed });
    }

    fn dispatch_done(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        result: Result<DispatchReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let Some(sent) = self.sent.remove(&flight) else { return Vec::new() };
        let load = match &result {
            Ok(reply) if reply.dispatch == sent.target.dispatch => Some(reply.load),
            _ => None,
        };
        let end = DispatchEnd::judge(&sent.target.dispatch, result);
        let mut effects = vec![EntryEffect::Record(EntryEvent::DispatchEnded {
            request: sent.target.dispatch.request.clone(),
            dispatch: flight.dispatch,
            end: describe_end(&end),
        })];
        let claim_end = close::claim_end(&end);
        let service = sent.service.clone();
        let settlement = self.router_mut(&service).settle(now, flight, end, load);
        if sent.claimed {
            self.close_after(now, &sent, claim_end, &settlement, &mut effects);
        }
        self.settled(now, flight, sent, settlement, &mut effects);
        self.pump(now, &service, &mut effects);
        effects
    }

    fn settled(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        sent: SentDispatch,
        settlement: Settlement,
        effects: &mut Vec<EntryEffect>,
    ) {
        match settlement {
            Settlement::Answered(answer) => self.answer(flight.request, answer, effects),
            Settlement::Ended(ended) => self.ended(now, ended, effects),
            Settlement::Unresolved => self.ask_agent(now, flight, sent, effects),
            Settlement::Waiting | Settlement::Stale => {}
        }
    }

    fn answer(
        &mut self,
        number: RequestNumber,
        answer: ForwardedAnswer,
        effects: &mut Vec<EntryEffect>,
    ) {
        if self.open.remove(&number).is_none() {
            return;
        }
        effects.push(EntryEffect::Record(EntryEvent::RequestAnswered {
            request: self.names.id(number),
            status: answer.status,
        }));
        effects.push(EntryEffect::Answer { number, answer });
    }

    /// Tells the caller how its request ended without an answer, and frees its key when that is
    /// known to be right.
    fn ended(&mut self, now: Duration, ended: EndedRequest, effects: &mut Vec<EntryEffect>) {
        let Some(request) = self.open.remove(&ended.number) else { return };
        match ended.outcome {
            RequestOutcome::NotRun(verdict) if verdict.reason() != NotRunReason::KeyInProgress => {
                self.free_key(now, &request, effects);
            }
            _ => {}
        }
        let Some(problem) = ProblemReport::of_ended(&ended) else { return };
        self.tell_problem(ended.number, problem, effects);
    }

    fn tell_problem(
        &self,
        number: RequestNumber,
        problem: ProblemReport,
        effects: &mut Vec<EntryEffect>,
    ) {
        effects.push(EntryEffect::Record(EntryEvent::RequestRefused {
            request: self.names.id(number),
            outcome: problem.outcome_text().to_owned(),
            reason: problem.reason_text(),
        }));
        effects.push(EntryEffect::Refuse { number, problem });
    }

    /// A caller that went away has no use for a request that has not been sent.
    fn caller_gone(&mut self, now: Duration, number: RequestNumber) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let Some(request) = self.open.get(&number) else { return effects };
        let service = request.service.clone();
        let router = self.router_mut(&service);
        if router.is_waiting(number) {
            if let Some(ended) = router.end(number, NotRunReason::CallerGone) {
                self.ended(now, ended, &mut effects);
            }
        }
        effects
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

fn claim_target(names: &RequestNames, assignment: &Assignment) -> ClaimTarget {
    ClaimTarget {
        dispatch: DispatchId {
            request: names.id(assignment.flight.request),
            number: assignment.flight.dispatch,
        },
        endpoint: assignment.endpoint.endpoint.clone(),
        incarnation: assignment.endpoint.incarnation,
        agent: assignment.endpoint.agent,
    }
}

fn describe_end(end: &DispatchEnd) -> String {
    match end {
        DispatchEnd::Answered(answer) => format!("answered {}", answer.status),
        DispatchEnd::NotRun(proof) => format!("not run: {:?}", proof.reason()),
        DispatchEnd::Unknown(reason) => format!("unknown: {reason:?}"),
        DispatchEnd::Unheard(reason) => format!("unheard: {reason:?}"),
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
