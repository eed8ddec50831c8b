//! Asks agents about the outcome of a dispatch. The question also fences the dispatch: an agent
//! that has not received it will reject it from then on.

use {
    super::{
        close,
        open_request::{AgentStep, CallTimer, RequestStage},
        unsent::UnsentEnd,
        EntryEffect, EntryReducer, SentDispatch,
    },
    proto::{
        messages::{ClaimEnd, FenceReply, FenceRequest, UnknownReason},
        rpc::RpcError,
    },
    routing::{DispatchEnd, FlightNumber, NotRunProof, RequestNumber},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// Timeout of one call to an agent.
const FENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before an agent is asked again that did not answer, or that still runs this entry's own
/// dispatch.
const FENCE_RETRY_DELAY: Duration = Duration::from_millis(100);

impl EntryReducer {
    /// Asks the agent of the dispatch that holds the request's key.
    pub(super) fn call_holder(
        &mut self,
        now: Duration,
        number: RequestNumber,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let (Some(key), RequestStage::AskingHolder(step)) = (&request.key, &mut request.stage)
        else {
            return;
        };
        step.call = CallTimer::InFlight;
        effects.push(EntryEffect::Fence {
            flight: step.assignment.flight,
            agent: step.holder.agent,
            fence: FenceRequest {
                endpoint: step.holder.endpoint.clone(),
                incarnation: step.holder.incarnation,
                key: key.clone(),
                dispatch: step.holder.dispatch.clone(),
            },
            timeout: FENCE_TIMEOUT.min(step.until.saturating_sub(now)),
        });
    }

    /// Starts to ask the agent of this entry's own dispatch, which may have run and must not run
    /// twice.
    pub(super) fn ask_agent(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        sent: SentDispatch,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get_mut(&flight.request) else { return };
        let call = CallTimer::Due { at: now };
        request.stage = RequestStage::AskingAgent(AgentStep { flight, sent, call });
        self.call_agent(now, flight.request, effects);
    }

    /// Asks the agent of this entry's own dispatch.
    pub(super) fn call_agent(
        &mut self,
        now: Duration,
        number: RequestNumber,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let RequestStage::AskingAgent(step) = &mut request.stage else { return };
        step.call = CallTimer::InFlight;
        let target = &step.sent.target;
        effects.push(EntryEffect::Fence {
            flight: step.flight,
            agent: target.agent,
            fence: FenceRequest {
                endpoint: target.endpoint.clone(),
                incarnation: target.incarnation,
                key: step.sent.fence_key.clone(),
                dispatch: target.dispatch.clone(),
            },
            timeout: FENCE_TIMEOUT.min(request.deadline.saturating_sub(now)),
        });
    }

    pub(super) fn handle_fence_result(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        result: Result<FenceReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let Some(request) = self.open.get_mut(&flight.request) else { return effects };
        match &mut request.stage {
            RequestStage::AskingHolder(step) if step.assignment.flight == flight => match result {
                Ok(reply) => self.apply_holder_reply(now, flight.request, reply, &mut effects),
                Err(_) => step.call = CallTimer::Due { at: now + FENCE_RETRY_DELAY },
            },
            RequestStage::AskingAgent(step) if step.flight == flight => match result {
                Ok(FenceReply::InProgress) | Err(_) => {
                    step.call = CallTimer::Due { at: now + FENCE_RETRY_DELAY };
                }
                Ok(reply) => self.apply_agent_reply(now, flight, reply, &mut effects),
            },
            _ => {}
        }
        effects
    }

    /// Applies the agent's reply about the dispatch that holds the request's key.
    fn apply_holder_reply(
        &mut self,
        now: Duration,
        number: RequestNumber,
        reply: FenceReply,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get(&number) else { return };
        let (Some(key), RequestStage::AskingHolder(step)) = (&request.key, &request.stage) else {
            return;
        };
        let (key, holder) = (key.clone(), step.holder.dispatch.clone());
        match reply {
            FenceReply::Fenced => self.replace_holder(now, number, effects),
            FenceReply::InProgress => {
                self.end_unsent(now, number, UnsentEnd::InProgress, effects);
            }
            FenceReply::Answered(answer) => {
                self.close(now, key, holder, ClaimEnd::Answered(answer.clone()), effects);
                self.answer_unsent(number, answer, effects);
            }
            FenceReply::Unknown(reason) => {
                self.close(now, key, holder, ClaimEnd::Lost(reason), effects);
                self.end_unsent(now, number, UnsentEnd::Unknown(reason), effects);
            }
            FenceReply::OtherIncarnation(_) => {
                let reason = UnknownReason::AgentLost;
                self.close(now, key, holder, ClaimEnd::Lost(reason), effects);
                self.end_unsent(now, number, UnsentEnd::Unknown(reason), effects);
            }
        }
    }

    /// Applies the agent's reply about this entry's own dispatch.
    fn apply_agent_reply(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        reply: FenceReply,
        effects: &mut Vec<EntryEffect>,
    ) {
        let number = flight.request;
        let Some(request) = self.open.get_mut(&number) else { return };
        let stage = std::mem::replace(&mut request.stage, RequestStage::Routed);
        let RequestStage::AskingAgent(AgentStep { sent, .. }) = stage else { return };
        let end = match (NotRunProof::from_fence(&reply), reply) {
            (Some(proof), _) => {
                effects.push(EntryEffect::Record(EntryEvent::DispatchFenced {
                    request: self.request_ids.id(number),
                    endpoint: sent.target.endpoint.clone(),
                }));
                DispatchEnd::NotRun(proof)
            }
            (None, FenceReply::Answered(answer)) => DispatchEnd::Answered(answer),
            (None, FenceReply::Unknown(reason)) => DispatchEnd::Unknown(reason),
            (None, _) => DispatchEnd::Unknown(UnknownReason::AgentLost),
        };
        let claim_end = close::claim_end(&end);
        let service = sent.service.clone();
        let settlement = self.router_mut(&service).conclude(now, number, end);
        if sent.claimed {
            self.close_after(now, &sent, claim_end, &settlement, effects);
        }
        self.apply_settlement(now, flight, sent, settlement, effects);
        self.pump(now, &service, effects);
    }
}
