//! Connects the reducer to the replicated log: proposals, their outcomes and committed entries.

use {
    super::{ControlNode, NodeEffect},
    crate::{
        leader::LeaderState,
        state::{CommandBatch, CommandOutcome, FleetCommand, FleetFact, FleetState, StateError},
    },
    base::{EventReducer, LogIndex, ReplyTicket, TermNumber, WorkerId},
    quorum::{
        EntryPayload, LogEntry, LogSnapshot, ProposalError, QuorumEffect, QuorumEvent,
        QuorumMessage, ReplicaRole,
    },
    telemetry::ControlEvent,
};

/// Upper bound on the log entries whose outcomes are retained until their commitment is reported.
const OUTCOMES_LIMIT: usize = 4096;

/// Who waits for the outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ProposalOwner {
    /// An entry that claims a key.
    Claim(ReplyTicket),
    /// An entry that closes a claim.
    Close(ReplyTicket),
    /// An operator's change.
    Operator(ReplyTicket),
    /// An operator's change of the control group's members.
    Members(ReplyTicket),
    /// Decisions of the placement model.
    Decisions,
    /// Reports of a worker.
    Worker(WorkerId),
    /// The loss of workers.
    Losses(Vec<WorkerId>),
    /// An update of the ledger's clock or the lease bound.
    Housekeeping,
}

impl ControlNode {
    /// Proposes commands as one entry of the log.
    pub(super) fn propose(&mut self, owner: ProposalOwner, commands: Vec<FleetCommand>) {
        let batch = CommandBatch { at_ms: self.wall_ms(), commands };
        let data = rmp_serde::to_vec(&batch).unwrap_or_default();
        let ticket = self.next_ticket();
        self.proposals.insert(ticket, owner);
        self.queue.push_back(QuorumEvent::Propose { ticket, data });
    }

    /// Passes all queued events to the quorum core and performs its effects.
    pub(super) fn process_queue(&mut self) {
        while let Some(event) = self.queue.pop_front() {
            for effect in self.core.reduce(self.now, event) {
                self.perform(effect);
            }
        }
    }

    fn perform(&mut self, effect: QuorumEffect<QuorumMessage>) {
        match effect {
            QuorumEffect::Send { to, address, message } => {
                self.effects.push(NodeEffect::SendQuorum { to, address, message });
            }
            QuorumEffect::Persist(batch) => self.effects.push(NodeEffect::Persist(batch)),
            QuorumEffect::InstallSnapshot(snapshot) => self.install(&snapshot),
            QuorumEffect::Apply(entry) => self.apply(entry),
            QuorumEffect::Committed { ticket, index } => self.committed(ticket, index),
            QuorumEffect::ReadConfirmed { ticket } => self.read_confirmed(ticket),
            QuorumEffect::Rejected { ticket, error } => self.rejected(ticket, error),
            QuorumEffect::RoleChanged { role, term, .. } => self.role_changed(role, term),
            QuorumEffect::TakeSnapshot => {
                let data = self.state.to_snapshot();
                let index = self.applied;
                self.queue.push_back(QuorumEvent::SnapshotTaken { index, data });
            }
        }
    }

