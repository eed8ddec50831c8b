//! The processes, their clocks, and the simulated environment around them.

use {
    crate::{
        breakage::Breakage,
        network::{Call, FakeNetwork, OpenCall, Purpose, Reply, ScheduledEvent},
        processes::{FleetProcess, AGENTS, REPLICAS},
        witness::{Operation, SystemWitness},
    },
    agent::{
        announce::ExecutorAnnouncement,
        platform::{PlatformCall, PlatformFault, PlatformReply, PlatformRequest, PlatformState},
        reducer::{AgentConfig, AgentEffect, AgentInput, AgentReducer, ExecutorCall},
    },
    base::{
        ByteSize, ConnectionCount, CpuMillis, EventReducer, IncarnationNumber, ManualClock,
        ReplyTicket, ResourceVector, RevisionNumber, SeededRandom, SlotCount,
    },
    control::{
        leader::SenderInfo,
        node::{ControlNode, NodeEffect, NodeEvent, NodeReply, NodeSettings},
    },
    entry::{
        reducer::RequestHead, EntryEffect, EntryInput, EntryReducer, EntrySetup, ProblemOutcome,
    },
    proto::{
        envelope::ProcessRole,
        messages::{
            DeclarationBundle, DeclarationPull, DispatchId, DispatchOutcome, DispatchRequest,
            ForwardedAnswer, ForwardedRequest,
        },
        rpc::RpcError,
    },
    quorum::{GroupMember, PersistBatch, QuorumSettings, RecoveredLog},
    routing::RequestNumber,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    testkit::worker::{PlatformTasks, StandInWorkerSettings},
};

pub const STEP: Duration = Duration::from_millis(50);
pub const SLOTS: u32 = 2;
pub const SERVICE: &str = "s";
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const DISK_DELAY: Duration = Duration::from_millis(20);
const LONGEST_SERVICE: Duration = Duration::from_millis(400);
const DRIFT_PERMILLE: u32 = 4;

struct ControlProcess {
    node: Option<ControlNode>,
    disk: RecoveredLog,
    writing: Option<PersistBatch>,
    incarnation: u64,
    clock_offset: Duration,
}

struct EntryProcess {
    reducer: Option<EntryReducer>,
    incarnation: u64,
    last: u64,
    bodies: BTreeMap<RequestNumber, ForwardedRequest>,
}

struct AgentProcess {
    reducer: Option<AgentReducer>,
    incarnation: u64,
    saved: Option<DeclarationBundle>,
    platform: PlatformTasks,
    clock: Arc<ManualClock>,
    executing: BTreeMap<DispatchId, (u64, ExecutorCall)>,
    previous_body: Option<bytes::Bytes>,
    leaving: bool,
}

/// The whole system under test.
pub struct World {
    pub now: Duration,
    pub network: FakeNetwork,
    pub witness: SystemWitness,
    pub random: SeededRandom,
    pub replies: Vec<(String, NodeReply)>,
    breakage: Option<Breakage>,
    controls: BTreeMap<u16, ControlProcess>,
    entries: BTreeMap<u16, EntryProcess>,
    agents: BTreeMap<u16, AgentProcess>,
    calls: BTreeMap<u64, OpenCall>,
    /// Caller and call id of each reply that a process has not sent yet.
    pending: BTreeMap<(FleetProcess, ReplyTicket), (FleetProcess, u64)>,
    drifts: BTreeMap<FleetProcess, u32>,
    revisions: BTreeMap<FleetProcess, RevisionNumber>,
    last_leader: Option<u16>,
    fast_until: Duration,
    tracing: bool,
}

fn capacity() -> ResourceVector {
    ResourceVector { cpu: CpuMillis(4000), memory: ByteSize(8 << 30), ..ResourceVector::ZERO }
}

