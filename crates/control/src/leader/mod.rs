//! What only a leader knows: leases, the commands that workers have not taken yet, the numbered
//! table of endpoints, the model that placement decides from, and who was heard from.
//!
//! None of it is logged. A new leader builds it from the applied state and from what it hears, and
//! waits a full lease before it believes any silence (`docs/decisions/leases.md`).

mod feed;
mod leases;
mod planner;
mod processes;
mod streams;
mod table;

pub use {
    leases::{HeartbeatVerdict, LeaseTable, LeaseTerms},
    processes::{ProcessNote, ProcessTable},
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

/// The soft state of one term.
#[derive(Debug)]
pub struct LeaderState {
    /// The term.
    pub(crate) term: TermNumber,
    /// When the lead was gained.
    pub(crate) gained_at: Duration,
    /// The leases.
    pub(crate) leases: LeaseTable,
    /// What each worker is to be told.
    pub(crate) streams: IndexMap<WorkerId, CommandStream>,
    /// The endpoints.
    pub(crate) table: EndpointTable,
    /// What placement decides from.
    pub(crate) model: FleetModel,
    /// Who was heard from.
    pub(crate) processes: ProcessTable,
    /// True while decisions wait to be committed.
    pub(crate) deciding: bool,
    /// True when something that decisions rest on has changed.
    pub(crate) undecided: bool,
    /// When the model was last asked.
    pub(crate) decided_at: Duration,
    /// When the present declarations came into force here.
    pub(crate) revision_at: Duration,
    /// Up to when the ledger's clock has been told of.
    pub(crate) ledger_at: Duration,
    /// True while the ledger's clock or the lease bound waits to be committed.
    pub(crate) housekeeping: bool,
    /// Workers whose reports wait to be committed.
    pub(crate) reporting: IndexSet<WorkerId>,
    /// The lease terms of each worker under the present declarations.
    terms: IndexMap<WorkerId, LeaseTerms>,
}

impl LeaderState {
    /// The soft state of a leader that has just gained the lead.
    pub fn new(now: Duration, wall: SystemTime, term: TermNumber, state: &FleetState) -> Self {
        let mut leader = Self {
            term,
            gained_at: now,
            leases: LeaseTable::default(),
            streams: IndexMap::new(),
            table: EndpointTable::new(term),
            model: FleetModel::new(planner::sched_policy(state), term.0),
            processes: ProcessTable::default(),
            deciding: false,
            undecided: true,
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

    /// The lease terms of a worker.
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

    /// The stream of commands to a worker.
    pub(crate) fn stream_of(&mut self, worker: &WorkerId) -> &mut CommandStream {
        let term = self.term;
        self.streams.entry(worker.clone()).or_insert_with(|| CommandStream::new(term))
    }
}
