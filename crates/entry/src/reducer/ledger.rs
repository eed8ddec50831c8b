//! Requests with an idempotency key: the reducer dispatches nothing before the ledger grants the
//! claim.

use {
    super::{
        claim_target,
        open_request::{CallTimer, ClaimStep, HolderStep, RequestStage},
        unsent::UnsentEnd,
        EntryEffect, EntryReducer,
    },
    base::PeerAddress,
    proto::{
        messages::{ClaimEnd, ClaimReply, ClaimTarget, DispatchId, LedgerClaim, NotRunReason},
        rpc::RpcError,
    },
    routing::{Assignment, FlightNumber, RequestNumber},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// How long the ledger or the holder of a key may fail to reply before the request ends.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of one call to the ledger.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed claim is retried at the same or another member.
const CLAIM_RETRY_DELAY: Duration = Duration::from_millis(50);

impl EntryReducer {
    /// Claims the key of a request for a decided dispatch.
    pub(super) fn claim(
        &mut self,
        now: Duration,
        assignment: Assignment,
        effects: &mut Vec<EntryEffect>,
    ) {
        let number = assignment.flight.request;
        let Some(request) = self.open.get_mut(&number) else { return };
        let replaces = request.claimed.clone();
        let until = request.deadline.min(now + LEDGER_TIMEOUT);
        let call = CallTimer::Due { at: now };
        request.stage = RequestStage::Claiming(ClaimStep {
            assignment,
            replaces,
            until,
            call,
            unconfirmed: false,
        });
        self.unsent.insert((until, number));
        self.call_ledger(now, number, effects);
    }

    /// Sends the claim to the ledger.
    pub(super) fn call_ledger(
        &mut self,
        now: Duration,
        number: RequestNumber,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(peer) = self.control.target() else { return };
        let Some(request) = self.open.get_mut(&number) else { return };
        let (Some(key), RequestStage::Claiming(step)) = (&request.key, &mut request.stage) else {
            return;
        };
        step.call = CallTimer::InFlight;
        step.unconfirmed = true;
        effects.push(EntryEffect::Claim {
            flight: step.assignment.flight,
            peer,
            claim: LedgerClaim {
                key: key.clone(),
                fingerprint: request.fingerprint,
                target: claim_target(&self.request_ids, &step.assignment),
                keep: self.policies.request_policy(&request.service).key_keep,
                replaces: step.replaces.clone(),
            },
            timeout: CLAIM_TIMEOUT.min(step.until.saturating_sub(now)),
        });
    }

    pub(super) fn handle_claim_result(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        peer: PeerAddress,
        claim: &LedgerClaim,
        result: Result<ClaimReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        match result {
            Ok(ClaimReply::NotLeader { leader }) => {
                let hinted = self.control.redirect(peer, leader.map(|(_, address)| address));
                let pause = if hinted { Duration::ZERO } else { CLAIM_RETRY_DELAY };
                self.retry_claim_at(flight, now + pause, false);
                self.retry_calls(now, &mut effects);
            }
            Ok(reply) => {
                self.control.set_leader(peer);
                self.apply_claim_reply(now, flight, claim, reply, &mut effects);
            }
            Err(error) => {
                self.control.mark_failed(peer);
                self.retry_claim_at(flight, now + CLAIM_RETRY_DELAY, !error.proves_not_done());
            }
        }
        effects
    }

    fn apply_claim_reply(
        &mut self,
        now: Duration,
        flight: FlightNumber,
        claim: &LedgerClaim,
        reply: ClaimReply,
        effects: &mut Vec<EntryEffect>,
    ) {
        let number = flight.request;
        let own = &claim.target.dispatch;
        let granted = match &reply {
            ClaimReply::Granted => true,
            ClaimReply::Claimed(holder) => holder.dispatch == *own,
            _ => false,
        };
        if !self.is_claiming(flight) {
            if granted && !self.sent.contains_key(&flight) {
                self.close(now, claim.key.clone(), own.clone(), ClaimEnd::NotRun, effects);
            }
            return;
        }
        self.confirm_claim(number);
        match reply {
            _ if granted => self.dispatch_claimed(now, number, own.clone(), effects),
            ClaimReply::Claimed(holder) => self.ask_holder(now, number, holder, effects),
            ClaimReply::Stored(answer) => self.answer_unsent(number, answer, effects),
            ClaimReply::Lost(reason) => {
                self.end_unsent(now, number, UnsentEnd::Unknown(reason), effects);
            }
            ClaimReply::OtherRequest => {
                self.end_unsent(now, number, UnsentEnd::NotRun(NotRunReason::KeyReused), effects);
            }
            ClaimReply::Granted | ClaimReply::NotLeader { .. } => {}
        }
    }

    fn dispatch_claimed(
        &mut self,
        now: Duration,
        number: RequestNumber,
        dispatch: DispatchId,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get_mut(&number) else { return };
        request.claimed = Some(dispatch);
        if request.deadline <= now {
            return self.end_unsent(now, number, UnsentEnd::TimedOut, effects);
        }
        let Some(assignment) = self.take_assignment(number) else { return };
        effects.push(EntryEffect::Record(EntryEvent::KeyClaimed {
            request: self.request_ids.id(number),
            dispatch: assignment.flight.dispatch,
        }));
        self.send(assignment, true, effects);
    }

    /// Asks the agent of the dispatch that holds the key about its outcome.
    fn ask_holder(
        &mut self,
        now: Duration,
        number: RequestNumber,
        holder: ClaimTarget,
        effects: &mut Vec<EntryEffect>,
    ) {
        effects.push(EntryEffect::Record(EntryEvent::KeyHeld {
            request: self.request_ids.id(number),
            holder: holder.dispatch.to_string(),
        }));
        let Some(request) = self.open.get_mut(&number) else { return };
        let stage = std::mem::replace(&mut request.stage, RequestStage::Routed);
        let RequestStage::Claiming(ClaimStep { assignment, until, .. }) = stage else { return };
        let call = CallTimer::Due { at: now };
        request.stage = RequestStage::AskingHolder(HolderStep { assignment, holder, until, call });
        self.call_holder(now, number, effects);
    }

    /// Claims the key again in place of a holder that will never run.
    pub(super) fn replace_holder(
        &mut self,
        now: Duration,
        number: RequestNumber,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get_mut(&number) else { return };
        let stage = std::mem::replace(&mut request.stage, RequestStage::Routed);
        let RequestStage::AskingHolder(step) = stage else { return };
        request.stage = RequestStage::Claiming(ClaimStep {
            assignment: step.assignment,
            replaces: Some(step.holder.dispatch),
            until: step.until,
            call: CallTimer::Due { at: now },
            unconfirmed: false,
        });
        self.call_ledger(now, number, effects);
    }

    fn is_claiming(&self, flight: FlightNumber) -> bool {
        let stage = self.open.get(&flight.request).map(|request| &request.stage);
        matches!(stage, Some(RequestStage::Claiming(step)) if step.assignment.flight == flight)
    }

    fn retry_claim_at(&mut self, flight: FlightNumber, at: Duration, unconfirmed: bool) {
        if !self.is_claiming(flight) {
            return;
        }
        let Some(request) = self.open.get_mut(&flight.request) else { return };
        if let RequestStage::Claiming(step) = &mut request.stage {
            step.call = CallTimer::Due { at };
            step.unconfirmed = unconfirmed;
        }
    }

    /// Records that the ledger has replied. From then on, the ledger holds no claim for the request
    /// that this entry does not know of.
    fn confirm_claim(&mut self, number: RequestNumber) {
        if let Some(request) = self.open.get_mut(&number) {
            if let RequestStage::Claiming(step) = &mut request.stage {
                step.unconfirmed = false;
            }
        }
    }

    /// Makes the calls that are due, first ones and retries.
    pub(super) fn retry_calls(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        let due: Vec<_> = self
            .open
            .iter()
            .filter(|(_, request)| request.next_wake().is_some_and(|at| at <= now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            match self.open.get(&number).map(|request| &request.stage) {
                Some(RequestStage::Claiming(_)) => self.call_ledger(now, number, effects),
                Some(RequestStage::AskingHolder(_)) => self.call_holder(now, number, effects),
                Some(RequestStage::AskingAgent(_)) => self.call_agent(now, number, effects),
                Some(RequestStage::Routed) | None => {}
            }
        }
    }
}
