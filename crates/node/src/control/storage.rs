//! The thread that writes and syncs the log, one batch at a time. Entries that arrive during a sync
//! form the next batch, so that one sync covers many entries.

use {
    super::{ControlError, ControlInput, ThreadSnafu},
    crate::logging::LineLog,
    crossbeam::channel::{bounded, Sender},
    quorum::{LogStorage, PersistBatch},
    snafu::ResultExt,
    std::thread,
    tokio::sync::mpsc::{unbounded_channel, UnboundedSender},
    workflow::{control::ControlEvent, event::FlowEvent},
};

/// Batches that may wait for the disk. The log sends only one at a time.
const QUEUED_BATCHES: usize = 4;

/// Starts the thread. It ends when the returned sender is dropped.
pub(super) fn start_storage(
    mut storage: LogStorage,
    inputs: UnboundedSender<ControlInput>,
    log: LineLog,
) -> Result<Sender<PersistBatch>, ControlError> {
    let (batches, queued) = bounded::<PersistBatch>(QUEUED_BATCHES);
    let (failures, mut failed) = unbounded_channel::<String>();
    let body = move || {
        for batch in queued {
            let number = batch.number;
            let event = match storage.persist(&batch) {
                Ok(()) => ControlEvent::Persisted { number },
                Err(error) => {
                    // If the event loop has ended, nothing is left that could log the failure.
                    let _ = failures.send(error.to_string());
                    ControlEvent::PersistFailed { number }
                }
            };
            if inputs.send(ControlInput::Event(event)).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("log-storage".to_owned()).spawn(body).context(ThreadSnafu)?;
    tokio::task::spawn_local(async move {
        while let Some(reason) = failed.recv().await {
            log.record(&FlowEvent::StorageFailed { reason });
        }
    });
    Ok(batches)
}
