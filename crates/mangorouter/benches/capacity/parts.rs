//! The parts of the measurement.

use {
    crate::{
        child::{common_settings, free_address, ChildProcess, ControlGroup},
        relay::CountingRelay,
        simulated::SimulatedFleet,
        statistics::{print_fit, quantile},
    },
    base::{AcceleratorCount, ByteSize, CpuMillis, ResourceVector, RevisionNumber, TaskId},
    proto::{
        messages::{
            operator::{ApplyReply, ApplyRequest, FleetStatus, SubmitReply, SubmitRequest},
            DeclarationFile, JobSpec, PlacementRule, PriorityClass,
        },
        operator_client::OperatorClient,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// All parts, by name.
pub(crate) const ALL: [(&str, fn()); 6] = [
    ("agent", agent),
    ("entry", entry),
    ("control", control),
    ("tasks", tasks),
    ("starts", starts),
    ("changes", changes),
];

const SETTLE_TIME: Duration = Duration::from_secs(4);
const MEASURE_INTERVAL: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const WORKERS_AT_TARGET: f64 = 660.0;
const TASKS_AT_TARGET: f64 = 12_500.0;
const TASKS_PER_WORKER_AT_TARGET: f64 = TASKS_AT_TARGET / WORKERS_AT_TARGET;
const SMALL_TASK: ResourceVector = ResourceVector {
    cpu: CpuMillis(100),
    memory: ByteSize(100_000_000),
    accelerators: AcceleratorCount::ZERO,
};
const LARGE_WORKER: ResourceVector = ResourceVector {
    cpu: CpuMillis(32_000),
    memory: ByteSize(125_000_000_000),
    accelerators: AcceleratorCount(2),
};

fn folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

fn client(group: &ControlGroup) -> OperatorClient {
    OperatorClient::new(group.operators.clone(), Duration::from_secs(10))
}

/// Waits until `done` returns true. Prints a message and returns when the timeout has passed.
fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        if started.elapsed() > WAIT_TIMEOUT {
            println!("timed out waiting for {what}");
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn declare(client: &OperatorClient, submission: &str, base: u64, files: Vec<DeclarationFile>) {
    let request = ApplyRequest {
        submission: submission.parse().expect("a name"),
        base: RevisionNumber(base),
        files,
    };
    wait("a change of declarations", || {
        matches!(client.post("/v1/declarations", &request), Ok(ApplyReply::Accepted { .. }))
    });
}

fn team_file() -> DeclarationFile {
    let text = "[teams.t]\nmay_borrow = true\nquota = { cpu = \"100000\", memory = \"1000TiB\" }\n\
                [services.s]\nteam = \"t\"\n";
    DeclarationFile { path: "teams.toml".to_owned(), text: text.to_owned() }
}

fn submit(client: &OperatorClient, id: &str, tasks: u32, payload: &str, priority: PriorityClass) {
    let job = JobSpec {
        id: id.parse().expect("a name"),
        team: "t".parse().expect("a name"),
        class: "c".parse().expect("a name"),
        priority,
        tasks,
        resources: SMALL_TASK,
        run_time: None,
        service: None,
        payload: payload.to_owned(),
        placement: PlacementRule::default(),
    };
    let request = SubmitRequest { submission: format!("s-{id}").parse().expect("a name"), job };
    wait("a submission", || {
        matches!(client.post("/v1/jobs", &request), Ok(SubmitReply::Accepted { .. }))
    });
}

/// Measures one real agent with a growing number of tasks. A relay counts its bytes to control.
fn agent() {
    println!("| tasks | agent % of a core | MB | bytes/s | connections/s |\n|---|---|---|---|---|");
    let (mut cpu, mut bytes, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for tasks in [0_u32, 10, 20, 40] {
        let folder = folder();
        let group = ControlGroup::start(folder.path(), 1);
        let relay = CountingRelay::start(group.internal[0]);
        let [platform, announce, executor] = [free_address(), free_address(), free_address()];
        let name = "agent-1";
        let settings = format!(
            "{}[agent]\nworker = \"worker-1\"\nrack = \"r\"\nplatform = \"{platform}\"\n\
             announce = \"{announce}\"\ncapacity = {{ cpu = \"32\", memory = \"125GB\" }}\n",
            common_settings(name, free_address(), free_address(), &[relay.address()])
        );
        let stand_in = format!(
            "{}[stand-in]\nplatform = \"{platform}\"\nexecutor = \"{executor}\"\n\
             announce_to = \"{announce}\"\nservice = \"s\"\nendpoint = \"s-1\"\nslots = 8\n\
             connections = 64\nservice_time = \"5ms\"\n",
            common_settings("stand-in-1", free_address(), free_address(), &[])
        );
        let _stand_in = ChildProcess::start(folder.path(), "stand-in", "stand-in-1", &stand_in);
        let process = ChildProcess::start(folder.path(), "agent", name, &settings);
        let client = client(&group);
        declare(&client, "first", 0, vec![team_file()]);
        if tasks > 0 {
            submit(&client, "j", tasks, "endless", PriorityClass::Batch);
        }
        wait("the tasks", || count_tasks(&client) >= tasks);
        thread::sleep(SETTLE_TIME);
        let counted = thread::scope(|scope| {
            let rates = scope.spawn(|| relay.rates(MEASURE_INTERVAL));
            let usage = process.usage(MEASURE_INTERVAL);
            (usage, rates.join().expect("the counter ends"))
        });
        let (usage, (byte_rate, connection_rate)) = counted;
        println!(
            "| {tasks} | {:.3} | {:.1} | {byte_rate:.0} | {connection_rate:.2} |",
            usage.cpu_percent, usage.memory_mb
        );
        let x = f64::from(tasks);
        cpu.push((x, usage.cpu_percent));
        memory.push((x, usage.memory_mb));
        bytes.push((x, byte_rate));
    }
    println!();
    print_fit("agent, % of a core", "per task", &cpu, TASKS_PER_WORKER_AT_TARGET);
    print_fit("agent, MB", "per task", &memory, TASKS_PER_WORKER_AT_TARGET);
    print_fit("agent, bytes/s", "per task", &bytes, TASKS_PER_WORKER_AT_TARGET);
}

fn count_tasks(client: &OperatorClient) -> u32 {
    let status: Option<FleetStatus> = client.get("/v1/status").ok();
    status.map_or(0, |status| status.workers.iter().map(|worker| worker.tasks).sum())
}

/// Measures one entry that follows a growing endpoint table.
fn entry() {
    println!("| endpoints | entry % of a core | MB | bytes/s |\n|---|---|---|---|");
    let (mut cpu, mut memory, mut bytes) = (Vec::new(), Vec::new(), Vec::new());
    for endpoints in [11_usize, 100, 300, 660] {
        let folder = folder();
        let group = ControlGroup::start(folder.path(), 1);
        let relay = CountingRelay::start(group.internal[0]);
        let fleet = SimulatedFleet::start(&group.internal, endpoints, LARGE_WORKER, Some("s"));
        let settings = format!(
            "{}[entry]\ncallers = \"{}\"\n",
            common_settings("entry-1", free_address(), free_address(), &[relay.address()]),
            free_address()
        );
        let process = ChildProcess::start(folder.path(), "entry", "entry-1", &settings);
        declare(&client(&group), "first", 0, vec![team_file()]);
        wait("the endpoints", || {
            let status: Option<FleetStatus> = client(&group).get("/v1/status").ok();
            status.is_some_and(|status| status.endpoints.len() >= endpoints)
        });
        thread::sleep(SETTLE_TIME);
        let (usage, (byte_rate, _)) = thread::scope(|scope| {
            let rates = scope.spawn(|| relay.rates(MEASURE_INTERVAL));
            (process.usage(MEASURE_INTERVAL), rates.join().expect("the counter ends"))
        });
        drop(fleet);
        println!(
            "| {endpoints} | {:.3} | {:.1} | {byte_rate:.0} |",
            usage.cpu_percent, usage.memory_mb
        );
        let x = endpoints as f64;
        cpu.push((x, usage.cpu_percent));
        memory.push((x, usage.memory_mb));
        bytes.push((x, byte_rate));
    }
    println!();
    print_fit("entry, % of a core", "per endpoint", &cpu, WORKERS_AT_TARGET);
    print_fit("entry, MB", "per endpoint", &memory, WORKERS_AT_TARGET);
    print_fit("entry, bytes/s", "per endpoint", &bytes, WORKERS_AT_TARGET);
}

struct GroupUsage {
    leader_cpu: f64,
    follower_cpu: f64,
    memory_mb: f64,
}

fn group_usage(group: &ControlGroup) -> GroupUsage {
    let children: Vec<_> = group.replicas.iter().collect();
    let mut usage = ChildProcess::usage_of(&children, MEASURE_INTERVAL);
    usage.sort_by(|left, right| right.cpu_percent.total_cmp(&left.cpu_percent));
    GroupUsage {
        leader_cpu: usage[0].cpu_percent,
        follower_cpu: usage.get(1).map_or(0.0, |usage| usage.cpu_percent),
        memory_mb: usage.iter().map(|usage| usage.memory_mb).fold(0.0, f64::max),
    }
}

/// Measures three control processes with a growing number of idle workers.
fn control() {
    println!("| workers | leader % of a core | busiest follower % | MB | renewal p50 | p99 | failed |\n|---|---|---|---|---|---|---|");
    let (mut cpu, mut follower, mut memory) = (Vec::new(), Vec::new(), Vec::new());
    for workers in [11_usize, 100, 300, 660] {
        let folder = folder();
        let group = ControlGroup::start(folder.path(), 3);
        let fleet = SimulatedFleet::start(&group.internal, workers, LARGE_WORKER, Some("s"));
        declare(&client(&group), "first", 0, vec![team_file()]);
        thread::sleep(SETTLE_TIME);
        fleet.record.durations.lock().expect("no holder panics").clear();
        fleet.record.failures.store(0, std::sync::atomic::Ordering::Relaxed);
        let usage = group_usage(&group);
        let durations = fleet.record.durations.lock().expect("no holder panics").clone();
        println!(
            "| {workers} | {:.1} | {:.1} | {:.1} | {:.1?} | {:.1?} | {} |",
            usage.leader_cpu,
            usage.follower_cpu,
            usage.memory_mb,
            quantile(&durations, 0.5),
            quantile(&durations, 0.99),
            fleet.record.failures.load(std::sync::atomic::Ordering::Relaxed)
        );
        let x = workers as f64;
        cpu.push((x, usage.leader_cpu));
        follower.push((x, usage.follower_cpu));
        memory.push((x, usage.memory_mb));
    }
    println!();
    print_fit("leader, % of a core", "per worker", &cpu, WORKERS_AT_TARGET);
    print_fit("follower, % of a core", "per worker", &follower, WORKERS_AT_TARGET);
    print_fit("control, MB", "per worker", &memory, WORKERS_AT_TARGET);
}

/// Measures three control processes with 300 workers and a growing number of running tasks.
fn tasks() {
    const WORKERS: usize = 300;
    const TASKS_PER_JOB: u32 = 100;
    println!(
        "| running tasks | leader % of a core | MB | starts/s while filling |\n|---|---|---|---|"
    );
    let (mut cpu, mut memory) = (Vec::new(), Vec::new());
    for tasks in [0_u32, 2500, 7500, 12_500] {
        let folder = folder();
        let group = ControlGroup::start(folder.path(), 3);
        let fleet = SimulatedFleet::start(&group.internal, WORKERS, LARGE_WORKER, None);
        let client = client(&group);
        declare(&client, "first", 0, vec![team_file()]);
        thread::sleep(SETTLE_TIME);
        let started = Instant::now();
        for job in 0..tasks / TASKS_PER_JOB {
            submit(&client, &format!("j{job}"), TASKS_PER_JOB, "endless", PriorityClass::Batch);
        }
        wait("the tasks", || fleet.started() >= tasks as usize);
        let rate = fleet.started() as f64 / started.elapsed().as_secs_f64();
        thread::sleep(SETTLE_TIME);
        let usage = group_usage(&group);
        println!("| {tasks} | {:.1} | {:.1} | {rate:.0} |", usage.leader_cpu, usage.memory_mb);
        cpu.push((f64::from(tasks), usage.leader_cpu));
        memory.push((f64::from(tasks), usage.memory_mb));
    }
    println!();
    print_fit("leader, % of a core", "per task", &cpu, TASKS_AT_TARGET);
    print_fit("control, MB", "per task", &memory, TASKS_AT_TARGET);
}

/// Measures the start latency of 97 short tasks a second on 300 workers, three of them urgent.
fn starts() {
    const WORKERS: usize = 300;
    const SECONDS: u32 = 15;
    const STARTS_PER_SECOND: u32 = 97;
    let folder = folder();
    let group = ControlGroup::start(folder.path(), 3);
    let fleet = SimulatedFleet::start(&group.internal, WORKERS, LARGE_WORKER, None);
    let client = client(&group);
    declare(&client, "first", 0, vec![team_file()]);
    thread::sleep(SETTLE_TIME);
    let mut submitted: Vec<(TaskId, Instant, bool)> = Vec::new();
    let begun = Instant::now();
    let usage = thread::scope(|scope| {
        let usage = scope.spawn(|| group_usage(&group));
        for second in 0..SECONDS {
            let due = begun + Duration::from_secs(u64::from(second));
            thread::sleep(due.saturating_duration_since(Instant::now()));
            for (prefix, tasks, urgent) in [("b", STARTS_PER_SECOND - 3, false), ("u", 3, true)] {
                let id = format!("{prefix}{second}");
                let priority = if urgent { PriorityClass::Urgent } else { PriorityClass::Batch };
                let now = Instant::now();
                submit(&client, &id, tasks, "short", priority);
                submitted.extend((0..tasks).map(|index| {
                    let job = id.parse().expect("a name");
                    (TaskId::new(job, base::TaskIndex(index)), now, urgent)
                }));
            }
        }
        usage.join().expect("the measurement ends")
    });
    wait("the starts", || fleet.started() >= submitted.len());
    let starts = fleet.record.starts.lock().expect("no holder panics").clone();
    println!("| kind | tasks | submitted to started p50 | p99 | max |\n|---|---|---|---|---|");
    for (kind, wanted) in [("batch", false), ("urgent", true)] {
        let waits: Vec<Duration> = submitted
            .iter()
            .filter(|(_, _, urgent)| *urgent == wanted)
            .filter_map(|(task, at, _)| starts.get(task).map(|start| *start - *at))
            .collect();
        println!(
            "| {kind} | {} | {:.2?} | {:.2?} | {:.2?} |",
            waits.len(),
            quantile(&waits, 0.5),
            quantile(&waits, 0.99),
            quantile(&waits, 1.0)
        );
    }
    println!(
        "\nleader {:.1} % of a core, busiest follower {:.1} %, {:.1} MB at {STARTS_PER_SECOND} starts/s",
        usage.leader_cpu, usage.follower_cpu, usage.memory_mb
    );
}

/// Measures configuration changes, each until it is in force on the last of 300 workers.
fn changes() {
    const WORKERS: usize = 300;
    const CHANGES: u64 = 20;
    let folder = folder();
    let group = ControlGroup::start(folder.path(), 3);
    let fleet = SimulatedFleet::start(&group.internal, WORKERS, LARGE_WORKER, None);
    let client = client(&group);
    declare(&client, "first", 0, vec![team_file()]);
    wait("the first revision", || fleet.lowest_revision() >= 1);
    let mut waits = Vec::new();
    for change in 1..=CHANGES {
        let text = format!("[defaults.request]\nqueue = {change}\n");
        let started = Instant::now();
        let changed = DeclarationFile { path: "queue.toml".to_owned(), text };
        declare(&client, &format!("c{change}"), change, vec![changed, team_file()]);
        wait("the revision everywhere", || fleet.lowest_revision() > change);
        waits.push(started.elapsed());
    }
    println!(
        "{CHANGES} changes on {WORKERS} workers, sent until in force everywhere: p50 {:.2?}, max {:.2?}",
        quantile(&waits, 0.5),
        quantile(&waits, 1.0)
    );
}
