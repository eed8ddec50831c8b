//! A control process over real sockets: the messages of an agent and the calls of an operator.

use {
    base::{
        AttemptNumber, ByteSize, CpuMillis, IncarnationNumber, JobId, PeerAddress, ReplicaId,
        ResourceVector, RevisionNumber, SubmissionId, SystemClock, TaskId, TaskIndex,
    },
    control::ControlProcess,
    crossbeam::channel::tick,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        messages::{
            operator::{
                ApplyReply, ApplyRequest, CancelReply, DrainReply, ExplainReply, FleetStatus,
                JobStatus, OperatorProblemKind, SubmitReply, SubmitRequest, TaskPhase, UnparkReply,
            },
            AgentHeartbeat, AttemptReport, AttemptState, CommandCursor, DeclarationFile,
            HeartbeatReply, JobSpec, LeaseRenewal, PlacementRule, PriorityClass, TaskCommand,
            WorkerAnnouncement,
        },
        operator_client::{OperatorClient, OperatorError},
        rpc::{ConnectionUse, ProcessIdentity, RpcClient},
        server::{HttpServer, ServerLimits},
    },
    settings::{ControlSettings, MemberSettings, ProcessSettings, RoleSettings},
    std::{path::Path, sync::Arc, time::Duration},
    telemetry::{EventRecorder, ProcessContext},
};

const DEADLINE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn any_port() -> PeerAddress {
    "127.0.0.1:0".parse().expect("an address")
}

fn identity(role: ProcessRole, name: &str) -> Arc<ProcessIdentity> {
    let sender = SenderIdentity {
        cluster: "test".parse().expect("a name"),
        role,
        name: name.parse().expect("a name"),
        incarnation: IncarnationNumber(1),
    };
    Arc::new(ProcessIdentity::new(sender, Arc::new(SystemClock::new())))
}

fn start(folder: &Path) -> ControlProcess {
    start_replica(folder, 1, &[any_port()])
}

/// Starts one of the founders that listen at `addresses`.
fn start_replica(folder: &Path, replica: u64, addresses: &[PeerAddress]) -> ControlProcess {
    let name = format!("control-{replica}");
    let founder = |(place, address): (usize, &PeerAddress)| MemberSettings {
        replica: ReplicaId(place as u64 + 1),
        address: *address,
    };
    let settings = ProcessSettings {
        cluster: "test".parse().expect("a name"),
        name: name.parse().expect("a name"),
        region: "north".parse().expect("a name"),
        data_centre: "Arusha".parse().expect("a name"),
        internal: addresses[replica as usize - 1],
        operator: any_port(),
        control_peers: addresses.to_vec(),
        role: RoleSettings::Control(ControlSettings {
            replica: ReplicaId(replica),
            data_folder: folder.join(&name),
            founders: addresses.iter().enumerate().map(founder).collect(),
        }),
    };
    let identity = identity(ProcessRole::Control, &name);
    let recorder = Arc::new(EventRecorder::new(identity.clone(), 1024));
    ControlProcess::start(&settings, ProcessContext::new(identity, recorder)).expect("a start")
}

/// Returns addresses that no other process uses. Replicas have to know each other's addresses
/// before they start, so port 0 is not possible.
fn group_addresses() -> Vec<PeerAddress> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    (1..=3).map(|replica| PeerAddress(([127, 80 + replica, high, low], 7400).into())).collect()
}

struct TestAgent {
    client: RpcClient,
    control: PeerAddress,
    heartbeat: AgentHeartbeat,
}

impl TestAgent {
    fn new(control: PeerAddress) -> Self {
        let announcement = WorkerAnnouncement {
            region: "north".parse().expect("a name"),
            data_centre: "Arusha".parse().expect("a name"),
            rack: "r1".parse().expect("a name"),
            capacity: size(16_000),
            address: any_port(),
            operator_address: any_port(),
            draining: false,
        };
        let heartbeat = AgentHeartbeat {
            worker: "w1".parse().expect("a name"),
            incarnation: IncarnationNumber(1),
            sequence: 0,
            announcement: Some(announcement),
            endpoints: Some(Vec::new()),
            cursor: CommandCursor::default(),
            reports_complete: true,
            reports: Vec::new(),
            usage: None,
        };
        Self { client: RpcClient::new(identity(ProcessRole::Agent, "agent-1")), control, heartbeat }
    }

