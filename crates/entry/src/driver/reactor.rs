//! The thread that feeds inputs to the reducer and performs its effects.

use {
    super::worker_pool::WorkerPool,
    crate::{
        http::{answer_response, problem_response},
        reducer::{DispatchPlan, EntryEffect, EntryInput, EntryReducer, RequestHead},
    },
    base::{EventReducer, PeerAddress, ReplyTicket, RequestId, RevisionNumber},
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender},
    indexmap::IndexMap,
    proto::{
        envelope::MessageHeader,
        messages::{DeclarationPull, DispatchRequest, ForwardedRequest},
        rpc::{ConnectionUse, RpcCall, RpcClient, RpcError},
        server::{reply, HttpResponder},
    },
    routing::RequestNumber,
    std::time::Duration,
    telemetry::{
        metrics::{CounterKind, DurationKind, GaugeKind},
        ProcessContext, ProcessEvent,
    },
};

/// Maximum number of threads that call agents for dispatches. Further dispatches are queued.
const DISPATCH_THREADS: usize = 512;
/// Maximum number of threads that call control, pull declarations from peers and ask agents about
/// dispatches.
const CALL_THREADS: usize = 64;
/// Maximum interval between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// How much longer than the caller the entry waits for an agent, so that the agent's own report of
/// a passed deadline still arrives.
const REPLY_GRACE: Duration = Duration::from_millis(250);
/// Timeout of a declaration pull.
const DECLARATION_TIMEOUT: Duration = Duration::from_secs(2);

/// The part of a caller's request that the reducer does not need.
pub(super) struct Exchange {
    pub id: RequestId,
    pub request: ForwardedRequest,
    pub caller_id: Option<String>,
    pub responder: HttpResponder,
    pub arrived: Duration,
}

/// Messages from other threads to the reactor.
pub(super) enum ReactorMessage {
    Caller {
        number: RequestNumber,
        head: RequestHead,
        exchange: Exchange,
    },
    Declarations {
        known: RevisionNumber,
        responder: HttpResponder,
    },
    Input(EntryInput),
    PeerReply {
        peer: PeerAddress,
        revision: RevisionNumber,
        input: EntryInput,
    },
    /// Reject new requests and finish those in progress.
    Shutdown,
    /// All ports are closed: end once nothing is in progress.
    Stop,
}

/// The reactor and the state that its effects use.
pub(super) struct ReactorThread {
    context: ProcessContext,
    client: RpcClient,
    reducer: EntryReducer,
    inbox: Sender<ReactorMessage>,
    exchanges: IndexMap<RequestNumber, Exchange>,
    pending_pulls: IndexMap<ReplyTicket, HttpResponder>,
    next_ticket: ReplyTicket,
    dispatches: WorkerPool,
    calls: WorkerPool,
    ticked_at: Duration,
    drained: bool,
    stopping: bool,
}

impl ReactorThread {
    pub fn new(
        context: ProcessContext,
        reducer: EntryReducer,
        inbox: Sender<ReactorMessage>,
    ) -> Self {
        Self {
            client: RpcClient::new(context.identity.clone()),
            context,
            reducer,
            inbox,
            exchanges: IndexMap::new(),
            pending_pulls: IndexMap::new(),
            next_ticket: ReplyTicket::default(),
            dispatches: WorkerPool::new("entry-dispatch", DISPATCH_THREADS),
            calls: WorkerPool::new("entry-call", CALL_THREADS),
            ticked_at: Duration::ZERO,
            drained: false,
            stopping: false,
        }
    }

