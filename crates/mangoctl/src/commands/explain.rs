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
    proto::messages::operator::{ExplainReply, ExplainedDecision},
    serde::Serialize,
    settings::PolicySubject,
    std::{path::Path, time::SystemTime},
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
    /// Since which revision; empty for a folder that is not in force.
    since: String,
}

/// Shows every value that holds for a subject and what decided it.
pub(super) fn policy(call: &CommandCall) -> Result<(), CommandFailure> {
    let values = match &call.folder {
        Some(folder) => explain_folder(call, folder)?,
        None => explain_in_force(call)?,
    };
    show(call, &values, |values| {
        let rows: Vec<_> = values
            .iter()
            .map(|value| {
                let cells = [&value.key, &value.value, &value.since, &value.decided_by];
                cells.map(String::clone).to_vec()
            })
            .collect();
        table(&["value", "is", "since", "decided by"], &rows)
    })
}

fn explain_folder(
    call: &CommandCall,
    folder: &Path,
) -> Result<Vec<ExplainedValue>, CommandFailure> {
    let fleet = check_files(&read_folder(folder)?)?;
    let resolved = fleet.policy_for(&call.subject, SystemTime::now());
    let explain = |(key, value): (String, String)| {
        let decided_by = resolved.source(&key).to_string();
        ExplainedValue { key, value, decided_by, since: String::new() }
    };
    Ok(resolved.values().into_iter().map(explain).collect())
}

fn explain_in_force(call: &CommandCall) -> Result<Vec<ExplainedValue>, CommandFailure> {
    let path = format!("/v1/explain/policy?{}", query(&call.subject));
    let reply: ExplainReply = FleetClient::new(call)?.get(&path)?;
    let explain = |decision: ExplainedDecision| {
        let (key, value) = decision.decision.split_once(" = ").unwrap_or_default();
        ExplainedValue {
            key: key.to_owned(),
            value: value.to_owned(),
            decided_by: decision.rule,
            since: decision.reason,
        }
    };
    Ok(reply.decisions.into_iter().map(explain).collect())
}

fn query(subject: &PolicySubject) -> String {
    let fields = [
        subject.service.as_ref().map(|name| format!("service={name}")),
        subject.team.as_ref().map(|name| format!("team={name}")),
        subject.class.as_ref().map(|name| format!("class={name}")),
        subject.data_centre.as_ref().map(|name| format!("data_centre={name}")),
        subject.rack.as_ref().map(|name| format!("rack={name}")),
        subject.worker.as_ref().map(|name| format!("worker={name}")),
    ];
    fields.into_iter().flatten().collect::<Vec<_>>().join("&")
}
