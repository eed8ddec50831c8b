//! The life of requests for one service at one entry: admission, choice, retries and hedges.

mod hedge;
mod request;
mod settle;
mod suspicion;
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
        admission::{AdmissionQueue, PlaceOutcome, QueuePlace},
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

/// How soon a waiting request is looked at again when nothing else happens: estimates of what
/// others have in use fade with time alone.
const QUEUE_WAKE: Duration = Duration::from_millis(5);

/// The part of its time that a request that is not batch may have to wait, as a divisor.
const WAIT_DIVISOR: u32 = 8;
/// Slots of an endpoint that batch requests leave free while more urgent ones come.
const BATCH_RESERVE: f64 = 1.0;

/// Routes the requests of one service.
#[derive(Debug)]
pub struct ServiceRouter {
    policy: RouterPolicy,
    pool: EndpointPool,
    queue: AdmissionQueue,
    /// Retries for which the budget had nothing left.
    unpaid: AdmissionQueue,
    requests: BTreeMap<RequestNumber, TrackedRequest>,
    flights: BTreeMap<FlightNumber, Flight>,
    deadlines: BTreeSet<(Duration, RequestNumber)>,
    hedge_timers: HedgeTimers,
    retries: DispatchBudget,
    hedges: DispatchBudget,
    latencies: LatencyWindow,
    waits: WaitEstimator,
    random: SeededRandom,
    swept_at: Duration,
}

impl ServiceRouter {
    /// A router of an entry in `home`, without endpoints.
    pub fn new(home: DataCentreName, policy: RouterPolicy, random: SeededRandom) -> Self {
        Self {
            policy,
            pool: EndpointPool::new(home),
            queue: AdmissionQueue::default(),
            unpaid: AdmissionQueue::default(),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            hedge_timers: HedgeTimers::default(),
            retries: DispatchBudget::new(),
            hedges: DispatchBudget::new(),
            latencies: LatencyWindow::new(),
            waits: WaitEstimator::default(),
            random,
            swept_at: Duration::ZERO,
        }
    }

    /// Puts another policy in force. Requests that wait keep their places.
    pub fn set_policy(&mut self, policy: RouterPolicy) {
        self.policy = policy;
    }

    /// The endpoints.
    pub fn pool(&self) -> &EndpointPool {
        &self.pool
    }

    /// Adds an endpoint or notes what changed about it.
    pub fn upsert(&mut self, now: Duration, record: EndpointRecord) {
        self.pool.upsert(now, record);
    }