    /// Runs until the ports are closed and all requests in progress have ended after a shutdown.
    /// A request that a port has accepted before gets a response, if only a rejection: a request
    /// left in the channel would block the shutdown of its port.
    pub fn run(mut self, outbox: &Receiver<ReactorMessage>) {
        self.tick();
        while !(self.drained && self.stopping) {
            let now = self.now();
            let wake = self.reducer.next_wake(now).min(self.ticked_at + MAX_TICK_INTERVAL);
            let wake = wake.max(self.ticked_at + MIN_TICK_INTERVAL);
            match outbox.recv_timeout(wake.saturating_sub(now)) {
                Ok(message) => self.receive(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.now() >= wake {
                self.tick();
            }
        }
    }

    fn now(&self) -> Duration {
        self.context.clock().monotonic()
    }

    fn tick(&mut self) {
        self.ticked_at = self.now();
        let disconnected: Vec<_> = self
            .exchanges
            .iter()
            .filter(|(_, exchange)| exchange.responder.is_closed())
            .map(|(number, _)| *number)
            .collect();
        for number in disconnected {
            self.feed(EntryInput::CallerGone { number });
        }
        let waiting = self.reducer.waiting_requests() as u64;
        self.context.metrics.set(GaugeKind::QueuedRequests, waiting);
        let wall = self.context.clock().wall();
        self.feed(EntryInput::Tick { wall });
    }

    fn receive(&mut self, message: ReactorMessage) {
        match message {
            ReactorMessage::Caller { number, head, exchange } => {
                self.exchanges.insert(number, exchange);
                self.feed(EntryInput::CallerRequest { number, head });
            }
            ReactorMessage::Declarations { known, responder } => {
                self.next_ticket = self.next_ticket.next();
                let ticket = self.next_ticket;
                self.pending_pulls.insert(ticket, responder);
                self.feed(EntryInput::DeclarationsRequested { ticket, known });
            }
            ReactorMessage::Input(input) => self.feed(input),
            ReactorMessage::PeerReply { peer, revision, input } => {
                self.feed(EntryInput::RevisionReported { peer, revision });
                self.feed(input);
            }
            ReactorMessage::Shutdown => self.feed(EntryInput::Shutdown),
            ReactorMessage::Stop => self.stopping = true,
        }
    }

    fn feed(&mut self, input: EntryInput) {
        let effects = self.reducer.reduce(self.now(), input);
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    fn perform(&mut self, effect: EntryEffect) {
        match effect {
            EntryEffect::Dispatch(plan) => {
                let metrics = &self.context.metrics;
                let label = if plan.repeatable { "idempotent" } else { "at-most-once" };
                metrics.add(CounterKind::Dispatches, label, 1);
                if plan.flight.dispatch > 0 {
                    metrics.add(CounterKind::Retries, label, 1);
                }
                if plan.hedge {
                    metrics.add(CounterKind::Hedges, label, 1);
                }
                self.dispatch(plan);
            }
            EntryEffect::Answer { number, answer } => {
                if let Some(exchange) = self.exchanges.swap_remove(&number) {
                    self.record_latency(&exchange, "answered");
                    let caller_id = exchange.caller_id.as_deref();
                    let method = &exchange.request.method;
                    let response = answer_response(answer, method, &exchange.id, caller_id);
                    exchange.responder.send(response);
                }
            }
            EntryEffect::Refuse { number, problem } => {
                self.context.metrics.add(CounterKind::Refusals, problem.outcome_text(), 1);
                if let Some(exchange) = self.exchanges.swap_remove(&number) {
                    self.record_latency(&exchange, problem.outcome_text());
                    let caller_id = exchange.caller_id.as_deref();
                    let response = problem_response(&problem, &exchange.id, caller_id);
                    exchange.responder.send(response);
                }
            }
            EntryEffect::Claim { flight, peer, claim, timeout } => {
                self.call(peer, ConnectionUse::Fresh, timeout, claim, move |claim, result| {
                    EntryInput::ClaimReceived { flight, peer, claim, result }
                });
            }
            EntryEffect::Close { peer, close, timeout } => {
                self.call(peer, ConnectionUse::Fresh, timeout, close, move |close, result| {
                    EntryInput::CloseReceived { dispatch: close.dispatch, peer, result }
                });
            }
            EntryEffect::Fence { flight, agent, fence, timeout } => {
                self.call(agent, ConnectionUse::Fresh, timeout, fence, move |_, result| {
                    EntryInput::FenceReceived { flight, result }
                });
            }
            EntryEffect::PullTable { peer, pull, timeout } => {
                self.call(peer, ConnectionUse::Pooled, timeout, pull, move |_, result| {
                    EntryInput::TableReceived { peer, result }
                });
            }
            EntryEffect::PullDeclarations { peer, known } => self.pull_declarations(peer, known),
            EntryEffect::ServeDeclarations { ticket, reply: body } => {
                if let Some(responder) = self.pending_pulls.swap_remove(&ticket) {
                    reply(responder, &self.context.identity, &body);
                }
            }
            EntryEffect::InForce(revision) => {
                self.context.metrics.set(GaugeKind::Revision, revision.0);
                self.context.identity.put_in_force(revision);
                let source = self.context.identity.sender().name.clone();
                self.context.recorder.record(&ProcessEvent::RevisionInForce { revision, source });
            }
            EntryEffect::DeclarationsRefused { revision, reason } => {
                self.context.recorder.record(&ProcessEvent::RevisionRefused { revision, reason });
            }
            EntryEffect::Ready => self.context.set_ready(true),
            EntryEffect::Record(event) => self.context.recorder.record(&event),
            EntryEffect::Drained => self.drained = true,
        }
    }

    /// Records the caller's latency under its outcome.
    fn record_latency(&self, exchange: &Exchange, outcome: &'static str) {
        let waited = self.now().saturating_sub(exchange.arrived);
        self.context.metrics.observe(DurationKind::ServerRequest, outcome, waited);
    }

    fn dispatch(&mut self, plan: DispatchPlan) {
        let Some(exchange) = self.exchanges.get(&plan.flight.request) else { return };
        let request = exchange.request.clone();
        let (client, inbox) = (self.client.clone(), self.inbox.clone());
        let clock = self.context.clock().clone();
        self.dispatches.submit(move || {
            let remaining = plan.deadline.saturating_sub(clock.monotonic());
            let connection = match plan.repeatable {
                true => ConnectionUse::Pooled,
                false => ConnectionUse::Fresh,
            };
            let call = DispatchRequest {
                dispatch: plan.target.dispatch,
                endpoint: plan.target.endpoint,
                incarnation: plan.target.incarnation,
                priority: plan.priority,
                remaining,
                key: plan.key,
                request,
            };
            let peer = plan.target.agent;
            let result = client.call(peer, connection, remaining + REPLY_GRACE, &call);
            let flight = plan.flight;
            send_result(&inbox, peer, result, |result| EntryInput::DispatchDone { flight, result });
        });
    }

    fn call<C: RpcCall + Send + 'static>(
        &mut self,
        peer: PeerAddress,
        connection: ConnectionUse,
        timeout: Duration,
        call: C,
        input: impl FnOnce(C, Result<C::Reply, RpcError>) -> EntryInput + Send + 'static,
    ) {
        let (client, inbox) = (self.client.clone(), self.inbox.clone());
        self.calls.submit(move || {
            let result = client.call(peer, connection, timeout, &call);
            send_result(&inbox, peer, result, |result| input(call, result));
        });
    }

    fn pull_declarations(&mut self, peer: PeerAddress, known: RevisionNumber) {
        let (client, inbox) = (self.client.clone(), self.inbox.clone());
        self.calls.submit(move || {
            let pull = DeclarationPull { known };
            let result = client.call(peer, ConnectionUse::Fresh, DECLARATION_TIMEOUT, &pull);
            if let Ok((_, reply)) = result {
                if let Some(bundle) = reply.newer {
                    let input = EntryInput::DeclarationsReceived { bundle };
                    let _ = inbox.send(ReactorMessage::Input(input));
                }
            }
        });
    }
}

/// Sends the result of a call to the reactor, with the revision that the peer has in force.
fn send_result<R>(
    inbox: &Sender<ReactorMessage>,
    peer: PeerAddress,
    result: Result<(MessageHeader, R), RpcError>,
    input: impl FnOnce(Result<R, RpcError>) -> EntryInput,
) {
    let message = match result {
        Ok((header, reply)) => {
            ReactorMessage::PeerReply { peer, revision: header.revision, input: input(Ok(reply)) }
        }
        Err(error) => ReactorMessage::Input(input(Err(error))),
    };
    let _ = inbox.send(message);
}
