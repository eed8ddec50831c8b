//! How the last runs of waiting tasks have ended, as the entries of the log say.
//!
//! Every replica collects this when it applies entries, so that a new leader can name the ends that
//! an earlier one has recorded. It serves log lines alone: it is no part of the replicated state,
//! and a snapshot does not hold it.

use {
    crate::{
        event::{EndFact, FormerRun},
        job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
        state::{CommandBatch, CommandOutcome, EndKind, FlowCommand, FlowState, TaskPhase},
    },
    std::collections::{BTreeMap, HashMap},
};

/// The end of a run as an entry holds it.
#[derive(Debug)]
struct LoggedEnd {
    run: RunNumber,
    worker: WorkerIncarnation,
    end: EndKind,
    /// The log's clock when the entry was applied.
    at_ms: u64,
}

/// The last ends of tasks of open jobs that have run and wait again.
#[derive(Debug, Default)]
pub(super) struct LoggedEnds(BTreeMap<TaskKey, LoggedEnd>);

impl LoggedEnds {
    /// Notes the ends in an entry, and forgets those of tasks that are placed again and of jobs that
    /// have ended. `state` holds the entry, whose commands had these outcomes there. A run that is
    /// placed and ended in one entry was only used up, and leaves the end before it.
    pub(super) fn note_applied(
        &mut self,
        batch: &CommandBatch,
        outcomes: &[CommandOutcome],
        state: &FlowState,
    ) {
        let mut replaced: HashMap<TaskKey, (RunNumber, Option<LoggedEnd>)> = HashMap::new();
        for (command, outcome) in batch.commands.iter().zip(outcomes) {
            if *outcome != CommandOutcome::Done {
                continue;
            }
            match command {
                FlowCommand::Place { task, run, .. } => {
                    replaced.insert(*task, (*run, self.0.remove(task)));
                }
                FlowCommand::End { task, run, worker, end, .. } => {
                    let used_up = replaced.remove(task).filter(|(placed, _)| placed == run);
                    if let Some((_, before)) = used_up {
                        self.0.extend(before.map(|before| (*task, before)));
                    } else {
                        self.note_end(*task, *run, worker, *end, state);
                    }
                    self.forget_if_ended(task.job, state);
                }
                FlowCommand::Cancel { job } => self.forget_if_ended(*job, state),
                _ => {}
            }
        }
    }

    fn note_end(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        worker: &WorkerIncarnation,
        end: EndKind,
        state: &FlowState,
    ) {
        let record = state.task(&task);
        if !record.is_some_and(|record| record.phase == TaskPhase::Waiting) {
            return;
        }
        let (worker, at_ms) = (worker.clone(), state.clock_ms());
        self.0.insert(task, LoggedEnd { run, worker, end, at_ms });
    }

    fn forget_if_ended(&mut self, job: JobKey, state: &FlowState) {
        if state.job(job).is_some_and(|record| record.outcome.is_none()) {
            return;
        }
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let tasks = self.0.range(first..).map(|(task, _)| *task);
        let tasks: Vec<TaskKey> = tasks.take_while(|task| task.job == job).collect();
        for task in tasks {
            self.0.remove(&task);
        }
    }

    /// Returns the last run of a task whose end the log holds, at a time of the log's clock.
    pub(super) fn former_run(&self, task: &TaskKey, clock_ms: u64) -> Option<FormerRun> {
        let LoggedEnd { run, worker, end, at_ms } = self.0.get(task)?;
        Some(FormerRun {
            run: *run,
            worker: worker.clone(),
            end: *end,
            fact: EndFact::EarlierLeader,
            age_ms: clock_ms.saturating_sub(*at_ms),
        })
    }
}
