//! Explains the phase and the steps of a task, the phase of a worker and the steps of its tasks,
//! and the policy that applies to a subject.

use {
    super::{operator::not_found, ControlNode, OperatorAnswer},
    crate::state::{StepRecord, WorkerRecord},
    base::{TaskId, WorkerId},
    proto::messages::operator::{ExplainReply, ExplainedDecision, TaskPhase},
    settings::PolicySubject,
};

/// Upper bound on the decisions in one explanation.
const DECISIONS_LIMIT: usize = 64;

impl ControlNode {
    pub(super) fn explain_task(&self, task: &TaskId) -> OperatorAnswer {
        let Some(record) = self.state.jobs().task(task) else {
            return not_found(format!("there is no task {task}"));
        };
        let wait = self.leader.as_ref().and_then(|leader| leader.model.wait_reason(task));
        let waits = record.lifecycle.is_waiting();
        let mut decisions: Vec<_> = wait
            .filter(|_| waits)
            .map(|reason| ExplainedDecision {
                at_ms: self.wall_ms(),
                decision: "waits for placement".to_owned(),
                reason: reason.to_string(),
                rule: String::new(),
            })
            .into_iter()
            .collect();
        decisions.extend(record.history.iter().rev().map(explain_step));
        OperatorAnswer::Explained(ExplainReply { subject: format!("task {task}"), decisions })
    }

    pub(super) fn explain_worker(&self, worker: &WorkerId) -> OperatorAnswer {
        let Some(record) = self.state.workers().get(worker) else {
            return not_found(format!("there is no worker {worker}"));
        };
        let mut decisions = vec![self.explain_phase(worker, record)];
        let mut steps: Vec<(&TaskId, &StepRecord)> = record
            .reserved_tasks
            .iter()
            .filter_map(|task| Some((task, self.state.jobs().task(task)?)))
            .flat_map(|(task, found)| found.history.iter().map(move |step| (task, step)))
            .filter(|(_, step)| step.worker.as_ref() == Some(worker))
            .collect();
        steps.sort_by_key(|(_, step)| std::cmp::Reverse(step.at_ms));
        decisions.extend(steps.into_iter().take(DECISIONS_LIMIT).map(|(task, step)| {
            let explained = explain_step(step);
            let decision = format!("task {task}: {}", explained.decision);
            ExplainedDecision { decision, ..explained }
        }));
        OperatorAnswer::Explained(ExplainReply { subject: format!("worker {worker}"), decisions })
    }

    fn explain_phase(&self, worker: &WorkerId, record: &WorkerRecord) -> ExplainedDecision {
        let leased = self.leader.as_ref().is_some_and(|leader| leader.leases.is_active(worker));
        let (decision, reason) = if record.lost {
            ("lost", "its lease expired without a heartbeat".to_owned())
        } else if record.drained {
            ("draining", "an operator drains it".to_owned())
        } else if record.announcement.draining {
            ("draining", "its agent reports that it is draining".to_owned())
        } else if let Some(jobs) = record.failed_jobs {
            ("quarantined", format!("{jobs} distinct jobs failed on it; it gets probes only"))
        } else if leased {
            ("ready", "it holds a lease".to_owned())
        } else {
            ("not used", "it has sent no heartbeat since the leader was elected".to_owned())
        };
        ExplainedDecision {
            at_ms: self.wall_ms(),
            decision: decision.to_owned(),
            reason,
            rule: String::new(),
        }
    }

    pub(super) fn explain_policy(&self, subject: &PolicySubject) -> OperatorAnswer {
        let resolved = self.state.declarations().fleet().policy_for(subject, self.wall());
        let mut values = Vec::new();
        if let Ok(policy) = serde_json::to_value(&resolved.policy) {
            flatten("", &policy, &mut values);
        }
        let decisions = values
            .into_iter()
            .map(|(key, value)| {
                let source = resolved.source(&key);
                let rule = source.rule_name(&key);
                let since = self.state.declarations().rule_since(rule.as_deref());
                ExplainedDecision {
                    at_ms: self.wall_ms(),
                    decision: format!("{key} = {value}"),
                    reason: format!("since revision {since}"),
                    rule: source.to_string(),
                }
            })
            .collect();
        OperatorAnswer::Explained(ExplainReply { subject: describe(subject), decisions })
    }
}

fn explain_step(step: &StepRecord) -> ExplainedDecision {
    let place = step.worker.as_ref().map(|worker| format!(" on {worker}")).unwrap_or_default();
    let attempt = step.attempt;
    ExplainedDecision {
        at_ms: step.at_ms,
        decision: format!("{}{place}, attempt {attempt}", phase_text(step.phase)),
        reason: step.reason.to_string(),
        rule: step.reason.rule().map(ToString::to_string).unwrap_or_default(),
    }
}

fn phase_text(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Pending => "pending",
        TaskPhase::Placed => "placed",
        TaskPhase::Running => "running",
        TaskPhase::Stopping => "stopping",
        TaskPhase::Evicted => "evicted",
        TaskPhase::Finished => "finished",
        TaskPhase::Failed => "failed",
        TaskPhase::Cancelled => "cancelled",
        TaskPhase::Parked => "parked",
    }
}

fn flatten(prefix: &str, value: &serde_json::Value, values: &mut Vec<(String, String)>) {
    let serde_json::Value::Object(inner) = value else {
        values.push((prefix.to_owned(), value.to_string()));
        return;
    };
    for (key, value) in inner {
        let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
        flatten(&path, value, values);
    }
}

fn describe(subject: &PolicySubject) -> String {
    let parts = [
        subject.service.as_ref().map(|name| format!("service {name}")),
        subject.team.as_ref().map(|name| format!("team {name}")),
        subject.class.as_ref().map(|name| format!("class {name}")),
        subject.data_centre.as_ref().map(|name| format!("data centre {name}")),
        subject.rack.as_ref().map(|name| format!("rack {name}")),
        subject.worker.as_ref().map(|name| format!("worker {name}")),
    ];
    let parts: Vec<_> = parts.into_iter().flatten().collect();
    if parts.is_empty() {
        return "policy of the fleet".to_owned();
    }
    format!("policy of {}", parts.join(", "))
}
