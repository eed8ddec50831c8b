//! Formats the agent's effects as lines of a scenario's output.

use {
    agent::{
        platform::{AttemptId, PlatformCall, PlatformReply},
        AgentEffect,
    },
    proto::messages::{
        AgentHeartbeat, AttemptState, DispatchOutcome, FenceReply, StartRefusal, UsageReport,
    },
    telemetry::CatalogueEvent,
};

pub fn attempt(id: &AttemptId) -> String {
    format!("{}@{}", id.task, id.attempt)
}

pub fn outcome(outcome: &DispatchOutcome) -> String {
    match outcome {
        DispatchOutcome::Answered(answer) => {
            format!("answered {}", String::from_utf8_lossy(&answer.body))
        }
        DispatchOutcome::NotRun(reason) => format!("not run: {reason:?}"),
        DispatchOutcome::Unknown(reason) => format!("unknown: {reason:?}"),
    }
}

fn fence(reply: &FenceReply) -> String {
    match reply {
        FenceReply::Answered(answer) => {
            format!("answered {}", String::from_utf8_lossy(&answer.body))
        }
        other => format!("{other:?}"),
    }
}

fn state(state: &AttemptState) -> String {
    match state {
        AttemptState::Running => "running".into(),
        AttemptState::Finished => "finished".into(),
        AttemptState::Failed { detail } => format!("failed: {detail}"),
        AttemptState::Stopped { checkpoint: None } => "stopped".into(),
        AttemptState::Stopped { checkpoint: Some(checkpoint) } => {
            format!("stopped with checkpoint {checkpoint}")
        }
        AttemptState::Refused(StartRefusal::Platform { detail }) => {
            format!("refused by the platform: {detail}")
        }
        AttemptState::Refused(refusal) => format!("refused: {refusal:?}"),
    }
}

/// Formats a heartbeat. Returns `None` for one that carries nothing but its sequence number, its
/// cursor and usage.
pub fn heartbeat(heartbeat: &AgentHeartbeat) -> Option<String> {
    let mut words = Vec::new();
    if let Some(announcement) = &heartbeat.announcement {
        let draining = if announcement.draining { " draining" } else { "" };
        words.push(format!("worker({}{draining})", announcement.capacity));
    }
    if let Some(endpoints) = &heartbeat.endpoints {
        let endpoints = endpoints.iter().map(|known| {
            let draining = if known.draining { " draining" } else { "" };
            format!("{} {}{draining}", known.endpoint, known.slots)
        });
        words.push(format!("endpoints({})", endpoints.collect::<Vec<_>>().join(", ")));
    }
    for report in &heartbeat.reports {
        words.push(format!("{}@{} {}", report.task, report.attempt, state(&report.state)));
    }
    if heartbeat.reports_complete {
        words.push("nothing else".into());
    }
    (!words.is_empty()).then(|| words.join("; "))
}

pub fn call(call: &PlatformCall) -> Option<String> {
    Some(match call {
        PlatformCall::List | PlatformCall::Renew { .. } | PlatformCall::Forget { .. } => {
            return None;
        }
        PlatformCall::Run { assignment, lease, .. } => {
            let id = AttemptId { task: assignment.task.clone(), attempt: assignment.attempt };
            format!("run {} until {}", attempt(&id), lease.until.0)
        }
        PlatformCall::Checkpoint { id } => format!("checkpoint {}", attempt(id)),
        PlatformCall::Throttle { id, throttle } => format!("throttle {} {throttle}", attempt(id)),
        PlatformCall::Stop { id } => format!("stop {}", attempt(id)),
    })
}

pub fn reply(reply: &PlatformReply) -> String {
    match reply {
        PlatformReply::Listing(_) => "listing".into(),
        PlatformReply::Done => "done".into(),
        PlatformReply::Checkpointed { checkpoint } => format!("checkpoint {checkpoint}"),
        PlatformReply::Ended { state } => format!("ended: {state:?}"),
        PlatformReply::Refused { detail } => format!("refused: {detail}"),
    }
}

/// Formats an effect. Returns `None` for effects that other lines of the output show.
pub fn effect(effect: &AgentEffect) -> Option<String> {
    Some(match effect {
        AgentEffect::ReplyDispatch { reply, .. } => {
            let load = reply.load;
            let outcome = outcome(&reply.outcome);
            format!("{}: {outcome} ({} of {} slots)", reply.dispatch, load.in_use, load.slots)
        }
        AgentEffect::ReplyFence { reply, .. } => format!("fence: {}", fence(reply)),
        AgentEffect::CallExecutor(call) => {
            format!("executor {} receives {}", call.address, call.dispatch)
        }
        AgentEffect::PutInForce(bundle) => format!("revision {} in force", bundle.revision),
        AgentEffect::PullDeclarations { peer, known } => {
            format!("pulls from {peer} declarations after {known}")
        }
        AgentEffect::Record(event) if event.number() == 4011 || event.number() == 4019 => {
            return None;
        }
        AgentEffect::Record(event) => {
            let fields = event.fields().into_iter().map(|(name, text)| format!(" {name}={text}"));
            format!("E{} {}{}", event.number(), event.name(), fields.collect::<String>())
        }
        AgentEffect::RecordProcess(event) => format!("E{} {}", event.number(), event.name()),
        AgentEffect::SendHeartbeat(_) | AgentEffect::CallPlatform(_) => return None,
    })
}

pub fn usage(usage: &UsageReport) -> String {
    let tasks = usage.tasks.iter().map(|task| {
        format!(" {}@{} {} speed {}", task.task, task.attempt, task.used.cpu, task.speed_permille)
    });
    let services =
        usage.services.iter().map(|used| format!(" {} x{}", used.service, used.requests));
    let words: String = tasks.chain(services).collect();
    format!("usage {} ms ago:{words}", usage.age.as_millis())
}
