//! Learns interference from the latencies of latency-critical tasks, and evicts best-effort tasks.
//!
//! Headroom is the latency target of a task over its tail latency: at 1, the task just meets its
//! target.

use {
    super::ControlNode,
    crate::{
        event::StopReason,
        job::{RunNumber, StepKey, TaskKey, WorkerIncarnation},
        message::RunReport,
        plan::{BestEffortShare, ImageName, InterferenceTable, Placement},
        state::FlowCommand,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The percentage that a lasting task reports while it works.
const WORKING_PERCENT: u8 = 100;
/// The headroom at or below which best-effort tasks are evicted: the latency-critical task misses
/// its target.
const EVICTION_HEADROOM: f64 = 1.0;
/// The headroom that an eviction is meant to restore: half of what placement plans beyond the
/// target.
const HEADROOM_GOAL: f64 = 1.1;
/// The least headroom that a best-effort task must take to be evicted: a smaller effect would not
/// show in figures of whole milliseconds.
const MIN_EVICTION_GAIN: f64 = 0.1;
/// Interval between evictions on one worker: the figures have to show the effect of the last one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which learned interference goes into the log. A new leader loses at most what was
/// learned in this interval, less than the seconds in which a pair is learned. Each write adds a
/// kilobyte or two to the log.
pub(super) const STORE_LEARNED_INTERVAL: Duration = Duration::from_secs(2);

/// The latencies and processor use that the tasks on one worker reported.
#[derive(Default)]
struct WorkerFigures {
    /// The worst tail latency of each latency-critical step.
    latency_critical: BTreeMap<StepKey, LatencyFigure>,
    best_effort: Vec<BestEffortFigure>,
}

impl WorkerFigures {
    /// Returns the share of the machine that the best-effort tasks use, by image.
    fn best_effort_shares(&self) -> Vec<BestEffortShare> {
        let mut shares: BTreeMap<&ImageName, f64> = BTreeMap::new();
        for BestEffortFigure { used, .. } in &self.best_effort {
            *shares.entry(&used.image).or_default() += used.share;
        }
        let share =
            |(image, share): (&ImageName, f64)| BestEffortShare { image: image.clone(), share };
        shares.into_iter().map(share).collect()
    }

    /// Returns the latency-critical step that has the least headroom.
    fn worst(&self) -> Option<&LatencyFigure> {
        self.latency_critical
            .values()
            .max_by(|one, other| one.tail_share.total_cmp(&other.tail_share))
    }
}

struct LatencyFigure {
    image: ImageName,
    /// The worst tail latency of the step's tasks on the worker, as a share of its target.
    tail_share: f64,
}

/// A running best-effort task.
struct BestEffortFigure {
    task: TaskKey,
    run: RunNumber,
    /// The share of the machine that this task alone uses.
    used: BestEffortShare,
    /// Whether the task produces checkpoints, so that a stop loses little.
    has_checkpoints: bool,
}

impl ControlNode {
    /// Learns from a worker's figures, and evicts the best-effort tasks that keep a
    /// latency-critical one above its target. Placement later resumes them from their checkpoints
    /// on a worker that tolerates them.
    pub(super) fn learn_interference(&mut self, worker: &WorkerIncarnation, runs: &[RunReport]) {
        let now = self.now;
        let figures = self.figures_of(worker, runs);
        let Some(leader) = &mut self.leader else { return };
        let shares = figures.best_effort_shares();
        for (step, LatencyFigure { image, tail_share }) in &figures.latency_critical {
            leader.learned.observe(now, *step, image, &shares, *tail_share);
        }
        let Some(LatencyFigure { image, tail_share }) = figures.worst() else { return };
        let headroom = tail_share.recip();
        let last = leader.last_evictions.get(&worker.executor).copied().unwrap_or_default();
        if headroom > EVICTION_HEADROOM || now.saturating_sub(last) < EVICTION_INTERVAL {
            return;
        }
        let evicted = tasks_to_evict(&figures, &leader.learned, image, HEADROOM_GOAL - headroom);
        if !evicted.is_empty() {
            leader.last_evictions.insert(worker.executor.clone(), now);
        }
        for (task, run) in evicted {
            let placement = Placement { task, run, worker: worker.clone() };
            let stop = self.stop_run(&placement, StopReason::Interferes);
            self.effects.extend(stop);
        }
    }

    /// Stores the learned interference in the log when that is due. The next leader starts with it.
    pub(super) fn store_learned(&mut self) {
        let now = self.now;
        let Some(leader) = self.leader.as_mut().filter(|leader| now >= leader.store_learned_at)
        else {
            return;
        };
        leader.store_learned_at = now + STORE_LEARNED_INTERVAL;
        let pairs = leader.learned.learned_pairs();
        if pairs != leader.speculative.learned() {
            self.propose(FlowCommand::StoreInterference(pairs), Vec::new());
        }
    }

    fn figures_of(&self, worker: &WorkerIncarnation, runs: &[RunReport]) -> WorkerFigures {
        let mut figures = WorkerFigures::default();
        let Some(leader) = &self.leader else { return figures };
        let Some(view) = leader.workers.get(&worker.executor) else { return figures };
        let capacity = (view.report.capacity.cpu_milli as f64).max(1.0);
        for report in runs {
            let spec =
                leader.speculative.job(report.task.job).and_then(|job| job.step_spec(&report.task));
            let Some(spec) = spec else { continue };
            let image = spec.image_name();
            if let Some(target) =
                spec.latency_target_ms.filter(|_| report.percent == WORKING_PERCENT)
            {
                let share = (report.figure.max(1)) as f64 / target.max(1) as f64;
                let step = report.task.step_key();
                let entry = figures.latency_critical.entry(step);
                let figure = entry.or_insert(LatencyFigure { image, tail_share: share });
                figure.tail_share = figure.tail_share.max(share);
            } else if spec.filler {
                let share = report.figure as f64 / capacity;
                let (task, run, has_checkpoints) = (report.task, report.run, spec.checkpointing);
                let used = BestEffortShare { image, share };
                figures.best_effort.push(BestEffortFigure { task, run, used, has_checkpoints });
            }
        }
        figures
    }
}

/// Returns the checkpointing best-effort tasks that take most of a latency-critical image's
/// headroom, as many as are needed to restore `missing`.
fn tasks_to_evict(
    figures: &WorkerFigures,
    learned: &InterferenceTable,
    latency_critical: &ImageName,
    missing: f64,
) -> Vec<(TaskKey, RunNumber)> {
    let takes = |figure: &BestEffortFigure| learned.taken(latency_critical, &figure.used);
    let candidates = figures.best_effort.iter().filter(|figure| figure.has_checkpoints);
    let mut evicted: Vec<(f64, &BestEffortFigure)> =
        candidates.map(|figure| (takes(figure), figure)).collect();
    evicted.retain(|(taken, _)| *taken >= MIN_EVICTION_GAIN);
    evicted.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    let mut restored = 0.0;
    let needed = evicted.into_iter().take_while(|(taken, _)| {
        let wanted = restored < missing;
        restored += taken;
        wanted
    });
    needed.map(|(_, figure)| (figure.task, figure.run)).collect()
}
