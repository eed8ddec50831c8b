//! What a router is asked, what it keeps, and what it answers.

use {
    crate::{
        admission::QueuePlace,
        outcome::{AttemptHistory, RepeatRule, RequestOutcome, RetryPermit},
    },
    base::EndpointId,
    proto::messages::{EndpointRecord, ForwardedAnswer, PriorityClass},
    std::time::Duration,
};

/// Endpoints that one request remembers having tried.
const TRIED_MEMORY: usize = 4;
const HUNDRED_PERCENT: f64 = 100.0;
/// The share of answers that come before a hedge is sent, when the budget allows for more.
const LOWEST_HEDGE_QUANTILE: f64 = 0.9;
/// The share of answers that take no longer than what a request is given before it is refused.
const NEEDED_QUANTILE: f64 = 0.95;

/// The number of a request at one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Names one dispatch of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightNumber {
    /// The request.
    pub request: RequestNumber,
    /// The number of the dispatch, from 0.
    pub dispatch: u32,
}

/// The declared values that a router needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouterPolicy {
    /// Requests that may wait.
    pub queue: u32,
    /// Retries, in percent of requests.
    pub retry_percent: u32,
    /// Hedges, in percent of requests.
    pub hedge_percent: u32,
}

impl RouterPolicy {
    /// The share of answers after which a hedge is sent, so that about as many requests are still
    /// open as the budget allows to hedge.
    pub fn hedge_quantile(&self) -> f64 {
        (1.0 - f64::from(self.hedge_percent) / HUNDRED_PERCENT).max(LOWEST_HEDGE_QUANTILE)
    }

    /// The share of answers whose latency a request must still have left.
    pub fn needed_quantile(&self) -> f64 {
        NEEDED_QUANTILE
    }
}

/// A new request.
#[derive(Debug, Clone, Copy)]
pub struct RouterRequest {
    /// Its number, larger than all before.
    pub number: RequestNumber,
    /// Whether it may be repeated.
    pub rule: RepeatRule,
    /// How urgent it is.
    pub priority: PriorityClass,
    /// When its caller stops waiting, on the clock of the entry.
    pub deadline: Duration,
}

/// A dispatch that has been decided. It can't be copied: it is sent once, or withdrawn.
#[derive(Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The dispatch.
    pub flight: FlightNumber,
    /// Where it goes.
    pub endpoint: EndpointRecord,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// True when another dispatch of the request is out.
    pub hedge: bool,
}

/// A request that has ended without an executor's answer.
#[derive(Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// The request.
    pub number: RequestNumber,
    /// What its caller is told.
    pub outcome: RequestOutcome,
    /// When it is worth trying again, if that is known.
    pub retry_after: Option<Duration>,
}

/// What a router wants done.
#[derive(Debug, PartialEq, Eq)]
pub enum RouterStep {
    /// Send a dispatch.
    Dispatch(Assignment),
    /// Tell a caller.
    End(EndedRequest),
}

/// What follows from the end of a dispatch.
#[derive(Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The caller gets this answer.
    Answered(ForwardedAnswer),
    /// The request goes on: another dispatch is out, or it waits for one.
    Waiting,
    /// The request has ended.
    Ended(EndedRequest),
    /// It may have run, must not run twice, and its agent can still be asked.
    Unresolved,
    /// The request had ended before.
    Stale,
}

/// A dispatch that is out.
#[derive(Debug)]
pub(super) struct Flight {
    pub endpoint: EndpointId,
    pub sent_at: Duration,
}

/// A request whose caller has not been told anything yet.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub request: RouterRequest,
    pub history: AttemptHistory,
    /// Grounds for the next dispatch.
    pub retry: Option<RetryPermit>,
    pub tried: Vec<EndpointId>,
}

impl TrackedRequest {
    pub fn new(request: RouterRequest) -> Self {
        Self { request, history: AttemptHistory::default(), retry: None, tried: Vec::new() }
    }

    pub fn place(&self) -> QueuePlace {
        QueuePlace::new(self.request.priority, self.request.deadline, self.request.number)
    }

    pub fn note_tried(&mut self, endpoint: EndpointId) {
        if self.tried.len() == TRIED_MEMORY {
            self.tried.remove(0);
        }
        self.tried.push(endpoint);
    }
}
