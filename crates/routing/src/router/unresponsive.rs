//! Detects endpoints that send nothing at all: the process is gone, or something on the network
//! path has lost its connections. Without detection, every request sent there would wait for its
//! deadline.

use {
    super::{FlightNumber, ServiceRouter},
    std::time::Duration,
};

/// Interval between scans of all dispatches in flight.
const SCAN_PERIOD: Duration = Duration::from_millis(50);
/// Multiple of the expected latency after which a silent endpoint is unresponsive.
const SILENCE_FACTOR: u32 = 4;
/// Bounds on that timeout.
const MIN_SILENCE: Duration = Duration::from_millis(200);
const MAX_SILENCE: Duration = Duration::from_secs(5);

impl ServiceRouter {
    /// Ejects unresponsive endpoints. Sends their idempotent requests to other endpoints while the
    /// retry budget has tokens.
    pub(super) fn eject_unresponsive(&mut self, now: Duration) {
        if now < self.last_scan_at + SCAN_PERIOD {
            return;
        }
        self.last_scan_at = now;
        let quantile = self.policy.needed_quantile();
        let Some(expected_latency) = self.latencies.quantile(now, quantile) else { return };
        let timeout = (expected_latency * SILENCE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE);
        let overdue: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.sent_at + timeout <= now)
            .map(|(number, flight)| (*number, flight.endpoint.clone(), flight.sent_at))
            .collect();
        for (number, endpoint, sent_at) in overdue {
            if self.pool.suspect(now, &endpoint, sent_at, &mut self.random) {
                self.retry_elsewhere(now, number);
            }
        }
    }

    fn retry_elsewhere(&mut self, now: Duration, number: FlightNumber) {
        if self.is_waiting(number.request) {
            return;
        }
        let Some(tracked) = self.requests.get(&number.request) else { return };
        let Some(permit) = tracked.request.rule.retry_without_proof() else { return };
        if tracked.history.outstanding() > 1
            || !self.retries.has_token(now, self.policy.retry_percent)
        {
            return;
        }
        self.requeue(now, number.request, permit);
    }
}
