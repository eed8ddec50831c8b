//! Tests of a single control process whose disk syncs at once. The test stands in for agents and
//! entries.

mod admission;
mod backlog;
mod cancels;
mod cordons;
mod crashes;
mod end_facts;
mod ends;
mod extremes;
mod fixtures;
mod gangs;
mod moves;
mod observing;
mod pending;
mod run_times;
mod shrinking;
mod streams;
mod support;

use {
    rstest::rstest,
    support::{job, ControlHarness, StepBuilder},
    workflow::{
        job::JobSchedule,
        message::{CallerAnswer, LinkMessage},
        state::{EndKind, JobPhase},
    },
};

// An agent whose executor was replaced by one of another id kept renewing the lease of the first
// one, so that control considered the second one's runs ended while they ran.
#[test]
fn an_executor_that_replaces_another_at_the_same_agent_gets_a_lease() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(1, "e2", 200);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    for _ in 0..20 {
        harness.advance(300);
        harness.send(1, LinkMessage::Ping { sequence: 1 });
    }
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 1 on e2@200"]);
}

// After a clock had jumped back, the repeated end of a former executor made tasks run twice.
#[test]
fn a_new_leader_does_not_end_an_executor_for_one_that_ended_before() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e2 at a", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(2)]));
    harness.restart_leader();
    harness.report_unresponsive(2, "e1 at a", 200);
    harness.connect_worker(2, "e2 at a", 100);
    harness.keep_alive(2, 500);
    assert_eq!(harness.starts().iter().filter(|start| start.contains("run 2")).count(), 0);
    assert!(harness.ends_logged().is_empty(), "{:?}", harness.ends_logged());
}

#[test]
fn a_task_whose_worker_stops_answering_starts_again_after_the_lease() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.close(1);
    harness.connect_worker(2, "e2", 100);
    harness.keep_alive(2, 3000);
    assert_eq!(harness.starts().len(), 1, "the lease has not expired");
    harness.keep_alive(2, 2000);
    assert_eq!(
        harness.starts(),
        ["000000000000000a.0.0.0 run 1 on e1@100", "000000000000000a.0.0.0 run 2 on e2@100"]
    );
}

#[test]
fn a_later_step_starts_when_the_one_before_is_done() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(2), StepBuilder::tasks(1).after(0)]));
    assert_eq!(harness.starts().len(), 2);
    harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(harness.starts().len(), 2);
    harness.report_end(1, "e1@100", 2, "000000000000000a.0.0.1", 1, EndKind::Done);
    assert_eq!(harness.starts().last().unwrap(), "000000000000000a.0.1.0 run 1 on e1@100");
}

#[test]
fn a_job_fails_when_a_task_has_used_its_attempts() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Failed);
    harness.report_end(1, "e1@100", 2, "000000000000000a.0.0.0", 2, EndKind::Stopped);
    assert_eq!(harness.phase(0xa), "Running");
    harness.report_end(1, "e1@100", 3, "000000000000000a.0.0.0", 3, EndKind::Failed);
    assert_eq!(harness.phase(0xa), "Ended(Failed)");
}

#[test]
fn ends_are_acknowledged_only_once_they_are_in_the_log() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.pause_syncs(true);
    harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(harness.recorded_up_to(), 0);
    harness.pause_syncs(false);
    assert_eq!(harness.recorded_up_to(), 1);
}

#[test]
fn a_gang_starts_as_a_whole_and_under_one_run() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(5).cores(4).gang()]));
    assert!(harness.starts().is_empty(), "one worker has capacity for four members");
    harness.connect_worker(2, "e2", 100);
    assert_eq!(harness.starts().len(), 5);
    assert!(harness.starts().iter().all(|start| start.contains("run 1")));
}

#[test]
fn a_cancelled_job_stops_what_it_runs_and_starts_no_more() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1), StepBuilder::tasks(1).after(0)]));
    harness.cancel(0xa);
    assert_eq!(harness.stops(), ["000000000000000a.0.0.0 run 1"]);
    harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(harness.phase(0xa), "Ended(Cancelled)");
}

#[test]
fn a_resend_of_an_accepted_job_is_the_same_job() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.accepted(), 2);
    assert_eq!(harness.starts().len(), 1);
}

#[test]
fn an_order_that_a_worker_does_not_list_is_repeated_with_its_run() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.advance(2000);
    harness.report_runs(1, "e1@100", &[]);
    assert_eq!(
        harness.starts(),
        ["000000000000000a.0.0.0 run 1 on e1@100", "000000000000000a.0.0.0 run 1 on e1@100"]
    );
}

