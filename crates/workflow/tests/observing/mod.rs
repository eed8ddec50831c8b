//! Tests of the log lines about tasks that do not run: from them alone, a task that placement leaves
//! waiting, a run whose end is lost and a job that has ended must look different.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    rstest::rstest,
    workflow::{control::WaitFigures, state::EndKind},
};

const TASK: &str = "000000000000000a.0.0.0";
const OTHER: &str = "000000000000000a.0.0.1";
const WORKER: &str = "e1@100";
/// Longer than tasks wait, or runs are unconfirmed, before they are reported.
const LONG_MS: u64 = 8000;
/// How long a crashed executor is away: less than its crash takes to be given up.
const ABSENCE_MS: u64 = 1900;
/// How long a task that lasts is held after several crashes.
const HOLD_MS: u64 = 4000;

fn started(step: StepBuilder) -> ControlHarness {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1", 100);
    harness.submit(0xa, job(&[step]));
    harness
}

/// Lets time pass while the agent of the worker lists the given tasks in their first runs.
fn list_for(harness: &mut ControlHarness, milliseconds: u64, tasks: &[&str]) {
    let runs: Vec<(&str, u32)> = tasks.iter().map(|task| (*task, 1)).collect();
    for _ in 0..milliseconds / 800 {
        harness.report_runs(1, WORKER, &runs);
        harness.keep_alive(1, 800);
    }
}

#[rstest]
#[case::no_worker(None, StepBuilder::tasks(1), "NoWorker")]
#[case::label(Some(16), StepBuilder::tasks(1).required_label("gpu"), "RequiredLabel")]
#[case::capacity(Some(2), StepBuilder::tasks(1).cores(4), "FreeCapacity")]
#[case::processors(Some(2), StepBuilder::tasks(1).cores(4).best_effort(), "IdleProcessors")]
#[case::gang(Some(2), StepBuilder::tasks(3).gang(), "GangCapacity")]
fn a_job_of_which_nothing_is_placed_says_why(
    #[case] cores: Option<u64>,
    #[case] step: StepBuilder,
    #[case] cause: &str,
) {
    let mut harness = ControlHarness::start();
    if let Some(cores) = cores {
        harness.connect_worker(1, "e1", 100);
        harness.report_capacity(1, "e1", 100, (cores, 64_000));
    }
    harness.submit(0xa, job(&[step]));
    harness.keep_alive(1, LONG_MS);
    let line = format!("{TASK} run 0 waits: {cause}, NeverPlaced, stopped for None, logged true");
    assert_eq!(harness.idle_lines(), [line]);
    let figures = WaitFigures { waiting_jobs: 1, unconfirmed_runs: 0 };
    assert_eq!(harness.wait_figures(), figures);
}

/// What becomes of a run at work.
#[derive(Debug, Clone, Copy)]
enum RunFate {
    /// It is stopped because its executor drains, and its end is reported.
    Stopped,
    /// The same, and another leadership begins.
    StoppedEarlier,
    /// The same, and the end is not committed.
    StoppedUncommitted,
    /// It goes on after the order to stop.
    Unstoppable,
    /// The lists of its agent no longer show it.
    Vanished,
    /// It fails, and so does the next one.
    Failed,
}

