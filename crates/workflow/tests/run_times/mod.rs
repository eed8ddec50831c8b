//! Tests of decisions that depend on the remaining time of runs.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    std::sync::Arc,
    workflow::{
        job::{RunNumber, WorkerIncarnation},
        message::{LinkMessage, RunReport},
    },
};

fn list_run(harness: &mut ControlHarness, percent: u8) {
    let (task, run) = ("000000000000000a.0.0.0".parse().unwrap(), RunNumber(1));
    let runs = vec![RunReport { task, run, checkpoint: String::new(), percent, figure: 1000 }];
    let worker = WorkerIncarnation { executor: Arc::from("e1"), started_ms: 100 };
    harness.send(1, LinkMessage::Runs { worker, runs });
}

// A run about to end was stopped on a draining executor because its caller's estimate was too long,
// and one that could not end was left to be cut off because the estimate was too short. The worker
// drains for two more seconds.
#[rstest]
#[case::estimate_too_long(8000, 30, 3, 0)]
#[case::estimate_too_short(2500, 5, 6, 1)]
fn a_draining_worker_keeps_the_runs_that_end_in_time(
    #[case] estimate_ms: u64,
    #[case] rise: u8,
    #[case] reports: u8,
    #[case] stops: usize,
) {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).estimate(estimate_ms)]));
    for number in 0..reports {
        list_run(&mut harness, 1 + rise * number);
        harness.advance(400);
    }
    harness.report_draining(1, "e1", 100);
    assert_eq!(harness.stops().len(), stops, "{:?}", harness.stops());
}
