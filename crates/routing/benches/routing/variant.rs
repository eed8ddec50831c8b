//! The variants under comparison: the router of this crate and the baselines.

use {
    crate::{baseline::BaselineRouter, deployment::IDEMPOTENT_SHARE},
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

    /// Returns true if agents guard the executors and reject requests without a free slot.
    /// Unguarded executors queue requests up to their connection limit.
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

/// Action that a variant requests from the simulation.
pub enum VariantStep {
    Send { flight: FlightNumber, endpoint: EndpointId },
    Answer(RequestNumber),
    Fail(RequestNumber),
}

/// Routing of one entry.
pub trait Variant {
    fn add_endpoint(&mut self, now: Duration, record: EndpointRecord);
    fn remove_endpoint(&mut self, endpoint: &EndpointId);
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
    /// Returns the retries and hedges granted so far.
    fn extra_dispatches(&self) -> (u64, u64);
}

impl Variant for ServiceRouter {
    fn add_endpoint(&mut self, now: Duration, record: EndpointRecord) {
        self.upsert(now, record);
    }

    fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.remove(endpoint);
    }

    fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<VariantStep> {
        let mut steps = to_variant_steps(Self::arrive(self, now, request));
        steps.extend(to_variant_steps(Self::pump(self, now)));
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
        steps.extend(to_variant_steps(Self::pump(self, now)));
        steps
    }

    fn pump(&mut self, now: Duration) -> Vec<VariantStep> {
        to_variant_steps(Self::pump(self, now))
    }

    fn next_wake(&self, now: Duration) -> Option<Duration> {
        Self::next_wake(self, now)
    }

    fn extra_dispatches(&self) -> (u64, u64) {
        (self.retries_granted(), self.hedges_granted())
    }
}

fn to_variant_steps(steps: Vec<RouterStep>) -> Vec<VariantStep> {
    let of = |step| match step {
        RouterStep::Dispatch(assignment) => VariantStep::Send {
            flight: assignment.flight,
            endpoint: assignment.endpoint.endpoint.clone(),
        },
        RouterStep::End(ended) => VariantStep::Fail(ended.number),
    };
    steps.into_iter().map(of).collect()
}

pub fn random_rule(random: &mut SeededRandom) -> RepeatRule {
    let method = if random.chance(IDEMPOTENT_SHARE) { "GET" } else { "POST" };
    RepeatRule::from_method(method, &[])
}
