//! Hard constraints, and the cheapest worker that meets them.

use {
    super::{
        score::{ClassPlan, PlacementScore},
        PlacementRequest,
    },
    crate::{
        blame::WorkerStanding,
        fleet::FleetModel,
        interface::{TaskPriority, WaitReason, WaitingTask},
        workers::{WorkerBook, WorkerState},
    },
    base::{ResourceKind, ResourceVector, WorkerId},
    std::time::Duration,
};

/// The number of workers with room that are compared. The search starts anywhere, so that these
/// are as good as any others.
const CANDIDATE_LIMIT: u32 = 32;

/// The chosen worker.
#[derive(Debug)]
pub(super) struct WorkerChoice {
    pub(super) worker: WorkerId,
    pub(super) candidates: u32,
    pub(super) score: PlacementScore,
    pub(super) probe: bool,
}

/// Why workers were passed over.
#[derive(Debug, Default)]
struct Refusals {
    cpu: u32,
    memory: u32,
    accelerators: u32,
    spread: u32,
    interference: u32,
}

impl Refusals {
    fn note_shortage(&mut self, kind: ResourceKind) {
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
        WaitReason::NoRoom { short_of }
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
        let mut refusals = Refusals::default();
        let mut candidates = 0;
        let mut best: Option<(usize, PlacementScore, bool)> = None;
        for index in (start..count).chain(0..start) {
            let Some(state) = self.workers.get_index(index) else {
                continue;
            };
            let Some((score, probe)) = self.weigh(now, state, request, &plan, &mut refusals) else {
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
        chosen.ok_or_else(|| refusals.reason())
    }

    /// The cost of a worker, or `None` when it may not be used.
    fn weigh(
        &self,
        now: Duration,
        state: &WorkerState,
        request: &PlacementRequest,
        plan: &ClassPlan,
        refusals: &mut Refusals,
    ) -> Option<(PlacementScore, bool)> {
        if !state.view.accepting {
            return None;
        }
        let waiting = &request.waiting;
        if let Some(short_of) = request.reserve.shortage(&self.room_for(state, waiting)) {
            refusals.note_shortage(short_of);
            return None;
        }
        let standing = self.standing_for(now, state, waiting)?;
        if !self.spread.allows(&waiting.task.job, &waiting.spread, &state.view, &self.workers) {
            refusals.spread += 1;
            return None;
        }
        let score = self.score(now, state, request, plan);
        if score.is_none() {
            refusals.interference += 1;
        }
        score.map(|score| (score, standing == WorkerStanding::Probing))
    }

    /// What is free for this task: room that was freed for more urgent ones is not.
    fn room_for(&self, state: &WorkerState, waiting: &WaitingTask) -> ResourceVector {
        let room = state.room();
        if self.claims.is_empty() {
            return room;
        }
        let kept = self.claims.kept_from(&state.view.worker, &waiting.task, waiting.priority);
        room.saturating_sub(&kept)
    }

    pub(super) fn standing_for(
        &self,
        now: Duration,
        state: &WorkerState,
        waiting: &WaitingTask,
    ) -> Option<WorkerStanding> {
        if self.blame.trusts_all() {
            return Some(WorkerStanding::Trusted);
        }
        let worker = &state.view.worker;
        if self.blame.avoids(&waiting.task.job, worker, self.workers.accepting_count()) {
            return None;
        }
        match self.blame.standing(now, worker, &self.policy) {
            WorkerStanding::Resting => None,
            WorkerStanding::Probing if waiting.priority != TaskPriority::Batch => None,
            standing => Some(standing),
        }
    }
}

/// The size of the largest workers that could take the task as declared, or `None` when no
/// worker ever could.
pub(super) fn ceiling(workers: &WorkerBook, waiting: &WaitingTask) -> Option<ResourceVector> {
    let allowed = &waiting.spread.data_centres;
    workers
        .sizes()
        .filter(|(data_centre, _)| allowed.is_empty() || allowed.contains(data_centre))
        .filter(|(_, capacity)| waiting.declared.fits_in(capacity))
        .map(|(_, capacity)| *capacity)
        .max_by_key(|capacity| (capacity.cpu, capacity.memory))
}

/// The resource of which the most workers, even when empty, have too little.
pub(super) fn shortage_of_empty(workers: &WorkerBook, waiting: &WaitingTask) -> ResourceKind {
    let mut refusals = Refusals::default();
    for (_, capacity) in workers.sizes() {
        if let Some(kind) = waiting.declared.shortage(capacity) {
            refusals.note_shortage(kind);
        }
    }
    match refusals.reason() {
        WaitReason::NoRoom { short_of } => short_of,
        _ => ResourceKind::Cpu,
    }
}
