//! State of one endpoint as seen by one entry.

use {
    super::{health::EndpointHealth, limit::ConcurrencyLimit},
    base::{EndpointId, SeededRandom},
    proto::messages::{EndpointLoad, EndpointRecord},
    std::time::Duration,
};

/// Weight of a new sample in the moving average of latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Decay time of the difference between the last report of other entries' requests and their
/// baseline; after it about a third is left.
const REPORT_DECAY: Duration = Duration::from_millis(50);
/// Decay time of the baseline; after it about a third is left.
const BASELINE_DECAY: Duration = Duration::from_millis(500);
/// Minimum weight of a report in the baseline.
const MIN_REPORT_WEIGHT: f64 = 0.05;
/// Decay time of the latency estimate; after it about a third is left, so that an endpoint that was
/// slow is tried again.
const LATENCY_DECAY: Duration = Duration::from_secs(2);
/// Pause after an endpoint rejected a request for lack of a slot. The pause doubles with each
/// consecutive rejection, and ends early when the endpoint answers another request of this entry
/// and so reports its load.
const MIN_REJECTION_PAUSE: Duration = Duration::from_millis(10);
const MAX_REJECTION_PAUSE: Duration = Duration::from_millis(320);
/// How long a drain that the endpoint reported itself overrides the endpoint table, which may not
/// have caught up yet.
const TABLE_LAG: Duration = Duration::from_secs(5);
/// Relative cost added when all slots of an endpoint are in use, and the exponent of its growth.
const LOAD_PENALTY: f64 = 2.0;
const LOAD_PENALTY_EXPONENT: i32 = 3;
/// Lower bound on the expected latency, assumed for an endpoint that has not answered yet.
const MIN_EXPECTED_LATENCY: Duration = Duration::from_millis(1);

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    at: Duration,
    /// Slots in use by other entries.
    others: f64,
    /// Moving average of the slots in use by other entries.
    baseline: f64,
}

#[derive(Debug, Clone, Copy)]
struct LatencyEstimate {
    at: Duration,
    seconds: f64,
}

