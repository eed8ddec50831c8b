//! Tests of workers whose capacity shrinks and grows while they run.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    workflow::{message::LinkMessage, state::EndKind},
};

const LISTED: &str = "000000000000000a.0.0.0";
const UNLISTED: &str = "000000000000000b.0.0.0";
const MEMORY: u64 = 64_000;

/// Creates a full worker of 16 cores whose agent lists one of its two tasks.
fn start_full_worker() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(8)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1).cores(8)]));
    harness.report_runs(1, "e1@100", &[(LISTED, 1)]);
    assert_eq!(harness.starts().len(), 2);
    harness
}

// A start that was lost before its worker shrank was ordered again seconds later.
#[test]
fn a_lost_order_is_withdrawn_once_its_worker_has_become_too_small() {
    let mut harness = start_full_worker();
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    harness.keep_alive(1, 2000);
    harness.report_runs(1, "e1@100", &[(LISTED, 1)]);
    assert_eq!(harness.starts().len(), 2, "{:?}", harness.starts());
    assert_eq!(harness.stops(), [format!("{UNLISTED} run 1")]);
    harness.connect_worker(2, "e2", 100);
    harness.report_end(1, "e1@100", 0, UNLISTED, 1, EndKind::Stopped);
    assert_eq!(harness.starts().last().unwrap(), &format!("{UNLISTED} run 2 on e2@100"));
}

// An agent that came back to a smaller executor received all its orders again, those that had never
// been carried out among them.
#[test]
fn an_agent_that_returns_to_a_smaller_executor_gets_no_start_for_a_run_it_does_not_list() {
    let mut harness = start_full_worker();
    harness.close(1);
    harness.report_capacity(2, "e1", 100, (8, MEMORY));
    assert_eq!(
        harness.starts().len(),
        2,
        "nothing is ordered before the agent has listed its runs"
    );
    harness.report_runs(2, "e1@100", &[(LISTED, 1)]);
    assert_eq!(harness.stops(), [format!("{UNLISTED} run 1")]);
    assert_eq!(harness.starts()[2..], [format!("{LISTED} run 1 on e1@100")]);
    harness.advance(100);
    harness.report_runs(2, "e1@100", &[(LISTED, 1), (UNLISTED, 1)]);
    assert_eq!(harness.starts().len(), 3, "{:?}", harness.starts());
}

// An order that waited for its entry was sent to a worker that had shrunk meanwhile.
#[test]
fn an_order_is_not_sent_when_its_worker_shrank_before_its_entry_was_committed() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(12)]));
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    harness.connect_worker(2, "e2", 100);
    harness.pause_syncs(false);
    assert_eq!(harness.starts(), [format!("{LISTED} run 2 on e2@100")]);
}

// Best-effort tasks reserve no processors and were started beside tasks that reserve more than
// their worker has left.
#[test]
fn a_worker_whose_reservations_exceed_its_capacity_gets_no_task() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(12).lasting()]));
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    harness.submit(0xb, job(&[StepBuilder::tasks(1).best_effort()]));
    assert_eq!(harness.starts().len(), 1, "{:?}", harness.starts());
    harness.report_capacity(1, "e1", 100, (12, MEMORY));
    assert_eq!(harness.starts().len(), 2, "it fits again");
}

#[test]
fn a_task_is_placed_by_the_capacity_that_its_worker_has_now() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.report_capacity(1, "e1", 100, (4, MEMORY));
    harness.submit(0xa, job(&[StepBuilder::tasks(3).cores(4)]));
    assert_eq!(harness.starts().len(), 1);
    harness.report_capacity(1, "e1", 100, (8, 100));
    assert_eq!(harness.starts().len(), 1, "memory is short");
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    assert_eq!(harness.starts().len(), 2, "it has grown");
    harness.report_capacity(1, "e1", 100, (0, 0));
    harness.report_end(1, "e1@100", 1, LISTED, 1, EndKind::Done);
    assert_eq!(harness.starts().len(), 2, "it has shrunk to nothing");
}

#[test]
fn a_gang_counts_on_the_capacity_that_its_workers_have_now() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(2, "e2", 100);
    harness.report_capacity(1, "e1", 100, (3, MEMORY));
    harness.submit(0xa, job(&[StepBuilder::tasks(5).cores(4).gang()]));
    assert!(harness.starts().is_empty(), "{:?}", harness.starts());
    harness.report_capacity(1, "e1", 100, (4, MEMORY));
    assert_eq!(harness.starts().len(), 5);
}

#[test]
fn room_is_not_kept_on_a_worker_that_has_become_too_small_for_the_task() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(6).lasting()]));
    harness.connect_worker(2, "e2", 100);
    for key in 0..20 {
        harness.submit(0x100 + key, job(&[StepBuilder::tasks(1).cores(2)]));
    }
    harness.close(1);
    harness.keep_alive(2, 8000);
    harness.report_capacity(2, "e2", 100, (4, MEMORY));
    let running = harness.running_on("e2@100");
    let started = harness.starts().len();
    for (number, task) in running.iter().enumerate() {
        harness.report_end(2, "e2@100", 1 + number as u64, task, 1, EndKind::Done);
    }
    harness.advance(100);
    assert_eq!(harness.starts().len(), started + 2, "two short tasks fit, and the claim is gone");
}

