//! Corrects declared sizes and run times by measurements.

mod amount;

use {
    crate::interface::{TaskPriority, WaitingTask},
    amount::AmountEstimate,
    base::{ByteSize, ClassName, CpuMillis, JobId, ResourceVector},
    indexmap::IndexMap,
    std::time::Duration,
};

/// Headroom above the peak of the measured memory, in percent of the peak.
const HEADROOM_PERCENT: u64 = 15;
/// The number of samples of a job from which its own measurements determine the size.
const MIN_SAMPLES: u32 = 3;
/// The number of finished tasks of a job after which its reservations may be smaller than declared.
const MIN_FINISHED: u32 = 1;
/// The number of finished tasks of a class after which the class determines the size for jobs with
/// too few samples, and every job of the class may have smaller reservations.
const MIN_CLASS_FINISHED: u32 = 3;
/// The number of jobs whose measurements are kept.
const JOB_LIMIT: usize = 20_000;

#[derive(Debug, Clone, Copy, Default)]
struct JobUse {
    peak: ResourceVector,
    samples: u32,
    finished: u32,
}

/// The resources that finished tasks of a class used.
#[derive(Debug, Clone, Copy, Default)]
struct ClassUse {
    cpu: AmountEstimate,
    memory: AmountEstimate,
    run_time: AmountEstimate,
    finished: u32,
}

/// The measured use of jobs and classes.
#[derive(Debug, Default)]
pub(crate) struct CorrectionTable {
    jobs: IndexMap<(ClassName, JobId), JobUse>,
    classes: IndexMap<ClassName, ClassUse>,
}

impl CorrectionTable {
    /// Records what a task uses. Ignores the processor use of a throttled task, which the throttle
    /// limits.
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

    /// Records that a task has finished after running for `ran`, which is `None` when the time is
    /// not that of a whole run at full speed. `peak` is its largest use.
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
        let class = self.classes.entry(task.class.clone()).or_default();
        class.finished = class.finished.saturating_add(1);
        class.cpu.learn(peak.cpu.0 as f64, task.declared.cpu.0 as f64);
        class.memory.learn(peak.memory.0 as f64, task.declared.memory.0 as f64);
        if let (Some(ran), Some(declared)) = (ran, task.run_time) {
            class.run_time.learn(ran.as_secs_f64(), declared.as_secs_f64());
        }
    }

    /// Returns the expected run time of a task, from its declaration and its class.
    pub(crate) fn run_time(&self, task: &WaitingTask) -> Option<Duration> {
        let declared = task.run_time?;
        let class = self.classes.get(&task.class);
        let expected = class.and_then(|class| class.run_time.expected(declared.as_secs_f64()));
        expected.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()).or(Some(declared))
    }

    /// Returns the size to reserve for a task: at least what tasks of its job are known to use, but
    /// at most `ceiling`, the size of the largest worker that could take the task as declared.
    pub(crate) fn reservation_size(
        &self,
        task: &WaitingTask,
        ceiling: &ResourceVector,
    ) -> ResourceVector {
        let uncapped_size = self.uncapped_size(task);
        let cpu = CpuMillis(uncapped_size.cpu.0.min(ceiling.cpu.0).max(1));
        let memory = ByteSize(uncapped_size.memory.0.min(ceiling.memory.0));
        ResourceVector { cpu, memory, accelerators: task.declared.accelerators }
    }

    fn uncapped_size(&self, task: &WaitingTask) -> ResourceVector {
        let key = (task.class.clone(), task.task.job.clone());
        let class = self.classes.get(&task.class).copied().unwrap_or_default();
        let may_shrink = task.priority == TaskPriority::Batch;
        if let Some(job) = self.jobs.get(&key).filter(|job| job.samples >= MIN_SAMPLES) {
            let proven = job.finished >= MIN_FINISHED || class.finished >= MIN_CLASS_FINISHED;
            let observed = with_headroom(&job.peak);
            return if may_shrink && proven {
                shrink_known(&task.declared, &observed)
            } else {
                task.declared.max_each(&observed)
            };
        }
        if class.finished < MIN_CLASS_FINISHED {
            return task.declared;
        }
        let expected = expected_size(&class, &task.declared);
        if may_shrink {
            expected
        } else {
            task.declared.max_each(&expected)
        }
    }
}

/// Adds headroom to memory only: a task that uses all processors it is given would otherwise be
/// given more each time.
fn with_headroom(used: &ResourceVector) -> ResourceVector {
    ResourceVector {
        cpu: used.cpu,
        memory: ByteSize(used.memory.0 + used.memory.0 * HEADROOM_PERCENT / 100),
        accelerators: used.accelerators,
    }
}

/// Returns the expected size of a task of the class, with the declared amount where no prediction
/// is made.
fn expected_size(class: &ClassUse, declared: &ResourceVector) -> ResourceVector {
    let cpu = class.cpu.expected(declared.cpu.0 as f64).map_or(declared.cpu.0, |cpu| cpu as u64);
    let memory = class.memory.expected(declared.memory.0 as f64);
    ResourceVector {
        cpu: CpuMillis(cpu),
        memory: ByteSize(memory.map_or(declared.memory.0, |memory| memory as u64)),
        accelerators: declared.accelerators,
    }
}

/// Returns the observed size, with the declared amount for resources that were never seen in use.
fn shrink_known(declared: &ResourceVector, observed: &ResourceVector) -> ResourceVector {
    let cpu = if observed.cpu == CpuMillis::ZERO { declared.cpu } else { observed.cpu };
    let memory = if observed.memory == ByteSize::ZERO { declared.memory } else { observed.memory };
    ResourceVector { cpu, memory, accelerators: declared.accelerators }
}
