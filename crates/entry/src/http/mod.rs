//! Conversion between callers' HTTP messages and the types of the reducer and of `proto`.

mod headers;
mod parse;
mod respond;

pub(crate) use {
    parse::{parse_request, ParsedRequest},
    respond::{answer_response, problem_response},
};

/// Header that names the service of a request.
pub(crate) const SERVICE_HEADER: &str = "x-mangorouter-service";
/// Header with the caller's deadline, in milliseconds from now.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's own request id, which is echoed in the response.
pub(crate) const REQUEST_HEADER: &str = "x-request-id";
/// Header with the entry's request id.
pub(crate) const OWN_REQUEST_HEADER: &str = "x-mangorouter-request";
/// Header with the idempotency key under which a request may be resent.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
