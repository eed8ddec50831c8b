//! `explain task`, `worker` and `policy`.

use {
    crate::{
        arguments::CommandInvocation,
        error::CommandError,
        fleet_client::FleetClient,
        folder::{check_files, read_folder},
        output::{format_time_of_day, show, table},
    },
    base::{TaskId, WorkerId},
    proto::messages::operator::{ExplainReply, ExplainedDecision},
    serde::Serialize,
    settings::PolicySubject,
    std::{path::Path, time::SystemTime},
};

/// Explains the decisions on a task.
pub(super) fn task(invocation: &CommandInvocation, task: &TaskId) -> Result<(), CommandError> {
    decisions(invocation, &format!("/v1/explain/task/{task}"))
}

/// Explains the decisions on a worker.
pub(super) fn worker(
    invocation: &CommandInvocation,
    worker: &WorkerId,
) -> Result<(), CommandError> {
    decisions(invocation, &format!("/v1/explain/worker/{worker}"))
}

fn decisions(invocation: &CommandInvocation, path: &str) -> Result<(), CommandError> {
    let reply: ExplainReply = FleetClient::new(invocation)?.get(path)?;
    show(invocation, &reply, |reply| {
        let mut text = format!("{}\n", reply.subject);
        for decision in &reply.decisions {
            text += &format!(
                "  {} {}: {}\n      decided by {}\n",
                format_time_of_day(decision.at_ms),
                decision.decision,
                decision.reason,
                decision.rule
            );
        }
        text
    })
}

/// A policy value with the rule that set it.
#[derive(Serialize)]
struct ExplainedValue {
    key: String,
    value: String,
    decided_by: String,
    /// The revision that set the value; empty for a folder that is not in force.
    since: String,
}

/// Shows every value that applies to a subject and the rule that set it.
pub(super) fn policy(invocation: &CommandInvocation) -> Result<(), CommandError> {
    let values = match &invocation.folder {
        Some(folder) => explain_folder(invocation, folder)?,
        None => explain_in_force(invocation)?,
    };
    show(invocation, &values, |values| {
        let rows: Vec<_> = values
            .iter()
            .map(|value| {
                let cells = [&value.key, &value.value, &value.since, &value.decided_by];
                cells.map(String::clone).to_vec()
            })
            .collect();
        table(&["key", "value", "since", "decided by"], &rows)
    })
}

fn explain_folder(
    invocation: &CommandInvocation,
    folder: &Path,
) -> Result<Vec<ExplainedValue>, CommandError> {
    let fleet = check_files(&read_folder(folder)?)?;
    let resolved = fleet.policy_for(&invocation.subject, SystemTime::now());
    let explain = |(key, value): (String, String)| {
        let decided_by = resolved.source(&key).to_string();
        ExplainedValue { key, value, decided_by, since: String::new() }
    };
    Ok(resolved.values().into_iter().map(explain).collect())
}

fn explain_in_force(invocation: &CommandInvocation) -> Result<Vec<ExplainedValue>, CommandError> {
    let path = format!("/v1/explain/policy?{}", query(&invocation.subject));
    let reply: ExplainReply = FleetClient::new(invocation)?.get(&path)?;
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
