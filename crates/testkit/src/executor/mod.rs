//! An executor that answers with what it was asked, and counts what it ran.

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

/// How a stand-in executor behaves.
#[derive(Debug, Clone)]
pub struct StandInExecutorSettings {
    /// Where it listens; port 0 picks a free one.
    pub listen: PeerAddress,
    /// The service that it serves.
    pub service: ServiceName,
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Its life, larger than that of an earlier one of the same endpoint.
    pub incarnation: IncarnationNumber,
    /// The requests that it serves at once.
    pub slots: SlotCount,
    /// The connections that it keeps open.
    pub connections: ConnectionCount,
    /// Where its agent takes announcements. It announces nothing when `None`.
    pub announce_to: Option<PeerAddress>,
    /// How long it takes over a request that does not say.
    pub service_time: Duration,
}

/// A fault that a stand-in executor shows until it is told otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ExecutorFault {
    /// It works.
    #[default]
    None,
    /// It takes requests and does not answer before the fault is taken away.
    Hang,
    /// It cuts answers short.
    Truncate,
    /// It sends answers a byte at a time, with the pause between bytes.
    Slow(Duration),
}

/// A request that a stand-in executor has run.
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

/// A running stand-in executor. Dropping it stops it, and its agent notices in its own time.
pub struct StandInExecutor {
    address: PeerAddress,
    shared: Arc<ExecutorShared>,
    server: Arc<Server>,
    threads: Vec<JoinHandle<()>>,
    announcer: Option<JoinHandle<()>>,
    stop: Option<Sender<()>>,
}

impl StandInExecutor {
    /// Listens, and announces itself until it is stopped.
    pub fn start(settings: StandInExecutorSettings) -> Result<Self, StandInError> {
        let (server, address) = listen(settings.listen)?;
        let server = Arc::new(server);
        // More threads than slots, so that an agent that admits too much is found out.
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

    /// Where it takes requests.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Shows a fault from now on.
    pub fn set_fault(&self, fault: ExecutorFault) {
        self.shared.record().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Everything that it ran.
    pub fn executed(&self) -> Vec<ExecutedRequest> {
        self.shared.record().executed.clone()
    }

    /// The largest number of requests that it had at once.
    pub fn peak(&self) -> u32 {
        self.shared.record().peak
    }

    /// Waits until it has `count` requests at once.
    pub fn wait_in_use(&self, count: u32) {
        let record = self.shared.record();
        let waited = self.shared.changed.wait_while(record, |record| record.in_use != count);
        drop(waited.expect("a record holder never panics"));
    }

    /// Tells its agent that it leaves.
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
        log::debug!("the announcement got no answer: {error}");
    }
}
