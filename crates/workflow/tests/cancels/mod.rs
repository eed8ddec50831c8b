//! Tests of cancels that arrive before the submission of their job.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    workflow::{message::CallerAnswer, state::WITHDRAWN_LIMIT},
};

fn is_refused(answer: &CallerAnswer) -> bool {
    matches!(answer, CallerAnswer::Invalid(reason) if reason.contains("was cancelled"))
}

fn leave(_: &mut ControlHarness) {}

fn restart(harness: &mut ControlHarness) {
    harness.restart_leader();
}

fn restart_from_snapshot(harness: &mut ControlHarness) {
    harness.compact_log();
    harness.restart_leader();
}

// Review 3, case 14: an entry that had stood still submitted jobs that were cancelled elsewhere.
#[rstest]
#[case::the_same_leader(leave)]
#[case::a_new_leader(restart)]
#[case::a_leader_with_a_snapshot(restart_from_snapshot)]
fn a_job_that_was_cancelled_before_its_submission_never_runs(
    #[case] then: fn(&mut ControlHarness),
) {
    let mut harness = ControlHarness::start();
    harness.cancel(0xa);
    assert_eq!(harness.answers(), [CallerAnswer::NoJob]);
    then(&mut harness);
    harness.connect_worker(1, "e1", 100);
    harness.keep_alive(1, 8000);
    assert!(is_refused(&harness.submit_to("/q/", 0xa, job(&[StepBuilder::tasks(1)]))));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts(), ["000000000000000b.0.0.0 run 1 on e1@100"]);
    assert_eq!(harness.phase(0xa), "Some(NoJob)");
    assert_eq!(harness.pending(), 0);
}

// A cancel was acknowledged although the leader had kept nothing of it.
#[test]
fn a_cancel_of_an_unknown_job_is_acknowledged_once_it_is_in_the_log() {
    let mut harness = ControlHarness::start();
    harness.pause_syncs(true);
    harness.cancel(0xa);
    harness.cancel(0xa);
    assert_eq!(harness.answers(), []);
    harness.pause_syncs(false);
    assert_eq!(harness.answers(), [CallerAnswer::NoJob, CallerAnswer::NoJob]);
}

#[test]
fn a_submission_that_follows_its_cancel_at_once_never_runs() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.pause_syncs(true);
    harness.cancel(0xa);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.answers(), []);
    harness.pause_syncs(false);
    assert_eq!(harness.answers()[0], CallerAnswer::NoJob);
    assert!(is_refused(&harness.answers()[1]), "{:?}", harness.answers());
    assert!(harness.starts().is_empty(), "{:?}", harness.starts());
    assert_eq!(harness.phase(0xa), "Some(NoJob)");
}

#[test]
fn a_repeat_of_a_job_that_was_cancelled_never_runs() {
    let mut harness = ControlHarness::start();
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.cancel(0xa);
    harness.restart_leader();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert!(harness.starts().is_empty(), "{:?}", harness.starts());
    assert_eq!(harness.phase(0xa), "Ended(Cancelled)");
}

#[test]
fn a_job_that_nobody_has_submitted_is_not_shown_after_its_cancel() {
    let mut harness = ControlHarness::start();
    harness.cancel(0xa);
    assert_eq!(harness.phase(0xa), "Some(NoJob)");
}

// What is kept of such cancels has a bound in time and in number.
#[test]
fn a_cancel_of_an_unknown_job_is_kept_as_long_as_an_ended_job() {
    let mut harness = ControlHarness::start();
    harness.cancel(0xa);
    assert_eq!(harness.state().withdrawn_jobs(), 1);
    harness.compact_log();
    harness.restart_leader();
    assert_eq!(harness.state().withdrawn_jobs(), 1);
    harness.advance(70_000);
    harness.configure(2);
    assert_eq!(harness.state().withdrawn_jobs(), 0);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.phase(0xa), "Queued");
}

#[test]
fn a_cancel_of_an_unknown_job_is_refused_while_too_many_are_kept() {
    let mut harness = ControlHarness::start();
    for key in 0..WITHDRAWN_LIMIT as u64 {
        harness.cancel(key);
    }
    harness.cancel(0xffff_ffff);
    assert_eq!(harness.answers().last(), Some(&CallerAnswer::Refused));
    harness.cancel(0);
    assert_eq!(harness.answers().last(), Some(&CallerAnswer::NoJob));
    assert_eq!(harness.state().withdrawn_jobs(), WITHDRAWN_LIMIT);
}

// The leader's speculative state forgets a withdrawn job a little earlier than the applied state.
#[rstest]
fn a_submission_at_the_end_of_the_retention_is_refused_or_runs(
    #[values(59_000, 60_000, 60_400, 61_000, 64_000, 70_000)] after_ms: u64,
    #[values(false, true)] compacted: bool,
) {
    let mut harness = ControlHarness::start();
    harness.cancel(0xa);
    if compacted {
        harness.compact_log();
        harness.restart_leader();
    }
    harness.connect_worker(1, "e1", 100);
    harness.keep_alive(1, after_ms);
    let answer = harness.submit_to("/q/", 0xa, job(&[StepBuilder::tasks(1)]));
    harness.keep_alive(1, 1000);
    let accepted = answer == CallerAnswer::Accepted;
    assert_eq!(harness.starts().len(), usize::from(accepted), "{answer:?}");
    assert_eq!(harness.phase(0xa), if accepted { "Running" } else { "Some(NoJob)" });
}
