//! Holds the reducer under a lock, and passes its effects to the thread pools.

use {
    super::{meters, pool::JobPool},
    crate::{
        platform::PlatformCall,
        reducer::{AgentEffect, AgentInput, AgentReducer, ExecutorCall, HeartbeatSend},
    },
    base::{EventReducer, PeerAddress, ReplyTicket, RevisionNumber},
    crossbeam::channel::Sender,
    indexmap::IndexMap,
    proto::{
        envelope::MessageHeader,
        messages::{DeclarationBundle, DispatchReply, DispatchRequest, FenceReply, FenceRequest},
        rpc::ProcessIdentity,
        server::{reply, HttpResponder},
    },
    std::{
        sync::{Arc, Condvar, Mutex, MutexGuard},
        time::Duration,
    },
    telemetry::ProcessContext,
};

/// A job for a thread of a pool.
pub(super) enum CoreJob {
    /// Sends a request to an executor.
    Executor(Box<ExecutorCall>),
    /// Sends a heartbeat.
    Heartbeat(HeartbeatSend),
    /// Calls the platform.
    Platform(PlatformCall),
    /// Saves declarations, then puts their revision in force.
    PutInForce(Arc<DeclarationBundle>),
    /// Pulls declarations newer than a revision from a peer.
    Pull(PeerAddress, RevisionNumber),
}

/// The thread pools, one for each kind of work, so that no kind waits for another.
pub(super) struct CorePools {
    /// Executor calls.
    pub(super) executors: JobPool<CoreJob>,
    /// Heartbeats.
    pub(super) heartbeats: JobPool<CoreJob>,
    /// Platform calls that renew the lease or list attempts.
    pub(super) lease: JobPool<CoreJob>,
    /// Platform calls for a single attempt.
    pub(super) tasks: JobPool<CoreJob>,
    /// Saving and pulling declarations.
    pub(super) declarations: JobPool<CoreJob>,
}

struct CoreState {
    reducer: AgentReducer,
    responders: IndexMap<ReplyTicket, HttpResponder>,
    next_ticket: ReplyTicket,
    pools: Option<CorePools>,
}

/// The state that all threads of the agent share.
pub(super) struct AgentCore {
    context: ProcessContext,
    state: Mutex<CoreState>,
    changed: Condvar,
    wake: Sender<()>,
}

impl AgentCore {
    /// Creates a core without threads. [`AgentCore::open`] adds them.
    pub(super) fn new(context: ProcessContext, reducer: AgentReducer, wake: Sender<()>) -> Self {
        let state = CoreState {
            reducer,
            responders: IndexMap::new(),
            next_ticket: ReplyTicket::default(),
            pools: None,
        };
        Self { context, state: Mutex::new(state), changed: Condvar::new(), wake }
    }

    /// Sets the pools. Jobs are performed from now on.
    pub(super) fn open(&self, pools: CorePools) {
        self.lock().pools = Some(pools);
    }

    /// Removes the pools, so that no further job is started.
    pub(super) fn close(&self) -> Option<CorePools> {
        self.lock().pools.take()
    }

    /// Returns the identity of this process.
    pub(super) fn identity(&self) -> &Arc<ProcessIdentity> {
        &self.context.identity
    }

    /// Returns the context of this process: clock, metrics, recorder and identity.
    pub(super) fn context(&self) -> &ProcessContext {
        &self.context
    }

    /// Passes a dispatch to the reducer, which answers through `responder`.
    pub(super) fn dispatch(&self, request: DispatchRequest, responder: HttpResponder) {
        let request = Box::new(request);
        self.feed_with_responder(responder, |ticket| AgentInput::Dispatch { ticket, request });
    }

    /// Passes a fence request to the reducer, which answers through `responder`.
    pub(super) fn fence(&self, request: FenceRequest, responder: HttpResponder) {
        self.feed_with_responder(responder, |ticket| AgentInput::Fence { ticket, request });
    }

    /// Passes the revision that a message carries to the reducer, if it is newer than the one in
    /// force.
    pub(super) fn note_revision(&self, header: &MessageHeader) {
        let Some(peer) = header.address else { return };
        if header.revision > self.identity().in_force() {
            self.feed(AgentInput::RevisionReported { peer, revision: header.revision });
        }
    }

    /// Returns the declarations in force if they are newer than `known`.
    pub(super) fn declarations_after(&self, known: RevisionNumber) -> Option<DeclarationBundle> {
        self.lock().reducer.declarations_after(known)
    }

    /// Passes an input to the reducer and performs the effects that it returns.
    pub(super) fn feed(&self, input: AgentInput) {
        self.reduce(self.lock(), input);
    }

