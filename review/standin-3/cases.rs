//! The cases of the review.

use {
    crate::{
        executor::Run,
        fleet::{Fleet, Plan, Role, SIGCONT, SIGSTOP},
        http::{self, Call},
        json::Json,
        record::Record,
    },
    std::{
        net::SocketAddr,
        path::Path,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

const HOST: &str = "desk.example";
const PREFIX: &str = "/jobs/";
/// How long a client waits for a response.
const PATIENCE: Duration = Duration::from_millis(3000);

/// What has become of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

type Outcome = Result<Option<String>, String>;

/// Plays the case of a name.
pub fn play(case: &str, folder: &Path, record: Record, trouble: bool) -> Verdict {
    let outcome = match case {
        "late-submit" => late_submit(folder, record, trouble),
        "long-checkpoint" => long_checkpoint(folder, record, trouble),
        "crashes" => crashes(folder, record, trouble),
        "unknown-member" => unknown_member(folder, record, trouble),
        "flapping-rack" => flapping_rack(folder, record, trouble),
        "many-occurrences" => many_occurrences(folder, record, trouble),
        "full-trial" => full_trial(folder, record, trouble),
        _ => Err(format!("no case {case:?}")),
    };
    match outcome {
        Ok(None) => Verdict::Held,
        Ok(Some(what)) => Verdict::Broken(what),
        Err(why) => Verdict::NotRun(why),
    }
}

/// Starts a deployment with a queue and a service, and waits until a job has been served.
fn start(folder: &Path, record: Record, plan: &Plan, checkpoint: usize) -> Result<Fleet, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(plan, folder, record).map_err(failed)?;
    let document = format!(
        r#"{{"version":1,"routes":[{{"name":"r-desk","host":"{HOST}","path_prefix":"{PREFIX}","type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"desk","max_attempts":4,"stretch":2.0}}],"services":[{{"name":"desk","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"rejects_overload":false,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    );
    if !fleet.configure(&document, Duration::from_secs(15)) {
        return Err("no control process has acknowledged the configuration".to_owned());
    }
    fleet.start_executors(checkpoint, plan.rack).map_err(failed)?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the entries are not ready".to_owned());
    }
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let served = submit(&fleet.record, entry, "00000000000000aa", 100, 1)
        && wait_for(Duration::from_secs(15), || {
            state(&fleet.record, entry, "00000000000000aa").as_deref() == Some("succeeded")
        });
    if !served {
        return Err("a first job was not served".to_owned());
    }
    Ok(fleet)
}

fn request(
    record: &Record,
    entry: SocketAddr,
    method: &str,
    id: &str,
    body: &str,
) -> Option<(u16, String)> {
    let path = format!("{PREFIX}{id}");
    let call = Call { method, path: &path, host: HOST, body, patience: PATIENCE };
    let answer = http::call(entry, &call);
    let text = match &answer {
        Ok((status, body)) => format!("{status} {body}"),
        Err(error) => format!("no answer ({error})"),
    };
    record.note(format!("{method} {id} at {entry}: {text}"));
    answer.ok()
}

/// Submits a job of one step of small tasks. Returns whether it was accepted.
fn submit(record: &Record, entry: SocketAddr, id: &str, work_ms: u64, count: u64) -> bool {
    let step = format!(r#""cpu":500,"mem_mb":256,"checkpointing":true,"count":{count}"#);
    submit_step(record, entry, id, work_ms, &step)
}

/// Submits a job of one step, with the given fields. Returns whether it was accepted.
fn submit_step(record: &Record, entry: SocketAddr, id: &str, work_ms: u64, step: &str) -> bool {
    let body =
        format!(r#"{{"spec":"work={work_ms}","steps":[{{"estimate_ms":{work_ms},{step}}}]}}"#);
    request(record, entry, "POST", id, &body).is_some_and(|(status, _)| status == 200)
}

fn state(record: &Record, entry: SocketAddr, id: &str) -> Option<String> {
    let (status, body) = request(record, entry, "GET", id, "")?;
    if status == 410 {
        return Some("unknown".to_owned());
    }
    Json::parse(&body)?.text("state").map(str::to_owned)
}

fn wait_for(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn runs_of(fleet: &Fleet, id: &str) -> Vec<Run> {
    let runs = fleet.runs.lock().unwrap_or_else(|lock| lock.into_inner());
    runs.iter().filter(|run| run.task.starts_with(id)).cloned().collect()
}

/// An entry freezes with requests unread. Clients that get no answer cancel their jobs at the other
/// entry. No task of such a job may start later than `cancel_ms` after that.
fn late_submit(folder: &Path, record: Record, trouble: bool) -> Outcome {
    const CANCEL: Duration = Duration::from_millis(3000);
    const TRAFFIC_PAUSE: u64 = 500;
    const FREEZE: Duration = Duration::from_millis(7000);
    let plan =
        Plan { controls: 3, entries: 2, workers: 3, tolerated_losses: 1, rack: 3, relayed: false };
    let fleet = start(folder, record.clone(), &plan, 16)?;
    let entries = fleet.of(Role::Entry);
    let (frozen, sound) = (fleet.machines[entries[0]].front(), fleet.machines[entries[1]].front());
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0x1000));
    let others: Vec<_> = (0..4)
        .map(|_| {
            let (stop, next, record) = (stop.clone(), next.clone(), record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed));
                    submit(&record, frozen, &id, 50, 1);
                    thread::sleep(Duration::from_millis(TRAFFIC_PAUSE));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        fleet.signal(entries[0], SIGSTOP);
    }
    let begun = Instant::now();
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(200));
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("00000000c0ffee{number:02x}");
                submit(&record, frozen, &id, 15_000, 1);
                let cancelled = loop {
                    let answer = request(&record, sound, "DELETE", &id, "");
                    if answer.is_some_and(|(status, _)| status == 200 || status == 410) {
                        break record.now();
                    }
                    thread::sleep(Duration::from_millis(100));
                };
                (id, cancelled)
            })
        })
        .collect();
    let cancelled: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(FREEZE.saturating_sub(begun.elapsed()));
    if trouble {
        fleet.signal(entries[0], SIGCONT);
    }
    thread::sleep(Duration::from_secs(6));
    for other in others {
        // A client that panicked has sent nothing more.
        let _ = other.join();
    }
    let mut late = Vec::new();
    for (id, at) in &cancelled {
        for run in runs_of(&fleet, id).iter().filter(|run| run.began > *at + CANCEL) {
            let after = (run.began - *at).as_millis();
            late.push(format!("{} run {} started {after} ms after its cancel", run.task, run.run));
            state(&record, sound, id);
        }
    }
    late.iter().for_each(|line| record.note(line));
    Ok((!late.is_empty())
        .then(|| format!("{} of {} jobs: {}", late.len(), cancelled.len(), late[0])))
}

