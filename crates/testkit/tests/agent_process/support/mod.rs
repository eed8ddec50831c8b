//! An agent on loopback between a stand-in worker, a stand-in executor and a scripted leader.

pub mod path;

use {
    agent::AgentProcess,
    base::{
        ByteSize, ConnectionCount, CpuMillis, EndpointId, IncarnationNumber, PeerAddress,
        RequestId, ResourceVector, RevisionNumber, SlotCount, SystemClock,
    },
    bytes::Bytes,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        messages::{
            AgentHeartbeat, AttemptReport, CommandCursor, DeclarationBundle, DeclarationReply,
            DispatchId, DispatchReply, DispatchRequest, EndpointAnnouncement, FenceReply,
            FenceRequest, ForwardedRequest, HeartbeatReply, IdempotencyKey, LeaseRenewal,
            PriorityClass, TaskCommand,
        },
        rpc::{ConnectionUse, ProcessIdentity, RpcCall, RpcClient, RpcError, RpcRefusal},
        server::{reply, HttpServer, RpcInbox, ServerLimits},
    },
    settings::{AgentSettings, ProcessSettings, RoleSettings},
    std::{
        sync::{Arc, Condvar, Mutex},
        time::Duration,
    },
    telemetry::{EventRecorder, ProcessContext},
    testkit::{StandInExecutor, StandInExecutorSettings, StandInWorker, StandInWorkerSettings},
};

pub const INCARNATION: IncarnationNumber = IncarnationNumber(7);
const LEASE: Duration = Duration::from_secs(10);
const CALL_DEADLINE: Duration = Duration::from_secs(20);

pub fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a test writes valid ids")
}

pub fn free_port() -> PeerAddress {
    id("127.0.0.1:0")
}

pub fn identity(role: ProcessRole, name: &str) -> Arc<ProcessIdentity> {
    let sender =
        SenderIdentity { cluster: id("test"), role, name: id(name), incarnation: INCARNATION };
    Arc::new(ProcessIdentity::new(sender, Arc::new(SystemClock::new())))
}

#[derive(Default)]
struct LeaderState {
    commands: Vec<TaskCommand>,
    endpoints: Vec<EndpointAnnouncement>,
    reports: Vec<AttemptReport>,
    draining: bool,
    sequence: u64,
    revision: RevisionNumber,
}

/// A leader that renews every lease and sends the commands that the test sets.
pub struct ScriptedLeader {
    server: HttpServer,
    state: Arc<(Mutex<LeaderState>, Condvar)>,
}

impl ScriptedLeader {
    fn start() -> Self {
        let state: Arc<(Mutex<LeaderState>, Condvar)> = Arc::default();
        let reported = state.clone();
        let identity = identity(ProcessRole::Control, "control-1");
        let replier = identity.clone();
        let inbox = RpcInbox::new(identity, move |path, frame, responder| {
            if path != AgentHeartbeat::PATH {
                return Err((RpcRefusal::NoSuchPath, responder));
            }
            let Ok(heartbeat) = frame.body::<AgentHeartbeat>() else {
                return Err((RpcRefusal::Malformed, responder));
            };
            reported.0.lock().unwrap().revision = frame.header.revision;
            reply(responder, &replier, &renew(&reported, heartbeat));
            Ok(())
        });
        let server = HttpServer::start(free_port(), ServerLimits::default(), Arc::new(inbox));
        Self { server: server.expect("a free port"), state }
    }

    /// Replaces the commands of the leader: the worker is to run these attempts and no other.
    pub fn command(&self, commands: Vec<TaskCommand>) {
        let mut state = self.state.0.lock().unwrap();
        state.sequence += 1;
        state.commands = commands;
    }

    /// Waits until an endpoint is reported with the given state: draining, or accepting requests.
    pub fn wait_endpoint(&self, draining: bool) {
        self.wait(|state| state.endpoints.iter().any(|known| known.draining == draining));
    }

    /// Waits until a report satisfies the condition.
    pub fn wait_report(&self, wanted: impl Fn(&AttemptReport) -> bool) {
        self.wait(|state| state.reports.iter().any(&wanted));
    }

    /// Waits until the agent reports the revision as in force.
    pub fn wait_revision(&self, revision: u64) {
        self.wait(|state| state.revision == RevisionNumber(revision));
    }

    /// Waits until the agent reports that it drains.
    pub fn wait_drain(&self) {
        self.wait(|state| state.draining);
    }

    fn wait(&self, done: impl Fn(&LeaderState) -> bool) {
        let state = self.state.0.lock().unwrap();
        drop(self.state.1.wait_while(state, |state| !done(state)).unwrap());
    }
}

fn renew(state: &(Mutex<LeaderState>, Condvar), heartbeat: AgentHeartbeat) -> HeartbeatReply {
    let mut reported = state.0.lock().unwrap();
    if let Some(endpoints) = heartbeat.endpoints {
        reported.endpoints = endpoints;
    }
    if let Some(announcement) = heartbeat.announcement {
        reported.draining = announcement.draining;
    }
    let acknowledged = heartbeat.reports.iter().map(|report| (report.task.clone(), report.attempt));
    let acknowledged = acknowledged.collect();
    reported.reports.extend(heartbeat.reports);
    state.1.notify_all();
    HeartbeatReply::Renewed(Box::new(LeaseRenewal {
        lease: LEASE,
        report_all: false,
        cursor: CommandCursor { term: base::TermNumber(1), sequence: reported.sequence },
        commands_complete: true,
        commands: reported.commands.clone(),
        acknowledged,
        declarations: None,
    }))
}

