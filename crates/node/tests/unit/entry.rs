//! Tests of what a caller is told: over streams to a scripted leader, and with given times.

use {
    super::*,
    crate::scripted::{on_local_set, ScriptedControl, ScriptedLeader},
    rstest::rstest,
    workflow::job::JobSpec,
};

const AMPLE: Duration = Duration::from_secs(60);
const START: Duration = Duration::from_secs(100);

fn submit() -> CallerCall {
    CallerCall::Submit(JobSpec::default())
}

fn start(controls: &[&ScriptedControl]) -> EntryHandle {
    let seeds = controls.iter().map(|control| control.address).collect();
    let log = LineLog::start("entry").unwrap();
    start_entry(EntrySetup { name: String::new(), seeds }, log)
}

fn send(handle: &EntryHandle, call: CallerCall, time_limit: Duration) -> AnswerTask {
    let handle = handle.clone();
    tokio::task::spawn_local(async move {
        handle.call("h".to_owned(), "/q/1".to_owned(), call, time_limit).await
    })
}

type AnswerTask = tokio::task::JoinHandle<CallerAnswer>;

/// Waits until the leader has sent nothing for longer than a request is forwarded without a probe.
async fn fall_silent(leader: &mut ScriptedLeader) {
    leader.answer_ping().await;
    assert!(matches!(leader.next().await, Some(LinkMessage::Ping { .. })));
}

fn pending(call: CallerCall, time_limit: Duration) -> (PendingCall, AnswerReceiver) {
    let (reply, answer) = oneshot::channel();
    (PendingCall::new(String::new(), String::new(), call, reply, START, time_limit), answer)
}

type AnswerReceiver = oneshot::Receiver<CallerAnswer>;

// The leader's machine was cut off. Until the entry noticed, every call went into the dead stream,
// and the caller was told that it may have run.
#[test]
fn a_call_that_arrives_while_the_leader_is_silent_is_refused_as_not_run() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        let mut leader = control.lead(&[]).await;
        fall_silent(&mut leader).await;
        let answer = send(&handle, submit(), AMPLE);
        assert_eq!(answer.await.unwrap(), CallerAnswer::Refused);
        while let Some(message) = leader.next().await {
            assert!(matches!(message, LinkMessage::Ping { .. }), "{message:?}");
        }
    });
}

// A stall of the leader that ends must not cost the calls that arrived meanwhile.
#[test]
fn a_call_that_waits_for_a_silent_leader_is_forwarded_once_it_answers() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        let mut leader = control.lead(&[]).await;
        fall_silent(&mut leader).await;
        let answer = send(&handle, submit(), AMPLE);
        leader.answer_ping().await;
        leader.answer_call(CallerAnswer::Accepted).await;
        assert_eq!(answer.await.unwrap(), CallerAnswer::Accepted);
    });
}

// A process that has just lost its leadership answers without doing anything. The call counted as
// forwarded, so that the next leader's refusal was reported as an unknown outcome.
#[test]
fn a_call_that_only_a_process_that_does_not_lead_has_read_is_not_run() {
    on_local_set(async {
        let (first, second) = (ScriptedControl::start().await, ScriptedControl::start().await);
        let handle = start(&[&first]);
        let mut leader = first.lead(&[]).await;
        let answer = send(&handle, submit(), AMPLE);
        leader.answer_call(CallerAnswer::NotLeading).await;
        // The entry asks for the present leader.
        assert!(matches!(leader.next().await, Some(LinkMessage::Ping { .. })));
        leader.hand_over(second.address);
        tokio::task::spawn_local(async move {
            second.lead(&[]).await.answer_call(CallerAnswer::Refused).await;
        });
        assert_eq!(answer.await.unwrap(), CallerAnswer::Refused);
    });
}

#[test]
fn a_call_that_an_earlier_leader_may_have_read_is_unresolved_when_the_next_one_refuses_it() {
    on_local_set(async {
        let (first, second) = (ScriptedControl::start().await, ScriptedControl::start().await);
        let handle = start(&[&first]);
        let mut leader = first.lead(&[]).await;
        let answer = send(&handle, submit(), AMPLE);
        leader.read_call().await;
        leader.hand_over(second.address);
        let mut next = second.lead(&[]).await;
        next.answer_call(CallerAnswer::Refused).await;
        assert_eq!(answer.await.unwrap(), CallerAnswer::Unresolved);
    });
}

// A process that ended closed its callers' connections, which the load balancer reports as 502.
#[test]
fn calls_are_answered_before_the_entry_ends() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        let mut leader = control.lead(&[]).await;
        let read = send(&handle, submit(), AMPLE);
        leader.read_call().await;
        handle.close(Duration::ZERO);
        assert_eq!(read.await.unwrap(), CallerAnswer::Unresolved);
        let late = send(&handle, submit(), AMPLE);
        assert_eq!(late.await.unwrap(), CallerAnswer::Refused);
    });
}

// A call whose time was used up on its way to the entry was forwarded and then left unresolved.
#[test]
fn a_call_without_time_left_is_not_forwarded() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        let mut leader = control.lead(&[]).await;
        let late = send(&handle, submit(), Duration::ZERO);
        assert_eq!(late.await.unwrap(), CallerAnswer::Refused);
        assert!(matches!(leader.next().await, Some(LinkMessage::Ping { .. })));
    });
}

fn check(call: CallerCall, exposed: bool, answer: CallerAnswer, expected: Option<CallerAnswer>) {
    let (mut pending, _answer) = pending(call, AMPLE);
    pending.set_exposed(exposed);
    assert_eq!(pending.conclude(answer), expected);
}

