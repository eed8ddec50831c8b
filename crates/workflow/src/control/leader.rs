//! The state that only a leader keeps, in memory alone.

use {
    super::{
        cordons::CordonWatch,
        crashes::CrashWatch,
        durations::DURATIONS_LOG_INTERVAL,
        endings::EndingTable,
        interference::STORE_LEARNED_INTERVAL,
        members::IdRequest,
        relocation::RelocationState,
        types::{ControlEffect, OperatorAnswer, SessionId},
        unconfirmed::UnconfirmedRuns,
        unstarted::UnstartedJobs,
        waiting::WaitWatch,
        ControlNode,
    },
    crate::{
        event::FlowEvent,
        job::{JobKey, RunNumber, StepKey, TaskKey, WorkerIncarnation},
        message::{CallerAnswer, LinkMessage},
        plan::{
            AdmissionTable, DurationTable, InterferenceTable, Placement, PlacementPlanner,
            SuspectTable, WorkerTable,
        },
        state::{EndKind, FlowCommand, FlowState, JobRecord, Submission, TaskPhase},
    },
    base::{PeerAddress, ReplicaId, ReplyTicket},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Size at which an entry takes no more events, in bytes. Together with the largest event, it stays
/// below the limit of a frame between two members.
const ENTRY_CONTENT_BYTES: usize = 1024 * 1024;

/// Commands that wait for the next entry of the log, and the effects that follow its commit.
#[derive(Debug, Default)]
pub(super) struct PendingBatch {
    pub(super) commands: Vec<FlowCommand>,
    pub(super) deferred: Vec<ControlEffect>,
    /// The runs that the commands count as failed. The members of a gang share theirs.
    pub(super) failed_runs: BTreeSet<(StepKey, RunNumber)>,
    /// The runs that the commands end.
    ended_runs: HashSet<(TaskKey, RunNumber)>,
    /// The runs that the commands move to a later incarnation of their executor.
    adopted_runs: HashMap<(TaskKey, RunNumber), WorkerIncarnation>,
    /// Size of what the commands hold, in bytes.
    content_bytes: usize,
}

impl PendingBatch {
    pub(super) fn new(commands: Vec<FlowCommand>) -> Self {
        let mut batch = Self::default();
        commands.into_iter().for_each(|command| batch.add(command, Vec::new()));
        batch
    }

    /// Adds a command, and the effects that follow its commit.
    pub(super) fn add(&mut self, command: FlowCommand, deferred: Vec<ControlEffect>) {
        self.content_bytes += command.content_bytes();
        match &command {
            FlowCommand::End { task, run, .. } => {
                self.ended_runs.insert((*task, *run));
            }
            FlowCommand::Adopt { task, run, worker } => {
                self.adopted_runs.insert((*task, *run), worker.clone());
            }
            _ => {}
        }
        self.commands.push(command);
        self.deferred.extend(deferred);
    }

    /// Returns whether the batch is large enough for an entry of its own.
    pub(super) fn is_full(&self) -> bool {
        self.content_bytes >= ENTRY_CONTENT_BYTES
    }

    fn submissions(&self) -> impl Iterator<Item = &Submission> {
        self.commands.iter().filter_map(|command| match command {
            FlowCommand::Submit(submission) => Some(submission),
            _ => None,
        })
    }

    /// Returns the batch's submission of a job.
    fn submission_of(&self, key: JobKey) -> Option<&Submission> {
        self.submissions().find(|submission| submission.job == key)
    }

    /// Returns whether the batch ends a run.
    pub(super) fn ends(&self, ended: &TaskKey, number: RunNumber) -> bool {
        self.ended_runs.contains(&(*ended, number))
    }

    /// Returns the last run of a task that the batch places.
    pub(super) fn last_run(&self, placed: &TaskKey) -> Option<RunNumber> {
        let runs = self.commands.iter().filter_map(|command| match command {
            FlowCommand::Place { task, run, .. } if task == placed => Some(*run),
            _ => None,
        });
        runs.max()
    }
}

/// What a leader knows of the submission of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobSubmission {
    /// Nothing, or the job has ended and is forgotten.
    Unknown,
    /// The job was submitted.
    Submitted,
    /// The job was cancelled before it was submitted, and is not accepted any more.
    Withdrawn,
}

