//! Drives the agents and performs the calls to their executors.

use {
    super::{
        cordons::data_centre_of, executor::CAPACITY, Arrival, Breakage, ExecutorCall, FleetWorld,
        CONTROLS, POLL, TRACE_VARIABLE,
    },
    base::EventReducer,
    std::time::Duration,
    workflow::{
        agent::{AgentEffect, AgentEvent, CallFailure, StartVerdict},
        control::{ControlEvent, ControlNode, SessionId},
        job::{RunNumber, TaskDemand},
        message::{LinkMessage, WorkerReport},
    },
};

/// The chance that an executor sends a heartbeat in a step.
const HEARTBEAT_CHANCE: f64 = 0.03;
/// The same chance while executors shrink, which they announce in heartbeats alone.
const SHRINKING_HEARTBEAT_CHANCE: f64 = 0.3;
/// Upper bound of the time after which an unanswered call is carried out, in milliseconds.
const LATENESS_MS: usize = 3000;
/// The same bound while executors shrink.
const SHRINKING_LATENESS_MS: usize = 200;
/// The chance that a call is not answered.
const UNANSWERED_CHANCE: f64 = 0.05;
/// The same chance while executors shrink, so that many starts are repeated.
const SHRINKING_UNANSWERED_CHANCE: f64 = 0.6;
/// The share of unanswered calls that are lost while executors shrink.
const LOST_CALLS: f64 = 0.8;

impl FleetWorld {
    /// Finds the leader as an agent's driver does, but without its backoff.
    pub(super) fn connect(&mut self, agent: usize) {
        if let Some(control) = self.agents[agent].leader {
            let leads = self.controls[control].node.as_ref().is_some_and(ControlNode::is_leader);
            if !leads || self.is_partitioned(control, CONTROLS + agent) {
                self.lose_leader(agent);
            }
            return;
        }
        let reachable =
            (0..CONTROLS).filter(|control| !self.is_partitioned(*control, CONTROLS + agent));
        let leads = |control: &usize| {
            self.controls[*control].node.as_ref().is_some_and(ControlNode::is_leader)
        };
        let leaders: Vec<usize> = reachable.filter(leads).collect();
        if leaders.is_empty() || self.random.chance(0.8) {
            return;
        }
        let control = leaders[self.random.below(leaders.len())];
        self.last_stream += 1;
        let stream = self.last_stream;
        self.agents[agent].leader = Some(control);
        self.agents[agent].stream = stream;
        self.open_streams.insert(stream);
        let message = LinkMessage::Hello { name: format!("agent {agent}") };
        self.schedule_event(Arrival::FromAgent(agent, stream, control, message));
    }

    pub(super) fn report_heartbeat(&mut self, agent: usize) {
        let chance = if self.shrinking { SHRINKING_HEARTBEAT_CHANCE } else { HEARTBEAT_CHANCE };
        if !self.random.chance(chance) {
            return;
        }
        let stale = self.breakage == Some(Breakage::StaleCapacity);
        if self.is_down(agent) {
            return;
        }
        let mixed = self.mixed_capacity(agent);
        let host = &mut self.agents[agent];
        host.sequence += 1;
        let sequence = host.sequence;
        let wrong = self.breakage == Some(Breakage::WrongDataCentre);
        let data_centre = if wrong { "elsewhere" } else { data_centre_of(agent) };
        let runs = if stale { CAPACITY } else { host.executor.capacity() };
        let report = WorkerReport {
            worker: host.executor.incarnation(),
            service: "s".to_owned(),
            data_centre: data_centre.to_owned(),
            capacity: mixed.unwrap_or(TaskDemand {
                cpu_milli: runs as u64 * 1000,
                memory_mb: 10_000,
                accelerators: 0,
            }),
            labels: Vec::new(),
            drain_left_ms: self.drain_left_ms(agent),
            responsive: true,
        };
        self.schedule_event(Arrival::Agent(agent, AgentEvent::Heartbeat { report, sequence }));
    }

    pub(super) fn step_agent(&mut self, agent: usize, event: AgentEvent) {
        let now = self.now;
        for effect in self.agents[agent].node.reduce(now, event) {
            self.perform_agent(agent, effect);
        }
    }

    pub(super) fn perform_agent(&mut self, agent: usize, effect: AgentEffect) {
        let chance = if self.shrinking { SHRINKING_UNANSWERED_CHANCE } else { UNANSWERED_CHANCE };
        let answered = !(self.faults && self.random.chance(chance)) && self.answers_in_time(agent);
        match effect {
            AgentEffect::Poll { worker, acknowledged, deadline_ms, wait, fence } => {
                let asked = self.now;
                let call = ExecutorCall::Hold {
                    worker,
                    acknowledged,
                    deadline_ms,
                    fence,
                    asked,
                    answered,
                };
                let pause = POLL.min(wait) + Duration::from_millis(1);
                let pause = if answered { pause } else { self.postpone(agent, &call, pause) };
                self.schedule_event_in(pause, Arrival::Executor(agent, call));
            }
            AgentEffect::Start { order, deadline_ms, fence } => {
                let (worker, task, run) = (order.worker, order.task, order.run.0);
                let (sent, checkpoint) = (self.now, order.checkpoint);
                let call = ExecutorCall::Start {
                    worker,
                    task,
                    run,
                    deadline_ms,
                    fence,
                    sent,
                    checkpoint,
                    answered,
                };
                self.order(agent, call, answered);
            }
            AgentEffect::Stop { worker, task, run, fence } => {
                let call = ExecutorCall::Stop { worker, task, run: run.0, fence, answered };
                self.order(agent, call, answered);
            }
            AgentEffect::Send(message) => {
                let host = &self.agents[agent];
                let Some(control) = host.leader else { return };
                let stream = host.stream;
                let delay = Duration::from_millis(5);
                self.schedule_event_in(delay, Arrival::FromAgent(agent, stream, control, message));
            }
            AgentEffect::Reconnect => {
                let host = &mut self.agents[agent];
                let (session, leader) = (SessionId(host.stream), host.leader.take());
                if let Some(control) = leader {
                    let closed = ControlEvent::Closed { session };
                    self.schedule_event_in(
                        Duration::from_millis(6),
                        Arrival::Control(control, closed),
                    );
                }
            }
            AgentEffect::Record(event) => self.trace(&format!("agent {agent}"), &event),
            AgentEffect::Throttle { worker, task, run, percent, fence } => {
                let call = ExecutorCall::Pace { worker, task, run: run.0, percent, fence };
                if self.load.is_some() && answered {
                    self.schedule_event(Arrival::Executor(agent, call));
                }
            }
        }
    }