// A leader accepted a job and was lost with its answer. The entry sent the job to the next leader,
// under whose newer configuration the queue was gone, and told the caller that it had not run.
#[test]
fn a_job_that_an_earlier_leader_may_have_accepted_is_not_reported_as_refused() {
    for call in [submit(), CallerCall::Cancel] {
        check(call.clone(), true, CallerAnswer::NoQueue, Some(CallerAnswer::Unresolved));
        check(call.clone(), true, CallerAnswer::Refused, Some(CallerAnswer::Unresolved));
        check(call, false, CallerAnswer::NoQueue, Some(CallerAnswer::NoQueue));
    }
    let overloaded = CallerAnswer::Overloaded { retry_after_ms: 1000 };
    check(submit(), true, overloaded.clone(), Some(CallerAnswer::Unresolved));
    check(submit(), false, overloaded.clone(), Some(overloaded));
    check(submit(), true, CallerAnswer::Accepted, Some(CallerAnswer::Accepted));
    check(CallerCall::Show, true, CallerAnswer::NoQueue, Some(CallerAnswer::NoQueue));
}

#[test]
fn an_inconclusive_answer_leaves_the_call_to_the_next_leader() {
    for answer in [CallerAnswer::Unresolved, CallerAnswer::NotLeading] {
        check(CallerCall::Cancel, false, answer, None);
    }
}

const LOST: StreamView = StreamView::LostAt(Duration::from_secs(100));

// A wait beyond the time in which an answer can arrive only delays the caller's next attempt, and a
// shorter one gives up a call that can still succeed.
#[rstest]
#[case::no_leader(false, 3000, LOST, 250)]
#[case::silent_leader(false, 3000, StreamView::Open, 600)]
#[case::no_leader_and_a_short_deadline(false, 300, LOST, 200)]
#[case::read_by_a_lost_leader(true, 2900, LOST, 2900)]
#[case::read_by_a_lost_leader_and_a_long_deadline(true, 60_000, LOST, 5000)]
#[case::read_by_a_leader_with_an_open_stream(true, 60_000, StreamView::Open, 60_000)]
fn a_call_waits_as_long_as_it_can_succeed(
    #[case] exposed: bool,
    #[case] time_limit_ms: u64,
    #[case] stream: StreamView,
    #[case] expected_ms: u64,
) {
    let (mut pending, _answer) = pending(submit(), Duration::from_millis(time_limit_ms));
    pending.set_exposed(exposed);
    let expected = START + Duration::from_millis(expected_ms);
    assert!(!pending.is_expired(expected - Duration::from_millis(1), stream));
    assert!(pending.is_expired(expected, stream));
}

// A call that waited was forwarded when no answer could arrive in time any more.
#[rstest]
#[case::unread(false)]
#[case::read_by_an_earlier_leader(true)]
fn a_call_that_waited_is_forwarded_only_if_an_answer_can_arrive(#[case] exposed: bool) {
    let (mut pending, _answer) = pending(submit(), Duration::from_millis(300));
    pending.set_exposed(exposed);
    assert!(pending.may_be_forwarded(START + Duration::from_millis(199)));
    assert_eq!(pending.may_be_forwarded(START + Duration::from_millis(200)), exposed);
}

// All entries lose the leader in an outage of the control group. They reported at once that they
// were not ready, and the load balancer, without any entry, answered calls with 502.
#[test]
fn an_entry_that_has_lost_its_leader_answers_calls_for_a_while() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        assert!(!handle.is_ready());
        let mut leader = control.lead(&[]).await;
        let answered = send(&handle, submit(), AMPLE);
        leader.answer_call(CallerAnswer::Accepted).await;
        assert_eq!(answered.await.unwrap(), CallerAnswer::Accepted);
        leader.hand_over(control.address);
        // The stream ends when the entry has noticed the loss.
        while leader.next().await.is_some() {}
        let refused = send(&handle, submit(), AMPLE);
        assert_eq!(refused.await.unwrap(), CallerAnswer::Refused);
        assert!(handle.is_ready());
    });
    let lost = StreamView::LostAt(START);
    assert!(lost.is_ready(START + Duration::from_millis(3999)));
    assert!(!lost.is_ready(START + Duration::from_millis(4000)));
}

#[test]
fn a_request_with_the_longest_time_limit_waits_like_any_other() {
    let (call, _answer) = pending(submit(), Duration::from_millis(u64::MAX));
    assert!(!call.is_late(START) && call.may_be_forwarded(START));
    assert!(!call.is_expired(START, StreamView::LostAt(START)));
    assert!(call.is_expired(START + AMPLE, StreamView::LostAt(START)));
}

// Review 3, case 14: an entry that had stood still forwarded submissions whose callers were gone.
#[test]
fn a_call_whose_caller_is_gone_is_not_forwarded() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let handle = start(&[&control]);
        let mut leader = control.lead(&[]).await;
        fall_silent(&mut leader).await;
        let gone = send(&handle, submit(), AMPLE);
        let answer = send(&handle, CallerCall::Cancel, AMPLE);
        tokio::task::yield_now().await;
        gone.abort();
        assert!(gone.await.is_err());
        // It was sent on as soon as the leader answered, before the next look for such calls.
        leader.answer_ping().await;
        loop {
            match leader.next().await {
                Some(LinkMessage::Call { sequence, call, .. }) => {
                    assert_eq!(call, CallerCall::Cancel);
                    let answer = CallerAnswer::Cancelled;
                    leader.sender.send(LinkMessage::Answer { sequence, answer });
                    break;
                }
                Some(LinkMessage::Ping { .. }) => {}
                other => panic!("expected a call, got {other:?}"),
            }
        }
        assert_eq!(answer.await.unwrap(), CallerAnswer::Cancelled);
    });
}
