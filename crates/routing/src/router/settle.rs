//! Applies the end of a dispatch to the endpoint's statistics and to the request.

use {
    super::{request::Flight, Assignment, FlightNumber, RequestNumber, ServiceRouter, Settlement},
    crate::outcome::{DispatchEnd, NotRunProof},
    proto::messages::{EndpointLoad, NotRunReason, UnknownReason},
    std::time::Duration,
};

/// A dispatch without an answer counts as an endpoint failure once its caller's deadline has passed
/// only if it waited at least this long: a shorter deadline says nothing about the endpoint.
const MIN_FAILURE_WAIT: Duration = Duration::from_secs(1);

impl ServiceRouter {
    /// Records how a dispatch ended and the load that its endpoint reported, and decides how the
    /// request goes on.
    pub fn settle(
        &mut self,
        now: Duration,
        number: FlightNumber,
        end: DispatchEnd,
        load: Option<EndpointLoad>,
    ) -> Settlement {
        if let Some(flight) = self.flights.remove(&number) {
            self.record_end(now, number.request, &flight, &end, load);
        }
        self.conclude(now, number.request, end)
    }

    /// Cancels a dispatch that was decided but will not be sent.
    pub fn withdraw(&mut self, assignment: Assignment) {
        let number = assignment.flight;
        if let Some(flight) = self.flights.remove(&number) {
            self.pool.release(&flight.endpoint);
        }
        if let Some(tracked) = self.requests.get_mut(&number.request) {
            tracked.history.record_withdrawn(&assignment);
        }
    }

    /// Applies what the agent reported about a dispatch that was [`Settlement::Unresolved`].
    pub fn conclude(
        &mut self,
        now: Duration,
        number: RequestNumber,
        end: DispatchEnd,
    ) -> Settlement {
        let Some(tracked) = self.requests.get_mut(&number) else { return Settlement::Stale };
        match end {
            DispatchEnd::Answered(answer) => {
                tracked.history.record_answered();
                self.forget(number);
                Settlement::Answered(answer)
            }
            DispatchEnd::NotRun(proof) => self.retry_not_run(now, number, proof),
            DispatchEnd::Unconfirmed(_) if !tracked.request.rule.is_idempotent() => {
                Settlement::Unresolved
            }
            DispatchEnd::Unknown(reason) | DispatchEnd::Unconfirmed(reason) => {
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
        tracked.history.record_not_run(&proof);
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
        tracked.history.record_unknown(reason);
        if tracked.history.outstanding() > 0 || tracked.retry.is_some() {
            return Settlement::Waiting;
        }
        let Some(permit) = tracked.request.rule.retry_without_proof() else {
            return self.give_up(number, NotRunReason::DeadlinePassed);
        };
        let in_time = now < tracked.request.deadline;
        if !in_time || !self.retries.has_token(now, self.policy.retry_percent) {
            return self.give_up(number, NotRunReason::DeadlinePassed);
        }
        self.requeue(now, number, permit);
        Settlement::Waiting
    }

    fn record_end(
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
            self.pool.record_load(now, endpoint, load);
        }
        match end {
            DispatchEnd::Answered(_) => {
                self.pool.record_answer(now, endpoint, waited);
                self.latencies.record(now, waited);
                self.waits.record_answer(waited);
            }
            DispatchEnd::NotRun(proof) => self.record_not_run_reason(now, flight, proof.reason()),
            DispatchEnd::Unknown(_) | DispatchEnd::Unconfirmed(_) => {
                let deadline = self.requests.get(&number).map(|tracked| tracked.request.deadline);
                let in_time = deadline.is_some_and(|deadline| now < deadline);
                if in_time || waited >= MIN_FAILURE_WAIT {
                    self.pool.record_failure(now, endpoint, &mut self.random);
                }
            }
        }
    }

    fn record_not_run_reason(&mut self, now: Duration, flight: &Flight, reason: NotRunReason) {
        let endpoint = &flight.endpoint;
        match reason {
            NotRunReason::NoSlot => self.pool.record_rejection(now, endpoint),
            NotRunReason::Draining | NotRunReason::OtherIncarnation => {
                self.pool.mark_draining(now, endpoint);
            }
            NotRunReason::NotConnected | NotRunReason::NoEndpoint | NotRunReason::NoLease => {
                self.pool.record_failure(now, endpoint, &mut self.random);
            }
            _ => {}
        }
    }
}

/// Returns true if another endpoint may run a request that this one rejected for `reason`.
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
