//! A test server with low limits, and raw sockets connected to it.

use {
    base::{ByteSize, ClusterName, IncarnationNumber, PeerAddress, ProcessName, SystemClock},
    crossbeam::channel::{self, Receiver, Sender},
    http::StatusCode,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        rpc::ProcessIdentity,
        server::{
            HttpRequest, HttpResponder, HttpResponse, HttpServer, RequestHandler, ServerLimits,
        },
    },
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
        sync::Arc,
        time::Duration,
    },
};

/// Low limits, which a test reaches quickly.
pub const LIMITS: ServerLimits = ServerLimits {
    connections: 4,
    requests: 2,
    head: ByteSize(8192),
    body: ByteSize(64 * 1024),
    body_memory: ByteSize(96 * 1024),
    head_deadline: Duration::from_secs(20),
    body_deadline: Duration::from_secs(20),
    write_deadline: Duration::from_secs(20),
};

/// Deadlines short enough for a test to wait for.
pub const SHORT_DEADLINES: ServerLimits = ServerLimits {
    head_deadline: Duration::from_millis(300),
    body_deadline: Duration::from_millis(300),
    write_deadline: Duration::from_millis(300),
    ..LIMITS
};

const MAX_ATTEMPTS: usize = 50;

pub fn loopback() -> PeerAddress {
    "127.0.0.1:0".parse().unwrap()
}

/// Answers `/hold` when the test does, drops the responder of `/drop`, answers `/large` with a
/// large body, and all other paths with the length of the received body.
struct PendingHandler {
    pending: Sender<HttpResponder>,
}

impl RequestHandler for PendingHandler {
    fn handle(&self, request: HttpRequest, responder: HttpResponder) {
        let body = match request.uri.path() {
            "/hold" => return self.pending.send(responder).unwrap(),
            "/drop" => return drop(responder),
            "/large" => vec![b'x'; 64 * 1024 * 1024],
            path => format!("{} {path} {}", request.method, request.body.len()).into_bytes(),
        };
        responder.send(HttpResponse::new(StatusCode::OK, "text/plain", body));
    }
}

pub struct TestServer {
    pub http: HttpServer,
    pub pending: Receiver<HttpResponder>,
}

impl TestServer {
    pub fn start(limits: ServerLimits) -> Self {
        let (sender, pending) = channel::unbounded();
        let handler = Arc::new(PendingHandler { pending: sender });
        Self { http: HttpServer::start(loopback(), limits, handler).unwrap(), pending }
    }

    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.http.address().0).unwrap()
    }

    /// Sends bytes on a new connection and reads until the server closes the connection.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        read_all(&mut stream)
    }

    /// Checks with a well-formed exchange that the server still works. Retries, because on a busy
    /// machine the test may send its request later than the server's deadline.
    pub fn assert_works(&self) {
        let works = (0..MAX_ATTEMPTS).any(|_| {
            let mut stream = self.connect();
            let request = b"GET /ping HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
            let sent = stream.write_all(request);
            let answer = read_all(&mut stream);
            sent.is_ok() && answer.starts_with("HTTP/1.1 200") && answer.ends_with("GET /ping 0")
        });
        assert!(works, "the server no longer answers");
    }
}

/// Reads until the peer closes or resets the connection.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one response with a content length.
pub fn read_one(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    loop {
        if stream.read(&mut byte).unwrap() == 0 {
            break;
        }
        bytes.push(byte[0]);
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() == length.map_or(0, |length| length.parse().unwrap()) {
            break;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn identity(role: ProcessRole, cluster: &str, name: &str) -> Arc<ProcessIdentity> {
    let sender = SenderIdentity {
        cluster: ClusterName::new(cluster).unwrap(),
        role,
        name: ProcessName::new(name).unwrap(),
        incarnation: IncarnationNumber(1),
    };
    Arc::new(ProcessIdentity::new(sender, Arc::new(SystemClock::new())))
}
