//! Processes of the system as children, and what `/proc` says of them.

use {
    base::PeerAddress,
    std::{
        fs,
        net::TcpListener,
        path::Path,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

const NANOS_PER_SECOND: f64 = 1e9;
const PAGE_BYTES: f64 = 4096.0;
const MEGABYTE: f64 = 1e6;

/// A process that is stopped when it is dropped.
pub(crate) struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a role with settings that are written below `folder`.
    pub(crate) fn start(folder: &Path, role: &str, name: &str, settings: &str) -> Self {
        let config = folder.join(format!("{name}.toml"));
        fs::write(&config, settings).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_mangorouter"))
            .args([role, "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        Self(child.expect("the program runs"))
    }

    /// Percent of a core and megabytes of memory over a stretch of time.
    pub(crate) fn usage(&self, stretch: Duration) -> ProcessUsage {
        Self::usage_of(&[self], stretch)[0]
    }

    /// The same for several processes over the same stretch.
    pub(crate) fn usage_of(children: &[&Self], stretch: Duration) -> Vec<ProcessUsage> {
        let before: Vec<f64> = children.iter().map(|child| child.cpu_seconds()).collect();
        let started = Instant::now();
        thread::sleep(stretch);
        let elapsed = started.elapsed().as_secs_f64();
        let usage = |(child, before): (&&Self, &f64)| ProcessUsage {
            cpu_percent: (child.cpu_seconds() - before) / elapsed * 100.0,
            memory_mb: child.memory_mb(),
        };
        children.iter().zip(&before).map(usage).collect()
    }

    /// Time on a processor of all threads that live, to the nanosecond: the clock ticks of
    /// `/proc/PID/stat` are too coarse for processes that use a thousandth of a core.
    fn cpu_seconds(&self) -> f64 {
        let threads = fs::read_dir(format!("/proc/{}/task", self.0.id()));
        threads
            .into_iter()
            .flatten()
            .flatten()
            .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
            .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
            .sum::<f64>()
            / NANOS_PER_SECOND
    }

    fn memory_mb(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.0.id())).unwrap_or_default();
        let pages: f64 =
            text.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or_default();
        pages * PAGE_BYTES / MEGABYTE
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a process used.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessUsage {
    /// Percent of one core.
    pub(crate) cpu_percent: f64,
    /// Resident memory.
    pub(crate) memory_mb: f64,
}

/// A control group of child processes.
pub(crate) struct ControlGroup {
    /// The processes.
    pub(crate) replicas: Vec<ChildProcess>,
    /// Their internal addresses.
    pub(crate) internal: Vec<PeerAddress>,
    /// Their operators' addresses.
    pub(crate) operators: Vec<PeerAddress>,
}

impl ControlGroup {
    /// Starts a group of `size` replicas with their state below `folder`.
    pub(crate) fn start(folder: &Path, size: usize) -> Self {
        let internal: Vec<_> = (0..size).map(|_| free_address()).collect();
        let operators: Vec<_> = (0..size).map(|_| free_address()).collect();
        let founders: String = internal
            .iter()
            .enumerate()
            .map(|(index, address)| {
                format!("[[control.founders]]\nreplica = {}\naddress = \"{address}\"\n", index + 1)
            })
            .collect();
        let replicas = (0..size)
            .map(|index| {
                let number = index + 1;
                let name = format!("control-{number}");
                let data = folder.join(format!("data-{number}"));
                let settings = format!(
                    "{}[control]\nreplica = {number}\ndata_folder = {data:?}\n{founders}",
                    common(&name, internal[index], operators[index], &internal)
                );
                ChildProcess::start(folder, "control", &name, &settings)
            })
            .collect();
        Self { replicas, internal, operators }
    }
}

/// The settings that every role has.
pub(crate) fn common(
    name: &str,
    internal: PeerAddress,
    operator: PeerAddress,
    peers: &[PeerAddress],
) -> String {
    let peers: Vec<_> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    format!(
        "cluster = \"bench\"\nname = \"{name}\"\nregion = \"r\"\ndata_centre = \"dc-0\"\n\
         internal = \"{internal}\"\noperator = \"{operator}\"\ncontrol_peers = [{}]\n\
         log = {{ level = \"error\" }}\n",
        peers.join(", ")
    )
}

/// A port that was free a moment ago.
pub(crate) fn free_address() -> PeerAddress {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    PeerAddress(listener.local_addr().expect("a bound port has an address"))
}
