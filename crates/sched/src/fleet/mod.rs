//! The model of the fleet, from which all decisions are made.

pub(crate) mod bookkeeping;
mod learn;
mod spread;

use {
    crate::{
        attribution::{AttemptRecord, FailureAttribution},
        classes::ClassIndexer,
        correction::CorrectionTable,
        interface::{
            AttemptEnd, ReservedTask, SchedDecision, SchedPolicy, TeamQuota, WaitReason,
            WaitingTask, WorkerSample, WorkerView,
        },
        interference::{BaselineTable, LoadMeter, PairTable},
        proposals::{ClaimTable, ProposalTable},
        queue::WaitQueue,
        quota::QuotaTable,
        reservations::ReservationTable,
        workers::WorkerTable,
    },
    base::{AttemptNumber, JobId, SeededRandom, ServiceName, TaskId, TeamName, WorkerId},
    indexmap::{IndexMap, IndexSet},
    spread::SpreadTable,
    std::time::Duration,
};

/// How often the number of workers of each service is counted.
const HOST_COUNT_PERIOD: Duration = Duration::from_secs(1);

/// The state behind all scheduling decisions. The caller reports commits and measurements;
/// [`FleetModel::decide`] returns the decisions.
#[derive(Debug)]
pub struct FleetModel {
    pub(crate) policy: SchedPolicy,
    service_policies: IndexMap<ServiceName, SchedPolicy>,
    pub(crate) random: SeededRandom,
    pub(crate) classes: ClassIndexer,
    pub(crate) workers: WorkerTable,
    pub(crate) reservations: ReservationTable,
    pub(crate) queue: WaitQueue,
    pub(crate) proposals: ProposalTable,
    pub(crate) claims: ClaimTable,
    pub(crate) quotas: QuotaTable,
    pub(crate) spread: SpreadTable,
    pub(crate) corrections: CorrectionTable,
    pub(crate) attribution: FailureAttribution,
    pub(crate) pairs: PairTable,
    pub(crate) baselines: BaselineTable,
    pub(crate) loads: LoadMeter,
    /// The workers to check in the next decisions: those on which something has changed, a service
    /// is too slow, tasks are throttled or a drain is unfinished.
    pub(crate) watched: IndexSet<WorkerId>,
    /// The number of workers on which each service runs.
    pub(crate) service_hosts: IndexMap<ServiceName, u32>,
    count_hosts_at: Duration,
    /// The number of times that a reservation or a proposal has been removed, which may have
    /// released capacity.
    pub(crate) releases: u64,
    /// The tasks whose eviction has been proposed and not yet committed.
    pub(crate) evicting: IndexSet<TaskId>,
    /// The tasks that were queued again before their last reservation was released.
    awaiting_release: IndexMap<TaskId, WaitingTask>,
    clock: Duration,
}

impl FleetModel {
    /// Creates a model of an empty fleet. `seed` determines where searches through workers and
    /// samples start.
    pub fn new(policy: SchedPolicy, seed: u64) -> Self {
        Self {
            pairs: PairTable::new(policy.retry_pairing_after),
            policy,
            service_policies: IndexMap::new(),
            random: SeededRandom::new(seed),
            classes: ClassIndexer::default(),
            workers: WorkerTable::default(),
            reservations: ReservationTable::new(),
            queue: WaitQueue::default(),
            proposals: ProposalTable::new(),
            claims: ClaimTable::default(),
            quotas: QuotaTable::default(),
            spread: SpreadTable::default(),
            corrections: CorrectionTable::default(),
            attribution: FailureAttribution::default(),
            baselines: BaselineTable::default(),
            loads: LoadMeter::default(),
            watched: IndexSet::new(),
            service_hosts: IndexMap::new(),
            count_hosts_at: Duration::ZERO,
            releases: 0,
            evicting: IndexSet::new(),
            awaiting_release: IndexMap::new(),
            clock: Duration::ZERO,
        }
    }

    /// Replaces the declared parameters.
    pub fn set_policy(&mut self, policy: SchedPolicy) {
        self.pairs.set_retention(policy.retry_pairing_after);
        self.policy = policy;
        self.queue.retry_all();
    }

    /// Replaces the parameters of single services, which override those of the fleet: their weight
    /// of tail latency and the slowdown above which batch tasks are throttled or evicted.
    pub fn set_service_policies(&mut self, policies: Vec<(ServiceName, SchedPolicy)>) {
        self.service_policies = policies.into_iter().collect();
        self.queue.retry_all();
    }

