//! The event catalogue: one module per role. The number of an event never changes.
//!
//! `docs/EVENTS.md` lists all events; a test checks the page against the catalogue.

#[macro_use]
mod macros;
mod agent;
mod control;
mod entry;
mod process;

pub use {agent::AgentEvent, control::ControlEvent, entry::EntryEvent, process::ProcessEvent};

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The severity of an event, from an operator's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventSeverity {
    /// Detail for troubleshooting.
    Debug,
    /// Normal operation.
    Info,
    /// A fault occurred and the process handles it.
    Warning,
    /// An operator has to act; `docs/OPERATIONS.md` names the next step.
    Error,
}

impl fmt::Display for EventSeverity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Debug => "debug",
            Self::Info => "info",
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

/// The properties that every event of the catalogue has.
pub trait CatalogueEvent {
    /// Returns the event's number, which never changes.
    fn number(&self) -> u16;
    /// Returns the event's name.
    fn name(&self) -> &'static str;
    /// Returns the event's severity.
    fn severity(&self) -> EventSeverity;
    /// Returns the names of the event's fields with their values as text, in declaration order.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

/// One line of the catalogue. A test checks these lines against `docs/EVENTS.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogueLine {
    /// The event's number.
    pub number: u16,
    /// The event's name.
    pub name: &'static str,
    /// The event's severity.
    pub severity: EventSeverity,
    /// The names of the event's fields.
    pub fields: &'static [&'static str],
    /// A one-sentence description of the event.
    pub meaning: &'static str,
}

/// Returns the events of all roles, ordered by number.
pub fn all_events() -> Vec<CatalogueLine> {
    let roles = [ProcessEvent::LINES, ControlEvent::LINES, EntryEvent::LINES, AgentEvent::LINES];
    let mut lines: Vec<_> = roles.into_iter().flatten().cloned().collect();
    lines.sort_by_key(|line| line.number);
    lines
}
