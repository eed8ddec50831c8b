//! A stand-in executor. It keeps the rules of the platform for runs, ends, leases and fences, and
//! guards its capacity.
//!
//! The text of a job says how long its tasks work: `work MILLISECONDS`, or `lasts`.

use {
    crate::{
        http::{self, Request},
        json::Json,
        record::Record,
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const TICK: Duration = Duration::from_millis(10);
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1100);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);
/// `max_hold_ms` of the small deployment.
const MAX_HOLD_MS: u64 = 6000;
const STARTUP: Duration = Duration::from_millis(200);

struct Run {
    run: u32,
    since: Instant,
    work: Option<Duration>,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

struct State {
    born: u64,
    origin: Instant,
    sequence: u64,
    deadline_ms: u64,
    fence: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    past: BTreeMap<String, u32>,
    draining: bool,
}

impl State {
    /// Begins an incarnation on a machine whose time of day is `clock_back_ms` behind.
    fn new(clock_back_ms: u64) -> Self {
        let (runs, ends, past) = Default::default();
        let (sequence, deadline_ms, fence, last_end, draining) = Default::default();
        let (born, origin) = (unix_ms() - clock_back_ms, Instant::now());
        Self { born, origin, sequence, deadline_ms, fence, runs, ends, last_end, past, draining }
    }

    fn clock_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64 + 1000
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

#[derive(Clone)]
pub struct Executor {
    pub id: String,
    pub zone: &'static str,
    pub rack: String,
    pub address: SocketAddr,
    pub agent: SocketAddr,
    /// How many tasks of one core fit.
    slots: usize,
    state: Arc<Mutex<State>>,
    up: Arc<AtomicBool>,
    late: Arc<LateOrders>,
    /// How far the time of day of the executor's machine is behind, in milliseconds.
    pub clock_back_ms: Arc<AtomicU64>,
    record: Arc<Record>,
}

/// Which orders to start a run get no answer and are carried out late: of those that arrive while
/// it is on, every second one, from the first.
#[derive(Debug, Default)]
pub struct LateOrders {
    /// How late, in milliseconds; 0 while it is off.
    pub delay_ms: AtomicU64,
    arrived: AtomicU64,
    /// The executors that have such an order.
    pub on: Mutex<Vec<String>>,
}

impl LateOrders {
    fn delay(&self, executor: &str) -> Option<Duration> {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        let chosen = delay_ms > 0 && self.arrived.fetch_add(1, Ordering::SeqCst) % 2 == 0;
        if chosen {
            self.on.lock().expect("no holder panics").push(executor.to_owned());
        }
        chosen.then(|| Duration::from_millis(delay_ms))
    }
}

pub const SERVICE: &str = "booking-desk";

#[allow(dead_code)]
impl Executor {
    pub fn start(
        id: &str,
        (zone, rack): (&'static str, &str),
        address: SocketAddr,
        agent: SocketAddr,
        slots: usize,
        (late, record): (Arc<LateOrders>, Arc<Record>),
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let executor = Self {
            id: id.to_owned(),
            zone,
            rack: rack.to_owned(),
            address,
            agent,
            slots,
            state: Arc::new(Mutex::new(State::new(0))),
            up: Arc::new(AtomicBool::new(true)),
            late,
            clock_back_ms: Arc::default(),
            record,
        };
        let serving = executor.clone();
        http::serve(listener, move |request| serving.answer(request));
        let working = executor.clone();
        thread::spawn(move || loop {
            working.work();
            thread::sleep(TICK);
        });
        let beating = executor.clone();
        thread::spawn(move || loop {
            beating.send_heartbeat();
            thread::sleep(HEARTBEAT_INTERVAL);
        });
        Ok(executor)
    }

    fn with<T>(&self, body: impl FnOnce(&mut State) -> T) -> T {
        body(&mut self.state.lock().expect("no holder panics"))
    }

    pub fn set_draining(&self) {
        self.with(|state| state.draining = true);
    }

    /// Ends every run. Until `start_again` the executor answers nothing.
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.with(|state| {
            for (task, run) in std::mem::take(&mut state.runs) {
                self.record.run_ended(&task, run.run, &self.id, "lost with its executor");
            }
        });
        self.record.note(format!("executor {}: crashed", self.id));
    }

