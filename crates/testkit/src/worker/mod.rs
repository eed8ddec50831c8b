//! A worker's platform: runs pretended tasks under a lease and answers the interface of
//! `docs/PLATFORM.md`.

mod payload;
mod state;

pub use state::{PlatformTasks, WorkerRun};

use {
    crate::{listen, StandInError},
    agent::platform::{PlatformReply, PlatformRequest, PLATFORM_PATH},
    base::{ClockSource, PeerAddress, ResourceVector, SystemClock},
    std::{
        sync::{Arc, Mutex, MutexGuard},
        thread::{self, JoinHandle},
        time::Duration,
    },
    tiny_http::{Method, Request, Response, Server},
};

const SERVER_THREADS: usize = 4;

/// How a stand-in worker behaves.
#[derive(Clone)]
pub struct StandInWorkerSettings {
    /// What it has.
    pub capacity: ResourceVector,
    /// How late measurements are.
    pub usage_lag: Duration,
    /// The time between measurements.
    pub usage_interval: Duration,
    /// Its clock.
    pub clock: Arc<dyn ClockSource>,
}

impl Default for StandInWorkerSettings {
    fn default() -> Self {
        Self {
            capacity: ResourceVector {
                cpu: base::CpuMillis(16_000),
                memory: base::ByteSize(60_000_000_000),
                accelerators: base::AcceleratorCount::ZERO,
            },
            usage_lag: Duration::from_secs(2),
            usage_interval: Duration::from_secs(1),
            clock: Arc::new(SystemClock::new()),
        }
    }
}

/// A fault that a stand-in worker shows until it is told otherwise.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// It works.
    #[default]
    None,
    /// It answers no call, and takes no notice of any.
    Silent,
    /// It takes calls into account and loses the answers.
    LosesAnswers,
    /// Every task that it starts fails.
    FailsTasks,
    /// It refuses to start tasks.
    RefusesTasks,
}

/// A running stand-in worker. Dropping it stops it and its tasks.
pub struct StandInWorker {
    address: PeerAddress,
    server: Arc<Server>,
    tasks: Arc<Mutex<PlatformTasks>>,
    threads: Vec<JoinHandle<()>>,
}

impl StandInWorker {
    /// Listens on `address`; port 0 picks a free one.
    pub fn start(
        address: PeerAddress,
        settings: StandInWorkerSettings,
    ) -> Result<Self, StandInError> {
        let (server, address) = listen(address)?;
        let server = Arc::new(server);
        let tasks = Arc::new(Mutex::new(PlatformTasks::new(settings)));
        let threads = (0..SERVER_THREADS).map(|_| {
            let (server, tasks) = (server.clone(), tasks.clone());
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    answer(request, &tasks);
                }
            })
        });
        let threads = threads.collect();
        Ok(Self { address, server, tasks, threads })
    }

    /// Where it listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Shows a fault from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        lock(&self.tasks).set_fault(fault);
    }

    /// Loses all tasks and starts another life, as a restart does.
    pub fn restart(&self) {
        lock(&self.tasks).restart();
    }

    /// Every run of every attempt, in the order of their starts, by the worker's own clock.
    pub fn history(&self) -> Vec<WorkerRun> {
        lock(&self.tasks).history()
    }
}

impl Drop for StandInWorker {
    fn drop(&mut self) {
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn lock(tasks: &Mutex<PlatformTasks>) -> MutexGuard<'_, PlatformTasks> {
    tasks.lock().expect("a task holder never panics")
}

fn answer(mut request: Request, tasks: &Mutex<PlatformTasks>) {
    if *request.method() != Method::Post || request.url() != PLATFORM_PATH {
        let _ = request.respond(Response::empty(404));
        return;
    }
    let parsed: Result<PlatformRequest, _> = serde_json::from_reader(request.as_reader());
    let Ok(call) = parsed else {
        let _ = request.respond(Response::empty(400));
        return;
    };
    let reply: Option<PlatformReply> = lock(tasks).take(call);
    let Some(reply) = reply else {
        let _ = request.respond(Response::empty(503));
        return;
    };
    let body = serde_json::to_vec(&reply).unwrap_or_default();
    let _ = request.respond(Response::from_data(body));
}
