//! Baseline balancer: sends each request at once to any endpoint, with two retries on rejection.

use {
    crate::variant::{Variant, VariantStep, POLICY},
    base::{EndpointId, SeededRandom},
    proto::messages::{EndpointLoad, EndpointRecord},
    routing::{
        budget::DispatchBudget, latency::LatencyWindow, DispatchEnd, FlightNumber, RequestNumber,
        RouterRequest,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const MAX_DISPATCHES: u32 = 3;

struct BaselineRequest {
    request: RouterRequest,
    dispatches: u32,
    outstanding: u32,
    last: EndpointId,
}

pub struct BaselineRouter {
    random: SeededRandom,
    round_robin: bool,
    hedged: bool,
    next: usize,
    endpoints: Vec<EndpointId>,
    requests: BTreeMap<RequestNumber, BaselineRequest>,
    deadlines: BTreeSet<(Duration, RequestNumber)>,
    hedges: BTreeSet<(Duration, RequestNumber)>,
    sent_at: BTreeMap<FlightNumber, Duration>,
    budget: DispatchBudget,
    latencies: LatencyWindow,
    retries: u64,
}

impl BaselineRouter {
    pub fn new(random: SeededRandom, round_robin: bool, hedged: bool) -> Self {
        Self {
            random,
            round_robin,
            hedged,
            next: 0,
            endpoints: Vec::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            hedges: BTreeSet::new(),
            sent_at: BTreeMap::new(),
            budget: DispatchBudget::new(),
            latencies: LatencyWindow::new(),
            retries: 0,
        }
    }

    fn choose(&mut self, avoid: Option<&EndpointId>) -> Option<EndpointId> {
        let others: Vec<_> = self.endpoints.iter().filter(|id| Some(*id) != avoid).collect();
        if others.is_empty() {
            return None;
        }
        self.next += 1;
        let index = match self.round_robin {
            true => self.next % others.len(),
            false => self.random.below(others.len()),
        };
        Some(others[index].clone())
    }

    fn send(&mut self, now: Duration, number: RequestNumber) -> Vec<VariantStep> {
        let avoid =
            self.requests.get(&number).map(|r| r.last.clone()).filter(|_| {
                self.requests.get(&number).is_some_and(|request| request.dispatches > 0)
            });
        let Some(endpoint) = self.choose(avoid.as_ref()) else {
            return self.end(number, VariantStep::Fail(number));
        };
        let Some(request) = self.requests.get_mut(&number) else { return Vec::new() };
        let flight = FlightNumber { request: number, dispatch: request.dispatches };
        request.dispatches += 1;
        request.outstanding += 1;
        request.last = endpoint.clone();
        self.sent_at.insert(flight, now);
        let delay = self.latencies.quantile(now, 0.95);
        let may_hedge = self.hedged && request.request.rule.is_idempotent();
        if let (true, Some(delay)) = (may_hedge, delay) {
            self.hedges.insert((now + delay, number));
        }
        vec![VariantStep::Send { flight, endpoint }]
    }

    fn end(&mut self, number: RequestNumber, step: VariantStep) -> Vec<VariantStep> {
        match self.requests.remove(&number) {
            Some(request) => {
                self.deadlines.remove(&(request.request.deadline, number));
                vec![step]
            }
            None => Vec::new(),
        }
    }

    fn hedge(&mut self, now: Duration, number: RequestNumber) -> Vec<VariantStep> {
        let waits = self.requests.get(&number).is_some_and(|r| r.outstanding == 1);
        if !waits || !self.budget.try_take(now, POLICY.hedge_percent) {
            return Vec::new();
        }
        self.send(now, number)
    }
}

impl Variant for BaselineRouter {
    fn add_endpoint(&mut self, _now: Duration, record: EndpointRecord) {
        self.endpoints.push(record.endpoint);
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoints.retain(|id| id != endpoint);
    }

    fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<VariantStep> {
        self.budget.deposit(POLICY.hedge_percent);
        self.deadlines.insert((request.deadline, request.number));
        let last = EndpointId::new("none").expect("a constant name");
        let number = request.number;
        let request = BaselineRequest { request, dispatches: 0, outstanding: 0, last };
        self.requests.insert(number, request);
        self.send(now, number)
    }

    fn settle(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        end: DispatchEnd,
        _load: Option<EndpointLoad>,
    ) -> Vec<VariantStep> {
        let waited = now.saturating_sub(self.sent_at.remove(&flight).unwrap_or(now));
        let number = flight.request;
        if matches!(end, DispatchEnd::Answered(_)) {
            self.latencies.record(now, waited);
            return self.end(number, VariantStep::Answer(number));
        }
        let Some(request) = self.requests.get_mut(&number) else { return Vec::new() };
        request.outstanding -= 1;
        if request.outstanding > 0 {
            return Vec::new();
        }
        let repeatable =
            request.request.rule.is_idempotent() || matches!(end, DispatchEnd::NotRun(_));
        if !repeatable || request.dispatches >= MAX_DISPATCHES {
            return self.end(number, VariantStep::Fail(number));
        }
        self.retries += 1;
        self.send(now, number)
    }

    fn pump(&mut self, now: Duration) -> Vec<VariantStep> {
        let mut steps = Vec::new();
        while let Some((at, number)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.remove(&(at, number));
            steps.extend(self.end(number, VariantStep::Fail(number)));
        }
        while let Some((at, number)) = self.hedges.first().copied().filter(|h| h.0 <= now) {
            self.hedges.remove(&(at, number));
            steps.extend(self.hedge(now, number));
        }
        steps
    }

    fn next_wake(&self, _now: Duration) -> Option<Duration> {
        let first = |set: &BTreeSet<(Duration, RequestNumber)>| set.first().map(|entry| entry.0);
        [first(&self.deadlines), first(&self.hedges)].into_iter().flatten().min()
    }

    fn extra_dispatches(&self) -> (u64, u64) {
        (self.retries, self.budget.granted())
    }
}
