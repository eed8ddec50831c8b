//! Requests whose dispatch is decided but not sent, because the ledger has not granted their key.
//! While the reducer holds the assignment, nothing can have run.

use {
    super::{
        open_request::{OpenRequest, RequestStage},
        EntryEffect, EntryReducer,
    },
    crate::problem::ProblemReport,
    proto::messages::{ClaimEnd, ForwardedAnswer, NotRunReason, UnknownReason},
    routing::{Assignment, RequestNumber},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// Why a request ends before its decided dispatch is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UnsentEnd {
    /// The ledger, or the agent that holds the key, did not reply in time.
    TimedOut,
    /// The request can't run.
    NotRun(NotRunReason),
    /// An earlier request with the same key may have run.
    Unknown(UnknownReason),
    /// An earlier request with the same key is running.
    InProgress,
}

impl UnsentEnd {
    fn not_run_reason(self) -> NotRunReason {
        match self {
            Self::TimedOut => NotRunReason::LedgerUnavailable,
            Self::NotRun(reason) => reason,
            Self::Unknown(_) | Self::InProgress => NotRunReason::KeyInProgress,
        }
    }

    /// Returns the problem to report if the outcome depends on the earlier request with the same
    /// key, or `None` if it follows from this request's own dispatch history.
    fn problem(self, asked_holder: bool) -> Option<ProblemReport> {
        match self {
            Self::TimedOut if asked_holder => {
                Some(ProblemReport::unknown(UnknownReason::AgentLost))
            }
            Self::TimedOut | Self::NotRun(_) => None,
            Self::Unknown(reason) => Some(ProblemReport::unknown(reason)),
            Self::InProgress => Some(ProblemReport::in_progress()),
        }
    }
}

impl EntryReducer {
    /// Ends requests that have waited too long for the ledger or for the agent that holds the key.
    /// The router takes their assignments back, which proves that nothing was sent.
    pub(super) fn expire_unsent(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        while let Some((until, number)) = self.unsent.first().copied() {
            if until > now {
                return;
            }
            self.end_unsent(now, number, UnsentEnd::TimedOut, effects);
            self.unsent.remove(&(until, number));
        }
    }

    /// Ends a request whose dispatch was decided but not sent.
    pub(super) fn end_unsent(
        &mut self,
        now: Duration,
        number: RequestNumber,
        end: UnsentEnd,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get(&number) else { return };
        let service = request.service.clone();
        let asked_holder = matches!(request.stage, RequestStage::AskingHolder(_));
        self.release_unconfirmed_claim(now, number, effects);
        let Some(assignment) = self.take_assignment(number) else { return };
        let router = self.router_mut(&service);
        router.withdraw(assignment);
        let Some(ended) = router.end(number, end.not_run_reason()) else { return };
        if end == UnsentEnd::TimedOut {
            effects.push(EntryEffect::Record(EntryEvent::LedgerUnreachable {
                request: self.request_ids.id(number),
            }));
        }
        let Some(problem) = end.problem(asked_holder) else {
            return self.finish_request(now, ended, effects);
        };
        if let Some(request) = self.open.remove(&number) {
            self.release_key(now, &request, effects);
        }
        self.send_problem(number, problem, effects);
    }

    /// Answers a request whose dispatch was decided but not sent, with the answer stored for its
    /// key.
    pub(super) fn answer_unsent(
        &mut self,
        number: RequestNumber,
        answer: ForwardedAnswer,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(assignment) = self.take_assignment(number) else { return };
        let Some(request) = self.open.get(&number) else { return };
        let service = request.service.clone();
        let router = self.router_mut(&service);
        router.withdraw(assignment);
        let _ = router.end(number, NotRunReason::KeyInProgress);
        self.answer(number, answer, effects);
    }

    /// Takes the unsent assignment of a request and leaves the request with its router.
    pub(super) fn take_assignment(&mut self, number: RequestNumber) -> Option<Assignment> {
        let request = self.open.get_mut(&number)?;
        let (until, assignment) = match std::mem::replace(&mut request.stage, RequestStage::Routed)
        {
            RequestStage::Claiming(step) => (step.until, step.assignment),
            RequestStage::AskingHolder(step) => (step.until, step.assignment),
            stage => {
                request.stage = stage;
                return None;
            }
        };
        self.unsent.remove(&(until, number));
        Some(assignment)
    }

    /// Releases the key of a request that provably did not run.
    pub(super) fn release_key(
        &mut self,
        now: Duration,
        request: &OpenRequest,
        effects: &mut Vec<EntryEffect>,
    ) {
        if let (Some(key), Some(dispatch)) = (&request.key, &request.claimed) {
            self.close(now, key.clone(), dispatch.clone(), ClaimEnd::NotRun, effects);
        }
    }

    /// Releases a claim that the ledger may have granted although the reply was lost.
    fn release_unconfirmed_claim(
        &mut self,
        now: Duration,
        number: RequestNumber,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(request) = self.open.get(&number) else { return };
        let (RequestStage::Claiming(step), Some(key)) = (&request.stage, &request.key) else {
            return;
        };
        if !step.unconfirmed {
            return;
        }
        let (key, dispatch) = (key.clone(), self.dispatch_id(step.assignment.flight));
        self.close(now, key, dispatch, ClaimEnd::NotRun, effects);
    }
}
