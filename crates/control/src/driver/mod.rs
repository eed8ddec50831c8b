//! The threads and I/O around the control reducer.
//!
//! One thread runs the reducer, one writes and syncs the log, one sends to each other replica, and
//! the HTTP server's thread accepts calls. They pass calls and messages through bounded channels
//! only. A call that does not fit into its channel is refused. A message to another replica
//! displaces the oldest one that waits.

mod inbox;
mod operator_api;
mod peers;
mod reducer_thread;
mod storage_thread;
mod wire;

pub use wire::{QuorumAcknowledgement, QuorumEnvelope};

use {
    self::{
        inbox::{accept_call, InboundCall},
        operator_api::OperatorApi,
        peers::PeerSenders,
        reducer_thread::{run_reducer, ReducerThread},
        storage_thread::run_storage,
    },
    crate::node::{ControlNode, NodeSettings},
    base::{ByteSize, PeerAddress, ReplicaId},
    crossbeam::channel::{bounded, Sender},
    proto::server::{HttpServer, RequestHandler, RpcInbox, ServerError, ServerLimits},
    quorum::{CoreError, GroupMember, LogStorage, QuorumSettings, StorageError},
    settings::{ControlSettings, ProcessSettings, RoleSettings},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    telemetry::{ProcessContext, ProcessEvent},
};

/// The log folder within the data folder.
const LOG_FOLDER: &str = "log";
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1000);
const LEADER_HEARTBEAT: Duration = Duration::from_millis(200);
const BATCH_BYTES: usize = 512 * 1024;
const MESSAGES_IN_FLIGHT: usize = 8;
const PENDING_PROPOSALS: usize = 4096;
const SNAPSHOT_CHUNK: usize = 256 * 1024;
const SNAPSHOT_EVERY: u64 = 20_000;
/// Upper bound on the calls that wait for the reducer.
const WAITING_CALLS: usize = 4096;
const MESSAGE_LIMIT: ByteSize = ByteSize(32 * 1024 * 1024);
/// Enough for the agents and entries of the target size, with headroom for reconnection.
const CONNECTIONS_LIMIT: usize = 4096;

/// Why a control process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings belong to another role.
    #[snafu(display("the settings are not those of a control process"))]
    OtherRole,
    /// The log can't be opened.
    #[snafu(display("the log can't be opened: {source}"))]
    Storage {
        /// The error of the storage.
        source: StorageError,
    },
    /// The replica can't start from its log.
    #[snafu(display("the replica can't start: {source}"))]
    Core {
        /// The error of the quorum core.
        source: CoreError,
    },
    /// The internal port can't be opened.
    #[snafu(display("the internal port can't be opened: {source}"))]
    Server {
        /// The error of the server.
        source: ServerError,
    },
    /// The system can't start a thread.
    #[snafu(display("a thread can't be started: {source}"))]
    Thread {
        /// The error of the system.
        source: io::Error,
    },
}

/// A running control process.
pub struct ControlProcess {
    server: HttpServer,
    api: Arc<OperatorApi>,
    stop: Sender<()>,
    threads: Vec<JoinHandle<()>>,
}

impl ControlProcess {
    /// Opens the log, starts the threads and listens on the internal address.
    pub fn start(settings: &ProcessSettings, context: ProcessContext) -> Result<Self, StartError> {
        let RoleSettings::Control(control) = &settings.role else {
            return OtherRoleSnafu.fail();
        };
        let folder = control.data_folder.join(LOG_FOLDER);
        let opened = LogStorage::open(&folder, &settings.cluster, control.replica);
        let (storage, recovered) = opened.context(StorageSnafu)?;
        let node_settings = node_settings(settings, control, &context);
        let now = context.clock().monotonic();
        let node = ControlNode::new(node_settings, recovered, now).context(CoreSnafu)?;

        let (calls, waiting) = bounded(WAITING_CALLS);
        let (batches, to_write) = bounded(1);
        let (written, reports) = bounded(1);
        let (stop, stopped) = bounded(1);
        let writer_context = context.clone();
        let writer = spawn("control-storage", move || {
            run_storage(storage, &to_write, &written, &writer_context);
        })?;
        let peers = PeerSenders::new(control.replica, settings.operator, context.clone());
        let thread = ReducerThread {
            node,
            calls: waiting,
            reports,
            stopped,
            batches,
            peers,
            context: context.clone(),
        };
        let reducer = spawn("control-reducer", move || run_reducer(thread))?;
        let server = listen(settings, &context, calls.clone())?;
        let address = server.address();
        let port = "internal".to_owned();
        context.recorder.record(&ProcessEvent::Listening { port, address });
        let api = Arc::new(OperatorApi::new(calls));
        Ok(Self { server, api, stop, threads: vec![reducer, writer] })
    }

    /// Returns the address for other processes of the system.
    pub fn internal_address(&self) -> PeerAddress {
        self.server.address()
    }

    /// Returns the handler of operators' calls below `/v1/`.
    pub fn operator_handler(&self) -> Arc<dyn RequestHandler> {
        self.api.clone()
    }

    /// Stops accepting calls, answers those in progress and stops the threads.
    pub fn shut_down(self) {
        self.server.shut_down();
        self.api.close();
        let _ = self.stop.send(());
        drop(self.stop);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    thread::Builder::new().name(name.to_owned()).spawn(body).context(ThreadSnafu)
}

fn listen(
    settings: &ProcessSettings,
    context: &ProcessContext,
    calls: Sender<InboundCall>,
) -> Result<HttpServer, StartError> {
    let limits = ServerLimits {
        connections: CONNECTIONS_LIMIT,
        requests: CONNECTIONS_LIMIT,
        body: MESSAGE_LIMIT,
        ..ServerLimits::default()
    };
    let identity = context.identity.clone();
    let own = identity.clone();
    let accept =
        move |path: &str, frame, responder| accept_call(&own, &calls, path, frame, responder);
    let inbox = RpcInbox::new(identity, accept);
    let server = HttpServer::start(settings.internal, limits, Arc::new(inbox));
    let server = server.context(ServerSnafu)?;
    context.identity.listen_at(server.address());
    Ok(server)
}

fn node_settings(
    settings: &ProcessSettings,
    control: &ControlSettings,
    context: &ProcessContext,
) -> NodeSettings {
    let founder = |member: &settings::MemberSettings| GroupMember {
        replica: member.replica,
        address: member.address,
        voter: true,
    };
    let quorum = QuorumSettings {
        replica: control.replica,
        founders: control.founders.iter().map(founder).collect(),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat: LEADER_HEARTBEAT,
        batch_bytes: BATCH_BYTES,
        in_flight_limit: MESSAGES_IN_FLIGHT,
        pending_limit: PENDING_PROPOSALS,
        snapshot_chunk: SNAPSHOT_CHUNK,
        snapshot_every: SNAPSHOT_EVERY,
    };
    NodeSettings {
        name: settings.name.clone(),
        operator_address: settings.operator,
        quorum,
        seed: seed_of(control.replica, context),
    }
}

/// Returns a seed that differs between starts, so that replicas that tied in an election do not tie
/// again.
fn seed_of(replica: ReplicaId, context: &ProcessContext) -> u64 {
    let stamp = context.identity.stamp();
    stamp.wall_micros.rotate_left(16) ^ replica.0
}
