//! The model of the fleet.

mod learn;
pub(crate) mod reservations;
mod spread;

use {
    crate::{
        blame::{AttemptRecord, BlameBook},
        classes::ClassIndexer,
        correction::CorrectionBook,
        held::HeldTable,
        interface::{
            AttemptEnd, HeldTask, SchedDecision, SchedPolicy, TeamQuota, WaitReason, WaitingTask,
            WorkerSample, WorkerView,
        },
        interference::{BaselineTable, LoadMeter, PairTable},
        proposals::{ClaimTable, ProposalTable},
        queue::WaitQueue,
        quota::QuotaBook,
        workers::WorkerBook,
    },
    base::{AttemptNumber, JobId, SeededRandom, ServiceName, TaskId, TeamName, WorkerId},
    indexmap::{IndexMap, IndexSet},
    spread::SpreadBook,
    std::time::Duration,
};

/// How long the number of a service's workers is taken to stay the same.
const HOST_COUNT_PERIOD: Duration = Duration::from_secs(1);

/// Everything that placement decides from. The caller reports what is committed and what was
/// measured; [`FleetModel::decide`] says what should be done.
#[derive(Debug)]
pub struct FleetModel {
    pub(crate) policy: SchedPolicy,
    service_policies: IndexMap<ServiceName, SchedPolicy>,
    pub(crate) random: SeededRandom,
    pub(crate) classes: ClassIndexer,
    pub(crate) workers: WorkerBook,
    pub(crate) held: HeldTable,
    pub(crate) queue: WaitQueue,
    pub(crate) proposals: ProposalTable,
    pub(crate) claims: ClaimTable,
    pub(crate) quotas: QuotaBook,
    pub(crate) spread: SpreadBook,
    pub(crate) corrections: CorrectionBook,
    pub(crate) blame: BlameBook,
    pub(crate) pairs: PairTable,
    pub(crate) baselines: BaselineTable,
    pub(crate) loads: LoadMeter,
    /// Workers on which something has changed, or on which tasks are throttled.
    pub(crate) watched: IndexSet<WorkerId>,
    /// The number of workers on which each service runs.
    pub(crate) service_hosts: IndexMap<ServiceName, u32>,
    count_hosts_at: Duration,
    /// The number of times that room has been freed.
    pub(crate) releases: u64,
    /// Tasks whose eviction has been proposed and not yet committed.
    pub(crate) evicting: IndexSet<TaskId>,
    /// Tasks that wait again before their last reservation is released.
    returning: IndexMap<TaskId, WaitingTask>,
    clock: Duration,
}

impl FleetModel {
    /// A model of an empty fleet. `seed` breaks ties.
    pub fn new(policy: SchedPolicy, seed: u64) -> Self {
        Self {
            pairs: PairTable::new(policy.retry_pairing_after),
            policy,
            service_policies: IndexMap::new(),
            random: SeededRandom::new(seed),
            classes: ClassIndexer::default(),
            workers: WorkerBook::default(),
            held: HeldTable::new(),
            queue: WaitQueue::default(),
            proposals: ProposalTable::new(),
            claims: ClaimTable::default(),
            quotas: QuotaBook::default(),
            spread: SpreadBook::default(),
            corrections: CorrectionBook::default(),
            blame: BlameBook::default(),
            baselines: BaselineTable::default(),
            loads: LoadMeter::default(),
            watched: IndexSet::new(),
            service_hosts: IndexMap::new(),
            count_hosts_at: Duration::ZERO,
            releases: 0,
            evicting: IndexSet::new(),
            returning: IndexMap::new(),
            clock: Duration::ZERO,
        }
    }

    /// Replaces the declared values.
    pub fn set_policy(&mut self, policy: SchedPolicy) {
        self.pairs.set_remember(policy.retry_pairing_after);
        self.policy = policy;
        self.queue.retry_all();
    }

    /// Replaces the declared values that hold for single services instead of the fleet's: their
    /// weight of tail latency and the slowdown above which they are relieved.
    pub fn set_service_policies(&mut self, policies: Vec<(ServiceName, SchedPolicy)>) {
        self.service_policies = policies.into_iter().collect();
        self.queue.retry_all();
    }

    /// The declared values for a service.
    pub(crate) fn policy_of(&self, service: &ServiceName) -> &SchedPolicy {
        self.service_policies.get(service).unwrap_or(&self.policy)
    }

    /// Replaces the quotas of all teams. A team without quota may use what others leave.
    pub fn set_quotas(&mut self, quotas: Vec<(TeamName, TeamQuota)>) {
        self.quotas.set_quotas(quotas);
        self.queue.retry_all();
    }