    /// Begins a new incarnation under the same id.
    pub fn start_again(&self) {
        let clock_back_ms = self.clock_back_ms.load(Ordering::SeqCst);
        self.with(|state| *state = State::new(clock_back_ms));
        self.up.store(true, Ordering::SeqCst);
        let born = self.with(|state| state.born);
        self.record.note(format!("executor {}: up again, born {born}", self.id));
        self.send_heartbeat();
    }

    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else { return };
        state.last_end += 1;
        let past = state.past.entry(task.to_owned()).or_default();
        *past = (*past).max(run.run);
        let (number, task) = (state.last_end, task.to_owned());
        self.record.run_ended(&task, run.run, &self.id, how);
        state.ends.push(End { number, task, run: run.run, how });
    }

    fn work(&self) {
        if !self.is_up() {
            return;
        }
        self.with(|state| {
            let lapsed = state.clock_ms() >= state.deadline_ms;
            let tasks: Vec<String> = state.runs.keys().cloned().collect();
            for task in tasks {
                let run = &state.runs[&task];
                let done = run.work.is_some_and(|work| run.since.elapsed() >= work);
                if lapsed {
                    self.end(state, &task, "lapsed");
                } else if done {
                    self.end(state, &task, "done");
                }
            }
        });
    }

    fn send_heartbeat(&self) {
        if !self.is_up() {
            return;
        }
        let body = self.with(|state| {
            state.sequence += 1;
            let word = if state.draining { "draining" } else { "ready" };
            let left = if state.draining { "\"drain_remaining_ms\":2000," } else { "" };
            format!(
                "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"{word}\",{left}\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":64000,\"gpu\":0}},\"labels\":[\"a\",\"{}\"],\"current_time_ms\":{},\
                 \"seq\":{},\"born\":{}}}",
                self.address,
                self.zone,
                self.slots * 1000,
                self.rack,
                state.clock_ms(),
                state.sequence,
                state.born,
            )
        });
        let path = format!("/instances/{}", self.id);
        // The agent may be down; the next heartbeat follows soon.
        let _ = http::call(self.agent, ("PUT", &path), &[], body.as_bytes(), HEARTBEAT_TIMEOUT);
    }

    fn answer(&self, request: Request) -> Option<(u16, String)> {
        if !self.is_up() {
            return None;
        }
        let call = Json::parse(&request.body).unwrap_or(Json::Null);
        if request.header("X-Expect-Instance").is_some_and(|expected| expected != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => (200, "{}".to_owned()),
            ("POST", "/hold") => self.hold(&call),
            ("POST", "/run-start") => match self.late.delay(&self.id) {
                Some(delay) => return self.start_late(call, delay),
                None => self.start_run(&call),
            },
            ("POST", "/run-stop") => self.stop_run(&call),
            ("POST", "/pace") => (200, self.time()),
            _ => (404, "{}".to_owned()),
        };
        self.is_up().then_some(answer)
    }

    fn time(&self) -> String {
        self.with(|state| format!("{{\"current_time_ms\":{}}}", state.clock_ms()))
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        let clock_ms = self.with(|state| state.clock_ms());
        (409, format!("{{\"current_time_ms\":{clock_ms},\"reason\":\"{reason}\"}}"))
    }

    /// Returns whether an order carries a lower fence than the executor has seen.
    fn is_fenced(state: &mut State, call: &Json) -> bool {
        let fence = call.get("fencing_token").number().unwrap_or(0);
        let fenced = fence < state.fence;
        state.fence = state.fence.max(fence);
        fenced
    }

    fn extend(state: &mut State, call: &Json) {
        let asked = call.get("deadline_ms").number().unwrap_or(0);
        let asked = asked.min(state.clock_ms() + MAX_HOLD_MS);
        state.deadline_ms = state.deadline_ms.max(asked);
    }

