//! How entries follow the table of endpoints.

use {
    super::DeclarationBundle,
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{
        ConnectionCount, DataCentreName, EndpointId, IncarnationNumber, PeerAddress, ReplicaId,
        ServiceName, SlotCount, TermNumber, WorkerId,
    },
    serde::{Deserialize, Serialize},
};

/// One endpoint as entries see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// The life of the agent beside it. Dispatches meant for another life are refused.
    pub incarnation: IncarnationNumber,
    /// The service that it serves.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Where the agent listens.
    pub agent: PeerAddress,
    /// The requests that it serves at once.
    pub slots: SlotCount,
    /// The connections that it keeps open.
    pub connections: ConnectionCount,
    /// True when it takes no new requests.
    pub draining: bool,
}

/// Places a point in the history of the table. Numbers of different terms can't be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    /// The term of the leader that numbered the change.
    pub term: TermNumber,
    /// The number of the change within the term.
    pub sequence: u64,
}

/// Asks the leader for what changed since `known`. Also registers the entry with control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePull {
    /// The version that the entry has.
    pub known: TableVersion,
    /// The entry's data centre.
    pub data_centre: DataCentreName,
    /// Where other processes reach the entry.
    pub address: PeerAddress,
    /// Where operators reach the entry.
    pub operator_address: PeerAddress,
}

/// Answers a [`TablePull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableReply {
    /// This replica does not lead.
    NotLeader {
        /// Who leads, as far as the replica knows, and where.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// What changed.
    Changes(Box<TableChanges>),
}

/// What changed in the table since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The version that the entry has after the changes.
    pub version: TableVersion,
    /// True when `changed` is the whole table, and what is not named is gone.
    pub complete: bool,
    /// New and changed endpoints.
    pub changed: Vec<EndpointRecord>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
    /// Newer declarations, when the entry is behind.
    pub declarations: Option<DeclarationBundle>,
}

impl RpcCall for TablePull {
    const PATH: &'static str = "/internal/table";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = TableReply;
}
