//! What one entry knows of one endpoint.

use {
    super::{health::EndpointHealth, limit::ConcurrencyLimit},
    base::{EndpointId, SeededRandom},
    proto::messages::{EndpointLoad, EndpointRecord},
    std::time::Duration,
};

/// The weight of a new measurement of latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time in which a report of other entries' requests loses about two thirds of its worth.
const REPORT_MEMORY: Duration = Duration::from_millis(100);
/// The time in which a high latency loses about two thirds of its worth, so that an endpoint that
/// was slow is tried again.
const LATENCY_MEMORY: Duration = Duration::from_secs(2);
/// How long an endpoint that had no slot is left alone, unless it answers another request of ours
/// before and so tells anew how busy it is. The pause doubles with each refusal in a row.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_REFUSAL_PAUSE: Duration = Duration::from_millis(320);
/// How long an endpoint's own word goes before the table's.
const TABLE_LAG: Duration = Duration::from_secs(5);
/// What is assumed of an endpoint that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    at: Duration,
    others: f64,
}

#[derive(Debug, Clone, Copy)]
struct LatencyEstimate {
    at: Duration,
    seconds: f64,
}

/// An endpoint with its load, latency, limit and health.
#[derive(Debug)]
pub struct EndpointState {
    record: EndpointRecord,
    is_home: bool,
    in_flight: u32,
    report: Option<LoadReport>,
    latency: Option<LatencyEstimate>,
    limit: ConcurrencyLimit,
    health: EndpointHealth,
    left_at: Option<Duration>,
    refused_until: Duration,
    refusal_pause: Duration,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord, is_home: bool, health: EndpointHealth) -> Self {
        let limit = ConcurrencyLimit::new(record.slots.0);
        Self {
            record,
            is_home,
            in_flight: 0,
            report: None,
            latency: None,
            limit,
            health,
            left_at: None,
            refused_until: Duration::ZERO,
            refusal_pause: FIRST_REFUSAL_PAUSE,
        }
    }

    pub(super) fn update(&mut self, now: Duration, record: EndpointRecord) {
        if record.incarnation != self.record.incarnation {
            self.health = EndpointHealth::new(now);
            self.report = None;
            self.left_at = None;
        }
        self.limit.resize(record.slots.0);
        if record.draining != self.record.draining {
            self.left_at = None;
        }
        self.record = record;
    }

    /// The endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.record.endpoint
    }

    /// The endpoint as the table has it.
    pub fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// True when it is in the entry's own data centre.
    pub fn is_home(&self) -> bool {
        self.is_home
    }

    /// Requests of this entry that are with the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// True while it is left alone because it failed.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.health.is_ejected(now)
    }

    /// True when it takes no new requests: the table says so, or it said so itself so recently
    /// that the table may not know yet.
    pub fn is_leaving(&self, now: Duration) -> bool {
        self.record.draining || self.left_at.is_some_and(|at| now < at + TABLE_LAG)
    }

    /// The slots that are probably in use: our own requests, and those that others had when the
    /// endpoint last reported, which count less the older the report is.
    pub fn estimated_in_use(&self, now: Duration) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            report.others * decay(now.saturating_sub(report.at), REPORT_MEMORY)
        });
        f64::from(self.in_flight) + others
    }

    /// True when it takes requests, as far as is known.
    pub fn is_serving(&self, now: Duration) -> bool {
        !self.is_leaving(now) && !self.health.is_ejected(now)
    }

    /// True when another request may be sent to it and `reserve` slots stay free.
    pub fn has_room(&self, now: Duration, reserve: f64) -> bool {
        if !self.is_serving(now) || now < self.refused_until {
            return false;
        }
        let slots = f64::from(self.record.slots.0);
        let Some(share) = self.health.share(now) else { return self.in_flight == 0 };
        let allowed = self.limit.value().min((slots * share).max(1.0));
        f64::from(self.in_flight) + 1.0 <= allowed.max(1.0) + ROUNDING
            && self.estimated_in_use(now) + 1.0 + reserve <= slots + ROOM_TOLERANCE
    }

    /// What a request sent here now is expected to cost, in seconds: latency, dearer the more
    /// slots are in use.
    pub fn cost(&self, now: Duration) -> f64 {
        let slots = f64::from(self.record.slots.0).max(1.0);
        self.expected_latency(now) * (1.0 + self.estimated_in_use(now) / slots)
    }

    fn expected_latency(&self, now: Duration) -> f64 {
        let floor = UNKNOWN_LATENCY.as_secs_f64();
        let Some(estimate) = self.latency else { return floor };
        let worth = decay(now.saturating_sub(estimate.at), LATENCY_MEMORY);
        (estimate.seconds * worth).max(floor)
    }

    pub(super) fn begin(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn report(&mut self, now: Duration, load: EndpointLoad) {
        let others = load.in_use.0.saturating_sub(self.in_flight);
        self.report = Some(LoadReport { at: now, others: f64::from(others) });
        if load.draining {
            self.left_at = Some(now);
        }
    }

    pub(super) fn answered(&mut self, now: Duration, latency: Duration) {
        self.health.alive(now);
        self.limit.grow(self.in_flight);
        self.refused_until = Duration::ZERO;
        self.refusal_pause = FIRST_REFUSAL_PAUSE;
        let seconds = latency.as_secs_f64();
        let smoothed = match self.latency {
            Some(_) => {
                let before = self.expected_latency(now);
                before + LATENCY_WEIGHT * (seconds - before)
            }
            None => seconds,
        };
        self.latency = Some(LatencyEstimate { at: now, seconds: smoothed });
    }

    pub(super) fn refused(&mut self, now: Duration) {
        self.health.alive(now);
        self.limit.back_off(now);
        self.refused_until = now + self.refusal_pause;
        self.refusal_pause = (self.refusal_pause * 2).min(LONGEST_REFUSAL_PAUSE);
    }

    pub(super) fn left(&mut self, now: Duration) {
        self.left_at = Some(now);
    }

    pub(super) fn failed(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        self.health.failed(now, may_eject, random);
    }
}

/// Keeps sums of fractions from missing a whole number.
const ROUNDING: f64 = 1e-9;
/// How much of a slot an estimate may exceed the slots by, since it is an estimate.
const ROOM_TOLERANCE: f64 = 0.25;

fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