    fn install(&mut self, snapshot: &LogSnapshot) {
        match FleetState::from_snapshot(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                let revision = self.state.declarations().revision();
                self.effects.push(NodeEffect::PutInForce(revision));
            }
            Err(error) => self.halt(error),
        }
    }

    fn halt(&mut self, error: StateError) {
        let reason = error.to_string();
        self.effects.push(NodeEffect::Record(ControlEvent::StateUnusable { reason }));
        self.effects.push(NodeEffect::Halt(error));
    }

    fn apply(&mut self, entry: LogEntry) {
        self.applied = entry.index;
        let EntryPayload::Data(data) = entry.payload else { return };
        let batch: CommandBatch = match rmp_serde::from_slice(&data) {
            Ok(batch) => batch,
            Err(source) => return self.halt(StateError::Undecodable { source }),
        };
        let mut facts = Vec::new();
        let outcomes = self.state.apply(batch, &mut facts);
        self.keep_outcomes(entry.index, outcomes);
        self.apply_facts(&facts);
    }

    fn keep_outcomes(&mut self, index: LogIndex, outcomes: Vec<CommandOutcome>) {
        if self.proposals.is_empty() {
            return;
        }
        if self.outcomes.len() >= OUTCOMES_LIMIT {
            self.outcomes.shift_remove_index(0);
        }
        self.outcomes.insert(index, outcomes);
    }

    fn apply_facts(&mut self, facts: &[FleetFact]) {
        if facts.contains(&FleetFact::DeclarationsChanged) {
            let revision = self.state.declarations().revision();
            self.effects.push(NodeEffect::PutInForce(revision));
        }
        let (now, wall) = (self.now, self.wall());
        let Some(leader) = &mut self.leader else { return };
        leader.apply_facts(now, wall, &self.state, facts);
        let events = facts.iter().filter_map(|fact| fact_event(&self.state, fact));
        self.effects.extend(events.map(NodeEffect::Record));
    }

    fn committed(&mut self, ticket: ReplyTicket, index: LogIndex) {
        let outcomes = self.outcomes.shift_remove(&index).unwrap_or_default();
        let Some(owner) = self.proposals.swap_remove(&ticket) else { return };
        match owner {
            ProposalOwner::Claim(ticket) => self.claim_committed(ticket, outcomes),
            ProposalOwner::Close(ticket) => self.close_committed(ticket, outcomes),
            ProposalOwner::Operator(ticket) => self.call_committed(ticket, outcomes),
            ProposalOwner::Members(ticket) => self.members_committed(ticket),
            ProposalOwner::Decisions => self.decisions_settled(),
            ProposalOwner::Worker(worker) => self.worker_settled(&worker),
            ProposalOwner::Losses(workers) => self.losses_settled(&workers),
            ProposalOwner::Housekeeping => self.housekeeping_settled(),
        }
        if self.proposals.is_empty() {
            self.outcomes.clear();
        }
    }

    fn rejected(&mut self, ticket: ReplyTicket, error: ProposalError) {
        if self.read_rejected(ticket) {
            return;
        }
        let Some(owner) = self.proposals.swap_remove(&ticket) else { return };
        match owner {
            ProposalOwner::Claim(ticket) => self.claim_rejected(ticket, &error),
            ProposalOwner::Close(ticket) => self.close_rejected(ticket, &error),
            ProposalOwner::Operator(ticket) => self.call_rejected(ticket, &error),
            ProposalOwner::Members(ticket) => self.members_rejected(ticket, &error),
            ProposalOwner::Decisions => self.decisions_settled(),
            ProposalOwner::Worker(worker) => self.worker_settled(&worker),
            ProposalOwner::Losses(workers) => self.losses_settled(&workers),
            ProposalOwner::Housekeeping => self.housekeeping_settled(),
        }
    }

    fn role_changed(&mut self, role: ReplicaRole, term: TermNumber) {
        let replica = self.core.replica();
        self.effects.push(NodeEffect::Ready(self.core.leader().is_some()));
        let held = self.leader.as_ref().map(|leader| leader.term);
        if held.is_some_and(|held| role != ReplicaRole::Leader || held != term) {
            self.leader = None;
            let term = held.unwrap_or(term);
            self.effects.push(NodeEffect::Record(ControlEvent::LeadershipLost { replica, term }));
            self.refuse_reads();
        }
        if role == ReplicaRole::Leader && self.leader.is_none() {
            self.leader = Some(LeaderState::new(self.now, self.wall(), term, &self.state));
            self.effects.push(NodeEffect::Record(ControlEvent::LeadershipGained { replica, term }));
        }
    }
}

/// Returns the event that records a committed change. Only the leader records it, so that it is
/// recorded once for the whole group.
fn fact_event(state: &FleetState, fact: &FleetFact) -> Option<ControlEvent> {
    let attempt_of = |task: &base::TaskId| state.jobs().task(task).map(|task| &task.lifecycle);
    let event = match fact {
        FleetFact::DeclarationsChanged => {
            ControlEvent::DeclarationsAccepted { revision: state.declarations().revision() }
        }
        FleetFact::WorkerChanged(worker) => {
            let incarnation = state.workers().get(worker)?.incarnation;
            ControlEvent::WorkerSeen { worker: worker.clone(), incarnation }
        }
        FleetFact::WorkerLost(worker) => ControlEvent::WorkerLost { worker: worker.clone() },
        FleetFact::TaskWaiting(task) => ControlEvent::TaskWaiting { task: task.clone() },
        FleetFact::TaskPlaced(task) => {
            let lifecycle = attempt_of(task)?;
            let worker = lifecycle.placement()?.worker.clone();
            ControlEvent::TaskPlaced { task: task.clone(), attempt: lifecycle.attempt(), worker }
        }
        FleetFact::TaskStarted(task) => {
            let attempt = attempt_of(task)?.attempt();
            ControlEvent::TaskStarted { task: task.clone(), attempt }
        }
        FleetFact::TaskThrottled(task) => {
            let lifecycle = attempt_of(task)?;
            let percent = lifecycle.placement()?.throttle.0;
            ControlEvent::TaskThrottled {
                task: task.clone(),
                attempt: lifecycle.attempt(),
                percent,
            }
        }
        FleetFact::TaskStopping(task) => {
            let attempt = attempt_of(task)?.attempt();
            ControlEvent::TaskStopping { task: task.clone(), attempt }
        }
        FleetFact::TaskReleased { task, attempt, worker, end } => ControlEvent::TaskReleased {
            task: task.clone(),
            attempt: *attempt,
            worker: worker.clone(),
            end: format!("{end:?}").to_lowercase(),
        },
        FleetFact::TaskEnded(task, phase) => {
            let phase = format!("{phase:?}").to_lowercase();
            ControlEvent::TaskEnded { task: task.clone(), phase }
        }
        FleetFact::JobParked(job) => ControlEvent::JobParked { job: job.clone() },
        FleetFact::JobUnparked(job) => ControlEvent::JobUnparked { job: job.clone() },
        FleetFact::WorkerForgotten(_)
        | FleetFact::EndpointsChanged(_)
        | FleetFact::TaskWithdrawn(_) => return None,
    };
    Some(event)
}
