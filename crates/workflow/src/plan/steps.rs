//! The open steps of all jobs: what a pass may place.

use {
    super::{
        durations::DurationTable,
        urgency::{expected_lengths, prospect_of, remaining_work, JobProspect},
        PlanTime,
    },
    crate::{
        job::{JobKey, QueueRule, RunNumber, StepKey, StepSpec, TaskKey},
        state::{FlowState, JobRecord, StepRecord, TaskPhase, TaskRecord},
    },
};

/// One open step. Some of its tasks may wait.
pub(super) struct OpenStep<'a> {
    pub(super) job: JobKey,
    pub(super) record: &'a JobRecord,
    pub(super) occurrence: u32,
    step: u16,
    pub(super) prospect: JobProspect,
    /// The remaining work of the occurrence, in thousandths of core-milliseconds.
    pub(super) remaining_work: u64,
    /// The configured rule of the job's queue, if the queue is configured.
    pub(super) rule: Option<&'a QueueRule>,
}

impl<'a> OpenStep<'a> {
    pub(super) fn spec(&self) -> &'a StepSpec {
        &self.record.spec.steps[usize::from(self.step)]
    }

    /// Returns the service whose workers run the tasks.
    pub(super) fn service(&self) -> &'a str {
        self.rule.map_or(self.record.service.as_str(), |rule| rule.service.as_str())
    }

    pub(super) fn tasks(&self) -> &'a StepRecord {
        &self.record.occurrences[self.occurrence as usize].steps[usize::from(self.step)]
    }

    pub(super) fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }

    pub(super) fn key(&self, index: usize) -> TaskKey {
        let (job, occurrence, step) = (self.job, self.occurrence, self.step);
        TaskKey { job, occurrence, step, index: index as u16 }
    }

    /// Returns whether a lasting task of the step has lost its worker and waits for another.
    pub(super) fn is_displaced(&self) -> bool {
        let displaced =
            |task: &TaskRecord| task.phase == TaskPhase::Waiting && task.run > RunNumber(0);
        self.spec().lasting && self.tasks().tasks.iter().any(displaced)
    }

    /// Returns whether no task of the step is placed or done, as the start of a gang requires.
    pub(super) fn waits_as_whole(&self) -> bool {
        self.waiting().count() == self.tasks().tasks.len()
    }

    pub(super) fn waiting(&self) -> impl Iterator<Item = usize> + 'a {
        let tasks = self.tasks().tasks.iter().enumerate();
        tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting).map(|(index, _)| index)
    }
}

/// Returns the steps whose dependencies are done, and whose time has come.
pub(super) fn open_steps<'a>(
    state: &'a FlowState,
    durations: &DurationTable,
    time: PlanTime,
) -> Vec<OpenStep<'a>> {
    let mut open = Vec::new();
    for (job, record) in state.active_jobs() {
        if record.outcome.is_some() || record.unfinished == record.placed {
            continue;
        }
        let rule = state.config().and_then(|config| config.queue(&record.queue));
        for (occurrence, steps) in record.occurrences.iter().enumerate() {
            if steps.steps.iter().all(StepRecord::is_done) {
                continue;
            }
            let due = record.spec.due_ms(occurrence as u32);
            if due.is_some_and(|due| due > time.wall_ms) {
                continue;
            }
            let age_ms = match due {
                Some(due) => time.wall_ms.saturating_sub(due),
                None => state.clock_ms().saturating_sub(record.accepted_ms),
            };
            let lengths = expected_lengths((job, record), occurrence as u32, durations);
            let prospect = prospect_of(record, steps, &lengths, rule, age_ms);
            let remaining_work = remaining_work(record, steps, &lengths);
            for (step, spec) in record.spec.steps.iter().enumerate() {
                let tasks = &steps.steps[step];
                if !tasks.is_done() && steps.is_open(spec) {
                    let (occurrence, step) = (occurrence as u32, step as u16);
                    open.push(OpenStep {
                        job,
                        record,
                        occurrence,
                        step,
                        prospect,
                        remaining_work,
                        rule,
                    });
                }
            }
        }
    }
    open
}