    /// Passes a tick to the reducer and returns when the next one is due.
    pub(super) fn tick(&self) -> Duration {
        self.feed(AgentInput::Tick { wall: self.context.clock().wall() });
        self.lock().reducer.next_wakeup()
    }

    /// Waits, up to the declared drain limit, until no request is in progress and the leader has
    /// received the notice that the agent is leaving, or has not answered for a few heartbeat
    /// intervals. Returns false when a request is still in progress.
    pub(super) fn wait_for_drain(&self) -> bool {
        let limit = self.lock().reducer.drain_limit();
        let busy = |state: &mut CoreState| {
            let now = self.context.clock().monotonic();
            state.reducer.in_progress() > 0 || !state.reducer.drain_notice_is_settled(now)
        };
        let waited = self.changed.wait_timeout_while(self.lock(), limit, busy);
        let (state, _) = waited.expect("no thread panics while it holds the core");
        state.reducer.in_progress() == 0
    }

    fn feed_with_responder(
        &self,
        responder: HttpResponder,
        input: impl FnOnce(ReplyTicket) -> AgentInput,
    ) {
        let mut state = self.lock();
        let ticket = state.next_ticket;
        state.next_ticket = ticket.next();
        state.responders.insert(ticket, responder);
        self.reduce(state, input(ticket));
    }

    fn reduce(&self, mut state: MutexGuard<'_, CoreState>, input: AgentInput) {
        let before = state.reducer.next_wakeup();
        let now = self.context.clock().monotonic();
        let effects = state.reducer.reduce(now, input);
        effects.iter().for_each(|effect| meters::count_effect(&self.context.metrics, effect));
        meters::set_gauges(&self.context.metrics, &state.reducer, now);
        let earlier = state.reducer.next_wakeup() < before;
        let lease_holds = state.reducer.lease_holds(now);
        let replies = effects.into_iter().filter_map(|effect| self.start(&mut state, effect));
        let replies: Vec<ReadyReply> = replies.collect();
        drop(state);
        self.context.set_ready(lease_holds);
        self.changed.notify_all();
        if earlier {
            let _ = self.wake.try_send(());
        }
        for reply in replies {
            reply.send(self.identity());
        }
    }

    /// Starts an effect. Returns replies to the caller, who encodes them after releasing the lock.
    fn start(&self, state: &mut CoreState, effect: AgentEffect) -> Option<ReadyReply> {
        match effect {
            AgentEffect::Record(event) => self.context.recorder.record(&event),
            AgentEffect::RecordProcess(event) => self.context.recorder.record(&event),
            AgentEffect::ReplyDispatch { ticket, reply } => {
                let responder = state.responders.swap_remove(&ticket)?;
                return Some(ReadyReply::Dispatch(responder, reply));
            }
            AgentEffect::ReplyFence { ticket, reply } => {
                let responder = state.responders.swap_remove(&ticket)?;
                return Some(ReadyReply::Fence(responder, Box::new(reply)));
            }
            effect => submit(state.pools.as_ref()?, effect),
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        self.state.lock().expect("no thread panics while it holds the core")
    }
}

fn submit(pools: &CorePools, effect: AgentEffect) {
    match effect {
        AgentEffect::CallExecutor(call) => pools.executors.submit(CoreJob::Executor(call)),
        AgentEffect::SendHeartbeat(send) => pools.heartbeats.submit(CoreJob::Heartbeat(send)),
        AgentEffect::CallPlatform(call) => match call {
            PlatformCall::List | PlatformCall::Renew { .. } => {
                pools.lease.submit(CoreJob::Platform(call));
            }
            _ => pools.tasks.submit(CoreJob::Platform(call)),
        },
        AgentEffect::PutInForce(bundle) => pools.declarations.submit(CoreJob::PutInForce(bundle)),
        AgentEffect::PullDeclarations { peer, known } => {
            pools.declarations.submit(CoreJob::Pull(peer, known));
        }
        AgentEffect::Record(_)
        | AgentEffect::RecordProcess(_)
        | AgentEffect::ReplyDispatch { .. }
        | AgentEffect::ReplyFence { .. } => {}
    }
}

enum ReadyReply {
    Dispatch(HttpResponder, Box<DispatchReply>),
    Fence(HttpResponder, Box<FenceReply>),
}

impl ReadyReply {
    fn send(self, identity: &ProcessIdentity) {
        match self {
            Self::Dispatch(responder, body) => reply(responder, identity, &*body),
            Self::Fence(responder, body) => reply(responder, identity, &*body),
        }
    }
}
