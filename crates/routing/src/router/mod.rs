//! The requests of one service at one entry: admission, endpoint selection, retries and hedges.

mod hedge;
mod request;
mod settle;
mod unresponsive;
mod wait;

pub use request::{
    Assignment, EndedRequest, FlightNumber, RequestNumber, RouterPolicy, RouterRequest, RouterStep,
    Settlement,
};

use {
    self::{
        hedge::HedgeTimers,
        request::{Flight, TrackedRequest},
        wait::WaitEstimator,
    },
    crate::{
        admission::{AdmissionQueue, JoinOutcome, QueuePosition},
        budget::DispatchBudget,
        latency::LatencyWindow,
        outcome::{AttemptHistory, RetryPermit},
        pool::{EndpointPool, EndpointState},
    },
    base::{DataCentreName, EndpointId, SeededRandom},
    proto::messages::{EndpointRecord, NotRunReason, PriorityClass},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Interval at which waiting requests are retried when no other event occurs. The estimated load
/// from other entries decays over time, so capacity may become available without an event.
const QUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A request that is not batch may spend at most its remaining time divided by this in the queue.
const WAIT_DIVISOR: u32 = 8;
/// Slots of an endpoint that batch requests leave free while more urgent requests arrive.
const BATCH_RESERVE: f64 = 1.0;

/// Routes the requests of one service from one entry.
#[derive(Debug)]
pub struct ServiceRouter {
    policy: RouterPolicy,
    pool: EndpointPool,
    queue: AdmissionQueue,
    /// Retries that wait until the retry budget has a token.
    deferred_retries: AdmissionQueue,
    requests: BTreeMap<RequestNumber, TrackedRequest>,
    flights: BTreeMap<FlightNumber, Flight>,
    deadlines: BTreeSet<(Duration, RequestNumber)>,
    hedge_timers: HedgeTimers,
    retries: DispatchBudget,
    hedges: DispatchBudget,
    latencies: LatencyWindow,
    waits: WaitEstimator,
    random: SeededRandom,
    last_scan_at: Duration,
}

impl ServiceRouter {
    /// Creates a router without endpoints for an entry in `data_centre`.
    pub fn new(data_centre: DataCentreName, policy: RouterPolicy, random: SeededRandom) -> Self {
        Self {
            policy,
            pool: EndpointPool::new(data_centre),
            queue: AdmissionQueue::default(),
            deferred_retries: AdmissionQueue::default(),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            hedge_timers: HedgeTimers::default(),
            retries: DispatchBudget::new(),
            hedges: DispatchBudget::new(),
            latencies: LatencyWindow::new(),
            waits: WaitEstimator::default(),
            random,
            last_scan_at: Duration::ZERO,
        }
    }

    /// Replaces the policy. Waiting requests keep their queue positions.
    pub fn set_policy(&mut self, policy: RouterPolicy) {
        self.policy = policy;
    }

    /// Returns the endpoint pool.
    pub fn pool(&self) -> &EndpointPool {
        &self.pool
    }

    /// Adds or updates an endpoint.
    pub fn upsert(&mut self, now: Duration, record: EndpointRecord) {
        self.pool.upsert(now, record);
    }

    /// Removes an endpoint. Requests already sent to it continue.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.pool.remove(endpoint);
    }

    /// Returns the number of requests that wait for an endpoint, deferred retries included.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.deferred_retries.len()
    }

    /// Returns the number of requests whose callers have no outcome yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of dispatches in flight, including those whose callers already have an
    /// outcome.
    pub fn open_flights(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of retries granted so far.
    pub fn retries_granted(&self) -> u64 {
        self.retries.granted()
    }

    /// Returns the number of hedges granted so far.
    pub fn hedges_granted(&self) -> u64 {
        self.hedges.granted()
    }

    /// Admits a new request, or rejects it or a less urgent one that already waits.
    pub fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<RouterStep> {
        self.retries.deposit(self.policy.retry_percent);
        self.hedges.deposit(self.policy.hedge_percent);
        if self.pool.is_empty() {
            return vec![self.reject_new(request.number, NotRunReason::NoEndpoint, None)];
        }
        let position = QueuePosition::new(request.priority, request.deadline, request.number);
        let ahead = self.queue.ahead_of(&position);
        let wait = self.waits.estimate(now, ahead, self.pool.in_flight(), request.priority);
        let total_time = wait.saturating_add(self.time_needed(now));
        if ahead > 0 && now.saturating_add(total_time) > request.deadline {
            return vec![self.reject_new(
                request.number,
                NotRunReason::DeadlineUnreachable,
                Some(wait),
            )];
        }
        if ahead > 0 && wait > longest_wait(now, &request) {
            return vec![self.reject_new(request.number, NotRunReason::QueueFull, Some(wait))];
        }
        let displaced = match self.queue.join(position, self.policy.queue as usize) {
            JoinOutcome::Waiting => None,
            JoinOutcome::Displaced(number) => Some(number),
            JoinOutcome::Full => {
                return vec![self.reject_new(request.number, NotRunReason::QueueFull, Some(wait))];
            }
        };
        self.waits.record_admission(now, request.priority);
        self.deadlines.insert((request.deadline, request.number));
        self.requests.insert(request.number, TrackedRequest::new(request));
        displaced
            .and_then(|number| self.end(number, NotRunReason::Displaced))
            .map(|outcome| EndedRequest { retry_after: Some(wait), ..outcome })
            .map(RouterStep::End)
            .into_iter()
            .collect()
    }

    /// Ends requests whose deadline has passed, ejects unresponsive endpoints, and sends waiting
    /// requests and hedges while endpoints have free capacity.
    pub fn pump(&mut self, now: Duration) -> Vec<RouterStep> {
        let mut steps = self.expire(now);
        self.eject_unresponsive(now);
        self.assign(now, &mut steps);
        self.send_hedges(now, &mut steps);
        steps
    }

    /// Returns when [`ServiceRouter::pump`] is due if no other event occurs before.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let queue = (self.waiting() > 0).then(|| now + QUEUE_RETRY_INTERVAL);
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        [queue, deadline, self.hedge_timers.next()].into_iter().flatten().min()
    }

    /// Ends a request that its owner cancels or can't continue. Returns `None` if the request has
    /// already ended.
    pub fn end(&mut self, number: RequestNumber, reason: NotRunReason) -> Option<EndedRequest> {
        let request = self.forget(number)?;
        let outcome = request.history.give_up(reason);
        Some(EndedRequest { number, outcome, retry_after: None })
    }

    /// Ends every request that waits in a queue.
    pub fn end_queued(&mut self, reason: NotRunReason) -> Vec<EndedRequest> {
        let positions = self.queue.positions().chain(self.deferred_retries.positions());
        let waiting: Vec<_> = positions.map(|position| position.number).collect();
        waiting.into_iter().filter_map(|number| self.end(number, reason)).collect()
    }

    /// Returns true while a request waits for an endpoint.
    pub fn is_waiting(&self, number: RequestNumber) -> bool {
        self.requests.get(&number).is_some_and(|request| {
            let position = request.position();
            self.queue.contains(&position) || self.deferred_retries.contains(&position)
        })
    }

    fn reject_new(
        &self,
        number: RequestNumber,
        reason: NotRunReason,
        retry_after: Option<Duration>,
    ) -> RouterStep {
        let outcome = AttemptHistory::default().give_up(reason);
        RouterStep::End(EndedRequest { number, outcome, retry_after })
    }

    fn forget(&mut self, number: RequestNumber) -> Option<TrackedRequest> {
        let request = self.requests.remove(&number)?;
        self.queue.leave(&request.position());
        self.deferred_retries.leave(&request.position());
        self.deadlines.remove(&(request.request.deadline, number));
        Some(request)
    }

    fn expire(&mut self, now: Duration) -> Vec<RouterStep> {
        let mut steps = Vec::new();
        while let Some((deadline, number)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            steps.extend(self.end(number, NotRunReason::DeadlinePassed).map(RouterStep::End));
        }
        steps
    }

    fn assign(&mut self, now: Duration, steps: &mut Vec<RouterStep>) {
        while let Some(position) = self.next_position(now) {
            if now.saturating_add(self.time_needed(now)) > position.deadline {
                let ended = self.end(position.number, NotRunReason::DeadlineUnreachable);
                steps.extend(ended.map(RouterStep::End));
                continue;
            }
            let Some(request) = self.requests.get_mut(&position.number) else { return };
            let reserve = match position.priority.0 {
                PriorityClass::Batch if self.waits.has_more_urgent(now, position.priority.0) => {
                    BATCH_RESERVE
                }
                _ => 0.0,
            };
            let random = &mut self.random;
            let Some(chosen) = choose(&self.pool, now, random, &request.tried, reserve) else {
                return;
            };
            let endpoint = chosen.record().clone();
            self.queue.leave(&position);
            if self.deferred_retries.leave(&position) {
                self.retries.try_take(now, self.policy.retry_percent);
            }
            let number = match request.retry.take() {
                Some(permit) => Some(request.history.begin_retry(permit)),
                None => request.history.begin_first(),
            };
            let Some(number) = number else { continue };
            let flight = FlightNumber { request: position.number, dispatch: number };
            steps.push(self.launch(now, flight, endpoint, false));
        }
    }

    /// Returns the next waiting request. Deferred retries are considered only while the retry
    /// budget has a token.
    fn next_position(&mut self, now: Duration) -> Option<QueuePosition> {
        let deferred = match self.retries.has_token(now, self.policy.retry_percent) {
            true => self.deferred_retries.first(),
            false => None,
        };
        self.queue.first().into_iter().chain(deferred).min()
    }

    fn launch(
        &mut self,
        now: Duration,
        number: FlightNumber,
        endpoint: EndpointRecord,
        hedge: bool,
    ) -> RouterStep {
        let id = endpoint.endpoint.clone();
        let hedge_delay = self.latencies.quantile(now, self.policy.hedge_quantile());
        self.pool.begin(&id);
        self.flights.insert(number, Flight { endpoint: id.clone(), sent_at: now });
        let mut remaining = Duration::ZERO;
        if let Some(tracked) = self.requests.get_mut(&number.request) {
            tracked.note_tried(id);
            remaining = tracked.request.deadline.saturating_sub(now);
            let may_hedge = !hedge && tracked.request.rule.is_idempotent();
            if let Some(delay) = hedge_delay {
                if may_hedge && self.policy.hedge_percent > 0 {
                    self.hedge_timers.set(now + delay, number);
                }
            }
        }
        RouterStep::Dispatch(Assignment { flight: number, endpoint, remaining, hedge })
    }

    /// Returns the time that a request is expected to need once it has an endpoint.
    fn time_needed(&mut self, now: Duration) -> Duration {
        self.latencies.quantile(now, self.policy.needed_quantile()).unwrap_or(Duration::ZERO)
    }

    /// Queues a request for its next dispatch.
    fn requeue(&mut self, now: Duration, number: RequestNumber, permit: RetryPermit) {
        let funded = self.retries.try_take(now, self.policy.retry_percent);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.retry = Some(permit);
        match funded {
            true => self.queue.rejoin(request.position()),
            false => self.deferred_retries.rejoin(request.position()),
        }
    }

    /// Ends a request that will not be dispatched again.
    fn give_up(&mut self, number: RequestNumber, reason: NotRunReason) -> Settlement {
        match self.end(number, reason) {
            Some(ended) => Settlement::Ended(ended),
            None => Settlement::Stale,
        }
    }
}

/// Returns the longest queueing delay that a new request may face. Batch requests may use their
/// whole remaining time; others are rejected early, since an early rejection serves their callers
/// better than a late answer.
fn longest_wait(now: Duration, request: &RouterRequest) -> Duration {
    let remaining = request.deadline.saturating_sub(now);
    match request.priority {
        PriorityClass::Batch => remaining,
        PriorityClass::LatencyCritical | PriorityClass::Urgent => remaining / WAIT_DIVISOR,
    }
}

/// Prefers endpoints that the request has not tried yet.
fn choose<'a>(
    pool: &'a EndpointPool,
    now: Duration,
    random: &mut SeededRandom,
    tried: &[EndpointId],
    reserve: f64,
) -> Option<&'a EndpointState> {
    let untried = pool.choose(now, random, tried, reserve);
    if untried.is_some() || tried.is_empty() {
        return untried;
    }
    pool.choose(now, random, &[], reserve)
}
