//! From a caller's HTTP request to what the reducer and the executor need, and back.

mod headers;
mod parse;
mod respond;

pub(crate) use {
    parse::{parse_request, ParsedRequest},
    respond::{answer_response, problem_response},
};

/// Names the service that a request is for.
pub(crate) const SERVICE_HEADER: &str = "x-mangorouter-service";
/// How long the caller waits, in milliseconds.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The caller's own id of a request, echoed in the answer.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";
/// The entry's id of a request.
pub(crate) const OWN_REQUEST_HEADER: &str = "x-mangorouter-request";
/// The key under which a request may be resent.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
