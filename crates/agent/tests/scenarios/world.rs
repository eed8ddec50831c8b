//! An agent's reducer with a scripted leader, a stand-in platform and a manual clock.

use {
    crate::{
        leader::{LeaderBehaviour, ScriptedLeader},
        parse::*,
        text,
    },
    agent::{
        announce::ExecutorAnnouncement,
        platform::{AttemptId, PlatformCall, PlatformFault, PlatformRequest},
        reducer::HeartbeatSend,
        AgentEffect, AgentInput, AgentReducer,
    },
    base::{
        ClockSource, EventReducer, IncarnationNumber, ManualClock, ReplyTicket, RevisionNumber,
        SeededRandom, TaskId,
    },
    bytes::Bytes,
    datadriven::TestCase,
    indexmap::{IndexMap, IndexSet},
    proto::messages::{
        DeclarationBundle, DispatchOutcome, DispatchRequest, FenceReply, FenceRequest,
        ForwardedAnswer, ForwardedRequest, HeartbeatReply, PriorityClass, TaskCommand,
        UnknownReason,
    },
    std::{sync::Arc, time::Duration},
    testkit::{PlatformTasks, StandInWorkerSettings, WorkerRun},
};

const FIRST_INCARNATION: IncarnationNumber = IncarnationNumber(7);

/// An event that is visible from outside the agent.
#[derive(Debug, Clone)]
pub enum Observation {
    Restarted,
    Drained,
    ExecutorReceived(String),
    ExecutorDone { dispatch: String, ran: bool },
    Replied(String, DispatchOutcome),
    Fenced(String),
}

pub struct AgentWorld {
    observed: Vec<Observation>,
    granted: Duration,
    /// The dispatches sent so far, as commands that send them again.
    sent: Vec<String>,
    fences: IndexMap<ReplyTicket, String>,
    executing: IndexSet<String>,
    clock: Arc<ManualClock>,
    agent: AgentReducer,
    incarnation: IncarnationNumber,
    saved: Option<DeclarationBundle>,
    leader: ScriptedLeader,
    platform: PlatformTasks,
    delayed: Option<HeartbeatSend>,
    in_flight: Option<(Duration, HeartbeatSend)>,
    tickets: u64,
    shows_usage: bool,
    /// True when every third call to the platform is lost.
    flaky: bool,
    calls: u64,
    output: String,
}

impl AgentWorld {
    pub fn new() -> Self {
        let clock = Arc::new(ManualClock::new());
        let platform = PlatformTasks::new(StandInWorkerSettings {
            capacity: resources(WORKER),
            clock: clock.clone(),
            ..StandInWorkerSettings::default()
        });
        Self {
            observed: Vec::new(),
            granted: Duration::ZERO,
            sent: Vec::new(),
            fences: IndexMap::new(),
            executing: IndexSet::new(),
            agent: new_agent(FIRST_INCARNATION, None),
            incarnation: FIRST_INCARNATION,
            saved: None,
            clock,
            leader: ScriptedLeader::new(),
            platform,
            delayed: None,
            in_flight: None,
            tickets: 0,
            shows_usage: false,
            flaky: false,
            calls: 0,
            output: String::new(),
        }
    }

    pub fn perform(&mut self, case: &TestCase) -> String {
        for line in std::iter::once(case.directive.as_str()).chain(case.input.lines()) {
            if !["script", "then"].contains(&line) {
                self.command(line);
            }
        }
        let output = std::mem::take(&mut self.output);
        if output.is_empty() {
            "nothing\n".into()
        } else {
            output
        }
    }

    /// The worker's cores.
    pub const CORES: usize = 4;

    pub fn observed(&self) -> &[Observation] {
        &self.observed
    }

    pub fn revision(&self) -> u64 {
        self.saved.as_ref().map_or(0, |bundle| bundle.revision.0)
    }

    pub fn millis(&self) -> u64 {
        self.now().as_millis() as u64
    }

    /// Returns when the lease that control has granted ends by control's count, in milliseconds.
    pub fn granted_until(&self) -> u64 {
        self.granted.as_millis() as u64
    }