/// Executors whose checkpoints are long. No task may start after a run of it has ended as done, if
/// that end is taken note of.
fn long_checkpoint(folder: &Path, record: Record, trouble: bool) -> Outcome {
    let plan =
        Plan { controls: 3, entries: 1, workers: 3, tolerated_losses: 1, rack: 3, relayed: false };
    let length = if trouble { 6000 } else { 16 };
    let fleet = start(folder, record.clone(), &plan, length)?;
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let id = "00000000c0ffee00";
    if !submit(&record, entry, id, 4000, 3) {
        return Err("the job was not accepted".to_owned());
    }
    // Other jobs have tasks that end before their first checkpoint.
    let mut next = 0x1000;
    let done = wait_for(Duration::from_secs(40), || {
        for _ in 0..3 {
            next += 1;
            submit(&record, entry, &format!("{next:016x}"), 200, 3);
            thread::sleep(Duration::from_millis(300));
        }
        state(&record, entry, id).as_deref() == Some("succeeded")
    });
    let runs = runs_of(&fleet, id);
    let again = runs.iter().find(|run| {
        runs.iter().any(|other| {
            let done = other.ended.is_some_and(|(at, how)| how == "done" && at < run.began);
            other.task == run.task && done && other.noted
        })
    });
    if !done {
        record.note(format!("the job has not ended after {} runs", runs.len()));
    }
    Ok(again
        .map(|run| format!("{} run {} started after a run was done and noted", run.task, run.run)))
}

