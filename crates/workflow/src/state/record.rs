//! The replicated records of jobs, occurrences, steps and tasks.

use {
    super::command::Submission,
    crate::job::{JobKey, JobSpec, RunNumber, StepSpec, TaskKey, WorkerIncarnation},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobOutcome {
    /// Every task is done.
    Succeeded,
    /// A task has reached the limit of failures.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The phase of a job as callers see it.
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

/// The phase of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TaskPhase {
    /// The task has reserved no capacity.
    Waiting,
    /// The current run has reserved capacity on a worker.
    Placed(WorkerIncarnation),
    /// The task has completed its work.
    Done,
}

/// A task.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// The last run that was placed; 0 for none.
    pub run: RunNumber,
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The number of failed runs. A failed run of a gang's member counts for every member.
    pub failures: u32,
    /// The newest checkpoint that an ended run left; empty for none.
    pub checkpoint: String,
}

impl TaskRecord {
    /// Returns whether this run of the task has reserved capacity on a worker.
    pub fn is_placed(&self, run: RunNumber, worker: &WorkerIncarnation) -> bool {
        self.run == run && matches!(&self.phase, TaskPhase::Placed(at) if at == worker)
    }
}

/// A step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StepRecord {
    /// The tasks of the step.
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

    /// Returns whether every task is done.
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
    /// Returns whether the tasks of a step may run: all steps that it depends on are done.
    pub fn is_open(&self, spec: &StepSpec) -> bool {
        spec.depends_on.iter().all(|on| self.steps[usize::from(*on)].is_done())
    }
}

/// A job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue to which the caller submitted the job.
    pub queue: String,
    /// The service whose executors run the job.
    pub service: String,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failures after which a task fails its job. Tasks of lasting steps never do.
    pub attempt_limit: u32,
    /// The steps to run.
    pub spec: Arc<JobSpec>,
    /// The outcome of an ended job.
    pub outcome: Option<JobOutcome>,
    /// The occurrences.
    pub occurrences: Vec<OccurrenceRecord>,
    /// The number of tasks that have reserved capacity on a worker.
    pub placed: u32,
    /// Whether any task has ever been placed.
    pub begun: bool,
    /// The number of tasks that are not done.
    pub unfinished: u32,
    /// The time of acceptance on the log's clock, in milliseconds.
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

    /// Returns whether the job was cancelled before it was submitted. It is unknown to callers.
    pub fn is_withdrawn(&self) -> bool {
        self.spec.steps.is_empty()
    }

    /// Returns the phase that callers see.
    pub fn phase(&self) -> JobPhase {
        match self.outcome {
            Some(outcome) => JobPhase::Ended(outcome),
            None if self.begun => JobPhase::Running,
            None => JobPhase::Queued,
        }
    }

    /// Returns a task of the job.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskRecord> {
        self.step_record(key)?.tasks.get(usize::from(key.index))
    }

    pub(super) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRecord> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(key.step))?.tasks.get_mut(usize::from(key.index))
    }

    /// Returns the task that has used up its attempts, by which the job has failed. A lasting task
    /// has no limit.
    pub fn exhausted_task(&self, job: JobKey) -> Option<(TaskKey, &TaskRecord)> {
        self.tasks(job).find(|(key, task)| {
            let lasting = self.step_spec(key).is_some_and(|step| step.lasting);
            !lasting && task.failures >= self.attempt_limit
        })
    }

    /// Returns the record of a task's step.
    pub fn step_record(&self, key: &TaskKey) -> Option<&StepRecord> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        occurrence.steps.get(usize::from(key.step))
    }

    /// Returns the step of a task.
    pub fn step_spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(key.step))
    }

    /// Returns every task with its key.
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

    /// Returns the tasks that have reserved capacity on a worker.
    pub fn placed_tasks(
        &self,
        job: JobKey,
    ) -> impl Iterator<Item = (TaskKey, RunNumber, &WorkerIncarnation)> {
        self.tasks(job).filter_map(|(key, task)| match &task.phase {
            TaskPhase::Placed(worker) => Some((key, task.run, worker)),
            _ => None,
        })
    }
}
