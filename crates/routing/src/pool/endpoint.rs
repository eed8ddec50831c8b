//! What one entry knows of one endpoint.

use {
    super::{health::EndpointHealth, limit::ConcurrencyLimit},
    base::{EndpointId, SeededRandom},
    proto::messages::{EndpointLoad, EndpointRecord},
    std::time::Duration,
};

/// The weight of a new measurement of latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// The time in which a report of other entries' requests loses about two thirds of its worth
/// against what is usual.
const REPORT_MEMORY: Duration = Duration::from_millis(50);
/// The time in which what is usual loses about two thirds of its worth.
const USUAL_MEMORY: Duration = Duration::from_millis(500);
/// The least weight of a report in what is usual.
const LEAST_REPORT_WEIGHT: f64 = 0.05;
/// The time in which a high latency loses about two thirds of its worth, so that an endpoint that
/// was slow is tried again.
const LATENCY_MEMORY: Duration = Duration::from_secs(2);
/// How long an endpoint that had no slot is left alone, unless it answers another request of ours
/// before and so tells anew how busy it is. The pause doubles with each refusal in a row.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_REFUSAL_PAUSE: Duration = Duration::from_millis(320);
/// How long an endpoint's own word goes before the table's.
const TABLE_LAG: Duration = Duration::from_secs(5);
/// How much dearer an endpoint is with all slots in use, and how steeply it gets there.
const CROWDING: f64 = 2.0;
const CROWDING_POWER: i32 = 3;
/// What is assumed of an endpoint that has not answered yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    at: Duration,
    /// What other entries had in use.
    others: f64,
    /// What they had in use on the average of recent reports.
    usual: f64,
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
    heard_at: Duration,
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
            heard_at: Duration::ZERO,
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

    /// The slots that are probably in use: our own requests, and those of others, which go from
    /// what was last reported to what is usual as the report ages.
    pub fn estimated_in_use(&self, now: Duration) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.saturating_sub(report.at);
            let last = (report.others - report.usual) * decay(age, REPORT_MEMORY);
            (report.usual + last) * decay(age, USUAL_MEMORY)
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
    /// slots are in use, and steeply so when nearly all are.
    pub fn cost(&self, now: Duration) -> f64 {
        let slots = f64::from(self.record.slots.0).max(1.0);
        let share = self.estimated_in_use(now) / slots;
        self.expected_latency(now) * (1.0 + CROWDING * share.powi(CROWDING_POWER))
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

    /// True when it has said nothing since `sent_at`.
    pub(super) fn is_silent_since(&self, sent_at: Duration) -> bool {
        self.heard_at <= sent_at
    }

    pub(super) fn report(&mut self, now: Duration, load: EndpointLoad) {
        self.heard_at = now;
        let others = f64::from(load.in_use.0.saturating_sub(self.in_flight));
        let usual = self.report.map_or(others, |report| {
            let worth = 1.0 - decay(now.saturating_sub(report.at), USUAL_MEMORY);
            report.usual + (others - report.usual) * worth.max(LEAST_REPORT_WEIGHT)
        });
        self.report = Some(LoadReport { at: now, others, usual });
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

    pub(super) fn suspect(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        self.health.suspect(now, may_eject, random);
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
