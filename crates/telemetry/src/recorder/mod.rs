//! Records the events of this process and keeps the newest ones.

use {
    crate::catalogue::{CatalogueEvent, EventSeverity},
    base::{HybridStamp, ProcessName},
    indexmap::IndexMap,
    proto::rpc::ProcessIdentity,
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex},
    },
};

/// An event as the ring keeps it, `/events` serves it and files store it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The event's position in the causal order of all processes.
    pub stamp: HybridStamp,
    /// The process that recorded the event.
    pub process: ProcessName,
    /// The event's number in the catalogue.
    pub number: u16,
    /// The event's name in the catalogue.
    pub name: String,
    /// The event's severity.
    pub severity: EventSeverity,
    /// The event's fields with their values as text.
    pub fields: IndexMap<String, String>,
}

/// Records events of this process in a bounded ring and in the log.
pub struct EventRecorder {
    identity: Arc<ProcessIdentity>,
    capacity: usize,
    ring: Mutex<VecDeque<EventRecord>>,
}

impl EventRecorder {
    /// Creates a recorder that keeps the newest `capacity` events.
    pub fn new(identity: Arc<ProcessIdentity>, capacity: usize) -> Self {
        Self { identity, capacity, ring: Mutex::default() }
    }

    /// Stamps an event, appends it to the ring and writes it to the log. The recorder takes the
    /// stamp while it holds the ring's lock, so that stamps increase along the ring: a reader
    /// continues from the last stamp that it received and would miss an event appended later with
    /// an earlier stamp.
    pub fn record(&self, event: &impl CatalogueEvent) {
        let mut ring = self.ring.lock().expect("a ring holder never panics");
        let record = EventRecord {
            stamp: self.identity.stamp(),
            process: self.identity.sender().name.clone(),
            number: event.number(),
            name: event.name().to_owned(),
            severity: event.severity(),
            fields: event
                .fields()
                .into_iter()
                .map(|(name, text)| (name.to_owned(), text))
                .collect(),
        };
        write_to_log(&record);
        if ring.len() == self.capacity {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// Returns the kept events with a stamp after `after`, oldest first.
    pub fn events_after(&self, after: HybridStamp) -> Vec<EventRecord> {
        let ring = self.ring.lock().expect("a ring holder never panics");
        ring.iter().filter(|record| record.stamp > after).cloned().collect()
    }
}

fn write_to_log(record: &EventRecord) {
    let level = match record.severity {
        EventSeverity::Debug => log::Level::Debug,
        EventSeverity::Info => log::Level::Info,
        EventSeverity::Warning => log::Level::Warn,
        EventSeverity::Error => log::Level::Error,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let fields: Vec<_> =
        record.fields.iter().map(|(key, text)| format!("{key}={text:?}")).collect();
    log::log!(level, "E{} {} {} {}", record.number, record.name, record.stamp, fields.join(" "));
}
