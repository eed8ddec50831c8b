//! Hedging: sends a second dispatch of an idempotent request while the first is in flight.

use {
    super::{FlightNumber, RouterStep, ServiceRouter},
    std::{collections::BTreeSet, time::Duration},
};

/// Timers of dispatches that are hedged unless they end first.
#[derive(Debug, Default)]
pub(super) struct HedgeTimers {
    timers: BTreeSet<(Duration, FlightNumber)>,
}

impl HedgeTimers {
    pub fn set(&mut self, at: Duration, flight: FlightNumber) {
        self.timers.insert((at, flight));
    }

    pub fn next(&self) -> Option<Duration> {
        self.timers.first().map(|(at, _)| *at)
    }

    fn pop_due(&mut self, now: Duration) -> Option<FlightNumber> {
        let (at, _) = self.timers.first()?;
        if *at > now {
            return None;
        }
        self.timers.pop_first().map(|(_, flight)| flight)
    }
}

impl ServiceRouter {
    pub(super) fn send_hedges(&mut self, now: Duration, steps: &mut Vec<RouterStep>) {
        while let Some(flight) = self.hedge_timers.pop_due(now) {
            steps.extend(self.hedge(now, flight));
        }
    }

    /// Sends a hedge if the dispatch is still the only one in flight, no request waits in the
    /// queue, an untried endpoint has free capacity and the hedge budget has a token.
    fn hedge(&mut self, now: Duration, flight: FlightNumber) -> Option<RouterStep> {
        if !self.flights.contains_key(&flight) || !self.queue.is_empty() {
            return None;
        }
        let tracked = self.requests.get_mut(&flight.request)?;
        if tracked.history.outstanding() != 1 {
            return None;
        }
        let permit = tracked.request.rule.retry_without_proof()?;
        let chosen = self.pool.choose(now, &mut self.random, &tracked.tried, 0.0)?;
        let endpoint = chosen.record().clone();
        if !self.hedges.try_take(now, self.policy.hedge_percent) {
            return None;
        }
        let dispatch = tracked.history.begin_retry(permit);
        let number = FlightNumber { request: flight.request, dispatch };
        Some(self.launch(now, number, endpoint, true))
    }
}
