//! An executor leaves an order unanswered and carries it out late. Before it does, its agent is
//! stopped and started, and the executor begins to drain.

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

const SIZE: FleetSize = FleetSize { controls: 3, entries: 2, agents: 7, slots: 4 };
const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 2;
const WORK: &str = "work 2400";
/// Within the 2 s to 12 s of the pages.
const LATE_MS: u64 = 2700;
const REGISTERED: Duration = Duration::from_secs(4);
const START_LIMIT: Duration = Duration::from_secs(10);
/// The pause before the platform starts the process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
const WATCH: Duration = Duration::from_secs(12);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    let mut fleet = Fleet::start(&SIZE, record.clone())?;
    fleet.configure(config(7, 3).as_bytes())?;
    thread::sleep(REGISTERED);
    if trouble {
        fleet.late.delay_ms.store(LATE_MS, Ordering::SeqCst);
    }
    let step = format!("\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":1800");
    fleet.submit(JOB, &job(WORK, &step))?;
    if trouble {
        let late = fleet.late.clone();
        let arrived = || !late.on.lock().expect("no holder panics").is_empty();
        fleet.wait_for("an order is left unanswered", START_LIMIT, arrived)?;
        thread::sleep(Duration::from_millis(100));
        fleet.late.delay_ms.store(0, Ordering::SeqCst);
        let id = late.on.lock().expect("no holder panics")[0].clone();
        let at = fleet.executors.iter().position(|executor| executor.id == id);
        let at = at.ok_or("an unknown executor has the order")?;
        fleet.agents[at].terminate();
        record.note(format!("platform: SIGTERM to {}", fleet.agents[at].name));
        fleet.executors[at].set_draining();
        thread::sleep(RESTART_DELAY);
        fleet.agents[at].start()?;
        record.note(format!("platform: {} started", fleet.agents[at].name));
        record.note(format!("executor {id}: drains"));
    }
    thread::sleep(WATCH);
    let state = fleet.state_of(0, JOB);
    record.note(format!("client: GET {JOB}: {state:?}"));
    keep_logs(&fleet);
    Ok(())
}
