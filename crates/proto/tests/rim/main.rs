//! Sends bad input to the HTTP server over real sockets. Exceeding any limit gets a typed response
//! or a closed connection, and the server keeps serving other peers.

mod messages;
mod support;

use {
    http::StatusCode,
    proto::server::{HttpResponse, ServerLimits},
    rstest::rstest,
    std::{
        io::{Read, Write},
        net::{Shutdown, TcpStream},
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::Duration,
    },
    support::{read_all, read_one, TestServer, LIMITS, SHORT_DEADLINES},
};

const OK: &str = "HTTP/1.1 200";

fn answer_with(text: &'static str) -> HttpResponse {
    HttpResponse::new(StatusCode::OK, "text/plain", text)
}

fn post(path: &str, length: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n")
}

#[rstest]
#[case::not_http(b"hello\r\n\r\n".to_vec(), "HTTP/1.1 400")]
#[case::binary(vec![0x16, 3, 1, 0, 200, 1, 0, 0, 196, 3, 3], "HTTP/1.1 400")]
#[case::http2_is_closed(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(), "")]
#[case::bad_header(b"GET / HTTP/1.1\r\nhost: a\r\nb@d header\r\n\r\n".to_vec(), "HTTP/1.1 400")]
#[case::two_lengths(
    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec(),
    "HTTP/1.1 400"
)]
#[case::bad_chunk(
    b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".to_vec(),
    "broken-body"
)]
#[case::long_line([b"GET /".as_slice(), &[b'a'; 20_000], b" HTTP/1.1\r\n\r\n"].concat(), "HTTP/1.1 4")]
#[case::long_header(
    [b"GET / HTTP/1.1\r\nx: ".as_slice(), &[b'a'; 20_000], b"\r\n\r\n"].concat(),
    "HTTP/1.1 431"
)]
#[case::many_headers(
    [b"GET / HTTP/1.1\r\n".as_slice(), "a: b\r\n".repeat(500).as_bytes(), b"\r\n"].concat(),
    "HTTP/1.1 431"
)]
#[case::declared_length_too_large(post("/", 65 * 1024).into_bytes(), "body-too-large")]
#[case::dropped(b"GET /drop HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".to_vec(), "no-answer")]
fn malformed_requests_are_rejected(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let server = TestServer::start(LIMITS);
    let mut stream = server.connect();
    let _ = stream.write_all(&bytes);
    let answer = read_all(&mut stream);
    assert!(answer.contains(expected), "{answer:?}");
    server.assert_works();
}

/// A body without a declared length can't be rejected before the server has read more than the
/// limit.
#[test]
fn an_endless_chunked_body_is_cut_off() {
    let server = TestServer::start(LIMITS);
    let mut stream = server.connect();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n").unwrap();
    let chunk = [b"400\r\n".as_slice(), &[b'x'; 1024], b"\r\n"].concat();
    for _ in 0..65 {
        stream.write_all(&chunk).unwrap();
    }
    let answer = read_all(&mut stream);
    assert!(answer.contains("body-too-large"), "{answer:?}");
    server.assert_works();
}

#[rstest]
#[case::nothing("", "")]
#[case::part_of_a_head("GET / HTTP/1.1\r\nhost:", "")]
#[case::part_of_a_body("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc", "slow-body")]
#[case::part_of_a_chunk(
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
    "slow-body"
)]
fn silent_senders_are_cut_off(#[case] sent: &str, #[case] expected: &str) {
    let server = TestServer::start(SHORT_DEADLINES);
    let mut stream = server.connect();
    stream.write_all(sent.as_bytes()).unwrap();
    let answer = read_all(&mut stream);
    assert!(answer.contains(expected), "{answer:?}");
    server.assert_works();
}

