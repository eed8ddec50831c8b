//! Formats effects as lines of text.

use {
    entry::EntryEffect,
    proto::messages::ClaimEnd,
    routing::{FlightNumber, RequestNumber},
};

pub fn parse_flight(text: &str) -> FlightNumber {
    let (request, dispatch) = text.split_once('.').unwrap();
    FlightNumber {
        request: RequestNumber(request.parse().unwrap()),
        dispatch: dispatch.parse().unwrap(),
    }
}

fn flight(number: &FlightNumber) -> String {
    format!("{}.{}", number.request.0, number.dispatch)
}

/// Formats an effect as one line, or as nothing if the effect only records an event.
pub fn write_effect(effect: &EntryEffect) -> String {
    let line = match effect {
        EntryEffect::Record(_) => return String::new(),
        EntryEffect::Dispatch(plan) => {
            let connection = if plan.repeatable { "pooled" } else { "fresh" };
            let key = plan.key.as_ref().map(|key| format!(" key={}", key.text));
            let to = &plan.target.endpoint;
            format!(
                "dispatch {} to {to} {connection}{}",
                flight(&plan.flight),
                key.unwrap_or_default()
            )
        }
        EntryEffect::Answer { number, answer } => format!("answer {} {}", number.0, answer.status),
        EntryEffect::Refuse { number, problem } => {
            let wait = problem.retry_after.map(|wait| format!(" retry-after={wait:?}"));
            format!(
                "refuse {} {} {} {}{}",
                number.0,
                problem.status(),
                problem.outcome_text(),
                problem.reason_text(),
                wait.unwrap_or_default()
            )
        }
        EntryEffect::Claim { flight: number, peer, claim, .. } => {
            let replaces = claim.replaces.as_ref().map(|old| format!(" replaces {old}"));
            let target = &claim.target.endpoint;
            format!(
                "claim {} {} for {target} at {}{}",
                flight(number),
                claim.key.text,
                peer.0.port(),
                replaces.unwrap_or_default()
            )
        }
        EntryEffect::Close { peer, close, .. } => {
            let end = match &close.end {
                ClaimEnd::Answered(answer) => format!("answered {}", answer.status),
                ClaimEnd::NotRun => "not-run".to_owned(),
                ClaimEnd::Lost(reason) => format!("lost {reason:?}"),
            };
            format!("close {} of {} {end} at {}", close.key.text, close.dispatch, peer.0.port())
        }
        EntryEffect::Fence { flight: number, fence, agent, .. } => {
            format!("fence for {}: {} at {}", flight(number), fence.dispatch, agent.0.port())
        }
        EntryEffect::PullTable { peer, pull, .. } => {
            format!("pull table after {} from {}", pull.known.sequence, peer.0.port())
        }
        EntryEffect::PullDeclarations { peer, known } => {
            format!("pull declarations after {known} from {}", peer.0.port())
        }
        EntryEffect::ServeDeclarations { .. } => "serve declarations".to_owned(),
        EntryEffect::InForce(revision) => format!("in force: {revision}"),
        EntryEffect::DeclarationsRefused { revision, .. } => format!("refused: {revision}"),
        EntryEffect::Ready => "ready".to_owned(),
        EntryEffect::Drained => "drained".to_owned(),
    };
    format!("{line}\n")
}
