//! Dispatches to agents, and their results.

use {
    super::{
        close, DispatchPlan, EntryEffect, EntryReducer, RequestIdSource, RequestStage, SentDispatch,
    },
    base::ServiceName,
    proto::{
        messages::{ClaimTarget, DispatchId, DispatchReply, IdempotencyKey},
        rpc::RpcError,
    },
    routing::{Assignment, DispatchEnd, FlightNumber, Settlement},
    std::time::Duration,
    telemetry::EntryEvent,
};

impl EntryReducer {
    pub(super) fn handle_assignment(
        &mut self,
        now: Duration,
        service: &ServiceName,
        assignment: Assignment,
        effects: &mut Vec<EntryEffect>,
    ) {
        let number = assignment.flight.request;
        match self.open.get(&number) {
            None => self.router_mut(service).withdraw(assignment),
            Some(request) if request.key.is_some() => self.claim(now, assignment, effects),
            Some(_) => self.send(assignment, false, effects),
        }
    }

    pub(super) fn send(
        &mut self,
        assignment: Assignment,
        claimed: bool,
        effects: &mut Vec<EntryEffect>,
    ) {
        let flight = assignment.flight;
        let Some(request) = self.open.get_mut(&flight.request) else { return };
        request.stage = RequestStage::Routed;
        let target = claim_target(&self.request_ids, &assignment);
        let own_key = || IdempotencyKey {
            service: request.service.clone(),
            text: target.dispatch.to_string(),
        };
        let fence_key = request.key.clone().unwrap_or_else(own_key);
        let repeatable = request.rule.is_idempotent();
        effects.push(EntryEffect::Record(EntryEvent::RequestDispatched {
            request: target.dispatch.request.clone(),
            dispatch: flight.dispatch,
            endpoint: target.endpoint.clone(),
            hedge: assignment.hedge,
        }));
        effects.push(EntryEffect::Dispatch(DispatchPlan {
            flight,
            target: target.clone(),
            priority: request.priority,
            deadline: request.deadline,
            key: (!repeatable).then(|| fence_key.clone()),
            repeatable,
            hedge: assignment.hedge,
        }));
        let service = request.service.clone();
        self.sent.insert(flight, SentDispatch { service, target, fence_key, claimed });
    }

    pub(super) fn handle_dispatch_result(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        result: Result<DispatchReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let Some(sent) = self.sent.remove(&flight) else { return Vec::new() };
        let load = match &result {
            Ok(reply) if reply.dispatch == sent.target.dispatch => Some(reply.load),
            _ => None,
        };
        let end = DispatchEnd::classify(&sent.target.dispatch, result);
        let mut effects = vec![EntryEffect::Record(EntryEvent::DispatchEnded {
            request: sent.target.dispatch.request.clone(),
            dispatch: flight.dispatch,
            end: describe_end(&end),
        })];
        let claim_end = close::claim_end(&end);
        let service = sent.service.clone();
        let settlement = self.router_mut(&service).settle(now, flight, end, load);
        if sent.claimed {
            self.close_after(now, &sent, claim_end, &settlement, &mut effects);
        }
        self.apply_settlement(now, flight, sent, settlement, &mut effects);
        self.pump(now, &service, &mut effects);
        effects
    }

    pub(super) fn apply_settlement(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        sent: SentDispatch,
        settlement: Settlement,
        effects: &mut Vec<EntryEffect>,
    ) {
        match settlement {
            Settlement::Answered(answer) => self.answer(flight.request, answer, effects),
            Settlement::Ended(ended) => self.finish_request(now, ended, effects),
            Settlement::Unresolved => self.ask_agent(now, flight, sent, effects),
            Settlement::Waiting | Settlement::Stale => {}
        }
    }
}

pub(super) fn claim_target(request_ids: &RequestIdSource, assignment: &Assignment) -> ClaimTarget {
    ClaimTarget {
        dispatch: DispatchId {
            request: request_ids.id(assignment.flight.request),
            number: assignment.flight.dispatch,
        },
        endpoint: assignment.endpoint.endpoint.clone(),
        incarnation: assignment.endpoint.incarnation,
        agent: assignment.endpoint.agent,
    }
}

fn describe_end(end: &DispatchEnd) -> String {
    match end {
        DispatchEnd::Answered(answer) => format!("answered {}", answer.status),
        DispatchEnd::NotRun(proof) => format!("not run: {:?}", proof.reason()),
        DispatchEnd::Unknown(reason) => format!("unknown: {reason:?}"),
        DispatchEnd::Unconfirmed(reason) => format!("unheard: {reason:?}"),
    }
}
