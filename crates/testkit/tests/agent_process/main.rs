//! Tests of the agent over real sockets.

mod shutdown;
mod support;

use {
    base::{AttemptNumber, CpuMillis, ResourceVector, TaskId, TaskIndex},
    proto::messages::{
        AttemptState, DispatchOutcome, FenceReply, NotRunReason, PriorityClass, TaskAssignment,
        TaskCommand, ThrottleLevel, UnknownReason,
    },
    rstest::rstest,
    std::{thread, time::Duration},
    support::{id, key, request, AgentRig},
    testkit::{ExecutorFault, RawPeer, RawPeerMode},
};

fn answered(outcome: DispatchOutcome) -> (u16, Vec<u8>) {
    match outcome {
        DispatchOutcome::Answered(answer) => (answer.status, answer.body.to_vec()),
        other => panic!("no answer: {other:?}"),
    }
}

/// Methods, targets, headers and bodies reach the executor as the caller wrote them. A client
/// library that resolves dots or escapes in paths would change what the service receives.
#[rstest]
#[case("GET /quote?yard=moshi&yard=tanga", b"")]
#[case("GET /with-body", b"unusual but legal")]
#[case("PROPFIND /a/../b//c%2Fd", b"<x/>")]
#[case("DELETE /bookings/7", b"")]
#[case("POST /empty", b"")]
fn requests_reach_the_executor_unchanged(#[case] line: &str, #[case] body: &[u8]) {
    let rig = AgentRig::start(2);
    let headers = [("x-yard", "moshi"), ("x-twice", "1"), ("x-twice", "2"), ("host", "desk")];
    let reply = rig.dispatch(&request("r1", line, &headers, body));
    let (status, text) = answered(reply.outcome);
    let seen: serde_json::Value = serde_json::from_slice(&text).unwrap();
    let (method, target) = line.split_once(' ').unwrap();
    assert_eq!(
        (status, seen["method"].as_str(), seen["target"].as_str()),
        (200, Some(method), Some(target))
    );
    assert_eq!(seen["body"].as_str().map(str::as_bytes), Some(body));
    let seen_headers = seen["headers"].to_string().to_lowercase();
    for (name, value) in headers {
        assert!(seen_headers.contains(&format!("[\"{name}\",\"{value}\"]")), "{seen_headers}");
    }
}

#[test]
fn requests_beyond_the_slots_are_refused() {
    let rig = AgentRig::start(2);
    rig.executor.set_fault(ExecutorFault::Hang);
    thread::scope(|scope| {
        let pending = ["r1", "r2"].map(|name| {
            let rig = &rig;
            scope.spawn(move || rig.dispatch(&request(name, "POST /charge", &[], b"x")))
        });
        rig.executor.wait_in_use(2);
        let refused = rig.dispatch(&request("r3", "POST /charge", &[], b"x"));
        assert_eq!(refused.outcome, DispatchOutcome::NotRun(NotRunReason::NoSlot));
        assert_eq!((refused.load.in_use.0, refused.load.slots.0), (2, 2));
        rig.executor.set_fault(ExecutorFault::None);
        for pending in pending {
            assert_eq!(answered(pending.join().unwrap().outcome).0, 200);
        }
    });
    assert_eq!((rig.executor.peak(), rig.executor.executed().len()), (2, 2));
}

#[test]
fn repeated_keyed_dispatch_returns_the_stored_answer_without_running() {
    let rig = AgentRig::start(2);
    let mut keyed = request("r1", "POST /deposit", &[("x-echo", "body")], b"return 40");
    keyed.key = Some(key("r1"));
    let first = rig.dispatch(&keyed);
    assert_eq!(answered(first.outcome.clone()), (200, b"return 40".to_vec()));
    assert_eq!(rig.dispatch(&keyed).outcome, first.outcome);
    let FenceReply::Answered(stored) = rig.fence("r1") else { panic!("the answer is stored") };
    assert_eq!(stored.body.as_ref(), b"return 40");
    assert_eq!(rig.executor.executed().len(), 1);
}

#[test]
fn fenced_dispatch_never_runs() {
    let rig = AgentRig::start(2);
    assert_eq!(rig.fence("r1"), FenceReply::Fenced);
    let mut keyed = request("r1", "POST /deposit", &[], b"return 40");
    keyed.key = Some(key("r1"));
    let refused = DispatchOutcome::NotRun(NotRunReason::Fenced);
    assert_eq!(rig.dispatch(&keyed).outcome, refused);
    assert_eq!(rig.executor.executed().len(), 0);
}

#[test]
fn truncated_answer_has_an_unknown_outcome() {
    let rig = AgentRig::start(2);
    rig.executor.set_fault(ExecutorFault::Truncate);
    let reply = rig.dispatch(&request("r1", "GET /quote", &[], b""));
    assert_eq!(reply.outcome, DispatchOutcome::Unknown(UnknownReason::BadAnswer));
}

#[test]
fn slow_answer_arrives_complete() {
    let rig = AgentRig::start(2);
    rig.executor.set_fault(ExecutorFault::Slow(Duration::from_micros(100)));
    let reply = rig.dispatch(&request("r1", "POST /", &[("x-echo", "body")], &[b'x'; 500]));
    assert_eq!(answered(reply.outcome), (200, vec![b'x'; 500]));
}

