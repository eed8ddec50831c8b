//! A small deployment: the project's processes with the settings that its template gives, the
//! executors beside the agents, an operator and clients.

use crate::{executor::Executor, http::call, json::Json, relay::Relay, Record};
use std::{
    env, fs,
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "svc-a";
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/q1/";
const CONTROLS: u8 = 3;
const PROGRAM: &str = "target/release/mangorouter";

pub struct Process {
    pub name: String,
    role: &'static str,
    folder: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> Result<(), String> {
        let settings = self.folder.join(format!("{}.toml", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .args(["deployed", self.role])
            .env("MANGOROUTER_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.map_err(|error| format!("{PROGRAM}: {error}"))?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = (child.kill(), child.wait());
        }
    }
}

pub struct Size {
    pub entries: u8,
    pub agents: u8,
    /// Whether a relay stands before each control process.
    pub relays: bool,
}

pub struct Deployment {
    pub record: Record,
    pub executors: Vec<Executor>,
    pub relays: Vec<Relay>,
    entries: Vec<SocketAddr>,
    controls: Vec<SocketAddr>,
    processes: Vec<Process>,
    folder: PathBuf,
}

fn free_ports<const COUNT: usize>(ip: IpAddr) -> Result<[u16; COUNT], String> {
    let mut listeners = Vec::new();
    let mut ports = [0; COUNT];
    for port in &mut ports {
        let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
        *port = listener.local_addr().map_err(|error| error.to_string())?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

impl Deployment {
    pub fn start(size: &Size, record: &Record) -> Result<Self, String> {
        let network = 20 + (process::id() % 200) as u8;
        let ip = |group: u8, number: u8| IpAddr::V4(Ipv4Addr::new(127, network, group, number + 1));
        let [link, port, second] = free_ports(ip(9, 0))?;
        let folder = env::temp_dir().join(format!("mangorouter-review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let at = |group, number| SocketAddr::new(ip(group, number), port);
        let seeds: Vec<String> =
            (0..CONTROLS).map(|control| format!("\"{}\"", at(1, control))).collect();
        let mut running = Self {
            record: record.clone(),
            executors: Vec::new(),
            relays: Vec::new(),
            entries: (0..size.entries).map(|entry| at(3, entry)).collect(),
            controls: (0..CONTROLS).map(|control| at(1, control)).collect(),
            processes: Vec::new(),
            folder: folder.clone(),
        };
        let mut add = |role: &'static str, group: u8, number: u8, more: String, listen: String| {
            let name = format!("{role}-{number}");
            let text = format!(
                "name = \"{name}\"\naddress = \"{}\"\ndata_centre = \"yard\"\nfounding = true\n\
                 link_port = {link}\nmetrics = \"{}:{second}\"\nseeds = [{}]\n\
                 lease_ceiling_ms = 6000\nretention_s = 120\ntolerated_losses = 1\n\
                 shutdown_s = 6\n{more}[listen]\n{listen}",
                ip(group, number),
                ip(group + 20, number),
                seeds.join(", ")
            );
            let _ = fs::write(folder.join(format!("{name}.toml")), text);
            running.processes.push(Process { name, role, folder: folder.clone(), child: None });
        };
        for control in 0..CONTROLS {
            let data = folder.join(format!("control-{control}-data"));
            let mut more = format!("data_folder = {data:?}\n");
            if size.relays {
                more += &format!("bind = \"{}\"\n", ip(2, control));
            }
            add("control", 1, control, more, format!("control = \"{}\"\n", at(1, control)));
        }
        for entry in 0..size.entries {
            let ready = SocketAddr::new(ip(3, entry), second);
            let listen = format!("front = \"{}\"\nready = \"{ready}\"\n", at(3, entry));
            add("entry", 3, entry, String::new(), listen);
        }
        for agent in 0..size.agents {
            let more = format!("executor = \"{}\"\n", at(5, agent));
            add("agent", 4, agent, more, format!("control = \"{}\"\n", at(4, agent)));
        }
        if size.relays {
            for control in 0..CONTROLS {
                let (from, to) =
                    (SocketAddr::new(ip(1, control), link), SocketAddr::new(ip(2, control), link));
                let relay =
                    Relay::start(from, to).map_err(|error| format!("relay at {from}: {error}"))?;
                running.relays.push(relay);
            }
        }
        for agent in 0..size.agents {
            let addresses = (at(5, agent), at(4, agent));
            let executor = Executor::start(usize::from(agent), addresses, record);
            running.executors.push(executor.map_err(|error| error.to_string())?);
        }
        for process in &mut running.processes {
            process.start()?;
        }
        record.line(format!("{} processes started", running.processes.len()));
        Ok(running)
    }

    /// Sends a configuration with one queue until it is acknowledged, to each control process in
    /// turn. Returns how long that took, or `None` if it was not acknowledged within `limit`.
    pub fn configure(&self, version: u64, limit: Duration) -> Option<Duration> {
        let route = format!(
            "{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"type\":\"unsafe\",\
             \"timeout_ms\":3000,\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\
             \"max_attempts\":5,\"stretch\":2.0}}"
        );
        let service = format!(
            "{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\
             \"tls\":false,\"rejects_overload\":false,\"standby\":false}}"
        );
        let body = format!(
            "{{\"version\":{version},\"routes\":[{route}],\"services\":[{service}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < limit {
            let mut address = self.controls[turn % self.controls.len()];
            turn += 1;
            for _ in 0..3 {
                let answer = call(address, ("PUT", "/config"), &[], &body, Duration::from_secs(1));
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                self.record.line(format!(
                    "operator: PUT /config version {version} at {address} -> {status}"
                ));
                if status == 200 {
                    return Some(started.elapsed());
                }
                let Some(next) = answer.ok().and_then(|answer| answer.location) else { break };
                let next = next
                    .strip_prefix("http://")
                    .and_then(|rest| rest.split('/').next()?.parse().ok());
                let Some(next) = next else { break };
                address = next;
            }
            thread::sleep(Duration::from_millis(100 * (turn as u64).min(5)));
        }
        None
    }

    fn ask(&self, entry: usize, method: &str, id: &str, body: &str) -> (u16, String) {
        let address = self.entries[entry % self.entries.len()];
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let path = format!("{PREFIX}{id}");
        let limit = Duration::from_millis(3000);
        let answer = call(address, (method, &path), &headers, body, limit);
        let (status, body) =
            answer.map_or((0, String::new()), |answer| (answer.status, answer.body));
        self.record.line(format!(
            "client: {method} {path} at entry {} -> {status} {body}",
            entry % self.entries.len()
        ));
        (status, body)
    }

    /// Hands a job in until it is accepted, at each entry in turn. `steps` is the text of its steps.
    pub fn submit(&self, id: &str, spec: &str, steps: &str, limit: Duration) -> bool {
        let body = format!("{{\"spec\":\"{spec}\",\"steps\":{steps}}}");
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < limit {
            if self.ask(turn, "POST", id, &body).0 == 200 {
                return true;
            }
            turn += 1;
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the state of a job as one entry shows it; `None` without a 200.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let (status, body) = self.ask(entry, "GET", id, "");
        let state = Json::parse(&body)?.text("state")?.to_owned();
        (status == 200).then_some(state)
    }

    /// Waits until a job is shown as `succeeded`.
    pub fn await_success(&self, id: &str, limit: Duration) -> bool {
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < limit {
            if self.state(turn, id).as_deref() == Some("succeeded") {
                return true;
            }
            turn += 1;
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Sends the first configuration and waits until a first job has run, so that every process is
    /// at work.
    pub fn settle(&self) -> Result<(), String> {
        self.configure(1, Duration::from_secs(15))
            .ok_or("the first configuration is not accepted")?;
        thread::sleep(Duration::from_millis(3000));
        let count = self.executors.len();
        let steps =
            format!("[{{\"count\":{count},\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}}]");
        let id = "00000000000000aa";
        let ran = self.submit(id, "works 500", &steps, Duration::from_secs(10))
            && self.await_success(id, Duration::from_secs(10));
        ran.then_some(()).ok_or_else(|| "the first job does not run".to_owned())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.iter_mut().for_each(Process::kill);
        let _ = fs::remove_dir_all(&self.folder);
    }
}
