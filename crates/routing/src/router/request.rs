//! Requests, policy, steps and outcomes of a router.

use {
    crate::{
        admission::QueuePosition,
        outcome::{AttemptHistory, RepeatRule, RequestOutcome, RetryPermit},
    },
    base::EndpointId,
    proto::messages::{EndpointRecord, ForwardedAnswer, PriorityClass},
    std::time::Duration,
};

/// Number of endpoints that a request remembers having tried.
const TRIED_MEMORY: usize = 4;
const HUNDRED_PERCENT: f64 = 100.0;
/// Lowest latency quantile after which a hedge is sent, even when the budget allows for more.
const LOWEST_HEDGE_QUANTILE: f64 = 0.9;
/// Latency quantile that a request must have left before its deadline to be dispatched.
const NEEDED_QUANTILE: f64 = 0.95;

/// Number of a request, unique within one run of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Identifies one dispatch of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightNumber {
    /// Request that is dispatched.
    pub request: RequestNumber,
    /// Number of the dispatch within the request, from 0.
    pub dispatch: u32,
}

/// Declared values that a router follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterPolicy {
    /// Maximum number of requests in the queue.
    pub queue: u32,
    /// Retry budget, in percent of requests.
    pub retry_percent: u32,
    /// Hedge budget, in percent of requests.
    pub hedge_percent: u32,
}

impl RouterPolicy {
    /// Returns the latency quantile after which a hedge is sent, so that the share of requests
    /// still open then about matches the hedge budget.
    pub fn hedge_quantile(&self) -> f64 {
        (1.0 - f64::from(self.hedge_percent) / HUNDRED_PERCENT).max(LOWEST_HEDGE_QUANTILE)
    }

    /// Returns the latency quantile that must fit into the time a request has left.
    pub fn needed_quantile(&self) -> f64 {
        NEEDED_QUANTILE
    }
}

/// A new request to route.
#[derive(Debug, Clone, Copy)]
pub struct RouterRequest {
    /// Request number, larger than all earlier ones.
    pub number: RequestNumber,
    /// Whether the request may be repeated.
    pub rule: RepeatRule,
    /// Priority class.
    pub priority: PriorityClass,
    /// When the caller stops waiting, on the entry's monotonic clock.
    pub deadline: Duration,
}

/// A decided dispatch. Not `Clone`: it is either sent once or withdrawn.
#[derive(Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Dispatch to send.
    pub flight: FlightNumber,
    /// Endpoint that receives the dispatch.
    pub endpoint: EndpointRecord,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// True if another dispatch of the request is in flight.
    pub hedge: bool,
}

/// A request that ended without an executor's answer.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// Request that ended.
    pub number: RequestNumber,
    /// Outcome to report to the caller.
    pub outcome: RequestOutcome,
    /// Delay after which the caller may retry, if known.
    pub retry_after: Option<Duration>,
}

/// Action that a router requests from its owner.
#[derive(Debug, PartialEq, Eq)]
pub enum RouterStep {
    /// Send a dispatch.
    Dispatch(Assignment),
    /// Report the outcome to the caller.
    End(EndedRequest),
}

/// Result of settling a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Answer to pass to the caller.
    Answered(ForwardedAnswer),
    /// The request continues: another dispatch is in flight, or the request waits for one.
    Waiting,
    /// The request ended without an answer.
    Ended(EndedRequest),
    /// The dispatch may have run and must not run twice; its agent can still be asked.
    Unresolved,
    /// The request had already ended.
    Stale,
}

/// A dispatch in flight.
#[derive(Debug)]
pub(super) struct Flight {
    pub endpoint: EndpointId,
    pub sent_at: Duration,
}

/// A request whose caller has no outcome yet.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub request: RouterRequest,
    pub history: AttemptHistory,
    /// Permit for the next dispatch.
    pub retry: Option<RetryPermit>,
    pub tried: Vec<EndpointId>,
}

impl TrackedRequest {
    pub fn new(request: RouterRequest) -> Self {
        Self { request, history: AttemptHistory::default(), retry: None, tried: Vec::new() }
    }

    pub fn position(&self) -> QueuePosition {
        QueuePosition::new(self.request.priority, self.request.deadline, self.request.number)
    }

    pub fn note_tried(&mut self, endpoint: EndpointId) {
        if self.tried.len() == TRIED_MEMORY {
            self.tried.remove(0);
        }
        self.tried.push(endpoint);
    }
}
