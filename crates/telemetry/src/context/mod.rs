//! What a role is given by the program that starts it.

use {
    crate::{metrics::ProcessMetrics, recorder::EventRecorder},
    base::ClockSource,
    proto::rpc::ProcessIdentity,
    std::sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

/// The means that every role shares. Cloning it shares them.
#[derive(Clone)]
pub struct ProcessContext {
    /// Who the process is; makes and observes message headers.
    pub identity: Arc<ProcessIdentity>,
    /// Where events are recorded.
    pub recorder: Arc<EventRecorder>,
    /// What the process counts and times.
    pub metrics: Arc<ProcessMetrics>,
    ready: Arc<AtomicBool>,
}

impl ProcessContext {
    /// The context of a process that is not ready yet.
    pub fn new(identity: Arc<ProcessIdentity>, recorder: Arc<EventRecorder>) -> Self {
        Self { identity, recorder, metrics: Arc::default(), ready: Arc::default() }
    }

    /// The clock of the process.
    pub fn clock(&self) -> &Arc<dyn ClockSource> {
        self.identity.clock()
    }

    /// Tells `/readyz` whether the process can do its work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process can do its work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}
