//! Which replies prove that a dispatch did not run.

use {
    base::PeerAddress,
    bytes::Bytes,
    proto::{
        messages::{
            DispatchId, DispatchOutcome, DispatchReply, EndpointLoad, FenceReply, ForwardedAnswer,
            NotRunReason, UnknownReason,
        },
        rpc::{RpcError, RpcRefusal},
    },
    routing::{DispatchEnd, NotRunProof, RepeatRule},
    rstest::rstest,
    std::net::SocketAddr,
};

fn peer() -> PeerAddress {
    PeerAddress(SocketAddr::from(([10, 0, 0, 1], 1)))
}

fn dispatch(number: u32) -> DispatchId {
    DispatchId { request: "r".parse().unwrap(), number }
}

fn reply(number: u32, outcome: DispatchOutcome) -> Result<DispatchReply, RpcError> {
    Ok(DispatchReply { dispatch: dispatch(number), outcome, load: EndpointLoad::default() })
}

fn answer() -> DispatchOutcome {
    let (headers, body) = (Vec::new(), Bytes::new());
    DispatchOutcome::Answered(ForwardedAnswer { status: 200, headers, body })
}

#[rstest]
#[case::answered(reply(0, answer()), "answered")]
#[case::answer_to_another_dispatch(reply(1, answer()), "unconfirmed BadAnswer")]
#[case::refusal_of_another_dispatch(
    reply(1, DispatchOutcome::NotRun(NotRunReason::NoSlot)),
    "unconfirmed BadAnswer"
)]
#[case::agent_refused(reply(0, DispatchOutcome::NotRun(NotRunReason::NoSlot)), "not run NoSlot")]
#[case::agent_does_not_know(
    reply(0, DispatchOutcome::Unknown(UnknownReason::ExecutorLost)),
    "unknown ExecutorLost"
)]
#[case::never_connected(
    Err(RpcError::NotConnected { peer: peer(), detail: String::new() }),
    "not run NotConnected"
)]
#[case::refused_unread(
    Err(RpcError::Refused { peer: peer(), refusal: RpcRefusal::Overloaded }),
    "not run NoSlot"
)]
#[case::connection_lost(
    Err(RpcError::NoReply { peer: peer(), detail: String::new() }),
    "unconfirmed AgentLost"
)]
fn judged(#[case] result: Result<DispatchReply, RpcError>, #[case] expected: &str) {
    let found = match DispatchEnd::classify(&dispatch(0), result) {
        DispatchEnd::Answered(_) => "answered".to_owned(),
        DispatchEnd::NotRun(proof) => format!("not run {:?}", proof.reason()),
        DispatchEnd::Unknown(reason) => format!("unknown {reason:?}"),
        DispatchEnd::Unconfirmed(reason) => format!("unconfirmed {reason:?}"),
    };
    assert_eq!(found, expected);
}

#[rstest]
#[case::fenced(FenceReply::Fenced, true)]
#[case::running(FenceReply::InProgress, false)]
#[case::lost(FenceReply::Unknown(UnknownReason::ExecutorLost), false)]
#[case::restarted(FenceReply::OtherIncarnation(base::IncarnationNumber(2)), false)]
fn only_a_fenced_dispatch_proves_not_run(#[case] reply: FenceReply, #[case] expected: bool) {
    assert_eq!(NotRunProof::from_fence(&reply).is_some(), expected);
}

#[rstest]
#[case::get("GET", &[], true)]
#[case::put("PUT", &[], true)]
#[case::post("POST", &[], false)]
#[case::patch("PATCH", &[], false)]
#[case::declared("SEARCH", &["search"], true)]
#[case::methods_are_case_sensitive("get", &[], false)]
fn only_idempotent_or_declared_methods_are_repeatable(
    #[case] method: &str,
    #[case] declared: &[&str],
    #[case] expected: bool,
) {
    let declared: Vec<_> = declared.iter().map(|name| (*name).to_owned()).collect();
    assert_eq!(RepeatRule::from_method(method, &declared).is_idempotent(), expected);
}
