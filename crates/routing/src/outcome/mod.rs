//! Types that restrict which outcome is reported for a request and when it may be sent again.
//!
//! Callers rely on the outcome "not run", and a request that is not idempotent must run at most
//! once. Both guarantees rest on [`NotRunProof`], which is created only from evidence of an agent or
//! of the RPC layer, and on [`RetryPermit`], without which no request is dispatched twice. See
//! `docs/decisions/routing.md`.

mod history;
mod proof;
mod repeat;

pub use {
    history::{reject_undispatched, AttemptHistory, NotRunVerdict, RequestOutcome},
    proof::{DispatchEnd, NotRunProof},
    repeat::{AtMostOnceRequest, IdempotentRequest, RepeatRule, RetryPermit},
};
