//! Admits or refuses requests, and answers dispatches and fence requests.

use {
    super::{
        memory::SeenBefore,
        types::{AgentEffect, ExecutorCall},
        AgentReducer,
    },
    base::{EndpointId, ReplyTicket, ServiceName},
    proto::messages::{
        DispatchId, DispatchOutcome, DispatchReply, DispatchRequest, FenceReply, FenceRequest,
        IdempotencyKey, NotRunReason, UnknownReason,
    },
    std::time::Duration,
    telemetry::AgentEvent,
};

/// The longest time that an executor may take for a request. The slot stays reserved until the
/// executor has answered or this time has passed, even when the caller no longer waits: an executor
/// that still works on a request can't take another in the same slot.
pub(crate) const EXECUTOR_TIME_LIMIT: Duration = Duration::from_secs(120);

/// A request that an executor is processing.
#[derive(Debug)]
pub(super) struct RunningCall {
    ticket: Option<ReplyTicket>,
    endpoint: EndpointId,
    service: ServiceName,
    key: Option<IdempotencyKey>,
    started: Duration,
    deadline: Duration,
}

impl AgentReducer {
    /// Runs a request, or answers why it can't.
    pub(super) fn on_dispatch(
        &mut self,
        now: Duration,
        ticket: ReplyTicket,
        request: DispatchRequest,
    ) {
        if let Err(outcome) = self.admit(now, &request) {
            return self.reply(ticket, request.dispatch, &request.endpoint, outcome);
        }
        let DispatchRequest { dispatch, endpoint, remaining, key, request, .. } = request;
        let Some(guarded) = self.endpoints.get(&endpoint) else { return };
        let address = guarded.announcement().address;
        let service = guarded.announcement().service.clone();
        let remaining = remaining.min(EXECUTOR_TIME_LIMIT);
        let answer_limit = self.policy.answer_limit(&self.config, &service);
        self.memory.record_start(now, &dispatch, key.as_ref());
        let call = RunningCall {
            ticket: Some(ticket),
            endpoint,
            service,
            key,
            started: now,
            deadline: now + remaining,
        };
        self.calls.insert(dispatch.clone(), call);
        let call = ExecutorCall { dispatch, address, request, answer_limit, remaining };
        self.effects.push(AgentEffect::CallExecutor(Box::new(call)));
    }

    /// Reserves a slot for the request, or returns the outcome to answer instead.
    fn admit(&mut self, now: Duration, request: &DispatchRequest) -> Result<(), DispatchOutcome> {
        let dispatch = &request.dispatch;
        match self.memory.seen(dispatch) {
            SeenBefore::Never => {}
            SeenBefore::Fenced => return Err(DispatchOutcome::NotRun(NotRunReason::Fenced)),
            SeenBefore::Repeated(outcome) => {
                self.record(AgentEvent::DispatchRepeated { dispatch: dispatch.to_string() });
                return Err(outcome);
            }
        }
        let Err(reason) = self.reserve_slot(request) else { return Ok(()) };
        self.memory.record_refusal(now, dispatch, reason);
        self.record(AgentEvent::DispatchRefused {
            dispatch: dispatch.to_string(),
            reason: format!("{reason:?}"),
        });
        Err(DispatchOutcome::NotRun(reason))
    }

    fn reserve_slot(&mut self, request: &DispatchRequest) -> Result<(), NotRunReason> {
        if request.incarnation != self.config.incarnation {
            return Err(NotRunReason::OtherIncarnation);
        }
        if self.draining || self.superseded {
            return Err(NotRunReason::Draining);
        }
        if request.remaining.is_zero() {
            return Err(NotRunReason::DeadlinePassed);
        }
        if request.key.as_ref().is_some_and(|key| self.memory.key_in_progress(key)) {
            return Err(NotRunReason::KeyInProgress);
        }
        if self.is_task_without_lease(&request.endpoint) {
            return Err(NotRunReason::NoLease);
        }
        if self.endpoints.in_use() >= self.config.call_limit {
            return Err(NotRunReason::NoSlot);
        }
        self.endpoints.admit(&request.endpoint)
    }

