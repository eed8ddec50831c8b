//! A control process over real sockets: an agent's conversation and an operator's calls.

use {
    base::{
        AttemptNumber, ByteSize, CpuMillis, IncarnationNumber, JobId, PeerAddress, ReplicaId,
        ResourceVector, RevisionNumber, SubmissionId, SystemClock, TaskId, TaskIndex,
    },
    control::ControlProcess,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        messages::{
            operator::{
                ApplyReply, ApplyRequest, FleetStatus, JobStatus, SubmitReply, SubmitRequest,
                TaskPhase,
            },
            AgentHeartbeat, AttemptReport, AttemptState, CommandCursor, DeclarationFile,
            HeartbeatReply, JobSpec, LeaseRenewal, PlacementRule, PriorityClass, TaskCommand,
            WorkerAnnouncement,
        },
        operator_client::OperatorClient,
        rpc::{ConnectionUse, ProcessIdentity, RpcClient},
        server::{HttpServer, ServerLimits},
    },
    settings::{ControlSettings, MemberSettings, ProcessSettings, RoleSettings},
    std::{path::Path, sync::Arc, time::Duration},
    telemetry::{EventRecorder, ProcessContext},
};

const DEADLINE: Duration = Duration::from_secs(10);

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
    let founder = MemberSettings { replica: ReplicaId(1), address: any_port() };
    let settings = ProcessSettings {
        cluster: "test".parse().expect("a name"),
        name: "control-1".parse().expect("a name"),
        region: "north".parse().expect("a name"),
        data_centre: "Arusha".parse().expect("a name"),
        internal: any_port(),
        operator: any_port(),
        control_peers: vec![any_port()],
        role: RoleSettings::Control(ControlSettings {
            replica: ReplicaId(1),
            data_folder: folder.to_owned(),
            founders: vec![founder],
        }),
    };
    let identity = identity(ProcessRole::Control, "control-1");
    let recorder = Arc::new(EventRecorder::new(identity.clone(), 1024));
    ControlProcess::start(&settings, ProcessContext::new(identity, recorder)).expect("a start")
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

    /// Beats until a renewal satisfies `wanted`.
    fn beat_until(&mut self, wanted: impl Fn(&LeaseRenewal) -> bool) -> LeaseRenewal {
        loop {
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
    loop {
        if let Ok(status) = client.get("/v1/status") {
            return status;
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
    let renewal = agent.beat_until(|renewal| renewal.declarations.is_some());
    assert_eq!(renewal.lease, Duration::from_secs(8));

    let request = SubmitRequest { submission: submission("s2"), job: job("sweep") };
    let reply: SubmitReply = client.post("/v1/jobs", &request).expect("an answer");
    assert_eq!(reply, SubmitReply::Accepted { job: JobId::new("sweep").expect("a name") });

    agent.heartbeat.reports_complete = false;
    let renewal = agent.beat_until(|renewal| !renewal.commands.is_empty());
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
    agent.beat_until(|renewal| renewal.acknowledged == [(task.clone(), AttemptNumber(1))]);
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
