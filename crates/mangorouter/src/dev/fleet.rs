//! The processes of `dev` and their settings.

use {
    crate::{daemon::RunningRole, failure::DaemonFailure},
    base::{
        AcceleratorCount, ByteSize, ConnectionCount, CpuMillis, IdError, PeerAddress, ReplicaId,
        ResourceVector, SlotCount,
    },
    settings::{
        AgentSettings, ControlSettings, EntrySettings, MemberSettings, ProcessSettings,
        RoleSettings, StandInSettings,
    },
    std::{
        io,
        net::TcpListener,
        path::Path,
        process,
        str::FromStr,
        sync::atomic::{AtomicU16, Ordering},
        time::Duration,
    },
};

const REPLICAS: u64 = 3;
/// Workers, each with one executor.
pub(super) const WORKERS: usize = 3;
const WORKER_CAPACITY: ResourceVector = ResourceVector {
    cpu: CpuMillis(16_000),
    memory: ByteSize(60_000_000_000),
    accelerators: AcceleratorCount::ZERO,
};
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The service that the executors serve.
pub(super) const SERVICE: &str = "demo";

/// Everything that `dev` runs.
pub struct DevFleet {
    /// In the order in which they are shut down: those that take work first.
    roles: Vec<RunningRole>,
    callers: PeerAddress,
    operators: Vec<PeerAddress>,
    control_peers: Vec<PeerAddress>,
}

impl DevFleet {
    /// Starts three control processes, an entry, and three workers with an executor each.
    pub fn start(data: &Path) -> Result<Self, DaemonFailure> {
        let plan = FleetPlan::reserve()?;
        let mut roles = Vec::new();
        let callers = free_address()?;
        let entry = plan.process("entry-1", RoleSettings::Entry(EntrySettings { callers }))?;
        roles.push(RunningRole::start(&entry)?);
        for number in 1..=WORKERS {
            for settings in plan.worker(number)? {
                roles.push(RunningRole::start(&settings)?);
            }
        }
        let mut operators = Vec::new();
        for founder in &plan.founders {
            let running = RunningRole::start(&plan.control(founder, data)?)?;
            operators.push(running.operator_address());
            roles.push(running);
        }
        let control_peers = plan.founders.iter().map(|founder| founder.address).collect();
        Ok(Self { roles, callers, operators, control_peers })
    }

    /// Where callers are answered.
    pub fn callers(&self) -> PeerAddress {
        self.callers
    }

    /// Where operators reach the control processes.
    pub fn operators(&self) -> &[PeerAddress] {
        &self.operators
    }

    /// Where other processes reach the control processes.
    pub fn control_peers(&self) -> &[PeerAddress] {
        &self.control_peers
    }

    /// Tells how to go on by hand.
    pub(super) fn print_addresses(&self) {
        let operators: Vec<_> = self.operators.iter().map(ToString::to_string).collect();
        println!("\nThe fleet goes on until Ctrl-C. In another terminal:");
        println!("  export MANGOROUTER_OPERATOR={}", operators.join(","));
        println!("  cargo run --release --bin mangoctl -- status");
        println!("Callers are answered at http://{}/{SERVICE}/...", self.callers);
    }

    /// Drains everything.
    pub fn shut_down(self) {
        self.roles.into_iter().for_each(RunningRole::shut_down);
    }
}

/// The addresses that processes must know of each other before they start.
struct FleetPlan {
    founders: Vec<MemberSettings>,
}

impl FleetPlan {
    fn reserve() -> Result<Self, DaemonFailure> {
        let founder =
            |number| Ok(MemberSettings { replica: ReplicaId(number), address: free_address()? });
        let founders: Result<_, DaemonFailure> = (1..=REPLICAS).map(founder).collect();
        Ok(Self { founders: founders? })
    }

    fn process(&self, name: &str, role: RoleSettings) -> Result<ProcessSettings, DaemonFailure> {
        Ok(ProcessSettings {
            cluster: constant("dev"),
            name: constant(name),
            region: constant("here"),
            data_centre: constant("here-1"),
            internal: free_address()?,
            operator: free_address()?,
            control_peers: self.founders.iter().map(|founder| founder.address).collect(),
            role,
        })
    }

    fn control(
        &self,
        founder: &MemberSettings,
        data: &Path,
    ) -> Result<ProcessSettings, DaemonFailure> {
        let name = format!("control-{}", founder.replica);
        let control = ControlSettings {
            replica: founder.replica,
            data_folder: data.join(&name),
            founders: self.founders.clone(),
        };
        let settings = self.process(&name, RoleSettings::Control(control))?;
        Ok(ProcessSettings { internal: founder.address, ..settings })
    }

    fn worker(&self, number: usize) -> Result<[ProcessSettings; 2], DaemonFailure> {
        let platform = free_address()?;
        let announce = free_address()?;
        let stand_in = StandInSettings {
            platform,
            executor: free_address()?,
            announce_to: announce,
            service: constant(SERVICE),
            endpoint: constant(&format!("{SERVICE}-{number}")),
            slots: SlotCount(8),
            connections: ConnectionCount(64),
            service_time: SERVICE_TIME,
        };
        let agent = AgentSettings {
            worker: constant(&format!("worker-{number}")),
            rack: constant("rack-1"),
            capacity: WORKER_CAPACITY,
            platform,
            announce,
            state_file: None,
        };
        Ok([
            self.process(&format!("agent-{number}"), RoleSettings::Agent(agent))?,
            self.process(&format!("stand-in-{number}"), RoleSettings::StandIn(stand_in))?,
        ])
    }
}

/// A name that is written in this file.
fn constant<T: FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("names in this file are well formed")
}

/// The first port that is tried, and the number of those after it. All lie below the ports that
/// the system gives to outgoing connections, one of which could take a port before its process
/// listens.
const FIRST_PORT: u16 = 12_000;
const PORTS: u16 = 20_000;
/// Spreads the processes of one machine over the ports.
const PORTS_PER_PROCESS: u32 = 97;

static PORTS_TRIED: AtomicU16 = AtomicU16::new(0);

/// A port that was free a moment ago: processes must know each other's ports before they start.
pub fn free_address() -> Result<PeerAddress, DaemonFailure> {
    let start = (process::id().wrapping_mul(PORTS_PER_PROCESS) % u32::from(PORTS)) as u16;
    let mut last_error = None;
    for _ in 0..PORTS {
        let tried = PORTS_TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(tried) % PORTS;
        let bound = TcpListener::bind(("127.0.0.1", port));
        match bound.and_then(|listener| listener.local_addr()) {
            Ok(address) => return Ok(PeerAddress(address)),
            Err(error) => last_error = Some(error),
        }
    }
    let error = last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(DaemonFailure::start("a port on loopback", error))
}
