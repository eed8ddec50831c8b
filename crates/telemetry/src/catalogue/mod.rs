//! The catalogue of events: one module a role, each event with a number that never changes.
//!
//! `docs/EVENTS.md` lists them all, and a test keeps the page and the catalogue the same.

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

/// How much an event matters to an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventSeverity {
    /// Detail for the time line.
    Debug,
    /// Ordinary work.
    Info,
    /// Something failed and is being handled.
    Warning,
    /// An operator has to act; `docs/OPERATIONS.md` has the next step.
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

/// What every event of the catalogue offers.
pub trait CatalogueEvent {
    /// The event's number, which never changes.
    fn number(&self) -> u16;
    /// The event's name.
    fn name(&self) -> &'static str;
    /// How much it matters.
    fn severity(&self) -> EventSeverity;
    /// Its fields in order, as text.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

/// One line of the catalogue, for the check against `docs/EVENTS.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogueLine {
    /// The event's number.
    pub number: u16,
    /// The event's name.
    pub name: &'static str,
    /// How much it matters.
    pub severity: EventSeverity,
    /// The names of its fields.
    pub fields: &'static [&'static str],
    /// What it means.
    pub meaning: &'static str,
}

/// All events of all roles, by number.
pub fn all_lines() -> Vec<CatalogueLine> {
    let roles = [ProcessEvent::LINES, ControlEvent::LINES, EntryEvent::LINES, AgentEvent::LINES];
    let mut lines: Vec<_> = roles.into_iter().flatten().cloned().collect();
    lines.sort_by_key(|line| line.number);
    lines
}
