//! Tests of the log lines about ends: which fact has ended a run, where the fact comes from, and what
//! the next placement says of it.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    workflow::{
        job::WorkerIncarnation,
        message::LinkMessage,
        state::EndKind::{self, Done, Expired, Failed, Refused, Stopped},
    },
};

const TASK: &str = "000000000000000a.0.0.0";
const WORKER: &str = "e1 at a@100";

fn start_run(step: StepBuilder) -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at a", 100);
    harness.submit(0xa, job(&[step]));
    harness
}

/// What ends a run.
#[derive(Debug, Clone, Copy)]
enum EndCase {
    /// A report of the agent, with the executor's number.
    Reported(u64, EndKind),
    /// The agent's report of the executor's end.
    ExecutorEnded,
    /// A list of the next incarnation.
    NewIncarnation,
    /// Another executor at the address.
    Replaced,
    /// The lease, without a word of the agent.
    Lease,
    /// The same, under a leader that has not granted the lease.
    InheritedLease,
}

fn end_run(harness: &mut ControlHarness, case: EndCase) {
    match case {
        EndCase::Reported(number, end) => harness.report_end(1, WORKER, number, TASK, 1, end),
        EndCase::ExecutorEnded => {
            let worker = WorkerIncarnation { executor: "e1 at a".into(), started_ms: 100 };
            harness.send(1, LinkMessage::WorkerEnded { worker });
        }
        EndCase::NewIncarnation => harness.connect_worker(1, "e1 at a", 200),
        EndCase::Replaced => harness.connect_worker(2, "e2 at a", 200),
        EndCase::Lease => {
            harness.close(1);
            harness.advance(5000);
        }
        EndCase::InheritedLease => {
            harness.restart_leader();
            harness.advance(5000);
        }
    }
}

#[rstest]
#[case(EndCase::Reported(7, Failed), "Failed: Listed { number: 7 } by Stream(1), ordered Some(0)")]
#[case(EndCase::Reported(0, Refused), "Refused: NeverBegan by Stream(1), ordered Some(0)")]
#[case(EndCase::Reported(0, Stopped), "Stopped: StopSettled by Stream(1), ordered Some(0)")]
#[case(EndCase::Reported(0, Expired), "Expired: ExecutorEnded by Stream(1), ordered Some(0)")]
#[case(EndCase::ExecutorEnded, "Expired: WorkerLost(Ended) by Stream(1), ordered Some(0)")]
#[case(
    EndCase::NewIncarnation,
    "Expired: WorkerLost(NewIncarnation { successor: WorkerIncarnation { executor: \"e1 at a\", \
     started_ms: 200 } }) by Stream(1), ordered Some(0)"
)]
#[case(
    EndCase::Replaced,
    "Expired: WorkerLost(Replaced { successor: WorkerIncarnation { executor: \"e2 at a\", \
     started_ms: 200 }, address: \"a\" }) by Stream(2), ordered Some(0)"
)]
#[case(
    EndCase::Lease,
    "Expired: WorkerLost(LeaseExpired { expired_ms: 2, inherited: false }) by LeaderClock, ordered \
     Some(3740)"
)]
#[case(
    EndCase::InheritedLease,
    "Expired: WorkerLost(LeaseExpired { expired_ms: 2, inherited: true }) by LeaderClock, ordered None"
)]
fn a_line_names_the_fact_that_has_ended_a_run(#[case] case: EndCase, #[case] line: &str) {
    let mut harness = start_run(StepBuilder::tasks(1));
    end_run(&mut harness, case);
    let ends = harness.end_lines().iter().filter(|line| line.starts_with("run 1 "));
    let ends: Vec<&String> = ends.collect();
    assert_eq!(ends, [&format!("run 1 {line}, listed None")]);
}

