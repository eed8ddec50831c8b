//! Parses method, path and body into a typed call.

use {
    crate::node::OperatorCall,
    base::{IdError, TaskId},
    http::Method,
    proto::{
        messages::operator::{OperatorProblem, OperatorProblemKind},
        server::HttpRequest,
    },
    serde::de::DeserializeOwned,
    settings::PolicySubject,
    std::str::FromStr,
};

type Routed = Result<OperatorCall, OperatorProblem>;

/// Parses a request into a call.
pub(super) fn parse(request: &HttpRequest) -> Routed {
    let path = request.uri.path();
    let Some(route) = path.strip_prefix("/v1/") else { return Err(no_such_call(path)) };
    match request.method {
        Method::GET => parse_get(route, request.uri.query()),
        Method::POST => parse_post(route, &request.body),
        Method::DELETE => match route.strip_prefix("jobs/") {
            Some(job) => Ok(OperatorCall::Cancel(id(job)?)),
            None => Err(no_such_call(path)),
        },
        _ => Err(no_such_call(path)),
    }
}

fn parse_get(route: &str, query: Option<&str>) -> Routed {
    match route {
        "declarations" => return Ok(OperatorCall::Declarations),
        "jobs" => return Ok(OperatorCall::Jobs),
        "status" => return Ok(OperatorCall::Status),
        "explain/policy" => return Ok(OperatorCall::ExplainPolicy(subject(query)?)),
        _ => {}
    }
    if let Some(job) = route.strip_prefix("jobs/") {
        return Ok(OperatorCall::Job(id(job)?));
    }
    if let Some(task) = route.strip_prefix("explain/task/") {
        return Ok(OperatorCall::ExplainTask(id::<TaskId>(task)?));
    }
    if let Some(worker) = route.strip_prefix("explain/worker/") {
        return Ok(OperatorCall::ExplainWorker(id(worker)?));
    }
    Err(no_such_call(route))
}

fn parse_post(route: &str, body: &[u8]) -> Routed {
    match route {
        "declarations" => return Ok(OperatorCall::Apply(json(body)?)),
        "jobs" => return Ok(OperatorCall::Submit(json(body)?)),
        "members" => return Ok(OperatorCall::Members(json(body)?)),
        _ => {}
    }
    if let Some(job) = between(route, "jobs/", "/unpark") {
        return Ok(OperatorCall::Unpark(id(job)?));
    }
    if let Some(worker) = between(route, "workers/", "/drain") {
        return Ok(OperatorCall::Drain { worker: id(worker)?, draining: true });
    }
    if let Some(worker) = between(route, "workers/", "/undrain") {
        return Ok(OperatorCall::Drain { worker: id(worker)?, draining: false });
    }
    Err(no_such_call(route))
}

fn between<'a>(route: &'a str, start: &str, end: &str) -> Option<&'a str> {
    route.strip_prefix(start)?.strip_suffix(end)
}

fn subject(query: Option<&str>) -> Result<PolicySubject, OperatorProblem> {
    let mut subject = PolicySubject::default();
    for pair in query.unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        match key {
            "service" => subject.service = Some(id(value)?),
            "team" => subject.team = Some(id(value)?),
            "class" => subject.class = Some(id(value)?),
            "data_centre" => subject.data_centre = Some(id(value)?),
            "rack" => subject.rack = Some(id(value)?),
            "worker" => subject.worker = Some(id(value)?),
            _ => return Err(bad_request(format!("unknown policy selector {key:?}"))),
        }
    }
    Ok(subject)
}

fn id<T: FromStr<Err = IdError>>(text: &str) -> Result<T, OperatorProblem> {
    percent_decoded(text).parse().map_err(|error: IdError| bad_request(error.to_string()))
}

/// Decodes percent escapes. Identifiers need no escapes in a path, but some clients escape `/` and
/// `:` all the same.
fn percent_decoded(text: &str) -> String {
    let mut decoded = String::new();
    let mut rest = text;
    while let Some(position) = rest.find('%') {
        let digits = rest.get(position + 1..position + 3);
        let Some(byte) = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) else {
            break;
        };
        decoded.push_str(&rest[..position]);
        decoded.push(char::from(byte));
        rest = &rest[position + 3..];
    }
    decoded.push_str(rest);
    decoded
}

fn json<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorProblem> {
    serde_json::from_slice(body).map_err(|error| bad_request(error.to_string()))
}

fn bad_request(detail: String) -> OperatorProblem {
    OperatorProblem { kind: OperatorProblemKind::BadRequest, detail, leader: None }
}

fn no_such_call(path: &str) -> OperatorProblem {
    let detail = format!("no such API call: {path}");
    OperatorProblem { kind: OperatorProblemKind::NotFound, detail, leader: None }
}
