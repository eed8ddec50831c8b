//! A small deployment on loopback addresses: control processes, entries and agents of the system,
//! and the stand-ins around them.

use {
    crate::{
        executor::{Executor, LateOrders, SERVICE},
        http::{self, Reply},
        json::{quoted, Json},
        process::Program,
        record::Record,
    },
    std::{
        fs, io,
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const ZONES: [&str; 4] = ["arusha-yard", "moshi-yard", "tanga-yard", "babati-yard"];
const CONTROL: u8 = 1;
const ENTRY: u8 = 2;
const AGENT: u8 = 3;
const EXECUTOR: u8 = 4;
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// How long an operator or client waits for one answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
const CLIENT_DEADLINE_MS: u64 = 3000;
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct FleetSize {
    pub controls: u8,
    pub entries: u8,
    pub agents: u8,
    pub slots: usize,
}

pub struct Fleet {
    pub controls: Vec<Program>,
    pub entries: Vec<Program>,
    pub agents: Vec<Program>,
    pub executors: Vec<Executor>,
    pub late: Arc<LateOrders>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    ports: [u16; 3],
    net: u8,
}

/// A folder for the processes' files, removed at the end.
impl Drop for Fleet {
    fn drop(&mut self) {
        for program in self.agents.iter_mut().chain(&mut self.entries).chain(&mut self.controls) {
            program.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

#[allow(dead_code)]
impl Fleet {
    /// Starts all processes and sends the first configuration.
    pub fn start(size: &FleetSize, record: Arc<Record>) -> Result<Self, String> {
        let net = 64 + (std::process::id() % 128) as u8;
        let ports = free_ports(net).map_err(|error| error.to_string())?;
        let name = format!("review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let (controls, entries, agents, executors, late) = Default::default();
        let mut fleet =
            Self { controls, entries, agents, executors, late, record, folder, ports, net };
        fleet.add_processes(size)?;
        for program in fleet.controls.iter_mut().chain(&mut fleet.entries).chain(&mut fleet.agents)
        {
            program.start()?;
        }
        Ok(fleet)
    }

    fn add_processes(&mut self, size: &FleetSize) -> Result<(), String> {
        for number in 0..size.controls {
            let data = self.folder.join(format!("data-{number}"));
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
            let extra = format!("data_folder = {}\n", quoted(&data.to_string_lossy()));
            let listen = format!("control = \"{}\"\n", self.control_at(number));
            let settings = self.settings("core", CONTROL, number, &extra, &listen);
            let name = format!("core-{number}");
            self.controls.push(Program::new(&name, "control", &self.folder, settings));
        }
        for number in 0..size.entries {
            let ready = SocketAddr::new(self.ip(ENTRY, number), self.ports[1]);
            let front = self.entry_at(number);
            let listen = format!("front = \"{front}\"\nready = \"{ready}\"\n");
            let settings = self.settings("front", ENTRY, number, "", &listen);
            let name = format!("front-{number}");
            self.entries.push(Program::new(&name, "entry", &self.folder, settings));
        }
        for number in 0..size.agents {
            let (app, agent) = (self.executor_at(number), self.agent_at(number));
            let extra = format!("executor = \"{app}\"\n");
            let listen = format!("control = \"{agent}\"\n");
            let settings = self.settings("side", AGENT, number, &extra, &listen);
            let name = format!("side-{number}");
            self.agents.push(Program::new(&name, "agent", &self.folder, settings));
            let zone = ZONES[usize::from(number) % ZONES.len()];
            let rack = format!("r1-{}", number / 3);
            let id = format!("i-7f3a91c{number}");
            let shared = (self.late.clone(), self.record.clone());
            let executor = Executor::start(&id, (zone, &rack), app, agent, size.slots, shared);
            self.executors.push(executor.map_err(|error| format!("{app}: {error}"))?);
        }
        Ok(())
    }

    /// The settings as the template of the deploy file gives them, with the bounds of a small
    /// deployment.
    fn settings(&self, role: &str, group: u8, number: u8, extra: &str, listen: &str) -> String {
        let seeds: Vec<String> = (0..3).map(|at| format!("\"{}\"", self.control_at(at))).collect();
        let ip = self.ip(group, number);
        format!(
            "name = \"{role}-{number}\"\naddress = \"{ip}\"\ndata_centre = \"{}\"\n\
             founding = true\nlink_port = {}\nmetrics = \"{ip}:{}\"\nseeds = [{}]\n\
             lease_ceiling_ms = 6000\nretention_s = 120\ntolerated_losses = 1\nshutdown_s = 6\n\
             {extra}\n[listen]\n{listen}",
            ZONES[usize::from(number) % ZONES.len()],
            self.ports[2],
            self.ports[1] + if role == "front" { 1 } else { 0 },
            seeds.join(","),
        )
    }

    fn ip(&self, group: u8, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.net, group, number + 1).into()
    }

    pub fn control_at(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(CONTROL, number), self.ports[0])
    }

    pub fn entry_at(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(ENTRY, number), self.ports[0])
    }

    pub fn agent_at(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(AGENT, number), self.ports[0])
    }

    pub fn executor_at(&self, number: u8) -> SocketAddr {
        SocketAddr::new(self.ip(EXECUTOR, number), self.ports[0])
    }

    /// Sends a call of the operator to the control processes in turn until one answers it, as the
    /// pages say: a redirect is followed twice, and 408, 429 and 5xx are no clear answer.
    pub fn operate(&self, method: &str, path: &str, body: &[u8], limit: Duration) -> Option<Reply> {
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < limit {
            let mut at = self.control_at(number % self.controls.len() as u8);
            number += 1;
            for _ in 0..3 {
                let Ok(reply) = http::call(at, (method, path), &[], body, ANSWER_TIMEOUT) else {
                    break;
                };
                let target = reply.header("location").and_then(address_of);
                match (reply.status, target) {
                    (307, Some(target)) => at = target,
                    (408 | 429, _) | (500.., _) | (307, _) => break,
                    _ => return Some(reply),
                }
            }
            thread::sleep(Duration::from_millis(150));
        }
        None
    }

    /// Sends a configuration and waits until it is acknowledged.
    pub fn configure(&self, document: &[u8]) -> Result<(), String> {
        let reply = self.operate("PUT", "/config", document, START_TIMEOUT);
        let status = reply.map(|reply| reply.status);
        self.record.note(format!("operator: PUT /config, {} bytes: {status:?}", document.len()));
        if status == Some(200) {
            return Ok(());
        }
        Err(format!("the configuration was not acknowledged: {status:?}"))
    }

    /// Sends one attempt of a client.
    pub fn client(&self, entry: u8, method: &str, id: &str, body: &str) -> io::Result<Reply> {
        let headers =
            [("Host", HOST.to_owned()), ("X-Deadline-Ms", CLIENT_DEADLINE_MS.to_string())];
        let path = format!("{PREFIX}{id}");
        let limit = Duration::from_millis(CLIENT_DEADLINE_MS);
        let at = self.entry_at(entry % self.entries.len() as u8);
        http::call(at, (method, &path), &headers, body.as_bytes(), limit)
    }

    /// Hands a job in, again and again until it is accepted.
    pub fn submit(&self, id: &str, body: &str) -> Result<(), String> {
        let began = Instant::now();
        let mut entry = 0;
        while began.elapsed() < START_TIMEOUT {
            let status = self.client(entry, "POST", id, body).map(|reply| reply.status);
            self.record.note(format!("client: POST {id}: {status:?}"));
            if matches!(status, Ok(200..=299)) {
                return Ok(());
            }
            entry += 1;
            thread::sleep(Duration::from_millis(300));
        }
        Err(format!("job {id} was not accepted"))
    }

    /// Asks for the state of a job.
    pub fn state_of(&self, entry: u8, id: &str) -> Option<String> {
        let reply = self.client(entry, "GET", id, "").ok()?;
        if reply.status == 410 {
            return Some("gone".to_owned());
        }
        Json::parse(&reply.body)?.get("state").text().map(str::to_owned)
    }

    /// Waits until a condition holds.
    pub fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        holds: impl Fn() -> bool,
    ) -> Result<(), String> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if holds() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("not within {limit:?}: {what}"))
    }
}

