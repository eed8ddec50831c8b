//! Jobs, occurrences, steps and tasks as the log has them.

use {
    super::command::Submission,
    crate::job::{JobKey, JobSpec, RunNumber, StepSpec, TaskKey, WorkerLife},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobOutcome {
    /// Every task is done.
    Succeeded,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// What a caller is shown of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has been placed.
    Queued,
    /// Some task has been placed.
    Running,
    /// The job has ended.
    Ended(JobOutcome),
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TaskPhase {
    /// It holds no room.
    Waiting,
    /// Its current run holds room on a worker.
    Placed(WorkerLife),
    /// Its work is complete.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// The last run that was placed; 0 for none.
    pub run: RunNumber,
    /// Where it stands.
    pub phase: TaskPhase,
    /// Runs that ended as failed.
    pub failures: u32,
    /// The newest checkpoint that an ended run left; empty for none.
    pub checkpoint: String,
}

impl TaskRecord {
    /// Whether this run of the task holds room on a worker.
    pub fn is_placed(&self, run: RunNumber, worker: &WorkerLife) -> bool {
        self.run == run && matches!(&self.phase, TaskPhase::Placed(at) if at == worker)
    }
}

/// A step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepRecord {
    /// Its tasks.
    pub tasks: Vec<TaskRecord>,
    /// The number of tasks that are done.
    pub done: u16,
}

impl StepRecord {
    fn new(spec: &StepSpec) -> Self {
        let task = TaskRecord {
            run: RunNumber(0),
            phase: TaskPhase::Waiting,
            failures: 0,
            checkpoint: String::new(),
        };
        Self { tasks: vec![task; usize::from(spec.count)], done: 0 }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }
}

/// One occurrence of a job's steps.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// The steps.
    pub steps: Vec<StepRecord>,
}

impl OccurrenceRecord {
    /// Whether the tasks of a step may run: all that it depends on is done.
    pub fn is_open(&self, spec: &StepSpec) -> bool {
        spec.depends_on.iter().all(|on| self.steps[usize::from(*on)].is_done())
    }
}

/// A job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue that it was handed in at.
    pub queue: String,
    /// The service whose executors run it.
    pub service: String,
    /// 0 is the most urgent.
    pub priority: u32,
    /// How often a task may fail.
    pub attempt_limit: u32,
    /// What is run.
    pub spec: Arc<JobSpec>,
    /// How it ended, if it has.
    pub outcome: Option<JobOutcome>,
    /// The occurrences.
    pub occurrences: Vec<OccurrenceRecord>,
    /// The number of tasks that hold room on a worker.
    pub placed: u32,
    /// Whether a task was ever placed.
    pub begun: bool,
    /// Tasks that are not done.
    pub unfinished: u32,
    /// When it was accepted, on the log's clock, in milliseconds.
    pub accepted_ms: u64,
}

impl JobRecord {
    pub(super) fn new(submission: &Submission, accepted_ms: u64) -> Self {
        let spec = submission.spec.clone();
        let steps: Vec<StepRecord> = spec.steps.iter().map(StepRecord::new).collect();
        let tasks: u32 = spec.steps.iter().map(|step| u32::from(step.count)).sum();
        let count = spec.occurrences();
        Self {
            queue: submission.queue.clone(),
            service: submission.service.clone(),
            priority: submission.priority,
            attempt_limit: submission.attempt_limit.max(1),
            outcome: None,
            occurrences: vec![OccurrenceRecord { steps }; count as usize],
            placed: 0,
            begun: false,
            unfinished: tasks * count,
            accepted_ms,
            spec,
        }
    }

    /// What a caller is shown.
    pub fn phase(&self) -> JobPhase {
        match self.outcome {
            Some(outcome) => JobPhase::Ended(outcome),
            None if self.begun => JobPhase::Running,
            None => JobPhase::Queued,
        }
    }

    /// A task of the job.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        occurrence.steps.get(usize::from(key.step))?.tasks.get(usize::from(key.index))
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRecord> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(key.step))?.tasks.get_mut(usize::from(key.index))
    }

    /// The step that a task belongs to.
    pub fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(key.step))
    }

    /// Every task with its key.
    pub fn tasks(&self, job: JobKey) -> impl Iterator<Item = (TaskKey, &TaskRecord)> {
        self.occurrences.iter().enumerate().flat_map(move |(occurrence, record)| {
            record.steps.iter().enumerate().flat_map(move |(step, record)| {
                record.tasks.iter().enumerate().map(move |(index, task)| {
                    let key = TaskKey {
                        job,
                        occurrence: occurrence as u32,
                        step: step as u16,
                        index: index as u16,
                    };
                    (key, task)
                })
            })
        })
    }

    /// The tasks that hold room on a worker.
    pub fn placed_tasks(
        &self,
        job: JobKey,
    ) -> impl Iterator<Item = (TaskKey, RunNumber, &WorkerLife)> {
        self.tasks(job).filter_map(|(key, task)| match &task.phase {
            TaskPhase::Placed(worker) => Some((key, task.run, worker)),
            _ => None,
        })
    }
}