    /// Returns the parameters for a service.
    pub(crate) fn policy_of(&self, service: &ServiceName) -> &SchedPolicy {
        self.service_policies.get(service).unwrap_or(&self.policy)
    }

    /// Replaces the quotas of all teams. A team without a quota may use what others leave unused.
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

    /// Removes a worker, whose reservations must have been released.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.drop_proposals_on(worker);
        self.watched.swap_remove(worker);
        self.workers.remove(self.clock, worker);
        self.attribution.remove_worker(worker);
    }

    /// Adds or replaces a task that waits to be placed.
    pub fn enqueue(&mut self, now: Duration, task: WaitingTask) {
        self.clock = now;
        self.withdraw(&task.task);
        if self.reservations.contains_key(&task.task) {
            self.awaiting_release.insert(task.task.clone(), task);
            return;
        }
        self.queue.push(now, task);
    }

    /// Removes a waiting task.
    pub fn withdraw(&mut self, task: &TaskId) {
        self.drop_proposal(task);
        self.claims.remove(task);
        self.awaiting_release.swap_remove(task);
        self.queue.take(task);
    }

    /// Records a committed reservation, or that its task is stopping. The task no longer waits.
    pub fn record_reservation(&mut self, now: Duration, reservation: ReservedTask) {
        self.clock = now;
        self.withdraw(&reservation.waiting.task);
        self.reserve(now, reservation);
    }

    /// Releases a reservation, because the stop is confirmed or the lease has expired.
    pub fn release(&mut self, now: Duration, task: &TaskId, attempt: AttemptNumber) {
        self.clock = now;
        if self.reservations.get(task).is_none_or(|entry| entry.task.attempt != attempt) {
            return;
        }
        self.unreserve(now, task);
        if let Some(waiting) = self.awaiting_release.swap_remove(task) {
            self.queue.push(now, waiting);
        }
    }

    /// Records a throttle in force that another model, such as that of an earlier leader, decided.
    pub fn restore_throttle(
        &mut self,
        now: Duration,
        task: &TaskId,
        attempt: AttemptNumber,
        percent: u8,
    ) {
        self.set_throttle(now, task, attempt, percent);
    }

    /// Records a quarantine that another model, such as that of an earlier leader, decided.
    pub fn restore_quarantine(&mut self, now: Duration, worker: &WorkerId) {
        self.clock = now;
        self.attribution.record_quarantine(now, worker);
    }

    /// Records how an attempt ended. Must be called before [`FleetModel::release`].
    pub fn record_outcome(
        &mut self,
        now: Duration,
        task: &TaskId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        self.clock = now;
        let Some(entry) = self.reservations.get(task).filter(|entry| entry.task.attempt == attempt)
        else {
            return;
        };
        let worker = &entry.task.worker;
        let record = AttemptRecord { task, worker };
        match end {
            AttemptEnd::Finished => {
                let whole = entry.task.waiting.checkpoint.is_none() && entry.throttle == 100;
                let ran = whole.then(|| now.saturating_sub(entry.since));
                self.corrections.learn_finish(&entry.task.waiting, &entry.peak, ran);
                self.attribution.record_success(record);
            }
            AttemptEnd::Failed => {
                let workers = self.workers.accepting_count();
                self.attribution.record_failure(now, record, &self.policy, workers);
            }
            AttemptEnd::Refused => self.attribution.record_refusal(now, worker),
            AttemptEnd::Stopped => {}
        }
    }

    /// Learns from a measurement, which may arrive late.
    pub fn record_sample(&mut self, now: Duration, sample: &WorkerSample) {
        self.clock = now;
        self.learn(now, sample);
    }

    /// Lets a parked job be placed again.
    pub fn unpark(&mut self, job: &JobId) {
        self.attribution.unpark(job);
        self.queue.retry_all();
    }

    /// Returns the decisions for now. Decisions that are not committed are made again later.
    pub fn decide(&mut self, now: Duration) -> Vec<SchedDecision> {
        self.clock = now;
        self.expire_proposals(now);
        self.expire_evictions(now);
        self.claims.expire(now);
        self.count_service_hosts(now);
        let mut decisions = self.mitigate_workers(now);
        self.place_waiting(now, &mut decisions);
        decisions.extend(self.attribution.take_decisions());
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

    /// Returns a waiting task, also while its placement is proposed.
    pub fn waiting(&self, task: &TaskId) -> Option<&WaitingTask> {
        let proposed = self.proposals.get(task).map(|proposal| &proposal.queued.waiting);
        proposed.or_else(|| self.queue.get(task))
    }

    /// Returns why a task was not placed at the last attempt.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        self.queue.group_of(task).and_then(|group| group.reason.clone())
    }
}
