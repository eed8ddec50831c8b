//! The versioned table of endpoints that entries follow.

use {
    crate::state::WorkerRecord,
    base::{EndpointId, TermNumber, WorkerId},
    indexmap::IndexMap,
    proto::messages::{EndpointAnnouncement, EndpointRecord, TableChanges, TableVersion},
    std::collections::VecDeque,
};

/// Upper bound on retained changes. An entry that has missed more gets the whole table.
const CHANGES_LIMIT: usize = 4096;

/// The endpoints of all workers that are not lost.
#[derive(Debug)]
pub struct EndpointTable {
    version: TableVersion,
    endpoints: IndexMap<EndpointId, EndpointRecord>,
    by_worker: IndexMap<WorkerId, Vec<EndpointId>>,
    changes: VecDeque<(u64, EndpointId)>,
}

impl EndpointTable {
    /// Returns an empty table for a term.
    pub fn new(term: TermNumber) -> Self {
        Self {
            version: TableVersion { term, sequence: 1 },
            endpoints: IndexMap::new(),
            by_worker: IndexMap::new(),
            changes: VecDeque::new(),
        }
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.endpoints.values()
    }

    /// Replaces the endpoints of a worker. `None` means that the worker was removed.
    pub fn set_worker(&mut self, worker: &WorkerId, record: Option<&WorkerRecord>) {
        let before = self.by_worker.swap_remove(worker).unwrap_or_default();
        let mut present = Vec::new();
        for announcement in record.into_iter().flat_map(|record| &record.endpoints) {
            let Some(record) = record else { continue };
            present.push(announcement.endpoint.clone());
            self.put(endpoint_record(worker, record, announcement));
        }
        for gone in before.iter().filter(|endpoint| !present.contains(endpoint)) {
            self.remove(worker, gone);
        }
        if !present.is_empty() {
            self.by_worker.insert(worker.clone(), present);
        }
    }

    fn put(&mut self, record: EndpointRecord) {
        let endpoint = record.endpoint.clone();
        if self.endpoints.get(&endpoint) == Some(&record) {
            return;
        }
        self.endpoints.insert(endpoint.clone(), record);
        self.note(endpoint);
    }

    fn remove(&mut self, worker: &WorkerId, endpoint: &EndpointId) {
        let moved = |record: &EndpointRecord| record.worker != *worker;
        if self.endpoints.get(endpoint).is_none_or(moved) {
            return;
        }
        self.endpoints.swap_remove(endpoint);
        self.note(endpoint.clone());
    }

    fn note(&mut self, endpoint: EndpointId) {
        self.version.sequence += 1;
        self.changes.push_back((self.version.sequence, endpoint));
        if self.changes.len() > CHANGES_LIMIT {
            self.changes.pop_front();
        }
    }

    /// Returns the changes since the version `known` that an entry has.
    pub fn changes_since(&self, known: TableVersion) -> TableChanges {
        let oldest = self.changes.front().map_or(self.version.sequence + 1, |(number, _)| *number);
        let follows = known.term == self.version.term
            && known.sequence <= self.version.sequence
            && known.sequence + 1 >= oldest;
        if !follows {
            return self.whole();
        }
        let mut changes = self.empty_changes();
        let mut touched: Vec<_> = self
            .changes
            .iter()
            .filter(|(number, _)| *number > known.sequence)
            .map(|(_, endpoint)| endpoint)
            .collect();
        touched.sort_unstable();
        touched.dedup();
        for endpoint in touched {
            match self.endpoints.get(endpoint) {
                Some(record) => changes.changed.push(record.clone()),
                None => changes.removed.push(endpoint.clone()),
            }
        }
        changes
    }

    fn whole(&self) -> TableChanges {
        let changed = self.endpoints.values().cloned().collect();
        TableChanges { complete: true, changed, ..self.empty_changes() }
    }

    fn empty_changes(&self) -> TableChanges {
        TableChanges {
            version: self.version,
            complete: false,
            changed: Vec::new(),
            removed: Vec::new(),
            declarations: None,
        }
    }
}

fn endpoint_record(
    worker: &WorkerId,
    record: &WorkerRecord,
    announcement: &EndpointAnnouncement,
) -> EndpointRecord {
    EndpointRecord {
        endpoint: announcement.endpoint.clone(),
        worker: worker.clone(),
        incarnation: record.incarnation,
        service: announcement.service.clone(),
        data_centre: record.announcement.data_centre.clone(),
        agent: record.announcement.address,
        slots: announcement.slots,
        connections: announcement.connections,
        draining: announcement.draining || record.is_draining(),
    }
}