    /// Sends heartbeats until a renewal satisfies `wanted`.
    fn heartbeat_until(&mut self, wanted: impl Fn(&LeaseRenewal) -> bool) -> LeaseRenewal {
        let pace = tick(POLL_INTERVAL);
        loop {
            let _ = pace.recv();
            self.heartbeat.sequence += 1;
            let sent =
                self.client.call(self.control, ConnectionUse::Pooled, DEADLINE, &self.heartbeat);
            let Ok((_, HeartbeatReply::Renewed(renewal))) = sent else { continue };
            self.heartbeat.cursor = renewal.cursor;
            if wanted(&renewal) {
                return *renewal;
            }
        }
    }
}

fn size(cpu: u64) -> ResourceVector {
    ResourceVector { cpu: CpuMillis(cpu), memory: ByteSize(1 << 30), ..ResourceVector::ZERO }
}

fn job(name: &str) -> JobSpec {
    JobSpec {
        id: name.parse().expect("a name"),
        team: "desk".parse().expect("a name"),
        class: "report".parse().expect("a name"),
        priority: PriorityClass::Batch,
        tasks: 1,
        resources: size(1_000),
        run_time: None,
        service: None,
        payload: "run".to_owned(),
        placement: PlacementRule::default(),
    }
}

fn submission(text: &str) -> SubmissionId {
    text.parse().expect("a name")
}

fn operator(process: &ControlProcess) -> (HttpServer, OperatorClient) {
    let limits = ServerLimits::default();
    let server = HttpServer::start(any_port(), limits, process.operator_handler()).expect("a port");
    let client = OperatorClient::new(vec![server.address()], DEADLINE);
    (server, client)
}

fn status_when_led(client: &OperatorClient) -> FleetStatus {
    let pace = tick(POLL_INTERVAL);
    loop {
        match client.get("/v1/status") {
            Ok(status) => return status,
            Err(_) => _ = pace.recv(),
        }
    }
}

#[test]
fn a_job_is_placed_run_finished_and_remembered_over_a_restart() {
    let folder = tempfile::tempdir().expect("a folder");
    let process = start(folder.path());
    let (server, client) = operator(&process);
    assert_eq!(status_when_led(&client).revision, RevisionNumber(0));

    let apply = ApplyRequest {
        submission: submission("s1"),
        base: RevisionNumber(0),
        files: vec![DeclarationFile {
            path: "fleet.toml".to_owned(),
            text: "[defaults.lease]\nlength = \"8s\"\n".to_owned(),
        }],
    };
    let reply: ApplyReply = client.post("/v1/declarations", &apply).expect("an answer");
    assert_eq!(reply, ApplyReply::Accepted { revision: RevisionNumber(1) });

    let mut agent = TestAgent::new(process.internal_address());
    let renewal = agent.heartbeat_until(|renewal| renewal.declarations.is_some());
    assert_eq!(renewal.lease, Duration::from_secs(8));

    let request = SubmitRequest { submission: submission("s2"), job: job("sweep") };
    let reply: SubmitReply = client.post("/v1/jobs", &request).expect("an answer");
    assert_eq!(reply, SubmitReply::Accepted { job: JobId::new("sweep").expect("a name") });

    agent.heartbeat.reports_complete = false;
    let renewal = agent.heartbeat_until(|renewal| !renewal.commands.is_empty());
    let TaskCommand::Run { assignment, .. } = &renewal.commands[0] else {
        panic!("expected a start, not {:?}", renewal.commands);
    };
    assert_eq!(assignment.attempt, AttemptNumber(1));

    let task = TaskId::new("sweep".parse().expect("a name"), TaskIndex(0));
    agent.heartbeat.reports = vec![AttemptReport {
        task: task.clone(),
        attempt: AttemptNumber(1),
        state: AttemptState::Finished,
    }];
    agent.heartbeat_until(|renewal| renewal.acknowledged == [(task.clone(), AttemptNumber(1))]);
    let status: JobStatus = client.get("/v1/jobs/sweep").expect("the job");
    assert_eq!(status.phases, [(TaskPhase::Finished, 1)]);

    server.shut_down();
    process.shut_down();
    let process = start(folder.path());
    let (server, client) = operator(&process);
    assert_eq!(status_when_led(&client).revision, RevisionNumber(1));
    let after: JobStatus = client.get("/v1/jobs/sweep").expect("the job");
    assert_eq!(after, status);
    server.shut_down();
    process.shut_down();
}

