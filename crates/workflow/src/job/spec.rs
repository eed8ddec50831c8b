//! The content of a job.

use {
    serde::{Deserialize, Serialize},
    snafu::{ensure, Snafu},
    std::sync::Arc,
};

/// The largest number of steps of a job. It bounds the state that one submission adds to control.
pub const STEPS_LIMIT: usize = 256;
/// The largest number of tasks of a job, over all its occurrences, for the same reason.
pub const TASKS_LIMIT: u64 = 20_000;

/// The most of one resource that counts of one task. Sums over all tasks of a group can't overflow,
/// and a task that asks for more fits nowhere.
const COUNTED_LIMIT: u64 = 1 << 40;

/// What one task reserves on its worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskDemand {
    /// Thousandths of a processor core.
    pub cpu_milli: u64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl TaskDemand {
    /// Returns what counts of the demand in sums over tasks.
    pub(crate) fn counted(self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(COUNTED_LIMIT),
            memory_mb: self.memory_mb.min(COUNTED_LIMIT),
            accelerators: self.accelerators.min(COUNTED_LIMIT),
        }
    }

    /// Returns whether a capacity holds this demand.
    pub fn fits_in(self, capacity: Self) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of two demands.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the part of this demand that a capacity does not hold.
    pub fn beyond(self, capacity: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(capacity.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(capacity.memory_mb),
            accelerators: self.accelerators.saturating_sub(capacity.accelerators),
        }
    }

    /// Returns whether both demands ask for some resource.
    pub fn shares_with(self, other: Self) -> bool {
        let both = |one: u64, other: u64| one > 0 && other > 0;
        both(self.cpu_milli, other.cpu_milli)
            || both(self.memory_mb, other.memory_mb)
            || both(self.accelerators, other.accelerators)
    }
}

/// A step: equal tasks that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// What each task reserves.
    pub demand: TaskDemand,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks produce checkpoints from which another run can resume.
    pub checkpointing: bool,
    /// Whether the tasks only work together: they start together, and fail or finish as one.
    pub gang: bool,
    /// Whether the tasks run slower on more than one rack.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub required_label: Option<String>,
    /// The rack that holds the step's data.
    pub preferred_rack: Option<String>,
    /// The largest number of the step's tasks on one worker.
    pub per_worker_limit: Option<u32>,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// The image that the tasks run. Tasks of one image interfere alike.
    pub image: Option<Arc<str>>,
    /// The tail latency that a latency-critical task must stay below, in milliseconds.
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks are best-effort: they only use the processors that others leave idle.
    pub filler: bool,
    /// The number of tasks that the system itself may make unavailable at once.
    pub disruption_budget: Option<u32>,
}

impl StepSpec {
    /// Returns the image. Tasks without one count as one image of their own.
    pub fn image_name(&self) -> Arc<str> {
        self.image.clone().unwrap_or_default()
    }
}

/// The schedule of a job whose steps run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub count: u32,
    /// The due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub every_ms: u64,
}

/// A job as submitted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// The payload for executors, opaque to the system.
    pub payload: String,
    /// The steps, each after those it depends on.
    pub steps: Vec<StepSpec>,
    /// The schedule; `None` to run the steps once, at once.
    pub schedule: Option<JobSchedule>,
}

/// The reason why a job cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecProblem {
    /// The job has no steps.
    #[snafu(display("the job has no steps"))]
    NoSteps,
    /// The job exceeds a bound.
    #[snafu(display("the job has more than {STEPS_LIMIT} steps or {TASKS_LIMIT} tasks"))]
    TooLarge,
    /// A step has no tasks.
    #[snafu(display("step {step} has no tasks"))]
    EmptyStep {
        /// The step.
        step: usize,
    },
    /// A step depends on itself or a later one.
    #[snafu(display("step {step} depends on step {on}, which is not an earlier one"))]
    LaterStep {
        /// The step.
        step: usize,
        /// What it depends on.
        on: u16,
    },
}

impl JobSpec {
    /// Returns the number of tasks of all occurrences.
    pub fn task_count(&self) -> u64 {
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        tasks.saturating_mul(u64::from(self.occurrences()))
    }

    /// Checks the bounds and the order of the steps. Returns the first problem.
    pub fn check(&self) -> Result<(), SpecProblem> {
        ensure!(!self.steps.is_empty(), NoStepsSnafu);
        let within = self.steps.len() <= STEPS_LIMIT && self.task_count() <= TASKS_LIMIT;
        ensure!(within, TooLargeSnafu);
        for (position, step) in self.steps.iter().enumerate() {
            ensure!(step.count > 0, EmptyStepSnafu { step: position });
            let later = step.depends_on.iter().find(|on| usize::from(**on) >= position);
            if let Some(on) = later {
                return LaterStepSnafu { step: position, on: *on }.fail();
            }
        }
        Ok(())
    }

    /// Returns the approximate size of the job, in bytes.
    pub(crate) fn content_bytes(&self) -> usize {
        let length = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let step = |step: &StepSpec| {
            let names = length(&step.required_label) + length(&step.preferred_rack);
            let image = step.image.as_ref().map_or(0, |image| image.len());
            size_of::<StepSpec>() + names + image + size_of_val(&step.depends_on[..])
        };
        self.payload.len() + self.steps.iter().map(step).sum::<usize>()
    }

    /// Returns the number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the due time of an occurrence in milliseconds since the Unix epoch; `None` for at
    /// once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let schedule = self.schedule?;
        let after_first_ms = schedule.every_ms.saturating_mul(u64::from(occurrence));
        Some(schedule.first_ms.saturating_add(after_first_ms))
    }
}