#[test]
fn a_run_that_control_did_not_place_is_stopped() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.report_runs(1, "e1@100", &[("000000000000000b.0.0.0", 3)]);
    assert_eq!(harness.stops(), ["000000000000000b.0.0.0 run 3"]);
}

#[test]
fn a_new_incarnation_ends_the_runs_of_the_previous_one() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.connect_worker(1, "e1", 200);
    assert_eq!(harness.starts().last().unwrap(), "000000000000000a.0.0.0 run 1002 on e1@200");
}

#[test]
fn a_draining_worker_gets_no_tasks_and_loses_its_lasting_ones() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).lasting()]));
    harness.connect_worker(2, "e2", 100);
    harness.report_draining(1, "e1", 100);
    assert_eq!(harness.stops(), ["000000000000000a.0.0.0 run 1"]);
    harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Stopped);
    assert_eq!(harness.starts().last().unwrap(), "000000000000000a.0.0.0 run 2 on e2@100");
}

#[test]
fn the_highest_configuration_wins_and_lower_ones_change_nothing() {
    let mut harness = ControlHarness::start();
    harness.configure(9);
    harness.configure(8);
    assert_eq!(harness.read_config(), "document 9");
}

// Simulated day killed-agents, seed 13: the emptiest worker had no lease, so every pass chose and
// refused it, and nothing was placed for twelve seconds.
#[test]
fn a_worker_without_a_lease_does_not_block_placement_on_others() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.connect_worker(2, "e2", 100);
    harness.keep_alive(1, 6000);
    harness.submit(0xb, job(&[StepBuilder::tasks(1).best_effort()]));
    assert_eq!(harness.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e1@100");
}

// Schedule seed 1446: the order was sent when its entry was committed, after the worker's lease had
// expired and been renewed, and the task was placed elsewhere as well.
#[test]
fn an_order_is_not_sent_when_the_lease_expired_before_its_entry_was_committed() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.advance(4500);
    harness.send(1, LinkMessage::Ping { sequence: 1 });
    harness.pause_syncs(false);
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 2 on e1@100"]);
}

// Soak seed 114: a worker that refused for lack of capacity received the same task again hundreds
// of times a second.
#[test]
fn a_worker_that_refuses_gets_no_order_for_a_moment() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    for run in 1..=5 {
        harness.report_end(1, "e1@100", 0, "000000000000000a.0.0.0", run, EndKind::Refused);
    }
    assert_eq!(harness.starts().len(), 1);
    harness.advance(700);
    assert_eq!(harness.starts().len(), 2);
}

// Soak seeds 115 and 127: an order for an executor that crashed was carried out in its next
// incarnation, while control had placed the task elsewhere.
#[test]
fn a_run_that_began_in_the_next_incarnation_of_its_executor_is_adopted() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(2)]));
    harness.connect_worker(2, "e2", 100);
    harness.announce_incarnation(1, "e1", 200);
    harness.report_runs(1, "e1@200", &[("000000000000000a.0.0.0", 1)]);
    assert_eq!(harness.starts().len(), 3, "{:?}", harness.starts());
    assert!(harness.starts()[2].starts_with("000000000000000a.0.0.1 run 1002"));
    assert!(harness.stops().is_empty());
    harness.report_end(1, "e1@200", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    harness.advance(6000);
    let adopted =
        harness.starts().iter().filter(|start| start.starts_with("000000000000000a.0.0.0"));
    assert_eq!(adopted.count(), 1, "{:?}", harness.starts());
}

#[test]
fn a_run_that_ended_in_the_next_incarnation_of_its_executor_counts() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.announce_incarnation(1, "e1", 200);
    harness.report_end(1, "e1@200", 1, "000000000000000a.0.0.0", 1, EndKind::Done);
    harness.report_runs(1, "e1@200", &[]);
    assert_eq!(harness.phase(0xa), "Ended(Succeeded)");
    assert_eq!(harness.starts().len(), 1);
}

// Soak seed 149: the last messages of a stream arrived after the first ones of the next stream. The
// worker was dropped with the old stream's end, while its lease was renewed for ever.
#[test]
fn a_lease_is_renewed_only_on_the_current_stream_of_the_worker() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(2, "e1", 100);
    harness.connect_worker(1, "e1", 100);
    harness.close(1);
    harness.send(2, LinkMessage::Ping { sequence: 1 });
    assert_eq!(harness.leased, None);
    harness.connect_worker(2, "e1", 100);
    harness.send(2, LinkMessage::Ping { sequence: 2 });
    assert_eq!(harness.leased.as_deref(), Some("e1@100"));
}

