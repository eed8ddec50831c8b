//! `explain task`, `worker` and `policy`.

use {
    crate::{
        arguments::CommandCall,
        failure::CommandFailure,
        fleet_client::FleetClient,
        folder::{check_files, read_folder},
        output::{show, table, time_of_day},
    },
    base::{TaskId, WorkerId},
    proto::messages::{operator::ExplainReply, DeclarationBundle},
    serde::Serialize,
    std::time::SystemTime,
};

/// Explains a task.
pub(super) fn task(call: &CommandCall, task: &TaskId) -> Result<(), CommandFailure> {
    decisions(call, &format!("/v1/explain/task/{task}"))
}

/// Explains a worker.
pub(super) fn worker(call: &CommandCall, worker: &WorkerId) -> Result<(), CommandFailure> {
    decisions(call, &format!("/v1/explain/worker/{worker}"))
}

fn decisions(call: &CommandCall, path: &str) -> Result<(), CommandFailure> {
    let reply: ExplainReply = FleetClient::new(call)?.get(path)?;
    show(call, &reply, |reply| {
        let mut text = format!("{}\n", reply.subject);
        for decision in &reply.decisions {
            text += &format!(
                "  {} {}: {}\n      decided by {}\n",
                time_of_day(decision.at_ms),
                decision.decision,
                decision.reason,
                decision.rule
            );
        }
        text
    })
}

/// One value with what decided it.
#[derive(Serialize)]
struct ExplainedValue {
    key: String,
    value: String,
    decided_by: String,
}

/// Shows every value that holds for a subject and what decided it.
pub(super) fn policy(call: &CommandCall) -> Result<(), CommandFailure> {
    let files = match &call.folder {
        Some(folder) => read_folder(folder)?,
        None => FleetClient::new(call)?.get::<DeclarationBundle>("/v1/declarations")?.files,
    };
    let resolved = check_files(&files)?.policy_for(&call.subject, SystemTime::now());
    let values: Vec<ExplainedValue> = resolved
        .values()
        .into_iter()
        .map(|(key, value)| {
            let decided_by = resolved.source(&key).to_string();
            ExplainedValue { key, value, decided_by }
        })
        .collect();
    show(call, &values, |values| {
        let rows: Vec<_> = values
            .iter()
            .map(|value| vec![value.key.clone(), value.value.clone(), value.decided_by.clone()])
            .collect();
        table(&["value", "is", "decided by"], &rows)
    })
}
