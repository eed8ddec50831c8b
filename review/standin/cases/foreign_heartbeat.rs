//! One heartbeat of another writer reaches an agent. It names a service that no configuration names,
//! and lacks fields, so that it names no executor to use.

use {
    crate::{
        executor::unix_ms,
        fleet::{config, job, keep_logs, Fleet, FleetSize},
        http,
        record::Record,
    },
    std::{sync::Arc, thread, time::Duration},
};

const SIZE: FleetSize = FleetSize { controls: 3, entries: 2, agents: 4, slots: 4 };
const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: usize = 8;
const WORK: &str = "work 12000";
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between the start of the tasks and the heartbeat.
const SETTLE: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(14);

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<(), String> {
    let fleet = Fleet::start(&SIZE, record.clone())?;
    fleet.configure(config(7, 3).as_bytes())?;
    let step = format!("\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":12000");
    fleet.submit(JOB, &job(WORK, &step))?;
    let task = |index: usize| format!("{JOB}.0.0.{index}");
    let all_at_work = || (0..TASKS).all(|index| !record.runs_of(&task(index)).is_empty());
    fleet.wait_for("all tasks are at work", START_LIMIT, all_at_work)?;
    thread::sleep(SETTLE);
    let busy = fleet.executors.iter().position(|at| !record.tasks_on(&at.id).is_empty());
    let busy = &fleet.executors[busy.ok_or("no executor has a task")?];
    let body = format!(
        "{{\"service\":\"parcel-desk\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\",\
         \"capacity\":{{\"cpu\":4000,\"mem_mb\":64000,\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\
         \"seq\":1,\"born\":{}}}",
        busy.address,
        busy.zone,
        busy.rack,
        unix_ms(),
    );
    if trouble {
        let limit = Duration::from_secs(1);
        let path = "/instances/i-0000aaaa";
        let reply = http::call(busy.agent, ("PUT", path), &[], body.as_bytes(), limit);
        let status = reply.map(|reply| reply.status);
        record.note(format!("other writer: PUT {path} to the agent of {}: {status:?}", busy.id));
    }
    thread::sleep(WATCH);
    let state = fleet.state_of(0, JOB);
    record.note(format!("client: GET {JOB}: {state:?}"));
    keep_logs(&fleet);
    Ok(())
}