    /// Adds or changes a worker.
    pub fn set_worker(&mut self, worker: WorkerView) {
        self.watched.insert(worker.worker.clone());
        self.workers.set(worker);
        self.queue.retry_all();
    }

    /// Forgets a worker that holds no task.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.drop_proposals_on(worker);
        self.watched.swap_remove(worker);
        self.workers.remove(self.clock, worker);
        self.blame.remove_worker(worker);
    }

    /// Adds or replaces a task that waits for a place.
    pub fn enqueue(&mut self, now: Duration, task: WaitingTask) {
        self.clock = now;
        self.withdraw(&task.task);
        if self.held.contains_key(&task.task) {
            self.returning.insert(task.task.clone(), task);
            return;
        }
        self.queue.push(now, task);
    }

    /// Forgets a waiting task.
    pub fn withdraw(&mut self, task: &TaskId) {
        self.drop_proposal(task);
        self.claims.remove(task);
        self.returning.swap_remove(task);
        self.queue.take(task);
    }

    /// Notes a committed reservation, or that it is stopping. The task waits no longer.
    pub fn hold(&mut self, now: Duration, held: HeldTask) {
        self.clock = now;
        self.withdraw(&held.waiting.task);
        self.reserve(now, held);
    }

    /// Frees a reservation, because the stop is confirmed or the lease has expired.
    pub fn release(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber) {
        self.clock = now;
        if self.held.get(task).is_none_or(|entry| entry.task.attempt != attempt) {
            return;
        }
        self.unreserve(now, task);
        if let Some(waiting) = self.returning.swap_remove(task) {
            self.queue.push(now, waiting);
        }
    }

    /// Notes a throttle that is in force, for a model that did not decide it itself.
    pub fn throttled(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber, percent: u8) {
        self.set_throttle(now, task, attempt, percent);
    }

    /// Notes a worker that is held back, for a model that did not decide it itself.
    pub fn quarantined(&mut self, now: Duration, worker: &WorkerId) {
        self.clock = now;
        self.blame.note_quarantined(now, worker);
    }

    /// Learns how an attempt ended. Comes before [`FleetModel::release`].
    pub fn outcome(
        &mut self,
        now: Duration,
        task: &TaskId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        self.clock = now;
        let Some(entry) = self.held.get(task).filter(|entry| entry.task.attempt == attempt) else {
            return;
        };
        let worker = &entry.task.worker;
        let record = AttemptRecord { task, worker };
        match end {
            AttemptEnd::Finished => {
                let whole = entry.task.waiting.checkpoint.is_none() && entry.throttle == 100;
                let ran = whole.then(|| now.saturating_sub(entry.since));
                self.corrections.learn_finish(&entry.task.waiting, &entry.peak, ran);
                self.blame.finished(record);
            }
            AttemptEnd::Failed => {
                let workers = self.workers.accepting_count();
                self.blame.failed(now, record, &self.policy, workers);
            }
            AttemptEnd::Refused => self.blame.refused(now, worker),
            AttemptEnd::Stopped => {}
        }
    }

    /// Learns from a measurement, which may be late.
    pub fn sample(&mut self, now: Duration, sample: &WorkerSample) {
        self.clock = now;
        self.learn(now, sample);
    }

    /// Lets a parked job be tried again.
    pub fn unpark(&mut self, job: &JobId) {
        self.blame.unpark(job);
        self.queue.retry_all();
    }

    /// Decides what should be done now. Decisions that are not committed are made again later.
    pub fn decide(&mut self, now: Duration) -> Vec<SchedDecision> {
        self.clock = now;
        self.expire_proposals(now);
        self.expire_evictions(now);
        self.claims.expire(now);
        self.count_service_hosts(now);
        let mut decisions = self.relieve_workers(now);
        self.place_waiting(now, &mut decisions);
        decisions.extend(self.blame.take_decisions());
        decisions
    }

    fn count_service_hosts(&mut self, now: Duration) {
        if now < self.count_hosts_at {
            return;
        }
        self.count_hosts_at = now + HOST_COUNT_PERIOD;
        self.service_hosts.clear();
        for service in self.workers.iter().flat_map(|state| &state.services) {
            match self.service_hosts.get_mut(&service.service) {
                Some(hosts) => *hosts += 1,
                None => {
                    self.service_hosts.insert(service.service.clone(), 1);
                }
            }
        }
    }

    /// The task as it waits, also while its placement is proposed.
    pub fn waiting(&self, task: &TaskId) -> Option<&WaitingTask> {
        let proposed = self.proposals.get(task).map(|proposal| &proposal.queued.waiting);
        proposed.or_else(|| self.queue.get(task))
    }

    /// Why a task waits, as of the last decision.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        self.queue.group_of(task).and_then(|group| group.reason.clone())
    }
}
