//! What follows from the end of a dispatch.

use {
    super::{request::Flight, Assignment, FlightNumber, RequestNumber, ServiceRouter, Settlement},
    crate::outcome::{DispatchEnd, NotRunProof},
    proto::messages::{EndpointLoad, NotRunReason, UnknownReason},
    std::time::Duration,
};

/// A caller who waits less than this says nothing about an endpoint that does not make it.
const BLAME_AFTER: Duration = Duration::from_secs(1);

impl ServiceRouter {
    /// Notes how a dispatch ended and how busy its endpoint was.
    pub fn settle(
        &mut self,
        now: Duration,
        number: FlightNumber,
        end: DispatchEnd,
        load: Option<EndpointLoad>,
    ) -> Settlement {
        if let Some(flight) = self.flights.remove(&number) {
            self.learn(now, number.request, &flight, &end, load);
        }
        self.conclude(now, number.request, end)
    }

    /// Takes back a dispatch that has not been sent and will not be.
    pub fn withdraw(&mut self, assignment: Assignment) {
        let number = assignment.flight;
        if let Some(flight) = self.flights.remove(&number) {
            self.pool.release(&flight.endpoint);
        }
        if let Some(tracked) = self.requests.get_mut(&number.request) {
            tracked.history.withdrawn(&assignment);
        }
    }

    /// Notes what was found out about a dispatch that was [`Settlement::Unresolved`].
    pub fn conclude(
        &mut self,
        now: Duration,
        number: RequestNumber,
        end: DispatchEnd,
    ) -> Settlement {
        let Some(tracked) = self.requests.get_mut(&number) else { return Settlement::Stale };
        match end {
            DispatchEnd::Answered(answer) => {
                tracked.history.answered();
                self.forget(number);
                Settlement::Answered(answer)
            }
            DispatchEnd::NotRun(proof) => self.retry_not_run(now, number, proof),
            DispatchEnd::Unheard(_) if !tracked.request.rule.is_idempotent() => {
                Settlement::Unresolved
            }
            DispatchEnd::Unknown(reason) | DispatchEnd::Unheard(reason) => {
                self.retry_unknown(now, number, reason)
            }
        }
    }

    fn retry_not_run(
        &mut self,
        now: Duration,
        number: RequestNumber,
        proof: NotRunProof,
    ) -> Settlement {
        let Some(tracked) = self.requests.get_mut(&number) else { return Settlement::Stale };
        let reason = proof.reason();
        tracked.history.not_run(&proof);
        if tracked.history.outstanding() > 0 || tracked.retry.is_some() {
            return Settlement::Waiting;
        }
        if !may_succeed_elsewhere(reason) {
            return self.give_up(number, reason);
        }
        let permit = tracked.request.rule.retry_not_run(proof);
        self.requeue(now, number, permit);
        Settlement::Waiting
    }

    fn retry_unknown(
        &mut self,
        now: Duration,
        number: RequestNumber,
        reason: UnknownReason,
    ) -> Settlement {
        let Some(tracked) = self.requests.get_mut(&number) else { return Settlement::Stale };
        tracked.history.unknown(reason);
        if tracked.history.outstanding() > 0 || tracked.retry.is_some() {
            return Settlement::Waiting;
        }
        let Some(permit) = tracked.request.rule.retry_blind() else {
            return self.give_up(number, NotRunReason::DeadlinePassed);
        };
        let in_time = now < tracked.request.deadline;
        if !in_time || !self.retries.has_token(now, self.policy.retry_percent) {
            return self.give_up(number, NotRunReason::DeadlinePassed);
        }
        self.requeue(now, number, permit);
        Settlement::Waiting
    }

    fn learn(
        &mut self,
        now: Duration,
        number: RequestNumber,
        flight: &Flight,
        end: &DispatchEnd,
        load: Option<EndpointLoad>,
    ) {
        let endpoint = &flight.endpoint;
        let waited = now.saturating_sub(flight.sent_at);
        self.pool.release(endpoint);
        if let Some(load) = load {
            self.pool.report(now, endpoint, load);
        }
        match end {
            DispatchEnd::Answered(_) => {
                self.pool.answered(now, endpoint, waited);
                self.latencies.record(now, waited);
                self.waits.answered(waited);
            }
            DispatchEnd::NotRun(proof) => self.learn_not_run(now, flight, proof.reason()),
            DispatchEnd::Unknown(_) | DispatchEnd::Unheard(_) => {
                let deadline = self.requests.get(&number).map(|tracked| tracked.request.deadline);
                let in_time = deadline.is_some_and(|deadline| now < deadline);
                if in_time || waited >= BLAME_AFTER {
                    self.pool.failed(now, endpoint, &mut self.random);
                }
            }
        }
    }

    fn learn_not_run(&mut self, now: Duration, flight: &Flight, reason: NotRunReason) {
        let endpoint = &flight.endpoint;
        match reason {
            NotRunReason::NoSlot => self.pool.refused(now, endpoint),
            NotRunReason::Draining | NotRunReason::OtherIncarnation => {
                self.pool.left(now, endpoint);
            }
            NotRunReason::NotConnected | NotRunReason::NoEndpoint | NotRunReason::NoLease => {
                self.pool.failed(now, endpoint, &mut self.random);
            }
            _ => {}
        }
    }
}

/// True when another endpoint may run what this one did not.
fn may_succeed_elsewhere(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::NotConnected
            | NotRunReason::NoSlot
            | NotRunReason::Draining
            | NotRunReason::OtherIncarnation
            | NotRunReason::NoEndpoint
            | NotRunReason::Fenced
            | NotRunReason::NoLease
    )
}
