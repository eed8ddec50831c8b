//! The state that only a leader holds: leases, commands that workers have not received yet, the
//! versioned table of endpoints, the placement model, and the processes that have sent messages.
//!
//! The log holds none of it. A new leader builds it from the applied state and from the messages
//! that it receives. It waits for a full lease before it declares a worker lost that has sent no
//! heartbeat (`docs/decisions/leases.md`).

mod feed;
mod leases;
mod planner;
mod processes;
mod streams;
mod table;

pub use {
    leases::{HeartbeatVerdict, LeaseTable, LeaseTerms},
    processes::{ProcessTable, SenderInfo},
    streams::{CommandStream, StreamReply},
    table::EndpointTable,
};

use {
    crate::state::FleetState,
    base::{TermNumber, WorkerId},
    indexmap::{IndexMap, IndexSet},
    sched::FleetModel,
    std::time::{Duration, SystemTime},
};

/// The in-memory state of a leader during one term.
#[derive(Debug)]
pub struct LeaderState {
    /// The term of this leadership.
    pub(crate) term: TermNumber,
    /// When this replica became leader.
    pub(crate) elected_at: Duration,
    /// The lease of each worker.
    pub(crate) leases: LeaseTable,
    /// The commands to send to each worker.
    pub(crate) streams: IndexMap<WorkerId, CommandStream>,
    /// The endpoints that entries follow.
    pub(crate) table: EndpointTable,
    /// The placement model.
    pub(crate) model: FleetModel,
    /// The processes that have sent messages to this leader.
    pub(crate) processes: ProcessTable,
    /// True while decisions wait to be committed.
    pub(crate) decisions_pending: bool,
    /// True if an input of the model has changed since the last decision.
    pub(crate) decision_due: bool,
    /// When the model last decided.
    pub(crate) decided_at: Duration,
    /// When this leader was elected or, if later, when the declarations last changed.
    pub(crate) revision_at: Duration,
    /// The time up to which the ledger's clock has been advanced. Follows the current time while
    /// the ledger is empty.
    pub(crate) ledger_at: Duration,
    /// True while an update of the ledger's clock or the lease bound waits to be committed.
    pub(crate) housekeeping: bool,
    /// Workers whose registrations or reports wait to be committed.
    pub(crate) reporting: IndexSet<WorkerId>,
    /// The cached lease terms of each worker, resolved since the declarations or the worker last
    /// changed.
    terms: IndexMap<WorkerId, LeaseTerms>,
}

impl LeaderState {
    /// Returns the state of a leader that has just been elected.
    pub fn new(now: Duration, wall: SystemTime, term: TermNumber, state: &FleetState) -> Self {
        let mut leader = Self {
            term,
            elected_at: now,
            leases: LeaseTable::default(),
            streams: IndexMap::new(),
            table: EndpointTable::new(term),
            model: FleetModel::new(planner::sched_policy(state), term.0),
            processes: ProcessTable::default(),
            decisions_pending: false,
            decision_due: true,
            decided_at: now,
            revision_at: now,
            ledger_at: now,
            housekeeping: false,
            reporting: IndexSet::new(),
            terms: IndexMap::new(),
        };
        leader.rebuild(now, wall, state);
        leader
    }

    /// Returns the lease terms of a worker.
    pub(crate) fn terms_of(
        &mut self,
        worker: &WorkerId,
        wall: SystemTime,
        state: &FleetState,
    ) -> LeaseTerms {
        if let Some(terms) = self.terms.get(worker) {
            return *terms;
        }
        let terms = LeaseTerms::resolve(worker, wall, state);
        if state.workers().get(worker).is_some() {
            self.terms.insert(worker.clone(), terms);
        }
        terms
    }

    /// Returns the stream of commands to a worker.
    pub(crate) fn stream_of(&mut self, worker: &WorkerId) -> &mut CommandStream {
        let term = self.term;
        self.streams.entry(worker.clone()).or_insert_with(|| CommandStream::new(term))
    }
}
