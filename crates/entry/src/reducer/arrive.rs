//! Requests that arrive, and callers that go away.

use {
    super::{EntryEffect, EntryReducer, OpenRequest, RequestHead, RequestStage},
    crate::problem::ProblemReport,
    base::ServiceName,
    proto::messages::{IdempotencyKey, NotRunReason, PriorityClass},
    routing::{refuse_undispatched, EndedRequest, RepeatRule, RequestNumber, RouterRequest},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// The longest time that a caller may ask to be waited for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

impl EntryReducer {
    pub(super) fn caller_request(
        &mut self,
        now: Duration,
        number: RequestNumber,
        head: RequestHead,
    ) -> Vec<EntryEffect> {
        let service = match self.admit_head(&head) {
            Ok(service) => service,
            Err(reason) => return self.refuse_early(number, reason),
        };
        let policy = self.policies.request_policy(&service);
        let declared = self.policies.idempotent_methods(&service);
        let rule = RepeatRule::from_method(&head.method, declared);
        let waits = head.deadline.unwrap_or(policy.deadline).min(LONGEST_DEADLINE);
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
            request: self.names.id(number),
            service: service.to_string(),
        })];
        let arrival = RouterRequest { number, rule, priority, deadline };
        let steps = self.router_mut(&service).arrive(now, arrival);
        self.follow(now, &service, steps, &mut effects);
        self.pump(now, &service, &mut effects);
        effects
    }

    /// The service that a request is for, or why it is refused before it is routed.
    fn admit_head(&self, head: &RequestHead) -> Result<ServiceName, NotRunReason> {
        if self.drain_until.is_some() {
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

    /// Refuses a request that no router has seen.
    fn refuse_early(&self, number: RequestNumber, reason: NotRunReason) -> Vec<EntryEffect> {
        let ended =
            EndedRequest { number, outcome: refuse_undispatched(reason), retry_after: None };
        let problem = ProblemReport::of_ended(&ended);
        problem.map(|problem| EntryEffect::Refuse { number, problem }).into_iter().collect()
    }

    /// A caller that went away has no use for a request that has not been sent.
    pub(super) fn caller_gone(&mut self, now: Duration, number: RequestNumber) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let Some(request) = self.open.get(&number) else { return effects };
        let service = request.service.clone();
        let router = self.router_mut(&service);
        if router.is_waiting(number) {
            if let Some(ended) = router.end(number, NotRunReason::CallerGone) {
                self.ended(now, ended, &mut effects);
            }
        }
        effects
    }
}
