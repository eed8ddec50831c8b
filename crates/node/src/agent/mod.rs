//! The agent's event loop: connects the reducer to the executor beside it and to the leader.
//!
//! The loop does not know how an executor is called; [`ExecutorPort`] hides that.

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
            AgentEffect, AgentEvent, AgentNode, AgentSettings, CallFailure, ExecutorView,
            StartVerdict,
        },
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{LinkMessage, StartOrder, WorkerReport},
    },
};

/// How often the reducer receives the time. Between events it acts with this precision.
const TICK: Duration = Duration::from_millis(50);

/// A call that renews an executor's lease and reads its lists. See [`AgentEffect::Poll`].
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// The incarnation that the call is meant for.
    pub worker: WorkerIncarnation,
    /// The fencing token. An executor ignores orders with a lower token than it has seen.
    pub fence: u64,
    /// The number of the last end that the executor may forget.
    pub acknowledged: u64,
    /// Until when every run may go on, in milliseconds on the executor's clock.
    pub deadline_ms: Option<u64>,
    /// How long the executor may wait for a run to end before it answers.
    pub wait: Duration,
}

/// A call about one run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The incarnation that the call is meant for.
    pub worker: WorkerIncarnation,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunNumber,
    /// The fencing token. An executor ignores orders with a lower token than it has seen.
    pub fence: u64,
}

/// Calls the executor beside the agent. The executor may carry out a call that gets no answer.
pub trait ExecutorPort: 'static {
    /// Renews the lease and returns the lists of running and finished runs.
    fn hold(
        &self,
        request: HoldRequest,
    ) -> impl Future<Output = Result<ExecutorView, CallFailure>> + 'static;

    /// Starts a run.
    fn start(
        &self,
        order: StartOrder,
        fence: u64,
        deadline_ms: u64,
    ) -> impl Future<Output = StartVerdict> + 'static;

    /// Stops a run. Returns true if the executor confirmed the stop.
    fn stop(&self, request: RunRequest) -> impl Future<Output = bool> + 'static;

    /// Throttles a run to `percent` of its full speed.
    fn throttle(&self, request: RunRequest, percent: u8) -> impl Future<Output = ()> + 'static;
}

/// The settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSetup {
    /// The agent's name.
    pub name: String,
    /// Addresses where control processes may listen.
    pub seeds: Vec<SocketAddr>,
    /// The length of a lease.
    pub lease: Duration,
    /// The address of the executor, which no executor on another machine has.
    pub executor_address: String,
}

enum AgentInput {
    Leader(LeaderEvent),
    Event(AgentEvent),
}

/// Passes messages from the executor to the loop.
#[derive(Clone)]
pub struct AgentHandle {
    inputs: UnboundedSender<AgentInput>,
}

impl AgentHandle {
    /// Passes on a heartbeat: the executor's report and the sequence number of the message.
    pub fn report_heartbeat(&self, report: WorkerReport, sequence: u64) {
        let event = AgentEvent::Heartbeat { report, sequence };
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

/// Starts the event loop. Must be called on a `LocalSet`.
pub fn start_agent<P: ExecutorPort>(setup: AgentSetup, port: P, log: LineLog) -> AgentHandle {
    let (inputs, queue) = unbounded_channel();
    let clock = BootClock::new();
    let reconnect: Rc<Notify> = Rc::default();
    let (name, seeds) = (setup.name, setup.seeds);
    let search = LeaderSearch { name, seeds, log: log.clone(), reconnect: reconnect.clone() };
    tokio::task::spawn_local(search.run(inputs.clone(), AgentInput::Leader));
    let settings =
        AgentSettings { lease: setup.lease, executor_address: Arc::from(setup.executor_address) };
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
                    Some(AgentInput::Leader(event)) => self.handle_leader_event(event),
                    Some(AgentInput::Event(event)) => self.step(event),
                    None => return,
                },
                _ = ticker.tick() => self.step(AgentEvent::Tick),
            }
        }
    }

    fn handle_leader_event(&mut self, event: LeaderEvent) {
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
            AgentEffect::Poll { worker, fence, acknowledged, deadline_ms, wait } => {
                let request = HoldRequest { worker, fence, acknowledged, deadline_ms, wait };
                let worker = request.worker.clone();
                let call = self.port.hold(request);
                self.spawn(async move {
                    let result = call.await;
                    AgentEvent::PollAnswered { worker, asked: now, result }
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
            AgentEffect::Throttle { worker, task, run, percent, fence } => {
                let request = RunRequest { worker, task, run, fence };
                tokio::task::spawn_local(self.port.throttle(request, percent));
            }
            AgentEffect::Send(message) => {
                if self.leader.as_ref().is_some_and(|leader| !leader.send(message)) {
                    self.leave_stream();
                }
            }
            AgentEffect::Reconnect => self.leave_stream(),
            AgentEffect::Record(event) => self.log.record(&event),
        }
    }

    /// Ends the stream to the leader and asks for a new one, on which the agent reports everything.
    fn leave_stream(&mut self) {
        self.leader = None;
        self.reconnect.notify_waiters();
    }

    fn spawn(&self, call: impl Future<Output = AgentEvent> + 'static) {
        let inputs = self.inputs.clone();
        tokio::task::spawn_local(async move {
            let event = call.await;
            let _ = inputs.send(AgentInput::Event(event));
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/agent.rs"]
mod tests;
