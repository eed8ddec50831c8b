//! Routing policy of an entry: selects endpoints, queues or rejects requests, and decides which
//! requests may be retried.
//!
//! The crate is pure: it has no sockets, threads or clocks, and may not know where requests come
//! from or how they travel. The reducer of `entry` calls it, and the experiments under `benches/`
//! drive the same code in virtual time. `docs/decisions/routing.md` gives the reason for each rule.

pub mod admission;
pub mod budget;
pub mod latency;
pub mod outcome;
pub mod pool;
pub mod router;

pub use {
    outcome::{
        reject_undispatched, AtMostOnceRequest, AttemptHistory, DispatchEnd, IdempotentRequest,
        NotRunProof, NotRunVerdict, RepeatRule, RequestOutcome, RetryPermit,
    },
    pool::EndpointPool,
    router::{
        Assignment, EndedRequest, FlightNumber, RequestNumber, RouterPolicy, RouterRequest,
        RouterStep, ServiceRouter, Settlement,
    },
};