impl World {
    pub fn new(seed: u64, breakage: Option<Breakage>) -> Self {
        let mut random = SeededRandom::new(seed);
        let drifts = FleetProcess::all()
            .map(|process| (process, random.below(2 * DRIFT_PERMILLE as usize + 1) as u32))
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            network: FakeNetwork::new(random.next_u64()),
            witness: SystemWitness::default(),
            random,
            replies: Vec::new(),
            breakage,
            controls: BTreeMap::new(),
            entries: BTreeMap::new(),
            agents: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending: BTreeMap::new(),
            drifts,
            revisions: BTreeMap::new(),
            last_leader: None,
            fast_until: Duration::ZERO,
            tracing: std::env::var_os("TRACE").is_some(),
        };
        for number in 1..=AGENTS {
            world.add_agent(number);
        }
        FleetProcess::all().for_each(|process| world.start(process));
        world
    }

    fn add_agent(&mut self, number: u16) {
        let clock = Arc::new(ManualClock::new());
        let settings = StandInWorkerSettings {
            capacity: capacity(),
            usage_lag: Duration::from_secs(5),
            usage_interval: Duration::from_secs(1),
            clock: clock.clone(),
        };
        let agent = AgentProcess {
            reducer: None,
            incarnation: 0,
            saved: None,
            platform: PlatformTasks::new(settings),
            clock,
            executing: BTreeMap::new(),
            previous_body: None,
            leaving: false,
        };
        self.agents.insert(number, agent);
    }

    /// Returns the time on the clock of a process, which drifts from the simulated time.
    fn clock(&self, process: FleetProcess) -> Duration {
        let permille = 1000 + self.drifts.get(&process).copied().unwrap_or_default();
        let scaled = self.now * permille / (1000 + DRIFT_PERMILLE);
        match process {
            FleetProcess::Control(number) => {
                scaled
                    + self.controls.get(&number).map_or(Duration::ZERO, |found| found.clock_offset)
            }
            FleetProcess::Entry(_) | FleetProcess::Agent(_) | FleetProcess::Operator => scaled,
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now
    }

    pub fn is_running(&self, process: FleetProcess) -> bool {
        match process {
            FleetProcess::Control(number) => self.controls[&number].node.is_some(),
            FleetProcess::Entry(number) => self.entries[&number].reducer.is_some(),
            FleetProcess::Agent(number) => self.agents[&number].reducer.is_some(),
            FleetProcess::Operator => true,
        }
    }

    pub fn start(&mut self, process: FleetProcess) {
        match process {
            FleetProcess::Control(number) => self.start_control(number),
            FleetProcess::Entry(number) => self.start_entry(number),
            FleetProcess::Agent(number) => self.start_agent(number),
            FleetProcess::Operator => {}
        }
    }

    fn start_control(&mut self, number: u16) {
        let founders = (1..=REPLICAS).map(|number| GroupMember {
            replica: FleetProcess::Control(number).replica(),
            address: FleetProcess::Control(number).address(),
            voter: true,
        });
        let process = FleetProcess::Control(number);
        let quorum = QuorumSettings {
            replica: process.replica(),
            founders: founders.collect(),
            election_timeout: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(200),
            batch_bytes: 64 * 1024,
            in_flight_limit: 4,
            pending_limit: 1024,
            snapshot_chunk: 4096,
            snapshot_every: 40,
        };
        let settings = NodeSettings {
            name: process.name(),
            operator_address: process.address(),
            quorum,
            seed: self.random.next_u64(),
        };
        let now = self.clock(process);
        let found = self.controls.entry(number).or_insert_with(|| ControlProcess {
            node: None,
            disk: RecoveredLog::default(),
            writing: None,
            incarnation: 0,
            clock_offset: Duration::ZERO,
        });
        found.incarnation += 1;
        let node = ControlNode::new(settings, found.disk.clone(), now);
        found.node = Some(node.expect("what was synced can be read"));
    }

    fn start_entry(&mut self, number: u16) {
        let process = FleetProcess::Entry(number);
        let incarnation = self.entries.get(&number).map_or(1, |found| found.incarnation + 1);
        let setup = EntrySetup {
            name: process.name(),
            incarnation: IncarnationNumber(incarnation),
            data_centre: "dc".parse().expect("a name"),
            address: process.address(),
            operator_address: process.address(),
            control_peers: (1..=REPLICAS)
                .map(|number| FleetProcess::Control(number).address())
                .collect(),
            seed: self.random.next_u64(),
            wall: self.wall(),
        };
        let state = EntryProcess {
            reducer: Some(EntryReducer::new(setup)),
            incarnation,
            last: 0,
            bodies: BTreeMap::new(),
        };
        self.entries.insert(number, state);
        self.revisions.remove(&process);
        self.witness.forget_revision(process);
    }

    fn start_agent(&mut self, number: u16) {
        let process = FleetProcess::Agent(number);
        let broken = self.breakage == Some(Breakage::RevertRevision);
        let Some(found) = self.agents.get_mut(&number) else { return };
        found.incarnation += 1;
        found.leaving = false;
        let config = AgentConfig {
            worker: FleetProcess::worker(number),
            incarnation: IncarnationNumber(found.incarnation),
            region: "r".parse().expect("a name"),
            data_centre: "dc".parse().expect("a name"),
            rack: format!("rack-{number}").parse().expect("a name"),
            capacity: capacity(),
            address: process.address(),
            operator_address: process.address(),
            control_peers: (1..=REPLICAS)
                .map(|number| FleetProcess::Control(number).address())
                .collect(),
            call_limit: 64,
        };
        let saved = found.saved.clone().filter(|_| !broken);
        let reducer = AgentReducer::new(config, saved);
        let revision = reducer.revision();
        found.reducer = Some(reducer);
        self.revisions.insert(process, revision);
        self.witness.record_revision(process, revision);
        self.witness.record_drain(number, None);
    }

    /// Kills a process. The batch that a control process was writing reaches the disk if `written`
    /// is true.
    pub fn crash(&mut self, process: FleetProcess, written: bool) {
        match process {
            FleetProcess::Control(number) => {
                let found = self.controls.get_mut(&number).expect("a replica");
                found.node = None;
                if let Some(batch) = found.writing.take().filter(|_| written) {
                    found.disk.apply(&batch);
                }
            }
            FleetProcess::Entry(number) => {
                let found = self.entries.get_mut(&number).expect("an entry");
                found.reducer = None;
            }
            FleetProcess::Agent(number) => {
                self.agents.get_mut(&number).expect("an agent").reducer = None;
            }
            FleetProcess::Operator => {}
        }
        self.pending.retain(|(at, _), _| *at != process);
    }

    /// Restarts a worker's platform, which loses its tasks.
    pub fn restart_platform(&mut self, number: u16) {
        self.agents.get_mut(&number).expect("an agent").platform.restart();
    }

    pub fn drain(&mut self, number: u16) {
        let found = self.agents.get_mut(&number).expect("an agent");
        if found.reducer.is_some() && !found.leaving {
            found.leaving = true;
            self.witness.record_drain(number, Some(self.now));
            self.feed_agent(number, AgentInput::DrainRequested);
        }
    }

    /// Advances the time in small steps, and checks the system after each.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for number in 1..=AGENTS {
                let clock = self.clock(FleetProcess::Agent(number));
                let found = &self.agents[&number];
                let behind = clock.saturating_sub(base::ClockSource::monotonic(&*found.clock));
                found.clock.advance(behind);
            }
            FleetProcess::all().for_each(|process| self.tick(process));
            while let Some(event) = self.network.pop_due(self.now) {
                self.deliver(event);
            }
            self.skip_lease_wait();
            self.check_promises();
        }
    }

    fn tick(&mut self, process: FleetProcess) {
        match process {
            FleetProcess::Control(number) => {
                let wall_ms = self.now.as_millis() as u64;
                self.feed_control(number, NodeEvent::Tick { wall_ms });
            }
            FleetProcess::Entry(number) => {
                let wall = self.wall();
                self.feed_entry(number, EntryInput::Tick { wall });
            }
            FleetProcess::Agent(number) => {
                self.announce(number);
                let wall = self.wall();
                self.feed_agent(number, AgentInput::Tick { wall });
            }
            FleetProcess::Operator => {}
        }
    }

    fn announce(&mut self, number: u16) {
        const INTERVAL_MS: u128 = 1000;
        if !self.now.as_millis().is_multiple_of(INTERVAL_MS) || self.agents[&number].leaving {
            return;
        }
        let announcement = ExecutorAnnouncement {
            endpoint: format!("e-{number}").parse().expect("a name"),
            incarnation: IncarnationNumber(1),
            service: SERVICE.parse().expect("a name"),
            address: FleetProcess::Agent(number).address(),
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(8),
            task: None,
        };
        self.feed_agent(number, AgentInput::Announced(announcement));
    }

    /// Injects the fault of a leader that does not wait for the leases that its predecessor
    /// granted: its clock runs fast for a while after an election, but not so fast that it would
    /// step down.
    fn skip_lease_wait(&mut self) {
        const FAST_TIME: Duration = Duration::from_secs(5);
        const EXTRA: Duration = Duration::from_millis(200);
        if self.breakage != Some(Breakage::SkipLeaseWait) {
            return;
        }
        let leads =
            |found: &ControlProcess| found.node.as_ref().is_some_and(ControlNode::is_leader);
        let leader =
            self.controls.iter().find(|(_, found)| leads(found)).map(|(number, _)| *number);
        if leader.is_some() && leader != self.last_leader {
            self.last_leader = leader;
            self.fast_until = self.now + FAST_TIME;
        }
        if let Some(found) = leader.and_then(|leader| self.controls.get_mut(&leader)) {
            if self.now < self.fast_until {
                found.clock_offset += EXTRA;
            }
        }
    }

    fn check_promises(&mut self) {
        let mut runs = Vec::new();
        for (number, found) in &mut self.agents {
            let history = found.platform.history();
            let listing = found.platform.take(PlatformRequest {
                agent: IncarnationNumber(found.incarnation),
                call: PlatformCall::List,
            });
            let reserved = match listing {
                Some(PlatformReply::Listing(listing)) => listing
                    .tasks
                    .iter()
                    .filter(|task| task.state == PlatformState::Running)
                    .map(|task| task.assignment.reserved)
                    .sum(),
                _ => ResourceVector::ZERO,
            };
            runs.push((*number, history, reserved, capacity()));
        }
        self.witness.check_runs(&runs);
        for (number, found) in &self.agents {
            self.witness.check_slots(*number, found.executing.len(), SLOTS as usize);
        }
    }

    fn feed_control(&mut self, number: u16, event: NodeEvent) {
        let process = FleetProcess::Control(number);
        let now = self.clock(process);
        let Some(node) = self.controls.get_mut(&number).and_then(|found| found.node.as_mut())
        else {
            return;
        };
        for effect in node.reduce(now, event) {
            self.execute_control_effect(number, effect);
        }
    }

    fn execute_control_effect(&mut self, number: u16, effect: NodeEffect) {
        let process = FleetProcess::Control(number);
        match effect {
            NodeEffect::SendQuorum { to, message, .. } => {
                let message = Box::new(message);
                let from = process.replica();
                self.network.send(self.now, ScheduledEvent::Quorum { from, to, message });
            }
            NodeEffect::Persist(batch) => {
                let found = self.controls.get_mut(&number).expect("a replica");
                let (incarnation, batch_number) = (found.incarnation, batch.number);
                let merged = match found.writing.take() {
                    None => batch,
                    Some(earlier) => {
                        found.disk.apply(&earlier);
                        batch
                    }
                };
                found.writing = Some(merged);
                let written =
                    ScheduledEvent::Written { at: number, incarnation, number: batch_number };
                self.network.schedule(self.now + DISK_DELAY, written);
            }
            NodeEffect::Reply { ticket, reply } => {
                let Some((to, id)) = self.pending.remove(&(process, ticket)) else { return };
                self.reply(process, to, id, Reply::Control(reply));
            }
            NodeEffect::PutInForce(revision) => {
                self.revisions.insert(process, revision);
            }
            NodeEffect::Halt(error) => {
                self.witness.violations.push(format!("{process} halts: {error}"));
            }
            NodeEffect::Record(_) | NodeEffect::Ready(_) => {}
        }
    }

    fn feed_entry(&mut self, number: u16, input: EntryInput) {
        let process = FleetProcess::Entry(number);
        let now = self.clock(process);
        let Some(reducer) = self.entries.get_mut(&number).and_then(|found| found.reducer.as_mut())
        else {
            return;
        };
        for effect in reducer.reduce(now, input) {
            self.execute_entry_effect(number, effect);
        }
    }

    fn execute_entry_effect(&mut self, number: u16, effect: EntryEffect) {
        let process = FleetProcess::Entry(number);
        match effect {
            EntryEffect::Dispatch(plan) => {
                let found = &self.entries[&number];
                let Some(request) = found.bodies.get(&plan.flight.request).cloned() else { return };
                let remaining = plan.deadline.saturating_sub(self.clock(process));
                let call = DispatchRequest {
                    dispatch: plan.target.dispatch,
                    endpoint: plan.target.endpoint,
                    incarnation: plan.target.incarnation,
                    priority: plan.priority,
                    remaining,
                    key: plan.key,
                    request,
                };
                let purpose = Purpose::Dispatch(plan.flight);
                let timeout = remaining + Duration::from_millis(250);
                self.call(
                    process,
                    plan.target.agent,
                    timeout,
                    purpose,
                    Call::Dispatch(Box::new(call)),
                );
            }
            EntryEffect::Answer { number: request, answer } => {
                let id = self.request_id(number, request);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                self.witness.record_answer(&id, &body);
            }
            EntryEffect::Refuse { number: request, problem } => {
                let id = self.request_id(number, request);
                match problem.outcome {
                    ProblemOutcome::NotRun(verdict) => {
                        self.witness.record_not_run(&id, &format!("{:?}", verdict.reason()));
                    }
                    ProblemOutcome::Unknown(_) | ProblemOutcome::KeyInProgress => {
                        self.witness.record_unknown();
                    }
                }
            }
            EntryEffect::Claim { flight, peer, claim, timeout } => {
                let purpose = Purpose::Claim { flight, claim: claim.clone() };
                self.call(process, peer, timeout, purpose, Call::Claim(claim));
            }
            EntryEffect::Close { peer, close, timeout } => {
                let purpose = Purpose::Close(close.dispatch.clone());
                self.call(process, peer, timeout, purpose, Call::Close(close));
            }
            EntryEffect::Fence { flight, agent, fence, timeout } => {
                self.call(process, agent, timeout, Purpose::Fence(flight), Call::Fence(fence));
            }
            EntryEffect::PullTable { peer, pull, timeout } => {
                self.call(process, peer, timeout, Purpose::Table, Call::Table(pull));
            }
            EntryEffect::PullDeclarations { peer, known } => {
                self.call(process, peer, CALL_TIMEOUT, Purpose::Pull, Call::Pull { known });
            }
            EntryEffect::ServeDeclarations { ticket, reply } => {
                let Some((to, id)) = self.pending.remove(&(process, ticket)) else { return };
                self.reply(process, to, id, Reply::Declarations(reply.newer));
            }
            EntryEffect::InForce(revision) => {
                self.revisions.insert(process, revision);
                self.witness.record_revision(process, revision);
            }
            EntryEffect::DeclarationsRefused { revision, reason } => {
                self.witness.violations.push(format!("{process} refuses {revision}: {reason}"));
            }
            EntryEffect::Ready | EntryEffect::Record(_) | EntryEffect::Drained => {}
        }
    }

    fn request_id(&self, entry: u16, request: RequestNumber) -> base::RequestId {
        let reducer = self.entries[&entry].reducer.as_ref();
        reducer.expect("an entry that just acted").request_id(request)
    }

    fn feed_agent(&mut self, number: u16, input: AgentInput) {
        let process = FleetProcess::Agent(number);
        let now = self.clock(process);
        let Some(reducer) = self.agents.get_mut(&number).and_then(|found| found.reducer.as_mut())
        else {
            return;
        };
        for effect in reducer.reduce(now, input) {
            self.execute_agent_effect(number, effect);
        }
    }

    fn execute_agent_effect(&mut self, number: u16, effect: AgentEffect) {
        let process = FleetProcess::Agent(number);
        match effect {
            AgentEffect::ReplyDispatch { ticket, reply } => {
                let Some((to, id)) = self.pending.remove(&(process, ticket)) else { return };
                self.reply(process, to, id, Reply::Dispatch(reply));
            }
            AgentEffect::ReplyFence { ticket, reply } => {
                let Some((to, id)) = self.pending.remove(&(process, ticket)) else { return };
                self.reply(process, to, id, Reply::Fence(reply));
            }
            AgentEffect::CallExecutor(call) => self.start_execution(number, *call),
            AgentEffect::SendHeartbeat(send) => {
                let purpose = Purpose::Heartbeat(send.heartbeat.sequence);
                self.call(
                    process,
                    send.peer,
                    send.deadline,
                    purpose,
                    Call::Heartbeat(send.heartbeat),
                );
            }
            AgentEffect::CallPlatform(call) => self.call_platform(number, call),
            AgentEffect::PutInForce(bundle) => {
                self.revisions.insert(process, bundle.revision);
                self.witness.record_revision(process, bundle.revision);
                self.agents.get_mut(&number).expect("an agent").saved = Some((*bundle).clone());
            }
            AgentEffect::PullDeclarations { peer, known } => {
                self.call(process, peer, CALL_TIMEOUT, Purpose::Pull, Call::Pull { known });
            }
            AgentEffect::Record(_) | AgentEffect::RecordProcess(_) => {}
        }
    }

    fn call_platform(&mut self, number: u16, call: PlatformCall) {
        let found = self.agents.get_mut(&number).expect("an agent");
        let false_stops = self.breakage == Some(Breakage::ReportFalseStops);
        let reply = match &call {
            PlatformCall::Stop { .. } if false_stops => {
                Some(PlatformReply::Ended { state: PlatformState::Stopped })
            }
            _ => {
                let agent = IncarnationNumber(found.incarnation);
                found.platform.take(PlatformRequest { agent, call: call.clone() })
            }
        };
        let result = reply.ok_or(PlatformFault { detail: "silent".to_owned() });
        self.feed_agent(number, AgentInput::PlatformDone { call, result });
    }

    fn start_execution(&mut self, number: u16, call: ExecutorCall) {
        let body = String::from_utf8_lossy(&call.request.body).into_owned();
        self.trace(|| format!("agent {number} runs {} of {body}", call.dispatch));
        self.witness.record_execution(number, &call.dispatch.request, &body, self.now);
        let took = self.random.duration_between(Duration::ZERO, LONGEST_SERVICE);
        let found = self.agents.get_mut(&number).expect("an agent");
        let (incarnation, dispatch) = (found.incarnation, call.dispatch.clone());
        found.executing.insert(dispatch.clone(), (incarnation, call));
        if self.breakage == Some(Breakage::ReleaseSlotsEarly) {
            let outcome = DispatchOutcome::Unknown(proto::messages::UnknownReason::ExecutorLost);
            let early = AgentInput::ExecutorDone { dispatch: dispatch.clone(), outcome };
            self.feed_agent(number, early);
        }
        self.network.schedule(
            self.now + took,
            ScheduledEvent::ExecutorDone { agent: number, incarnation, dispatch },
        );
    }

    fn finish_execution(&mut self, number: u16, incarnation: u64, dispatch: DispatchId) {
        let found = self.agents.get_mut(&number).expect("an agent");
        let Some((_, call)) = found.executing.remove(&dispatch) else { return };
        let own = call.request.body.clone();
        let previous = found.previous_body.replace(own.clone());
        let body = match self.breakage {
            Some(Breakage::SwapAnswers) => previous.unwrap_or(own),
            _ => own,
        };
        if found.incarnation != incarnation {
            return;
        }
        let outcome = match self.random.chance(0.05) {
            true => DispatchOutcome::Unknown(proto::messages::UnknownReason::ExecutorLost),
            false => DispatchOutcome::Answered(ForwardedAnswer {
                status: 200,
                headers: Vec::new(),
                body,
            }),
        };
        self.feed_agent(number, AgentInput::ExecutorDone { dispatch, outcome });
    }

    /// Starts a call, which ends with a reply or a timeout.
    pub fn call(
        &mut self,
        from: FleetProcess,
        peer: base::PeerAddress,
        timeout: Duration,
        purpose: Purpose,
        call: Call,
    ) {
        let id = self.network.next_number();
        let incarnation = self.incarnation(from);
        self.calls.insert(id, OpenCall { from, incarnation, peer, purpose });
        let to = FleetProcess::at(peer);
        self.trace(|| format!("{from} -> {to} call {id}: {call:?}"));
        self.network.schedule(self.now + timeout, ScheduledEvent::Timeout { id });
        let revision = self.revisions.get(&from).copied().unwrap_or_default();
        let to_incarnation = self.incarnation(to);
        self.network
            .send(self.now, ScheduledEvent::Call { from, to, to_incarnation, id, revision, call });
    }

    fn incarnation(&self, process: FleetProcess) -> u64 {
        match process {
            FleetProcess::Control(number) => self.controls[&number].incarnation,
            FleetProcess::Entry(number) => self.entries[&number].incarnation,
            FleetProcess::Agent(number) => self.agents[&number].incarnation,
            FleetProcess::Operator => 0,
        }
    }

    /// Prints what happens, if `TRACE` is set.
    fn trace(&self, text: impl FnOnce() -> String) {
        if self.tracing {
            println!("{:>7.2}s {}", self.now.as_secs_f64(), text());
        }
    }

    fn reply(&mut self, from: FleetProcess, to: FleetProcess, id: u64, reply: Reply) {
        self.trace(|| format!("{from} -> {to} reply {id}: {reply:?}"));
        let revision = self.revisions.get(&from).copied().unwrap_or_default();
        self.network.send(self.now, ScheduledEvent::Reply { from, to, id, revision, reply });
    }

    fn deliver(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Quorum { from, to, message } => {
                let sender = FleetProcess::of_replica(from);
                let note =
                    self.note(sender, self.revisions.get(&sender).copied().unwrap_or_default());
                let operator_address = sender.address();
                let message = *message;
                let event = NodeEvent::Quorum { from, note, operator_address, message };
                if let FleetProcess::Control(number) = FleetProcess::of_replica(to) {
                    self.feed_control(number, event);
                }
            }
            ScheduledEvent::Call { from, to, to_incarnation, id, revision, call } => {
                if can_arrive(&call, to_incarnation == self.incarnation(to)) {
                    self.receive(from, to, id, revision, call);
                }
            }

            ScheduledEvent::Reply { id, revision, reply, .. } => {
                self.finish_call(id, revision, Some(reply))
            }
            ScheduledEvent::Timeout { id } => self.finish_call(id, RevisionNumber(0), None),
            ScheduledEvent::Written { at, incarnation, number } => {
                self.complete_write(at, incarnation, number)
            }
            ScheduledEvent::ExecutorDone { agent, incarnation, dispatch } => {
                self.finish_execution(agent, incarnation, dispatch);
            }
        }
    }

    fn note(&self, process: FleetProcess, revision: RevisionNumber) -> SenderInfo {
        let role = match process {
            FleetProcess::Control(_) => ProcessRole::Control,
            FleetProcess::Entry(_) => ProcessRole::Entry,
            FleetProcess::Agent(_) => ProcessRole::Agent,
            FleetProcess::Operator => ProcessRole::Operator,
        };
        SenderInfo { name: process.name(), role, revision }
    }

    fn receive(
        &mut self,
        from: FleetProcess,
        to: FleetProcess,
        id: u64,
        revision: RevisionNumber,
        call: Call,
    ) {
        if !self.is_running(to) {
            return;
        }
        let ticket = ReplyTicket(self.network.next_number());
        self.pending.insert((to, ticket), (from, id));
        match to {
            FleetProcess::Control(number) => {
                let note = self.note(from, revision);
                let event = match call {
                    Call::Heartbeat(heartbeat) => {
                        NodeEvent::Heartbeat { ticket, note, heartbeat: *heartbeat }
                    }
                    Call::Table(pull) => NodeEvent::Table { ticket, note, pull },
                    Call::Claim(claim) => NodeEvent::Claim { ticket, claim },
                    Call::Close(close) => NodeEvent::Close { ticket, close },
                    Call::Operator(call) => NodeEvent::Operator { ticket, call },
                    Call::Pull { known } => {
                        NodeEvent::Declarations { ticket, pull: DeclarationPull { known } }
                    }
                    Call::Dispatch(_) | Call::Fence(_) => return,
                };
                self.feed_control(number, event);
            }
            FleetProcess::Entry(number) => {
                if let Call::Pull { known } = call {
                    self.feed_entry(number, EntryInput::DeclarationsRequested { ticket, known });
                }
            }
            FleetProcess::Agent(number) => {
                self.receive_at_agent(from, number, ticket, revision, call)
            }
            FleetProcess::Operator => {}
        }
    }

    fn receive_at_agent(
        &mut self,
        from: FleetProcess,
        number: u16,
        ticket: ReplyTicket,
        revision: RevisionNumber,
        call: Call,
    ) {
        self.feed_agent(number, AgentInput::RevisionReported { peer: from.address(), revision });
        match call {
            Call::Dispatch(request) => {
                self.feed_agent(number, AgentInput::Dispatch { ticket, request })
            }
            Call::Fence(request) => self.feed_agent(number, AgentInput::Fence { ticket, request }),
            Call::Pull { known } => {
                let found = self.agents[&number].reducer.as_ref();
                let newer = found.and_then(|reducer| reducer.declarations_after(known));
                let process = FleetProcess::Agent(number);
                if let Some((to, id)) = self.pending.remove(&(process, ticket)) {
                    self.reply(process, to, id, Reply::Declarations(newer));
                }
            }
            _ => {}
        }
    }

    /// Ends a call, with its reply or with a timeout.
    fn finish_call(&mut self, id: u64, revision: RevisionNumber, reply: Option<Reply>) {
        let Some(open) = self.calls.remove(&id) else { return };
        if reply.is_none() {
            self.trace(|| format!("{} call {id} timed out: {:?}", open.from, open.purpose));
        }
        if open.incarnation != self.incarnation(open.from) {
            return;
        }
        match open.from {
            FleetProcess::Entry(number) => self.finish_at_entry(number, open, revision, reply),
            FleetProcess::Agent(number) => self.finish_at_agent(number, open, revision, reply),
            FleetProcess::Operator => {
                if let (Purpose::Operator(name), Some(Reply::Control(reply))) =
                    (open.purpose, reply)
                {
                    self.replies.push((name, reply));
                }
            }
            FleetProcess::Control(_) => {}
        }
    }

    fn finish_at_entry(
        &mut self,
        number: u16,
        open: OpenCall,
        revision: RevisionNumber,
        reply: Option<Reply>,
    ) {
        let peer = open.peer;
        if reply.is_some() {
            self.feed_entry(number, EntryInput::RevisionReported { peer, revision });
        }
        let lost = match self.breakage {
            Some(Breakage::ClaimNotConnected) => {
                RpcError::NotConnected { peer, detail: "lost".to_owned() }
            }
            _ => RpcError::NoReply { peer, detail: "lost".to_owned() },
        };
        let input = match (open.purpose, reply) {
            (Purpose::Dispatch(flight), Some(Reply::Dispatch(reply))) => {
                EntryInput::DispatchDone { flight, result: Ok(*reply) }
            }
            (Purpose::Dispatch(flight), _) => {
                EntryInput::DispatchDone { flight, result: Err(lost) }
            }
            (Purpose::Claim { flight, claim }, reply) => {
                let result = match reply {
                    Some(Reply::Control(NodeReply::Claim(reply))) => Ok(reply),
                    _ => Err(RpcError::NoReply { peer, detail: "lost".to_owned() }),
                };
                EntryInput::ClaimReceived { flight, peer, claim, result }
            }
            (Purpose::Close(dispatch), reply) => {
                let result = match reply {
                    Some(Reply::Control(NodeReply::Close(reply))) => Ok(reply),
                    _ => Err(RpcError::NoReply { peer, detail: "lost".to_owned() }),
                };
                EntryInput::CloseReceived { dispatch, peer, result }
            }
            (Purpose::Fence(flight), reply) => {
                let result = match reply {
                    Some(Reply::Fence(reply)) => Ok(reply),
                    _ => Err(RpcError::NoReply { peer, detail: "lost".to_owned() }),
                };
                EntryInput::FenceReceived { flight, result }
            }
            (Purpose::Table, reply) => {
                let result = match reply {
                    Some(Reply::Control(NodeReply::Table(reply))) => Ok(reply),
                    _ => Err(RpcError::NoReply { peer, detail: "lost".to_owned() }),
                };
                EntryInput::TableReceived { peer, result }
            }
            (Purpose::Pull, Some(reply)) => match bundle_of(reply) {
                Some(bundle) => EntryInput::DeclarationsReceived { bundle },
                None => return,
            },
            (Purpose::Pull | Purpose::Heartbeat(_) | Purpose::Operator(_), _) => return,
        };
        self.feed_entry(number, input);
    }

    fn finish_at_agent(
        &mut self,
        number: u16,
        open: OpenCall,
        revision: RevisionNumber,
        reply: Option<Reply>,
    ) {
        let peer = open.peer;
        if reply.is_some() {
            self.feed_agent(number, AgentInput::RevisionReported { peer, revision });
        }
        let source = FleetProcess::at(peer).name();
        match (open.purpose, reply) {
            (Purpose::Heartbeat(sequence), reply) => {
                let reply = match reply {
                    Some(Reply::Control(NodeReply::Heartbeat(reply))) => Some((source, reply)),
                    _ => None,
                };
                self.feed_agent(number, AgentInput::HeartbeatDone { sequence, reply });
            }
            (Purpose::Pull, Some(reply)) => {
                if let Some(bundle) = bundle_of(reply) {
                    self.feed_agent(number, AgentInput::Declarations { bundle, source });
                }
            }
            _ => {}
        }
    }

    fn complete_write(&mut self, at: u16, incarnation: u64, number: u64) {
        let found = self.controls.get_mut(&at).expect("a replica");
        if found.incarnation != incarnation || found.node.is_none() {
            return;
        }
        if let Some(batch) = found.writing.take_if(|batch| batch.number <= number) {
            found.disk.apply(&batch);
        }
        self.feed_control(at, NodeEvent::Persisted { number });
    }

    /// Sends a caller's request to an entry, if that is running.
    pub fn send_request(
        &mut self,
        entry: u16,
        operation: Operation,
        head: RequestHead,
        request: ForwardedRequest,
    ) {
        let found = self.entries.get_mut(&entry).expect("an entry");
        let Some(reducer) = found.reducer.as_ref() else { return };
        found.last += 1;
        let number = RequestNumber(found.last);
        let id = reducer.request_id(number);
        found.bodies.insert(number, request);
        self.witness.record_request(id, operation);
        self.feed_entry(entry, EntryInput::CallerRequest { number, head });
    }

    pub fn revision(&self, process: FleetProcess) -> RevisionNumber {
        self.revisions.get(&process).copied().unwrap_or_default()
    }
}

/// A dispatch travels once, on a connection of its own, and a connection ends with the process that
/// accepted it: no copy of a dispatch can reach a later incarnation of its agent. Other calls are
/// harmless to repeat and reach whichever incarnation is running.
fn can_arrive(call: &Call, same_incarnation: bool) -> bool {
    match call {
        Call::Dispatch(_) | Call::Fence(_) => same_incarnation,
        _ => true,
    }
}

fn bundle_of(reply: Reply) -> Option<DeclarationBundle> {
    match reply {
        Reply::Declarations(newer) => newer,
        Reply::Control(NodeReply::Declarations(reply)) => reply.newer,
        _ => None,
    }
}
