//! Declared sizes and run times, corrected by what was measured.

use {
    crate::interface::{TaskPriority, WaitingTask},
    base::{ByteSize, ClassName, CpuMillis, JobId, ResourceVector},
    indexmap::IndexMap,
    std::time::Duration,
};

/// What is reserved above the largest measured use, in percent of it.
const HEADROOM_PERCENT: u64 = 15;
/// The samples of a job that a correction needs.
const LEAST_SAMPLES: u32 = 3;
/// The finished tasks of a job, or of its class, that a smaller reservation needs.
const LEAST_FINISHED: u32 = 1;
/// The finished tasks of a class that a correction of a new job needs.
const LEAST_CLASS_FINISHED: u32 = 3;
/// The weight of a new ratio of measured to declared.
const RATIO_GAIN: f64 = 0.2;
/// The number of jobs whose measurements are kept.
const JOB_LIMIT: usize = 20_000;

#[derive(Debug, Clone, Copy, Default)]
struct JobUse {
    peak: ResourceVector,
    samples: u32,
    finished: u32,
}

#[derive(Debug, Clone, Copy)]
struct ClassRatio {
    cpu: f64,
    memory: f64,
    run_time: f64,
    finished: u32,
}

impl Default for ClassRatio {
    fn default() -> Self {
        Self { cpu: 0.0, memory: 0.0, run_time: 1.0, finished: 0 }
    }
}

/// The measured use of jobs and classes.
#[derive(Debug, Default)]
pub(crate) struct CorrectionBook {
    jobs: IndexMap<(ClassName, JobId), JobUse>,
    classes: IndexMap<ClassName, ClassRatio>,
}

impl CorrectionBook {
    /// Learns what a task uses. The processors of a throttled task say nothing.
    pub(crate) fn learn_use(&mut self, task: &WaitingTask, used: &ResourceVector, throttled: bool) {
        let key = (task.class.clone(), task.task.job.clone());
        if self.jobs.len() >= JOB_LIMIT && !self.jobs.contains_key(&key) {
            self.jobs.shift_remove_index(0);
        }
        let entry = self.jobs.entry(key).or_default();
        let cpu = if throttled { CpuMillis::ZERO } else { used.cpu };
        entry.peak = entry.peak.max_each(&ResourceVector { cpu, ..*used });
        entry.samples = entry.samples.saturating_add(1);
    }

    /// Learns that a task has finished after running for `ran`. `peak` is the most that it used.
    pub(crate) fn learn_finish(
        &mut self,
        task: &WaitingTask,
        peak: &ResourceVector,
        ran: Option<Duration>,
    ) {
        let key = (task.class.clone(), task.task.job.clone());
        if let Some(entry) = self.jobs.get_mut(&key) {
            entry.finished = entry.finished.saturating_add(1);
        }
        let ratio = self.classes.entry(task.class.clone()).or_default();
        ratio.finished = ratio.finished.saturating_add(1);
        let part = |used: u64, declared: u64| used as f64 / declared.max(1) as f64;
        blend(&mut ratio.cpu, part(peak.cpu.0, task.declared.cpu.0));
        blend(&mut ratio.memory, part(peak.memory.0, task.declared.memory.0));
        if let (Some(ran), Some(declared)) = (ran, task.run_time) {
            let part = ran.as_secs_f64() / declared.as_secs_f64().max(0.001);
            ratio.run_time += RATIO_GAIN * (part - ratio.run_time);
        }
    }

    /// How long a task is expected to run, from its declaration and its class.
    pub(crate) fn run_time(&self, task: &WaitingTask) -> Option<Duration> {
        let ratio = self.classes.get(&task.class).map_or(1.0, |ratio| ratio.run_time);
        task.run_time.map(|declared| declared.mul_f64(ratio.clamp(0.01, 100.0)))
    }

    /// What to reserve for a task, never below what tasks of its job are known to use.
    /// `ceiling` is the largest worker that could take it as declared.
    pub(crate) fn reservation(
        &self,
        task: &WaitingTask,
        ceiling: &ResourceVector,
    ) -> ResourceVector {
        let wanted = self.wanted(task);
        let cpu = CpuMillis(wanted.cpu.0.min(ceiling.cpu.0).max(1));
        let memory = ByteSize(wanted.memory.0.min(ceiling.memory.0));
        ResourceVector { cpu, memory, accelerators: task.declared.accelerators }
    }

    fn wanted(&self, task: &WaitingTask) -> ResourceVector {
        let key = (task.class.clone(), task.task.job.clone());
        let class = self.classes.get(&task.class).copied().unwrap_or_default();
        let may_shrink = task.priority == TaskPriority::Batch;
        if let Some(job) = self.jobs.get(&key).filter(|job| job.samples >= LEAST_SAMPLES) {
            let proven = job.finished >= LEAST_FINISHED || class.finished >= LEAST_CLASS_FINISHED;
            let observed = with_headroom(&job.peak);
            return if may_shrink && proven {
                shrink_known(&task.declared, &observed)
            } else {
                task.declared.max_each(&observed)
            };
        }
        if class.finished < LEAST_CLASS_FINISHED {
            return task.declared;
        }
        let scaled = scale(&task.declared, class.cpu, class.memory);
        if may_shrink {
            shrink_known(&task.declared, &scaled)
        } else {
            task.declared.max_each(&scaled)
        }
    }
}

/// A ratio rises at once and falls slowly, because too little room harms more than too much.
fn blend(ratio: &mut f64, part: f64) {
    *ratio = if part > *ratio { part } else { *ratio + RATIO_GAIN * (part - *ratio) };
}

fn with_headroom(used: &ResourceVector) -> ResourceVector {
    let grow = |amount: u64| amount + amount * HEADROOM_PERCENT / 100;
    ResourceVector {
        cpu: CpuMillis(grow(used.cpu.0)),
        memory: ByteSize(grow(used.memory.0)),
        accelerators: used.accelerators,
    }
}

fn scale(declared: &ResourceVector, cpu: f64, memory: f64) -> ResourceVector {
    let used = ResourceVector {
        cpu: CpuMillis((declared.cpu.0 as f64 * cpu) as u64),
        memory: ByteSize((declared.memory.0 as f64 * memory) as u64),
        accelerators: declared.accelerators,
    };
    with_headroom(&used)
}

/// The observed size, but the declared amount of what was never seen in use.
fn shrink_known(declared: &ResourceVector, observed: &ResourceVector) -> ResourceVector {
    let cpu = if observed.cpu == CpuMillis::ZERO { declared.cpu } else { observed.cpu };
    let memory = if observed.memory == ByteSize::ZERO { declared.memory } else { observed.memory };
    ResourceVector { cpu, memory, accelerators: declared.accelerators }
}
