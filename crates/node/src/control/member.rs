//! A member of the control group: the reducer and its log on disk.

use {
    super::{
        storage::start_storage, ControlError, ControlInput, ControlSetup, CoreSnafu, StorageSnafu,
    },
    crate::logging::LineLog,
    base::{EventReducer, PeerAddress, ReplicaId},
    crossbeam::channel::Sender,
    quorum::{GroupMember, LogStorage, PersistBatch, QuorumSettings},
    snafu::ResultExt,
    std::{
        collections::hash_map::DefaultHasher,
        hash::{Hash, Hasher},
        net::SocketAddr,
        path::Path,
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedSender,
    workflow::control::{
        ControlEffect, ControlEvent, ControlNode, ControlSettings, CordonFigures, WaitFigures,
    },
};

/// Covers several disk syncs and round trips between data centres. A lost leader is replaced within
/// one to two timeouts.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
const LEADER_HEARTBEAT: Duration = Duration::from_millis(100);
const BATCH_BYTES: usize = 256 * 1024;
const MESSAGES_IN_FLIGHT: usize = 16;
const PENDING_PROPOSALS: usize = 4096;
const SNAPSHOT_CHUNK: usize = 128 * 1024;
/// Entries between two snapshots. Keeps the log well below the size of the smallest disk.
const SNAPSHOT_EVERY: u64 = 4000;

pub(super) struct MemberState {
    node: ControlNode,
    batches: Sender<PersistBatch>,
}

impl MemberState {
    pub(super) fn open(
        setup: &ControlSetup,
        replica: ReplicaId,
        founders: &[SocketAddr],
        folder: &Path,
        now: Duration,
        inputs: UnboundedSender<ControlInput>,
        log: &LineLog,
    ) -> Result<Self, ControlError> {
        let opened = LogStorage::open(folder, &setup.cluster, replica);
        let (storage, recovered) = opened.context(StorageSnafu)?;
        let founder = |address: &SocketAddr| GroupMember {
            replica: super::founder_replica_id(*address),
            address: PeerAddress(*address),
            voter: true,
        };
        let quorum = QuorumSettings {
            replica,
            founders: founders.iter().map(founder).collect(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat: LEADER_HEARTBEAT,
            batch_bytes: BATCH_BYTES,
            in_flight_limit: MESSAGES_IN_FLIGHT,
            pending_limit: PENDING_PROPOSALS,
            snapshot_chunk: SNAPSHOT_CHUNK,
            snapshot_every: SNAPSHOT_EVERY,
        };
        let settings = ControlSettings {
            quorum,
            lease: setup.lease,
            retention: setup.retention,
            tolerated_losses: setup.tolerated_losses,
            look_ahead: setup.look_ahead,
        };
        let seed = election_seed(&setup.name);
        let node = ControlNode::new(settings, recovered, now, seed).context(CoreSnafu)?;
        let batches = start_storage(storage, inputs, log.clone())?;
        Ok(Self { node, batches })
    }

    pub(super) fn replica(&self) -> ReplicaId {
        self.node.replica()
    }

    /// Returns the addresses of the members that this replica knows.
    pub(super) fn member_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.node.member_addresses().into_iter().map(|address| address.0)
    }

    /// Returns how long no leader has reached this replica, unless it may start elections itself.
    pub(super) fn unreached_for(&self) -> Option<Duration> {
        self.node.unreached_for()
    }

    pub(super) fn step(&mut self, now: Duration, event: ControlEvent) -> Vec<ControlEffect> {
        self.node.reduce(now, event)
    }

    pub(super) fn cordon_figures(&self) -> CordonFigures {
        self.node.cordon_figures()
    }

    pub(super) fn wait_figures(&self) -> WaitFigures {
        self.node.wait_figures()
    }

    pub(super) fn withdrawn_jobs(&self) -> usize {
        self.node.applied().withdrawn_jobs()
    }

    pub(super) fn persist(&self, batch: PersistBatch) {
        // The thread outlives its member: the send fails only while the process ends.
        let _ = self.batches.send(batch);
    }
}

/// Returns a seed that differs between processes and incarnations, so that replicas that tied in
/// one election do not tie again.
fn election_seed(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, crate::logging::wall_ms()).hash(&mut hasher);
    hasher.finish()
}