    /// Delivers a call to the executor. A call without an answer may be carried out up to 3 s
    /// later, or never while executors shrink.
    pub(super) fn order(&mut self, agent: usize, call: ExecutorCall, answered: bool) {
        let is_start = matches!(call, ExecutorCall::Start { .. });
        let lost = is_start && self.loses_starts(agent);
        if lost || !answered && self.shrinking && self.random.chance(LOST_CALLS) {
            self.lose_call(agent, call);
            return;
        }
        let lateness_ms = if self.shrinking { SHRINKING_LATENESS_MS } else { LATENESS_MS };
        let delay_ms = if answered { 1 } else { 1 + self.random.below(lateness_ms) as u64 };
        let delay = Duration::from_millis(delay_ms);
        let delay = if answered { delay } else { self.postpone(agent, &call, delay) };
        self.schedule_event_in(delay, Arrival::Executor(agent, call));
    }

    /// Reports a call as unanswered that the executor has not received.
    fn lose_call(&mut self, agent: usize, call: ExecutorCall) {
        let event = match call {
            ExecutorCall::Hold { .. } | ExecutorCall::Pace { .. } => return,
            ExecutorCall::Start { worker, task, run, .. } => {
                let failure = CallFailure::Unanswered("lost".to_owned());
                let (run, verdict) = (RunNumber(run), StartVerdict::Failed(failure));
                AgentEvent::StartAnswered { worker, task, run, verdict }
            }
            ExecutorCall::Stop { worker, task, run, .. } => {
                AgentEvent::StopAnswered { worker, task, run: RunNumber(run), stopped: false }
            }
        };
        self.schedule_event(Arrival::Agent(agent, event));
    }

    pub(super) fn execute(&mut self, agent: usize, call: ExecutorCall) {
        let now = self.now;
        let Some(call) = self.reject_unreached(agent, call) else { return };
        let mixed = self.load.is_some();
        let executor = &mut self.agents[agent].executor;
        if std::env::var_os(TRACE_VARIABLE).is_some() {
            match &call {
                ExecutorCall::Start { task, run, deadline_ms, answered, .. } => eprintln!("{now:?} executor {agent} start {task} {run} until {deadline_ms}, answered {answered}"),
                ExecutorCall::Stop { task, run, answered, .. } => eprintln!("{now:?} executor {agent} stop {task} {run}, answered {answered}"),
                ExecutorCall::Hold { .. } | ExecutorCall::Pace { .. } => {}
            }
        }
        let unanswered = || CallFailure::Unanswered("no answer".to_owned());
        let was_answered = call.is_answered();
        let event = match call {
            ExecutorCall::Hold { worker, acknowledged, deadline_ms, fence, asked, answered } => {
                let result = executor.admit(&worker, fence).map(|()| {
                    let forgotten = executor.forget(acknowledged);
                    self.recorded_done.extend(forgotten);
                    executor.poll(now, deadline_ms)
                });
                let result = if answered { result } else { Err(unanswered()) };
                AgentEvent::PollAnswered { worker, asked, result }
            }
            ExecutorCall::Start {
                worker,
                task,
                run,
                deadline_ms,
                fence,
                sent,
                checkpoint,
                answered,
            } => {
                let before = executor.running().count();
                let verdict = if let Err(failure) = executor.admit(&worker, fence) {
                    StartVerdict::Failed(failure)
                } else {
                    let verdict = executor.start(now, task, run, deadline_ms, &checkpoint);
                    let (runs, admissible) = executor.load(now);
                    assert!(
                        runs == before || runs <= admissible || mixed,
                        "seed {} at {now:?}: the start of {task} brings {worker} to {runs} runs, \
                         and it holds {admissible}",
                        self.seed
                    );
                    if runs > before {
                        self.check_cordon(agent, sent);
                    }
                    verdict
                };
                let verdict = if answered { verdict } else { StartVerdict::Failed(unanswered()) };
                let run = RunNumber(run);
                AgentEvent::StartAnswered { worker, task, run, verdict }
            }
            ExecutorCall::Stop { worker, task, run, fence, answered } => {
                let admitted = executor.admit(&worker, fence).is_ok();
                if admitted {
                    executor.stop(task, run);
                }
                let (run, stopped) = (RunNumber(run), answered && admitted);
                AgentEvent::StopAnswered { worker, task, run, stopped }
            }
            ExecutorCall::Pace { worker, task, run, percent, fence } => {
                if executor.admit(&worker, fence).is_ok() {
                    executor
                        .mixed_work()
                        .into_iter()
                        .for_each(|work| work.pace(task, run, percent));
                }
                return;
            }
        };
        // A postponed call was reported as unanswered when its time was over.
        if was_answered || !mixed {
            self.schedule_event(Arrival::Agent(agent, event));
        }
    }
}
