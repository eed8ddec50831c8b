//! Compares a `tiny_http` server with the `proto` HTTP server: the threads and memory of this
//! process under slow, idle and oversized senders. `docs/decisions/http.md` has the results.
//!
//! Run with `cargo run --release -p proto --example rim_comparison`.

use {
    base::PeerAddress,
    http::StatusCode,
    proto::server::{HttpRequest, HttpResponder, HttpResponse, HttpServer, ServerLimits},
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const IDLE_CONNECTIONS: usize = 400;
const HEAD_BYTES: usize = 64 * 1024 * 1024;
static CHUNK: [u8; 64 * 1024] = [b'a'; 64 * 1024];
/// Longer than the server's head deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

fn status(field: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let digits = line.unwrap_or("").trim_start_matches(':').trim();
    digits.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns how many bytes of an endless head the server accepts, and its memory growth in KiB.
fn oversized_head(address: SocketAddr) -> (usize, u64) {
    let before = status("VmRSS");
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_write_timeout(Some(CLOSE_TIMEOUT)).expect("a valid timeout");
    let _ = stream.write_all(b"GET / HTTP/1.1\r\nx: ");
    let mut sent = 0;
    while sent < HEAD_BYTES && stream.write_all(&CHUNK).is_ok() {
        sent += CHUNK.len();
    }
    thread::sleep(Duration::from_millis(500));
    (sent, status("VmRSS").saturating_sub(before))
}

/// Opens connections that send part of a head. Returns the number of threads they occupy, whether
/// the server still serves others, and how many of the connections the server has closed by the
/// end.
fn slow_heads(address: SocketAddr) -> (u64, bool, usize) {
    let before = status("Threads");
    let mut open: Vec<TcpStream> = (0..IDLE_CONNECTIONS)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(address).ok()?;
            stream.write_all(b"GET / HTTP/1.1\r\nhost:").ok()?;
            Some(stream)
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let threads = status("Threads").saturating_sub(before);
    let served = is_served(address);
    let until = Instant::now() + CLOSE_TIMEOUT;
    let mut closed = 0;
    for stream in &mut open {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).expect("a valid timeout");
        closed += usize::from(stream.read(&mut [0; 512]).is_ok());
    }
    (threads, served, closed)
}

fn is_served(address: SocketAddr) -> bool {
    let exchange = || {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok::<_, std::io::Error>(answer.starts_with("HTTP/1.1 200"))
    };
    exchange().unwrap_or(false)
}

fn report(name: &str, address: SocketAddr) {
    let (sent, kilobytes) = oversized_head(address);
    let (threads, served, closed) = slow_heads(address);
    println!(
        "| {name} | {} | {} | {threads} | {} | {closed} |",
        sent / 1024,
        kilobytes,
        if served { "yes" } else { "no" }
    );
}

fn start_tiny() -> SocketAddr {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an address");
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let _ = request.respond(tiny_http::Response::from_string("ok"));
        }
    });
    address
}

fn main() {
    println!(
        "| server | KiB of an endless head taken | KiB of memory for it | threads for \
         {IDLE_CONNECTIONS} slow heads | others served | slow heads closed within 20 s |"
    );
    println!("|---|---|---|---|---|---|");
    let handler = |_: HttpRequest, responder: HttpResponder| {
        responder.send(HttpResponse::new(StatusCode::OK, "text/plain", "ok"));
    };
    let address: PeerAddress = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start(address, ServerLimits::default(), Arc::new(handler));
    report("proto", server.as_ref().expect("a free port").address().0);
    report("tiny_http", start_tiny());
}
