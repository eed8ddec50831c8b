//! Jobs, their tasks and the history of each task.

use {
    super::{reason::StepReason, task::TaskLifecycle},
    base::{JobId, ResourceVector, TaskId, TaskIndex, WorkerId},
    indexmap::IndexMap,
    proto::messages::{
        operator::{JobStatus, TaskPhase, TaskStatus, TaskStep},
        JobSpec,
    },
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The largest number of tasks in one job.
pub const TASKS_PER_JOB_LIMIT: u32 = 10_000;

/// One step of a task, with its reason in typed form.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepRecord {
    /// Milliseconds since the Unix epoch, from the log.
    pub at_ms: u64,
    /// The phase of the task after this step.
    pub phase: TaskPhase,
    /// The attempt.
    pub attempt: base::AttemptNumber,
    /// The worker that holds the task after this step or held it just before, if there is one.
    pub worker: Option<WorkerId>,
    /// Why the task took this step.
    pub reason: StepReason,
}

/// One task.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// The task in its current phase.
    pub lifecycle: TaskLifecycle,
    /// The most recent steps, oldest first.
    pub history: VecDeque<StepRecord>,
}

impl TaskRecord {
    /// Enters a phase and records the step, keeping the most recent `bound` steps.
    pub(super) fn enter(
        &mut self,
        at_ms: u64,
        lifecycle: TaskLifecycle,
        reason: StepReason,
        bound: usize,
    ) {
        let worker = lifecycle
            .placement()
            .or(self.lifecycle.placement())
            .map(|placement| placement.worker.clone());
        self.lifecycle = lifecycle;
        self.note(at_ms, worker, reason, bound);
    }

    /// Records a step within the current phase.
    pub(super) fn note(
        &mut self,
        at_ms: u64,
        worker: Option<WorkerId>,
        reason: StepReason,
        bound: usize,
    ) {
        while self.history.len() >= bound.max(1) {
            self.history.pop_front();
        }
        let (phase, attempt) = (self.lifecycle.phase(), self.lifecycle.attempt());
        self.history.push_back(StepRecord { at_ms, phase, attempt, worker, reason });
    }

    fn status(&self, task: TaskId) -> TaskStatus {
        let placement = self.lifecycle.placement();
        TaskStatus {
            task,
            phase: self.lifecycle.phase(),
            attempt: self.lifecycle.attempt(),
            worker: placement.map(|placement| placement.worker.clone()),
            reserved: placement.map_or(ResourceVector::ZERO, |placement| placement.reserved),
            checkpoint: self.lifecycle.checkpoint().cloned(),
            history: self.history.iter().map(StepRecord::to_step).collect(),
        }
    }
}

impl StepRecord {
    fn to_step(&self) -> TaskStep {
        TaskStep {
            at_ms: self.at_ms,
            phase: self.phase,
            attempt: self.attempt,
            worker: self.worker.clone(),
            reason: self.reason.to_string(),
        }
    }
}

/// One job.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as the operator submitted it.
    pub spec: JobSpec,
    /// True once an operator has cancelled the job.
    pub cancelled: bool,
    /// True while the job is parked.
    pub parked: bool,
    /// The number of tasks that have not ended.
    pub open_tasks: u32,
    /// The tasks, by index.
    pub tasks: Vec<TaskRecord>,
}

impl JobRecord {
    /// Returns true if no task will run again.
    pub fn is_ended(&self) -> bool {
        self.open_tasks == 0
    }

    /// Returns the status of the job for operators.
    pub fn status(&self, with_tasks: bool) -> JobStatus {
        let mut phases: IndexMap<TaskPhase, u32> = IndexMap::new();
        for task in &self.tasks {
            *phases.entry(task.lifecycle.phase()).or_default() += 1;
        }
        phases.sort_unstable_keys();
        let tasks = if with_tasks { self.task_statuses() } else { Vec::new() };
        let phases = phases.into_iter().collect();
        JobStatus { spec: self.spec.clone(), cancelled: self.cancelled, phases, tasks }
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        self.task_ids().zip(&self.tasks).map(|(id, task)| task.status(id)).collect()
    }

    /// Returns the ids of the tasks.
    pub fn task_ids(&self) -> impl Iterator<Item = TaskId> + use<'_> {
        (0..self.tasks.len() as u32)
            .map(|index| TaskId::new(self.spec.id.clone(), TaskIndex(index)))
    }
}

/// All open jobs, and the jobs that ended most recently.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobTable {
    jobs: IndexMap<JobId, JobRecord>,
    ended: VecDeque<JobId>,
}

impl JobTable {
    /// Looks up a job.
    pub fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.jobs.get(job)
    }

    /// Looks up a task.
    pub fn task(&self, task: &TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&task.job)?.tasks.get(task.index.0 as usize)
    }

    /// Iterates over all jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter()
    }

    pub(super) fn get_mut(&mut self, job: &JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(job)
    }

    pub(super) fn insert(&mut self, job: JobRecord) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Records that a task has ended. If this ends the job and more than `bound` ended jobs are
    /// retained, removes the ones that ended first.
    pub(super) fn close_task(&mut self, job: &JobId, bound: usize) {
        let Some(record) = self.jobs.get_mut(job) else { return };
        record.open_tasks = record.open_tasks.saturating_sub(1);
        if !record.is_ended() {
            return;
        }
        self.ended.push_back(job.clone());
        while self.ended.len() > bound.max(1) {
            let Some(oldest) = self.ended.pop_front() else { return };
            self.jobs.swap_remove(&oldest);
        }
    }
}
