//! The control reducer: the replicated log, the state applied from it, and the leader's decisions.
//!
//! A leader works on a *speculative* state: the applied state plus everything that it has proposed.
//! It plans on that state and withholds every effect of a proposal until the log has committed it.
//! The speculative state ends with the leadership.

mod admission;
mod calls;
mod capacity;
mod cordons;
mod crashes;
mod durations;
mod endings;
mod failures;
mod gangs;
mod interference;
mod leader;
mod logged_ends;
mod members;
mod operator;
mod proposals;
mod relief;
mod relocation;
mod run_timers;
mod runs;
mod sessions;
mod types;
mod unconfirmed;
mod unstarted;
mod waiting;
mod workers;

pub use {
    admission::TASKS_HELD_LIMIT,
    cordons::CordonFigures,
    types::{ControlEffect, ControlEvent, ControlSettings, OperatorAnswer, SessionId},
};

use {
    self::{leader::LeaderState, logged_ends::LoggedEnds},
    crate::{
        event::FlowEvent,
        state::{CommandBatch, FlowState, StateError},
    },
    base::{EventReducer, PeerAddress, ReplicaId, ReplyTicket},
    quorum::{
        CoreError, EntryPayload, LogEntry, ProposalError, QuorumCore, QuorumEffect, QuorumEvent,
        QuorumMessage, RecoveredLog, ReplicaRole,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The figures about tasks that do not run, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitFigures {
    /// The jobs that have waited for long with nothing placed, or for a task that has lost its run.
    pub waiting_jobs: usize,
    /// The placed runs that have been unconfirmed for long.
    pub unconfirmed_runs: usize,
}

/// A member of the control group.
#[derive(Debug)]
pub struct ControlNode {
    settings: ControlSettings,
    core: QuorumCore,
    applied: FlowState,
    /// How the last runs of waiting tasks have ended, for log lines.
    logged_ends: LoggedEnds,
    leader: Option<LeaderState>,
    /// Reads of the configuration that wait until the leadership is confirmed: the ticket of the
    /// confirmation, with the ticket of the operator's call.
    reads: BTreeMap<ReplyTicket, ReplyTicket>,
    last_ticket: ReplyTicket,
    now: Duration,
    last_tick: Duration,
    wall_ms: u64,
    queue: VecDeque<QuorumEvent<QuorumMessage>>,
    effects: Vec<ControlEffect>,
}

impl ControlNode {
    /// Creates a replica from the contents of its disk.
    pub fn new(
        settings: ControlSettings,
        recovered: RecoveredLog,
        now: Duration,
        seed: u64,
    ) -> Result<Self, CoreError> {
        let core = QuorumCore::new(settings.quorum.clone(), recovered, now, seed)?;
        Ok(Self {
            settings,
            core,
            applied: FlowState::default(),
            logged_ends: LoggedEnds::default(),
            leader: None,
            reads: BTreeMap::new(),
            last_ticket: ReplyTicket(0),
            now,
            last_tick: now,
            wall_ms: 0,
            queue: VecDeque::new(),
            effects: Vec::new(),
        })
    }

    /// Returns the applied state.
    pub fn applied(&self) -> &FlowState {
        &self.applied
    }

    /// Returns whether this replica leads.
    pub fn is_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Returns this replica's id.
    pub fn replica(&self) -> ReplicaId {
        self.core.replica()
    }

    /// Returns how long no leader has reached this replica, unless it may start elections itself.
    pub fn unreached_for(&self) -> Option<Duration> {
        self.core.unreached_for()
    }

    /// Returns the address on which the leader listens, if it is known.
    pub fn leader_address(&self) -> Option<PeerAddress> {
        let leader = self.core.leader()?;
        let members = self.core.members();
        let found = members.iter().find(|progress| progress.member.replica == leader)?;
        Some(found.member.address)
    }

    /// Returns the figures about cordoned data centres.
    pub fn cordon_figures(&self) -> CordonFigures {
        let data_centres = self.applied.cordons().len();
        let leader = self.leader.as_ref();
        leader
            .map(|leader| leader.cordon_figures(data_centres))
            .unwrap_or(CordonFigures { data_centres, ..CordonFigures::default() })
    }

    /// Returns the figures about tasks that do not run; 0 while this replica does not lead.
    pub fn wait_figures(&self) -> WaitFigures {
        let figures = self.leader.as_ref().map(|leader| WaitFigures {
            waiting_jobs: leader.waiting.jobs,
            unconfirmed_runs: leader.unconfirmed.runs,
        });
        figures.unwrap_or_default()
    }

    fn record(&mut self, event: FlowEvent) {
        self.effects.push(ControlEffect::Record(event));
    }

    fn next_ticket(&mut self) -> ReplyTicket {
        self.last_ticket = self.last_ticket.next();
        self.last_ticket
    }

    /// Passes the time to the log before any decision, at most once in half a heartbeat: after a
    /// pause of the process, its leadership may have ended long ago.
    fn tick_if_due(&mut self) {
        if self.now.saturating_sub(self.last_tick) >= self.settings.quorum.heartbeat / 2 {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.last_tick = self.now;
        self.queue.push_back(QuorumEvent::Tick);
        self.drain_queue();
    }

    fn drain_queue(&mut self) {
        while let Some(event) = self.queue.pop_front() {
            for effect in self.core.reduce(self.now, event) {
                self.handle_effect(effect);
            }
        }
    }

    fn handle_effect(&mut self, effect: QuorumEffect<QuorumMessage>) {
        match effect {
            QuorumEffect::Send { to, address, message } => {
                let from = self.core.replica();
                self.effects.push(ControlEffect::SendPeer { from, to, address, message });
            }
            QuorumEffect::Persist(batch) => self.effects.push(ControlEffect::Persist(batch)),
            QuorumEffect::InstallSnapshot(snapshot) => {
                let state = FlowState::from_snapshot(&snapshot.data);
                self.replace_state(state);
            }
            QuorumEffect::Apply(entry) => self.apply(&entry),
            QuorumEffect::Committed { ticket, .. } => self.release(ticket),
            QuorumEffect::ReadConfirmed { ticket } => self.finish_read(ticket, true),
            QuorumEffect::Rejected { ticket, error } => self.reject(ticket, &error),
            QuorumEffect::RoleChanged { role, term, .. } => match role {
                ReplicaRole::Leader => self.start_leadership(term.0),
                ReplicaRole::Follower | ReplicaRole::Candidate => self.end_leadership(),
            },
            QuorumEffect::TakeSnapshot => {
                let (index, data) = (self.core.applied(), self.applied.to_snapshot());
                self.queue.push_back(QuorumEvent::SnapshotTaken { index, data });
            }
        }
    }

    fn replace_state(&mut self, state: Result<FlowState, StateError>) {
        match state {
            Ok(state) => {
                self.applied = state;
                self.logged_ends = LoggedEnds::default();
            }
            Err(error) => self.effects.push(ControlEffect::Halt(error)),
        }
    }

    fn apply(&mut self, entry: &LogEntry) {
        let EntryPayload::Data(data) = &entry.payload else { return };
        match CommandBatch::from_bytes(data) {
            Ok(batch) => {
                let outcomes = self.applied.apply(&batch);
                self.logged_ends.note_applied(&batch, &outcomes, &self.applied);
            }
            Err(error) => self.effects.push(ControlEffect::Halt(error)),
        }
    }

    fn reject(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        if self.reads.contains_key(&ticket) {
            self.finish_read(ticket, false);
            return;
        }
        self.drop_proposal(ticket, error);
    }
}

impl EventReducer for ControlNode {
    type Event = ControlEvent;
    type Effect = ControlEffect;

    fn reduce(&mut self, now: Duration, event: ControlEvent) -> Vec<ControlEffect> {
        self.now = self.now.max(now);
        self.tick_if_due();
        match event {
            ControlEvent::Tick { wall_ms } => {
                self.wall_ms = wall_ms;
                self.run_periodic_checks();
            }
            ControlEvent::Persisted { number } => {
                self.queue.push_back(QuorumEvent::Persisted { number });
            }
            ControlEvent::PersistFailed { number } => {
                self.queue.push_back(QuorumEvent::PersistFailed { number });
            }
            ControlEvent::Message { session, message } => self.handle_message(session, message),
            ControlEvent::Closed { session } => self.close_session(session),
            ControlEvent::Configure { ticket, config } => self.handle_config(ticket, config),
            ControlEvent::ReadConfig { ticket } => self.read_config(ticket),
            ControlEvent::Cordon { ticket, data_centre } => self.handle_cordon(ticket, data_centre),
            ControlEvent::LiftCordon { ticket, data_centre } => {
                self.handle_lift(ticket, data_centre);
            }
            ControlEvent::Settle => self.settle(),
        }
        self.settle_if_full();
        self.drain_queue();
        std::mem::take(&mut self.effects)
    }
}
