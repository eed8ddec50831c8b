//! Builds the responses to callers.

use {
    super::{headers::is_hop_by_hop, OWN_REQUEST_HEADER, REQUEST_HEADER},
    crate::problem::ProblemReport,
    base::RequestId,
    http::{header, HeaderMap, HeaderName, HeaderValue, StatusCode},
    proto::{
        messages::{ForwardedAnswer, UnknownReason},
        server::HttpResponse,
    },
};

const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";
const MILLIS_PER_SECOND: u128 = 1000;
/// Status codes whose responses have no body of their own, RFC 9110, section 8.6.
const BODILESS: [u16; 2] = [204, 304];

/// Returns the response for an executor's answer. An answer that can't be forwarded completely
/// becomes a problem with an unknown outcome, since its request ran.
pub(crate) fn answer_response(
    answer: ForwardedAnswer,
    method: &str,
    id: &RequestId,
    caller_id: Option<&str>,
) -> HttpResponse {
    match whole_response(answer, method) {
        Some(mut response) => {
            add_ids(&mut response.headers, id, caller_id);
            response
        }
        None => problem_response(&ProblemReport::unknown(UnknownReason::BadAnswer), id, caller_id),
    }
}

/// Returns the response for a request that ended without an answer.
pub(crate) fn problem_response(
    problem: &ProblemReport,
    id: &RequestId,
    caller_id: Option<&str>,
) -> HttpResponse {
    let status = StatusCode::from_u16(problem.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::new(status, PROBLEM_CONTENT_TYPE, problem.document(id));
    if let Some(wait) = problem.retry_after {
        let seconds = wait.as_millis().div_ceil(MILLIS_PER_SECOND).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers.insert(header::RETRY_AFTER, value);
        }
    }
    add_ids(&mut response.headers, id, caller_id);
    response
}

fn whole_response(answer: ForwardedAnswer, method: &str) -> Option<HttpResponse> {
    let status = StatusCode::from_u16(answer.status).ok()?;
    if status.is_informational() {
        return None;
    }
    let has_body = method != "HEAD" && !BODILESS.contains(&answer.status);
    let mut headers = HeaderMap::new();
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(value).ok()?;
        if name == header::CONTENT_LENGTH && has_body {
            let stated: usize = value.to_str().ok()?.parse().ok()?;
            if stated != answer.body.len() {
                return None;
            }
        } else if !is_hop_by_hop(&name) || name == header::CONTENT_LENGTH {
            headers.append(name, value);
        }
    }
    Some(HttpResponse { status, headers, body: answer.body })
}

fn add_ids(headers: &mut HeaderMap, id: &RequestId, caller_id: Option<&str>) {
    let shown = caller_id.unwrap_or(id.as_str());
    if let Ok(value) = HeaderValue::from_str(shown) {
        headers.insert(REQUEST_HEADER, value);
    }
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(OWN_REQUEST_HEADER, value);
    }
}
