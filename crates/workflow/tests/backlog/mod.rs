//! Tests of a leader whose entries are committed late: it must not forget what it has proposed.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    workflow::message::CallerAnswer,
};

/// More entries than the log takes before the first of them is committed.
const UNCOMMITTED_ENTRIES: u64 = 1100;

// The leader began anew without the uncommitted entries, and never planned for the job.
#[test]
fn a_job_accepted_before_the_log_took_no_more_entries_starts() {
    let mut harness = ControlHarness::start();
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    (2..UNCOMMITTED_ENTRIES).for_each(|version| harness.configure(version));
    harness.pause_syncs(false);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.answers().last(), Some(&CallerAnswer::Accepted));
    harness.connect_worker(1, "e1", 100);
    harness.advance(500);
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 1 on e1@100"]);
}

#[test]
fn the_last_of_many_uncommitted_entries_is_answered() {
    let mut harness = ControlHarness::start();
    harness.pause_syncs(true);
    let before = harness.operator_answers();
    (2..UNCOMMITTED_ENTRIES).for_each(|version| harness.configure(version));
    harness.pause_syncs(false);
    harness.advance(100);
    assert_eq!(harness.operator_answers() as u64, before as u64 + UNCOMMITTED_ENTRIES - 2);
    assert_eq!(harness.read_config(), format!("document {}", UNCOMMITTED_ENTRIES - 1));
}
