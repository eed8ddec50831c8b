//! Problem reports for callers whose requests end without an executor's answer.

use {
    base::RequestId,
    proto::messages::{NotRunReason, UnknownReason},
    routing::{EndedRequest, NotRunVerdict, RequestOutcome},
    serde::Serialize,
    std::time::Duration,
};

/// Delay suggested to callers when no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Outcome of a request that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemOutcome {
    /// The request did not run and never will.
    NotRun(NotRunVerdict),
    /// The request may or may not have run.
    Unknown(UnknownReason),
    /// An earlier request with the same key is still running, so that the outcome is not "not run".
    KeyInProgress,
}

/// A problem, from which an `application/problem+json` document is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemReport {
    /// Outcome of the request.
    pub outcome: ProblemOutcome,
    /// Delay after which a retry may succeed, or `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

/// Body of a problem: RFC 9457 with the extension members `outcome`, `reason` and `request`.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: serde_json::Value,
    request: &'a RequestId,
}

impl ProblemReport {
    /// Returns the report for a request that ended, or `None` if the request was answered.
    pub fn from_ended(ended: &EndedRequest) -> Option<Self> {
        match ended.outcome {
            RequestOutcome::Answered(_) => None,
            RequestOutcome::NotRun(verdict) if verdict.reason() == NotRunReason::KeyInProgress => {
                Some(Self::in_progress())
            }
            RequestOutcome::NotRun(verdict) => Some(Self::not_run(verdict, ended.retry_after)),
            RequestOutcome::Unknown(reason) => Some(Self::unknown(reason)),
        }
    }

    /// Returns the report for a request that did not run.
    pub fn not_run(verdict: NotRunVerdict, retry_after: Option<Duration>) -> Self {
        let retry_after =
            retry_may_help(verdict.reason()).then(|| retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        Self { outcome: ProblemOutcome::NotRun(verdict), retry_after }
    }

    /// Returns the report for a request that may or may not have run.
    pub fn unknown(reason: UnknownReason) -> Self {
        Self { outcome: ProblemOutcome::Unknown(reason), retry_after: None }
    }

    /// Returns the report for a resend of a request that is still running.
    pub fn in_progress() -> Self {
        Self { outcome: ProblemOutcome::KeyInProgress, retry_after: Some(DEFAULT_RETRY_AFTER) }
    }

    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self.outcome {
            ProblemOutcome::NotRun(verdict) => not_run_status(verdict.reason()),
            ProblemOutcome::Unknown(UnknownReason::DeadlinePassed) => 504,
            ProblemOutcome::Unknown(_) => 502,
            ProblemOutcome::KeyInProgress => 409,
        }
    }

    /// Returns the `outcome` member.
    pub fn outcome_text(&self) -> &'static str {
        match self.outcome {
            ProblemOutcome::NotRun(_) => "not-run",
            ProblemOutcome::Unknown(_) | ProblemOutcome::KeyInProgress => "unknown",
        }
    }

    /// Returns the `reason` member.
    pub fn reason_text(&self) -> String {
        self.reason().as_str().unwrap_or_default().to_owned()
    }

    /// Returns the JSON document.
    pub fn document(&self, request: &RequestId) -> Vec<u8> {
        let document = ProblemDocument {
            title: self.title(),
            status: self.status(),
            outcome: self.outcome_text(),
            reason: self.reason(),
            request,
        };
        serde_json::to_vec(&document).unwrap_or_default()
    }

    fn reason(&self) -> serde_json::Value {
        let reason = match self.outcome {
            ProblemOutcome::NotRun(verdict) => serde_json::to_value(verdict.reason()),
            ProblemOutcome::Unknown(reason) => serde_json::to_value(reason),
            ProblemOutcome::KeyInProgress => serde_json::to_value(NotRunReason::KeyInProgress),
        };
        reason.unwrap_or_default()
    }

    fn title(&self) -> &'static str {
        match self.outcome {
            ProblemOutcome::NotRun(_) => "The request did not run.",
            ProblemOutcome::Unknown(_) => "Nobody knows whether the request ran.",
            ProblemOutcome::KeyInProgress => "A request with this key is in progress.",
        }
    }
}

fn not_run_status(reason: NotRunReason) -> u16 {
    match reason {
        NotRunReason::UnknownService => 404,
        NotRunReason::BadRequest => 400,
        NotRunReason::BodyTooLarge => 413,
        NotRunReason::KeyReused => 422,
        NotRunReason::KeyInProgress => 409,
        NotRunReason::DeadlinePassed => 504,
        NotRunReason::NotConnected
        | NotRunReason::NoSlot
        | NotRunReason::Draining
        | NotRunReason::OtherIncarnation
        | NotRunReason::NoEndpoint
        | NotRunReason::Fenced
        | NotRunReason::NoLease
        | NotRunReason::QueueFull
        | NotRunReason::DeadlineUnreachable
        | NotRunReason::Displaced
        | NotRunReason::CallerGone
        | NotRunReason::ShuttingDown
        | NotRunReason::LedgerUnavailable => 503,
    }
}

fn retry_may_help(reason: NotRunReason) -> bool {
    matches!(not_run_status(reason), 503 | 504)
}
