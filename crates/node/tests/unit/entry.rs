//! Tests of what an answer means for a caller after an earlier one was lost.

use {super::*, workflow::job::JobSpec};

fn check(call: CallerCall, forwards: u32, answer: CallerAnswer, expected: Option<CallerAnswer>) {
    assert_eq!(conclude(&call, forwards, answer), expected);
}

// A leader accepted a job and was lost with its answer. The entry sent the job to the next leader,
// under whose newer configuration the queue was gone, and told the caller that it had not run.
#[test]
fn a_job_that_an_earlier_leader_may_have_accepted_is_not_reported_as_refused() {
    let submit = || CallerCall::Submit(JobSpec::default());
    check(submit(), 2, CallerAnswer::NoQueue, Some(CallerAnswer::Unresolved));
    check(submit(), 2, CallerAnswer::Refused, Some(CallerAnswer::Unresolved));
    check(submit(), 2, CallerAnswer::Accepted, Some(CallerAnswer::Accepted));
    let overloaded = CallerAnswer::Overloaded { retry_after_ms: 1000 };
    check(submit(), 2, overloaded.clone(), Some(CallerAnswer::Unresolved));
    check(submit(), 1, overloaded.clone(), Some(overloaded));
    check(submit(), 1, CallerAnswer::NoQueue, Some(CallerAnswer::NoQueue));
    check(CallerCall::Show, 2, CallerAnswer::NoQueue, Some(CallerAnswer::NoQueue));
}

#[test]
fn an_inconclusive_answer_leaves_the_call_to_the_next_leader() {
    for answer in [CallerAnswer::Unresolved, CallerAnswer::NotLeading] {
        check(CallerCall::Cancel, 1, answer, None);
    }
}