impl JobSubmission {
    /// Returns what the record of a job says.
    pub(super) fn of(job: &JobRecord) -> Self {
        if job.is_withdrawn() {
            Self::Withdrawn
        } else {
            Self::Submitted
        }
    }
}

/// The last report of an agent about a run.
#[derive(Debug, Clone)]
pub(super) struct RunProgress {
    pub(super) run: RunNumber,
    pub(super) checkpoint: String,
    /// The progress, or 100 for a lasting run while it works.
    pub(super) percent: u8,
    /// Whether a report has shown that the run has begun.
    pub(super) confirmed: bool,
    /// The time of the report.
    pub(super) listed_at: Duration,
}

/// The state of a leader outside the log. A new leader rebuilds it from agents' reports and starts
/// with the interference that the log holds.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term: u64,
    pub(super) leading_since: Duration,
    /// The time up to which the clock of the speculative state counts this leadership.
    pub(super) counted_until: Duration,
    /// What the next proposal adds to the log's clock, in milliseconds.
    pub(super) unproposed_ms: u64,
    /// The speculative state: the applied state plus all proposed entries.
    pub(super) speculative: FlowState,
    pub(super) pending: PendingBatch,
    /// Effects that wait for the commit of their entry.
    pub(super) in_flight: BTreeMap<ReplyTicket, Vec<ControlEffect>>,
    /// Whether a change since the last pass may let a task start.
    pub(super) replan: bool,
    pub(super) planner: PlacementPlanner,
    pub(super) workers: WorkerTable,
    pub(super) learned: InterferenceTable,
    /// The tasks that may have crashed an executor.
    pub(super) suspects: SuspectTable,
    /// The observed run times.
    pub(super) durations: DurationTable,
    /// The time of the next log lines about observed run times.
    pub(super) report_durations_at: Duration,
    /// The executors that may have crashed.
    pub(super) crashes: CrashWatch,
    /// The cordoned data centres.
    pub(super) cordons: CordonWatch,
    /// The load of each service, by which submissions are admitted.
    pub(super) admission: AdmissionTable,
    /// The jobs of which no run is known to have begun.
    pub(super) unstarted: UnstartedJobs,
    /// Who has stopped which run, and how runs have ended.
    pub(super) endings: EndingTable,
    /// The tasks that wait, and the placed runs that nobody confirms.
    pub(super) waiting: WaitWatch,
    pub(super) unconfirmed: UnconfirmedRuns,
    /// The time at which learned interference goes into the log next.
    pub(super) store_learned_at: Duration,
    /// The stream to the agent of each executor.
    pub(super) sessions: HashMap<Arc<str>, SessionId>,
    /// The incarnation that the agent on a stream represents.
    pub(super) agents: HashMap<SessionId, WorkerIncarnation>,
    /// The latest time at which the lease of each incarnation ends.
    pub(super) leases: HashMap<WorkerIncarnation, Duration>,
    /// The run and the time of the last start order for each task.
    pub(super) ordered: HashMap<TaskKey, (RunNumber, Duration)>,
    pub(super) progress: HashMap<TaskKey, RunProgress>,
    /// The time at which a best-effort task was last evicted from each executor to protect
    /// latency-critical tasks.
    pub(super) last_evictions: HashMap<Arc<str>, Duration>,
    /// The time from which a run may be moved from each executor that has too little capacity.
    pub(super) relief_due: HashMap<Arc<str>, Duration>,
    /// The moves of latency-critical runs that make room for best-effort work.
    pub(super) relocations: RelocationState,
    /// The run and the time of the last stop order for each task.
    pub(super) stopping: HashMap<TaskKey, (RunNumber, Duration)>,
    /// Listed runs that no leader has ordered, which were logged.
    pub(super) unordered: BTreeSet<(TaskKey, RunNumber)>,
    /// Streams of entries and agents that have presented themselves, which are notified of changes
    /// of the membership and of the end of the leadership.
    pub(super) clients: BTreeSet<SessionId>,
    /// The sorted addresses of the members of which `clients` were last told.
    pub(super) announced: Vec<PeerAddress>,
    /// The time of the next membership check.
    pub(super) members_check_at: Duration,
    /// The time since which each silent member has not answered.
    pub(super) silent: BTreeMap<ReplicaId, Duration>,
    /// The requests about replica ids: by the ticket of the addition, or of the confirmation of the
    /// leadership.
    pub(super) id_requests: BTreeMap<ReplyTicket, IdRequest>,
}

