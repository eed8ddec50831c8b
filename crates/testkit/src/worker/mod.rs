//! A stand-in for a worker's platform: runs simulated tasks under a lease and answers the interface
//! of `docs/PLATFORM.md`.

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

/// Settings of a stand-in worker.
#[derive(Clone)]
pub struct StandInWorkerSettings {
    /// Resources of the worker.
    pub capacity: ResourceVector,
    /// Age of a usage measurement when it becomes visible.
    pub usage_lag: Duration,
    /// Time between usage measurements.
    pub usage_interval: Duration,
    /// Clock of the worker.
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

/// A fault that a stand-in worker shows until another is set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WorkerFault {
    /// Works without faults.
    #[default]
    None,
    /// Neither executes nor answers calls.
    Silent,
    /// Executes calls and loses the answers.
    LosesAnswers,
    /// Fails every task that starts from now on.
    FailsTasks,
    /// Refuses to start tasks.
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
    /// Starts the worker on `address`; port 0 picks a free one.
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

    /// Returns the address on which the worker listens.
    pub fn address(&self) -> PeerAddress {
        self.address
    }

    /// Shows a fault from now on.
    pub fn set_fault(&self, fault: WorkerFault) {
        lock(&self.tasks).set_fault(fault);
    }

    /// Loses all tasks and starts a new incarnation of the platform, as a restart does.
    pub fn restart(&self) {
        lock(&self.tasks).restart();
    }

    /// Returns every run of every attempt, in the order of their starts, in times of the worker's
    /// own clock.
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
