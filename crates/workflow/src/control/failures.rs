//! Says why a job has failed.

use crate::{
    event::FlowEvent,
    job::{JobKey, TaskKey},
    state::{EndKind, FlowCommand, JobOutcome, JobRecord},
};

/// Returns the event about a failed job, given the commands of the entry that has failed it.
pub(super) fn failure_event(
    key: JobKey,
    job: &JobRecord,
    commands: &[FlowCommand],
) -> Option<FlowEvent> {
    if job.outcome != Some(JobOutcome::Failed) {
        return None;
    }
    let (task, record) = job.exhausted_task(key)?;
    Some(FlowEvent::JobFailed {
        task,
        run: record.run,
        failures: record.failures,
        attempt_limit: job.attempt_limit,
        written_off: written_off(&task, commands),
        crashes: record.run.crashes(),
        unclear_crashes: record.run.suspicions() - record.run.crashes(),
    })
}

/// Counts the failed runs of a task that one entry of the log both places and ends: attempts that
/// were written off, since no order goes out for such a run.
fn written_off(key: &TaskKey, commands: &[FlowCommand]) -> u32 {
    let places = |ended| {
        let placed = |command: &FlowCommand| matches!(command, FlowCommand::Place { task, run, .. } if task == key && *run == ended);
        commands.iter().any(placed)
    };
    let failed = commands.iter().filter(|command| {
        matches!(command, FlowCommand::End { task, run, end: EndKind::Failed, .. }
            if task == key && places(*run))
    });
    failed.count() as u32
}