#[rstest]
#[case(EndCase::ExecutorEnded, "Ended by Stream(1), renewed Some(0)")]
#[case(
    EndCase::Lease,
    "LeaseExpired { expired_ms: 2, inherited: false } by LeaderClock, renewed Some(3740)"
)]
#[case(
    EndCase::InheritedLease,
    "LeaseExpired { expired_ms: 2, inherited: true } by LeaderClock, renewed None"
)]
fn the_loss_of_a_worker_names_its_proof(#[case] case: EndCase, #[case] line: &str) {
    let mut harness = start_run(StepBuilder::tasks(2));
    end_run(&mut harness, case);
    let lost = harness.end_lines().iter().filter(|line| line.starts_with("lost "));
    let lost: Vec<&String> = lost.collect();
    assert_eq!(lost, [&format!("lost {WORKER}: {line}, runs 2")]);
}

#[test]
fn the_end_of_an_order_that_was_never_sent_says_so() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(4)]));
    harness.report_capacity(1, "e1", 100, (2, 64_000));
    harness.pause_syncs(false);
    let line = "run 1 Stopped: NeverSent by LeaderOrders, ordered Some(0), listed None";
    assert_eq!(harness.end_lines(), [line]);
}

#[test]
fn the_end_of_a_gang_member_after_that_of_another_says_so() {
    let mut harness = start_run(StepBuilder::tasks(2).gang());
    harness.report_ends(1, WORKER, &[(4, TASK, 1, Done)]);
    harness.report_ends(1, WORKER, &[(5, "000000000000000a.0.0.1", 1, Done)]);
    let facts = ["Listed { number: 4 }", "GangDone { number: 5 }"];
    let line = |fact| format!("run 1 Done: {fact} by Stream(1), ordered Some(0), listed None");
    assert_eq!(harness.end_lines(), facts.map(line));
}

/// Who places the second run.
#[derive(Debug, Clone, Copy)]
enum NextLeader {
    Same,
    /// A leader that has applied the entry with the end.
    Next,
    /// A leader that has the end from a snapshot alone.
    FromSnapshot,
}

#[rstest]
#[case::same(NextLeader::Same, "run 1 on e1 at a@100 Stopped, Listed { number: 7 }, 100 ms ago")]
#[case::next(NextLeader::Next, "run 1 on e1 at a@100 Stopped, EarlierLeader, ")]
#[case::from_snapshot(NextLeader::FromSnapshot, "an unknown end")]
fn the_placement_of_a_second_run_names_the_end_of_the_first(
    #[case] leader: NextLeader,
    #[case] line: &str,
) {
    let mut harness = start_run(StepBuilder::tasks(1));
    harness.report_draining(1, "e1 at a", 100);
    end_run(&mut harness, EndCase::Reported(7, Stopped));
    if matches!(leader, NextLeader::FromSnapshot) {
        harness.compact_log();
    }
    if !matches!(leader, NextLeader::Same) {
        harness.restart_leader();
    }
    harness.advance(100);
    harness.connect_worker(2, "e2", 100);
    let placed = harness.end_lines().last().unwrap();
    assert!(placed.starts_with(&format!("run 2 after {line}")), "{placed}");
}

// A crash uses up run numbers, which the log holds as placed and ended in one entry.
#[rstest]
#[case::same(false, "ExecutorEnded")]
#[case::next(true, "EarlierLeader")]
fn the_placement_after_a_crash_names_the_run_that_was_there(
    #[case] restarted: bool,
    #[case] fact: &str,
) {
    let mut harness = start_run(StepBuilder::tasks(1));
    harness.report_progress(1, WORKER, &[(TASK, 10)]);
    harness.report_ends(1, WORKER, &[(0, TASK, 1, Expired)]);
    harness.report_draining(1, "e2 at a", 200);
    harness.report_runs(1, "e2 at a@200", &[]);
    if restarted {
        harness.restart_leader();
    }
    harness.connect_worker(2, "e2 at a", 200);
    harness.keep_alive(2, 4000);
    let placed = harness.end_lines().last().unwrap();
    let former = format!(" after run 1 on e1 at a@100 Expired, {fact}, ");
    assert!(placed.contains(&former), "{placed}");
    assert!(placed.starts_with("run 100"), "{placed}");
}
