//! A small deployment on loopback: the project's programs as separate processes, with the commands
//! of the deploy file and settings like those that the platform fills in.

use {
    crate::{
        executor::{Executor, Identity, RunLog},
        http::{self, Call},
        record::Record,
        relay::Links,
    },
    std::{
        fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

const CONTROL_PORT: u16 = 8166;
const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const LINK_PORT: u16 = 7720;
const METRICS_PORT: u16 = 9464;
const APP_PORT: u16 = 8724;

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
    Agent,
}

impl Role {
    fn word(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub role: Role,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    pub data: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Returns the address for operators and executors.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn app(&self) -> SocketAddr {
        SocketAddr::new(self.ip, APP_PORT)
    }
}

/// What a deployment consists of.
pub struct Plan {
    pub controls: usize,
    pub entries: usize,
    pub workers: usize,
    pub tolerated_losses: usize,
    /// The number of executors of a rack.
    pub rack: usize,
    /// Whether a relay stands before each control process.
    pub relayed: bool,
}

/// The processes and executors of a case. Dropping it ends all processes.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub executors: Vec<Executor>,
    pub record: Record,
    pub runs: RunLog,
    folder: PathBuf,
    tolerated_losses: usize,
    seeds: Vec<SocketAddr>,
    /// The relays, if there are any.
    pub links: Option<Links>,
}

impl Fleet {
    /// Starts a deployment. All its addresses are in one free network below 127.0.0.0/8.
    pub fn start(plan: &Plan, folder: &Path, record: Record) -> io::Result<Self> {
        let network = free_network()?;
        let mut machines = Vec::new();
        let roles = [
            (Role::Control, plan.controls),
            (Role::Entry, plan.entries),
            (Role::Agent, plan.workers),
        ];
        for (role, count) in roles {
            for number in 1..=count {
                let last = machines.len() as u8 + 1;
                let [a, b, c, _] = network.octets();
                let name = format!("{}-{number}", role.word());
                machines.push(Machine {
                    settings: folder.join(format!("{name}.toml")),
                    log: folder.join(format!("{name}.log")),
                    data: folder.join(format!("{name}.data")),
                    name,
                    role,
                    ip: Ipv4Addr::new(a, b, c, last).into(),
                    child: None,
                });
            }
        }
        let controls = machines.iter().filter(|machine| machine.role == Role::Control);
        let seeds = controls.take(3).map(Machine::control).collect();
        let (folder, tolerated_losses) = (folder.to_owned(), plan.tolerated_losses);
        let (executors, runs) = Default::default();
        let links = plan.relayed.then(Links::default);
        let mut fleet =
            Self { machines, executors, record, runs, folder, tolerated_losses, seeds, links };
        fs::create_dir_all(&fleet.folder)?;
        for position in fleet.of(Role::Control) {
            let Some(links) = &fleet.links else { break };
            let machine = &fleet.machines[position];
            let at = |ip| SocketAddr::new(ip, LINK_PORT);
            links.serve(position, at(machine.ip), at(bound_ip(machine.ip)))?;
        }
        for position in 0..fleet.machines.len() {
            fleet.launch(position, true)?;
        }
        Ok(fleet)
    }

    /// Starts an executor beside each agent.
    pub fn start_executors(&mut self, checkpoint_length: usize, rack: usize) -> io::Result<()> {
        let agents = self.machines.iter().filter(|machine| machine.role == Role::Agent);
        for (number, machine) in agents.enumerate() {
            let identity = Identity {
                id: format!("i-{:08x}", number + 1),
                service: "desk".to_owned(),
                zone: "yard".to_owned(),
                rack: format!("r1-{}", number / rack),
                app: machine.app(),
                agent: machine.control(),
                cpu: 16000,
                checkpoint_length,
            };
            let (record, runs) = (self.record.clone(), self.runs.clone());
            self.executors.push(Executor::start(identity, record, runs)?);
        }
        Ok(())
    }

    /// Returns the positions of the machines of a role.
    pub fn of(&self, role: Role) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        machines.filter(|(_, machine)| machine.role == role).map(|(at, _)| at).collect()
    }

    /// Starts the process of a machine, as the platform does.
    pub fn launch(&mut self, position: usize, bootstrap: bool) -> io::Result<()> {
        let text = self.settings_of(&self.machines[position], bootstrap);
        let machine = &mut self.machines[position];
        fs::write(&machine.settings, text)?;
        let log = fs::OpenOptions::new().create(true).append(true).open(&machine.log)?;
        let child = Command::new("target/release/mangorouter")
            .args(["deployed", machine.role.word()])
            .env_clear()
            .env("MANGOROUTER_BOOT", &machine.settings)
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        if let Some(links) = self.links.as_ref().filter(|_| machine.role == Role::Control) {
            links.note_process(position, child.id());
        }
        machine.child = Some(child);
        self.record.note(format!("{} is started", self.machines[position].name));
        Ok(())
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, position: usize, signal: i32) {
        let machine = &self.machines[position];
        if let Some(child) = &machine.child {
            // SAFETY: `kill` takes no pointers. The child is this program's own and not reaped.
            unsafe { kill(child.id() as i32, signal) };
            self.record.note(format!("{} gets signal {signal}", machine.name));
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn stop(&mut self, position: usize) {
        self.signal(position, SIGKILL);
        if let Some(mut child) = self.machines[position].child.take() {
            // The process is gone, whatever `wait` returns.
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of a machine's process.
    pub fn memory_mb(&self, position: usize) -> Option<u64> {
        let child = self.machines[position].child.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes / 1024)
    }

    /// Waits until every entry is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let ready = |address: SocketAddr| {
            let patience = Duration::from_millis(300);
            let call = Call { method: "GET", path: "/ready", host: "platform", body: "", patience };
            http::call(address, &call).is_ok_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            let entries = self.of(Role::Entry);
            if entries.iter().all(|at| ready(self.machines[*at].ready())) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a configuration to the control processes until one acknowledges it.
    pub fn configure(&self, document: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let controls = self.of(Role::Control);
        let mut turn = 0;
        while Instant::now() < until {
            let mut address = self.machines[controls[turn % controls.len()]].control();
            turn += 1;
            for _ in 0..3 {
                match put_config(address, document) {
                    Some((200, _)) => {
                        self.record.note("the configuration is acknowledged");
                        return true;
                    }
                    Some((307, Some(next))) => address = next,
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the status with which a control process answers a read of the configuration.
    pub fn ask(&self, position: usize) -> Option<u16> {
        let patience = Duration::from_millis(950);
        let call = Call { method: "GET", path: "/config", host: "operator", body: "", patience };
        http::call(self.machines[position].control(), &call).ok().map(|(status, _)| status)
    }

    /// Returns the control process that leads: it alone answers with the configuration.
    pub fn leader(&self) -> Option<usize> {
        self.of(Role::Control).into_iter().find(|at| self.ask(*at) == Some(200))
    }

    /// Gives a machine an empty disk.
    pub fn lose_disk(&mut self, position: usize) {
        let machine = &mut self.machines[position];
        machine.data = machine.data.with_extension("empty");
        self.record.note(format!("{} loses its disk", machine.name));
    }

    fn settings_of(&self, machine: &Machine, bootstrap: bool) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let ip = machine.ip;
        let mut text = format!(
            "name = \"{}\"\naddress = \"{ip}\"\ndata_centre = \"yard\"\nfounding = {bootstrap}\nlink_port = {LINK_PORT}\nmetrics = \"{ip}:{METRICS_PORT}\"\nseeds = [{}]\nlease_ceiling_ms = 6000\nretention_s = 120\ntolerated_losses = {}\nshutdown_s = 6\n",
            machine.name,
            seeds.join(", "),
            self.tolerated_losses
        );
        match machine.role {
            Role::Control => {
                if self.links.is_some() {
                    text += &format!("bind = \"{}\"\n", bound_ip(ip));
                }
                text += &format!("data_folder = \"{}\"\n", machine.data.display());
                text += &format!("[listen]\ncontrol = \"{}\"\n", machine.control());
            }
            Role::Entry => {
                let (front, ready) = (machine.front(), machine.ready());
                text += &format!("[listen]\nfront = \"{front}\"\nready = \"{ready}\"\n");
            }
            Role::Agent => {
                text += &format!("executor = \"{}\"\n", machine.app());
                text += &format!("[listen]\ncontrol = \"{}\"\n", machine.control());
            }
        }
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for position in 0..self.machines.len() {
            self.stop(position);
        }
    }
}

fn put_config(address: SocketAddr, document: &str) -> Option<(u16, Option<SocketAddr>)> {
    let patience = Duration::from_secs(1);
    let call = Call { method: "PUT", path: "/config", host: "operator", body: document, patience };
    let (status, next) = http::call_with_location(address, &call).ok()?;
    let next = next.and_then(|next| next.strip_prefix("http://")?.split('/').next()?.parse().ok());
    Some((status, next))
}

/// Returns the address that a process binds behind a relay.
fn bound_ip(ip: IpAddr) -> IpAddr {
    match ip {
        IpAddr::V4(ip) => {
            let [a, b, c, last] = ip.octets();
            Ipv4Addr::new(a, b, c, last + 100).into()
        }
        ip => ip,
    }
}

/// Finds a network whose first address is free on all ports that the processes use.
fn free_network() -> io::Result<Ipv4Addr> {
    let seed = std::process::id();
    let ports = [CONTROL_PORT, FRONT_PORT, READY_PORT, LINK_PORT, METRICS_PORT, APP_PORT];
    for step in 0..200 {
        let number = seed.wrapping_mul(7).wrapping_add(step * 13);
        let network = Ipv4Addr::new(127, 10 + (number / 200 % 200) as u8, (number % 200) as u8, 0);
        let [a, b, c, _] = network.octets();
        let free = (1..=180).all(|last| {
            let ip: IpAddr = Ipv4Addr::new(a, b, c, last).into();
            ports.iter().all(|port| TcpListener::bind(SocketAddr::new(ip, *port)).is_ok())
        });
        if free {
            return Ok(network);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
