//! The workers that one step may use, in the order of their scores.
//!
//! All tasks of a step have the same demand, and a placement changes the score of its worker alone.
//! A step of many tasks thus costs one look at each worker and one more for each task.

use {
    super::{
        claims::{BackfillTerms, RoomClaims},
        reservations::{ReservationTable, WorkerReservations},
        score::{score_of, StepRequest, FAILED_HERE_PENALTY},
        worker::WorkerView,
        PassInputs,
    },
    crate::job::{TaskKey, WorkerIncarnation},
    std::{
        cmp::{Ordering, Reverse},
        collections::{BTreeSet, BinaryHeap},
    },
};

/// A worker's score for a step. Ordered by the score, then by the position in the worker table.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ScoredWorker {
    score: f64,
    position: usize,
}

impl Eq for ScoredWorker {}

impl Ord for ScoredWorker {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(self.position.cmp(&other.position))
    }
}

impl PartialOrd for ScoredWorker {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The workers that may run the tasks of one step.
pub(super) struct CandidateQueue<'a> {
    request: &'a StepRequest<'a>,
    inputs: &'a PassInputs<'a>,
    backfill: BackfillTerms<'a>,
    /// The present score by position in the worker table; `None` for a worker that may not run a
    /// task of the step.
    scores: Vec<Option<f64>>,
    /// Scores, lowest first. One that differs from that in `scores` is outdated.
    queue: BinaryHeap<Reverse<ScoredWorker>>,
}

impl<'a> CandidateQueue<'a> {
    /// Scores the workers at the given positions, or all, except those that are held for others.
    pub(super) fn new(
        request: &'a StepRequest<'a>,
        inputs: &'a PassInputs<'a>,
        reservations: &ReservationTable,
        claims: &RoomClaims,
        positions: Option<&BTreeSet<usize>>,
    ) -> Self {
        let count = inputs.workers.len();
        let (scores, queue) = (vec![None; count], BinaryHeap::new());
        let backfill = BackfillTerms::new(request, inputs, claims);
        let mut candidates = Self { request, inputs, backfill, scores, queue };
        let open = |position: &usize| claims.is_open(*position, &backfill);
        match positions {
            Some(positions) => {
                let open = positions.iter().copied().filter(open);
                open.for_each(|position| candidates.rescore(position, reservations));
            }
            None => {
                let open = (0..count).filter(open);
                open.for_each(|position| candidates.rescore(position, reservations));
            }
        }
        candidates
    }

    /// Returns the position of the worker with the lowest score.
    pub(super) fn best(&mut self) -> Option<usize> {
        while let Some(Reverse(ScoredWorker { score, position })) = self.queue.peek().copied() {
            if self.scores[position] == Some(score) {
                return Some(position);
            }
            self.queue.pop();
        }
        None
    }

    /// Returns the position of the best worker for a task that has failed before: if possible one
    /// where it has not.
    pub(super) fn best_for_retry(&self, task: &TaskKey) -> Option<usize> {
        let scored = self.scores.iter().enumerate().filter_map(|(position, score)| {
            let failed = self.worker(position).is_some_and(|worker| worker.has_failed(task));
            let penalty = if failed { FAILED_HERE_PENALTY } else { 0.0 };
            Some(ScoredWorker { score: (*score)? + penalty, position })
        });
        scored.min().map(|best| best.position)
    }

    /// Reserves a task's demand on the worker at a position, and scores the worker anew.
    pub(super) fn reserve(
        &mut self,
        position: usize,
        task: &TaskKey,
        reservations: &mut ReservationTable,
        claims: &mut RoomClaims,
    ) -> WorkerIncarnation {
        let worker = self.inputs.workers[position].incarnation().clone();
        reservations.reserve(&worker, task, self.request.spec);
        claims.take(position, &self.backfill);
        if claims.is_open(position, &self.backfill) {
            self.rescore(position, reservations);
        } else {
            self.scores[position] = None;
        }
        worker
    }

    fn worker(&self, position: usize) -> Option<&'a WorkerView> {
        self.inputs.workers.get_index(position).map(|(_, worker)| worker)
    }

    fn rescore(&mut self, position: usize, reservations: &ReservationTable) {
        let Some((executor, worker)) = self.inputs.workers.get_index(position) else { return };
        let score = reservations.of(executor).and_then(|reserved: &WorkerReservations| {
            score_of(self.request, worker, reserved, self.inputs)
        });
        self.scores[position] = score;
        if let Some(score) = score {
            self.queue.push(Reverse(ScoredWorker { score, position }));
        }
    }
}
