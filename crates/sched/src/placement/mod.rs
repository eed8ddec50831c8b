//! Chooses a worker for each waiting task: among those that meet the hard constraints, the one with
//! the lowest cost in points.

mod aged;
mod fit;
mod own_quota;
mod preempt;
mod score;

use {
    crate::{
        fleet::{bookkeeping::ProposedPlacement, FleetModel},
        interface::{
            ParkReason, PlacementReason, SchedDecision, TaskPriority, WaitReason, WaitingTask,
        },
        queue::GroupNumber,
        quota::QuotaVerdict,
    },
    base::{ClassName, ResourceVector, TeamName},
    std::{collections::VecDeque, time::Duration},
};

/// The largest number of placements that one call proposes.
const PLACEMENTS_PER_CALL: usize = 128;
/// The largest number of searches through all workers in one call.
const SEARCHES_PER_CALL: usize = 160;
/// The pause of a batch group after its first failed placement. Also the pause of any group whose
/// job is backing off, parked or too large for all workers.
const BATCH_RETRY: Duration = Duration::from_millis(250);
/// The largest number of times that the pause of a batch group doubles.
const RETRY_DOUBLINGS: u32 = 3;
/// How long every worker must have been too small for a job before the job is parked.
const NEVER_FITS_GRACE: Duration = Duration::from_secs(30);

/// A task and the size to reserve for it.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    pub(crate) waiting: WaitingTask,
    pub(crate) since: Duration,
    pub(crate) reserve: ResourceVector,
}

/// The limits on what one call may still do.
#[derive(Debug)]
struct CallBudget {
    placements: usize,
    searches: usize,
    evictions: usize,
    eviction_plans: usize,
    /// The plain batch requests for which this call found no worker (see `find_worker`).
    infeasible: Vec<InfeasibleRequest>,
}

impl CallBudget {
    /// Returns why a request can't be placed, when this call found no worker for a smaller or equal
    /// request of the same class, or no capacity for one of any class.
    fn infeasible_reason(&self, request: &PlacementRequest) -> Option<WaitReason> {
        let smaller = self.infeasible.iter().find(|smaller| {
            smaller.class.as_ref().is_none_or(|class| *class == request.waiting.class)
                && smaller.reserve.fits_in(&request.reserve)
        });
        smaller.map(|smaller| smaller.reason.clone())
    }
}

/// A request that could not be placed. Without a class, the reason is a lack of capacity, which
/// does not depend on the class.
#[derive(Debug)]
struct InfeasibleRequest {
    class: Option<ClassName>,
    reserve: ResourceVector,
    reason: WaitReason,
}

/// The groups of one team, in order of arrival.
struct TeamTurn {
    team: TeamName,
    share: f64,
    groups: VecDeque<GroupNumber>,
}

impl FleetModel {
    /// Proposes placements: the most urgent work first, and among teams the one with the smallest
    /// dominant share first.
    pub(crate) fn place_waiting(&mut self, now: Duration, decisions: &mut Vec<SchedDecision>) {
        let mut budget = CallBudget {
            placements: PLACEMENTS_PER_CALL,
            searches: SEARCHES_PER_CALL,
            evictions: preempt::EVICTIONS_PER_CALL,
            eviction_plans: preempt::PLANS_PER_CALL,
            infeasible: Vec::new(),
        };
        for priority in [TaskPriority::Urgent, TaskPriority::LatencyCritical, TaskPriority::Batch] {
            self.place_priority(now, priority, &mut budget, decisions);
        }
    }

    fn place_priority(
        &mut self,
        now: Duration,
        priority: TaskPriority,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) {
        let mut team_turns = self.team_turns(now, priority);
        while budget.placements > 0 && budget.searches > 0 {
            let next = team_turns
                .iter_mut()
                .filter(|turn| !turn.groups.is_empty())
                .min_by(|a, b| a.share.total_cmp(&b.share));
            let Some(turn) = next else {
                return;
            };
            let Some(number) = turn.groups.front().copied() else {
                return;
            };
            if self.place_first(now, number, budget, decisions) {
                budget.placements -= 1;
                turn.share = self.quotas.dominant_share(&turn.team, self.workers.capacity());
                if self.queue.group(number).is_none() {
                    turn.groups.pop_front();
                }
                continue;
            }
            turn.groups.pop_front();
        }
    }

    fn team_turns(&self, now: Duration, priority: TaskPriority) -> Vec<TeamTurn> {
        let capacity = self.workers.capacity();
        let is_due = |number: &GroupNumber| self.queue.is_due(now, *number, self.releases);
        self.queue
            .teams(priority)
            .map(|(team, numbers)| TeamTurn {
                team: team.clone(),
                share: self.quotas.dominant_share(team, capacity),
                groups: numbers.iter().copied().filter(is_due).collect(),
            })
            .collect()
    }

