//! Control alone, on a disk that syncs at once. The test stands in for agents and entries.

mod fixtures;
mod support;

use {
    support::{job, ControlDesk, StepDraft},
    workflow::{message::LinkMessage, state::EndKind},
};

// An agent whose executor was replaced by one of another id kept renewing the lease of the first
// one, so that control considered the second one's runs ended while they ran.
#[test]
fn an_executor_that_replaces_another_beside_the_same_agent_holds_a_lease() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.worker(1, "e2", 200);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    for _ in 0..20 {
        desk.advance(300);
        desk.send(1, LinkMessage::Ping { sequence: 1 });
    }
    assert_eq!(desk.starts(), ["000000000000000a.0.0.0 run 1 on e2@200"]);
}

#[test]
fn a_task_whose_worker_falls_silent_starts_again_after_the_lease() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.close(1);
    desk.worker(2, "e2", 100);
    desk.keep_alive(2, 3000);
    assert_eq!(desk.starts().len(), 1, "the lease is not over");
    desk.keep_alive(2, 2000);
    assert_eq!(
        desk.starts(),
        ["000000000000000a.0.0.0 run 1 on e1@100", "000000000000000a.0.0.0 run 2 on e2@100"]
    );
}

#[test]
fn a_later_step_starts_when_the_one_before_is_done() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(2), StepDraft::tasks(1).after(0)]));
    assert_eq!(desk.starts().len(), 2);
    desk.end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(desk.starts().len(), 2);
    desk.end(1, "e1@100", 2, "000000000000000a.0.0.1", 1, EndKind::Done);
    assert_eq!(desk.starts().last().unwrap(), "000000000000000a.0.1.0 run 1 on e1@100");
}

#[test]
fn a_job_fails_when_a_task_has_used_its_attempts() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Failed);
    desk.end(1, "e1@100", 2, "000000000000000a.0.0.0", 2, EndKind::Stopped);
    assert_eq!(desk.phase(0xa), "Running");
    desk.end(1, "e1@100", 3, "000000000000000a.0.0.0", 3, EndKind::Failed);
    assert_eq!(desk.phase(0xa), "Ended(Failed)");
}

#[test]
fn ends_are_noted_only_once_they_are_in_the_log() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.hold_syncs(true);
    desk.end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(desk.noted(), 0);
    desk.hold_syncs(false);
    assert_eq!(desk.noted(), 1);
}

#[test]
fn a_gang_starts_as_a_whole_and_under_one_run() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(5).cores(4).gang()]));
    assert!(desk.starts().is_empty(), "one worker has room for four members");
    desk.worker(2, "e2", 100);
    assert_eq!(desk.starts().len(), 5);
    assert!(desk.starts().iter().all(|start| start.contains("run 1")));
}

#[test]
fn a_cancelled_job_stops_what_it_runs_and_starts_no_more() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1), StepDraft::tasks(1).after(0)]));
    desk.cancel(0xa);
    assert_eq!(desk.stops(), ["000000000000000a.0.0.0 run 1"]);
    desk.end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(desk.starts().len(), 1);
    assert_eq!(desk.phase(0xa), "Ended(Cancelled)");
}

#[test]
fn a_resend_of_an_accepted_job_is_the_same_job() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    assert_eq!(desk.accepted(), 2);
    assert_eq!(desk.starts().len(), 1);
}

#[test]
fn an_order_that_a_worker_does_not_list_is_repeated_with_its_run() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.advance(2000);
    desk.runs(1, "e1@100", &[]);
    assert_eq!(
        desk.starts(),
        ["000000000000000a.0.0.0 run 1 on e1@100", "000000000000000a.0.0.0 run 1 on e1@100"]
    );
}

#[test]
fn a_run_that_nobody_placed_is_stopped() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.runs(1, "e1@100", &[("000000000000000b.0.0.0", 3)]);
    assert_eq!(desk.stops(), ["000000000000000b.0.0.0 run 3"]);
}

