//! The effect of each command on the state.

use {
    super::{
        command::{CommandOutcome, EndKind, Submission},
        record::{JobOutcome, JobRecord, TaskPhase},
        FlowState,
    },
    crate::job::{FleetConfig, JobKey, RunNumber, TaskKey, WorkerIncarnation},
    std::sync::Arc,
};

impl FlowState {
    pub(super) fn configure(&mut self, config: &FleetConfig) -> CommandOutcome {
        let newer = self.config.as_ref().is_none_or(|in_force| config.version > in_force.version);
        if !newer {
            return CommandOutcome::Stale;
        }
        self.config = Some(config.clone());
        CommandOutcome::Done
    }

    /// Records an executor's address and removes other executors at that address that have no
    /// placed task.
    pub(super) fn record_address(
        &mut self,
        executor: &Arc<str>,
        place: &Arc<str>,
    ) -> CommandOutcome {
        let placements = &self.placements;
        let reserved = |other: &Arc<str>| placements.incarnations_of(other).next().is_some();
        self.addresses.retain(|other, at| at != place || reserved(other));
        self.addresses.insert(executor.clone(), place.clone());
        CommandOutcome::Done
    }

    pub(super) fn submit(&mut self, submission: &Submission) -> CommandOutcome {
        let key = submission.job;
        if !self.jobs.contains_key(&key) {
            self.jobs.insert(key, JobRecord::new(submission, self.clock_ms));
            self.active.insert(key);
            self.tasks += submission.spec.task_count();
            self.withdrawn += usize::from(submission.is_withdrawn());
        }
        CommandOutcome::Done
    }

    pub(super) fn cancel(&mut self, key: JobKey) -> CommandOutcome {
        let mut running = false;
        let outcome = self.change_job(key, |job| {
            running = job.outcome.is_none();
            job.outcome.get_or_insert(JobOutcome::Cancelled);
            CommandOutcome::Done
        });
        if running {
            self.record_end(key);
        }
        outcome
    }

    pub(super) fn place(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        worker: &WorkerIncarnation,
    ) -> CommandOutcome {
        let outcome = self.change_job(key.job, |job| {
            if job.outcome.is_some() || !may_start(job, key, run) {
                return CommandOutcome::Stale;
            }
            let Some(task) = job.task_mut(key) else {
                return CommandOutcome::Stale;
            };
            task.run = run;
            task.phase = TaskPhase::Placed(worker.clone());
            job.placed += 1;
            job.begun = true;
            CommandOutcome::Done
        });
        if outcome == CommandOutcome::Done {
            self.placements.insert(*key, run, worker);
        }
        outcome
    }

    pub(super) fn adopt(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        worker: &WorkerIncarnation,
    ) -> CommandOutcome {
        let mut former = None;
        let outcome = self.change_job(key.job, |job| {
            let Some(task) = job.task_mut(key).filter(|task| task.run == run) else {
                return CommandOutcome::Stale;
            };
            match &mut task.phase {
                TaskPhase::Placed(at) if at.is_before(worker) => {
                    former = Some(std::mem::replace(at, worker.clone()));
                    CommandOutcome::Done
                }
                _ => CommandOutcome::Stale,
            }
        });
        if let Some(former) = former {
            self.placements.remove(key, &former);
            self.placements.insert(*key, run, worker);
        }
        outcome
    }

    pub(super) fn end(
        &mut self,
        key: &TaskKey,
        run: RunNumber,
        worker: &WorkerIncarnation,
        end: EndKind,
        checkpoint: &str,
    ) -> CommandOutcome {
        let mut released = Vec::new();
        let outcome = self.change_job(key.job, |job| {
            let current = job.task(key).is_some_and(|task| task.is_placed(run, worker));
            if !current {
                return CommandOutcome::Stale;
            }
            let placed = placed_with(job, key);
            end_current(job, key, end, checkpoint);
            released = placed;
            released.retain(|(task, worker)| !is_placed_on(job, task, worker));
            CommandOutcome::Done
        });
        for (task, worker) in released {
            self.placements.remove(&task, &worker);
        }
        if outcome == CommandOutcome::Done {
            self.settle(key.job);
        }
        outcome
    }

    fn change_job(
        &mut self,
        key: JobKey,
        change: impl FnOnce(&mut JobRecord) -> CommandOutcome,
    ) -> CommandOutcome {
        self.jobs.get_mut(&key).map_or(CommandOutcome::UnknownJob, change)
    }

