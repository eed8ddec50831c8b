//! The messages by which entries follow changes of the endpoint table.

use {
    super::DeclarationBundle,
    crate::{envelope::ProcessRole, rpc::RpcCall},
    base::{
        ConnectionCount, DataCentreName, EndpointId, IncarnationNumber, PeerAddress, ReplicaId,
        ServiceName, SlotCount, TermNumber, WorkerId,
    },
    serde::{Deserialize, Serialize},
};

/// One endpoint, as entries see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The worker on which the endpoint runs.
    pub worker: WorkerId,
    /// The incarnation of the agent beside the endpoint. The agent rejects dispatches to any other
    /// one.
    pub incarnation: IncarnationNumber,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The internal address of the agent.
    pub agent: PeerAddress,
    /// The number of requests that the endpoint serves concurrently.
    pub slots: SlotCount,
    /// The number of connections that the endpoint keeps open.
    pub connections: ConnectionCount,
    /// True if the endpoint accepts no new requests.
    pub draining: bool,
}

/// A position in the history of the endpoint table. Sequence numbers of different terms are not
/// comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TableVersion {
    /// The term of the leader that made the change.
    pub term: TermNumber,
    /// The number of the change within the term.
    pub sequence: u64,
}

/// Asks the leader for the changes since `known`, and registers the entry with control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TablePull {
    /// The version that the entry has.
    pub known: TableVersion,
    /// The entry's data centre.
    pub data_centre: DataCentreName,
    /// The entry's internal address.
    pub address: PeerAddress,
    /// The entry's operator address.
    pub operator_address: PeerAddress,
}

/// The reply to a [`TablePull`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableReply {
    /// This replica is not the leader.
    NotLeader {
        /// The leader and its address, if the replica knows them.
        leader: Option<(ReplicaId, PeerAddress)>,
    },
    /// The changes since the known version.
    Changes(Box<TableChanges>),
}

/// The changes of the endpoint table since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The version that the entry has after applying the changes.
    pub version: TableVersion,
    /// True if `changed` is the whole table; endpoints that it does not name are gone.
    pub complete: bool,
    /// New and changed endpoints.
    pub changed: Vec<EndpointRecord>,
    /// Removed endpoints.
    pub removed: Vec<EndpointId>,
    /// The newer declarations, if the entry's are out of date.
    pub declarations: Option<DeclarationBundle>,
}

impl RpcCall for TablePull {
    const PATH: &'static str = "/internal/table";
    const FROM: &'static [ProcessRole] = &[ProcessRole::Entry];
    type Reply = TableReply;
}