#[test]
fn a_new_incarnation_ends_the_runs_of_the_previous_one() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.worker(1, "e1", 200);
    assert_eq!(desk.starts().last().unwrap(), "000000000000000a.0.0.0 run 2 on e1@200");
}

#[test]
fn a_draining_worker_is_given_nothing_and_loses_what_lasts() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1).lasting()]));
    desk.worker(2, "e2", 100);
    desk.drain(1, "e1", 100);
    assert_eq!(desk.stops(), ["000000000000000a.0.0.0 run 1"]);
    desk.end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Stopped);
    assert_eq!(desk.starts().last().unwrap(), "000000000000000a.0.0.0 run 2 on e2@100");
}

#[test]
fn the_highest_configuration_wins_and_lower_ones_change_nothing() {
    let mut desk = ControlDesk::start();
    desk.configure(9);
    desk.configure(8);
    assert_eq!(desk.read_config(), "document 9");
}

// Day killed-agents, seed 13: the emptiest worker had no lease, so that every pass chose and
// refused it, and nothing was placed for twelve seconds.
#[test]
fn a_worker_without_a_lease_does_not_keep_tasks_from_the_others() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.worker(2, "e2", 100);
    desk.keep_alive(1, 6000);
    desk.submit(0xb, job(&[StepDraft::tasks(1).filler()]));
    assert_eq!(desk.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e1@100");
}

// Schedule seed 1446: the order was sent when its entry was committed, after the worker's lease had
// expired and been renewed, and the task was placed elsewhere as well.
#[test]
fn an_order_does_not_go_out_when_the_lease_ended_before_its_entry_was_committed() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.hold_syncs(true);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.advance(4500);
    desk.send(1, LinkMessage::Ping { sequence: 1 });
    desk.hold_syncs(false);
    assert_eq!(desk.starts(), ["000000000000000a.0.0.0 run 2 on e1@100"]);
}

// Soak seed 114: a worker that refused for lack of capacity received the same task again hundreds
// of times a second.
#[test]
fn a_worker_that_refuses_is_left_alone_for_a_moment() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    for run in 1..=5 {
        desk.end(1, "e1@100", 0, "000000000000000a.0.0.0", run, EndKind::Refused);
    }
    assert_eq!(desk.starts().len(), 1);
    desk.advance(700);
    assert_eq!(desk.starts().len(), 2);
}

// Soak seeds 115 and 127: an order for an executor that crashed was carried out in its next
// incarnation, while control had placed the task elsewhere.
#[test]
fn a_run_that_began_in_the_next_incarnation_of_its_executor_is_adopted() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(2)]));
    desk.worker(2, "e2", 100);
    desk.announce(1, "e1", 200);
    desk.runs(1, "e1@200", &[("000000000000000a.0.0.0", 1)]);
    assert_eq!(desk.starts().len(), 3, "{:?}", desk.starts());
    assert!(desk.starts()[2].starts_with("000000000000000a.0.0.1 run 2"));
    assert!(desk.stops().is_empty());
    desk.end(1, "e1@200", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    desk.advance(6000);
    assert!(desk.starts().iter().all(|start| !start.starts_with("000000000000000a.0.0.0 run 2")));
}

#[test]
fn a_run_that_ended_in_the_next_incarnation_of_its_executor_counts() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    desk.announce(1, "e1", 200);
    desk.end(1, "e1@200", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    desk.runs(1, "e1@200", &[]);
    assert_eq!(desk.phase(0xa), "Ended(Succeeded)");
    assert_eq!(desk.starts().len(), 1);
}

// Soak seed 149: the last messages of a stream arrived after the first ones of the next stream. The
// worker was dropped with the old stream's end, while its lease was renewed for ever.
#[test]
fn a_lease_is_renewed_only_on_the_stream_that_speaks_for_the_worker() {
    let mut desk = ControlDesk::start();
    desk.worker(2, "e1", 100);
    desk.worker(1, "e1", 100);
    desk.close(1);
    desk.send(2, LinkMessage::Ping { sequence: 1 });
    assert_eq!(desk.leased, None);
    desk.worker(2, "e1", 100);
    desk.send(2, LinkMessage::Ping { sequence: 2 });
    assert_eq!(desk.leased.as_deref(), Some("e1@100"));
}

