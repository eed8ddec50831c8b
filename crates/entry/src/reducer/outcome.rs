//! What callers are told.

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
            request: self.names.id(number),
            status: answer.status,
        }));
        effects.push(EntryEffect::Answer { number, answer });
    }

    /// Tells the caller how its request ended without an answer, and frees its key when that is
    /// known to be right.
    pub(super) fn ended(
        &mut self,
        now: Duration,
        ended: EndedRequest,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.remove(&ended.number) else { return };
        match ended.outcome {
            RequestOutcome::NotRun(verdict) if verdict.reason() != NotRunReason::KeyInProgress => {
                self.free_key(now, &request, effects);
            }
            _ => {}
        }
        let Some(problem) = ProblemReport::of_ended(&ended) else { return };
        self.tell_problem(ended.number, problem, effects);
    }

    pub(super) fn tell_problem(
        &self,
        number: RequestNumber,
        problem: ProblemReport,
        effects: &mut Vec<EntryEffect>,
    ) {
        effects.push(EntryEffect::Record(EntryEvent::RequestRefused {
            request: self.names.id(number),
            outcome: problem.outcome_text().to_owned(),
            reason: problem.reason_text(),
        }));
        effects.push(EntryEffect::Refuse { number, problem });
    }
}
