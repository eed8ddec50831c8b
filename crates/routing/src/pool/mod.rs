//! The endpoints of one service, and the choice among them.

mod endpoint;
mod health;
mod limit;

pub use endpoint::EndpointState;

use {
    self::health::EndpointHealth,
    base::{DataCentreName, EndpointId, SeededRandom},
    indexmap::IndexMap,
    proto::messages::{EndpointLoad, EndpointRecord},
    std::time::Duration,
};

/// How much dearer than the nearest endpoint a distant one may look and still be left alone. Keeps
/// traffic in its data centre until that is clearly worse.
const HOME_ADVANTAGE: f64 = 1.5;
/// Slots of a distant endpoint that are left to its own data centre, so that under load requests
/// stay where their round trip is short.
const GUEST_RESERVE: f64 = 1.0;
/// How long after the first endpoint others count as known from the start.
const FOUNDING_TIME: Duration = Duration::from_secs(2);
/// Endpoints that are compared in each choice.
const CHOICES: usize = 2;

/// Endpoints of one service as one entry sees them.
#[derive(Debug)]
pub struct EndpointPool {
    home: DataCentreName,
    founded_at: Option<Duration>,
    endpoints: IndexMap<EndpointId, EndpointState>,
}

impl EndpointPool {
    /// An empty pool of an entry in `home`.
    pub fn new(home: DataCentreName) -> Self {
        Self { home, founded_at: None, endpoints: IndexMap::new() }
    }

    /// Adds an endpoint or notes what changed about it. One that joins others starts slowly; those
    /// that the entry learns first have to carry everything at once.
    pub fn upsert(&mut self, now: Duration, record: EndpointRecord) {
        let founded_at = *self.founded_at.get_or_insert(now);
        match self.endpoints.get_mut(&record.endpoint) {
            Some(state) => state.update(now, record),
            None => {
                let is_home = record.data_centre == self.home;
                let id = record.endpoint.clone();
                let health = match now < founded_at + FOUNDING_TIME {
                    true => EndpointHealth::proven(),
                    false => EndpointHealth::new(now),
                };
                self.endpoints.insert(id, EndpointState::new(record, is_home, health));
            }
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.endpoints.shift_remove(endpoint);
    }

    /// True when no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// The endpoints in the order in which they were learned.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Requests of this entry that are out.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(EndpointState::in_flight).sum()
    }

    /// Chooses an endpoint with room, and never one of `avoid`: the better of two from the home
    /// data centre, unless the better of two from elsewhere is clearly better still. `reserve`
    /// slots of it stay free.
    pub fn choose(
        &self,
        now: Duration,
        random: &mut SeededRandom,
        avoid: &[EndpointId],
        reserve: f64,
    ) -> Option<&EndpointState> {
        let has_home =
            self.endpoints.values().any(|state| state.is_home() && state.is_serving(now));
        let guest_reserve = if has_home { GUEST_RESERVE } else { GUEST_RESERVE / 2.0 };
        let (home, away): (Vec<_>, Vec<_>) = self
            .endpoints
            .values()
            .filter(|state| {
                let guest_reserve = if state.is_home() { 0.0 } else { guest_reserve };
                state.has_room(now, reserve + guest_reserve) && !avoid.contains(state.id())
            })
            .partition(|state| state.is_home());
        let home = cheapest_of_sample(now, random, home);
        let away = cheapest_of_sample(now, random, away);
        match (home, away) {
            (Some(home), Some(away)) if away.cost(now) * HOME_ADVANTAGE < home.cost(now) => {
                Some(away)
            }
            (home, away) => home.or(away),
        }
    }

    /// Notes that a request is on its way to an endpoint.
    pub fn begin(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.begin();
        }
    }

    /// Notes that a request is no longer with an endpoint, and nothing is learned from it.
    pub fn release(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.release();
        }
    }

    /// Notes what an endpoint reported of its load.
    pub fn report(&mut self, now: Duration, endpoint: &EndpointId, load: EndpointLoad) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.report(now, load);
        }
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Duration, endpoint: &EndpointId, latency: Duration) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.answered(now, latency);
        }
    }

    /// Notes that an endpoint had no slot to give.
    pub fn refused(&mut self, now: Duration, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.refused(now);
        }
    }

    /// Notes that an endpoint takes no new requests, before the table says so.
    pub fn left(&mut self, now: Duration, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.left(now);
        }
    }

    /// Notes a failure, and ejects the endpoint for a while when failures persist.
    pub fn failed(&mut self, now: Duration, endpoint: &EndpointId, random: &mut SeededRandom) {
        let may_eject = self.may_eject(now, endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.failed(now, may_eject, random);
        }
    }

    /// Ejects an endpoint that has said nothing since `sent_at`. True when it has been silent.
    pub fn suspect(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        sent_at: Duration,
        random: &mut SeededRandom,
    ) -> bool {
        let may_eject = self.may_eject(now, endpoint);
        match self.endpoints.get_mut(endpoint) {
            Some(state) if state.is_silent_since(sent_at) => {
                state.suspect(now, may_eject, random);
                true
            }
            _ => false,
        }
    }

    /// At most half of the endpoints are ejected, and never the last that takes requests.
    fn may_eject(&self, now: Duration, endpoint: &EndpointId) -> bool {
        let staying = self.endpoints.values().filter(|state| !state.is_leaving(now));
        let (ejected, serving): (Vec<_>, Vec<_>) =
            staying.filter(|state| state.id() != endpoint).partition(|state| state.is_ejected(now));
        ejected.len() < serving.len()
    }
}

fn cheapest_of_sample<'a>(
    now: Duration,
    random: &mut SeededRandom,
    mut candidates: Vec<&'a EndpointState>,
) -> Option<&'a EndpointState> {
    let mut best: Option<&EndpointState> = None;
    for _ in 0..CHOICES.min(candidates.len()) {
        let candidate = candidates.swap_remove(random.below(candidates.len()));
        if best.is_none_or(|best| candidate.cost(now) < best.cost(now)) {
            best = Some(candidate);
        }
    }
    best
}