// The tasks of the other stream's worker were not ordered until its agent reported again.
#[test]
fn a_stream_that_moves_to_another_executor_leaves_the_worker_of_another_stream() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(2, "e1", 100);
    harness.connect_worker(1, "e2 at b", 200);
    harness.send(2, LinkMessage::Ping { sequence: 1 });
    assert_eq!(harness.leased.as_deref(), Some("e1@100"));
}

#[test]
fn of_two_waiting_jobs_the_one_with_less_work_left_comes_first() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0x1, job(&[StepBuilder::tasks(16)]));
    harness.submit(0xa, job(&[StepBuilder::tasks(8)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts().len(), 16);
    harness.report_end(1, "e1@100", 1, "0000000000000001.0.0.0", 1, EndKind::Done);
    assert_eq!(harness.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e1@100");
}

// After a power loss, executors restarted under other ids, and the runs of the lost ones waited
// until their leases expired.
#[test]
fn an_executor_at_the_address_of_another_ends_its_runs() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at a", 100);
    harness.connect_worker(2, "e2 at b", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts(), ["000000000000000a.0.0.0 run 1 on e1 at a@100"]);
    harness.close(1);
    harness.close(2);
    harness.connect_worker(3, "e3 at b", 200);
    assert_eq!(harness.starts().len(), 1, "another address proves no end");
    harness.connect_worker(4, "e0 at a", 50);
    assert_eq!(harness.starts().len(), 1, "an earlier executor proves no end");
    harness.connect_worker(4, "e4 at a", 200);
    assert_eq!(harness.starts().len(), 2);
}

fn drain(harness: &mut ControlHarness) {
    harness.report_draining(1, "e1", 100);
}

fn fall_silent(harness: &mut ControlHarness) {
    harness.report_unresponsive(1, "e1", 100);
}

fn lose_the_stream(harness: &mut ControlHarness) {
    harness.close(1);
}

fn let_the_lease_expire(harness: &mut ControlHarness) {
    harness.advance(4500);
}

#[rstest]
#[case::drained(drain)]
#[case::silent(fall_silent)]
#[case::unreachable(lose_the_stream)]
#[case::without_a_lease(let_the_lease_expire)]
fn a_task_starts_as_soon_as_its_worker_is_usable_again(#[case] hinder: fn(&mut ControlHarness)) {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    hinder(&mut harness);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(2).gang()]));
    harness.advance(1000);
    assert!(harness.starts().is_empty(), "{:?}", harness.starts());
    harness.connect_worker(1, "e1", 100);
    assert_eq!(harness.starts().len(), 3);
}

// A gang can only start anew once all of its members have ended.
#[test]
fn a_gang_that_lost_a_member_with_its_worker_starts_again_after_the_lease() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(2, "e2", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(2).cores(16).gang()]));
    assert_eq!(harness.starts().len(), 2);
    harness.close(1);
    harness.connect_worker(3, "e3", 100);
    let kept = harness.starts().iter().find(|start| start.ends_with("e2@100")).cloned();
    let (kept, _) = kept.as_deref().and_then(|start| start.split_once(' ')).unwrap_or_default();
    harness.report_end(2, "e2@100", 1, kept, 1, EndKind::GangIncomplete);
    for _ in 0..22 {
        harness.keep_alive(2, 200);
        harness.send(3, LinkMessage::Ping { sequence: 1 });
    }
    let again = |start: &&String| start.contains(" run 2 on ");
    assert_eq!(harness.starts().iter().filter(again).count(), 2, "{:?}", harness.starts());
}

const LATENCY_CRITICAL: &str = "0000000000000001.0.0.0";
const BEST_EFFORT: &str = "000000000000000a.0.0.0";

/// Creates a worker with a latency-critical task, whose tail latency has to stay below 20 ms, and a
/// best-effort one of 4 cores.
fn start_shared_worker() -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0x1, job(&[StepBuilder::tasks(1).lasting().image("web").latency_target(20)]));
    harness.submit(
        0xa,
        job(&[StepBuilder::tasks(1).cores(4).best_effort().checkpoints().image("sort")]),
    );
    assert_eq!(harness.starts().len(), 2);
    harness
}

