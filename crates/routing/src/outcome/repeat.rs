//! Decides which requests may be dispatched again, and on what evidence.

use super::NotRunProof;

/// Methods that RFC 9110, section 9.2.2, calls idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// Permits one further dispatch. Not `Clone`, and consumed by that dispatch.
#[derive(Debug)]
pub struct RetryPermit {
    _private: (),
}

/// A request that may run more than once without harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotentRequest {
    _private: (),
}

impl IdempotentRequest {
    /// Returns a permit without proof; budgets and deadlines bound further dispatches.
    pub fn retry(self) -> RetryPermit {
        RetryPermit { _private: () }
    }
}

/// A request that must run at most once.
///
/// A further dispatch requires proof that the previous one did not run:
///
/// ```
/// use routing::{AtMostOnceRequest, NotRunProof, RetryPermit};
///
/// fn again(request: AtMostOnceRequest, proof: NotRunProof) -> RetryPermit {
///     request.retry(proof)
/// }
/// ```
///
/// Without proof it does not compile:
///
/// ```compile_fail,E0061
/// use routing::{AtMostOnceRequest, RetryPermit};
///
/// fn again(request: AtMostOnceRequest) -> RetryPermit {
///     request.retry()
/// }
/// ```
///
/// A reason alone is not proof, and a proof can't be constructed from one:
///
/// ```compile_fail,E0451
/// use {proto::messages::NotRunReason, routing::NotRunProof};
///
/// fn forge() -> NotRunProof {
///     NotRunProof { reason: NotRunReason::NoSlot }
/// }
/// ```
///
/// One proof does not permit two dispatches:
///
/// ```compile_fail,E0382
/// use routing::{AtMostOnceRequest, NotRunProof, RetryPermit};
///
/// fn twice(request: AtMostOnceRequest, proof: NotRunProof) -> [RetryPermit; 2] {
///     [request.retry(proof), request.retry(proof)]
/// }
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtMostOnceRequest {
    _private: (),
}

impl AtMostOnceRequest {
    /// Returns a permit in exchange for proof that the previous dispatch did not run.
    pub fn retry(self, _proof: NotRunProof) -> RetryPermit {
        RetryPermit { _private: () }
    }
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// May be repeated without proof.
    Idempotent(IdempotentRequest),
    /// May be repeated only with proof that the previous dispatch did not run.
    AtMostOnce(AtMostOnceRequest),
}

impl RepeatRule {
    /// Derives the rule from the method and from the methods that the service declares idempotent.
    pub fn from_method(method: &str, declared: &[String]) -> Self {
        let repeatable = IDEMPOTENT_METHODS.contains(&method)
            || declared.iter().any(|name| name.eq_ignore_ascii_case(method));
        if repeatable {
            Self::Idempotent(IdempotentRequest { _private: () })
        } else {
            Self::AtMostOnce(AtMostOnceRequest { _private: () })
        }
    }

    /// Returns true if the request may be repeated without proof.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent(_))
    }

    /// Returns a permit for a further dispatch after one that provably did not run.
    pub fn retry_not_run(self, proof: NotRunProof) -> RetryPermit {
        match self {
            Self::Idempotent(request) => request.retry(),
            Self::AtMostOnce(request) => request.retry(proof),
        }
    }

    /// Returns a permit for a further dispatch without proof, or `None` unless the request is
    /// idempotent.
    pub fn retry_without_proof(self) -> Option<RetryPermit> {
        match self {
            Self::Idempotent(request) => Some(request.retry()),
            Self::AtMostOnce(_) => None,
        }
    }
}
