//! Arriving requests and disconnecting callers.

use {
    super::{EntryEffect, EntryReducer, OpenRequest, RequestHead, RequestStage},
    crate::problem::ProblemReport,
    base::ServiceName,
    proto::messages::{IdempotencyKey, NotRunReason, PriorityClass},
    routing::{reject_undispatched, EndedRequest, RepeatRule, RequestNumber, RouterRequest},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// Upper bound on the deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

impl EntryReducer {
    pub(super) fn handle_request(
        &mut self,
        now: Duration,
        number: RequestNumber,
        head: RequestHead,
    ) -> Vec<EntryEffect> {
        let service = match self.check_head(&head) {
            Ok(service) => service,
            Err(reason) => return self.reject_unrouted(number, reason),
        };
        let policy = self.policies.request_policy(&service);
        let declared = self.policies.idempotent_methods(&service);
        let rule = RepeatRule::from_method(&head.method, declared);
        let waits = head.deadline.unwrap_or(policy.deadline).min(MAX_DEADLINE);
        let priority = match policy.batch {
            true => PriorityClass::Batch,
            false => PriorityClass::LatencyCritical,
        };
        let deadline = now.saturating_add(waits);
        let key = head.key.filter(|_| !rule.is_idempotent());
        let request = OpenRequest {
            service: service.clone(),
            rule,
            priority,
            deadline,
            key: key.map(|text| IdempotencyKey { service: service.clone(), text }),
            fingerprint: head.fingerprint,
            claimed: None,
            stage: RequestStage::Routed,
        };
        self.open.insert(number, request);
        let mut effects = vec![EntryEffect::Record(EntryEvent::RequestReceived {
            request: self.request_ids.id(number),
            service: service.to_string(),
        })];
        let arrival = RouterRequest { number, rule, priority, deadline };
        let steps = self.router_mut(&service).arrive(now, arrival);
        self.apply_steps(now, &service, steps, &mut effects);
        self.pump(now, &service, &mut effects);
        effects
    }

    /// Returns the service of a request, or the reason for which the request is rejected before
    /// routing.
    fn check_head(&self, head: &RequestHead) -> Result<ServiceName, NotRunReason> {
        if self.drain_deadline.is_some() {
            return Err(NotRunReason::ShuttingDown);
        }
        let declared = |service: &&ServiceName| self.policies.declares(service);
        let Some(service) = head.services.iter().find(declared) else {
            return Err(match self.table.is_known() {
                true => NotRunReason::UnknownService,
                false => NotRunReason::NoEndpoint,
            });
        };
        if head.body > self.policies.request_policy(service).body_limit {
            return Err(NotRunReason::BodyTooLarge);
        }
        Ok(service.clone())
    }

    /// Rejects a request that no router has received.
    fn reject_unrouted(&self, number: RequestNumber, reason: NotRunReason) -> Vec<EntryEffect> {
        let ended =
            EndedRequest { number, outcome: reject_undispatched(reason), retry_after: None };
        let problem = ProblemReport::from_ended(&ended);
        problem.map(|problem| EntryEffect::Refuse { number, problem }).into_iter().collect()
    }

    /// Ends the request of a caller that disconnected, if the request still waits for an endpoint.
    pub(super) fn handle_disconnect(
        &mut self,
        now: Duration,
        number: RequestNumber,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let Some(request) = self.open.get(&number) else { return effects };
        let service = request.service.clone();
        let router = self.router_mut(&service);
        if router.is_waiting(number) {
            if let Some(ended) = router.end(number, NotRunReason::CallerGone) {
                self.finish_request(now, ended, &mut effects);
            }
        }
        effects
    }
}