#[test]
fn a_best_effort_task_that_keeps_a_latency_critical_one_above_its_target_is_stopped() {
    let mut harness = start_shared_worker();
    for _ in 0..4 {
        harness.keep_alive(1, 1000);
        harness.report_figures(1, "e1@100", &[(LATENCY_CRITICAL, 1, 60), (BEST_EFFORT, 1, 4000)]);
    }
    assert_eq!(harness.stops().first().unwrap(), "000000000000000a.0.0.0 run 1");
}

#[test]
fn a_best_effort_task_beside_a_latency_critical_one_below_its_target_runs_on() {
    let mut harness = start_shared_worker();
    for _ in 0..4 {
        harness.keep_alive(1, 1000);
        harness.report_figures(1, "e1@100", &[(LATENCY_CRITICAL, 1, 15), (BEST_EFFORT, 1, 4000)]);
    }
    assert!(harness.stops().is_empty(), "{:?}", harness.stops());
}

// A step was started beside a latency-critical task although its own image was known to interfere
// with that task.
#[test]
fn a_best_effort_task_waits_rather_than_slow_a_latency_critical_one() {
    let mut harness = start_shared_worker();
    for round in 0..20 {
        harness.keep_alive(1, 400);
        let (tail, used) = if round % 2 == 0 { (8, 0) } else { (18, 4000) };
        harness.report_figures(1, "e1@100", &[(LATENCY_CRITICAL, 1, tail), (BEST_EFFORT, 1, used)]);
    }
    harness.submit(0xb, job(&[StepBuilder::tasks(1).cores(4).best_effort().image("sort")]));
    assert_eq!(harness.starts().len(), 2, "the worker has headroom for one of them only");
    harness.connect_worker(2, "e2", 100);
    assert_eq!(harness.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e2@100");
}

// While nothing was proposed, each pass added the whole time since the last proposal to the leader's
// clock, and a job counted as starving after half a second.
#[test]
fn a_job_starves_only_at_its_age() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0x1, job(&[StepBuilder::tasks(1).lasting().image("web").latency_target(20)]));
    for _ in 0..20 {
        harness.keep_alive(1, 400);
        harness.report_figures(1, "e1@100", &[(LATENCY_CRITICAL, 1, 40)]);
    }
    harness.submit(0xa, job(&[StepBuilder::tasks(1).best_effort().image("sort")]));
    harness.keep_alive(1, 1400);
    assert_eq!(harness.starts().len(), 1, "the job is 1.4 s old");
    harness.keep_alive(1, 400);
    assert_eq!(harness.starts().len(), 2, "the job is 1.8 s old");
}

// A lasting task that was stopped found its room taken by short jobs, which rank first by their
// little work.
#[test]
fn a_displaced_lasting_task_gets_the_room_that_it_had() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    let lasting = "000000000000000a.0.0.0";
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(6).lasting()]));
    submit_short_jobs(&mut harness, 10);
    harness.report_end(1, "e1@100", 1, lasting, 1, EndKind::Stopped);
    assert_eq!(harness.starts().last().unwrap(), &format!("{lasting} run 2 on e1@100"));
}

// A lasting task that lost its worker waited until the load ended: each core that came free went to
// a short job, and the room that the lasting task needs at once never came together.
#[test]
fn a_displaced_lasting_task_does_not_wait_for_the_load_to_end() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    let lasting = "000000000000000a.0.0.0";
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(6).lasting()]));
    harness.connect_worker(2, "e2", 100);
    submit_short_jobs(&mut harness, 60);
    harness.close(1);
    harness.keep_alive(2, 4000);
    let restart = format!("{lasting} run 2 on e2@100");
    let mut ended = 0;
    while !harness.starts().contains(&restart) {
        let running = harness.running_on("e2@100");
        assert!(ended < 12, "the lasting task has waited for 6 s beside {}", running.len());
        ended += 1;
        harness.report_end(2, "e2@100", ended, &running[0], 1, EndKind::Done);
        harness.keep_alive(2, 400);
        harness.advance(100);
    }
}

fn submit_short_jobs(harness: &mut ControlHarness, count: u64) {
    for key in 0..count {
        harness.submit(0x100 + key, job(&[StepBuilder::tasks(1).cores(2)]));
    }
}

