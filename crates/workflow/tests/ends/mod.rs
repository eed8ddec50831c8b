//! Tests of the ends that agents report: again, late, or of an earlier run.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    workflow::{
        job::{RunNumber, WorkerIncarnation},
        message::{EndReport, LinkMessage, RunReport},
        state::EndKind,
    },
};

const TASK: &str = "000000000000000a.0.0.0";

/// Starts a job of one task on a worker, whose first run was stopped and whose second one runs.
fn start_second_run() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).checkpoints()]));
    harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Stopped);
    assert_eq!(harness.starts().last().unwrap(), &format!("{TASK} run 2 on e1@100"));
    harness
}

/// Lists the second run, with a checkpoint.
fn report_checkpoint(harness: &mut ControlHarness, checkpoint: &str) {
    let (task, run) = (TASK.parse().unwrap(), RunNumber(2));
    let checkpoint = checkpoint.to_owned();
    let runs = vec![RunReport { task, run, checkpoint, percent: 50, figure: 0 }];
    let worker = WorkerIncarnation { executor: "e1".into(), started_ms: 100 };
    harness.send(1, LinkMessage::Runs { worker, runs });
}

// The work of the next run was done again.
#[test]
fn a_repeated_end_does_not_lose_the_checkpoint_of_the_next_run() {
    let mut harness = start_second_run();
    report_checkpoint(&mut harness, "half");
    harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Stopped);
    harness.connect_worker(1, "e1", 200);
    let record = harness.state().task(&TASK.parse().unwrap()).unwrap();
    assert_eq!(record.checkpoint, "half");
}

// Issue 34: who read the log after an incident counted ends that had been reported twice.
#[test]
fn a_repeated_end_is_logged_once() {
    let mut harness = start_second_run();
    for _ in 0..3 {
        harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Stopped);
    }
    assert_eq!(harness.ends_logged(), [format!("{TASK} run 1 Stopped")]);
}

#[test]
fn every_member_of_a_gang_that_is_done_has_its_end_logged_once() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(2).gang(), StepBuilder::tasks(1).after(0)]));
    let members = [TASK, "000000000000000a.0.0.1"];
    for (number, member) in [(1, members[0]), (2, members[1]), (1, members[0]), (2, members[1])] {
        harness.report_end(1, "e1@100", number, member, 1, EndKind::Done);
    }
    assert_eq!(harness.ends_logged(), members.map(|member| format!("{member} run 1 Done")));
}

#[test]
fn a_repeated_end_is_acknowledged_only_once_the_first_report_is_in_the_log() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.pause_syncs(true);
    for _ in 0..2 {
        harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Done);
    }
    assert_eq!(harness.recorded_up_to(), 0);
    harness.pause_syncs(false);
    assert_eq!(harness.recorded_up_to(), 1);
    harness.report_end(1, "e1@100", 2, TASK, 1, EndKind::Done);
    assert_eq!(harness.recorded_up_to(), 2, "nothing is left to wait for");
}

// The run may have been started elsewhere meanwhile, so that the executor's end comes too late.
#[test]
fn an_end_that_is_reported_after_the_lease_has_expired_uses_no_attempt() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.close(1);
    harness.connect_worker(2, "e2", 100);
    harness.keep_alive(2, 5000);
    assert_eq!(harness.starts().last().unwrap(), &format!("{TASK} run 2 on e2@100"));
    harness.connect_worker(1, "e1", 100);
    harness.report_end(1, "e1@100", 1, TASK, 1, EndKind::Failed);
    assert_eq!(harness.recorded_up_to(), 1);
    harness.report_end(2, "e2@100", 1, TASK, 2, EndKind::Failed);
    assert_eq!(harness.phase(0xa), "Running");
    assert_eq!(harness.state().task(&TASK.parse().unwrap()).unwrap().failures, 1);
}

// The order for the earlier incarnation was carried out late by the next one.
#[test]
fn a_failure_in_the_next_incarnation_of_the_executor_uses_one_attempt() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.announce_incarnation(1, "e1", 200);
    harness.report_end(1, "e1@100", 7, TASK, 1, EndKind::Failed);
    assert_eq!(harness.recorded_up_to(), 0, "the incarnation has ended, and its ends with it");
    for _ in 0..2 {
        harness.report_end(1, "e1@200", 1, TASK, 1, EndKind::Failed);
    }
    assert_eq!(harness.recorded_up_to(), 1);
    assert_eq!(harness.state().task(&TASK.parse().unwrap()).unwrap().failures, 1);
    assert_eq!(harness.phase(0xa), "Running");
}

// The end was acknowledged and then lost, so that the task was started again.
#[test]
fn the_end_of_a_run_that_was_adopted_just_before_counts() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.announce_incarnation(1, "e1", 200);
    let (task, run, checkpoint) = (TASK.parse().unwrap(), RunNumber(1), String::new());
    let runs = vec![RunReport { task, run, checkpoint, percent: 50, figure: 0 }];
    let worker = WorkerIncarnation { executor: "e1".into(), started_ms: 200 };
    harness.send_ahead(1, LinkMessage::Runs { worker, runs });
    harness.report_end(1, "e1@200", 1, TASK, 1, EndKind::Done);
    assert_eq!(harness.recorded_up_to(), 1);
    assert_eq!(harness.phase(0xa), "Ended(Succeeded)");
}

// The agent that had refused the run was down, and the next one carried the order out.
#[test]
fn a_run_whose_end_was_just_reported_is_not_ordered_again() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let worker = WorkerIncarnation { executor: "e1".into(), started_ms: 100 };
    let (task, run, checkpoint) = (TASK.parse().unwrap(), RunNumber(1), String::new());
    let ends = vec![EndReport { number: 0, task, run, end: EndKind::Refused, checkpoint }];
    harness.send_ahead(1, LinkMessage::Ends { worker, ends });
    harness.announce_incarnation(2, "e1", 100);
    assert_eq!(harness.starts(), [format!("{TASK} run 1 on e1@100")]);
}