    /// Forgets an endpoint. Requests that are with it go on.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.pool.remove(endpoint);
    }

    /// Requests that wait for an endpoint.
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.unpaid.len()
    }

    /// Requests whose callers have not been told anything yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Dispatches that are out, also those whose callers have been told.
    pub fn open_flights(&self) -> usize {
        self.flights.len()
    }

    /// Retries granted so far.
    pub fn retries_granted(&self) -> u64 {
        self.retries.granted()
    }

    /// Hedges granted so far.
    pub fn hedges_granted(&self) -> u64 {
        self.hedges.granted()
    }

    /// Takes a new request in, or refuses it or a less urgent one.
    pub fn arrive(&mut self, now: Duration, request: RouterRequest) -> Vec<RouterStep> {
        self.retries.earn(self.policy.retry_percent);
        self.hedges.earn(self.policy.hedge_percent);
        if self.pool.is_empty() {
            return vec![self.refuse_new(request.number, NotRunReason::NoEndpoint, None)];
        }
        let place = QueuePlace::new(request.priority, request.deadline, request.number);
        let ahead = self.queue.ahead_of(&place);
        let wait = self.waits.wait(now, ahead, self.pool.in_flight(), request.priority);
        let needed = wait.saturating_add(self.time_needed(now));
        if ahead > 0 && now.saturating_add(needed) > request.deadline {
            return vec![self.refuse_new(
                request.number,
                NotRunReason::DeadlineUnreachable,
                Some(wait),
            )];
        }
        if ahead > 0 && wait > longest_wait(now, &request) {
            return vec![self.refuse_new(request.number, NotRunReason::QueueFull, Some(wait))];
        }
        let displaced = match self.queue.join(place, self.policy.queue as usize) {
            PlaceOutcome::Waiting => None,
            PlaceOutcome::Displaced(number) => Some(number),
            PlaceOutcome::Full => {
                return vec![self.refuse_new(request.number, NotRunReason::QueueFull, Some(wait))];
            }
        };
        self.waits.admitted(now, request.priority);
        self.deadlines.insert((request.deadline, request.number));
        self.requests.insert(request.number, TrackedRequest::new(request));
        displaced
            .and_then(|number| self.end(number, NotRunReason::Displaced))
            .map(|outcome| EndedRequest { retry_after: Some(wait), ..outcome })
            .map(RouterStep::End)
            .into_iter()
            .collect()
    }

    /// Does what is due: ends requests whose time is up, and sends waiting requests and hedges as
    /// far as there is room.
    pub fn pump(&mut self, now: Duration) -> Vec<RouterStep> {
        let mut steps = self.expire(now);
        self.suspect_silent(now);
        self.assign(now, &mut steps);
        self.send_hedges(now, &mut steps);
        steps
    }

    /// When [`ServiceRouter::pump`] is due if nothing happens before.
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let queue = (self.waiting() > 0).then(|| now + QUEUE_WAKE);
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        [queue, deadline, self.hedge_timers.next()].into_iter().flatten().min()
    }

    /// Ends a request that its owner has no more use for, or can't go on with. `None` when it has
    /// ended before.
    pub fn end(&mut self, number: RequestNumber, reason: NotRunReason) -> Option<EndedRequest> {
        let request = self.forget(number)?;
        let outcome = request.history.give_up(reason);
        Some(EndedRequest { number, outcome, retry_after: None })
    }

    /// Ends every request that waits and has not been dispatched.
    pub fn end_waiting(&mut self, reason: NotRunReason) -> Vec<EndedRequest> {
        let places = self.queue.places().chain(self.unpaid.places());
        let waiting: Vec<_> = places.map(|place| place.number).collect();
        waiting.into_iter().filter_map(|number| self.end(number, reason)).collect()
    }

    /// True while a request waits for an endpoint.
    pub fn is_waiting(&self, number: RequestNumber) -> bool {
        self.requests.get(&number).is_some_and(|request| {
            let place = request.place();
            self.queue.contains(&place) || self.unpaid.contains(&place)
        })
    }

    fn refuse_new(
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
        self.queue.leave(&request.place());
        self.unpaid.leave(&request.place());
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
        while let Some(place) = self.next_place(now) {
            if now.saturating_add(self.time_needed(now)) > place.deadline {
                let ended = self.end(place.number, NotRunReason::DeadlineUnreachable);
                steps.extend(ended.map(RouterStep::End));
                continue;
            }
            let Some(request) = self.requests.get_mut(&place.number) else { return };
            let reserve = match place.priority.0 {
                PriorityClass::Batch if self.waits.has_more_urgent(now, place.priority.0) => {
                    BATCH_RESERVE
                }
                _ => 0.0,
            };
            let random = &mut self.random;
            let Some(chosen) = choose(&self.pool, now, random, &request.tried, reserve) else {
                return;
            };
            let endpoint = chosen.record().clone();
            self.queue.leave(&place);
            if self.unpaid.leave(&place) {
                self.retries.try_take(now, self.policy.retry_percent);
            }
            let number = match request.retry.take() {
                Some(permit) => Some(request.history.again(permit)),
                None => request.history.first(),
            };
            let Some(number) = number else { continue };
            let flight = FlightNumber { request: place.number, dispatch: number };
            steps.push(self.launch(now, flight, endpoint, false));
        }
    }

    /// The waiting request whose turn it is. Retries that the budget has not been charged for yet
    /// only have a turn when there is something to charge.
    fn next_place(&mut self, now: Duration) -> Option<QueuePlace> {
        let unpaid = match self.retries.has_token(now, self.policy.retry_percent) {
            true => self.unpaid.first(),
            false => None,
        };
        self.queue.first().into_iter().chain(unpaid).min()
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

    /// The time that a request still needs once it has an endpoint.
    fn time_needed(&mut self, now: Duration) -> Duration {
        self.latencies.quantile(now, self.policy.needed_quantile()).unwrap_or(Duration::ZERO)
    }

    /// Lets a request wait for its next dispatch.
    fn requeue(&mut self, now: Duration, number: RequestNumber, permit: RetryPermit) {
        let paid = self.retries.try_take(now, self.policy.retry_percent);
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.retry = Some(permit);
        match paid {
            true => self.queue.rejoin(request.place()),
            false => self.unpaid.rejoin(request.place()),
        }
    }

    /// The outcome of a request that is given up now.
    fn give_up(&mut self, number: RequestNumber, reason: NotRunReason) -> Settlement {
        match self.end(number, reason) {
            Some(ended) => Settlement::Ended(ended),
            None => Settlement::Stale,
        }
    }
}

/// How long a newcomer may have to wait. Batch requests may use up their time; others are refused
/// sooner, since their callers are better served by an early word than by a late answer.
fn longest_wait(now: Duration, request: &RouterRequest) -> Duration {
    let remaining = request.deadline.saturating_sub(now);
    match request.priority {
        PriorityClass::Batch => remaining,
        PriorityClass::LatencyCritical | PriorityClass::Urgent => remaining / WAIT_DIVISOR,
    }
}

/// Prefers endpoints that the request has not tried.
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
