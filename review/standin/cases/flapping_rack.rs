//! Two of twenty executors go down and up by turns. A job that needs their rack is handed in
//! meanwhile. None of its runs ends as `failed`.

use {
    crate::{
        executor::Executor,
        fleet::{config, job, keep_logs, Fleet, FleetSize},
        record::Record,
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const SIZE: FleetSize = FleetSize { controls: 3, entries: 2, agents: 20, slots: 4 };
/// The last rack has two executors.
const RACK: &str = "r1-6";
const JOB: &str = "5c0e7a21d94b36f8";
const WORK: &str = "work 2200";
/// Time in which every executor has registered.
const REGISTERED: Duration = Duration::from_secs(4);
/// `gap_s` and `for_s` of the disruption.
const PERIOD: Duration = Duration::from_millis(1400);
const LENGTH: Duration = Duration::from_millis(6500);
/// How long an executor is down in each period.
const DOWN: Duration = Duration::from_millis(600);
/// Time between the first start of the task and the disruption.
const BEGIN_AFTER: Duration = Duration::from_millis(300);
const START_LIMIT: Duration = Duration::from_secs(10);
const WATCH: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(500);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    let fleet = Fleet::start(&SIZE, record.clone())?;
    fleet.configure(config(7, 3).as_bytes())?;
    thread::sleep(REGISTERED);
    let rack = fleet.executors.iter().filter(|executor| executor.rack == RACK);
    let mut rack: Vec<Executor> = rack.cloned().collect();
    if rack.len() != 2 {
        return Err(format!("{RACK} has {} executors", rack.len()));
    }
    let step = format!(
        "\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":2200,\"required_label\":\"{RACK}\""
    );
    fleet.submit(JOB, &job(WORK, &step))?;
    let task = format!("{JOB}.0.0.0");
    let started = || !record.runs_of(&task).is_empty();
    fleet.wait_for("the task has started", START_LIMIT, started)?;
    thread::sleep(BEGIN_AFTER);
    rack.sort_by_key(|executor| record.tasks_on(&executor.id).is_empty());
    if trouble {
        thread::scope(|scope| {
            for (turn, executor) in rack.iter().enumerate() {
                scope.spawn(move || flap(executor, PERIOD / 2 * turn as u32));
            }
        });
    }
    let began = Instant::now();
    let mut last = None;
    while began.elapsed() < WATCH && !matches!(last.as_deref(), Some("failed" | "succeeded")) {
        last = fleet.state_of(0, JOB);
        record.note(format!("client: GET {JOB}: {last:?}"));
        thread::sleep(POLL);
    }
    keep_logs(&fleet);
    match last.as_deref() {
        Some("failed") => record.broken(format!(
            "LOST: {JOB} is shown as failed, and none of its runs has ended as failed"
        )),
        Some("succeeded") => {}
        other => return Err(format!("the job is {other:?} at the end")),
    }
    Ok(())
}

/// Takes an executor down and up, from `delay` on. At the end it is up.
fn flap(executor: &Executor, delay: Duration) {
    thread::sleep(delay);
    let began = Instant::now();
    while began.elapsed() + PERIOD <= LENGTH - delay {
        executor.crash();
        thread::sleep(DOWN);
        executor.start_again();
        thread::sleep(PERIOD - DOWN);
    }
}
