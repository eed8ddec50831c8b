//! The process-wide services that a program passes to the role it starts.

use {
    crate::{metrics::ProcessMetrics, recorder::EventRecorder},
    base::ClockSource,
    proto::rpc::ProcessIdentity,
    std::sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

/// The services that all parts of a process share. Clones refer to the same services.
#[derive(Clone)]
pub struct ProcessContext {
    /// The identity of the process; stamps message headers.
    pub identity: Arc<ProcessIdentity>,
    /// The recorder of the process's events.
    pub recorder: Arc<EventRecorder>,
    /// The process's metrics.
    pub metrics: Arc<ProcessMetrics>,
    ready: Arc<AtomicBool>,
}

impl ProcessContext {
    /// Creates the context of a process that is not ready yet.
    pub fn new(identity: Arc<ProcessIdentity>, recorder: Arc<EventRecorder>) -> Self {
        Self { identity, recorder, metrics: Arc::default(), ready: Arc::default() }
    }

    /// Returns the clock of the process.
    pub fn clock(&self) -> &Arc<dyn ClockSource> {
        self.identity.clock()
    }

    /// Sets whether `/readyz` reports the process as ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns true if the process is ready to do its work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}
