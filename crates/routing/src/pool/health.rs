//! Ejects failing endpoints and readmits them after a probe.

use {base::SeededRandom, std::time::Duration};

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
const MIN_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(10);
/// Maximum jitter of an ejection, as a share of its duration, so that entries do not readmit an
/// endpoint at the same time.
const EJECTION_JITTER: f64 = 0.5;
/// Duration of the slow start of a new or readmitted endpoint.
const SLOW_START: Duration = Duration::from_secs(5);

/// Share of its slots that an endpoint may use at the beginning of its slow start.
const INITIAL_SHARE: f64 = 0.125;

/// Health state of an endpoint.
#[derive(Debug, Clone)]
enum HealthState {
    /// Receives requests. `since` is the beginning of the slow start, if there is one.
    Serving { since: Option<Duration> },
    /// Receives no requests until then.
    Ejected { until: Duration },
    /// Receives one request at a time, as a probe.
    Probation,
}

/// Tracks failures and answers of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
}

impl EndpointHealth {
    /// Creates the state of a new endpoint, which starts slowly.
    pub fn new(now: Duration) -> Self {
        Self { state: HealthState::Serving { since: Some(now) }, failures: 0, ejections: 0 }
    }

    /// Creates the state of an endpoint that skips the slow start.
    pub fn without_slow_start() -> Self {
        Self { state: HealthState::Serving { since: None }, failures: 0, ejections: 0 }
    }

    /// Returns true while the endpoint is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// Returns the share of its slots that the endpoint may use, or `None` for one request at a
    /// time.
    pub fn share(&self, now: Duration) -> Option<f64> {
        match self.state {
            HealthState::Serving { since: None } => Some(1.0),
            HealthState::Serving { since: Some(since) } => {
                let elapsed = now.saturating_sub(since).as_secs_f64();
                Some((INITIAL_SHARE + elapsed / SLOW_START.as_secs_f64()).min(1.0))
            }
            HealthState::Ejected { .. } | HealthState::Probation => None,
        }
    }

    /// Records an answer, or a rejection from a live process.
    pub fn record_alive(&mut self, now: Duration) {
        self.failures = 0;
        if !matches!(self.state, HealthState::Serving { .. }) {
            self.state = HealthState::Serving { since: Some(now) };
            return;
        }
        if self.share(now) == Some(1.0) {
            self.ejections = 0;
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        self.failures += 1;
        let persists = match self.state {
            HealthState::Serving { .. } => self.failures >= FAILURES_TO_EJECT,
            HealthState::Ejected { until } => now >= until,
            HealthState::Probation => true,
        };
        if persists {
            self.eject(now, may_eject, random);
        }
    }

    /// Ejects an endpoint that has been silent long enough to be presumed failed.
    pub fn suspect(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        if matches!(self.state, HealthState::Serving { .. }) {
            self.eject(now, may_eject, random);
        }
    }

    fn eject(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        if !may_eject {
            self.state = HealthState::Probation;
            return;
        }
        let doubled = MIN_EJECTION.saturating_mul(1 << self.ejections.min(10));
        let jitter = 1.0 + EJECTION_JITTER * random.unit();
        self.state =
            HealthState::Ejected { until: now + doubled.min(MAX_EJECTION).mul_f64(jitter) };
        self.ejections += 1;
    }
}