// Room is only kept for tasks that have run before: a new lasting job is one of many.
#[test]
fn a_new_lasting_job_holds_back_no_shorter_one() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    submit_short_jobs(&mut harness, 20);
    harness.submit(0xa, job(&[StepBuilder::tasks(1).cores(6).lasting()]));
    let before = harness.starts().len();
    for ended in 0..3 {
        let task = format!("{:016x}.0.0.0", 0x100 + ended);
        harness.report_end(1, "e1@100", 1 + ended, &task, 1, EndKind::Done);
    }
    assert_eq!(harness.starts().len(), before + 3);
}

// The forecast of a reservation counted the whole estimate of runs that had begun long ago.
#[test]
fn a_reservation_is_forecast_from_the_starts_of_runs() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0x1, job(&[StepBuilder::tasks(4).cores(4).estimate(5000)]));
    harness.submit(0xa, job(&[StepBuilder::tasks(2).cores(3).gang().estimate(1000)]));
    (0..3).for_each(|_| harness.keep_alive(1, 400));
    let [(task, ready_ms)] = &harness.reservations[..] else {
        panic!("{:?}", harness.reservations)
    };
    assert_eq!(task, "000000000000000a.0.0.0");
    assert!((3700..=4000).contains(ready_ms), "{ready_ms} ms after a wait of 1 s and more");
}

// An agent repeats the ends that it has no acknowledgement for to each leader and after each
// reconnection. One failed run that was reported often enough made its worker suspect.
#[test]
fn a_failure_that_is_reported_again_counts_once_against_its_worker() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.connect_worker(2, "e2", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    for _ in 0..12 {
        harness.report_end(1, "e1@100", 1, "000000000000000a.0.0.0", 1, EndKind::Failed);
    }
    harness.report_end(2, "e2@100", 1, "000000000000000a.0.0.0", 2, EndKind::Done);
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.starts().last().unwrap(), "000000000000000b.0.0.0 run 1 on e1@100");
}

// The numbers of a job come from its caller. Arithmetic on them that overflows ends a process that
// is built with checks, and without them gives a job another place in the queue.
#[test]
fn a_job_with_the_largest_numbers_is_treated_like_any_other() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    let huge = StepBuilder::tasks(3).estimate(u64::MAX);
    harness.submit(0xa, job(&[huge.clone(), huge.clone().after(0), huge.after(1)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    let mut scheduled = job(&[StepBuilder::tasks(1)]);
    let (first_ms, every_ms) = (u64::MAX, u64::MAX);
    scheduled.schedule = Some(JobSchedule { count: 3, first_ms, every_ms });
    harness.submit(0xc, scheduled);
    harness.submit(0xd, job(&[StepBuilder::tasks(1).cores(u64::MAX / 1000)]));
    harness.report_draining(1, "e1", 100);
    assert_eq!(harness.accepted(), 4);
    assert_eq!(harness.starts().len(), 4, "three tasks of the first job and one of the second");
}

// A process that stays connected to one leader learned no addresses after its connection, and found
// nobody once all members that it knew were replaced.
#[test]
fn connected_processes_are_told_of_changed_members() {
    let mut harness = ControlHarness::start();
    for client in [50, 51, 52] {
        harness.connect_client(client);
    }
    harness.close(52);
    let told = [50, 51, 52].map(|client| (client, vec![1]));
    assert_eq!(harness.take_welcomes(), told);
    harness.join(60, 2);
    harness.advance(400);
    let told = [50, 51].map(|client| (client, vec![1, 2]));
    assert_eq!(harness.take_welcomes(), told);
    harness.advance(1000);
    assert_eq!(harness.take_welcomes(), []);
}

// Every caller who waited for a leader that was lost was told that the job may have been accepted,
// also those whose job was in no entry of the log.
#[test]
fn only_what_was_proposed_is_unresolved_when_the_leadership_ends() {
    let mut harness = ControlHarness::start();
    harness.pause_syncs(true);
    harness.submit(1, job(&[StepBuilder::tasks(1)]));
    harness.submit_and_fail_sync(2, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.answers(), [CallerAnswer::Unresolved, CallerAnswer::NotLeading]);
}

// A caller was shown a job whose submission was then lost with the leader.
#[test]
fn a_job_is_shown_once_its_submission_is_in_the_log() {
    let mut harness = ControlHarness::start();
    harness.pause_syncs(true);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    assert_eq!(harness.phase(0xa), "None");
    assert_eq!(harness.phase(0xb), "Some(NoJob)");
    harness.pause_syncs(false);
    let shown = CallerAnswer::Phase(JobPhase::Queued);
    assert_eq!(harness.answers(), [CallerAnswer::NoJob, CallerAnswer::Accepted, shown]);
}
