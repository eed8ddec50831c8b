//! The processes, their clocks and what lies outside of them.

use {
    crate::{
        breakage::Breakage,
        network::{Call, FakeNetwork, Flight, OpenCall, Purpose, Reply},
        places::{Place, AGENTS, REPLICAS},
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
        leader::ProcessNote,
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
    life: u64,
    jump: Duration,
}

struct EntryProcess {
    reducer: Option<EntryReducer>,
    life: u64,
    last: u64,
    bodies: BTreeMap<RequestNumber, ForwardedRequest>,
}

struct AgentProcess {
    reducer: Option<AgentReducer>,
    life: u64,
    saved: Option<DeclarationBundle>,
    platform: PlatformTasks,
    clock: Arc<ManualClock>,
    executing: BTreeMap<DispatchId, (u64, ExecutorCall)>,
    previous_body: Option<bytes::Bytes>,
    leaving: bool,
}

/// Everything.
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
    asked: BTreeMap<(Place, ReplyTicket), (Place, u64)>,
    drifts: BTreeMap<Place, u32>,
    revisions: BTreeMap<Place, RevisionNumber>,
    led: Option<u16>,
    hurry_until: Duration,
    traced: bool,
}

fn capacity() -> ResourceVector {
    ResourceVector { cpu: CpuMillis(4000), memory: ByteSize(8 << 30), ..ResourceVector::ZERO }
}