impl LeaderState {
    /// Returns what is in the log, proposed, or collected for the next proposal of a job.
    pub(super) fn submission_of(&self, key: JobKey) -> JobSubmission {
        if let Some(job) = self.speculative.job(key) {
            return JobSubmission::of(job);
        }
        match self.pending.submission_of(key) {
            None => JobSubmission::Unknown,
            Some(submission) if submission.is_withdrawn() => JobSubmission::Withdrawn,
            Some(_) => JobSubmission::Submitted,
        }
    }

    /// Returns the number of tasks of all jobs, with those that are collected for the next proposal.
    pub(super) fn task_count(&self) -> u64 {
        let collected = self.pending.submissions().map(|submission| submission.spec.task_count());
        self.speculative.task_count() + collected.sum::<u64>()
    }

    /// Returns the number of withdrawn jobs, with those that are collected for the next proposal.
    pub(super) fn withdrawn_jobs(&self) -> usize {
        let collected = self.pending.submissions().filter(|submission| submission.is_withdrawn());
        self.speculative.withdrawn_jobs() + collected.count()
    }

    /// Withholds an effect until everything that was collected or proposed so far is committed.
    pub(super) fn defer(&mut self, effect: ControlEffect) {
        let last = self.in_flight.values_mut().next_back();
        let deferred = match last {
            Some(deferred) if self.pending.commands.is_empty() => deferred,
            _ => &mut self.pending.deferred,
        };
        deferred.push(effect);
    }

    /// Returns the incarnation that the agent on a stream represents, unless the agent has moved to
    /// a newer stream.
    pub(super) fn represented_worker(&self, session: SessionId) -> Option<&WorkerIncarnation> {
        let worker = self.agents.get(&session)?;
        (self.sessions.get(&worker.executor) == Some(&session)).then_some(worker)
    }

    /// Returns the incarnation on which a run is placed once the pending commands are applied, if it
    /// has not ended in the speculative state.
    pub(super) fn incarnation_of(
        &self,
        task: &TaskKey,
        run: RunNumber,
    ) -> Option<&WorkerIncarnation> {
        let record = self.speculative.task(task).filter(|record| record.run == run)?;
        let TaskPhase::Placed(worker) = &record.phase else { return None };
        Some(self.pending.adopted_runs.get(&(*task, run)).unwrap_or(worker))
    }

    /// Returns whether an incarnation has reported that it drains.
    pub(super) fn is_draining(&self, worker: &WorkerIncarnation) -> bool {
        let view = self.workers.get(&worker.executor);
        view.filter(|view| view.incarnation() == worker)
            .is_some_and(|view| view.report.drain_left_ms.is_some())
    }

    /// Returns whether an incarnation is known and does not drain.
    pub(super) fn is_working(&self, worker: &WorkerIncarnation) -> bool {
        let view = self.workers.get(&worker.executor);
        view.filter(|view| view.incarnation() == worker)
            .is_some_and(|view| view.report.drain_left_ms.is_none())
    }

    /// Forgets what is known of a run that has ended, unless the task has a later run. Returns
    /// whether anything was.
    pub(super) fn forget_run(&mut self, task: &TaskKey, run: RunNumber, end: EndKind) -> bool {
        if self.speculative.task(task).is_some_and(|record| record.run != run) {
            return false;
        }
        self.suspects.forget_run(task, end == EndKind::Done);
        self.stopping.remove(task);
        let (ordered, progress) = (self.ordered.remove(task), self.progress.remove(task));
        ordered.is_some() || progress.is_some()
    }

    /// Returns the placements on an incarnation.
    pub(super) fn placements_on(&self, worker: &WorkerIncarnation) -> Vec<Placement> {
        let placed = self.speculative.placed_tasks(worker);
        placed.map(|(task, run)| Placement { task, run, worker: worker.clone() }).collect()
    }

