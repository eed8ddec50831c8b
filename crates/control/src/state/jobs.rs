//! Jobs, their tasks and the history of each task.

use {
    super::{reason::StepReason, task::TaskLife},
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
    /// The phase that was entered.
    pub phase: TaskPhase,
    /// The attempt.
    pub attempt: base::AttemptNumber,
    /// The worker, when there is one.
    pub worker: Option<WorkerId>,
    /// Why.
    pub reason: StepReason,
}

/// One task.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// Where it stands.
    pub life: TaskLife,
    /// Its newest steps, oldest first.
    pub history: VecDeque<StepRecord>,
}

impl TaskRecord {
    /// Enters a phase and notes why, keeping the newest `bound` steps.
    pub(super) fn enter(&mut self, at_ms: u64, life: TaskLife, reason: StepReason, bound: usize) {
        let worker = life.seat().or(self.life.seat()).map(|seat| seat.worker.clone());
        self.life = life;
        self.note(at_ms, worker, reason, bound);
    }

    /// Notes a step within a phase.
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
        let (phase, attempt) = (self.life.phase(), self.life.attempt());
        self.history.push_back(StepRecord { at_ms, phase, attempt, worker, reason });
    }

    fn status(&self, task: TaskId) -> TaskStatus {
        let seat = self.life.seat();
        TaskStatus {
            task,
            phase: self.life.phase(),
            attempt: self.life.attempt(),
            worker: seat.map(|seat| seat.worker.clone()),
            reserved: seat.map_or(ResourceVector::ZERO, |seat| seat.reserved),
            checkpoint: self.life.checkpoint().cloned(),
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
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// True once it has been cancelled.
    pub cancelled: bool,
    /// True while it is kept back.
    pub parked: bool,
    /// Tasks that may still run.
    pub open_tasks: u32,
    /// Its tasks, by index.
    pub tasks: Vec<TaskRecord>,
}

impl JobRecord {
    /// True when no task will run again.
    pub fn is_ended(&self) -> bool {
        self.open_tasks == 0
    }

    /// The job as operators see it.
    pub fn status(&self, with_tasks: bool) -> JobStatus {
        let mut phases: IndexMap<TaskPhase, u32> = IndexMap::new();
        for task in &self.tasks {
            *phases.entry(task.life.phase()).or_default() += 1;
        }
        phases.sort_unstable_keys();
        let tasks = if with_tasks { self.task_statuses() } else { Vec::new() };
        let phases = phases.into_iter().collect();
        JobStatus { spec: self.spec.clone(), cancelled: self.cancelled, phases, tasks }
    }

    fn task_statuses(&self) -> Vec<TaskStatus> {
        self.task_ids().zip(&self.tasks).map(|(id, task)| task.status(id)).collect()
    }

    /// The ids of its tasks.
    pub fn task_ids(&self) -> impl Iterator<Item = TaskId> + use<'_> {
        (0..self.tasks.len() as u32)
            .map(|index| TaskId::new(self.spec.id.clone(), TaskIndex(index)))
    }
}

/// Every job that is open, and the newest of those that have ended.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobTable {
    jobs: IndexMap<JobId, JobRecord>,
    ended: VecDeque<JobId>,
}

impl JobTable {
    /// Looks a job up.
    pub fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.jobs.get(job)
    }

    /// Looks a task up.
    pub fn task(&self, task: &TaskId) -> Option<&TaskRecord> {
        self.jobs.get(&task.job)?.tasks.get(task.index.0 as usize)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobRecord)> {
        self.jobs.iter()
    }

    pub(super) fn get_mut(&mut self, job: &JobId) -> Option<&mut JobRecord> {
        self.jobs.get_mut(job)
    }

    pub(super) fn insert(&mut self, job: JobRecord) {
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Notes that a task of a job will not run again, and forgets the job that ended first when
    /// more than `bound` ended jobs are kept.
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
