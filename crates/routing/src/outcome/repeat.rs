//! Which requests may be dispatched again, and on what grounds.

use super::NotRunProof;

/// Methods that RFC 9110, section 9.2.2, calls idempotent.
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

/// Grounds for one further dispatch. It can't be copied or kept for later requests.
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
    /// Further dispatches need no proof; budgets and deadlines bound them.
    pub fn retry(self) -> RetryPermit {
        RetryPermit { _private: () }
    }
}

/// A request that must run at most once.
///
/// A further dispatch needs proof that the one before did not run:
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
/// A reason is no proof, and proof can't be made from one:
///
/// ```compile_fail,E0451
/// use {proto::messages::NotRunReason, routing::NotRunProof};
///
/// fn forge() -> NotRunProof {
///     NotRunProof { reason: NotRunReason::NoSlot }
/// }
/// ```
///
/// One proof does not serve twice:
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
    /// Turns proof that the dispatch before did not run into grounds for the next one.
    pub fn retry(self, _proof: NotRunProof) -> RetryPermit {
        RetryPermit { _private: () }
    }
}

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may.
    Idempotent(IdempotentRequest),
    /// It may not, but for proof.
    AtMostOnce(AtMostOnceRequest),
}

impl RepeatRule {
    /// Decides by the method alone, and by what the service's declaration adds.
    pub fn of_method(method: &str, declared: &[String]) -> Self {
        let repeatable = IDEMPOTENT_METHODS.contains(&method)
            || declared.iter().any(|name| name.eq_ignore_ascii_case(method));
        if repeatable {
            Self::Idempotent(IdempotentRequest { _private: () })
        } else {
            Self::AtMostOnce(AtMostOnceRequest { _private: () })
        }
    }

    /// True when the request may be repeated without proof.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent(_))
    }

    /// Grounds for a further dispatch after one that provably did not run.
    pub fn retry_not_run(self, proof: NotRunProof) -> RetryPermit {
        match self {
            Self::Idempotent(request) => request.retry(),
            Self::AtMostOnce(request) => request.retry(proof),
        }
    }

    /// Grounds for a further dispatch without proof, which only an idempotent request has.
    pub fn retry_blind(self) -> Option<RetryPermit> {
        match self {
            Self::Idempotent(request) => Some(request.retry()),
            Self::AtMostOnce(_) => None,
        }
    }
}
