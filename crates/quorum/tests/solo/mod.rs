//! A single-replica group on real files.

#![allow(dead_code)]

use {
    base::{ClusterName, EventReducer, LogIndex, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{
        EntryPayload, GroupMember, LogStorage, PersistBatch, QuorumCore, QuorumEffect, QuorumEvent,
        QuorumMessage, QuorumSettings, RecoveredLog,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        path::Path,
        time::Duration,
    },
};

pub const REPLICA: ReplicaId = ReplicaId(1);

/// The replica with the caller's state, which is the data at each position.
pub struct SoloReplica {
    core: QuorumCore,
    pub storage: LogStorage,
    unwritten: VecDeque<PersistBatch>,
    pub state: BTreeMap<LogIndex, Vec<u8>>,
    /// Whether the state is only the data of the last entry.
    pub last_only: bool,
    pub committed: Vec<(ReplyTicket, LogIndex)>,
}

pub fn open_files(folder: &Path) -> (LogStorage, RecoveredLog) {
    let cluster = ClusterName::new("umoja").unwrap();
    LogStorage::open(folder, &cluster, REPLICA).expect("the log opens")
}

impl SoloReplica {
    pub fn open(folder: &Path, snapshot_every: u64) -> Self {
        let (storage, recovered) = open_files(folder);
        let address = PeerAddress(([127, 0, 0, 1], 1).into());
        let settings = QuorumSettings {
            replica: REPLICA,
            founders: vec![GroupMember { replica: REPLICA, address, voter: true }],
            election_timeout: Duration::from_millis(100),
            heartbeat: Duration::from_millis(20),
            batch_bytes: 1 << 20,
            in_flight_limit: 8,
            pending_limit: 1 << 20,
            snapshot_chunk: 1 << 16,
            snapshot_every,
        };
        let core = QuorumCore::new(settings, recovered, Duration::ZERO, 1).expect("it starts");
        let mut replica = Self {
            core,
            storage,
            unwritten: VecDeque::new(),
            state: BTreeMap::new(),
            last_only: false,
            committed: Vec::new(),
        };
        replica.handle(vec![QuorumEvent::Tick]);
        replica
    }

    /// Proposes several entries without waiting in between.
    pub fn propose(&mut self, proposals: impl IntoIterator<Item = (u64, Vec<u8>)>) {
        let events = proposals
            .into_iter()
            .map(|(ticket, data)| QuorumEvent::Propose { ticket: ReplyTicket(ticket), data });
        self.handle(events.collect());
    }

    /// Handles events, then writes batches until none are left.
    fn handle(&mut self, events: Vec<QuorumEvent<QuorumMessage>>) {
        events.into_iter().for_each(|event| self.reduce(event));
        while let Some(batch) = self.unwritten.pop_front() {
            self.storage.persist(&batch).expect("the disk works");
            self.reduce(QuorumEvent::Persisted { number: batch.number });
        }
    }

    fn reduce(&mut self, event: QuorumEvent<QuorumMessage>) {
        for effect in self.core.reduce(Duration::ZERO, event) {
            match effect {
                QuorumEffect::Persist(batch) => self.unwritten.push_back(batch),
                QuorumEffect::Apply(entry) => {
                    if let EntryPayload::Data(data) = entry.payload {
                        if self.last_only {
                            self.state.clear();
                        }
                        self.state.insert(entry.index, data);
                    }
                }
                QuorumEffect::Committed { ticket, index } => self.committed.push((ticket, index)),
                QuorumEffect::InstallSnapshot(snapshot) => {
                    self.state = rmp_serde::from_slice(&snapshot.data).expect("a snapshot");
                }
                QuorumEffect::TakeSnapshot => {
                    let data = rmp_serde::to_vec(&self.state).expect("a state");
                    let index = self.core.applied();
                    self.reduce(QuorumEvent::SnapshotTaken { index, data });
                }
                _ => {}
            }
        }
    }
}