impl World {
    pub fn new(seed: u64, breakage: Option<Breakage>) -> Self {
        let mut random = SeededRandom::new(seed);
        let drifts = Place::all()
            .map(|place| (place, random.below(2 * DRIFT_PERMILLE as usize + 1) as u32))
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
            asked: BTreeMap::new(),
            drifts,
            revisions: BTreeMap::new(),
            led: None,
            hurry_until: Duration::ZERO,
            traced: std::env::var_os("TRACE").is_some(),
        };
        for number in 1..=AGENTS {
            world.add_agent(number);
        }
        Place::all().for_each(|place| world.start(place));
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
            life: 0,
            saved: None,
            platform: PlatformTasks::new(settings),
            clock,
            executing: BTreeMap::new(),
            previous_body: None,
            leaving: false,
        };
        self.agents.insert(number, agent);
    }

    /// The time on the clock of a process, which runs apart from the true time.
    fn clock(&self, place: Place) -> Duration {
        let permille = 1000 + self.drifts.get(&place).copied().unwrap_or_default();
        let scaled = self.now * permille / (1000 + DRIFT_PERMILLE);
        match place {
            Place::Control(number) => {
                scaled + self.controls.get(&number).map_or(Duration::ZERO, |found| found.jump)
            }
            Place::Entry(_) | Place::Agent(_) | Place::Operator => scaled,
        }
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now
    }

    pub fn runs(&self, place: Place) -> bool {
        match place {
            Place::Control(number) => self.controls[&number].node.is_some(),
            Place::Entry(number) => self.entries[&number].reducer.is_some(),
            Place::Agent(number) => self.agents[&number].reducer.is_some(),
            Place::Operator => true,
        }
    }

    pub fn start(&mut self, place: Place) {
        match place {
            Place::Control(number) => self.start_control(number),
            Place::Entry(number) => self.start_entry(number),
            Place::Agent(number) => self.start_agent(number),
            Place::Operator => {}
        }
    }

    fn start_control(&mut self, number: u16) {
        let founders = (1..=REPLICAS).map(|number| GroupMember {
            replica: Place::Control(number).replica(),
            address: Place::Control(number).address(),
            voter: true,
        });
        let place = Place::Control(number);
        let quorum = QuorumSettings {
            replica: place.replica(),
            founders: founders.collect(),
            election_timeout: Duration::from_millis(1000),
            heartbeat: Duration::from_millis(200),
            batch_bytes: 64 * 1024,
            in_flight: 4,
            pending: 1024,
            snapshot_chunk: 4096,
            snapshot_every: 40,
        };
        let settings = NodeSettings {
            name: place.name(),
            operator_address: place.address(),
            quorum,
            seed: self.random.next_u64(),
        };
        let now = self.clock(place);
        let found = self.controls.entry(number).or_insert_with(|| ControlProcess {
            node: None,
            disk: RecoveredLog::default(),
            writing: None,
            life: 0,
            jump: Duration::ZERO,
        });
        found.life += 1;
        let node = ControlNode::new(settings, found.disk.clone(), now);
        found.node = Some(node.expect("what was synced can be read"));
    }

    fn start_entry(&mut self, number: u16) {
        let place = Place::Entry(number);
        let life = self.entries.get(&number).map_or(1, |found| found.life + 1);
        let setup = EntrySetup {
            name: place.name(),
            incarnation: IncarnationNumber(life),
            data_centre: "dc".parse().expect("a name"),
            address: place.address(),
            operator_address: place.address(),
            control_peers: (1..=REPLICAS).map(|number| Place::Control(number).address()).collect(),
            seed: self.random.next_u64(),
            wall: self.wall(),
        };
        let process = EntryProcess {
            reducer: Some(EntryReducer::new(setup)),
            life,
            last: 0,
            bodies: BTreeMap::new(),
        };
        self.entries.insert(number, process);
        self.revisions.remove(&place);
        self.witness.forgets(place);
    }

    fn start_agent(&mut self, number: u16) {
        let place = Place::Agent(number);
        let broken = self.breakage == Some(Breakage::RevertRevision);
        let Some(found) = self.agents.get_mut(&number) else { return };
        found.life += 1;
        found.leaving = false;
        let config = AgentConfig {
            worker: Place::worker(number),
            incarnation: IncarnationNumber(found.life),
            region: "r".parse().expect("a name"),
            data_centre: "dc".parse().expect("a name"),
            rack: format!("rack-{number}").parse().expect("a name"),
            capacity: capacity(),
            address: place.address(),
            operator_address: place.address(),
            control_peers: (1..=REPLICAS).map(|number| Place::Control(number).address()).collect(),
            call_limit: 64,
        };
        let saved = found.saved.clone().filter(|_| !broken);
        let reducer = AgentReducer::new(config, saved);
        let revision = reducer.revision();
        found.reducer = Some(reducer);
        self.revisions.insert(place, revision);
        self.witness.in_force(place, revision);
        self.witness.leaves(number, None);
    }

    /// Kills a process. What control was writing may have reached the disk.
    pub fn crash(&mut self, place: Place, written: bool) {
        match place {
            Place::Control(number) => {
                let found = self.controls.get_mut(&number).expect("a replica");
                found.node = None;
                if let Some(batch) = found.writing.take().filter(|_| written) {
                    found.disk.apply(&batch);
                }
            }
            Place::Entry(number) => {
                let found = self.entries.get_mut(&number).expect("an entry");
                found.reducer = None;
            }
            Place::Agent(number) => {
                self.agents.get_mut(&number).expect("an agent").reducer = None;
            }
            Place::Operator => {}
        }
        self.asked.retain(|(at, _), _| *at != place);
    }

    /// Restarts a worker's platform: its tasks are gone.
    pub fn restart_platform(&mut self, number: u16) {
        self.agents.get_mut(&number).expect("an agent").platform.restart();
    }

    pub fn drain(&mut self, number: u16) {
        let found = self.agents.get_mut(&number).expect("an agent");
        if found.reducer.is_some() && !found.leaving {
            found.leaving = true;
            self.witness.leaves(number, Some(self.now));
            self.agent(number, AgentInput::DrainRequested);
        }
    }

    /// Lets time pass in small steps, and judges after each.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            for number in 1..=AGENTS {
                let clock = self.clock(Place::Agent(number));
                let found = &self.agents[&number];
                let behind = clock.saturating_sub(base::ClockSource::monotonic(&*found.clock));
                found.clock.advance(behind);
            }
            Place::all().for_each(|place| self.tick(place));
            while let Some(flight) = self.network.due(self.now) {
                self.deliver(flight);
            }
            self.hurry_new_leader();
            self.judge();
        }
    }

    fn tick(&mut self, place: Place) {
        match place {
            Place::Control(number) => {
                let wall_ms = self.now.as_millis() as u64;
                self.control(number, NodeEvent::Tick { wall_ms });
            }
            Place::Entry(number) => {
                let wall = self.wall();
                self.entry(number, EntryInput::Tick { wall });
            }
            Place::Agent(number) => {
                self.announce(number);
                let wall = self.wall();
                self.agent(number, AgentInput::Tick { wall });
            }
            Place::Operator => {}
        }
    }

    fn announce(&mut self, number: u16) {
        const EVERY: u128 = 1000;
        if !self.now.as_millis().is_multiple_of(EVERY) || self.agents[&number].leaving {
            return;
        }
        let announcement = ExecutorAnnouncement {
            endpoint: format!("e-{number}").parse().expect("a name"),
            incarnation: IncarnationNumber(1),
            service: SERVICE.parse().expect("a name"),
            address: Place::Agent(number).address(),
            slots: SlotCount(SLOTS),
            connections: ConnectionCount(8),
            task: None,
        };
        self.agent(number, AgentInput::Announced(announcement));
    }

    /// The breakage of a leader that does not wait for the leases that its predecessor gave: for a
    /// while after an election its clock runs fast, though not so fast that it would step down.
    fn hurry_new_leader(&mut self) {
        const HURRY: Duration = Duration::from_secs(5);
        const EXTRA: Duration = Duration::from_millis(200);
        if self.breakage != Some(Breakage::HurryNewLeader) {
            return;
        }
        let leads =
            |found: &ControlProcess| found.node.as_ref().is_some_and(ControlNode::is_leader);
        let leader =
            self.controls.iter().find(|(_, found)| leads(found)).map(|(number, _)| *number);
        if leader.is_some() && leader != self.led {
            self.led = leader;
            self.hurry_until = self.now + HURRY;
        }
        if let Some(found) = leader.and_then(|leader| self.controls.get_mut(&leader)) {
            if self.now < self.hurry_until {
                found.jump += EXTRA;
            }
        }
    }

    fn judge(&mut self) {
        let mut runs = Vec::new();
        for (number, found) in &mut self.agents {
            let history = found.platform.history();
            let listing = found.platform.take(PlatformRequest {
                agent: IncarnationNumber(found.life),
                call: PlatformCall::List,
            });
            let held = match listing {
                Some(PlatformReply::Listing(listing)) => listing
                    .tasks
                    .iter()
                    .filter(|task| task.state == PlatformState::Running)
                    .map(|task| task.assignment.reserved)
                    .sum(),
                _ => ResourceVector::ZERO,
            };
            runs.push((*number, history, held, capacity()));
        }
        self.witness.runs(&runs);
        for (number, found) in &self.agents {
            self.witness.slots(*number, found.executing.len(), SLOTS as usize);
        }
    }

    fn control(&mut self, number: u16, event: NodeEvent) {
        let place = Place::Control(number);
        let now = self.clock(place);
        let Some(node) = self.controls.get_mut(&number).and_then(|found| found.node.as_mut())
        else {
            return;
        };
        for effect in node.reduce(now, event) {
            self.control_effect(number, effect);
        }
    }

    fn control_effect(&mut self, number: u16, effect: NodeEffect) {
        let place = Place::Control(number);
        match effect {
            NodeEffect::SendQuorum { to, message, .. } => {
                let message = Box::new(message);
                let from = place.replica();
                self.network.send(self.now, Flight::Quorum { from, to, message });
            }
            NodeEffect::Persist(batch) => {
                let found = self.controls.get_mut(&number).expect("a replica");
                let (life, batch_number) = (found.life, batch.number);
                let merged = match found.writing.take() {
                    None => batch,
                    Some(earlier) => {
                        found.disk.apply(&earlier);
                        batch
                    }
                };
                found.writing = Some(merged);
                let written = Flight::Written { at: number, life, number: batch_number };
                self.network.at(self.now + DISK_DELAY, written);
            }
            NodeEffect::Reply { ticket, reply } => {
                let Some((to, id)) = self.asked.remove(&(place, ticket)) else { return };
                self.reply(place, to, id, Reply::Control(reply));
            }
            NodeEffect::PutInForce(revision) => {
                self.revisions.insert(place, revision);
            }
            NodeEffect::Halt(error) => {
                self.witness.violations.push(format!("{place} halts: {error}"));
            }
            NodeEffect::Record(_) | NodeEffect::Ready(_) => {}
        }
    }

    fn entry(&mut self, number: u16, input: EntryInput) {
        let place = Place::Entry(number);
        let now = self.clock(place);
        let Some(reducer) = self.entries.get_mut(&number).and_then(|found| found.reducer.as_mut())
        else {
            return;
        };
        for effect in reducer.reduce(now, input) {
            self.entry_effect(number, effect);
        }
    }

    fn entry_effect(&mut self, number: u16, effect: EntryEffect) {
        let place = Place::Entry(number);
        match effect {
            EntryEffect::Dispatch(plan) => {
                let found = &self.entries[&number];
                let Some(request) = found.bodies.get(&plan.flight.request).cloned() else { return };
                let remaining = plan.deadline.saturating_sub(self.clock(place));
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
                    place,
                    plan.target.agent,
                    timeout,
                    purpose,
                    Call::Dispatch(Box::new(call)),
                );
            }
            EntryEffect::Answer { number: request, answer } => {
                let id = self.request_id(number, request);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                self.witness.told_answer(&id, &body);
            }
            EntryEffect::Refuse { number: request, problem } => {
                let id = self.request_id(number, request);
                match problem.outcome {
                    ProblemOutcome::NotRun(verdict) => {
                        self.witness.told_not_run(&id, &format!("{:?}", verdict.reason()));
                    }
                    ProblemOutcome::Unknown(_) | ProblemOutcome::KeyInProgress => {
                        self.witness.told_unknown();
                    }
                }
            }
            EntryEffect::Claim { flight, peer, claim, timeout } => {
                let purpose = Purpose::Claim { flight, claim: claim.clone() };
                self.call(place, peer, timeout, purpose, Call::Claim(claim));
            }
            EntryEffect::Close { peer, close, timeout } => {
                let purpose = Purpose::Close(close.dispatch.clone());
                self.call(place, peer, timeout, purpose, Call::Close(close));
            }
            EntryEffect::Fence { flight, agent, fence, timeout } => {
                self.call(place, agent, timeout, Purpose::Fence(flight), Call::Fence(fence));
            }
            EntryEffect::PullTable { peer, pull, timeout } => {
                self.call(place, peer, timeout, Purpose::Table, Call::Table(pull));
            }
            EntryEffect::PullDeclarations { peer, known } => {
                self.call(place, peer, CALL_TIMEOUT, Purpose::Pull, Call::Pull { known });
            }
            EntryEffect::ServeDeclarations { ticket, reply } => {
                let Some((to, id)) = self.asked.remove(&(place, ticket)) else { return };
                self.reply(place, to, id, Reply::Declarations(reply.newer));
            }
            EntryEffect::InForce(revision) => {
                self.revisions.insert(place, revision);
                self.witness.in_force(place, revision);
            }
            EntryEffect::DeclarationsRefused { revision, reason } => {
                self.witness.violations.push(format!("{place} refuses {revision}: {reason}"));
            }
            EntryEffect::Ready | EntryEffect::Record(_) | EntryEffect::Drained => {}
        }
    }

    fn request_id(&self, entry: u16, request: RequestNumber) -> base::RequestId {
        let reducer = self.entries[&entry].reducer.as_ref();
        reducer.expect("an entry that just acted").request_id(request)
    }

    fn agent(&mut self, number: u16, input: AgentInput) {
        let place = Place::Agent(number);
        let now = self.clock(place);
        let Some(reducer) = self.agents.get_mut(&number).and_then(|found| found.reducer.as_mut())
        else {
            return;
        };
        for effect in reducer.reduce(now, input) {
            self.agent_effect(number, effect);
        }
    }

    fn agent_effect(&mut self, number: u16, effect: AgentEffect) {
        let place = Place::Agent(number);
        match effect {
            AgentEffect::ReplyDispatch { ticket, reply } => {
                let Some((to, id)) = self.asked.remove(&(place, ticket)) else { return };
                self.reply(place, to, id, Reply::Dispatch(reply));
            }
            AgentEffect::ReplyFence { ticket, reply } => {
                let Some((to, id)) = self.asked.remove(&(place, ticket)) else { return };
                self.reply(place, to, id, Reply::Fence(reply));
            }
            AgentEffect::CallExecutor(call) => self.execute(number, *call),
            AgentEffect::SendHeartbeat(send) => {
                let purpose = Purpose::Heartbeat(send.heartbeat.sequence);
                self.call(
                    place,
                    send.peer,
                    send.deadline,
                    purpose,
                    Call::Heartbeat(send.heartbeat),
                );
            }
            AgentEffect::CallPlatform(call) => self.call_platform(number, call),
            AgentEffect::PutInForce(bundle) => {
                self.revisions.insert(place, bundle.revision);
                self.witness.in_force(place, bundle.revision);
                self.agents.get_mut(&number).expect("an agent").saved = Some((*bundle).clone());
            }
            AgentEffect::PullDeclarations { peer, known } => {
                self.call(place, peer, CALL_TIMEOUT, Purpose::Pull, Call::Pull { known });
            }
            AgentEffect::Record(_) | AgentEffect::RecordProcess(_) => {}
        }
    }

    fn call_platform(&mut self, number: u16, call: PlatformCall) {
        let found = self.agents.get_mut(&number).expect("an agent");
        let unmade = self.breakage == Some(Breakage::ReportUnmadeStops);
        let reply = match &call {
            PlatformCall::Stop { .. } if unmade => {
                Some(PlatformReply::Ended { state: PlatformState::Stopped })
            }
            _ => {
                let agent = IncarnationNumber(found.life);
                found.platform.take(PlatformRequest { agent, call: call.clone() })
            }
        };
        let result = reply.ok_or(PlatformFault { detail: "silent".to_owned() });
        self.agent(number, AgentInput::PlatformDone { call, result });
    }

    fn execute(&mut self, number: u16, call: ExecutorCall) {
        let body = String::from_utf8_lossy(&call.request.body).into_owned();
        self.trace(|| format!("agent {number} runs {} of {body}", call.dispatch));
        self.witness.executes(number, &call.dispatch.request, &body, self.now);
        let took = self.random.duration_between(Duration::ZERO, LONGEST_SERVICE);
        let found = self.agents.get_mut(&number).expect("an agent");
        let (life, dispatch) = (found.life, call.dispatch.clone());
        found.executing.insert(dispatch.clone(), (life, call));
        if self.breakage == Some(Breakage::ForgetSlots) {
            let outcome = DispatchOutcome::Unknown(proto::messages::UnknownReason::ExecutorLost);
            let early = AgentInput::ExecutorDone { dispatch: dispatch.clone(), outcome };
            self.agent(number, early);
        }
        self.network.at(self.now + took, Flight::ExecutorDone { agent: number, life, dispatch });
    }

    fn executor_done(&mut self, number: u16, life: u64, dispatch: DispatchId) {
        let found = self.agents.get_mut(&number).expect("an agent");
        let Some((_, call)) = found.executing.remove(&dispatch) else { return };
        let own = call.request.body.clone();
        let previous = found.previous_body.replace(own.clone());
        let body = match self.breakage {
            Some(Breakage::SwapAnswers) => previous.unwrap_or(own),
            _ => own,
        };
        if found.life != life {
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
        self.agent(number, AgentInput::ExecutorDone { dispatch, outcome });
    }

    /// Makes a call, which ends with a reply or a timeout.
    pub fn call(
        &mut self,
        from: Place,
        peer: base::PeerAddress,
        timeout: Duration,
        purpose: Purpose,
        call: Call,
    ) {
        let id = self.network.number();
        let life = self.life(from);
        self.calls.insert(id, OpenCall { from, life, peer, purpose });
        let to = Place::at(peer);
        self.trace(|| format!("{from} -> {to} call {id}: {call:?}"));
        self.network.at(self.now + timeout, Flight::Timeout { id });
        let revision = self.revisions.get(&from).copied().unwrap_or_default();
        let to_life = self.life(to);
        self.network.send(self.now, Flight::Call { from, to, to_life, id, revision, call });
    }

    fn life(&self, place: Place) -> u64 {
        match place {
            Place::Control(number) => self.controls[&number].life,
            Place::Entry(number) => self.entries[&number].life,
            Place::Agent(number) => self.agents[&number].life,
            Place::Operator => 0,
        }
    }

    /// Writes what happens, when `TRACE` is set.
    fn trace(&self, text: impl FnOnce() -> String) {
        if self.traced {
            println!("{:>7.2}s {}", self.now.as_secs_f64(), text());
        }
    }

    fn reply(&mut self, from: Place, to: Place, id: u64, reply: Reply) {
        self.trace(|| format!("{from} -> {to} reply {id}: {reply:?}"));
        let revision = self.revisions.get(&from).copied().unwrap_or_default();
        self.network.send(self.now, Flight::Reply { from, to, id, revision, reply });
    }

    fn deliver(&mut self, flight: Flight) {
        match flight {
            Flight::Quorum { from, to, message } => {
                let sender = Place::of_replica(from);
                let note =
                    self.note(sender, self.revisions.get(&sender).copied().unwrap_or_default());
                let operator_address = sender.address();
                let message = *message;
                let event = NodeEvent::Quorum { from, note, operator_address, message };
                if let Place::Control(number) = Place::of_replica(to) {
                    self.control(number, event);
                }
            }
            Flight::Call { from, to, to_life, id, revision, call } => {
                if may_arrive(&call, to_life == self.life(to)) {
                    self.receive(from, to, id, revision, call);
                }
            }

            Flight::Reply { id, revision, reply, .. } => self.finish(id, revision, Some(reply)),
            Flight::Timeout { id } => self.finish(id, RevisionNumber(0), None),
            Flight::Written { at, life, number } => self.written(at, life, number),
            Flight::ExecutorDone { agent, life, dispatch } => {
                self.executor_done(agent, life, dispatch);
            }
        }
    }

    fn note(&self, place: Place, revision: RevisionNumber) -> ProcessNote {
        let role = match place {
            Place::Control(_) => ProcessRole::Control,
            Place::Entry(_) => ProcessRole::Entry,
            Place::Agent(_) => ProcessRole::Agent,
            Place::Operator => ProcessRole::Operator,
        };
        ProcessNote { name: place.name(), role, revision }
    }

    fn receive(&mut self, from: Place, to: Place, id: u64, revision: RevisionNumber, call: Call) {
        if !self.runs(to) {
            return;
        }
        let ticket = ReplyTicket(self.network.number());
        self.asked.insert((to, ticket), (from, id));
        match to {
            Place::Control(number) => {
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
                self.control(number, event);
            }
            Place::Entry(number) => {
                if let Call::Pull { known } = call {
                    self.entry(number, EntryInput::DeclarationsAsked { ticket, known });
                }
            }
            Place::Agent(number) => self.receive_at_agent(from, number, ticket, revision, call),
            Place::Operator => {}
        }
    }

    fn receive_at_agent(
        &mut self,
        from: Place,
        number: u16,
        ticket: ReplyTicket,
        revision: RevisionNumber,
        call: Call,
    ) {
        self.agent(number, AgentInput::RevisionHeard { peer: from.address(), revision });
        match call {
            Call::Dispatch(request) => self.agent(number, AgentInput::Dispatch { ticket, request }),
            Call::Fence(request) => self.agent(number, AgentInput::Fence { ticket, request }),
            Call::Pull { known } => {
                let found = self.agents[&number].reducer.as_ref();
                let newer = found.and_then(|reducer| reducer.declarations_after(known));
                let place = Place::Agent(number);
                if let Some((to, id)) = self.asked.remove(&(place, ticket)) {
                    self.reply(place, to, id, Reply::Declarations(newer));
                }
            }
            _ => {}
        }
    }

    /// Ends a call: with its reply, or with the knowledge that there is none.
    fn finish(&mut self, id: u64, revision: RevisionNumber, reply: Option<Reply>) {
        let Some(open) = self.calls.remove(&id) else { return };
        if reply.is_none() {
            self.trace(|| format!("{} call {id} timed out: {:?}", open.from, open.purpose));
        }
        if open.life != self.life(open.from) {
            return;
        }
        match open.from {
            Place::Entry(number) => self.finish_at_entry(number, open, revision, reply),
            Place::Agent(number) => self.finish_at_agent(number, open, revision, reply),
            Place::Operator => {
                if let (Purpose::Operator(name), Some(Reply::Control(reply))) =
                    (open.purpose, reply)
                {
                    self.replies.push((name, reply));
                }
            }
            Place::Control(_) => {}
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
            self.entry(number, EntryInput::RevisionHeard { peer, revision });
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
        self.entry(number, input);
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
            self.agent(number, AgentInput::RevisionHeard { peer, revision });
        }
        let source = Place::at(peer).name();
        match (open.purpose, reply) {
            (Purpose::Heartbeat(sequence), reply) => {
                let reply = match reply {
                    Some(Reply::Control(NodeReply::Heartbeat(reply))) => Some((source, reply)),
                    _ => None,
                };
                self.agent(number, AgentInput::HeartbeatDone { sequence, reply });
            }
            (Purpose::Pull, Some(reply)) => {
                if let Some(bundle) = bundle_of(reply) {
                    self.agent(number, AgentInput::Declarations { bundle, source });
                }
            }
            _ => {}
        }
    }

    fn written(&mut self, at: u16, life: u64, number: u64) {
        let found = self.controls.get_mut(&at).expect("a replica");
        if found.life != life || found.node.is_none() {
            return;
        }
        if let Some(batch) = found.writing.take_if(|batch| batch.number <= number) {
            found.disk.apply(&batch);
        }
        self.control(at, NodeEvent::Persisted { number });
    }

    /// A caller sends a request to an entry, if that runs.
    pub fn ask(
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
        self.witness.asked(id, operation);
        self.entry(entry, EntryInput::CallerRequest { number, head });
    }

    pub fn revision(&self, place: Place) -> RevisionNumber {
        self.revisions.get(&place).copied().unwrap_or_default()
    }
}

/// A dispatch travels once, on a connection of its own, and a connection ends with the process that
/// accepted it: no copy of a dispatch can reach a later life of its agent. Other calls are harmless
/// to repeat, and are delivered to whatever life is there.
fn may_arrive(call: &Call, same_life: bool) -> bool {
    match call {
        Call::Dispatch(_) | Call::Fence(_) => same_life,
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
