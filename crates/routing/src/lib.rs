//! How an entry decides: which endpoint gets a request, which requests wait, which are refused,
//! and which may be sent again.
//!
//! Everything here is pure policy: no sockets, threads or clocks. The crate may not know where
//! requests come from or how they travel. The reducer of `entry` calls it, and the experiments
//! under `benches/` drive the very same code in virtual time. The reasons behind each rule are in
//! `docs/decisions/routing.md`.

pub mod admission;
pub mod budget;
pub mod latency;
pub mod outcome;
pub mod pool;
pub mod router;

pub use {
    outcome::{
        refuse_undispatched, AtMostOnceRequest, AttemptHistory, DispatchEnd, IdempotentRequest,
        NotRunProof, NotRunVerdict, RepeatRule, RequestOutcome, RetryPermit,
    },
    pool::EndpointPool,
    router::{
        Assignment, EndedRequest, FlightNumber, RequestNumber, RouterPolicy, RouterRequest,
        RouterStep, ServiceRouter, Settlement,
    },
};
