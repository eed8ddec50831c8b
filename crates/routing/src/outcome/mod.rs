//! What may be said about a request, and when it may be sent again, as types.
//!
//! A caller who is told "not run" relies on it, and a request that is not idempotent must run at
//! most once. Both rest on [`NotRunProof`], which only proof can make, and on [`RetryPermit`],
//! without which nothing is dispatched a second time. See `docs/decisions/routing.md`.

mod history;
mod proof;
mod repeat;

pub use {
    history::{refuse_undispatched, AttemptHistory, NotRunVerdict, RequestOutcome},
    proof::{DispatchEnd, NotRunProof},
    repeat::{AtMostOnceRequest, IdempotentRequest, RepeatRule, RetryPermit},
};