    /// Returns the placements on the incarnations of an executor before the present one.
    pub(super) fn placements_before(&self, present: &WorkerIncarnation) -> Vec<Placement> {
        let incarnations = self.speculative.placed_incarnations_of(&present.executor);
        let earlier = incarnations.filter(|worker| worker.is_before(present));
        earlier.flat_map(|worker| self.placements_on(worker)).collect()
    }
}

impl ControlNode {
    /// Starts a leadership from the applied state, which holds every entry of earlier terms.
    pub(super) fn start_leadership(&mut self, term: u64) {
        if self.leader.as_ref().is_some_and(|leader| leader.term == term) {
            return;
        }
        let speculative = self.applied.clone();
        let active_jobs = speculative.active_jobs().count();
        self.record(FlowEvent::LeadTaken { term, active_jobs });
        let retention_ms = self.settings.retention.as_millis() as u64;
        let commands = vec![FlowCommand::RetainFor { retention_ms }];
        let learned = InterferenceTable::from_pairs(self.now, speculative.learned());
        let mut suspects = SuspectTable::new(&speculative, self.now);
        let crashes = CrashWatch::new(&speculative, &mut suspects, self.now);
        let unstarted = UnstartedJobs::new(&speculative);
        let announced = self.member_addresses();
        let cordons = CordonWatch::new(speculative.cordons(), self.now);
        self.leader = Some(LeaderState {
            term,
            leading_since: self.now,
            counted_until: self.now,
            unproposed_ms: 0,
            speculative,
            pending: PendingBatch::new(commands),
            in_flight: BTreeMap::new(),
            replan: true,
            planner: PlacementPlanner::new(self.settings.look_ahead),
            workers: WorkerTable::new(),
            learned,
            suspects,
            durations: DurationTable::default(),
            report_durations_at: self.now + DURATIONS_LOG_INTERVAL,
            crashes,
            cordons,
            admission: AdmissionTable::new(self.now),
            unstarted,
            endings: EndingTable::default(),
            waiting: WaitWatch::new(self.now),
            unconfirmed: UnconfirmedRuns::new(self.now),
            store_learned_at: self.now + STORE_LEARNED_INTERVAL,
            sessions: HashMap::new(),
            agents: HashMap::new(),
            leases: HashMap::new(),
            ordered: HashMap::new(),
            progress: HashMap::new(),
            last_evictions: HashMap::new(),
            relief_due: HashMap::new(),
            relocations: RelocationState::default(),
            stopping: HashMap::new(),
            unordered: BTreeSet::new(),
            clients: BTreeSet::new(),
            announced,
            members_check_at: self.now,
            silent: BTreeMap::new(),
            id_requests: BTreeMap::new(),
        });
    }

    /// Drops everything that depends on the leadership. Notifies waiting callers and operators that
    /// the outcome is unknown, callers whose command was never proposed that nothing was done, and
    /// connected entries and agents that this replica no longer leads.
    pub(super) fn end_leadership(&mut self) {
        let Some(leader) = self.leader.take() else { return };
        let unresolved = leader.in_flight.len();
        self.record(FlowEvent::LeadLost { term: leader.term, unresolved });
        let proposed = leader.in_flight.into_values().flatten();
        let proposed = proposed.map(|effect| (effect, CallerAnswer::Unresolved));
        let pending = leader.pending.deferred.into_iter();
        let pending = pending.map(|effect| (effect, CallerAnswer::NotLeading));
        for (effect, answer) in proposed.chain(pending) {
            self.effects.extend(final_answer(effect, answer));
        }
        for session in leader.clients {
            self.send_welcome(session);
        }
    }
}

/// Returns the answer that replaces a withheld effect at the end of a leadership: `answer` for a
/// caller. `None` if nobody waits for the effect.
fn final_answer(effect: ControlEffect, answer: CallerAnswer) -> Option<ControlEffect> {
    match effect {
        ControlEffect::Answer { ticket, .. } => {
            Some(ControlEffect::Answer { ticket, answer: OperatorAnswer::Unknown })
        }
        ControlEffect::Send { session, message: LinkMessage::Answer { sequence, .. } } => {
            let message = LinkMessage::Answer { sequence, answer };
            Some(ControlEffect::Send { session, message })
        }
        _ => None,
    }
}
