//! The cases: what happens, and the check of the rule. Each returns what broke the rule, if anything
//! did.

use crate::{
    deployment::{Deployment, Size},
    executor::{Executor, Noted},
    Record,
};
use std::{
    thread,
    time::{Duration, Instant},
};

type Outcome = Result<Option<String>, String>;

pub fn play(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "silent-peers" => silent_peers(trouble, record),
        "lasting-pause" => lasting_pause(trouble, record),
        "odd-heartbeat" => odd_heartbeat(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}

const SEC: Duration = Duration::from_secs(1);

fn steps(count: u32, work_ms: u64) -> String {
    format!("[{{\"count\":{count},\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":{work_ms}}}]")
}

/// Returns what the executors have noted of a job, in the order of time.
fn noted_of(executors: &[Executor], id: &str) -> Vec<Noted> {
    let noted = executors.iter().flat_map(Executor::noted);
    let mut noted: Vec<Noted> = noted.filter(|noted| noted.task.starts_with(id)).collect();
    noted.sort_by_key(|noted| noted.ms);
    noted
}

fn is_running(executors: &[Executor], id: &str) -> bool {
    executors.iter().any(|executor| executor.running().iter().any(|(task, _)| task.starts_with(id)))
}

/// Waits until a task of a job starts after the first `known` starts, and returns its executor.
fn await_start(executors: &[Executor], id: &str, known: usize, limit: Duration) -> Option<usize> {
    let started = Instant::now();
    while started.elapsed() < limit {
        let noted = noted_of(executors, id);
        let mut starts = noted.iter().filter(|noted| noted.what == "start");
        if let Some(start) = starts.nth(known) {
            return Some(start.executor);
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

/// All open connections between the machines go silent once. Afterwards accepted jobs are asked for,
/// and the operator sends a configuration.
fn silent_peers(trouble: bool, record: &Record) -> Outcome {
    let size = Size { entries: 2, agents: 4, relays: true };
    let deployment = Deployment::start(&size, record)?;
    deployment.settle()?;
    let jobs: Vec<String> = (0..4).map(|job| format!("00000000000000b{job}")).collect();
    for id in &jobs {
        if !deployment.submit(id, "works 4000", &steps(2, 4000), 10 * SEC) {
            return Err("a job is not accepted before the disruption".to_owned());
        }
    }
    for _ in 0..if trouble { 2 } else { 0 } {
        let silent: u64 = deployment.relays.iter().map(|relay| relay.silence()).sum();
        record.line(format!("{silent} open connections between machines go silent; new ones work"));
        thread::sleep(10 * SEC);
    }
    // The silence counts as a reset of all connections, after which calm machines are in touch in
    // 3 s. The operator's acknowledgement has 4 s more, and the jobs 14 s from the end of traffic.
    thread::sleep(4 * SEC);
    let acknowledged = deployment.configure(2, 30 * SEC);
    record.line(format!("the configuration is acknowledged after {acknowledged:?}"));
    let mut unanswered = Vec::new();
    for id in &jobs {
        let answers = (0..4).filter_map(|turn| deployment.state(turn, id));
        let states: Vec<String> = answers.collect();
        if states.is_empty() {
            unanswered.push(id.clone());
        }
    }
    let late = acknowledged.is_none_or(|took| took > 4 * SEC);
    if !unanswered.is_empty() {
        let after = record.ms();
        return Ok(Some(format!(
            "LOST: {} of {} accepted jobs get no answer when asked 44 s and more after the last silence \
             (at {after} ms); configuration acknowledged in time: {}",
            unanswered.len(),
            jobs.len(),
            !late
        )));
    }
    Ok(None)
}

/// An executor crashes half a second after it has begun the one task of a job that lasts, up to seven
/// times. Then everything is calm.
fn lasting_pause(trouble: bool, record: &Record) -> Outcome {
    let size = Size { entries: 2, agents: 8, relays: false };
    let deployment = Deployment::start(&size, record)?;
    deployment.settle()?;
    let id = "00000000000000d1";
    let steps =
        "[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":400,\"long_running\":true}]";
    if !deployment.submit(id, "lasts", steps, 10 * SEC) {
        return Err("the job is not accepted".to_owned());
    }
    let crashes = 7;
    for crash in 0..if trouble { crashes } else { 0 } {
        let left = Duration::from_millis(80_000_u64.saturating_sub(record.ms()));
        let Some(executor) = await_start(&deployment.executors, id, crash, left) else { break };
        thread::sleep(Duration::from_millis(500));
        deployment.executors[executor].crash(Duration::from_millis(1500));
    }
    if !trouble {
        thread::sleep(5 * SEC);
    }
    // From 6 s after the last run, for 3 s, with the 4 s before them calm: the executor is back after
    // 1.5 s, and 3 s (`contact_ms`) and 4 s more are over after 10 s.
    thread::sleep(10 * SEC);
    let from = record.ms();
    let watched = Instant::now();
    let mut waited = Duration::ZERO;
    while watched.elapsed() < 12 * SEC {
        if is_running(&deployment.executors, id) {
            break;
        }
        waited = watched.elapsed();
        thread::sleep(Duration::from_millis(20));
    }
    record.line(format!("nothing of the job runs for {waited:?} from {from} ms on"));
    let state = deployment.state(0, id);
    let broken = waited >= 3 * SEC;
    Ok(broken.then(|| {
        format!(
            "LOST: from 10 s after its last run, the task that lasts has no run for {:.1} s more; all 8 \
             executors are up and idle, and the job is shown as {state:?}",
            waited.as_secs_f64()
        )
    }))
}

/// Each agent gets one heartbeat of another writer, under the id of its executor, with a service that
/// no configuration names.
fn odd_heartbeat(trouble: bool, record: &Record) -> Outcome {
    let size = Size { entries: 2, agents: 4, relays: false };
    let deployment = Deployment::start(&size, record)?;
    deployment.settle()?;
    if trouble {
        for executor in &deployment.executors {
            executor.odd_beat("svc-unknown", 1_000_000);
        }
    }
    thread::sleep(5 * SEC);
    let id = "00000000000000e1";
    if !deployment.submit(id, "works 500", &steps(4, 500), 10 * SEC) {
        return Err("the job is not accepted".to_owned());
    }
    // The traffic has ended. The rule counts 3 s on end without a run from 14 s (`finish_s`) after that,
    // as long as the job is not done.
    thread::sleep(14 * SEC);
    let mut idle_since = Instant::now();
    let watched = Instant::now();
    let mut turn = 0;
    while watched.elapsed() < 12 * SEC {
        let state = deployment.state(turn, id);
        turn += 1;
        if state.as_deref() == Some("succeeded") {
            return Ok(None);
        }
        if is_running(&deployment.executors, id) {
            idle_since = Instant::now();
        }
        if idle_since.elapsed() >= 3 * SEC {
            let starts =
                noted_of(&deployment.executors, id).iter().filter(|n| n.what == "start").count();
            return Ok(Some(format!(
                "LOST: 14 s after the end of the traffic the job has nothing running for 3 s, and has had \
                 {starts} starts; it is shown as {state:?}, and 4 executors are idle"
            )));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(None)
}