/// The deadlines apply to the whole head and the whole body: bytes that arrive slowly do not extend
/// them.
#[rstest]
#[case::head("GET / HTTP/1.1\r\n", "")]
#[case::body("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60000\r\n\r\n", "slow-body")]
fn trickling_senders_are_cut_off(#[case] start: &str, #[case] expected: &str) {
    let server = TestServer::start(SHORT_DEADLINES);
    let mut stream = server.connect();
    stream.write_all(start.as_bytes()).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let trickle = thread::spawn(move || {
        // The write fails once the server has closed the connection.
        while writer.write_all(b"x").is_ok() {
            thread::sleep(Duration::from_millis(5));
        }
    });
    let answer = read_one_or_nothing(&mut stream);
    assert!(answer.contains(expected), "{answer:?}");
    stream.shutdown(Shutdown::Both).ok();
    trickle.join().unwrap();
    server.assert_works();
}

fn read_one_or_nothing(stream: &mut TcpStream) -> String {
    let mut buffer = vec![0; 4096];
    let count = stream.read(&mut buffer).unwrap_or(0);
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// A peer that does not read its response loses the connection, which frees the response's memory.
#[test]
fn a_peer_that_does_not_read_its_response_loses_the_connection() {
    let server = TestServer::start(ServerLimits { connections: 1, ..SHORT_DEADLINES });
    let mut stream = server.connect();
    stream.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    // Retries until the server has given up the first connection, which frees the only permit.
    loop {
        let mut next = server.connect();
        next.write_all(b"GET /ping HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
        let answer = read_all(&mut next);
        if answer.starts_with(OK) {
            break;
        }
        assert!(answer.contains("too-many-connections"), "{answer:?}");
    }
    assert!(read_all(&mut stream).len() < 64 * 1024 * 1024, "the answer was cut short");
}

#[test]
fn connections_above_the_limit_are_rejected_with_a_reason() {
    let server = TestServer::start(LIMITS);
    let mut open: Vec<TcpStream> = (0..LIMITS.connections).map(|_| server.connect()).collect();
    for stream in &mut open {
        stream.write_all(b"GET /ping HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        assert!(read_one(stream).starts_with(OK));
    }
    let refused = server.exchange(b"GET /ping HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(refused.contains("too-many-connections"), "{refused:?}");
    assert!(refused.contains("\"outcome\":\"not-run\""), "{refused:?}");
    // Open connections are not affected.
    open[0].write_all(b"GET /again HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert!(read_one(&mut open[0]).ends_with("GET /again 0"));
}

#[test]
fn requests_above_the_limit_are_rejected_with_a_reason() {
    let server = TestServer::start(LIMITS);
    let mut waiting: Vec<TcpStream> = (0..LIMITS.requests).map(|_| server.connect()).collect();
    let responders: Vec<_> = waiting
        .iter_mut()
        .map(|stream| {
            stream
                .write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                .unwrap();
            server.pending.recv().unwrap()
        })
        .collect();
    let refused = server.exchange(b"GET /ping HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(refused.contains("overloaded") && refused.contains("not-run"), "{refused:?}");
    for (stream, responder) in waiting.iter_mut().zip(responders) {
        responder.send(answer_with("whole"));
        assert!(read_all(stream).ends_with("whole"));
    }
    server.assert_works();
}

/// All bodies share one memory budget: the server rejects a second large body while the first is
/// pending.
#[test]
fn bodies_share_one_memory_budget() {
    let server = TestServer::start(LIMITS);
    let mut first = server.connect();
    first.write_all(post("/hold", 60 * 1024).as_bytes()).unwrap();
    first.write_all(&[b'x'; 60 * 1024]).unwrap();
    let responder = server.pending.recv().unwrap();
    let mut second = server.connect();
    second.write_all(post("/", 60 * 1024).as_bytes()).unwrap();
    second.write_all(&[b'x'; 60 * 1024]).unwrap();
    assert!(read_one(&mut second).contains("overloaded"));
    responder.send(answer_with("whole"));
    assert!(read_one(&mut first).ends_with("whole"));
    let mut third = server.connect();
    third.write_all(post("/", 60 * 1024).as_bytes()).unwrap();
    third.write_all(&[b'x'; 60 * 1024]).unwrap();
    assert!(read_one(&mut third).ends_with("POST / 61440"));
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(LIMITS);
    let mut stream = server.connect();
    let one = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    stream.write_all((one("/hold") + &one("/b") + &one("/c")).as_bytes()).unwrap();
    server.pending.recv().unwrap().send(answer_with("a"));
    let answers = [read_one(&mut stream), read_one(&mut stream), read_one(&mut stream)];
    let suffixes = ["a", "GET /b 0", "GET /c 0"];
    assert!(
        answers.iter().zip(suffixes).all(|(answer, suffix)| answer.ends_with(suffix)),
        "{answers:?}"
    );
}

/// The responder of a disconnected peer reports that it is closed, so that the handler can stop its
/// work.
#[test]
fn the_responder_of_a_disconnected_peer_is_closed() {
    let server = TestServer::start(LIMITS);
    let mut stream = server.connect();
    stream.write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let responder = server.pending.recv().unwrap();
    drop(stream);
    while !responder.is_closed() {
        thread::yield_now();
    }
    server.assert_works();
}

/// A shutdown answers requests in progress, requests in transit on open connections and connections
/// that the operating system has accepted but the server has not yet seen.
#[test]
fn shutdown_cuts_nothing_off() {
    let server = TestServer::start(ServerLimits { connections: 64, requests: 64, ..LIMITS });
    let mut idle = server.connect();
    idle.write_all(b"GET /ping HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert!(read_one(&mut idle).starts_with(OK));
    let mut busy = server.connect();
    busy.write_all(b"GET /hold HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let responder = server.pending.recv().unwrap();
    let mut queued: Vec<TcpStream> = (0..16).map(|_| server.connect()).collect();
    let TestServer { http, pending: _pending } = server;
    thread::scope(|scope| {
        let stopping = scope.spawn(|| http.shut_down());
        idle.write_all(b"GET /last HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        for stream in &mut queued {
            stream.write_all(b"GET /new HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
        }
        assert!(read_all(&mut idle).ends_with("GET /last 0"));
        for stream in &mut queued {
            assert!(read_all(stream).ends_with("GET /new 0"));
        }
        responder.send(answer_with("whole"));
        assert!(read_all(&mut busy).ends_with("whole"));
        stopping.join().unwrap();
    });
}

/// Guards against a reset between the handshake of a connection and the close of the listener.
#[test]
fn shutdown_resets_no_established_connection() {
    const SERVERS: usize = 8;
    const SHUTDOWNS: usize = 4;
    const CALLERS: usize = 3;
    const ANSWERS_BEFORE_SHUTDOWN: usize = 100;
    thread::scope(|scope| {
        for _ in 0..SERVERS {
            scope.spawn(|| {
                for _ in 0..SHUTDOWNS {
                    shut_down_beside_callers(CALLERS, ANSWERS_BEFORE_SHUTDOWN);
                }
            });
        }
    });
}

/// Shuts a server down beside callers, each of whose established connections is answered.
fn shut_down_beside_callers(callers: usize, answers_before: usize) {
    let limits = ServerLimits { connections: 64, requests: 64, ..LIMITS };
    let TestServer { http, pending: _pending } = TestServer::start(limits);
    let address = http.address();
    let answers = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..callers {
            scope.spawn(|| {
                while let Ok(mut stream) = TcpStream::connect(address.0) {
                    let request = b"GET /new HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
                    stream.write_all(request).expect("an established connection takes a request");
                    let mut answer = String::new();
                    stream
                        .read_to_string(&mut answer)
                        .expect("an established connection is served");
                    assert!(answer.starts_with(OK), "{answer:?}");
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        while answers.load(Ordering::Relaxed) < answers_before {
            thread::yield_now();
        }
        http.shut_down();
    });
}
