//! Checks the hard constraints and finds the cheapest worker that meets them.

use {
    super::{
        score::{ClassPlan, PlacementScore},
        PlacementRequest,
    },
    crate::{
        attribution::WorkerEligibility,
        fleet::FleetModel,
        interface::{TaskPriority, WaitReason, WaitingTask},
        workers::{WorkerState, WorkerTable},
    },
    base::{ResourceKind, ResourceVector, WorkerId},
    std::time::Duration,
};

/// The number of workers meeting the hard constraints after which the search ends. The search
/// starts at a random worker, so that the compared workers are a fair sample.
const CANDIDATE_LIMIT: u32 = 32;

/// The chosen worker.
#[derive(Debug)]
pub(super) struct WorkerChoice {
    pub(super) worker: WorkerId,
    pub(super) candidates: u32,
    pub(super) score: PlacementScore,
    pub(super) probe: bool,
}

/// How many workers were rejected, by reason. Workers that do not accept tasks or are not eligible
/// are not counted.
#[derive(Debug, Default)]
struct RejectionCounts {
    cpu: u32,
    memory: u32,
    accelerators: u32,
    spread: u32,
    interference: u32,
}

impl RejectionCounts {
    fn count_shortage(&mut self, kind: ResourceKind) {
        match kind {
            ResourceKind::Cpu => self.cpu += 1,
            ResourceKind::Memory => self.memory += 1,
            ResourceKind::Accelerators => self.accelerators += 1,
        }
    }

    fn reason(&self) -> WaitReason {
        if self.interference > 0 {
            return WaitReason::Interference;
        }
        if self.spread > 0 {
            return WaitReason::Spread;
        }
        let short_of = if self.accelerators > self.cpu.max(self.memory) {
            ResourceKind::Accelerators
        } else if self.memory > self.cpu {
            ResourceKind::Memory
        } else {
            ResourceKind::Cpu
        };
        WaitReason::NoCapacity { short_of }
    }
}

impl FleetModel {
    pub(super) fn choose_worker(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Result<WorkerChoice, WaitReason> {
        let plan = self.class_plan(now, request);
        let count = self.workers.len();
        let start = self.random.below(count);
        let mut rejections = RejectionCounts::default();
        let mut candidates = 0;
        let mut best: Option<(usize, PlacementScore, bool)> = None;
        for index in (start..count).chain(0..start) {
            let Some(state) = self.workers.get_index(index) else {
                continue;
            };
            let Some((score, probe)) = self.evaluate(now, state, request, &plan, &mut rejections)
            else {
                continue;
            };
            candidates += 1;
            if best.as_ref().is_none_or(|(_, best, _)| score.cost < best.cost) {
                best = Some((index, score, probe));
            }
            if candidates == CANDIDATE_LIMIT {
                break;
            }
        }
        let chosen = best.and_then(|(index, score, probe)| {
            let worker = self.workers.get_index(index)?.view.worker.clone();
            Some(WorkerChoice { worker, candidates, score, probe })
        });
        chosen.ok_or_else(|| rejections.reason())
    }

    /// Returns the cost of a worker and whether the task would be a probe there, or `None` when the
    /// task may not run there.
    fn evaluate(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        plan: &ClassPlan,
        rejections: &mut RejectionCounts,
    ) -> Option<(PlacementScore, bool)> {
        if !state.view.accepting {
            return None;
        }
        let waiting = &request.waiting;
        if let Some(short_of) = request.reserve.shortage(&self.available_for(state, waiting)) {
            rejections.count_shortage(short_of);
            return None;
        }
        let eligibility = self.eligibility_for(now, state, waiting)?;
        if !self.spread.allows(&waiting.task.job, &waiting.spread, &state.view, &self.workers) {
            rejections.spread += 1;
            return None;
        }
        let score = self.score(now, state, request, plan);
        if score.is_none() {
            rejections.interference += 1;
        }
        score.map(|score| (score, eligibility == WorkerEligibility::ProbeOnly))
    }

    /// Returns the capacity available to this task, which excludes claims of other tasks at least
    /// as urgent.
    fn available_for(&self, state: &WorkerState, waiting: &WaitingTask) -> ResourceVector {
        let available = state.available();
        if self.claims.is_empty() {
            return available;
        }
        let claimed =
            self.claims.claimed_by_others(&state.view.worker, &waiting.task, waiting.priority);
        available.saturating_sub(&claimed)
    }

    pub(super) fn eligibility_for(
        &self,
        now: Duration,
        state: &WorkerState,
        waiting: &WaitingTask,
    ) -> Option<WorkerEligibility> {
        if self.attribution.all_eligible() {
            return Some(WorkerEligibility::Eligible);
        }
        let worker = &state.view.worker;
        if self.attribution.excludes(&waiting.task.job, worker, self.workers.accepting_count()) {
            return None;
        }
        match self.attribution.eligibility(now, worker, &self.policy) {
            WorkerEligibility::Excluded => None,
            WorkerEligibility::ProbeOnly if waiting.priority != TaskPriority::Batch => None,
            eligibility => Some(eligibility),
        }
    }
}

/// Returns the size of the largest worker that could take the task as declared, or `None` when no
/// worker ever could.
pub(super) fn ceiling(workers: &WorkerTable, waiting: &WaitingTask) -> Option<ResourceVector> {
    let allowed = &waiting.spread.data_centres;
    workers
        .sizes()
        .filter(|(data_centre, _)| allowed.is_empty() || allowed.contains(data_centre))
        .filter(|(_, capacity)| waiting.declared.fits_in(capacity))
        .map(|(_, capacity)| *capacity)
        .max_by_key(|capacity| (capacity.cpu, capacity.memory))
}

/// Returns the resource of which the most worker sizes have too little, even when empty.
pub(super) fn shortage_of_empty(workers: &WorkerTable, waiting: &WaitingTask) -> ResourceKind {
    let mut rejections = RejectionCounts::default();
    for (_, capacity) in workers.sizes() {
        if let Some(kind) = waiting.declared.shortage(capacity) {
            rejections.count_shortage(kind);
        }
    }
    match rejections.reason() {
        WaitReason::NoCapacity { short_of } => short_of,
        _ => ResourceKind::Cpu,
    }
}
