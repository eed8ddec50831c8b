//! Observability of a process: numbered events, logs, metrics and the time line.
//!
//! Every noteworthy step is an event of the catalogue (`docs/EVENTS.md`). The process keeps its
//! newest events in a bounded ring; a stamp orders each event among the events of all processes.
//! The crate knows nothing of policy: drivers record the events that their reducers return.

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