/// An agent and everything around it.
pub struct AgentRig {
    pub leader: ScriptedLeader,
    pub worker: StandInWorker,
    pub executor: StandInExecutor,
    pub address: PeerAddress,
    announce: PeerAddress,
    agent: Mutex<Option<AgentProcess>>,
    client: RpcClient,
    entry: Arc<ProcessIdentity>,
    _pulls: HttpServer,
}

impl AgentRig {
    pub fn start(slots: u32) -> Self {
        Self::start_named("e1", slots)
    }

    pub fn start_named(endpoint: &str, slots: u32) -> Self {
        let leader = ScriptedLeader::start();
        let worker = StandInWorker::start(free_port(), StandInWorkerSettings::default()).unwrap();
        let agent = start_agent(&leader, &worker);
        let executor = StandInExecutor::start(StandInExecutorSettings {
            listen: free_port(),
            service: id("booking"),
            endpoint: id(endpoint),
            incarnation: IncarnationNumber(1),
            slots: SlotCount(slots),
            connections: ConnectionCount(64),
            announce_to: Some(agent.announce_address()),
            service_time: Duration::ZERO,
        });
        let entry = identity(ProcessRole::Entry, "entry-1");
        let client = RpcClient::new(entry.clone());
        let pulls = answer_pulls(&entry);
        let address = agent.internal_address();
        let announce = agent.announce_address();
        let agent = Mutex::new(Some(agent));
        let rig = Self {
            leader,
            worker,
            executor: executor.unwrap(),
            address,
            announce,
            agent,
            client,
            entry,
            _pulls: pulls,
        };
        rig.leader.wait_endpoint(false);
        rig
    }

    pub fn call<C: RpcCall>(&self, call: &C) -> Result<C::Reply, RpcError> {
        let answered = self.client.call(self.address, ConnectionUse::Fresh, CALL_DEADLINE, call);
        answered.map(|(_, reply)| reply)
    }

    /// Posts to the announcement port and returns the status and the body of the answer.
    pub fn post_announce(&self, path: &str, body: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.announce);
        let sent = attohttpc::post(url)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .text(body)
            .send()
            .expect("the agent answers");
        (sent.status().as_u16(), sent.text().expect("a whole answer"))
    }

    /// Sets the revision that the entry names in every message from now on, and with which it
    /// answers pulls.
    pub fn set_entry_revision(&self, revision: u64) {
        self.entry.put_in_force(RevisionNumber(revision));
    }

    pub fn shut_down(&self) {
        let agent = self.agent.lock().unwrap().take();
        agent.expect("it runs").shut_down();
    }

    pub fn dispatch(&self, request: &DispatchRequest) -> DispatchReply {
        self.call(request).expect("the agent answers")
    }

    pub fn fence(&self, name: &str) -> FenceReply {
        let request = FenceRequest {
            endpoint: id("e1"),
            incarnation: INCARNATION,
            key: key(name),
            dispatch: dispatch_id(name),
        };
        self.call(&request).expect("the agent answers")
    }
}

/// Starts the entry's internal port, which answers pulls with an empty bundle of the entry's
/// revision.
fn answer_pulls(entry: &Arc<ProcessIdentity>) -> HttpServer {
    let replier = entry.clone();
    let inbox = RpcInbox::new(entry.clone(), move |_, _, responder| {
        let newer = DeclarationBundle { revision: replier.in_force(), files: Vec::new() };
        reply(responder, &replier, &DeclarationReply { newer: Some(newer) });
        Ok(())
    });
    let server = HttpServer::start(free_port(), ServerLimits::default(), Arc::new(inbox)).unwrap();
    entry.listen_at(server.address());
    server
}

fn start_agent(leader: &ScriptedLeader, worker: &StandInWorker) -> AgentProcess {
    let settings = ProcessSettings {
        cluster: id("test"),
        name: id("agent-1"),
        region: id("north"),
        data_centre: id("arusha"),
        internal: free_port(),
        operator: free_port(),
        control_peers: vec![leader.server.address()],
        role: RoleSettings::Agent(AgentSettings {
            worker: id("w1"),
            rack: id("r1"),
            capacity: ResourceVector {
                cpu: CpuMillis(16_000),
                memory: ByteSize(60_000_000_000),
                ..ResourceVector::ZERO
            },
            platform: worker.address(),
            announce: free_port(),
            state_file: None,
        }),
    };
    let identity = identity(ProcessRole::Agent, "agent-1");
    let recorder = Arc::new(EventRecorder::new(identity.clone(), 1000));
    AgentProcess::start(&settings, ProcessContext::new(identity, recorder)).expect("it starts")
}

pub fn endpoint() -> EndpointId {
    id("e1")
}

pub fn dispatch_id(name: &str) -> DispatchId {
    DispatchId { request: RequestId::new(name).unwrap(), number: 0 }
}

pub fn key(name: &str) -> IdempotencyKey {
    IdempotencyKey { service: id("booking"), text: name.to_owned() }
}

/// Creates a dispatch of `line`, which is a method and a target, with headers and a body.
pub fn request(name: &str, line: &str, headers: &[(&str, &str)], body: &[u8]) -> DispatchRequest {
    let (method, target) = line.split_once(' ').expect("a method and a target");
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), Bytes::copy_from_slice(value.as_bytes())));
    DispatchRequest {
        dispatch: dispatch_id(name),
        endpoint: endpoint(),
        incarnation: INCARNATION,
        priority: PriorityClass::LatencyCritical,
        remaining: Duration::from_secs(10),
        key: None,
        request: ForwardedRequest {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: headers.collect(),
            body: Bytes::copy_from_slice(body),
        },
    }
}