#[rstest]
#[case(
    RunFate::Stopped,
    "1 waits: NoWorker, Recorded(Stopped), stopped for Some(WorkerDraining), logged true"
)]
#[case(
    RunFate::StoppedEarlier,
    "1 waits: NoWorker, BeforeLeadership, stopped for None, logged true"
)]
#[case(
    RunFate::StoppedUncommitted,
    "1 waits: NoWorker, Recorded(Stopped), stopped for Some(WorkerDraining), logged false"
)]
#[case(
    RunFate::Unstoppable,
    "1 unconfirmed: at work true, listed true, stopped for Some(WorkerDraining), Connected"
)]
#[case(RunFate::Vanished, "1 unconfirmed: at work true, listed false, stopped for None, Connected")]
#[case(RunFate::Failed, "2 failed 2 of 2, written off 0, crashes 0")]
fn a_task_that_does_not_run_says_what_became_of_its_run(#[case] fate: RunFate, #[case] line: &str) {
    let step = StepBuilder::tasks(1);
    let fails = matches!(fate, RunFate::Failed);
    let mut harness = started(if fails { step } else { step.lasting() });
    list_for(&mut harness, 800, &[TASK]);
    if !matches!(fate, RunFate::Vanished | RunFate::Failed) {
        harness.report_draining(1, "e1", 100);
    }
    harness.pause_syncs(matches!(fate, RunFate::StoppedUncommitted));
    match fate {
        RunFate::Stopped | RunFate::StoppedEarlier | RunFate::StoppedUncommitted => {
            harness.report_end(1, WORKER, 1, TASK, 1, EndKind::Stopped);
        }
        RunFate::Failed => {
            harness.report_end(1, WORKER, 1, TASK, 1, EndKind::Failed);
            harness.report_end(1, WORKER, 2, TASK, 2, EndKind::Failed);
        }
        RunFate::Unstoppable | RunFate::Vanished => {}
    }
    if matches!(fate, RunFate::StoppedEarlier) {
        harness.restart_leader();
        harness.report_draining(1, "e1", 100);
    }
    let listed: &[&str] = if matches!(fate, RunFate::Unstoppable) { &[TASK] } else { &[] };
    list_for(&mut harness, LONG_MS, listed);
    assert_eq!(harness.idle_lines(), [format!("{TASK} run {line}")], "{fate:?}");
}

// A member whose end is lost keeps its whole gang from starting.
#[test]
fn a_gang_that_waits_for_a_member_names_it() {
    let mut harness = started(StepBuilder::tasks(2).gang());
    list_for(&mut harness, 800, &[TASK, OTHER]);
    harness.report_end(1, WORKER, 1, TASK, 1, EndKind::Stopped);
    list_for(&mut harness, LONG_MS, &[]);
    let waits = "run 1 waits: GangMemberPlaced, Recorded(Stopped), stopped for None, logged true";
    let lost =
        "run 1 unconfirmed: at work true, listed false, stopped for Some(GangBroken), Connected";
    let lines = [format!("{TASK} {waits}"), format!("{OTHER} {lost}")];
    assert_eq!(harness.idle_lines(), lines);
    let figures = WaitFigures { waiting_jobs: 1, unconfirmed_runs: 1 };
    assert_eq!(harness.wait_figures(), figures);
}

/// Crashes executors under their runs of the task, each at the address of its session, and gives
/// back the lines until a task that lasts may start again.
fn crash_repeatedly(step: StepBuilder, crashes: u64) -> Vec<String> {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at 1", 100);
    harness.connect_worker(2, "e1 at 2", 100);
    harness.submit(0xa, job(&[step]));
    for crash in 0..crashes {
        for _ in 0..LONG_MS / 400 {
            harness.keep_alive(1, 200);
            harness.keep_alive(2, 200);
        }
        assert!(harness.starts().len() as u64 > crash, "the task starts after {crash} crashes");
        let start = harness.starts()[crash as usize].clone();
        let (run, worker) = start.split_once(" run ").unwrap().1.split_once(" on ").unwrap();
        let session = worker.split_once(" at ").unwrap().1.split_once('@').unwrap().0;
        let session: u64 = session.parse().unwrap();
        harness.report_end(session, worker, 0, TASK, run.parse().unwrap(), EndKind::Expired);
        let next = format!("x{crash} at {session}");
        harness.keep_alive(3 - session, ABSENCE_MS);
        harness.connect_worker(session, &next, 200 + crash);
    }
    for _ in 0..HOLD_MS / 400 {
        harness.keep_alive(1, 200);
        harness.keep_alive(2, 200);
    }
    harness.idle_lines().to_vec()
}

#[rstest]
#[case::job(StepBuilder::tasks(1), 3, "run 3000005 failed 2 of 2, written off 2, crashes 3")]
#[case::lasting(
    StepBuilder::tasks(1).lasting(),
    5,
    "run 5000005 waits: HeldAfterCrash, Recorded(Expired), stopped for None, logged true"
)]
fn a_task_under_which_executors_crash_says_so(
    #[case] step: StepBuilder,
    #[case] crashes: u64,
    #[case] line: &str,
) {
    let lines = crash_repeatedly(step, crashes);
    assert_eq!(lines.last(), Some(&format!("{TASK} {line}")));
}
