//! What is compared: the router of this crate, and the baselines.

use {
    crate::{baseline::BaselineRouter, desk::IDEMPOTENT_SHARE},
    base::{DataCentreName, EndpointId, SeededRandom},
    proto::messages::{EndpointLoad, EndpointRecord},
    routing::{
        DispatchEnd, FlightNumber, RepeatRule, RequestNumber, RouterPolicy, RouterRequest,
        RouterStep, ServiceRouter, Settlement,
    },
    std::time::Duration,
};

pub const POLICY: RouterPolicy = RouterPolicy { queue: 256, retry_percent: 10, hedge_percent: 5 };

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum VariantKind {
    Router,
    RouterWithoutHedges,
    Random,
    RandomWithHedges,
    RoundRobin,
    RoundRobinWithHedges,
}

impl VariantKind {
    pub const ALL: [Self; 6] = [
        Self::Router,
        Self::RouterWithoutHedges,
        Self::Random,
        Self::RandomWithHedges,
        Self::RoundRobin,
        Self::RoundRobinWithHedges,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "routing",
            Self::RouterWithoutHedges => "routing, no hedges",
            Self::Random => "random",
            Self::RandomWithHedges => "random, hedges",
            Self::RoundRobin => "round robin",
            Self::RoundRobinWithHedges => "round robin, hedges",
        }
    }

    /// True when executors are guarded by agents that refuse what has no slot. Without guards,
    /// executors queue what has a connection.
    pub fn is_guarded(self) -> bool {
        matches!(self, Self::Router | Self::RouterWithoutHedges)
    }

    pub fn is_baseline(self) -> bool {
        !self.is_guarded()
    }

    pub fn build(self, home: DataCentreName, seed: u64) -> Box<dyn Variant> {
        let random = SeededRandom::new(seed);
        let router = |policy, random| Box::new(ServiceRouter::new(home, policy, random));
        match self {
            Self::Router => router(POLICY, random),
            Self::RouterWithoutHedges => {
                router(RouterPolicy { hedge_percent: 0, ..POLICY }, random)
            }
            Self::Random => Box::new(BaselineRouter::new(random, false, false)),
            Self::RandomWithHedges => Box::new(BaselineRouter::new(random, false, true)),
            Self::RoundRobin => Box::new(BaselineRouter::new(random, true, false)),
            Self::RoundRobinWithHedges => Box::new(BaselineRouter::new(random, true, true)),
        }
    }
}

/// What a variant wants done.
pub enum VariantStep {
    Send { flight: FlightNumber, endpoint: EndpointId },
    Answer(RequestNumber),
    Fail(RequestNumber),
}

/// One entry's routing.
pub trait Variant {
    fn learn(&mut self, now: Duration, record: EndpointRecord);
    fn forget(&mut self, endpoint: &EndpointId);
    fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<VariantStep>;
    fn settle(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        end: DispatchEnd,
        load: Option<EndpointLoad>,
    ) -> Vec<VariantStep>;
    fn pump(&mut self, now: Duration) -> Vec<VariantStep>;
    fn next_wake(&self, now: Duration) -> Option<Duration>;
    /// Retries and hedges so far.
    fn extra(&self) -> (u64, u64);
}

impl Variant for ServiceRouter {
    fn learn(&mut self, now: Duration, record: EndpointRecord) {
        self.upsert(now, record);
    }

    fn forget(&mut self, endpoint: &EndpointId) {
        self.remove(endpoint);
    }

    fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<VariantStep> {
        let mut steps = steps_of(Self::arrive(self, now, request));
        steps.extend(steps_of(Self::pump(self, now)));
        steps
    }

    fn settle(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        end: DispatchEnd,
        load: Option<EndpointLoad>,
    ) -> Vec<VariantStep> {
        let mut steps = Vec::new();
        match Self::settle(self, now, flight, end, load) {
            Settlement::Answered(_) => steps.push(VariantStep::Answer(flight.request)),
            Settlement::Ended(ended) => steps.push(VariantStep::Fail(ended.number)),
            Settlement::Waiting | Settlement::Unresolved | Settlement::Stale => {}
        }
        steps.extend(steps_of(Self::pump(self, now)));
        steps
    }

    fn pump(&mut self, now: Duration) -> Vec<VariantStep> {
        steps_of(Self::pump(self, now))
    }

    fn next_wake(&self, now: Duration) -> Option<Duration> {
        Self::next_wake(self, now)
    }

    fn extra(&self) -> (u64, u64) {
        (self.retries_granted(), self.hedges_granted())
    }
}

fn steps_of(steps: Vec<RouterStep>) -> Vec<VariantStep> {
    let of = |step| match step {
        RouterStep::Dispatch(assignment) => VariantStep::Send {
            flight: assignment.flight,
            endpoint: assignment.endpoint.endpoint.clone(),
        },
        RouterStep::End(ended) => VariantStep::Fail(ended.number),
    };
    steps.into_iter().map(of).collect()
}

pub fn draw_rule(random: &mut SeededRandom) -> RepeatRule {
    let method = if random.chance(IDEMPOTENT_SHARE) { "GET" } else { "POST" };
    RepeatRule::of_method(method, &[])
}
