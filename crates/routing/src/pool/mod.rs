//! The endpoints of one service, and the selection among them.

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

/// A remote endpoint is chosen only if its cost times this factor is below the cost of the local
/// one. Keeps traffic in its data centre until that is clearly worse.
const REMOTE_COST_FACTOR: f64 = 1.5;
/// Slots of a remote endpoint that are reserved for its own data centre, so that under load
/// requests stay where their round trip is short.
const REMOTE_RESERVE: f64 = 1.0;
/// Endpoints that appear this soon after the first one skip the slow start.
const STARTUP_WINDOW: Duration = Duration::from_secs(2);
/// Number of random candidates that are compared in each selection.
const CHOICES: usize = 2;

/// The endpoints of one service as seen by one entry.
#[derive(Debug)]
pub struct EndpointPool {
    data_centre: DataCentreName,
    first_upsert_at: Option<Duration>,
    endpoints: IndexMap<EndpointId, EndpointState>,
}

impl EndpointPool {
    /// Creates an empty pool for an entry in `data_centre`.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self { data_centre, first_upsert_at: None, endpoints: IndexMap::new() }
    }

    /// Adds or updates an endpoint. An endpoint that joins a running pool starts slowly; the
    /// initial endpoints skip the slow start because they have to carry the whole load at once.
    pub fn upsert(&mut self, now: Duration, record: EndpointRecord) {
        let first_upsert_at = *self.first_upsert_at.get_or_insert(now);
        match self.endpoints.get_mut(&record.endpoint) {
            Some(state) => state.update(now, record),
            None => {
                let is_local = record.data_centre == self.data_centre;
                let id = record.endpoint.clone();
                let health = match now < first_upsert_at + STARTUP_WINDOW {
                    true => EndpointHealth::without_slow_start(),
                    false => EndpointHealth::new(now),
                };
                self.endpoints.insert(id, EndpointState::new(record, is_local, health));
            }
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.endpoints.shift_remove(endpoint);
    }

    /// Returns true if the pool has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns the endpoints in the order in which they were added.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns the state of an endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns the number of requests from this entry that are in flight.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(EndpointState::in_flight).sum()
    }

    /// Selects an endpoint with free capacity that is not in `avoid`: the cheaper of two random
    /// local endpoints, unless the cheaper of two random remote endpoints is clearly better.
    /// `reserve` slots of the endpoint stay free.
    pub fn choose(
        &self,
        now: Duration,
        random: &mut SeededRandom,
        avoid: &[EndpointId],
        reserve: f64,
    ) -> Option<&EndpointState> {
        let has_local =
            self.endpoints.values().any(|state| state.is_local() && state.is_serving(now));
        let remote_reserve = if has_local { REMOTE_RESERVE } else { REMOTE_RESERVE / 2.0 };
        let (local, remote): (Vec<_>, Vec<_>) = self
            .endpoints
            .values()
            .filter(|state| {
                let remote_reserve = if state.is_local() { 0.0 } else { remote_reserve };
                state.has_capacity(now, reserve + remote_reserve) && !avoid.contains(state.id())
            })
            .partition(|state| state.is_local());
        let local = cheapest_of_sample(now, random, local);
        let remote = cheapest_of_sample(now, random, remote);
        match (local, remote) {
            (Some(local), Some(remote))
                if remote.cost(now) * REMOTE_COST_FACTOR < local.cost(now) =>
            {
                Some(remote)
            }
            (local, remote) => local.or(remote),
        }
    }

    /// Counts a request as sent to an endpoint.
    pub fn begin(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.begin();
        }
    }

    /// Releases the slot of a request without recording an outcome.
    pub fn release(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.release();
        }
    }

    /// Records the load that an endpoint reported.
    pub fn record_load(&mut self, now: Duration, endpoint: &EndpointId, load: EndpointLoad) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_load(now, load);
        }
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Duration, endpoint: &EndpointId, latency: Duration) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_answer(now, latency);
        }
    }

    /// Records that an endpoint rejected a request for lack of a slot.
    pub fn record_rejection(&mut self, now: Duration, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_rejection(now);
        }
    }

    /// Records that an endpoint reported a drain, ahead of the endpoint table.
    pub fn mark_draining(&mut self, now: Duration, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.mark_draining(now);
        }
    }

    /// Records a failure, and ejects the endpoint after repeated failures.
    pub fn record_failure(
        &mut self,
        now: Duration,
        endpoint: &EndpointId,
        random: &mut SeededRandom,
    ) {
        let may_eject = self.may_eject(now, endpoint);
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_failure(now, may_eject, random);
        }
    }

    /// Ejects an endpoint that has sent nothing since `sent_at`. Returns true if it has been
    /// silent.
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

    /// Returns true if the endpoint may be ejected: at most half of the endpoints are ejected, and
    /// never the last one that accepts requests.
    fn may_eject(&self, now: Duration, endpoint: &EndpointId) -> bool {
        let staying = self.endpoints.values().filter(|state| !state.is_draining(now));
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