// Schedule seed 0: a run whose end was reported was missing on the list behind the report, and was
// ordered once more, or stopped on a worker that had shrunk.
#[test]
fn a_run_that_has_just_ended_is_neither_ordered_again_nor_stopped() {
    for capacity in [(16, MEMORY), (8, MEMORY)] {
        let mut harness = start_full_worker();
        harness.report_capacity(1, "e1", 100, capacity);
        harness.report_end_and_no_runs(1, "e1@100", LISTED, 1);
        assert_eq!(harness.starts().len(), 2, "{:?}", harness.starts());
        assert!(harness.stops().is_empty(), "{:?}", harness.stops());
    }
}

#[test]
fn a_shrinkage_is_logged_with_whether_the_tasks_still_fit() {
    let mut harness = start_full_worker();
    harness.report_capacity(1, "e1", 100, (20, MEMORY));
    harness.report_capacity(1, "e1", 100, (16, MEMORY));
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    harness.close(1);
    harness.report_capacity(2, "e1", 100, (8, MEMORY));
    assert_eq!(
        harness.shrinkages(),
        [
            "e1@100 to 16000, overfull false",
            "e1@100 to 8000, overfull true",
            "e1@100 to 8000, overfull true"
        ],
        "the last one is a reconnection"
    );
}

/// Lists both tasks on a full worker that has shrunk to the given capacity until a shortage of it
/// counts, while another worker is idle. Returns the stops.
fn stops_after_shrinkage(steps: [StepBuilder; 2], capacity: (u64, u64)) -> Vec<String> {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    for (key, step) in [0xa, 0xb].into_iter().zip(steps) {
        harness.submit(key, job(&[step]));
        harness.advance(100);
    }
    assert_eq!(harness.starts().len(), 2);
    harness.connect_worker(2, "e2", 100);
    harness.report_capacity(1, "e1", 100, capacity);
    for _ in 0..5 {
        harness.report_runs(1, "e1@100", &[(LISTED, 1), (UNLISTED, 1)]);
        harness.keep_alive(1, 600);
        harness.send(2, LinkMessage::Ping { sequence: 1 });
    }
    harness.stops().to_vec()
}

// Tasks shared too little memory for as long as they ran, beside an idle worker.
#[test]
fn a_long_task_that_loses_no_work_leaves_a_worker_that_has_become_too_small() {
    let long = || StepBuilder::tasks(1).cores(1).memory(30_000).estimate(60_000);
    let lasting = || long().lasting();
    let critical = || lasting().image("web").latency_target(20);
    let second = [format!("{UNLISTED} run 1")];
    let cases = [
        ([lasting(), long().checkpoints()], "least is lost by a checkpoint"),
        ([critical(), lasting()], "a latency-critical task comes last"),
        ([long().checkpoints(), long().checkpoints().best_effort()], "best-effort tasks first"),
        ([long().checkpoints(), long().checkpoints()], "the latest run first"),
    ];
    for (steps, why) in cases {
        assert_eq!(stops_after_shrinkage(steps, (16, 50_000)), second, "{why}");
    }
}

#[test]
fn a_task_on_a_worker_that_has_become_too_small_runs_on_if_a_stop_gains_nothing() {
    let long = || StepBuilder::tasks(1).cores(8).memory(30_000).estimate(60_000);
    let cases = [
        ([long(), long()], (16, 50_000), "work would be lost"),
        ([long().checkpoints().estimate(1000), long()], (16, 50_000), "it ends soon"),
        ([long().lasting(), long().lasting()], (8, 64_000), "lasting tasks use less"),
        ([long().checkpoints().gang(), long().gang()], (16, 50_000), "a gang would break"),
        ([long().checkpoints(), long().checkpoints()], (16, 60_000), "both fit"),
    ];
    for (steps, capacity, why) in cases {
        assert!(stops_after_shrinkage(steps, capacity).is_empty(), "{why}");
    }
}

#[test]
fn a_task_is_not_stopped_where_no_other_worker_has_room() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    let long = || StepBuilder::tasks(1).cores(8).estimate(60_000).checkpoints();
    harness.submit(0xa, job(&[long()]));
    harness.submit(0xb, job(&[long()]));
    harness.report_capacity(1, "e1", 100, (8, MEMORY));
    for _ in 0..5 {
        harness.report_runs(1, "e1@100", &[(LISTED, 1), (UNLISTED, 1)]);
        harness.keep_alive(1, 600);
    }
    assert!(harness.stops().is_empty(), "{:?}", harness.stops());
}

#[test]
fn no_more_is_moved_than_a_worker_lacks() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    let long = StepBuilder::tasks(3).memory(20_000).estimate(60_000).checkpoints();
    harness.submit(0xa, job(&[long]));
    harness.connect_worker(2, "e2", 100);
    harness.report_capacity(1, "e1", 100, (16, 45_000));
    let tasks: Vec<String> = (0..3).map(|index| format!("000000000000000a.0.0.{index}")).collect();
    let mut left: Vec<(&str, u32)> = tasks.iter().map(|task| (task.as_str(), 1)).collect();
    for round in 0..16 {
        harness.report_runs(1, "e1@100", &left);
        harness.keep_alive(1, 600);
        harness.send(2, LinkMessage::Ping { sequence: 1 });
        if round == 7 {
            let stopped = harness.stops()[0].clone();
            left.retain(|(task, _)| !stopped.starts_with(task));
            let task = stopped.strip_suffix(" run 1").unwrap();
            harness.report_end(1, "e1@100", 1, task, 1, EndKind::Stopped);
            assert!(harness.starts().last().unwrap().contains("run 2 on e2"));
        }
    }
    assert_eq!(harness.stops().len(), 1, "{:?}", harness.stops());
}
