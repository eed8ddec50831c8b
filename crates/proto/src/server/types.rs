//! The types that pass between the HTTP server and the rest of a process.

use {
    base::ByteSize,
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, StatusCode, Uri},
    std::{net::SocketAddr, time::Duration},
    tokio::sync::oneshot,
};

/// A complete request.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The address of the sender.
    pub peer: SocketAddr,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers; the server adds `content-length`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Creates a response whose only header is its content type.
    pub fn new(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: body.into() }
    }
}

/// Sends the response to one request. Dropping it unused makes the server answer with 503.
#[derive(Debug)]
pub struct HttpResponder {
    pub(crate) sender: oneshot::Sender<HttpResponse>,
}

impl HttpResponder {
    /// Sends the response. Does nothing if the peer has disconnected.
    pub fn send(self, response: HttpResponse) {
        let _ = self.sender.send(response);
    }

    /// Returns true if the peer has disconnected.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Handles complete requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// Handles one request. Runs on the server's thread and must not block.
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

/// The limits of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// The maximum number of open connections; the server closes further ones at once.
    pub connections: usize,
    /// The maximum number of requests in progress; the server answers further ones with 503.
    pub requests: usize,
    /// The maximum size of a request's head, in bytes.
    pub head: ByteSize,
    /// The maximum size of a request's body, in bytes.
    pub body: ByteSize,
    /// The maximum size of all request bodies together, in bytes; the server answers a request that
    /// does not fit with 503.
    pub body_memory: ByteSize,
    /// How long a peer may take to send a head, counted from accepting the connection or from the
    /// end of the previous exchange. It bounds idle connections too.
    pub head_deadline: Duration,
    /// How long a peer may take to send a body.
    pub body_deadline: Duration,
    /// How long writing a response may take once the response is ready.
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
