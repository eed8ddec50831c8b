//! The thread that runs the reducer and performs its effects.

use {
    super::{inbox::InboundCall, operator_api::send_answer, peers::PeerSenders},
    crate::node::{ControlNode, NodeEffect, NodeEvent, NodeReply},
    base::{EventReducer, ReplyTicket},
    crossbeam::{
        channel::{tick, Receiver, Sender},
        select,
    },
    indexmap::IndexMap,
    proto::server::{refuse, reply, HttpResponder},
    quorum::PersistBatch,
    std::time::{Duration, SystemTime},
    telemetry::{ControlEvent, CounterKind, GaugeKind, ProcessContext, ProcessEvent},
};

const TICK: Duration = Duration::from_millis(20);
const TICKS_PER_MEASUREMENT: u64 = 50;

/// The state and channels that the reducer's thread owns.
pub(super) struct ReducerThread {
    pub(super) node: ControlNode,
    pub(super) calls: Receiver<InboundCall>,
    pub(super) reports: Receiver<NodeEvent>,
    pub(super) stopped: Receiver<()>,
    pub(super) batches: Sender<PersistBatch>,
    pub(super) peers: PeerSenders,
    pub(super) context: ProcessContext,
}

struct ReducerLoop {
    thread: ReducerThread,
    waiting: IndexMap<ReplyTicket, HttpResponder>,
    last_ticket: ReplyTicket,
    halted: bool,
    ticks: u64,
    /// The applied index up to which log entries are counted in the metrics.
    counted: u64,
}

/// Runs until the process stops or the replicated state can't be used.
pub(super) fn run_reducer(thread: ReducerThread) {
    let ticks = tick(TICK);
    let (calls, reports) = (thread.calls.clone(), thread.reports.clone());
    let stopped = thread.stopped.clone();
    let applied = thread.node.core().applied().0;
    let mut running = ReducerLoop {
        thread,
        waiting: IndexMap::new(),
        last_ticket: ReplyTicket(0),
        halted: false,
        ticks: 0,
        counted: applied,
    };
    while !running.halted {
        select! {
            recv(stopped) -> _ => break,
            recv(reports) -> event => match event {
                Ok(event) => running.step(event),
                Err(_) => break,
            },
            recv(ticks) -> _ => running.tick(),
            recv(calls) -> call => match call {
                Ok(call) => running.receive(call),
                Err(_) => break,
            },
        }
    }
    running.thread.context.set_ready(false);
    running.thread.peers.stop();
}

impl ReducerLoop {
    fn tick(&mut self) {
        let wall = self.thread.context.clock().wall();
        let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        self.step(NodeEvent::Tick { wall_ms: since.as_millis() as u64 });
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_MEASUREMENT) {
            self.measure();
        }
    }

    fn measure(&mut self) {
        let (metrics, node) = (&self.thread.context.metrics, &self.thread.node);
        let applied = node.core().applied().0;
        metrics.add(CounterKind::Commits, "applied", applied.saturating_sub(self.counted));
        self.counted = applied;
        let leader = node.core().leader().map_or(0, |leader| leader.0);
        metrics.set(GaugeKind::Leader, leader);
        metrics.set(GaugeKind::CommittedIndex, node.core().committed().0);
        metrics.set(GaugeKind::Revision, node.state().declarations().revision().0);
        let live = node.state().workers().iter().filter(|(_, worker)| !worker.lost).count();
        metrics.set(GaugeKind::LiveWorkers, live as u64);
    }

    fn receive(&mut self, call: InboundCall) {
        match call {
            InboundCall::Quorum(note, envelope) => {
                if envelope.to != self.thread.node.core().replica() {
                    return;
                }
                for message in envelope.messages {
                    self.step(NodeEvent::Quorum {
                        from: envelope.from,
                        note: note.clone(),
                        operator_address: envelope.operator_address,
                        message,
                    });
                }
            }
            InboundCall::Heartbeat(note, heartbeat, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Heartbeat { ticket, note, heartbeat });
            }
            InboundCall::Table(note, pull, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Table { ticket, note, pull });
            }
            InboundCall::Claim(claim, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Claim { ticket, claim });
            }
            InboundCall::Close(close, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Close { ticket, close });
            }
            InboundCall::Declarations(pull, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Declarations { ticket, pull });
            }
            InboundCall::Operator(call, responder) => {
                let ticket = self.wait(responder);
                self.step(NodeEvent::Operator { ticket, call: *call });
            }
        }
    }

    fn wait(&mut self, responder: HttpResponder) -> ReplyTicket {
        self.last_ticket = self.last_ticket.next();
        self.waiting.insert(self.last_ticket, responder);
        self.last_ticket
    }

    fn step(&mut self, event: NodeEvent) {
        let now = self.thread.context.clock().monotonic();
        for effect in self.thread.node.reduce(now, event) {
            self.perform(effect);
        }
    }

    fn perform(&mut self, effect: NodeEffect) {
        let context = &self.thread.context;
        match effect {
            NodeEffect::SendQuorum { to, address, message } => {
                self.thread.peers.send(to, address, message);
            }
            NodeEffect::Persist(batch) => {
                let _ = self.thread.batches.send(batch);
            }
            NodeEffect::Reply { ticket, reply } => self.answer(ticket, reply),
            NodeEffect::Record(event) => {
                if let Some(decision) = decision_label(&event) {
                    context.metrics.add(CounterKind::Placements, decision, 1);
                }
                context.recorder.record(&event);
            }
            NodeEffect::PutInForce(revision) => {
                if revision > context.identity.in_force() {
                    context.identity.put_in_force(revision);
                    let source = context.identity.sender().name.clone();
                    context.recorder.record(&ProcessEvent::RevisionInForce { revision, source });
                }
            }
            NodeEffect::Ready(ready) => context.set_ready(ready),
            NodeEffect::Halt(_) => self.halted = true,
        }
    }

    fn answer(&mut self, ticket: ReplyTicket, answer: NodeReply) {
        let Some(responder) = self.waiting.swap_remove(&ticket) else { return };
        let identity = &self.thread.context.identity;
        match answer {
            NodeReply::Heartbeat(body) => reply(responder, identity, &body),
            NodeReply::Table(body) => reply(responder, identity, &body),
            NodeReply::Claim(body) => reply(responder, identity, &body),
            NodeReply::Close(body) => reply(responder, identity, &body),
            NodeReply::Declarations(body) => reply(responder, identity, &body),
            NodeReply::Operator(answer) => send_answer(responder, &answer),
            NodeReply::Refused(refusal) => refuse(responder, refusal),
        }
    }
}

/// Returns the metric label for the decision that an event records.
fn decision_label(event: &ControlEvent) -> Option<&'static str> {
    match event {
        ControlEvent::TaskPlaced { .. } => Some("place"),
        ControlEvent::TaskThrottled { .. } => Some("throttle"),
        ControlEvent::TaskStopping { .. } => Some("stop"),
        ControlEvent::JobParked { .. } => Some("park"),
        _ => None,
    }
}