/// Executors crash one after the other, each soon after it has started a task.
fn crashes(folder: &Path, record: Record, trouble: bool) -> Outcome {
    let plan =
        Plan { controls: 3, entries: 1, workers: 7, tolerated_losses: 1, rack: 3, relayed: false };
    let fleet = start(folder, record.clone(), &plan, 16)?;
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let id = "00000000c0ffee00";
    if !submit(&record, entry, id, 12_000, 1) {
        return Err("the job was not accepted".to_owned());
    }
    let (mut seen, mut crashed) = (0, 0);
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until && crashed < 3 {
        thread::sleep(Duration::from_millis(20));
        let runs = runs_of(&fleet, id);
        if runs.len() > seen {
            seen = runs.len();
            let run = &runs[seen - 1];
            thread::sleep(Duration::from_millis(150));
            if trouble {
                let found =
                    fleet.executors.iter().find(|other| other.identity.id == run.executor).cloned();
                let Some(executor) = found else { return Err("no such executor".to_owned()) };
                executor.crash();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(1000));
                    executor.restart();
                });
            }
            crashed += 1;
        }
    }
    wait_for(Duration::from_secs(20), || {
        let now = state(&record, entry, id);
        now.as_deref() == Some("failed") || now.as_deref() == Some("succeeded")
    });
    let last = state(&record, entry, id);
    let runs = runs_of(&fleet, id);
    let cause = runs.iter().any(|run| run.ended.is_some_and(|(_, how)| how == "failed"));
    Ok((last.as_deref() == Some("failed") && !cause)
        .then(|| format!("the job is shown as failed; none of its {} runs has", runs.len())))
}

