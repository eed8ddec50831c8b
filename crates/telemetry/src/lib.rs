//! What a process tells about itself: numbered events, logs, metrics and the time line.
//!
//! Every noteworthy step is an event of the catalogue (`docs/EVENTS.md`), kept in a bounded ring
//! with a stamp that orders it among the events of all processes. The crate knows nothing of
//! policy; drivers call it with events that their reducers ask to record.

pub mod catalogue;
mod context;
pub mod metrics;
pub mod operator;
pub mod recorder;
pub mod timeline;

pub use {
    catalogue::{
        AgentEvent, CatalogueEvent, ControlEvent, EntryEvent, EventSeverity, ProcessEvent,
    },
    context::ProcessContext,
    metrics::{CounterKind, DurationKind, GaugeKind, ProcessMetrics},
    operator::OperatorPort,
    recorder::{EventRecord, EventRecorder},
};
