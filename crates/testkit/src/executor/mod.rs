//! A stand-in executor that answers with a description of each request and records what it ran.

mod answer;

use {
    crate::{listen, StandInError},
    agent::announce::{
        ExecutorAnnouncement, ExecutorLeave, ANNOUNCE_INTERVAL, ANNOUNCE_PATH, LEAVE_PATH,
    },
    answer::answer,
    base::{ConnectionCount, EndpointId, IncarnationNumber, PeerAddress, ServiceName, SlotCount},
    crossbeam::channel::{self, Receiver, Sender},
    serde::Serialize,
    std::{
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::Duration,
    },
    tiny_http::Server,
};

const ANNOUNCE_DEADLINE: Duration = Duration::from_secs(2);

/// Settings of a stand-in executor.
#[derive(Debug, Clone)]
pub struct StandInExecutorSettings {
    /// Address to listen on; port 0 picks a free one.
    pub listen: PeerAddress,
    /// The service that the executor serves.
    pub service: ServiceName,
    /// The endpoint of the executor.
    pub endpoint: EndpointId,
    /// The incarnation, larger than that of any earlier executor of the same endpoint.
    pub incarnation: IncarnationNumber,
    /// The number of requests that the executor serves at once.
    pub slots: SlotCount,
    /// The number of connections that the executor keeps open.
    pub connections: ConnectionCount,
    /// Where the agent accepts announcements. The executor announces nothing when this is `None`.
    pub announce_to: Option<PeerAddress>,
    /// The service time of a request that does not name one.
    pub service_time: Duration,
}

/// A fault that a stand-in executor shows until another is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ExecutorFault {
    /// Works without faults.
    #[default]
    None,
    /// Accepts requests, and answers them only when the fault is removed.
    Hang,
    /// Sends truncated answers.
    Truncate,
    /// Sends answers one byte at a time, with this pause before each byte.
    Slow(Duration),
}

/// A request that a stand-in executor has started to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Default)]
struct ExecutorRecord {
    fault: ExecutorFault,
    executed: Vec<ExecutedRequest>,
    in_use: u32,
    peak: u32,
}

struct ExecutorShared {
    settings: StandInExecutorSettings,
    record: Mutex<ExecutorRecord>,
    changed: std::sync::Condvar,
}

impl ExecutorShared {
    fn record(&self) -> std::sync::MutexGuard<'_, ExecutorRecord> {
        self.record.lock().expect("a record holder never panics")
    }
}

/// A running stand-in executor. Dropping it stops it without notifying its agent, which detects the
/// loss by itself.
pub struct StandInExecutor {
    address: PeerAddress,
    shared: Arc<ExecutorShared>,
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
    announcer: Option<JoinHandle<()>>,
    stop: Option<Sender<()>>,
}

impl StandInExecutor {
    /// Starts the executor, which announces itself until it is stopped.
    pub fn start(settings: StandInExecutorSettings) -> Result<Self, StandInError> {
        let (server, address) = listen(settings.listen)?;
        let server = Arc::new(server);
        // There are more threads than slots, so that an agent that admits too many requests is
        // detected.
        let threads = settings.slots.0 as usize * 2 + 2;
        let shared = Arc::new(ExecutorShared {
            settings,
            record: Mutex::default(),
            changed: std::sync::Condvar::new(),
        });
        let threads = (0..threads).map(|_| {
            let (server, shared) = (server.clone(), shared.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    answer(request, &shared);
                }
            })
        });
        let threads = threads.collect();
        let (stop, stopped) = channel::bounded(0);
        let announced = shared.clone();
        let announcer = thread::spawn(move || announce(&announced.settings, address, &stopped));
        Ok(Self { address, shared, server, threads, announcer: Some(announcer), stop: Some(stop) })
    }

    /// Returns the address on which the executor accepts requests.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Shows a fault from now on.
    pub fn set_fault(&self, fault: ExecutorFault) {
        self.shared.record().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Returns every request that the executor has started to run.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.shared.record().executed.clone()
    }

    /// Returns the largest number of requests that were in progress at once.
    pub fn peak(&self) -> u32 {
        self.shared.record().peak
    }

    /// Waits until exactly `count` requests are in progress.
    pub fn wait_in_use(&self, count: u32) {
        let record = self.shared.record();
        let waited = self.shared.changed.wait_while(record, |record| record.in_use != count);
        drop(waited.expect("a record holder never panics"));
    }

    /// Notifies the agent that the executor leaves.
    pub fn leave(&self) {
        let settings = &self.shared.settings;
        let leave = ExecutorLeave { endpoint: settings.endpoint.clone() };
        post(settings.announce_to, LEAVE_PATH, &leave);
    }
}

impl Drop for StandInExecutor {
    fn drop(&mut self) {
        self.set_fault(ExecutorFault::None);
        self.stop.take();
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..).chain(self.announcer.take()) {
            let _ = thread.join();
        }
    }
}

fn announce(settings: &StandInExecutorSettings, address: PeerAddress, stopped: &Receiver<()>) {
    let announcement = ExecutorAnnouncement {
        endpoint: settings.endpoint.clone(),
        incarnation: settings.incarnation,
        service: settings.service.clone(),
        address,
        slots: settings.slots,
        connections: settings.connections,
        task: None,
    };
    loop {
        post(settings.announce_to, ANNOUNCE_PATH, &announcement);
        match stopped.recv_timeout(ANNOUNCE_INTERVAL) {
            Err(channel::RecvTimeoutError::Timeout) => {}
            _ => return,
        }
    }
}

fn post(agent: Option<PeerAddress>, path: &str, body: &impl Serialize) {
    let Some(agent) = agent else { return };
    let Ok(body) = serde_json::to_vec(body) else { return };
    let sent = attohttpc::post(format!("http://{agent}{path}"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(ANNOUNCE_DEADLINE)
        .bytes(body)
        .send();
    if let Err(error) = sent {
        log::debug!("post of {path} to agent {agent} failed: {error}");
    }
}
