//! Keeps the newest events of this process.

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

/// An event as it is kept, sent to operators and saved in files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRecord {
    /// The event's place in the causal order of all processes.
    pub stamp: HybridStamp,
    /// The process that recorded it.
    pub process: ProcessName,
    /// Its number in the catalogue.
    pub number: u16,
    /// Its name in the catalogue.
    pub name: String,
    /// How much it matters.
    pub severity: EventSeverity,
    /// Its fields.
    pub fields: IndexMap<String, String>,
}

/// Records events of this process in a ring of bounded length and in the log.
pub struct EventRecorder {
    identity: Arc<ProcessIdentity>,
    capacity: usize,
    ring: Mutex<VecDeque<EventRecord>>,
}

impl EventRecorder {
    /// A recorder that keeps the newest `capacity` events.
    pub fn new(identity: Arc<ProcessIdentity>, capacity: usize) -> Self {
        Self { identity, capacity, ring: Mutex::default() }
    }

    /// Stamps and keeps an event, and writes it to the log. The stamp is taken while the ring is
    /// held: a reader goes on from the last stamp that it saw, and would miss an event that came
    /// into the ring after a later one.
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
        write_log(&record);
        if ring.len() == self.capacity {
            ring.pop_front();
        }
        ring.push_back(record);
    }

    /// The kept events with a stamp after `after`, oldest first.
    pub fn events_after(&self, after: HybridStamp) -> Vec<EventRecord> {
        let ring = self.ring.lock().expect("a ring holder never panics");
        ring.iter().filter(|record| record.stamp > after).cloned().collect()
    }
}

fn write_log(record: &EventRecord) {
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
