//! What passes between the rim and the rest of a process.

use {
    base::ByteSize,
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, Uri},
    std::{net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

/// A whole request.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Who sent it.
    pub peer: SocketAddr,
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers; the rim adds the length.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// A response with one header, its content type.
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: body.into() }
    }
}

/// Takes the one response to a request. Dropping it unanswered closes the exchange with 503.
#[derive(Debug)]
pub struct HttpResponder {
    pub(crate) sender: oneshot::Sender<HttpResponse>,
}

impl HttpResponder {
    /// Sends the response. A peer that has gone away is no error: nobody waits for it.
    pub fn send(self, response: HttpResponse) {
        let _ = self.sender.send(response);
    }

    /// True when the peer has gone away.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Receives whole requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Takes a request. Runs on a thread of the rim and must not block.
    fn handle(&self, request: HttpRequest, responder: HttpResponder);
}

impl<F> RequestHandler for F
where
    F: Fn(HttpRequest, HttpResponder) + Send + Sync + 'static,
{
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        self(request, responder);
    }
}

/// The bounds of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Open connections; further ones are closed at once.
    pub connections: usize,
    /// Requests in progress; further ones are answered with 503.
    pub requests: usize,
    /// Bytes of a request's head.
    pub head: ByteSize,
    /// Bytes of a request's body.
    pub body: ByteSize,
    /// Bytes of all requests' bodies together; a request for which there is no room is answered
    /// with 503.
    pub body_memory: ByteSize,
    /// How long a peer may take to send a head, counted from the accepted connection or the end of
    /// the exchange before: it bounds idle connections too.
    pub head_deadline: Duration,
    /// How long a peer may take to send a body.
    pub body_deadline: Duration,
    /// How long a response may take to be written once it is ready.
    pub write_deadline: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 1024,
            requests: 1024,
            head: ByteSize(16 * 1024),
            body: ByteSize(8 * 1024 * 1024),
            body_memory: ByteSize(64 * 1024 * 1024),
            head_deadline: Duration::from_secs(15),
            body_deadline: Duration::from_secs(30),
            write_deadline: Duration::from_secs(30),
        }
    }
}
