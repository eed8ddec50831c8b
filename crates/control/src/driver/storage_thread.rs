//! The thread that writes and syncs the log. The reducer passes it one batch at a time and collects
//! further entries meanwhile, so that one sync covers many entries.

use {
    crate::node::NodeEvent,
    crossbeam::channel::{Receiver, Sender},
    quorum::{LogStorage, PersistBatch},
    telemetry::{ControlEvent, DurationKind, ProcessContext},
};

/// Writes batches until the reducer's thread ends.
pub(super) fn run_storage(
    mut storage: LogStorage,
    batches: &Receiver<PersistBatch>,
    written: &Sender<NodeEvent>,
    context: &ProcessContext,
) {
    for batch in batches {
        let number = batch.number;
        let started = context.clock().monotonic();
        let result = storage.persist(&batch);
        let took = context.clock().monotonic().saturating_sub(started);
        context.metrics.observe(DurationKind::DiskSync, "batch", took);
        let report = match result {
            Ok(()) => NodeEvent::Persisted { number },
            Err(error) => {
                let reason = error.to_string();
                context.recorder.record(&ControlEvent::StorageFailed { reason });
                NodeEvent::PersistFailed { number }
            }
        };
        if written.send(report).is_err() {
            return;
        }
    }
}