fn address_of(location: &str) -> Option<SocketAddr> {
    location.strip_prefix("http://")?.split('/').next()?.parse().ok()
}

/// Returns ports that are free on every address of the case.
fn free_ports(net: u8) -> io::Result<[u16; 3]> {
    let bind = || TcpListener::bind((Ipv4Addr::new(127, net, CONTROL, 1), 0));
    let listeners = [bind()?, bind()?, bind()?];
    let mut ports = [0; 3];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

/// Returns a configuration with one queue for the jobs of the case.
pub fn config(version: u64, max_attempts: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"{PREFIX}\",\"type\":\"unsafe\",\"timeout_ms\":3000,\
         \"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max_attempts\":{max_attempts},\"stretch\":2.0}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"rejects_overload\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Returns a job of one step.
pub fn job(spec: &str, step: &str) -> String {
    format!("{{\"spec\":{},\"steps\":[{{{step}}}]}}", quoted(spec))
}

/// Copies the logs of the processes beside the record if `KEEP_LOGS` names a folder.
pub fn keep_logs(fleet: &Fleet) {
    let Some(target) = std::env::var_os("KEEP_LOGS").map(PathBuf::from) else { return };
    let _ = fs::create_dir_all(&target);
    let programs = fleet.controls.iter().chain(&fleet.entries).chain(&fleet.agents);
    for program in programs {
        let from: &Path = &program.log_path();
        let _ = fs::copy(from, target.join(format!("{}.log", program.name)));
    }
}
