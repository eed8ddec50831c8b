//! Reports outcomes to callers.

use {
    super::{EntryEffect, EntryReducer},
    crate::problem::ProblemReport,
    proto::messages::{ForwardedAnswer, NotRunReason},
    routing::{EndedRequest, RequestNumber, RequestOutcome},
    std::time::Duration,
    telemetry::EntryEvent,
};

impl EntryReducer {
    pub(super) fn answer(
        &mut self,
        number: RequestNumber,
        answer: ForwardedAnswer,
        effects: &mut Vec<EntryEffect>,
    ) {
        if self.open.remove(&number).is_none() {
            return;
        }
        effects.push(EntryEffect::Record(EntryEvent::RequestAnswered {
            request: self.request_ids.id(number),
            status: answer.status,
        }));
        effects.push(EntryEffect::Answer { number, answer });
    }

    /// Reports the outcome of a request that ended without an answer, and releases its key if the
    /// request provably did not run.
    pub(super) fn finish_request(
        &mut self,
        now: Duration,
        ended: EndedRequest,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.remove(&ended.number) else { return };
        match ended.outcome {
            RequestOutcome::NotRun(verdict) if verdict.reason() != NotRunReason::KeyInProgress => {
                self.release_key(now, &request, effects);
            }
            _ => {}
        }
        let Some(problem) = ProblemReport::from_ended(&ended) else { return };
        self.send_problem(ended.number, problem, effects);
    }

    pub(super) fn send_problem(
        &self,
        number: RequestNumber,
        problem: ProblemReport,
        effects: &mut Vec<EntryEffect>,
    ) {
        effects.push(EntryEffect::Record(EntryEvent::RequestRefused {
            request: self.request_ids.id(number),
            outcome: problem.outcome_text().to_owned(),
            reason: problem.reason_text(),
        }));
        effects.push(EntryEffect::Refuse { number, problem });
    }
}
