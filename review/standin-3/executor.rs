//! A stand-in for an executor, as the section "Running tasks" of the platform's protocol has it.
//!
//! A task works for as many milliseconds as its `spec` says after `work=`. The stand-in keeps no
//! account of capacity: a service of such executors has `rejects_overload` false.

use {
    crate::{
        http::{self, Call, Reply, Request},
        json::{quoted, Json},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const HEARTBEAT: Duration = Duration::from_millis(1100);
const MAX_HOLD_MS: u64 = 6000;
/// The time between two checkpoints.
const CHECKPOINT: Duration = Duration::from_millis(500);

/// Work of this length lasts until it is stopped.
const LASTING: Duration = Duration::from_secs(100_000);
/// The time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(400);

/// What an executor is, in all its lives.
#[derive(Debug, Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    /// Where the executor accepts calls.
    pub app: SocketAddr,
    /// The `control` address on the executor's machine.
    pub agent: SocketAddr,
    pub cpu: u64,
    /// The length of its checkpoints, in characters.
    pub checkpoint_length: usize,
}

/// One start of a task, as an executor or its server has seen it.
#[derive(Debug, Clone)]
pub struct Run {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub began: Duration,
    /// When and how the run ended.
    pub ended: Option<(Duration, &'static str)>,
    /// Whether `ack_cursor` has reached the end.
    pub noted: bool,
}

/// All starts of a case, on all executors.
pub type RunLog = Arc<Mutex<Vec<Run>>>;

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
    entry: usize,
}

struct Work {
    task: String,
    run: u64,
    began: Instant,
    length: Duration,
    entry: usize,
}

struct Life {
    born_ms: u64,
    began: Instant,
    fence: u64,
    deadline_ms: u64,
    running: Vec<Work>,
    finished: Vec<End>,
    last_end: u64,
    closed: BTreeMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn new(born_ms: u64) -> Self {
        Self {
            born_ms,
            began: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// An executor, which can crash and start again.
#[derive(Clone)]
pub struct Executor {
    pub identity: Identity,
    record: Record,
    runs: RunLog,
    /// `None` while the executor is down.
    life: Arc<(Mutex<Option<Life>>, Condvar)>,
}

impl Executor {
    /// Starts an executor with its server, its heartbeats and its work.
    pub fn start(identity: Identity, record: Record, runs: RunLog) -> std::io::Result<Self> {
        let life = Arc::new((Mutex::new(Some(Life::new(unix_ms()))), Condvar::new()));
        let executor = Self { identity, record, runs, life };
        let server = executor.clone();
        http::serve(executor.identity.app, move |request| server.answer(request))?;
        let sender = executor.clone();
        thread::spawn(move || loop {
            sender.send_heartbeat();
            thread::sleep(HEARTBEAT);
        });
        let worker = executor.clone();
        thread::spawn(move || loop {
            worker.work();
            thread::sleep(Duration::from_millis(5));
        });
        Ok(executor)
    }

    /// Ends the present life, with all that runs.
    pub fn crash(&self) {
        let mut life = self.lock();
        let Some(ended) = life.take() else { return };
        self.record.note(format!(
            "executor {} crashes with {} runs",
            self.identity.id,
            ended.running.len()
        ));
        for work in &ended.running {
            self.note_end(work.entry, "crashed");
        }
        self.life.1.notify_all();
    }

    /// Begins the next life, under the same id.
    pub fn restart(&self) {
        let mut life = self.lock();
        if life.is_none() {
            *life = Some(Life::new(unix_ms()));
            drop(life);
            self.record.note(format!("executor {} is up again", self.identity.id));
            self.send_heartbeat();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.0.lock().unwrap_or_else(|lock| lock.into_inner())
    }

    fn note_end(&self, entry: usize, how: &'static str) {
        let mut runs = self.runs.lock().unwrap_or_else(|lock| lock.into_inner());
        let at = self.record.now();
        let run = &mut runs[entry];
        run.ended = Some((at, how));
        self.record.note(format!("{}: {} run {} ends {how}", run.executor, run.task, run.run));
    }

    fn forget_ends(&self, life: &mut Life, cursor: u64) {
        let mut runs = self.runs.lock().unwrap_or_else(|lock| lock.into_inner());
        for end in life.finished.iter().filter(|end| end.number <= cursor) {
            runs[end.entry].noted = true;
        }
        life.finished.retain(|end| end.number > cursor);
    }

    fn checkpoint(&self, work: &Work) -> String {
        let saved = work.began.elapsed().as_millis() / CHECKPOINT.as_millis();
        if saved == 0 {
            return String::new();
        }
        let head = format!("{:08x}", saved);
        let fill = self.identity.checkpoint_length.saturating_sub(head.len());
        head + &"0".repeat(fill)
    }

    /// Ends the runs whose work is done, and all of them once the lease has expired.
    fn work(&self) {
        let mut guard = self.lock();
        let Some(life) = guard.as_mut() else { return };
        let lapsed = life.clock_ms() > life.deadline_ms;
        let over = |work: &Work| lapsed || work.began.elapsed() >= work.length;
        let (ended, running) = std::mem::take(&mut life.running).into_iter().partition(over);
        life.running = running;
        let ended: Vec<Work> = ended;
        for work in ended {
            let how = if work.began.elapsed() >= work.length { "done" } else { "lapsed" };
            self.finish(life, &work, how);
        }
    }

    fn finish(&self, life: &mut Life, work: &Work, how: &'static str) {
        let saved = self.checkpoint(work);
        life.last_end += 1;
        let (number, task, run, entry) = (life.last_end, work.task.clone(), work.run, work.entry);
        life.finished.push(End { number, task, run, how, saved, entry });
        let closed = life.closed.entry(work.task.clone()).or_default();
        *closed = (*closed).max(work.run);
        self.note_end(work.entry, how);
        self.life.1.notify_all();
    }

    fn send_heartbeat(&self) {
        let Identity { id, service, zone, rack, app, agent, cpu, .. } = &self.identity;
        let body = {
            let mut guard = self.lock();
            let Some(life) = guard.as_mut() else { return };
            life.sequence += 1;
            format!(
                r#"{{"service":{},"address":"{app}","zone":{},"version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":64000,"gpu":0}},"labels":["a",{}],"current_time_ms":{},"seq":{},"born":{}}}"#,
                quoted(service),
                quoted(zone),
                quoted(rack),
                life.clock_ms(),
                life.sequence,
                life.born_ms
            )
        };
        let path = format!("/instances/{id}");
        let call = Call {
            method: "PUT",
            path: &path,
            host: "agent",
            body: &body,
            patience: Duration::from_secs(1),
        };
        // Without an acknowledgement, the next heartbeat follows.
        let _ = http::call(*agent, &call);
    }

    fn answer(&self, request: &Request) -> Reply {
        let other = request.header("x-expect-instance").is_some_and(|id| id != self.identity.id);
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut guard = self.lock();
        let life = guard.as_mut()?;
        if other {
            return Some(self.reply(life, 421, ""));
        }
        if request.method == "GET" {
            return Some(self.reply(life, 200, ""));
        }
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < life.fence {
            return Some(self.reply(life, 409, r#","reason":"fence""#));
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => Some(self.start_run(life, &body)),
            "/run-stop" => Some(self.stop_run(life, &body)),
            "/pace" => Some(self.reply(life, 200, "")),
            "/hold" => {
                let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2000));
                let born_ms = life.born_ms;
                self.extend_lease(life, &body);
                let cursor = body.number("ack_cursor").unwrap_or(0);
                self.forget_ends(life, cursor);
                let until = Instant::now() + wait;
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let waits = guard.as_ref().is_some_and(|life| life.finished.is_empty());
                    if left.is_zero() || !waits {
                        break;
                    }
                    let (next, _) = self.life.1.wait_timeout(guard, left).ok()?;
                    guard = next;
                }
                let life = guard.as_ref().filter(|life| life.born_ms == born_ms)?;
                Some(self.lists(life))
            }
            _ => Some(self.reply(life, 400, "")),
        }
    }

    fn reply(&self, life: &Life, status: u16, more: &str) -> (u16, String) {
        let (clock_ms, born_ms) = (life.clock_ms(), life.born_ms);
        (status, format!(r#"{{"current_time_ms":{clock_ms},"born":{born_ms}{more}}}"#))
    }

    fn extend_lease(&self, life: &mut Life, body: &Json) {
        if let Some(deadline_ms) = body.number("deadline_ms") {
            let most = life.clock_ms() + MAX_HOLD_MS;
            life.deadline_ms = life.deadline_ms.max(deadline_ms.min(most));
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (Some(task), Some(run), Some(spec)) =
            (body.text("task"), body.number("run"), body.text("spec"))
        else {
            return self.reply(life, 400, "");
        };
        if body.number("deadline_ms").is_none_or(|deadline_ms| deadline_ms <= life.clock_ms()) {
            return self.reply(life, 409, r#","reason":"late""#);
        }
        self.extend_lease(life, body);
        if life.running.iter().any(|work| work.task == task && work.run == run) {
            return self.reply(life, 200, "");
        }
        let known = life.running.iter().any(|work| work.task == task);
        if known || life.closed.get(task).is_some_and(|closed| *closed >= run) {
            return self.reply(life, 409, r#","reason":"old""#);
        }
        let length = spec.split("work=").nth(1).and_then(|text| text.split(' ').next());
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(1000);
        let length = Duration::from_millis(length);
        let entry = {
            let mut runs = self.runs.lock().unwrap_or_else(|lock| lock.into_inner());
            runs.push(Run {
                executor: self.identity.id.clone(),
                task: task.to_owned(),
                run,
                began: self.record.now(),
                ended: None,
                noted: false,
            });
            runs.len() - 1
        };
        self.record.note(format!("{}: {task} run {run} starts", self.identity.id));
        let (task, began) = (task.to_owned(), Instant::now());
        life.running.push(Work { task, run, began, length, entry });
        self.reply(life, 200, "")
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return self.reply(life, 400, "");
        };
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(run);
        let found = life.running.iter().position(|work| work.task == task && work.run == run);
        if let Some(position) = found {
            let work = life.running.remove(position);
            self.finish(life, &work, "stopped");
        }
        self.reply(life, 200, "")
    }

    fn lists(&self, life: &Life) -> (u16, String) {
        let running: Vec<String> = life
            .running
            .iter()
            .map(|work| {
                let percent = percent_of(work);
                let saved = quoted(&self.checkpoint(work));
                format!("[{},{},{saved},{percent},500]", quoted(&work.task), work.run)
            })
            .collect();
        let finished: Vec<String> = life
            .finished
            .iter()
            .take(500)
            .map(|End { number, task, run, how, saved, .. }| {
                format!("[{number},{},{run},\"{how}\",{}]", quoted(task), quoted(saved))
            })
            .collect();
        let (running, finished) = (running.join(","), finished.join(","));
        self.reply(life, 200, &format!(r#","running":[{running}],"finished":[{finished}]"#))
    }
}

/// Returns the progress of a run; of one that lasts, 100 once it is at work.
fn percent_of(work: &Work) -> u64 {
    let elapsed = work.began.elapsed();
    if work.length >= LASTING {
        return if elapsed >= STARTUP { 100 } else { 0 };
    }
    (elapsed.as_secs_f64() / work.length.as_secs_f64() * 100.0).min(99.0) as u64
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
