//! Follows the endpoint table.

use {
    super::{EntryEffect, EntryReducer},
    base::{EndpointId, PeerAddress, ServiceName},
    indexmap::IndexMap,
    proto::{
        messages::{EndpointRecord, TableChanges, TablePull, TableReply, TableVersion},
        rpc::RpcError,
    },
    std::time::Duration,
    telemetry::EntryEvent,
};

/// Interval between pulls.
const PULL_PERIOD: Duration = Duration::from_millis(500);
/// Delay before a failed pull is retried.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Timeout of one pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// The endpoint table as last pulled.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    version: TableVersion,
    services: IndexMap<EndpointId, ServiceName>,
    known: bool,
    next_pull: Duration,
    pulling: bool,
}

impl EndpointTable {
    /// Returns true if the table has been pulled at least once.
    pub fn is_known(&self) -> bool {
        self.known
    }

    pub fn next_pull(&self) -> Duration {
        match self.pulling {
            true => Duration::MAX,
            false => self.next_pull,
        }
    }
}

impl EntryReducer {
    pub(super) fn pull_table(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        if self.table.next_pull() > now {
            return;
        }
        let Some(peer) = self.control.target() else { return };
        self.table.pulling = true;
        effects.push(EntryEffect::PullTable {
            peer,
            pull: TablePull {
                known: self.table.version,
                data_centre: self.setup.data_centre.clone(),
                address: self.setup.address,
                operator_address: self.setup.operator_address,
            },
            timeout: PULL_TIMEOUT,
        });
    }

    pub(super) fn handle_table_result(
        &mut self,
        now: Duration,
        peer: PeerAddress,
        result: Result<TableReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        self.table.pulling = false;
        match result {
            Ok(TableReply::Changes(changes)) => {
                self.control.set_leader(peer);
                self.table.next_pull = now + PULL_PERIOD;
                self.apply_changes(now, *changes, &mut effects);
            }
            Ok(TableReply::NotLeader { leader }) => {
                let hinted = self.control.redirect(peer, leader.map(|(_, address)| address));
                self.table.next_pull = now + if hinted { Duration::ZERO } else { PULL_RETRY_DELAY };
                self.pull_table(now, &mut effects);
            }
            Err(_) => {
                self.control.mark_failed(peer);
                self.table.next_pull = now + PULL_RETRY_DELAY;
                effects.push(EntryEffect::Record(EntryEvent::ControlUnreachable { peer }));
            }
        }
        effects
    }

    fn apply_changes(
        &mut self,
        now: Duration,
        changes: TableChanges,
        effects: &mut Vec<EntryEffect>,
    ) {
        if let Some(bundle) = changes.declarations {
            effects.extend(self.apply_declarations(bundle));
        }
        if changes.complete {
            let named = |id: &EndpointId| changes.changed.iter().any(|e| e.endpoint == *id);
            let obsolete: Vec<_> =
                self.table.services.keys().filter(|id| !named(id)).cloned().collect();
            obsolete.iter().for_each(|id| self.remove_endpoint(id, effects));
        }
        changes.removed.iter().for_each(|id| self.remove_endpoint(id, effects));
        let mut changed_services = Vec::new();
        for record in changes.changed {
            changed_services.push(record.service.clone());
            self.upsert_endpoint(now, record, effects);
        }
        self.table.version = changes.version;
        if !self.table.known {
            self.table.known = true;
            effects.push(EntryEffect::Ready);
        }
        for service in changed_services {
            self.pump(now, &service, effects);
        }
    }

    fn upsert_endpoint(
        &mut self,
        now: Duration,
        record: EndpointRecord,
        effects: &mut Vec<EntryEffect>,
    ) {
        let (id, service) = (record.endpoint.clone(), record.service.clone());
        match self.table.services.insert(id.clone(), service.clone()) {
            Some(before) if before != service => self.router_mut(&before).remove(&id),
            Some(_) => {}
            None => effects.push(EntryEffect::Record(EntryEvent::EndpointLearned {
                endpoint: id,
                service: service.clone(),
            })),
        }
        self.router_mut(&service).upsert(now, record);
    }

    fn remove_endpoint(&mut self, id: &EndpointId, effects: &mut Vec<EntryEffect>) {
        let Some(service) = self.table.services.shift_remove(id) else { return };
        self.router_mut(&service).remove(id);
        effects.push(EntryEffect::Record(EntryEvent::EndpointGone { endpoint: id.clone() }));
    }
}
