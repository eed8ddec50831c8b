//! From the words of a scenario to values.

use {
    agent::{platform::AttemptId, reducer::AgentConfig, AgentReducer},
    base::{duration_text, IncarnationNumber, ResourceVector, RevisionNumber},
    proto::messages::{
        DeclarationBundle, DeclarationFile, DispatchId, IdempotencyKey, PriorityClass,
        TaskAssignment, TaskCommand, ThrottleLevel,
    },
    std::{fmt::Display, str::FromStr, time::Duration},
    testkit::WorkerFault,
};

/// What the worker of every scenario has.
pub const WORKER: &str = "cpu=4 memory=8GB";

pub fn new_agent(incarnation: IncarnationNumber, saved: Option<DeclarationBundle>) -> AgentReducer {
    let config = AgentConfig {
        worker: id("w1"),
        incarnation,
        region: id("north"),
        data_centre: id("arusha"),
        rack: id("r1"),
        capacity: resources(WORKER),
        address: id("127.0.0.1:7000"),
        operator_address: id("127.0.0.1:7001"),
        control_peers: vec![id("127.0.0.1:1"), id("127.0.0.1:2"), id("127.0.0.1:3")],
        call_limit: 100,
    };
    AgentReducer::new(config, saved)
}

pub fn run_command(id: &AttemptId, rest: &str) -> TaskCommand {
    let assignment = TaskAssignment {
        task: id.task.clone(),
        attempt: id.attempt,
        class: "report".parse().unwrap(),
        priority: PriorityClass::Batch,
        reserved: resources(rest),
        checkpoint: field(rest, "checkpoint"),
        service: None,
        payload: field::<String>(rest, "payload").unwrap_or("endless".into()).replace('+', " "),
    };
    let throttle = ThrottleLevel(field(rest, "throttle").unwrap_or(100));
    TaskCommand::Run { assignment, throttle }
}

pub fn resources(text: &str) -> ResourceVector {
    ResourceVector {
        cpu: field(text, "cpu").unwrap_or_default(),
        memory: field(text, "memory").unwrap_or_default(),
        accelerators: field(text, "accelerators").unwrap_or_default(),
    }
}

pub fn field<T: FromStr<Err: Display>>(text: &str, name: &str) -> Option<T> {
    let fields = text.split_whitespace().filter_map(|word| word.split_once('='));
    let (_, found) = fields.into_iter().find(|(key, _)| *key == name)?;
    Some(id(found))
}

pub fn id<T: FromStr<Err: Display>>(text: &str) -> T {
    text.parse().unwrap_or_else(|error| panic!("{text}: {error}"))
}

pub fn attempt_id(text: &str) -> AttemptId {
    let (task, attempt) = text.split_once('@').expect("written as task@attempt");
    AttemptId { task: id(task), attempt: id(attempt) }
}

pub fn dispatch_id(name: &str) -> DispatchId {
    let (request, number) = name.split_once('#').unwrap_or((name, "0"));
    DispatchId { request: id(request), number: id(number) }
}

pub fn key(text: String) -> IdempotencyKey {
    IdempotencyKey { service: id("booking"), text }
}

pub fn bundle(revision: u64) -> DeclarationBundle {
    let text = format!("[defaults.lease]\nheartbeat = \"{revision}s\"\n");
    let files = vec![DeclarationFile { path: "fleet.toml".into(), text }];
    DeclarationBundle { revision: RevisionNumber(revision), files }
}

pub fn duration(text: &str) -> Duration {
    duration_text::parse(text).unwrap_or_else(|| panic!("no duration: {text}"))
}

pub fn fault_named(name: &str) -> WorkerFault {
    match name {
        "works" => WorkerFault::None,
        "silent" => WorkerFault::Silent,
        "loses-answers" => WorkerFault::LosesAnswers,
        "fails-tasks" => WorkerFault::FailsTasks,
        "refuses-tasks" => WorkerFault::RefusesTasks,
        other => panic!("no such fault: {other}"),
    }
}