/// State of an endpoint: load, latency, concurrency limit and health.
#[derive(Debug)]
pub struct EndpointState {
    record: EndpointRecord,
    is_local: bool,
    in_flight: u32,
    report: Option<LoadReport>,
    latency: Option<LatencyEstimate>,
    limit: ConcurrencyLimit,
    health: EndpointHealth,
    drain_reported_at: Option<Duration>,
    paused_until: Duration,
    rejection_pause: Duration,
    reported_at: Duration,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord, is_local: bool, health: EndpointHealth) -> Self {
        let limit = ConcurrencyLimit::new(record.slots.0);
        Self {
            record,
            is_local,
            in_flight: 0,
            report: None,
            latency: None,
            limit,
            health,
            drain_reported_at: None,
            paused_until: Duration::ZERO,
            rejection_pause: MIN_REJECTION_PAUSE,
            reported_at: Duration::ZERO,
        }
    }

    pub(super) fn update(&mut self, now: Duration, record: EndpointRecord) {
        if record.incarnation != self.record.incarnation {
            self.health = EndpointHealth::new(now);
            self.report = None;
            self.drain_reported_at = None;
        }
        self.limit.resize(record.slots.0);
        if record.draining != self.record.draining {
            self.drain_reported_at = None;
        }
        self.record = record;
    }

    /// Returns the endpoint's id.
    pub fn id(&self) -> &EndpointId {
        &self.record.endpoint
    }

    /// Returns the endpoint's record in the endpoint table.
    pub fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns true if the endpoint is in the entry's own data centre.
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the number of requests from this entry that the endpoint holds.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns true while the endpoint is ejected after failures.
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.health.is_ejected(now)
    }

    /// Returns true if the endpoint accepts no new requests: the endpoint table says so, or the
    /// endpoint reported it so recently that the table may not have caught up.
    pub fn is_draining(&self, now: Duration) -> bool {
        self.record.draining || self.drain_reported_at.is_some_and(|at| now < at + TABLE_LAG)
    }

    /// Returns the estimated number of slots in use: this entry's own requests, and those of other
    /// entries, for which the estimate moves from the last report to the baseline as the report
    /// ages.
    pub fn estimated_in_use(&self, now: Duration) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.saturating_sub(report.at);
            let last = (report.others - report.baseline) * decay(age, REPORT_DECAY);
            (report.baseline + last) * decay(age, BASELINE_DECAY)
        });
        f64::from(self.in_flight) + others
    }

    /// Returns true if the endpoint is believed to accept requests.
    pub fn is_serving(&self, now: Duration) -> bool {
        !self.is_draining(now) && !self.health.is_ejected(now)
    }

    /// Returns true if the endpoint can take another request and keep `reserve` slots free.
    pub fn has_capacity(&self, now: Duration, reserve: f64) -> bool {
        if !self.is_serving(now) || now < self.paused_until {
            return false;
        }
        let slots = f64::from(self.record.slots.0);
        let Some(share) = self.health.share(now) else { return self.in_flight == 0 };
        let allowed = self.limit.value().min((slots * share).max(1.0));
        f64::from(self.in_flight) + 1.0 <= allowed.max(1.0) + ROUNDING_TOLERANCE
            && self.estimated_in_use(now) + 1.0 + reserve <= slots + CAPACITY_TOLERANCE
    }

    /// Returns the expected cost of a request sent now, in seconds: the latency, multiplied by a
    /// penalty that rises steeply as the slots fill up.
    pub fn cost(&self, now: Duration) -> f64 {
        let slots = f64::from(self.record.slots.0).max(1.0);
        let share = self.estimated_in_use(now) / slots;
        self.expected_latency(now) * (1.0 + LOAD_PENALTY * share.powi(LOAD_PENALTY_EXPONENT))
    }

    fn expected_latency(&self, now: Duration) -> f64 {
        let floor = MIN_EXPECTED_LATENCY.as_secs_f64();
        let Some(estimate) = self.latency else { return floor };
        let weight = decay(now.saturating_sub(estimate.at), LATENCY_DECAY);
        (estimate.seconds * weight).max(floor)
    }

    pub(super) fn begin(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns true if the endpoint has sent no load report since `sent_at`.
    pub(super) fn is_silent_since(&self, sent_at: Duration) -> bool {
        self.reported_at <= sent_at
    }

    pub(super) fn record_load(&mut self, now: Duration, load: EndpointLoad) {
        self.reported_at = now;
        let others = f64::from(load.in_use.0.saturating_sub(self.in_flight));
        let baseline = self.report.map_or(others, |report| {
            let weight = 1.0 - decay(now.saturating_sub(report.at), BASELINE_DECAY);
            report.baseline + (others - report.baseline) * weight.max(MIN_REPORT_WEIGHT)
        });
        self.report = Some(LoadReport { at: now, others, baseline });
        if load.draining {
            self.drain_reported_at = Some(now);
        }
    }

    pub(super) fn record_answer(&mut self, now: Duration, latency: Duration) {
        self.health.record_alive(now);
        self.limit.grow(self.in_flight);
        self.paused_until = Duration::ZERO;
        self.rejection_pause = MIN_REJECTION_PAUSE;
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

    pub(super) fn record_rejection(&mut self, now: Duration) {
        self.health.record_alive(now);
        self.limit.back_off(now);
        self.paused_until = now + self.rejection_pause;
        self.rejection_pause = (self.rejection_pause * 2).min(MAX_REJECTION_PAUSE);
    }

    pub(super) fn mark_draining(&mut self, now: Duration) {
        self.drain_reported_at = Some(now);
    }

    pub(super) fn suspect(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        self.health.suspect(now, may_eject, random);
    }

    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        may_eject: bool,
        random: &mut SeededRandom,
    ) {
        self.health.record_failure(now, may_eject, random);
    }
}

/// Tolerance for rounding errors in sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Fraction of a slot by which the estimated load may exceed the slots, since estimates are
/// imprecise.
const CAPACITY_TOLERANCE: f64 = 0.25;

fn decay(age: Duration, decay_time: Duration) -> f64 {
    (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}
