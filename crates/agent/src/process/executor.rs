//! Sends requests to executors, each on a new connection: only a failure to connect proves that a
//! request did not run. See `docs/decisions/connections.md`.

use {
    crate::reducer::{ExecutorCall, EXECUTOR_TIME_LIMIT},
    base::ByteSize,
    bytes::Bytes,
    http::{header, HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode},
    proto::{
        messages::{
            DispatchOutcome, ForwardedAnswer, ForwardedRequest, NotRunReason, UnknownReason,
        },
        rpc::numeric_client,
    },
    std::{io, time::Duration},
};

const CONNECT_DEADLINE: Duration = Duration::from_secs(1);
/// The size of the HTTP client's buffer in each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;
const HEAD_LIMIT: usize = 64 * 1024;

/// Headers that apply to one connection only, or that the client writes anew (RFC 9110, 7.6.1).
const HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Sends requests to the executors of one worker.
#[derive(Debug, Clone)]
pub(super) struct ExecutorClient {
    client: ureq::Agent,
}

impl ExecutorClient {
    /// Creates a client that keeps no idle connections.
    pub(super) fn new() -> Self {
        let config = ureq::Agent::config_builder()
            .accept("")
            .accept_encoding("")
            .allow_non_standard_methods(true)
            .http_status_as_error(false)
            .input_buffer_size(BUFFER_BYTES)
            .max_idle_connections(0)
            .max_redirects(0)
            .max_response_header_size(HEAD_LIMIT)
            .output_buffer_size(BUFFER_BYTES)
            .proxy(None)
            .timeout_connect(Some(CONNECT_DEADLINE))
            .timeout_global(Some(EXECUTOR_TIME_LIMIT))
            .user_agent("")
            .build();
        Self { client: numeric_client(config) }
    }

    /// Sends one request and waits for its outcome.
    pub(super) fn call(&self, call: &ExecutorCall) -> DispatchOutcome {
        let Some(request) = build_request(call) else {
            return DispatchOutcome::NotRun(NotRunReason::BadRequest);
        };
        let is_head = request.method() == Method::HEAD;
        match self.run(request) {
            Ok(response) => read_answer(response, is_head, call.answer_limit),
            Err(error) => outcome_of_error(&error),
        }
    }

    fn run(&self, request: Request<Bytes>) -> Result<http::Response<ureq::Body>, ureq::Error> {
        let (parts, body) = request.into_parts();
        let carries_body = matches!(parts.method, Method::POST | Method::PUT | Method::PATCH);
        if body.is_empty() && !carries_body {
            return self.client.run(Request::from_parts(parts, ()));
        }
        self.client.run(Request::from_parts(parts, body.as_ref()))
    }
}

fn build_request(call: &ExecutorCall) -> Option<Request<Bytes>> {
    let ForwardedRequest { method, target, headers, body } = &call.request;
    if !target.starts_with('/') {
        return None;
    }
    let uri = format!("http://{}{target}", call.address);
    let mut request =
        Request::builder().method(method.as_str()).uri(uri).body(body.clone()).ok()?;
    let sent = request.headers_mut();
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(value).ok()?;
        if !HOP_HEADERS.contains(&name) {
            sent.append(name, value);
        }
    }
    // The executor closes the connection after its answer, so that it never holds more connections
    // than requests.
    sent.insert(header::CONNECTION, HeaderValue::from_static("close"));
    Some(request)
}

fn read_answer(
    response: http::Response<ureq::Body>,
    is_head: bool,
    limit: ByteSize,
) -> DispatchOutcome {
    let (parts, mut body) = response.into_parts();
    let bad_answer = DispatchOutcome::Unknown(UnknownReason::BadAnswer);
    if !is_head && !is_delimited(parts.status, &parts.headers) {
        return bad_answer;
    }
    let read = body.with_config().limit(limit.0).read_to_vec();
    let body = match read {
        Ok(body) => Bytes::from(body),
        Err(ureq::Error::Timeout(_)) => {
            return DispatchOutcome::Unknown(UnknownReason::ExecutorLost);
        }
        Err(_) => return bad_answer,
    };
    let headers = parts.headers.iter().filter(|(name, _)| {
        !HOP_HEADERS.contains(name) || (is_head && **name == header::CONTENT_LENGTH)
    });
    DispatchOutcome::Answered(ForwardedAnswer {
        status: parts.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
            .collect(),
        body,
    })
}

/// Returns true when the answer itself marks the end of its body. An answer that ends with the
/// connection can't be distinguished from a truncated one.
fn is_delimited(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

fn outcome_of_error(error: &ureq::Error) -> DispatchOutcome {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
            DispatchOutcome::NotRun(NotRunReason::NoEndpoint)
        }
        ureq::Error::Io(io) if io.kind() == io::ErrorKind::ConnectionRefused => {
            DispatchOutcome::NotRun(NotRunReason::NoEndpoint)
        }
        ureq::Error::Protocol(_) | ureq::Error::Http(_) | ureq::Error::BodyExceedsLimit(_) => {
            DispatchOutcome::Unknown(UnknownReason::BadAnswer)
        }
        _ => DispatchOutcome::Unknown(UnknownReason::ExecutorLost),
    }
}
