//! Runs the agent's reducer in a process: its threads, ports and state file.

mod core;
mod executor;
mod jobs;
mod meters;
mod pool;
mod ports;
mod state_file;

use {
    self::core::{AgentCore, CoreJob, CorePools},
    crate::{
        platform::PlatformClient,
        reducer::{AgentConfig, AgentInput, AgentReducer},
    },
    base::PeerAddress,
    crossbeam::channel::{self, Sender},
    jobs::{run_timer, JobRunner},
    pool::JobPool,
    ports::{announce_limits, internal_handler, AnnounceHandler},
    proto::{
        messages::DeclarationBundle,
        server::{HttpServer, ServerError, ServerLimits},
    },
    settings::{AgentSettings, ProcessSettings, RoleSettings},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        path::PathBuf,
        sync::Arc,
        thread::{self, JoinHandle},
    },
    telemetry::ProcessContext,
};

/// Maximum concurrent executor calls, over all endpoints.
const EXECUTOR_THREADS: usize = 512;
/// Maximum concurrent platform calls for single attempts.
const TASK_THREADS: usize = 4;

/// Why an agent can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings belong to another role.
    #[snafu(display("the settings are those of another role, not of an agent"))]
    OtherRole,
    /// The settings name no member of the control group.
    #[snafu(display(
        "control_peers is empty: an agent needs at least one member of the control group"
    ))]
    NoControlPeers,
    /// A port can't be opened.
    #[snafu(display("cannot open the {port} port: {source}"))]
    Port {
        /// The name of the port.
        port: &'static str,
        /// The error that the server reported.
        source: ServerError,
    },
    /// The state file can't be read.
    #[snafu(display("cannot read the state file {}: {source}", path.display()))]
    StateFile {
        /// The path of the state file.
        path: PathBuf,
        /// The error that the system or the decoder reported.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// The error that the system reported.
        source: io::Error,
    },
}

/// A running agent.
pub struct AgentProcess {
    core: Arc<AgentCore>,
    internal: HttpServer,
    announce: HttpServer,
    timer: JoinHandle<()>,
    stop_timer: Sender<()>,
}

impl AgentProcess {
    /// Opens the ports and starts to send heartbeats.
    pub fn start(settings: &ProcessSettings, context: ProcessContext) -> Result<Self, StartError> {
        let RoleSettings::Agent(agent) = &settings.role else { return OtherRoleSnafu.fail() };
        if settings.control_peers.is_empty() {
            return NoControlPeersSnafu.fail();
        }
        let saved = load_saved(agent)?;
        if let Some(bundle) = &saved {
            context.identity.put_in_force(bundle.revision);
        }
        let (wake, woken) = channel::bounded(1);
        let (stop_timer, stop) = channel::bounded(0);
        let identity = context.identity.clone();
        let gate = Arc::new(ports::HandlerGate::default());
        let internal = HttpServer::start(settings.internal, ServerLimits::default(), gate.clone())
            .context(PortSnafu { port: "internal" })?;
        identity.listen_at(internal.address());
        let config = config(settings, agent, &context, internal.address());
        let reducer = AgentReducer::new(config, saved);
        let core = Arc::new(AgentCore::new(context, reducer, wake));
        gate.open(internal_handler(core.clone()));
        let handler = Arc::new(AnnounceHandler::new(core.clone(), settings.internal));
        let announce = HttpServer::start(agent.announce, announce_limits(), handler)
            .context(PortSnafu { port: "announce" })?;
        let platform = PlatformClient::new(agent.platform, identity.sender().incarnation);
        let runner = JobRunner::new(core.clone(), platform, agent.state_file.clone());
        core.open(pools(Arc::new(runner)));
        let timer_core = core.clone();
        let timer = thread::Builder::new()
            .name("agent-timer".into())
            .spawn(move || run_timer(&timer_core, &woken, &stop))
            .context(ThreadSnafu)?;
        Ok(Self { core, internal, announce, timer, stop_timer })
    }

    /// Returns the address at which entries and control reach the agent.
    pub fn internal_address(&self) -> PeerAddress {
        self.internal.address()
    }

    /// Returns the address at which executors announce themselves.
    pub fn announce_address(&self) -> PeerAddress {
        self.announce.address()
    }

    /// Refuses new requests, finishes those in progress, notifies control, and ends. Tasks continue
    /// under the platform's lease, for the next incarnation of the agent to adopt.
    pub fn shut_down(self) {
        self.core.feed(AgentInput::DrainRequested);
        let idle = self.core.wait_for_drain();
        self.internal.shut_down();
        self.announce.shut_down();
        drop(self.stop_timer);
        let _ = self.timer.join();
        let Some(pools) = self.core.close() else { return };
        // Doesn't wait for threads whose executor hangs: their requests have been answered.
        if idle {
            pools.executors.shut_down();
        }
        pools.heartbeats.shut_down();
        pools.lease.shut_down();
        pools.tasks.shut_down();
        pools.declarations.shut_down();
    }
}

fn load_saved(agent: &AgentSettings) -> Result<Option<DeclarationBundle>, StartError> {
    let Some(path) = &agent.state_file else { return Ok(None) };
    state_file::load(path).context(StateFileSnafu { path })
}

fn config(
    settings: &ProcessSettings,
    agent: &AgentSettings,
    context: &ProcessContext,
    address: PeerAddress,
) -> AgentConfig {
    AgentConfig {
        worker: agent.worker.clone(),
        incarnation: context.identity.sender().incarnation,
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        rack: agent.rack.clone(),
        capacity: agent.capacity,
        address,
        operator_address: settings.operator,
        control_peers: settings.control_peers.clone(),
        call_limit: EXECUTOR_THREADS as u32,
    }
}

fn pools(runner: Arc<JobRunner>) -> CorePools {
    let pool = |name, limit| {
        let runner = runner.clone();
        JobPool::new(name, limit, move |job: CoreJob| runner.run(job))
    };
    CorePools {
        executors: pool("agent-executor", EXECUTOR_THREADS),
        heartbeats: pool("agent-heartbeat", 1),
        lease: pool("agent-lease", 1),
        tasks: pool("agent-task", TASK_THREADS),
        declarations: pool("agent-declare", 1),
    }
}
