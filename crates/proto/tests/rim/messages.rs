//! Internal messages that the receiver must reject, and replies that are not valid.

use {
    crate::support::{identity, loopback, TestServer, LIMITS},
    base::{PeerAddress, RevisionNumber},
    proto::{
        envelope::{seal, ProcessRole, PROTOCOL_VERSION},
        messages::{DeclarationPull, DeclarationReply, TablePull},
        rpc::{ConnectionUse, RpcCall, RpcClient, RpcError, RpcRefusal},
        server::{reply, HttpServer, RpcInbox, ServerLimits},
    },
    rstest::rstest,
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

const DEADLINE: Duration = Duration::from_secs(20);
const PULL: DeclarationPull = DeclarationPull { known: RevisionNumber(0) };

fn start_inbox(limits: ServerLimits) -> HttpServer {
    let identity = identity(ProcessRole::Control, "desk", "control-1");
    let replier = identity.clone();
    let inbox = RpcInbox::new(identity, move |path, frame, responder| {
        if path != DeclarationPull::PATH {
            return Err((RpcRefusal::NoSuchPath, responder));
        }
        let opened = frame
            .require_role(DeclarationPull::FROM)
            .and_then(|()| frame.body::<DeclarationPull>());
        match opened {
            Ok(_) => reply(responder, &replier, &DeclarationReply { newer: None }),
            Err(error) => return Err((RpcRefusal::from(&error), responder)),
        }
        Ok(())
    });
    HttpServer::start(loopback(), limits, std::sync::Arc::new(inbox)).unwrap()
}

fn call(server: PeerAddress, role: ProcessRole, cluster: &str) -> Result<(), RpcError> {
    let client = RpcClient::new(identity(role, cluster, "caller"));
    client.call(server, ConnectionUse::Fresh, DEADLINE, &PULL).map(|_| ())
}

fn refusal(result: Result<(), RpcError>) -> Option<RpcRefusal> {
    match result {
        Err(error) => {
            assert!(error.proves_not_done(), "{error}");
            match error {
                RpcError::Refused { refusal, .. } => Some(refusal),
                other => panic!("no refusal: {other}"),
            }
        }
        Ok(()) => None,
    }
}

#[rstest]
#[case::right(ProcessRole::Agent, "desk", None)]
#[case::wrong_role(ProcessRole::Operator, "desk", Some(RpcRefusal::WrongRole))]
#[case::other_cluster(ProcessRole::Agent, "other", Some(RpcRefusal::OtherCluster))]
fn senders_of_another_role_or_cluster_are_rejected(
    #[case] role: ProcessRole,
    #[case] cluster: &str,
    #[case] expected: Option<RpcRefusal>,
) {
    let server = start_inbox(ServerLimits::default());
    assert_eq!(refusal(call(server.address(), role, cluster)), expected);
    assert_eq!(refusal(call(server.address(), ProcessRole::Entry, "desk")), None);
}

fn post_raw(server: PeerAddress, path: &str, body: &[u8]) -> (String, Vec<u8>) {
    let mut stream = TcpStream::connect(server.0).unwrap();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let split = answer.windows(4).position(|window| window == b"\r\n\r\n").unwrap();
    let status = String::from_utf8_lossy(&answer[..12]).into_owned();
    (status, answer[split + 4..].to_vec())
}

fn frame_of_version(version: u16) -> Vec<u8> {
    let mut header = identity(ProcessRole::Agent, "desk", "agent-1").header();
    header.version = version;
    seal(header, &PULL).unwrap()
}

#[rstest]
#[case::empty(DeclarationPull::PATH, vec![], "HTTP/1.1 400", RpcRefusal::Malformed)]
#[case::text(DeclarationPull::PATH, b"{}".to_vec(), "HTTP/1.1 400", RpcRefusal::Malformed)]
#[case::huge_length(
    DeclarationPull::PATH,
    vec![0x92, 0xdd, 0xff, 0xff, 0xff, 0xff],
    "HTTP/1.1 400",
    RpcRefusal::Malformed
)]
#[case::deep(DeclarationPull::PATH, vec![0x91; 60_000], "HTTP/1.1 400", RpcRefusal::Malformed)]
#[case::cut(
    DeclarationPull::PATH,
    frame_of_version(PROTOCOL_VERSION)[..20].to_vec(),
    "HTTP/1.1 400",
    RpcRefusal::Malformed
)]
#[case::newer(
    DeclarationPull::PATH,
    frame_of_version(PROTOCOL_VERSION + 1),
    "HTTP/1.1 400",
    RpcRefusal::OtherVersion
)]
#[case::elsewhere(
    TablePull::PATH,
    frame_of_version(PROTOCOL_VERSION),
    "HTTP/1.1 404",
    RpcRefusal::NoSuchPath
)]
fn bad_messages_are_rejected_with_a_typed_reason(
    #[case] path: &str,
    #[case] body: Vec<u8>,
    #[case] status: &str,
    #[case] expected: RpcRefusal,
) {
    let server = start_inbox(ServerLimits::default());
    let (found, answer) = post_raw(server.address(), path, &body);
    assert_eq!(found, status);
    assert_eq!(rmp_serde::from_slice::<RpcRefusal>(&answer).unwrap(), expected);
    assert_eq!(refusal(call(server.address(), ProcessRole::Entry, "desk")), None);
}