#[test]
fn a_group_survives_the_loss_of_its_leader() {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = group_addresses();
    let mut group: Vec<_> = (1..=3)
        .map(|replica| {
            let process = start_replica(folder.path(), replica, &addresses);
            let (server, client) = operator(&process);
            (replica, process, server, client)
        })
        .collect();
    let leader = leader_of(&group, 0);
    let request = SubmitRequest { submission: submission("s1"), job: job("sweep") };
    let client = &group.iter().find(|(replica, ..)| *replica == leader).expect("the leader").3;
    let reply: SubmitReply = client.post("/v1/jobs", &request).expect("an answer");
    assert_eq!(reply, SubmitReply::Accepted { job: JobId::new("sweep").expect("a name") });

    let place = group.iter().position(|(replica, ..)| *replica == leader).expect("the leader");
    let (_, process, server, _) = group.remove(place);
    server.shut_down();
    process.shut_down();

    let next = leader_of(&group, leader);
    assert_ne!(next, leader);
    let client = &group.iter().find(|(replica, ..)| *replica == next).expect("the leader").3;
    let reply: SubmitReply = client.post("/v1/jobs", &request).expect("an answer");
    assert_eq!(reply, SubmitReply::Accepted { job: JobId::new("sweep").expect("a name") });
    let jobs: Vec<JobStatus> = client.get("/v1/jobs").expect("the jobs");
    assert_eq!(jobs.len(), 1);

    let process = start_replica(folder.path(), leader, &addresses);
    let (server, client) = operator(&process);
    group.push((leader, process, server, client));
    let status = status_of(&group, |status| {
        let leader = status.members.iter().map(|member| member.matched).max();
        status.members.iter().all(|member| Some(member.matched) == leader)
    });
    assert_eq!(status.members.len(), 3);
    for (_, process, server, _) in group {
        server.shut_down();
        process.shut_down();
    }
}

type GroupMember = (u64, ControlProcess, HttpServer, OperatorClient);

/// Waits until a replica other than `not` leads, and returns it.
fn leader_of(group: &[GroupMember], not: u64) -> u64 {
    status_of(group, |status| status.leader != ReplicaId(not)).leader.0
}

/// Asks the replicas in turn until one returns a wanted status, no faster than operators would,
/// because each question opens a connection of its own.
fn status_of(group: &[GroupMember], wanted: impl Fn(&FleetStatus) -> bool) -> FleetStatus {
    let pace = tick(POLL_INTERVAL);
    for (.., client) in group.iter().cycle() {
        match client.get::<FleetStatus>("/v1/status") {
            Ok(status) if wanted(&status) => return status,
            _ => _ = pace.recv(),
        }
    }
    unreachable!("the group is not empty")
}

#[test]
fn a_malformed_operator_call_gets_its_problem_kind() {
    let folder = tempfile::tempdir().expect("a folder");
    let process = start(folder.path());
    let (server, client) = operator(&process);
    status_when_led(&client);
    let got = |path: &str| kind_of(client.get::<serde_json::Value>(path));
    let posted = |path: &str| kind_of(client.post::<_, serde_json::Value>(path, &"nonsense"));
    let not_found = Some(OperatorProblemKind::NotFound);
    let bad_request = Some(OperatorProblemKind::BadRequest);
    assert_eq!(got("/v1/jobs/nothing"), not_found);
    assert_eq!(got("/v1/explain/task/nothing/0"), not_found);
    assert_eq!(got("/v1/explain/worker/w%31"), not_found);
    assert_eq!(got("/v1/nonsense"), not_found);
    assert_eq!(got("/v2/status"), not_found);
    assert_eq!(got("/v1/explain/task/nothing"), bad_request);
    assert_eq!(got("/v1/explain/policy?colour=red"), bad_request);
    assert_eq!(got("/v1/jobs/a%20b"), bad_request);
    assert_eq!(posted("/v1/jobs"), bad_request);
    assert_eq!(posted("/v1/declarations"), bad_request);
    assert_eq!(posted("/v1/members"), bad_request);
    assert_eq!(posted("/v1/workers/w1/paint"), not_found);

    let reply: DrainReply = client.post("/v1/workers/w1/drain", &()).expect("an answer");
    assert_eq!(reply, DrainReply::NoSuchWorker);
    let reply: UnparkReply = client.post("/v1/jobs/j/unpark", &()).expect("an answer");
    assert_eq!(reply, UnparkReply::NoSuchJob);
    let reply: CancelReply = client.delete("/v1/jobs/j").expect("an answer");
    assert_eq!(reply, CancelReply::NoSuchJob);
    let reply: ExplainReply = client.get("/v1/explain/policy?team=desk").expect("an answer");
    assert_eq!(reply.subject, "policy of team desk");
    server.shut_down();
    process.shut_down();
}

fn kind_of<T>(result: Result<T, OperatorError>) -> Option<OperatorProblemKind> {
    match result {
        Err(OperatorError::Problem { problem }) => Some(problem.kind),
        _ => None,
    }
}
