//! When an endpoint is left alone for a while, and how it comes back.

use {base::SeededRandom, std::time::Duration};

/// Failures in a row after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_millis(500);
const LONGEST_EJECTION: Duration = Duration::from_secs(10);
/// Ejections end at different times in different entries.
const EJECTION_JITTER: f64 = 0.5;
/// How long an endpoint that is new or back takes until it gets its full share.
const SLOW_START: Duration = Duration::from_secs(5);

/// The share that such an endpoint starts with.
const FIRST_SHARE: f64 = 0.125;

/// The state of health of an endpoint.
#[derive(Debug, Clone)]
enum HealthState {
    /// It answers. `since` is when it came or came back, if it has to start slowly.
    Serving { since: Option<Duration> },
    /// It is left alone until then.
    Ejected { until: Duration },
    /// One request at a time shows whether it answers again.
    Probation,
}

/// Follows failures and answers of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    state: HealthState,
    failures: u32,
    ejections: u32,
}

impl EndpointHealth {
    /// A new endpoint, which starts slowly.
    pub fn new(now: Duration) -> Self {
        Self { state: HealthState::Serving { since: Some(now) }, failures: 0, ejections: 0 }
    }

    /// An endpoint that gets its full share from the start.
    pub fn proven() -> Self {
        Self { state: HealthState::Serving { since: None }, failures: 0, ejections: 0 }
    }

    /// True while the endpoint is to be left alone.
    pub fn is_ejected(&self, now: Duration) -> bool {
        matches!(self.state, HealthState::Ejected { until } if now < until)
    }

    /// The share of its slots that the endpoint may be given, or `None` for one request at a time.
    pub fn share(&self, now: Duration) -> Option<f64> {
        match self.state {
            HealthState::Serving { since: None } => Some(1.0),
            HealthState::Serving { since: Some(since) } => {
                let elapsed = now.saturating_sub(since).as_secs_f64();
                Some((FIRST_SHARE + elapsed / SLOW_START.as_secs_f64()).min(1.0))
            }
            HealthState::Ejected { .. } | HealthState::Probation => None,
        }
    }

    /// It answered, or refused as a live process does.
    pub fn alive(&mut self, now: Duration) {
        self.failures = 0;
        if !matches!(self.state, HealthState::Serving { .. }) {
            self.state = HealthState::Serving { since: Some(now) };
            return;
        }
        if self.share(now) == Some(1.0) {
            self.ejections = 0;
        }
    }

    /// It failed.
    pub fn failed(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        self.failures += 1;
        let persists = match self.state {
            HealthState::Serving { .. } => self.failures >= FAILURES_TO_EJECT,
            HealthState::Ejected { until } => now >= until,
            HealthState::Probation => true,
        };
        if persists {
            self.leave_alone(now, may_eject, random);
        }
    }

    /// It has said nothing for so long that it has probably failed.
    pub fn suspect(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        if matches!(self.state, HealthState::Serving { .. }) {
            self.leave_alone(now, may_eject, random);
        }
    }

    fn leave_alone(&mut self, now: Duration, may_eject: bool, random: &mut SeededRandom) {
        if !may_eject {
            self.state = HealthState::Probation;
            return;
        }
        let doubled = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10));
        let jitter = 1.0 + EJECTION_JITTER * random.unit();
        self.state =
            HealthState::Ejected { until: now + doubled.min(LONGEST_EJECTION).mul_f64(jitter) };
        self.ejections += 1;
    }
}
