//! Processes of the system as children, and their usage as `/proc` reports it.

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

/// A child process that is killed when it is dropped.
pub(crate) struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a role with settings that are written to a file in `folder`.
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

    /// Measures the CPU and memory usage over an interval.
    pub(crate) fn usage(&self, interval: Duration) -> ProcessUsage {
        Self::usage_of(&[self], interval)[0]
    }

    /// Measures the usage of several processes over the same interval.
    pub(crate) fn usage_of(children: &[&Self], interval: Duration) -> Vec<ProcessUsage> {
        let before: Vec<f64> = children.iter().map(|child| child.cpu_seconds()).collect();
        let started = Instant::now();
        thread::sleep(interval);
        let elapsed = started.elapsed().as_secs_f64();
        let usage = |(child, before): (&&Self, &f64)| ProcessUsage {
            cpu_percent: (child.cpu_seconds() - before) / elapsed * 100.0,
            memory_mb: child.memory_mb(),
        };
        children.iter().zip(&before).map(usage).collect()
    }

    /// Returns the CPU time of all live threads in seconds, with nanosecond resolution: the clock
    /// ticks of `/proc/PID/stat` are too coarse for processes that use a thousandth of a core.
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

/// The CPU and memory usage of a process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessUsage {
    /// CPU usage in percent of one core.
    pub(crate) cpu_percent: f64,
    /// Resident memory in megabytes.
    pub(crate) memory_mb: f64,
}

/// A control group of child processes.
pub(crate) struct ControlGroup {
    /// The replica processes.
    pub(crate) replicas: Vec<ChildProcess>,
    /// Internal addresses of the replicas.
    pub(crate) internal: Vec<PeerAddress>,
    /// Operator addresses of the replicas.
    pub(crate) operators: Vec<PeerAddress>,
}

impl ControlGroup {
    /// Starts a group of `size` replicas that keep their state below `folder`.
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
                    common_settings(&name, internal[index], operators[index], &internal)
                );
                ChildProcess::start(folder, "control", &name, &settings)
            })
            .collect();
        Self { replicas, internal, operators }
    }
}

/// Returns the settings that every role needs, in TOML.
pub(crate) fn common_settings(
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

/// Returns a loopback address whose port was free when it was checked.
pub(crate) fn free_address() -> PeerAddress {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    PeerAddress(listener.local_addr().expect("a bound port has an address"))
}
