//! The agent's loop: the executor's calls and the stream to the leader around the reducer.

use {
    crate::{
        clock::BootClock,
        leader::{LeaderEvent, LeaderSearch},
        logging::LineLog,
    },
    base::{ClockSource, EventReducer},
    link::LinkSender,
    std::{future::Future, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{
            mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender},
            Notify,
        },
        time::{interval, MissedTickBehavior},
    },
    workflow::{
        agent::{
            AgentEffect, AgentEvent, AgentNode, AgentSettings, CallFailure, HoldView, StartVerdict,
        },
        job::{RunNumber, TaskKey, WorkerLife},
        message::{LinkMessage, StartOrder, WorkerReport},
    },
};

/// How often the reducer is told the time. It decides nothing finer than this without an event.
const TICK: Duration = Duration::from_millis(50);

/// A poll of the executor. See [`AgentEffect::Hold`].
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// The life that is meant.
    pub worker: WorkerLife,
    /// Orders with a lower one than the executor has seen do nothing.
    pub fence: u64,
    /// The last end that may be forgotten.
    pub noted: u64,
    /// Until when everything may run, on the executor's clock.
    pub deadline_ms: Option<u64>,
    /// How long the executor may wait for an end.
    pub wait: Duration,
}

/// A call about one run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The life that is meant.
    pub worker: WorkerLife,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// Orders with a lower one than the executor has seen do nothing.
    pub fence: u64,
}

/// How an executor is called. A call that gets no answer may still be carried out.
pub trait ExecutorPort: 'static {
    /// Renews the lease and reads both lists.
    fn hold(
        &self,
        request: HoldRequest,
    ) -> impl Future<Output = Result<HoldView, CallFailure>> + 'static;

    /// Starts a run.
    fn start(
        &self,
        order: StartOrder,
        fence: u64,
        deadline_ms: u64,
    ) -> impl Future<Output = StartVerdict> + 'static;

    /// Stops a run; true if the executor has confirmed it.
    fn stop(&self, request: RunRequest) -> impl Future<Output = bool> + 'static;

    /// Lets a run work at a share of its speed.
    fn pace(&self, request: RunRequest, percent: u8) -> impl Future<Output = ()> + 'static;
}

/// What an agent is told when it starts.
#[derive(Debug, Clone)]
pub struct AgentSetup {
    /// Its name.
    pub name: String,
    /// Where control processes may listen.
    pub seeds: Vec<SocketAddr>,
    /// How long a lease runs.
    pub lease: Duration,
    /// Where the executor answers.
    pub place: String,
}

enum AgentInput {
    Leader(LeaderEvent),
    Event(AgentEvent),
}

/// Passes the executor's own messages to the loop.
#[derive(Clone)]
pub struct AgentHandle {
    inputs: UnboundedSender<AgentInput>,
}

impl AgentHandle {
    /// The executor describes itself.
    pub fn beat(&self, report: WorkerReport, sequence: u64) {
        let event = AgentEvent::Beat { report, sequence };
        // The loop ends only with the process.
        let _ = self.inputs.send(AgentInput::Event(event));
    }
}

struct AgentLoop<P> {
    node: AgentNode,
    clock: BootClock,
    port: Rc<P>,
    leader: Option<LinkSender<LinkMessage>>,
    reconnect: Rc<Notify>,
    inputs: UnboundedSender<AgentInput>,
    log: LineLog,
}

/// Starts the loop. Has to be called on a `LocalSet`.
pub fn start_agent<P: ExecutorPort>(setup: AgentSetup, port: P, log: LineLog) -> AgentHandle {
    let (inputs, queue) = unbounded_channel();
    let clock = BootClock::new();
    let reconnect: Rc<Notify> = Rc::default();
    let (name, seeds) = (setup.name, setup.seeds);
    let search = LeaderSearch { name, seeds, log: log.clone(), reconnect: reconnect.clone() };
    tokio::task::spawn_local(search.run(inputs.clone(), AgentInput::Leader));
    let settings = AgentSettings { lease: setup.lease, place: Arc::from(setup.place) };
    let running = AgentLoop {
        node: AgentNode::new(settings, clock.monotonic()),
        clock,
        port: Rc::new(port),
        leader: None,
        reconnect,
        inputs: inputs.clone(),
        log,
    };
    tokio::task::spawn_local(running.run(queue));
    AgentHandle { inputs }
}

impl<P: ExecutorPort> AgentLoop<P> {
    async fn run(mut self, mut queue: UnboundedReceiver<AgentInput>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(AgentInput::Leader(event)) => self.take_leader(event),
                    Some(AgentInput::Event(event)) => self.step(event),
                    None => return,
                },
                _ = ticker.tick() => self.step(AgentEvent::Tick),
            }
        }
    }

    fn take_leader(&mut self, event: LeaderEvent) {
        match event {
            LeaderEvent::Up { sender, term } => {
                self.leader = Some(sender);
                let (leader, members) = (None, Vec::new());
                let welcome = LinkMessage::Welcome { leading: true, leader, members, term };
                self.step(AgentEvent::LeaderMessage(welcome));
            }
            LeaderEvent::Message(message) => self.step(AgentEvent::LeaderMessage(message)),
            LeaderEvent::Down => {
                self.leader = None;
                self.step(AgentEvent::LeaderLost);
            }
        }
    }

    fn step(&mut self, event: AgentEvent) {
        let now = self.clock.monotonic();
        for effect in self.node.reduce(now, event) {
            self.perform(effect, now);
        }
    }

    fn perform(&mut self, effect: AgentEffect, now: Duration) {
        match effect {
            AgentEffect::Hold { worker, fence, noted, deadline_ms, wait } => {
                let request = HoldRequest { worker, fence, noted, deadline_ms, wait };
                let worker = request.worker.clone();
                let call = self.port.hold(request);
                self.spawn(async move {
                    let result = call.await;
                    AgentEvent::HoldAnswered { worker, asked: now, result }
                });
            }
            AgentEffect::Start { order, fence, deadline_ms } => {
                let (worker, task, run) = (order.worker.clone(), order.task, order.run);
                let call = self.port.start(order, fence, deadline_ms);
                self.spawn(async move {
                    let verdict = call.await;
                    AgentEvent::StartAnswered { worker, task, run, verdict }
                });
            }
            AgentEffect::Stop { worker, task, run, fence } => {
                let request = RunRequest { worker: worker.clone(), task, run, fence };
                let call = self.port.stop(request);
                self.spawn(async move {
                    let stopped = call.await;
                    AgentEvent::StopAnswered { worker, task, run, stopped }
                });
            }
            AgentEffect::Pace { worker, task, run, percent, fence } => {
                let request = RunRequest { worker, task, run, fence };
                tokio::task::spawn_local(self.port.pace(request, percent));
            }
            AgentEffect::Send(message) => {
                if let Some(leader) = &self.leader {
                    leader.send(message);
                }
            }
            AgentEffect::Reconnect => {
                self.leader = None;
                self.reconnect.notify_waiters();
            }
            AgentEffect::Record(event) => self.log.record(&event),
        }
    }

    fn spawn(&self, call: impl Future<Output = AgentEvent> + 'static) {
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let event = call.await;
            let _ = inputs.send(AgentInput::Event(event));
        });
    }
}
