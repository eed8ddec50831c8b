//! Tests of the number of pending jobs that callers read.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    std::sync::Arc,
    workflow::{job::WorkerIncarnation, message::LinkMessage, state::EndKind},
};

const TASK: &str = "000000000000000a.0.0.0";

fn start_job() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts().len(), 1);
    harness
}

// Agents list runs every 800 ms: until then, a job that starts without delay must not be counted.
#[test]
fn a_job_whose_order_is_on_its_way_to_a_responsive_executor_is_not_pending() {
    let mut harness = start_job();
    assert_eq!(harness.pending(), 0);
    harness.keep_alive(1, 800);
    harness.report_runs(1, "e1@100", &[(TASK, 1)]);
    harness.keep_alive(1, 3000);
    assert_eq!(harness.pending(), 0, "the run is listed at work");
}

#[test]
fn a_job_without_a_worker_is_pending_until_it_ends() {
    let mut harness = ControlHarness::start();
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.pending(), 2);
    harness.cancel(0xa);
    assert_eq!(harness.pending(), 1);
}

// MIXED of issue 20: a job counted as begun once a task of it was placed, also when the executor
// was gone and nothing started.
#[test]
fn a_job_placed_on_an_executor_that_is_gone_is_pending() {
    let mut harness = start_job();
    harness.report_unresponsive(1, "e1", 100);
    assert_eq!(harness.pending(), 1, "its agent has reported that it does not answer");
    let worker = WorkerIncarnation { executor: Arc::from("e1"), started_ms: 100 };
    harness.send(1, LinkMessage::WorkerEnded { worker });
    harness.advance(3000);
    assert_eq!(harness.pending(), 1, "the run has ended with its executor");
}

#[test]
fn a_job_whose_executor_never_lists_its_run_is_pending() {
    let mut harness = start_job();
    harness.keep_alive(1, 2000);
    assert_eq!(harness.pending(), 1);
}

// A refused start and one that its agent has settled by a stop never began, an end that the
// executor lists did.
#[test]
fn a_job_is_pending_again_after_a_run_that_never_began() {
    for (number, end, pending) in [
        (0, EndKind::Refused, 1),
        (0, EndKind::Stopped, 1),
        (1, EndKind::Stopped, 0),
        (0, EndKind::Expired, 0),
        (1, EndKind::Failed, 0),
    ] {
        let mut harness = start_job();
        harness.report_draining(1, "e1", 100);
        harness.report_end(1, "e1@100", number, TASK, 1, end);
        harness.advance(2000);
        assert_eq!(harness.pending(), pending, "{number} {end:?}");
    }
}

// A new leader does not know whether a placed run has begun, and must not count a job that runs.
#[test]
fn a_new_leader_counts_an_unclear_job_only_while_nothing_of_it_is_placed() {
    let mut harness = start_job();
    harness.submit(0xb, job(&[StepBuilder::tasks(1).cores(20)]));
    harness.keep_alive(1, 2000);
    assert_eq!(harness.pending(), 2);
    harness.restart_leader();
    assert_eq!(harness.pending(), 1, "the job that was never placed");
    harness.advance(6000);
    assert_eq!(harness.pending(), 2, "the lease has expired");
    harness.connect_worker(2, "e2", 100);
    harness.report_runs(2, "e2@100", &[(TASK, 2)]);
    harness.advance(100);
    assert_eq!(harness.pending(), 1, "the first job runs");
}

#[test]
fn a_new_leader_counts_no_job_that_has_left_a_trace_of_a_run() {
    let mut harness = start_job();
    harness.report_draining(1, "e1", 100);
    harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Failed);
    harness.restart_leader();
    assert_eq!(harness.pending(), 0);
}
