//! Learns interference from the latencies of latency-critical tasks, and evicts best-effort tasks.

use {
    super::ControlNode,
    crate::{
        event::StopReason,
        job::{RunNumber, StepKey, TaskKey, WorkerLife},
        message::RunReport,
        plan::{FillerShare, ImageName, InterferenceTable, Placement},
        state::FlowCommand,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The percentage that a lasting task reports while it works.
const AT_WORK: u8 = 100;
/// The headroom at or below which best-effort tasks are evicted: the latency-critical task misses
/// its target.
const EVICTION_HEADROOM: f64 = 1.0;
/// The headroom that an eviction is meant to restore: half of what placement plans beyond the
/// target.
const HEADROOM_GOAL: f64 = 1.1;
/// The least headroom that a best-effort task must take to be evicted: a smaller effect would not
/// show in figures of whole milliseconds.
const BLAMED_SHARE: f64 = 0.1;
/// Interval between evictions on one worker: the figures have to show the effect of the last one.
const RELIEF_INTERVAL: Duration = Duration::from_millis(800);

/// Interval at which learned interference goes into the log. A new leader relearns less than the
/// seconds in which a pair is learned, and each write adds a kilobyte or two to the log.
pub(super) const KEEP_LEARNED_INTERVAL: Duration = Duration::from_secs(2);

/// The reported figures of one worker.
#[derive(Default)]
struct WorkerFigures {
    /// The worst tail latency of each latency-critical step.
    serving: BTreeMap<StepKey, ServingFigure>,
    fillers: Vec<FillerFigure>,
}

impl WorkerFigures {
    /// Returns the share of the machine that the best-effort tasks use, by image.
    fn filler_shares(&self) -> Vec<FillerShare> {
        let mut shares: BTreeMap<&ImageName, f64> = BTreeMap::new();
        for FillerFigure { used, .. } in &self.fillers {
            *shares.entry(&used.image).or_default() += used.share;
        }
        let share = |(image, share): (&ImageName, f64)| FillerShare { image: image.clone(), share };
        shares.into_iter().map(share).collect()
    }

    /// Returns the latency-critical step that has the least headroom.
    fn worst(&self) -> Option<&ServingFigure> {
        self.serving.values().max_by(|one, other| one.tail_share.total_cmp(&other.tail_share))
    }
}

struct ServingFigure {
    image: ImageName,
    /// The worst tail latency of the step's tasks on the worker, as a share of its target.
    tail_share: f64,
}

/// A running best-effort task.
struct FillerFigure {
    task: TaskKey,
    run: RunNumber,
    /// The share of the machine that this task alone uses.
    used: FillerShare,
    /// Whether the task has checkpoints, so that a stop loses little.
    saves: bool,
}

impl ControlNode {
    /// Learns from a worker's figures, and evicts the best-effort tasks that keep a
    /// latency-critical one above its target. Placement later resumes them from their checkpoints
    /// on a worker that tolerates them.
    pub(super) fn learn_interference(&mut self, worker: &WorkerLife, runs: &[RunReport]) {
        let now = self.now;
        let figures = self.figures_of(worker, runs);
        let Some(lead) = &mut self.lead else { return };
        let shares = figures.filler_shares();
        for (step, ServingFigure { image, tail_share }) in &figures.serving {
            lead.learned.observe(now, *step, image, &shares, *tail_share);
        }
        let Some(ServingFigure { image, tail_share }) = figures.worst() else { return };
        let headroom = tail_share.recip();
        let last = lead.relieved.get(&worker.executor).copied().unwrap_or_default();
        if headroom > EVICTION_HEADROOM || now.saturating_sub(last) < RELIEF_INTERVAL {
            return;
        }
        let blamed = blamed_fillers(&figures, &lead.learned, image, HEADROOM_GOAL - headroom);
        if !blamed.is_empty() {
            lead.relieved.insert(worker.executor.clone(), now);
        }
        for (task, run) in blamed {
            let placement = Placement { task, run, worker: worker.clone() };
            let stop = self.stop_run(&placement, StopReason::Interferes);
            self.effects.extend(stop);
        }
    }

    /// Stores the learned interference in the log, with which the next leader starts.
    pub(super) fn keep_learned(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_mut().filter(|lead| now >= lead.keep_learned_at) else {
            return;
        };
        lead.keep_learned_at = now + KEEP_LEARNED_INTERVAL;
        let pairs = lead.learned.learned_pairs();
        if pairs != lead.ahead.learned() {
            self.propose(FlowCommand::KeepLearned(pairs), Vec::new());
        }
    }

    fn figures_of(&self, worker: &WorkerLife, runs: &[RunReport]) -> WorkerFigures {
        let mut figures = WorkerFigures::default();
        let Some(lead) = &self.lead else { return figures };
        let Some(view) = lead.workers.get(&worker.executor) else { return figures };
        let capacity = (view.report.capacity.cpu_milli as f64).max(1.0);
        for report in runs {
            let spec = lead.ahead.job(report.task.job).and_then(|job| job.step_spec(&report.task));
            let Some(spec) = spec else { continue };
            let image = spec.image_name();
            if let Some(target) = spec.latency_target_ms.filter(|_| report.percent == AT_WORK) {
                let share = (report.figure.max(1)) as f64 / target.max(1) as f64;
                let step = report.task.step_key();
                let entry = figures.serving.entry(step);
                let figure = entry.or_insert(ServingFigure { image, tail_share: share });
                figure.tail_share = figure.tail_share.max(share);
            } else if spec.filler {
                let share = report.figure as f64 / capacity;
                let (task, run, saves) = (report.task, report.run, spec.checkpointing);
                let used = FillerShare { image, share };
                figures.fillers.push(FillerFigure { task, run, used, saves });
            }
        }
        figures
    }
}

/// Returns the checkpointing best-effort tasks that take most of a latency-critical image's
/// headroom, as many as are needed to restore `missing`.
fn blamed_fillers(
    figures: &WorkerFigures,
    learned: &InterferenceTable,
    serving: &ImageName,
    missing: f64,
) -> Vec<(TaskKey, RunNumber)> {
    let takes = |filler: &FillerFigure| learned.taken(serving, &filler.used);
    let saving = figures.fillers.iter().filter(|filler| filler.saves);
    let mut blamed: Vec<(f64, &FillerFigure)> =
        saving.map(|filler| (takes(filler), filler)).collect();
    blamed.retain(|(taken, _)| *taken >= BLAMED_SHARE);
    blamed.sort_by(|(one, _), (other, _)| other.total_cmp(one));
    let mut given_back = 0.0;
    let needed = blamed.into_iter().take_while(|(taken, _)| {
        let wanted = given_back < missing;
        given_back += taken;
        wanted
    });
    needed.map(|(_, filler)| (filler.task, filler.run)).collect()
}
