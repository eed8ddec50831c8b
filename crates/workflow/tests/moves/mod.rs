//! Tests of when a leader moves latency-critical runs: a service must not lose several tasks of a
//! step at once.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    std::sync::Arc,
    workflow::{
        job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
        message::{LinkMessage, RunReport},
        state::{EndKind, TaskPhase},
    },
};

const WORKERS: u64 = 4;
/// The job with a task on each worker, and the best-effort job that disturbs it.
const CACHE: u64 = 0xa;
const SCAN: u64 = 0xb;
const REPORT_MS: u64 = 400;

fn incarnation(session: u64) -> WorkerIncarnation {
    WorkerIncarnation { executor: Arc::from(format!("e{session}")), started_ms: 100 }
}

fn serving(image: &str, tasks: u16) -> StepBuilder {
    StepBuilder::tasks(tasks).cores(7).image(image).latency_target(50).lasting()
}

/// A full fleet on which each worker serves both images, and best-effort work beside one of them.
fn mixed_fleet() -> ControlHarness {
    let mut harness = ControlHarness::start();
    for session in 1..=WORKERS {
        harness.connect_worker(session, &format!("e{session}"), 100);
        harness.report_capacity(session, &format!("e{session}"), 100, (9, 64_000));
    }
    (1..=WORKERS).for_each(|key| harness.submit(key, job(&[serving("index", 1)])));
    for session in 1..=WORKERS {
        harness.report_capacity(session, &format!("e{session}"), 100, (16, 64_000));
    }
    harness.submit(CACHE, job(&[serving("cache", WORKERS as u16)]));
    harness
}

/// Lists the runs on all workers. Tasks that have moved report the given progress.
fn list_runs(harness: &mut ControlHarness, moved_percent: u8) {
    for session in 1..=WORKERS {
        let worker = incarnation(session);
        let placed: Vec<(TaskKey, RunNumber)> = harness.state().placed_tasks(&worker).collect();
        let disturbed = placed.iter().any(|(task, _)| task.job == JobKey(SCAN));
        let report = |(task, run): (TaskKey, RunNumber)| {
            let figure = match task.job {
                JobKey(SCAN) => 4800,
                JobKey(CACHE) if disturbed => 45,
                _ => 23,
            };
            let percent = if run > RunNumber(1) { moved_percent } else { 100 };
            RunReport { task, run, checkpoint: String::new(), percent, figure }
        };
        let runs = placed.into_iter().map(report).collect();
        harness.send(session, LinkMessage::Runs { worker, runs });
        harness.send(session, LinkMessage::Ping { sequence: 1 });
    }
}

/// Plays some reports of all agents, which carry out each stop at once.
fn play(harness: &mut ControlHarness, reports: u64, moved_percent: u8, ends: &mut u64) {
    for _ in 0..reports {
        list_runs(harness, moved_percent);
        harness.advance(REPORT_MS);
        let stops = harness.stops()[*ends as usize..].to_vec();
        for stop in stops {
            *ends += 1;
            let (task, run) = stop.split_once(" run ").unwrap();
            let key: TaskKey = task.parse().unwrap();
            let phase = harness.state().task(&key).map(|record| record.phase.clone());
            let Some(TaskPhase::Placed(worker)) = phase else { continue };
            let session = worker.executor[1..].parse().unwrap();
            let worker = worker.to_string();
            harness.report_end(
                session,
                &worker,
                *ends,
                task,
                run.parse().unwrap(),
                EndKind::Stopped,
            );
        }
    }
}

fn cache_stops(harness: &ControlHarness) -> usize {
    let prefix = format!("{CACHE:016x}.");
    harness.stops().iter().filter(|stop| stop.starts_with(&prefix)).count()
}

// The time of a move was over, the moved task was placed but did not work yet, and the next task of
// its step was stopped.
#[test]
fn no_task_moves_while_another_of_its_step_is_not_at_work() {
    let mut harness = mixed_fleet();
    harness
        .submit(SCAN, job(&[StepBuilder::tasks(1).best_effort().image("scan").estimate(60_000)]));
    let mut ends = 0;
    play(&mut harness, 20, 0, &mut ends);
    assert_eq!(cache_stops(&harness), 1, "{:?}", harness.stops());
    play(&mut harness, 20, 100, &mut ends);
    assert!(cache_stops(&harness) > 1, "{:?}", harness.stops());
}

// Services on a fleet without best-effort work gain nothing from moves.
#[test]
fn nothing_moves_once_all_best_effort_work_has_ended() {
    let mut harness = mixed_fleet();
    harness
        .submit(SCAN, job(&[StepBuilder::tasks(1).best_effort().image("scan").estimate(60_000)]));
    let mut ends = 0;
    play(&mut harness, 3, 100, &mut ends);
    let before = cache_stops(&harness);
    harness.cancel(SCAN);
    play(&mut harness, 20, 100, &mut ends);
    assert_eq!(cache_stops(&harness), before, "{:?}", harness.stops());
}