    /// Records the outcome that the last end has brought, and deactivates an ended job without
    /// reservations.
    fn settle(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let ended_now = job.outcome.is_none() && job.unfinished == 0;
        if ended_now {
            job.outcome = Some(JobOutcome::Succeeded);
        }
        let exhausted = job.outcome.is_none() && job.exhausted_task(key).is_some();
        if exhausted {
            job.outcome = Some(JobOutcome::Failed);
        }
        if ended_now || exhausted {
            self.record_end(key);
        } else if job.outcome.is_some() && job.placed == 0 {
            self.active.remove(&key);
        }
    }

    fn record_end(&mut self, key: JobKey) {
        self.ended.insert((self.clock_ms, key));
        if self.jobs.get(&key).is_some_and(|job| job.placed == 0) {
            self.active.remove(&key);
        }
    }
}

/// Returns the placed tasks that the end of one of them may release: the members of its gang, or
/// the task alone.
fn placed_with(job: &JobRecord, key: &TaskKey) -> Vec<(TaskKey, WorkerIncarnation)> {
    let Some(spec) = job.step_spec(key) else { return Vec::new() };
    let indexes = if spec.gang { 0..spec.count } else { key.index..key.index + 1 };
    let placed = indexes.filter_map(|index| {
        let member = TaskKey { index, ..*key };
        match &job.task(&member)?.phase {
            TaskPhase::Placed(worker) => Some((member, worker.clone())),
            _ => None,
        }
    });
    placed.collect()
}

fn is_placed_on(job: &JobRecord, key: &TaskKey, worker: &WorkerIncarnation) -> bool {
    let phase = job.task(key).map(|task| &task.phase);
    matches!(phase, Some(TaskPhase::Placed(at)) if at == worker)
}

/// Returns whether a task may be placed as this run: it waits, its step is open, and the run is a
/// later one. The members of a gang may all carry the same run.
fn may_start(job: &JobRecord, key: &TaskKey, run: RunNumber) -> bool {
    let (Some(task), Some(spec)) = (job.task(key), job.step_spec(key)) else {
        return false;
    };
    let occurrence = &job.occurrences[key.occurrence as usize];
    task.phase == TaskPhase::Waiting && run > task.run && occurrence.is_open(spec)
}

fn end_current(job: &mut JobRecord, key: &TaskKey, end: EndKind, checkpoint: &str) {
    let Some(spec) = job.step_spec(key) else { return };
    let (lasting, gang) = (spec.lasting, spec.gang);
    job.placed -= 1;
    let Some(task) = job.task_mut(key) else { return };
    task.phase = TaskPhase::Waiting;
    if !checkpoint.is_empty() {
        task.checkpoint = checkpoint.to_owned();
    }
    if end == EndKind::Failed {
        count_failure(job, key, gang);
    }
    if end != EndKind::Done || lasting {
        return;
    }
    if gang {
        finish_gang(job, key);
    } else {
        finish_task(job, key);
    }
}

/// Counts a failed run. A gang fails as a whole, whichever member failed.
fn count_failure(job: &mut JobRecord, key: &TaskKey, gang: bool) {
    let step = &mut job.occurrences[key.occurrence as usize].steps[usize::from(key.step)];
    if gang {
        step.tasks.iter_mut().for_each(|task| task.failures += 1);
    } else {
        step.tasks[usize::from(key.index)].failures += 1;
    }
}

fn finish_task(job: &mut JobRecord, key: &TaskKey) {
    let step = &mut job.occurrences[key.occurrence as usize].steps[usize::from(key.step)];
    let task = &mut step.tasks[usize::from(key.index)];
    if task.phase == TaskPhase::Done {
        return;
    }
    if matches!(task.phase, TaskPhase::Placed(_)) {
        job.placed -= 1;
    }
    task.phase = TaskPhase::Done;
    step.done += 1;
    job.unfinished -= 1;
}

/// Marks all members of a gang as done: they are done together, so that one end stands for all.
fn finish_gang(job: &mut JobRecord, key: &TaskKey) {
    let count = job.step_spec(key).map_or(0, |step| step.count);
    for index in 0..count {
        finish_task(job, &TaskKey { index, ..*key });
    }
}