    pub fn platform_history(&mut self) -> Vec<WorkerRun> {
        self.platform.history()
    }

    /// Returns true when control no longer wants the attempt.
    pub fn leader_saw_end(&self, attempt: &str) -> bool {
        self.leader.saw_end(&attempt_id(attempt))
    }

    /// Returns a command that repeats an earlier dispatch to the same incarnation of the agent. An
    /// entry never sends a dispatch twice, so only the network can have made such a copy.
    pub fn known_dispatch(&self, random: &mut SeededRandom) -> Option<String> {
        let here = format!("life={}", self.incarnation);
        let sent: Vec<_> = self.sent.iter().filter(|line| line.ends_with(&here)).collect();
        sent.get(random.below(sent.len())).map(|line| (*line).clone())
    }

    /// Returns a dispatch that an executor is processing.
    pub fn executing(&self, random: &mut SeededRandom) -> Option<String> {
        let executing = self.executing.iter().nth(random.below(self.executing.len()));
        executing.cloned()
    }

    pub fn command(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["advance", time] => self.advance(duration(time)),
            ["restart"] => self.restart(),
            ["announce", endpoint, rest @ ..] => self.announce(endpoint, &rest.join(" ")),
            ["leave", endpoint] => self.feed(AgentInput::ExecutorLeft(id(endpoint))),
            ["drain"] => {
                self.feed(AgentInput::DrainRequested);
                self.observed.push(Observation::Drained);
            }
            ["may-end"] => {
                let settled = self.agent.drain_notice_is_settled(self.now());
                self.print_line(if settled { "may end" } else { "waits for a leader" });
            }
            ["dispatch", name, rest @ ..] => self.dispatch(name, &rest.join(" ")),
            ["fence", name, rest @ ..] => self.fence(name, &rest.join(" ")),
            ["executor", name, how] => self.executor(name, how),
            ["hear", peer, revision] => {
                let revision = RevisionNumber(id(revision));
                self.feed(AgentInput::RevisionReported { peer: id(peer), revision });
            }
            ["declare", revision] => {
                let source = id("entry-1");
                self.feed(AgentInput::Declarations { bundle: bundle(id(revision)), source });
            }
            ["leader", rest @ ..] => self.leader(rest),
            ["platform", "flaky"] => self.flaky = true,
            ["platform", fault] => {
                self.flaky = false;
                self.platform.set_fault(fault_named(fault));
            }
            ["platform-restarts"] => self.platform.restart(),
            ["runs"] => self.print_runs(),
            ["show-usage"] => self.shows_usage = true,
            other => panic!("no such command: {other:?}"),
        }
    }

    fn leader(&mut self, words: &[&str]) {
        match words {
            ["renews"] => self.leader.behaviour = LeaderBehaviour::Renews,
            ["silent"] => self.leader.behaviour = LeaderBehaviour::Silent,
            ["holds"] => self.leader.behaviour = LeaderBehaviour::Delays,
            ["points", address] => self.leader.behaviour = LeaderBehaviour::Redirects(id(address)),
            ["supersedes"] => self.leader.behaviour = LeaderBehaviour::Superseded,
            ["answers"] => self.answer_delayed(),
            ["term", term] => self.leader.new_term(id(term)),
            ["is-stale"] => self.leader.stale = true,
            ["asks-all"] => self.leader.report_all = true,
            ["acknowledges", word] => self.leader.acknowledges = *word == "yes",
            ["declares", revision] => self.leader.declarations = Some(bundle(id(revision))),
            ["gives-up", attempt] => self.leader.give_up(&attempt_id(attempt)),
            ["evicts", attempt] => {
                let AttemptId { task, attempt } = attempt_id(attempt);
                self.leader.command(TaskCommand::Evict { task, attempt });
            }
            ["stops", attempt] => {
                let AttemptId { task, attempt } = attempt_id(attempt);
                self.leader.command(TaskCommand::Stop { task, attempt });
            }
            ["runs", attempt, rest @ ..] => {
                let command = run_command(&attempt_id(attempt), &rest.join(" "));
                self.leader.command(command);
            }
            other => panic!("no such leader: {other:?}"),
        }
    }

    fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now() + time;
        loop {
            let lost = self.in_flight.as_ref().map_or(Duration::MAX, |(due, _)| *due);
            let next = self.agent.next_wakeup().min(lost).max(self.now());
            if next > end {
                break;
            }
            // A wake-up without effect must not be due again at the same time.
            let before = (self.now(), self.output.len());
            self.clock.advance(next - self.now());
            self.fail_lost_heartbeat(lost);
            self.tick();
            let stuck =
                before == (self.now(), self.output.len()) && self.agent.next_wakeup() <= self.now();
            assert!(
                !stuck,
                "the agent asks for a wake-up without delay, and the last one had no effect"
            );
        }
        self.clock.advance(end - self.now());
        self.tick();
    }

    fn fail_lost_heartbeat(&mut self, due: Duration) {
        if self.now() < due {
            return;
        }
        if let Some((_, send)) = self.in_flight.take() {
            let sequence = send.heartbeat.sequence;
            self.feed(AgentInput::HeartbeatDone { sequence, reply: None });
        }
    }

    fn tick(&mut self) {
        let wall = self.clock.wall();
        self.feed(AgentInput::Tick { wall });
    }

    fn restart(&mut self) {
        self.incarnation = self.incarnation.next();
        self.observed.push(Observation::Restarted);
        self.executing.clear();
        self.in_flight = None;
        self.delayed = None;
        self.agent = new_agent(self.incarnation, self.saved.clone());
        self.print_line(&format!(
            "incarnation {}, revision {}",
            self.incarnation,
            self.agent.revision()
        ));
    }

    fn announce(&mut self, endpoint: &str, rest: &str) {
        let announcement = ExecutorAnnouncement {
            endpoint: id(endpoint),
            incarnation: IncarnationNumber(field(rest, "life").unwrap_or(1)),
            service: id("booking"),
            address: id("127.0.0.1:9000"),
            slots: field(rest, "slots").unwrap_or(base::SlotCount(2)),
            connections: field(rest, "connections").unwrap_or(base::ConnectionCount(64)),
            task: field::<TaskId>(rest, "task"),
        };
        self.feed(AgentInput::Announced(announcement));
    }

    fn dispatch(&mut self, name: &str, rest: &str) {
        let request = Box::new(DispatchRequest {
            dispatch: dispatch_id(name),
            endpoint: field(rest, "endpoint").unwrap_or(id("e1")),
            incarnation: field(rest, "life").unwrap_or(self.incarnation),
            priority: PriorityClass::LatencyCritical,
            remaining: field::<String>(rest, "remaining")
                .map_or(Duration::from_secs(5), |text| duration(&text)),
            key: field::<String>(rest, "key").map(key),
            request: ForwardedRequest {
                method: "POST".into(),
                target: "/".into(),
                headers: Vec::new(),
                body: Bytes::new(),
            },
        });
        self.sent.push(format!("dispatch {name} {rest} life={}", request.incarnation));
        let ticket = self.ticket();
        self.feed(AgentInput::Dispatch { ticket, request });
    }

    fn fence(&mut self, name: &str, rest: &str) {
        let request = FenceRequest {
            endpoint: id("e1"),
            incarnation: field(rest, "life").unwrap_or(self.incarnation),
            key: key(name.to_owned()),
            dispatch: dispatch_id(name),
        };
        let ticket = self.ticket();
        self.fences.insert(ticket, request.dispatch.to_string());
        self.feed(AgentInput::Fence { ticket, request });
    }

    fn executor(&mut self, name: &str, how: &str) {
        let outcome = match how {
            "answers" => DispatchOutcome::Answered(ForwardedAnswer {
                status: 200,
                headers: Vec::new(),
                body: Bytes::copy_from_slice(name.as_bytes()),
            }),
            "refuses" => DispatchOutcome::NotRun(proto::messages::NotRunReason::NoEndpoint),
            "dies" => DispatchOutcome::Unknown(UnknownReason::ExecutorLost),
            other => panic!("no such executor: {other}"),
        };
        let dispatch = dispatch_id(name);
        let ran = !matches!(outcome, DispatchOutcome::NotRun(_));
        if self.executing.swap_remove(&dispatch.to_string()) {
            let dispatch = dispatch.to_string();
            self.observed.push(Observation::ExecutorDone { dispatch, ran });
        }
        self.feed(AgentInput::ExecutorDone { dispatch, outcome });
    }

    fn print_runs(&mut self) {
        for run in self.platform.history() {
            let ended = run.ended.map_or("now".to_owned(), |ended| ended.0.to_string());
            self.print_line(&format!("{} ran {}..{ended}", text::attempt(&run.id), run.started.0));
        }
    }

    fn ticket(&mut self) -> ReplyTicket {
        self.tickets += 1;
        ReplyTicket(self.tickets)
    }

    fn feed(&mut self, input: AgentInput) {
        let effects = self.agent.reduce(self.now(), input);
        for effect in effects {
            if let Some(line) = text::effect(&effect) {
                self.print_line(&line);
            }
            match effect {
                AgentEffect::CallExecutor(call) => {
                    self.executing.insert(call.dispatch.to_string());
                    self.observed.push(Observation::ExecutorReceived(call.dispatch.to_string()));
                }
                AgentEffect::ReplyDispatch { reply, .. } => {
                    let reply = Observation::Replied(reply.dispatch.to_string(), reply.outcome);
                    self.observed.push(reply);
                }
                AgentEffect::ReplyFence { ticket, reply: FenceReply::Fenced } => {
                    let dispatch = self.fences[&ticket].clone();
                    self.observed.push(Observation::Fenced(dispatch));
                }
                AgentEffect::SendHeartbeat(send) => self.take_heartbeat(send),
                AgentEffect::CallPlatform(call) => self.take_call(call),
                AgentEffect::PutInForce(bundle) => self.saved = Some(bundle.as_ref().clone()),
                _ => {}
            }
        }
    }

    fn take_heartbeat(&mut self, send: HeartbeatSend) {
        if let Some(line) = text::heartbeat(&send.heartbeat) {
            self.print_line(&format!("heartbeat to {}: {line}", send.peer));
        }
        if let Some(usage) = send.heartbeat.usage.as_ref().filter(|_| self.shows_usage) {
            self.print_line(&text::usage(usage));
        }
        if self.leader.behaviour == LeaderBehaviour::Delays {
            self.delayed = Some(send);
            return;
        }
        let sequence = send.heartbeat.sequence;
        match self.leader.answer(&send.heartbeat) {
            Some(reply) => {
                self.note_grant(&reply.1);
                self.feed(AgentInput::HeartbeatDone { sequence, reply: Some(reply) });
            }
            None => self.in_flight = Some((self.now() + send.deadline, send)),
        }
    }

    fn note_grant(&mut self, reply: &HeartbeatReply) {
        if let HeartbeatReply::Renewed(renewal) = reply {
            self.granted = self.granted.max(self.now() + renewal.lease);
        }
    }

    fn answer_delayed(&mut self) {
        let Some(send) = self.delayed.take() else { panic!("no heartbeat is delayed") };
        let renewal = Box::new(self.leader.renew(&send.heartbeat));
        let reply = HeartbeatReply::Renewed(renewal);
        self.note_grant(&reply);
        let reply = Some((id("control-1"), reply));
        let sequence = send.heartbeat.sequence;
        self.feed(AgentInput::HeartbeatDone { sequence, reply });
    }

    fn take_call(&mut self, call: PlatformCall) {
        let request = PlatformRequest { agent: self.incarnation, call: call.clone() };
        self.calls += 1;
        let lost = self.flaky && self.calls.is_multiple_of(3);
        let reply = if lost { None } else { self.platform.take(request) };
        if let Some(line) = text::call(&call) {
            let answer = reply.as_ref().map_or("no answer".to_owned(), text::reply);
            self.print_line(&format!("platform: {line} -> {answer}"));
        }
        let fault = PlatformFault { detail: "silent".into() };
        self.feed(AgentInput::PlatformDone { call, result: reply.ok_or(fault) });
    }

    fn print_line(&mut self, line: &str) {
        self.output += &format!("{:>6} {line}\n", self.now().as_millis());
    }
}
