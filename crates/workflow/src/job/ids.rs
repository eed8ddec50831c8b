//! Identifiers of jobs, tasks, runs and incarnations of workers.

use {
    serde::{Deserialize, Serialize},
    snafu::{OptionExt, Snafu},
    std::{fmt, str::FromStr, sync::Arc},
};

/// The caller's id of a job, unique over all queues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

/// A text that names no job or task.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} names no job or task"))]
pub struct KeyError {
    text: String,
}

/// The number of hexadecimal digits of a job key.
const KEY_DIGITS: usize = 16;

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == KEY_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        number.map(Self).context(KeySnafu { text })
    }
}

/// A step in one occurrence of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step's position in the job.
    pub step: u16,
}

/// A task: one of the equal parts of a step, in one occurrence of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The occurrence, 0 for a job without a schedule.
    pub occurrence: u32,
    /// The step's position in the job.
    pub step: u16,
    /// The task's position in the step.
    pub index: u16,
}

impl TaskKey {
    /// Returns the step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let parsed = (|| {
            let key = Self {
                job: parts.next()?.parse().ok()?,
                occurrence: parts.next()?.parse().ok()?,
                step: parts.next()?.parse().ok()?,
                index: parts.next()?.parse().ok()?,
            };
            parts.next().is_none().then_some(key)
        })();
        parsed.context(KeySnafu { text })
    }
}

/// The number of a run of one task, from 1. It only rises.
///
/// Its thousands count the executors that have crashed when the task may have begun there, and its
/// millions those under which it had begun for certain. Every replica and every earlier build thus
/// keeps the counts with the task. `docs/decisions/crashes.md` says why. The member of a gang that
/// counts as the cause of a failed run has the number after that run, see `docs/decisions/gangs.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

/// The run numbers between two crashes when a task may have begun. A task that is restarted as often
/// for other reasons is only suspected, and tried.
const RUNS_PER_UNCLEAR_CRASH: u32 = 1000;
/// The run numbers between two crashes under a task.
const RUNS_PER_CRASH: u32 = 1_000_000;

impl RunNumber {
    /// Returns the number of the run that follows this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the next number that counts one more crash under the task.
    pub fn after_crash(self) -> Self {
        Self(self.0.saturating_add(RUNS_PER_CRASH))
    }

    /// Returns the next number that counts one more crash when the task may have begun.
    pub fn after_unclear_crash(self) -> Self {
        Self(self.0.saturating_add(RUNS_PER_UNCLEAR_CRASH))
    }

    /// Returns the number by which a member of a gang shows that this run is counted as failed.
    pub fn after_counted_failure(self) -> Self {
        self.next()
    }

    /// Returns whether this number of a gang's member shows that a run is counted as failed. Crashes
    /// that were counted before or after do not matter.
    pub fn counts_failure_of(self, run: Self) -> bool {
        let later = self.0.checked_sub(run.0);
        later.is_some_and(|later| later % RUNS_PER_UNCLEAR_CRASH == 1)
    }

    /// Returns the number of executors that have crashed under the task.
    pub fn crashes(self) -> u32 {
        self.0 / RUNS_PER_CRASH
    }

    /// Returns the number of executors that have crashed when the task had begun or may have.
    pub fn suspicions(self) -> u32 {
        self.crashes() + self.0 % RUNS_PER_CRASH / RUNS_PER_UNCLEAR_CRASH
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One incarnation of an executor. It continues no run of an earlier incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// The executor.
    pub executor: Arc<str>,
    /// The Unix millisecond at which this incarnation began.
    pub started_ms: u64,
}

impl WorkerIncarnation {
    /// Returns whether this is an earlier incarnation of the same executor.
    pub fn is_before(&self, later: &Self) -> bool {
        self.executor == later.executor && self.started_ms < later.started_ms
    }
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.executor, self.started_ms)
    }
}