    fn hold(&self, call: &Json) -> (u16, String) {
        let fenced = self.with(|state| {
            if Self::is_fenced(state, call) {
                return true;
            }
            Self::extend(state, call);
            let noted = call.get("ack_cursor").number().unwrap_or(0);
            state.ends.retain(|end| end.number > noted);
            false
        });
        if fenced {
            return self.refuse("fence");
        }
        let wait = Duration::from_millis(call.get("wait_ms").number().unwrap_or(0).min(2000));
        let asked = Instant::now();
        while asked.elapsed() < wait && self.with(|state| state.ends.is_empty()) && self.is_up() {
            thread::sleep(TICK);
        }
        (200, self.with(|state| self.lists(state)))
    }

    fn lists(&self, state: &State) -> String {
        let running = state.runs.iter().map(|(task, run)| {
            let age = run.since.elapsed();
            let percent = match run.work {
                Some(work) => (100.0 * age.as_secs_f64() / work.as_secs_f64()).min(99.0) as u64,
                None if age >= STARTUP => 100,
                None => 0,
            };
            format!("[\"{task}\",{},\"\",{percent},900]", run.run)
        });
        let running: Vec<String> = running.collect();
        let finished = state.ends.iter().map(|end| {
            format!("[{},\"{}\",{},\"{}\",\"\"]", end.number, end.task, end.run, end.how)
        });
        let finished: Vec<String> = finished.collect();
        format!(
            "{{\"current_time_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            state.clock_ms(),
            state.born,
            running.join(","),
            finished.join(","),
        )
    }

    fn start_run(&self, call: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (call.get("task").text(), call.get("run").number()) else {
            return (400, "{}".to_owned());
        };
        let run = run as u32;
        let spec = call.get("spec").text().unwrap_or("");
        let refusal = self.with(|state| {
            if Self::is_fenced(state, call) {
                return Some("fence");
            }
            if state.runs.get(task).is_some_and(|at_work| at_work.run == run) {
                return None;
            }
            let is_old = state.past.get(task).is_some_and(|past| run <= *past)
                || state.runs.get(task).is_some_and(|at_work| run <= at_work.run);
            if is_old {
                Self::extend(state, call);
                return Some("old");
            }
            if call.get("deadline_ms").number().unwrap_or(0) <= state.clock_ms() {
                return Some("late");
            }
            Self::extend(state, call);
            if state.runs.len() >= self.slots {
                return Some("room");
            }
            let work = spec.strip_prefix("work ").and_then(|work| work.parse().ok());
            let work = work.map(Duration::from_millis);
            state.runs.insert(task.to_owned(), Run { run, since: Instant::now(), work });
            self.record.run_started(task, run, &self.id);
            None
        });
        match refusal {
            Some(reason) => self.refuse(reason),
            None => (200, self.time()),
        }
    }

    /// Leaves an order without an answer and carries it out later, unless the executor has ended.
    fn start_late(&self, call: Json, delay: Duration) -> Option<(u16, String)> {
        let (executor, born) = (self.clone(), self.with(|state| state.born));
        let name = call.get("task").text().unwrap_or("").to_owned();
        self.record.note(format!("executor {}: leaves the start of {name} unanswered", self.id));
        thread::spawn(move || {
            thread::sleep(delay);
            if executor.is_up() && executor.with(|state| state.born) == born {
                let (status, _) = executor.start_run(&call);
                let text = format!("carries out the start of {name} late: {status}");
                executor.record.note(format!("executor {}: {text}", executor.id));
            }
        });
        thread::sleep(delay);
        None
    }

    fn stop_run(&self, call: &Json) -> (u16, String) {
        let (Some(task), Some(run)) = (call.get("task").text(), call.get("run").number()) else {
            return (400, "{}".to_owned());
        };
        let run = run as u32;
        let fenced = self.with(|state| {
            if Self::is_fenced(state, call) {
                return true;
            }
            if state.runs.get(task).is_some_and(|at_work| at_work.run == run) {
                self.end(state, task, "stopped");
            }
            let past = state.past.entry(task.to_owned()).or_default();
            *past = (*past).max(run);
            false
        });
        if fenced {
            return self.refuse("fence");
        }
        (200, self.time())
    }
}
