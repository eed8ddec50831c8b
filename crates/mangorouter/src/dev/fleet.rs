//! The processes that `dev` runs, and their settings.

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
/// Number of workers, each with one executor.
pub(super) const WORKERS: usize = 3;
const WORKER_CAPACITY: ResourceVector = ResourceVector {
    cpu: CpuMillis(16_000),
    memory: ByteSize(60_000_000_000),
    accelerators: AcceleratorCount::ZERO,
};
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The service that all executors serve.
pub(super) const SERVICE: &str = "demo";

/// All processes that `dev` runs on loopback.
pub struct DevFleet {
    /// In shutdown order: the processes that accept work come first.
    roles: Vec<RunningRole>,
    callers: PeerAddress,
    operators: Vec<PeerAddress>,
    control_peers: Vec<PeerAddress>,
}

impl DevFleet {
    /// Starts three control processes, an entry, and three workers with an executor each. The
    /// control processes keep their state below `data`.
    pub fn start(data: &Path) -> Result<Self, DaemonFailure> {
        let plan = FleetPlan::reserve()?;
        let mut roles = Vec::new();
        let callers = free_address()?;
        let entry =
            plan.process_settings("entry-1", RoleSettings::Entry(EntrySettings { callers }))?;
        roles.push(RunningRole::start(&entry)?);
        for number in 1..=WORKERS {
            for settings in plan.worker_settings(number)? {
                roles.push(RunningRole::start(&settings)?);
            }
        }
        let mut operators = Vec::new();
        for founder in &plan.founders {
            let running = RunningRole::start(&plan.control_settings(founder, data)?)?;
            operators.push(running.operator_address());
            roles.push(running);
        }
        let control_peers = plan.founders.iter().map(|founder| founder.address).collect();
        Ok(Self { roles, callers, operators, control_peers })
    }

    /// Returns the address where the entry accepts callers.
    pub fn callers(&self) -> PeerAddress {
        self.callers
    }

    /// Returns the operator addresses of the control processes.
    pub fn operators(&self) -> &[PeerAddress] {
        &self.operators
    }

    /// Returns the internal addresses of the control processes.
    pub fn control_peers(&self) -> &[PeerAddress] {
        &self.control_peers
    }

    /// Prints the commands and addresses for using the fleet by hand.
    pub(super) fn print_addresses(&self) {
        let operators: Vec<_> = self.operators.iter().map(ToString::to_string).collect();
        println!("\nThe fleet goes on until Ctrl-C. In another terminal:");
        println!("  export MANGOROUTER_OPERATOR={}", operators.join(","));
        println!("  cargo run --release --bin mangoctl -- status");
        println!("Callers are answered at http://{}/{SERVICE}/...", self.callers);
    }

    /// Drains all processes, those that accept work first.
    pub fn shut_down(self) {
        self.roles.into_iter().for_each(RunningRole::shut_down);
    }
}

/// Addresses that processes must know of each other before they start.
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

    fn process_settings(
        &self,
        name: &str,
        role: RoleSettings,
    ) -> Result<ProcessSettings, DaemonFailure> {
        Ok(ProcessSettings {
            cluster: parse_constant("dev"),
            name: parse_constant(name),
            region: parse_constant("here"),
            data_centre: parse_constant("here-1"),
            internal: free_address()?,
            operator: free_address()?,
            control_peers: self.founders.iter().map(|founder| founder.address).collect(),
            role,
        })
    }

    fn control_settings(
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
        let settings = self.process_settings(&name, RoleSettings::Control(control))?;
        Ok(ProcessSettings { internal: founder.address, ..settings })
    }

    fn worker_settings(&self, number: usize) -> Result<[ProcessSettings; 2], DaemonFailure> {
        let platform = free_address()?;
        let announce = free_address()?;
        let stand_in = StandInSettings {
            platform,
            executor: free_address()?,
            announce_to: announce,
            service: parse_constant(SERVICE),
            endpoint: parse_constant(&format!("{SERVICE}-{number}")),
            slots: SlotCount(8),
            connections: ConnectionCount(64),
            service_time: SERVICE_TIME,
        };
        let agent = AgentSettings {
            worker: parse_constant(&format!("worker-{number}")),
            rack: parse_constant("rack-1"),
            capacity: WORKER_CAPACITY,
            platform,
            announce,
            state_file: None,
        };
        Ok([
            self.process_settings(&format!("agent-{number}"), RoleSettings::Agent(agent))?,
            self.process_settings(&format!("stand-in-{number}"), RoleSettings::StandIn(stand_in))?,
        ])
    }
}

/// Parses a name that is written in this file.
fn parse_constant<T: FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("names in this file are well formed")
}

/// First port that [`free_address`] tries, and the number of ports in its range. The range lies
/// below the ports that the system assigns to outgoing connections; such a connection could take a
/// port before its process listens.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;
/// Distance between the first ports that processes with successive ids try.
const PORT_STRIDE: u32 = 97;

static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port was free when it was checked. Processes must know each
/// other's ports before they start, so the port stays unbound until its process listens.
pub fn free_address() -> Result<PeerAddress, DaemonFailure> {
    let start = (process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT)) as u16;
    let mut last_error = None;
    for _ in 0..PORT_COUNT {
        let tried = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(tried) % PORT_COUNT;
        let bound = TcpListener::bind(("127.0.0.1", port));
        match bound.and_then(|listener| listener.local_addr()) {
            Ok(address) => return Ok(PeerAddress(address)),
            Err(error) => last_error = Some(error),
        }
    }
    let error = last_error.unwrap_or_else(|| io::ErrorKind::AddrInUse.into());
    Err(DaemonFailure::start("a port on loopback", error))
}