/// One executor crashes twice, with a job that only its rack may run. The other executors of the rack
/// are full; the rest of the service is idle. The job has to run again on the executor, which is up
/// and empty.
fn full_trial(folder: &Path, record: Record, trouble: bool) -> Outcome {
    const CALM: Duration = Duration::from_secs(4);
    const FINISH: Duration = Duration::from_secs(14);
    const IDLE: Duration = Duration::from_secs(3);
    let plan =
        Plan { controls: 3, entries: 1, workers: 7, tolerated_losses: 1, rack: 3, relayed: false };
    let fleet = start(folder, record.clone(), &plan, 16)?;
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let (full, id) = ("00000000f0110000", "00000000c0ffee00");
    let label = r#""required_label":"r1-0","mem_mb":256"#;
    let filled = format!(r#""count":2,"cpu":16000,{label}"#);
    if !submit_step(&record, entry, full, 110_000, &filled) {
        return Err("the large job was not accepted".to_owned());
    }
    if !wait_for(Duration::from_secs(5), || runs_of(&fleet, full).len() == 2) {
        return Err("the large job does not run".to_owned());
    }
    let small = format!(r#""count":1,"cpu":2000,"checkpointing":true,{label}"#);
    if !submit_step(&record, entry, id, 60_000, &small) {
        return Err("the job was not accepted".to_owned());
    }
    let handed_in = record.now();
    let working = |fleet: &Fleet| {
        runs_of(fleet, id).into_iter().find(|run| run.ended.is_none()).map(|run| run.executor)
    };
    for _ in 0..2 {
        if !wait_for(Duration::from_secs(10), || working(&fleet).is_some()) {
            return Err("the job does not run".to_owned());
        }
        thread::sleep(Duration::from_secs(6));
        let Some(name) = working(&fleet) else { return Err("the job has stopped".to_owned()) };
        let found = fleet.executors.iter().find(|executor| executor.identity.id == name);
        let Some(executor) = found else { return Err("no such executor".to_owned()) };
        if trouble {
            executor.crash();
            thread::sleep(Duration::from_secs(1));
            executor.restart();
        }
    }
    let calm_from = (record.now() + CALM).max(handed_in + FINISH);
    let mut idle_since = calm_from;
    let mut longest = Duration::ZERO;
    while record.now() < calm_from + Duration::from_secs(30) {
        thread::sleep(Duration::from_millis(20));
        if record.now() < calm_from || working(&fleet).is_some() {
            idle_since = record.now();
        }
        longest = longest.max(record.now().saturating_sub(idle_since));
    }
    state(&record, entry, id);
    record.note(format!("longest time with nothing running, in calm: {longest:?}"));
    Ok((longest > IDLE).then(|| format!("nothing of the job ran for {longest:?}, in calm")))
}

/// Executors of one rack go down and up by turns. A job of tasks that last, one for each executor of the
/// rack, has to run again on all of them once they stay up: they are empty.
fn flapping_rack(folder: &Path, record: Record, trouble: bool) -> Outcome {
    const CALM: Duration = Duration::from_secs(4);
    const IDLE: Duration = Duration::from_secs(3);
    const LAST_RUN: Duration = Duration::from_secs(6);
    const RACK: usize = 7;
    const FLAPPING: usize = 6;
    const TURN: Duration = Duration::from_millis(1400);
    const TURNS: usize = 5;
    let plan = Plan {
        controls: 3,
        entries: 1,
        workers: 57,
        tolerated_losses: 1,
        rack: RACK,
        relayed: false,
    };
    let fleet = start(folder, record.clone(), &plan, 16)?;
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let id = "00000000c0ffee00";
    let step = format!(
        r#""count":{RACK},"cpu":3000,"mem_mb":256,"required_label":"r1-0","max_per_server":1,"long_running":true"#
    );
    if !submit_step(&record, entry, id, 100_000_000, &step) {
        return Err("the job was not accepted".to_owned());
    }
    let working = || runs_of(&fleet, id).iter().filter(|run| run.ended.is_none()).count();
    if !wait_for(Duration::from_secs(15), || working() == RACK) {
        return Err("the job does not run".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let flapping = &fleet.executors[..FLAPPING];
    for _ in 0..if trouble { TURNS } else { 0 } {
        flapping.iter().for_each(|executor| executor.crash());
        thread::sleep(TURN / 2);
        flapping.iter().for_each(|executor| executor.restart());
        thread::sleep(TURN / 2);
    }
    let calm_from = record.now() + CALM;
    let mut idle_since = [calm_from; RACK];
    let mut longest = Duration::ZERO;
    while record.now() < calm_from + Duration::from_secs(25) {
        thread::sleep(Duration::from_millis(20));
        let (now, runs) = (record.now(), runs_of(&fleet, id));
        for (index, since) in idle_since.iter_mut().enumerate() {
            let task = format!("{id}.0.0.{index}");
            let own = runs.iter().filter(|run| run.task == task);
            let last = own.map(|run| run.ended.map_or(now, |(at, _)| at)).max().unwrap_or(now);
            *since = (*since).max(last + LAST_RUN);
            longest = longest.max(now.saturating_sub(*since));
        }
    }
    record.note(format!("longest time in which a task did not run, in calm: {longest:?}"));
    Ok((longest > IDLE).then(|| format!("a task that lasts did not run for {longest:?}, in calm")))
}

/// Clients hand in jobs that run every hour for ninety days. The platform kills a process that uses more
/// than the memory of its machine. Every accepted job has to be known afterwards.
fn many_occurrences(folder: &Path, record: Record, trouble: bool) -> Outcome {
    const MEMORY_MB: u64 = 256;
    const JOBS: u64 = 120;
    const PAUSE: Duration = Duration::from_millis(250);
    const FINISH: Duration = Duration::from_secs(14);
    const RESTART: Duration = Duration::from_millis(500);
    /// How long each job is asked for, at both entries by turns.
    const ASKING: Duration = Duration::from_secs(12);
    let plan =
        Plan { controls: 3, entries: 2, workers: 3, tolerated_losses: 1, rack: 3, relayed: false };
    let mut fleet = start(folder, record.clone(), &plan, 16)?;
    let entries = fleet.of(Role::Entry);
    let entries: Vec<SocketAddr> = entries.iter().map(|at| fleet.machines[*at].front()).collect();
    let occurrences = if trouble { 24 * 90 } else { 24 };
    let first_ms = unix_ms() + 24 * 3_600_000;
    let clients = {
        let record = record.clone();
        thread::spawn(move || {
            let mut accepted = Vec::new();
            for number in 0..JOBS {
                let id = format!("00000000c0ff{number:04x}");
                let body = format!(
                    r#"{{"spec":"work=900","steps":[{{"count":8,"cpu":500,"mem_mb":256,"estimate_ms":900}}],"run_count":{occurrences},"start_at_ms":{first_ms},"interval_ms":3600000}}"#
                );
                let entry = entries[number as usize % entries.len()];
                let answer = request(&record, entry, "POST", &id, &body);
                if answer.is_some_and(|(status, _)| status == 200) {
                    accepted.push(id);
                }
                thread::sleep(PAUSE);
            }
            thread::sleep(FINISH);
            let asked: Vec<_> = accepted
                .iter()
                .enumerate()
                .map(|(number, id)| {
                    let (record, id) = (record.clone(), id.clone());
                    let entry = entries[number % entries.len()];
                    let next = entries[(number + 1) % entries.len()];
                    thread::spawn(move || {
                        let known = || state(&record, entry, &id).is_some_and(|is| is != "unknown");
                        let other = || state(&record, next, &id).is_some_and(|is| is != "unknown");
                        wait_for(ASKING, || known() || other())
                    })
                })
                .collect();
            let answers = asked.into_iter().filter_map(|asked| asked.join().ok());
            let unknown = answers.filter(|answered| !answered);
            (accepted.len(), unknown.count())
        })
    };
    let controls = fleet.of(Role::Control);
    let mut kills = 0;
    let mut restarts: Vec<(Instant, usize)> = Vec::new();
    while !clients.is_finished() {
        thread::sleep(Duration::from_millis(10));
        for at in &controls {
            let used = fleet.memory_mb(*at).unwrap_or(0);
            if used > MEMORY_MB {
                record.note(format!("{} uses {used} MB", fleet.machines[*at].name));
                fleet.stop(*at);
                kills += 1;
                restarts.push((Instant::now() + RESTART, *at));
            }
        }
        let (due, later) = restarts.into_iter().partition(|(at, _)| *at <= Instant::now());
        restarts = later;
        let due: Vec<(Instant, usize)> = due;
        for (_, at) in due {
            fleet.launch(at, false).map_err(|error| error.to_string())?;
        }
    }
    let (accepted, unknown) = clients.join().map_err(|_| "a client failed".to_owned())?;
    record.note(format!("{accepted} jobs accepted, {unknown} without an answer; {kills} kills"));
    Ok((unknown > 0).then(|| {
        format!("{unknown} of {accepted} accepted jobs have no answer; {kills} kills for memory")
    }))
}

/// A control process comes back with an empty disk and joins the group while it is split into halves.
/// Later, when all is joined and calm, two machines lose their disks, which the group has to bear.
fn unknown_member(folder: &Path, record: Record, trouble: bool) -> Outcome {
    const RECOVERY: Duration = Duration::from_secs(15);
    const DOWN: Duration = Duration::from_millis(1000);
    const CUT: Duration = Duration::from_millis(5000);
    let plan =
        Plan { controls: 5, entries: 1, workers: 3, tolerated_losses: 2, rack: 3, relayed: true };
    let mut fleet = start(folder, record.clone(), &plan, 16)?;
    let failed = |error: std::io::Error| error.to_string();
    let entry = fleet.machines[fleet.of(Role::Entry)[0]].front();
    let id = "00000000c0ffee00";
    thread::sleep(Duration::from_secs(3));
    let Some(leader) = fleet.leader() else { return Err("no leader".to_owned()) };
    let others: Vec<usize> =
        fleet.of(Role::Control).into_iter().filter(|at| *at != leader).collect();
    let (joining, rest) = (others[3], &others[..3]);
    record.note(format!("{} leads", fleet.machines[leader].name));
    fleet.stop(joining);
    fleet.lose_disk(joining);
    thread::sleep(DOWN);
    fleet.launch(joining, false).map_err(failed)?;
    let links = fleet.links.clone().filter(|_| trouble);
    if let Some(links) = links {
        thread::sleep(Duration::from_millis(170));
        let side = [leader, joining];
        record.note(format!(
            "{} and {} are cut off",
            fleet.machines[leader].name, fleet.machines[joining].name
        ));
        links.cut(&side);
        thread::sleep(CUT);
        links.heal();
        record.note("the cut has healed");
    }
    if !wait_for(Duration::from_secs(15), || submit(&record, entry, id, 100, 1)) {
        return Err("no job is accepted after the recovery".to_owned());
    }
    let known = |record: &Record| state(record, entry, id).as_deref() == Some("succeeded");
    if !wait_for(Duration::from_secs(5), || known(&record)) {
        return Err("the job is not served after the recovery".to_owned());
    }
    thread::sleep(RECOVERY);
    note_readers(&fleet);
    let lost: Vec<usize> = rest[..2].to_vec();
    for at in &lost {
        fleet.stop(*at);
        fleet.lose_disk(*at);
    }
    thread::sleep(DOWN);
    for at in &lost {
        fleet.launch(*at, false).map_err(failed)?;
    }
    thread::sleep(RECOVERY);
    let begun = record.now();
    let answered = wait_for(RECOVERY, || known(&record));
    let took = record.now() - begun;
    note_readers(&fleet);
    Ok((!answered).then(|| {
        format!("an accepted job has had no answer for {took:?}, after two of five disks were lost")
    }))
}

/// Notes how each control process answers a read of the configuration.
fn note_readers(fleet: &Fleet) {
    for at in fleet.of(Role::Control) {
        let status = fleet.ask(at).map_or("no answer".to_owned(), |status| status.to_string());
        fleet.record.note(format!("GET /config at {}: {status}", fleet.machines[at].name));
    }
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
