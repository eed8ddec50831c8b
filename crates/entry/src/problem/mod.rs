//! What a caller is told when no executor's answer can be given.

use {
    base::RequestId,
    proto::messages::{NotRunReason, UnknownReason},
    routing::{EndedRequest, NotRunVerdict, RequestOutcome},
    serde::Serialize,
    std::time::Duration,
};

/// How long a caller is asked to wait when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What became of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProblemOutcome {
    /// It did not run and never will.
    NotRun(NotRunVerdict),
    /// Nobody knows whether it ran.
    Unknown(UnknownReason),
    /// An earlier sending under the same key is still running, so that it is not "not run".
    KeyInProgress,
}

/// A problem, before it becomes `application/problem+json`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemReport {
    /// What became of the request.
    pub outcome: ProblemOutcome,
    /// When it is worth trying again, if it is.
    pub retry_after: Option<Duration>,
}

/// The body of a problem, RFC 9457 with members of our own.
#[derive(Serialize)]
struct ProblemDocument<'a> {
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: serde_json::Value,
    request: &'a RequestId,
}

impl ProblemReport {
    /// The report of a request that ended without an answer. `None` when it was answered.
    pub fn of_ended(ended: &EndedRequest) -> Option<Self> {
        match ended.outcome {
            RequestOutcome::Answered(_) => None,
            RequestOutcome::NotRun(verdict) if verdict.reason() == NotRunReason::KeyInProgress => {
                Some(Self::in_progress())
            }
            RequestOutcome::NotRun(verdict) => Some(Self::not_run(verdict, ended.retry_after)),
            RequestOutcome::Unknown(reason) => Some(Self::unknown(reason)),
        }
    }

    /// A request that did not run.
    pub fn not_run(verdict: NotRunVerdict, retry_after: Option<Duration>) -> Self {
        let retry_after =
            helps_to_retry(verdict.reason()).then(|| retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
        Self { outcome: ProblemOutcome::NotRun(verdict), retry_after }
    }

    /// A request of which nobody knows whether it ran.
    pub fn unknown(reason: UnknownReason) -> Self {
        Self { outcome: ProblemOutcome::Unknown(reason), retry_after: None }
    }

    /// A resend of a request that is still running.
    pub fn in_progress() -> Self {
        Self { outcome: ProblemOutcome::KeyInProgress, retry_after: Some(DEFAULT_RETRY_AFTER) }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self.outcome {
            ProblemOutcome::NotRun(verdict) => status_of_not_run(verdict.reason()),
            ProblemOutcome::Unknown(UnknownReason::DeadlinePassed) => 504,
            ProblemOutcome::Unknown(_) => 502,
            ProblemOutcome::KeyInProgress => 409,
        }
    }

    /// The `outcome` member.
    pub fn outcome_text(&self) -> &'static str {
        match self.outcome {
            ProblemOutcome::NotRun(_) => "not-run",
            ProblemOutcome::Unknown(_) | ProblemOutcome::KeyInProgress => "unknown",
        }
    }

    /// The `reason` member.
    pub fn reason_text(&self) -> String {
        self.reason().as_str().unwrap_or_default().to_owned()
    }

    /// The body.
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

fn status_of_not_run(reason: NotRunReason) -> u16 {
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

fn helps_to_retry(reason: NotRunReason) -> bool {
    matches!(status_of_not_run(reason), 503 | 504)
}