/// The inbox rejects a caller's request that arrives on an internal port.
#[test]
fn callers_are_rejected_on_internal_ports() {
    let server = start_inbox(ServerLimits::default());
    let mut stream = TcpStream::connect(server.address().0).unwrap();
    stream.write_all(b"GET /quote HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 400"), "{}", String::from_utf8_lossy(&answer));
}

/// A rejection by the server, before the inbox receives the message, is also proof for the sender.
#[test]
fn rejections_by_the_server_prove_that_the_call_was_not_executed() {
    let body = base::ByteSize(16);
    let server = start_inbox(ServerLimits { body, ..ServerLimits::default() });
    let too_large = call(server.address(), ProcessRole::Entry, "desk");
    assert_eq!(refusal(too_large), Some(RpcRefusal::TooLarge));
    let full = TestServer::start(ServerLimits { connections: 0, ..LIMITS });
    let overloaded = call(full.http.address(), ProcessRole::Entry, "desk");
    assert_eq!(refusal(overloaded), Some(RpcRefusal::Overloaded));
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum CallProof {
    NotConnected,
    None,
}

/// Only a failure to connect proves that the call was not executed.
#[rstest]
#[case::closed_port(None, CallProof::NotConnected)]
#[case::closes(Some(b"".as_slice()), CallProof::None)]
#[case::cut_head(Some(b"HTTP/1.1 200 OK\r\ncontent-le".as_slice()), CallProof::None)]
#[case::cut_body(Some(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc".as_slice()), CallProof::None)]
#[case::no_frame(Some(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc".as_slice()), CallProof::None)]
#[case::error(Some(b"HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n".as_slice()), CallProof::None)]
#[case::garbage(Some(b"\x00\x01\x02\r\n\r\n".as_slice()), CallProof::None)]
fn invalid_replies_leave_the_outcome_unknown(
    #[case] answer: Option<&'static [u8]>,
    #[case] expected: CallProof,
    #[values(ConnectionUse::Fresh, ConnectionUse::Pooled)] connection: ConnectionUse,
) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = PeerAddress(listener.local_addr().unwrap());
    let peer = answer.map(|answer| {
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buffer = [0; 4096];
            let _ = stream.read(&mut buffer);
            let _ = stream.write_all(answer);
        })
    });
    let client = RpcClient::new(identity(ProcessRole::Entry, "desk", "entry-1"));
    let error = client.call(address, connection, DEADLINE, &PULL).map(|_| ()).unwrap_err();
    let found = if matches!(error, RpcError::NotConnected { .. }) {
        CallProof::NotConnected
    } else {
        CallProof::None
    };
    assert_eq!((found, error.proves_not_done()), (expected, expected == CallProof::NotConnected));
    if let Some(peer) = peer {
        peer.join().unwrap();
    }
}
