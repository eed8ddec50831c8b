//! What the latencies of serving tasks tell of the filling tasks beside them.

use {
    super::ControlNode,
    crate::{
        event::StopReason,
        job::{RunNumber, TaskKey, WorkerLife},
        message::RunReport,
        plan::{ImageName, Placement},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The percentage at which a lasting task is at work.
const AT_WORK: u8 = 100;
/// The share of its target at which a serving task is relieved of filling ones.
const RELIEVED_SHARE: f64 = 1.0;
/// What a filling task must add to that share to be one of those that go.
const BLAMED_SHARE: f64 = 0.15;
/// How often a worker is relieved: the figures have to show what the last time has brought.
const RELIEF_INTERVAL: Duration = Duration::from_millis(800);

/// The figures of one worker.
#[derive(Default)]
struct WorkerFigures {
    /// The worst latency of each serving image, as a share of its target.
    serving: BTreeMap<ImageName, f64>,
    fillers: Vec<FillerFigure>,
}

/// A filling task at work.
struct FillerFigure {
    task: TaskKey,
    run: RunNumber,
    image: ImageName,
    /// The share of the machine that it uses.
    share: f64,
    /// Whether it has checkpoints, so that a stop loses little.
    saves: bool,
}

impl ControlNode {
    /// Learns from a worker's figures, and stops the filling tasks that keep a serving one above its
    /// target. They resume from their checkpoints where they are borne.
    pub(super) fn learn_interference(&mut self, worker: &WorkerLife, runs: &[RunReport]) {
        let now = self.now;
        let figures = self.figures_of(worker, runs);
        let Some(lead) = &mut self.lead else { return };
        let mut shares: BTreeMap<ImageName, f64> = BTreeMap::new();
        for filler in &figures.fillers {
            *shares.entry(filler.image.clone()).or_default() += filler.share;
        }
        let shares: Vec<(ImageName, f64)> = shares.into_iter().collect();
        let mut worst: Option<(&ImageName, f64)> = None;
        for (image, observed) in &figures.serving {
            lead.learned.observe(image, &shares, *observed);
            if worst.is_none_or(|(_, highest)| *observed > highest) {
                worst = Some((image, *observed));
            }
        }
        let Some((serving, _)) = worst.filter(|(_, share)| *share >= RELIEVED_SHARE) else {
            return;
        };
        let last = lead.relieved.get(&worker.executor).copied().unwrap_or_default();
        if now.saturating_sub(last) < RELIEF_INTERVAL {
            return;
        }
        let adds = |filler: &FillerFigure| lead.learned.added(serving, &filler.image, filler.share);
        let blamed: Vec<&FillerFigure> = figures
            .fillers
            .iter()
            .filter(|filler| filler.saves && adds(filler) >= BLAMED_SHARE)
            .collect();
        if !blamed.is_empty() {
            lead.relieved.insert(worker.executor.clone(), now);
        }
        for FillerFigure { task, run, .. } in blamed {
            let placement = Placement { task: *task, run: *run, worker: worker.clone() };
            let stop = self.stop_run(&placement, StopReason::Interferes);
            self.effects.extend(stop);
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
                let share = report.figure as f64 / target.max(1) as f64;
                let worst = figures.serving.entry(image).or_default();
                *worst = worst.max(share);
            } else if spec.filler {
                let share = report.figure as f64 / capacity;
                let (task, run, saves) = (report.task, report.run, spec.checkpointing);
                figures.fillers.push(FillerFigure { task, run, image, share, saves });
            }
        }
        figures
    }
}
