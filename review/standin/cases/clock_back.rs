//! An executor crashes twice and starts again under its id. Between the two starts the time of day
//! of its machine jumps back, and later forward again. Afterwards everything is calm.

use {
    crate::{
        fleet::{config, job, keep_logs, Fleet, FleetSize},
        record::Record,
    },
    std::{
        sync::{atomic::Ordering, Arc},
        thread,
        time::Duration,
    },
};

const SIZE: FleetSize = FleetSize { controls: 3, entries: 2, agents: 10, slots: 4 };
const LASTING_JOB: &str = "5c0e7a21d94b36f8";
const COUNTED_JOB: &str = "91c27f3a5c0ed94b";
/// The number of tasks of each job.
const TASKS: usize = 2;
/// The last rack has one executor.
const RACK: &str = "r1-3";
const REGISTERED: Duration = Duration::from_secs(4);
const START_LIMIT: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(2);
/// How long the executor is down after each crash, and up between them.
const DOWN: Duration = Duration::from_millis(600);
const UP: Duration = Duration::from_millis(800);
const JUMP_MS: u64 = 2400;
/// How long the clock stays behind once the executor is up again. With `DOWN` it stays below 6 s.
const JUMP_TIME: Duration = Duration::from_millis(5300);
/// Calm time after the clock is right again: several times what the rule leaves.
const CALM: Duration = Duration::from_secs(20);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    let fleet = Fleet::start(&SIZE, record.clone())?;
    fleet.configure(config(7, 4).as_bytes())?;
    thread::sleep(REGISTERED);
    let executor = fleet.executors.iter().find(|executor| executor.rack == RACK);
    let executor = executor.ok_or("no executor in the rack")?;
    let step =
        format!("\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":256,\"required_label\":\"{RACK}\"");
    fleet.submit(LASTING_JOB, &job("lasts", &format!("{step},\"long_running\":true")))?;
    let task = |index: usize| format!("{LASTING_JOB}.0.0.{index}");
    let all_at_work = || (0..TASKS).all(|index| !record.runs_of(&task(index)).is_empty());
    fleet.wait_for("all tasks are at work", START_LIMIT, all_at_work)?;
    thread::sleep(SETTLE);
    executor.crash();
    thread::sleep(DOWN);
    executor.start_again();
    fleet.submit(COUNTED_JOB, &job("work 2000", &format!("{step},\"estimate_ms\":2000")))?;
    thread::sleep(UP);
    if trouble {
        executor.clock_back_ms.store(JUMP_MS, Ordering::SeqCst);
        record.note(format!("clock of {}: {JUMP_MS} ms back", executor.id));
    }
    executor.crash();
    thread::sleep(DOWN);
    executor.start_again();
    thread::sleep(JUMP_TIME);
    executor.clock_back_ms.store(0, Ordering::SeqCst);
    record.note(format!("clock of {}: right again", executor.id));
    thread::sleep(CALM);
    let counted = fleet.state_of(0, COUNTED_JOB);
    record.note(format!("client: GET {COUNTED_JOB}: {counted:?}"));
    let missing: Vec<String> =
        (0..TASKS).map(task).filter(|task| record.runs_of(task).is_empty()).collect();
    if !missing.is_empty() {
        record.broken(format!(
            "LOST: {missing:?}, to last, not running; {} is up and idle, and all calm for {CALM:?}",
            executor.id
        ));
    }
    if counted.as_deref() != Some("succeeded") {
        let state = counted.as_deref().unwrap_or("not known");
        record.broken(format!(
            "LOST: {COUNTED_JOB} is {state} with nothing running; {} is up and idle",
            executor.id
        ));
    }
    keep_logs(&fleet);
    Ok(())
}