    /// Returns true when the endpoint's executor is a task and the worker has no lease, so that the
    /// task is being stopped. An executor that is no task serves without a lease: see
    /// `docs/decisions/agent.md`.
    fn is_task_without_lease(&self, endpoint: &EndpointId) -> bool {
        let guarded = self.endpoints.get(endpoint);
        let of_task = guarded.is_some_and(|guarded| guarded.announcement().task.is_some());
        of_task && self.lease.deadline().is_none()
    }

    /// Records the outcome of an executor call and answers the caller, if that still waits.
    pub(super) fn on_executor_done(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        outcome: DispatchOutcome,
    ) {
        let Some(call) = self.calls.swap_remove(dispatch) else { return };
        self.endpoints.release(&call.endpoint);
        if matches!(outcome, DispatchOutcome::Answered(_)) {
            self.endpoints.record_service_time(&call.endpoint, &call.service, now - call.started);
        }
        self.memory.record_end(now, dispatch, call.key.as_ref(), &outcome);
        self.record(AgentEvent::ExecutorAnswered {
            dispatch: dispatch.to_string(),
            outcome: outcome_name(&outcome),
        });
        if let Some(ticket) = call.ticket {
            self.reply(ticket, dispatch.clone(), &call.endpoint, outcome);
        }
    }

    /// Answers a fence request.
    pub(super) fn on_fence(&mut self, now: Duration, ticket: ReplyTicket, request: &FenceRequest) {
        let reply = if request.incarnation == self.config.incarnation {
            self.memory.fence(now, &request.dispatch)
        } else {
            FenceReply::OtherIncarnation(self.config.incarnation)
        };
        if reply == FenceReply::Fenced {
            let dispatch = request.dispatch.to_string();
            self.record(AgentEvent::DispatchFenced { dispatch });
        }
        self.effects.push(AgentEffect::ReplyFence { ticket, reply });
    }

    /// Answers requests whose deadline has passed while their executor still processes them.
    pub(super) fn expire_calls(&mut self, now: Duration) {
        let expired = self.calls.iter_mut().filter(|(_, call)| now >= call.deadline);
        let expired = expired.filter_map(|(dispatch, call)| {
            Some((call.ticket.take()?, dispatch.clone(), call.endpoint.clone()))
        });
        for (ticket, dispatch, endpoint) in expired.collect::<Vec<_>>() {
            self.record(AgentEvent::AnswerLate { dispatch: dispatch.to_string() });
            let outcome = DispatchOutcome::Unknown(UnknownReason::DeadlinePassed);
            self.reply(ticket, dispatch, &endpoint, outcome);
        }
    }

    /// Returns the earliest deadline of a caller that still waits.
    pub(super) fn next_call_deadline(&self) -> Option<Duration> {
        let waiting = self.calls.values().filter(|call| call.ticket.is_some());
        waiting.map(|call| call.deadline).min()
    }

    fn reply(
        &mut self,
        ticket: ReplyTicket,
        dispatch: DispatchId,
        endpoint: &EndpointId,
        outcome: DispatchOutcome,
    ) {
        let load = self.endpoints.load(endpoint, self.draining || self.superseded);
        let reply = Box::new(DispatchReply { dispatch, outcome, load });
        self.effects.push(AgentEffect::ReplyDispatch { ticket, reply });
    }
}

fn outcome_name(outcome: &DispatchOutcome) -> String {
    match outcome {
        DispatchOutcome::Answered(answer) => format!("answered {}", answer.status),
        DispatchOutcome::NotRun(reason) => format!("not run: {reason:?}"),
        DispatchOutcome::Unknown(reason) => format!("unknown: {reason:?}"),
    }
}
