//! Endpoints that say nothing at all: something between the two ends has lost track of their
//! connections, or they are gone. Waiting for deadlines to tell would cost every request sent
//! there until then.

use {
    super::{FlightNumber, ServiceRouter},
    std::time::Duration,
};

/// The time between two looks at all dispatches that are out.
const SWEEP_PERIOD: Duration = Duration::from_millis(50);
/// How many times the latency that nearly all answers keep to an endpoint may be silent.
const PATIENCE: u32 = 4;
/// The shortest and the longest time that it may be silent.
const LEAST_PATIENCE: Duration = Duration::from_millis(200);
const MOST_PATIENCE: Duration = Duration::from_secs(5);

impl ServiceRouter {
    /// Ejects endpoints that have been silent for too long, and sends what they have and may be
    /// repeated elsewhere, as far as the budget for retries goes.
    pub(super) fn suspect_silent(&mut self, now: Duration) {
        if now < self.swept_at + SWEEP_PERIOD {
            return;
        }
        self.swept_at = now;
        let quantile = self.policy.needed_quantile();
        let Some(usual) = self.latencies.quantile(now, quantile) else { return };
        let patience = (usual * PATIENCE).clamp(LEAST_PATIENCE, MOST_PATIENCE);
        let overdue: Vec<_> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.sent_at + patience <= now)
            .map(|(number, flight)| (*number, flight.endpoint.clone(), flight.sent_at))
            .collect();
        for (number, endpoint, sent_at) in overdue {
            if self.pool.suspect(now, &endpoint, sent_at, &mut self.random) {
                self.send_elsewhere(now, number);
            }
        }
    }

    fn send_elsewhere(&mut self, now: Duration, number: FlightNumber) {
        if self.is_waiting(number.request) {
            return;
        }
        let Some(tracked) = self.requests.get(&number.request) else { return };
        let Some(permit) = tracked.request.rule.retry_blind() else { return };
        if tracked.history.outstanding() > 1
            || !self.retries.has_token(now, self.policy.retry_percent)
        {
            return;
        }
        self.requeue(now, number.request, permit);
    }
}
