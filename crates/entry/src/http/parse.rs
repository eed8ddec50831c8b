//! Parses callers' requests.

use {
    super::{
        headers::end_to_end, DEADLINE_HEADER, KEY_HEADER, OWN_REQUEST_HEADER, REQUEST_HEADER,
        SERVICE_HEADER,
    },
    crate::reducer::RequestHead,
    base::{ByteSize, ServiceName},
    bytes::Bytes,
    http::{header, HeaderMap, Method, Uri},
    proto::{
        messages::{ForwardedRequest, RequestFingerprint},
        rpc::FRAME_CONTENT_TYPE,
        server::HttpRequest,
    },
    std::time::Duration,
};

/// Maximum length of an idempotency key and of a caller's request id, in bytes.
const TEXT_LIMIT: usize = 255;
const FINGERPRINT_BYTES: usize = 16;
const VIA: &str = "1.1 mangorouter";

/// A caller's request, split into the head that the reducer decides by and the message that is
/// forwarded.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub head: RequestHead,
    pub forwarded: ForwardedRequest,
    /// The caller's own request id.
    pub caller_id: Option<String>,
}

/// A malformed request, which is answered with status 400.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BadRequest;

/// Parses a request.
pub(crate) fn parse_request(request: &HttpRequest) -> Result<ParsedRequest, BadRequest> {
    let content_type = request.headers.get(header::CONTENT_TYPE);
    let is_internal = content_type.is_some_and(|value| value == FRAME_CONTENT_TYPE);
    if is_internal || request.method == Method::CONNECT {
        return Err(BadRequest);
    }
    let key = bounded_text(&request.headers, KEY_HEADER)?;
    let caller_id = bounded_text(&request.headers, REQUEST_HEADER)?;
    let target = request.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    let method = request.method.as_str().to_owned();
    let head = RequestHead {
        services: services(&request.headers, &request.uri)?,
        method: method.clone(),
        key,
        fingerprint: fingerprint(&method, &target, &request.body),
        deadline: deadline(&request.headers)?,
        body: ByteSize(request.body.len() as u64),
    };
    let forwarded = ForwardedRequest {
        method,
        target,
        headers: forwarded_headers(&request.headers),
        body: request.body.clone(),
    };
    Ok(ParsedRequest { head, forwarded, caller_id })
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let own = [SERVICE_HEADER, DEADLINE_HEADER, OWN_REQUEST_HEADER];
    let mut headers = end_to_end(headers);
    headers.retain(|(name, _)| !own.contains(&name.as_str()));
    headers.push((header::VIA.as_str().to_owned(), Bytes::from_static(VIA.as_bytes())));
    headers
}

fn bounded_text(headers: &HeaderMap, name: &str) -> Result<Option<String>, BadRequest> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= TEXT_LIMIT => Ok(Some(text.to_owned())),
        _ => Err(BadRequest),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(value) = headers.get(DEADLINE_HEADER) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok()).ok_or(BadRequest)?;
    Ok(Some(Duration::from_millis(millis)))
}

/// Returns the service named in the service header, or else the candidates: the first label of the
/// host, then the first segment of the path.
fn services(headers: &HeaderMap, uri: &Uri) -> Result<Vec<ServiceName>, BadRequest> {
    if let Some(value) = headers.get(SERVICE_HEADER) {
        let name = value.to_str().ok().and_then(|text| ServiceName::new(text).ok());
        return name.map(|name| vec![name]).ok_or(BadRequest);
    }
    let host = headers.get(header::HOST).and_then(|value| value.to_str().ok()).or(uri.host());
    let label = host.and_then(|host| host.split(['.', ':']).next());
    let segment = uri.path().split('/').nth(1);
    let names = [label, segment].into_iter().flatten();
    Ok(names.filter_map(|name| ServiceName::new(name).ok()).collect())
}

fn fingerprint(method: &str, target: &str, body: &[u8]) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; FINGERPRINT_BYTES];
    hasher.finalize_xof().fill(&mut digest);
    RequestFingerprint(digest)
}