    /// Tries to place the first task of a group, and records the reason when it can't be placed.
    fn place_first(
        &mut self,
        now: Duration,
        number: GroupNumber,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) -> bool {
        let Some((since, waiting)) = self.queue.group(number).and_then(|group| group.first())
        else {
            return false;
        };
        let waiting = waiting.clone();
        let priority = waiting.priority;
        if self.attribution.is_backing_off(now, &waiting.task.job) {
            self.record_failure(number, None, now + BATCH_RETRY);
            return false;
        }
        if self.attribution.is_parked(now, &waiting.task.job) {
            self.record_failure(number, Some(WaitReason::JobParked), now + BATCH_RETRY);
            return false;
        }
        let Some(ceiling) = fit::ceiling(&self.workers, &waiting) else {
            self.handle_oversized_task(now, number, &waiting);
            return false;
        };
        let reserve = self.corrections.reservation_size(&waiting, &ceiling);
        let request = PlacementRequest { waiting, since, reserve };
        match self.place_one(now, &request, budget, decisions) {
            Ok(()) => {
                if let Some(group) = self.queue.group_mut(number) {
                    group.failures = 0;
                }
                true
            }
            Err(reason) => {
                let failures = self.queue.group(number).map_or(0, |group| group.failures);
                let pause = match priority {
                    TaskPriority::Batch => BATCH_RETRY * (1 << failures.min(RETRY_DOUBLINGS)),
                    TaskPriority::LatencyCritical | TaskPriority::Urgent => Duration::ZERO,
                };
                self.record_failure(number, Some(reason), now + pause);
                false
            }
        }
    }

    fn record_failure(
        &mut self,
        number: GroupNumber,
        reason: Option<WaitReason>,
        retry_at: Duration,
    ) {
        if let Some(group) = self.queue.group_mut(number) {
            group.retry_at = retry_at;
            group.tried_at_release = self.releases;
            group.reason = reason;
            group.failures += 1;
            group.never_fits_since = None;
        }
    }

    /// Parks the job only after [`NEVER_FITS_GRACE`], since a worker of the right size may still
    /// come back.
    fn handle_oversized_task(&mut self, now: Duration, number: GroupNumber, waiting: &WaitingTask) {
        let short_of = fit::shortage_of_empty(&self.workers, waiting);
        let Some(group) = self.queue.group_mut(number) else {
            return;
        };
        group.retry_at = now + BATCH_RETRY;
        group.tried_at_release = self.releases;
        if self.workers.len() == 0 {
            group.reason = Some(WaitReason::NoCapacity { short_of });
            return;
        }
        group.reason = Some(WaitReason::NeverFits { short_of });
        let since = *group.never_fits_since.get_or_insert(now);
        if now.saturating_sub(since) >= NEVER_FITS_GRACE {
            self.attribution.park(now, &waiting.task.job, ParkReason::NeverFits { short_of });
        }
    }

    fn place_one(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        budget: &mut CallBudget,
        decisions: &mut Vec<SchedDecision>,
    ) -> Result<(), WaitReason> {
        let team = &request.waiting.team;
        let verdict = self.quotas.check(team, &request.reserve, self.workers.capacity());
        if let QuotaVerdict::Exceeds(short_of) = verdict {
            self.free_own_quota(now, request, budget, decisions);
            return Err(WaitReason::QuotaUsed { short_of });
        }
        match self.find_worker(now, request, budget) {
            Ok(choice) => {
                decisions.push(self.propose_choice(now, request, choice));
                Ok(())
            }
            Err(reason) => {
                let rule = match (request.waiting.priority, verdict) {
                    (TaskPriority::Batch, QuotaVerdict::Within) => preempt::VictimRule::Borrowed,
                    (TaskPriority::Batch, _) => {
                        self.claim_when_aged(now, request, &reason);
                        return Err(reason);
                    }
                    _ => preempt::VictimRule::AnyBatch,
                };
                if matches!(reason, WaitReason::NoCapacity { .. }) {
                    self.free_capacity(now, request, rule, budget, decisions);
                    self.claim_when_aged(now, request, &reason);
                }
                Err(reason)
            }
        }
    }

    /// Chooses a worker. Skips the search for a plain batch task (no claim, and a job without
    /// failures) when a smaller request has just found no worker.
    fn find_worker(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        budget: &mut CallBudget,
    ) -> Result<fit::WorkerChoice, WaitReason> {
        let waiting = &request.waiting;
        let is_plain = waiting.priority == TaskPriority::Batch
            && self.claims.get(&waiting.task).is_none()
            && !self.attribution.has_failed(&waiting.task.job);
        if let Some(reason) = budget.infeasible_reason(request).filter(|_| is_plain) {
            return Err(reason);
        }
        budget.searches = budget.searches.saturating_sub(1);
        let choice = self.choose_worker(now, request);
        if let (true, Err(reason)) = (is_plain && waiting.spread.is_open(), &choice) {
            let any_class = matches!(reason, WaitReason::NoCapacity { .. });
            let class = (!any_class).then(|| waiting.class.clone());
            let (reserve, reason) = (request.reserve, reason.clone());
            budget.infeasible.push(InfeasibleRequest { class, reserve, reason });
        }
        choice
    }

    fn propose_choice(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        choice: fit::WorkerChoice,
    ) -> SchedDecision {
        let task = request.waiting.task.clone();
        if choice.probe {
            self.attribution.start_probe(now, &choice.worker, &task);
        }
        if let Some(queued) = self.queue.take(&task) {
            let (worker, reserve) = (choice.worker.clone(), request.reserve);
            self.propose(now, ProposedPlacement { queued, worker, reserve });
        }
        SchedDecision::Place {
            task,
            worker: choice.worker,
            reserve: request.reserve,
            reason: PlacementReason {
                candidates: choice.candidates,
                cost: choice.score.cost,
                service_slowdown_percent: choice.score.service_slowdown_percent,
                corrected: request.reserve != request.waiting.declared,
            },
        }
    }
}