const NO_ENDPOINT: DispatchOutcome = DispatchOutcome::NotRun(NotRunReason::NoEndpoint);
const LOST: DispatchOutcome = DispatchOutcome::Unknown(UnknownReason::ExecutorLost);
const BAD: DispatchOutcome = DispatchOutcome::Unknown(UnknownReason::BadAnswer);
const LATE: DispatchOutcome = DispatchOutcome::Unknown(UnknownReason::DeadlinePassed);

/// Only a connection that was never established proves that the executor did not run a request.
#[rstest]
#[case::refuses(None, NO_ENDPOINT)]
#[case::closes(Some(RawPeerMode::Close), LOST)]
#[case::silent(Some(RawPeerMode::Silent), LATE)]
#[case::garbage(Some(RawPeerMode::Answer(b"\x00\x01\r\n\r\n".to_vec())), BAD)]
#[case::cut_head(Some(RawPeerMode::Answer(b"HTTP/1.1 200 OK\r\ncont".to_vec())), LOST)]
#[case::cut_body(
    Some(RawPeerMode::Answer(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc".to_vec())),
    BAD
)]
#[case::cut_chunk(
    Some(RawPeerMode::Answer(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n".to_vec()
    )),
    BAD
)]
#[case::ends_with_its_connection(
    Some(RawPeerMode::Answer(b"HTTP/1.1 200 OK\r\n\r\nabc".to_vec())),
    BAD
)]
#[case::too_large(
    Some(RawPeerMode::Answer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\nabc".to_vec()
    )),
    BAD
)]
fn executor_failures_have_distinct_outcomes(
    #[case] mode: Option<RawPeerMode>,
    #[case] expected: DispatchOutcome,
) {
    let rig = AgentRig::start(2);
    let peer = RawPeer::start(mode.clone().unwrap_or(RawPeerMode::Close)).unwrap();
    let address = peer.address();
    let _peer = mode.is_some().then_some(peer);
    let announcement = format!(
        r#"{{"endpoint":"raw","service":"booking","address":"{address}","slots":1,"connections":1}}"#
    );
    assert_eq!(rig.post_announce("/announce", &announcement).0, 200);
    let mut dispatch = request("r1", "POST /charge", &[], b"x");
    dispatch.endpoint = id("raw");
    if expected == LATE {
        dispatch.remaining = Duration::from_millis(100);
    }
    assert_eq!(rig.dispatch(&dispatch).outcome, expected);
}

#[rstest]
#[case::no_json("/announce", "hello", 400, "malformed")]
#[case::missing("/announce", r#"{"endpoint":"e2"}"#, 400, "malformed")]
#[case::unknown_field("/leave", r#"{"endpoint":"e2","now":true}"#, 400, "malformed")]
#[case::elsewhere(
    "/announce",
    r#"{"endpoint":"e2","service":"s","address":"10.0.0.9:80","slots":1,"connections":1}"#,
    422,
    "foreign-address"
)]
#[case::other_path("/internal/dispatch", "", 404, "no-such-path")]
fn bad_announcements_are_refused(
    #[case] path: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let rig = AgentRig::start(1);
    let (found, text) = rig.post_announce(path, body);
    assert_eq!(found, status, "{text}");
    assert!(text.contains(reason), "{text}");
    assert_eq!(answered(rig.dispatch(&request("r1", "GET /", &[], b"")).outcome).0, 200);
}

/// The executor still works on the request after the caller has received an unknown outcome, so the
/// slot stays taken.
#[test]
fn slot_stays_taken_past_the_deadline() {
    let rig = AgentRig::start(1);
    rig.executor.set_fault(ExecutorFault::Hang);
    let mut short_deadline = request("r1", "POST /charge", &[], b"x");
    short_deadline.remaining = Duration::from_millis(50);
    let late = rig.dispatch(&short_deadline);
    assert_eq!(late.outcome, DispatchOutcome::Unknown(UnknownReason::DeadlinePassed));
    let refused = rig.dispatch(&request("r2", "POST /charge", &[], b"x"));
    assert_eq!(refused.outcome, DispatchOutcome::NotRun(NotRunReason::NoSlot));
    assert_eq!(rig.executor.peak(), 1);
}

#[test]
fn task_runs_until_it_finishes() {
    let rig = AgentRig::start(1);
    let assignment = TaskAssignment {
        task: TaskId::new(id("report"), TaskIndex(0)),
        attempt: AttemptNumber(1),
        class: id("report"),
        priority: PriorityClass::Batch,
        reserved: ResourceVector { cpu: CpuMillis(1000), ..ResourceVector::ZERO },
        checkpoint: None,
        service: None,
        payload: "run=10ms".to_owned(),
    };
    rig.leader.command(vec![TaskCommand::Run { assignment, throttle: ThrottleLevel::FULL }]);
    rig.leader.wait_report(|report| report.state == AttemptState::Finished);
    assert_eq!(rig.worker.history().len(), 1);
}

/// The leader has no newer revision; the agent pulls it from the entry that names it.
#[test]
fn agent_pulls_declarations_from_the_entry_that_names_a_newer_revision() {
    let rig = AgentRig::start(1);
    rig.set_entry_revision(5);
    rig.dispatch(&request("r1", "GET /quote", &[], b""));
    rig.leader.wait_revision(5);
}