#[test]
fn of_two_waiting_jobs_the_one_with_less_work_left_comes_first() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0x1, job(&[StepDraft::tasks(16)]));
    desk.submit(0xa, job(&[StepDraft::tasks(8)]));
    desk.submit(0xb, job(&[StepDraft::tasks(1)]));
    assert_eq!(desk.starts().len(), 16);
    desk.end(1, "e1@100", 1, "0000000000000001.0.0.0", 1, EndKind::Done);
    assert_eq!(desk.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e1@100");
}

// After a power loss, executors restarted under other ids, and the runs of the lost ones waited
// until their leases expired.
#[test]
fn an_executor_that_answers_in_the_place_of_another_ends_its_runs() {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1 at a", 100);
    desk.worker(2, "e2 at b", 100);
    desk.submit(0xa, job(&[StepDraft::tasks(1)]));
    assert_eq!(desk.starts(), ["000000000000000a.0.0.0 run 1 on e1 at a@100"]);
    desk.close(1);
    desk.close(2);
    desk.worker(3, "e3 at b", 200);
    assert_eq!(desk.starts().len(), 1, "another place says nothing");
    desk.worker(4, "e0 at a", 50);
    assert_eq!(desk.starts().len(), 1, "an earlier executor says nothing");
    desk.worker(4, "e4 at a", 200);
    assert_eq!(desk.starts().len(), 2);
}

const SERVING: &str = "0000000000000001.0.0.0";
const FILLING: &str = "000000000000000a.0.0.0";

/// Creates a worker with a latency-critical task, whose tail latency has to stay below 20 ms, and a
/// best-effort one of 4 cores.
fn shared_worker() -> ControlDesk {
    let mut desk = ControlDesk::start();
    desk.worker(1, "e1", 100);
    desk.submit(0x1, job(&[StepDraft::tasks(1).lasting().image("web").latency_target(20)]));
    desk.submit(0xa, job(&[StepDraft::tasks(1).cores(4).filler().saves().image("sort")]));
    assert_eq!(desk.starts().len(), 2);
    desk
}

#[test]
fn a_best_effort_task_that_keeps_a_latency_critical_one_above_its_target_is_stopped() {
    let mut desk = shared_worker();
    for _ in 0..4 {
        desk.keep_alive(1, 1000);
        desk.figures(1, "e1@100", &[(SERVING, 1, 60), (FILLING, 1, 4000)]);
    }
    assert_eq!(desk.stops().first().unwrap(), "000000000000000a.0.0.0 run 1");
}

#[test]
fn a_best_effort_task_beside_a_latency_critical_one_below_its_target_runs_on() {
    let mut desk = shared_worker();
    for _ in 0..4 {
        desk.keep_alive(1, 1000);
        desk.figures(1, "e1@100", &[(SERVING, 1, 15), (FILLING, 1, 4000)]);
    }
    assert!(desk.stops().is_empty(), "{:?}", desk.stops());
}

// A step was started beside a latency-critical task although its own image was known to interfere
// with that task.
#[test]
fn a_best_effort_task_waits_rather_than_slow_a_latency_critical_one() {
    let mut desk = shared_worker();
    for round in 0..20 {
        desk.keep_alive(1, 400);
        let (tail, used) = if round % 2 == 0 { (8, 0) } else { (18, 4000) };
        desk.figures(1, "e1@100", &[(SERVING, 1, tail), (FILLING, 1, used)]);
    }
    desk.submit(0xb, job(&[StepDraft::tasks(1).cores(4).filler().image("sort")]));
    assert_eq!(desk.starts().len(), 2, "the worker bears one of them");
    desk.worker(2, "e2", 100);
    assert_eq!(desk.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e2@100");
}
