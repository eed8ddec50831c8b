//! An executor: the calls, leases, fences, ends and heartbeats of the platform's page on running
//! tasks. It can crash and come back under its id.

use crate::{
    http::{call, read_request, write_answer, Request},
    json::{quote, Json},
    Record,
};
use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const HEARTBEAT: Duration = Duration::from_millis(1100);
const MAX_HOLD_MS: u64 = 6000;
const CPU: u64 = 16_000;
const MEM_MB: u64 = 64_000;
/// How long a task that lasts takes to start up.
const STARTUP_MS: u64 = 400;

/// What a task does, as its spec says: `lasts`, or the milliseconds that it works.
fn work_ms(spec: &str) -> Option<u64> {
    spec.strip_prefix("works ").and_then(|rest| rest.parse().ok())
}

struct Run {
    number: u64,
    begun_ms: u64,
    work_ms: Option<u64>,
    stop_at_ms: Option<u64>,
}

/// One incarnation.
struct Life {
    born: u64,
    started: Instant,
    sequence: u64,
    fence: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    /// The highest run that was stopped or has ended, by task.
    over: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    connections: Vec<TcpStream>,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let (runs, over, finished, connections) = Default::default();
        Self {
            born,
            started: Instant::now(),
            sequence: 0,
            fence: 0,
            deadline_ms: 0,
            runs,
            over,
            finished,
            last_end: 0,
            connections,
        }
    }

    /// The executor's own clock.
    fn clock_ms(&self) -> u64 {
        100_000 + self.started.elapsed().as_millis() as u64
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        self.finished.push((self.last_end, task.to_owned(), run.number, how));
        let over = self.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
    }

    fn extend(&mut self, deadline_ms: Option<u64>) {
        let limit = self.clock_ms() + MAX_HOLD_MS;
        if let Some(deadline_ms) = deadline_ms {
            self.deadline_ms = self.deadline_ms.max(deadline_ms.min(limit));
        }
    }

    /// Ends what is done, stopped or past the lease. Returns the ends.
    fn advance(&mut self) -> Vec<(String, u64, &'static str)> {
        let now = self.clock_ms();
        let lapsed = now > self.deadline_ms;
        let over = self.runs.iter().filter_map(|(task, run)| {
            let done = run.work_ms.is_some_and(|work| now >= run.begun_ms + work);
            let stopped = run.stop_at_ms.is_some_and(|at| now >= at);
            let how = match () {
                () if done => "done",
                () if stopped => "stopped",
                () if lapsed => "lapsed",
                () => return None,
            };
            Some((task.clone(), run.number, how))
        });
        let over: Vec<_> = over.collect();
        over.iter().for_each(|(task, _, how)| self.end(task, how));
        over
    }

    fn percent(&self, run: &Run) -> u64 {
        let age = self.clock_ms().saturating_sub(run.begun_ms);
        match run.work_ms {
            Some(work) => (age * 100 / work.max(1)).min(99),
            None if age >= STARTUP_MS => 100,
            None => 0,
        }
    }

    fn lists(&self) -> String {
        let running = self.runs.iter().map(|(task, run)| {
            format!("[{},{},\"\",{},{}]", quote(task), run.number, self.percent(run), 100)
        });
        let finished = self.finished.iter().take(500).map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        format!(
            "{{\"current_time_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock_ms(),
            self.born,
            running.collect::<Vec<_>>().join(","),
            finished.collect::<Vec<_>>().join(",")
        )
    }
}

/// A start or an end, for the checks of a case.
#[derive(Debug, Clone)]
pub struct Noted {
    pub ms: u64,
    pub executor: usize,
    pub task: String,
    /// `start`, or how the run ended; `crashed` for one that ended with its executor.
    pub what: &'static str,
}

struct State {
    life: Option<Life>,
    noted: Vec<Noted>,
}

#[derive(Clone)]
pub struct Executor {
    pub number: usize,
    pub id: String,
    address: SocketAddr,
    agent: SocketAddr,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Executor {
    pub fn start(
        number: usize,
        (address, agent): (SocketAddr, SocketAddr),
        record: &Record,
    ) -> std::io::Result<Self> {
        let state = State { life: None, noted: Vec::new() };
        let executor = Self {
            number,
            id: format!("i-{number:04}"),
            address,
            agent,
            record: record.clone(),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        executor.begin()?;
        let beating = executor.clone();
        thread::spawn(move || loop {
            beating.beat();
            thread::sleep(HEARTBEAT);
        });
        let working = executor.clone();
        thread::spawn(move || loop {
            working.advance();
            thread::sleep(Duration::from_millis(10));
        });
        Ok(executor)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Begins an incarnation, which accepts calls until it crashes.
    fn begin(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let life = Life::new();
        let born = life.born;
        self.lock().life = Some(life);
        self.record.line(format!("executor {} begins, born {born}", self.id));
        let serving = self.clone();
        thread::spawn(move || loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let mut state = serving.lock();
                    let Some(life) = state.life.as_mut().filter(|life| life.born == born) else {
                        return;
                    };
                    let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
                    life.connections.extend(stream.try_clone());
                    let connection = serving.clone();
                    thread::spawn(move || connection.serve(stream, born));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
            if serving.lock().life.as_ref().is_none_or(|life| life.born != born) {
                return;
            }
        });
        Ok(())
    }

    /// Crashes: everything that runs is gone, and connections break. The next incarnation begins
    /// under the same id after `down`.
    pub fn crash(&self, down: Duration) {
        let mut state = self.lock();
        let Some(life) = state.life.take() else { return };
        for stream in &life.connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let ms = self.record.ms();
        self.record.line(format!("executor {} CRASHES with {} runs", self.id, life.runs.len()));
        for (task, run) in life.runs {
            self.record.line(format!("executor {}: {task} run {} is gone", self.id, run.number));
            let noted = Noted { ms, executor: self.number, task, what: "crashed" };
            state.noted.push(noted);
        }
        drop(state);
        let next = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            while let Err(error) = next.begin() {
                next.record.line(format!("executor {} can't begin: {error}", next.id));
                thread::sleep(Duration::from_millis(50));
            }
            next.beat();
        });
    }

    /// Starts and ends so far.
    pub fn noted(&self) -> Vec<Noted> {
        self.lock().noted.clone()
    }

    /// The tasks that run now, with their runs.
    pub fn running(&self) -> Vec<(String, u64)> {
        let state = self.lock();
        let runs = state.life.iter().flat_map(|life| &life.runs);
        runs.map(|(task, run)| (task.clone(), run.number)).collect()
    }

    fn advance(&self) {
        let mut state = self.lock();
        let Some(life) = &mut state.life else { return };
        let ends = life.advance();
        let ms = self.record.ms();
        for (task, run, what) in ends {
            self.record.line(format!("executor {}: {task} run {run} ended {what}", self.id));
            state.noted.push(Noted { ms, executor: self.number, task, what });
            self.shared.1.notify_all();
        }
    }

    /// Returns the body of a heartbeat.
    fn description(&self, life: &Life, service: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"yard\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\
             \"capacity\":{{\"cpu\":{CPU},\"mem_mb\":{MEM_MB},\"gpu\":0}},\
             \"labels\":[\"a\",\"r1-{}\"],\"current_time_ms\":{},\"seq\":{sequence},\"born\":{}}}",
            quote(service),
            self.address,
            self.number / 3,
            life.clock_ms(),
            life.born
        )
    }

    fn beat(&self) {
        let body = {
            let mut state = self.lock();
            let Some(life) = &mut state.life else { return };
            life.sequence += 1;
            let life = &*life;
            self.description(life, crate::deployment::SERVICE, life.sequence)
        };
        let path = format!("/instances/{}", self.id);
        let _ = call(self.agent, ("PUT", &path), &[], &body, Duration::from_secs(1));
    }

    /// Sends the agent a heartbeat of another writer, which names a service that no configuration
    /// has.
    pub fn odd_beat(&self, service: &str, sequence: u64) {
        let body = {
            let state = self.lock();
            let Some(life) = &state.life else { return };
            self.description(life, service, sequence)
        };
        let path = format!("/instances/{}", self.id);
        let answer = call(self.agent, ("PUT", &path), &[], &body, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status);
        self.record.line(format!("another writer: PUT {path} {body} -> {status}"));
    }

    fn serve(&self, stream: TcpStream, born: u64) {
        let Ok(copy) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(copy), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let Some((status, body)) = self.answer(&request, born) else { return };
            if write_answer(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    /// Carries out a call; `None` if the incarnation has crashed meanwhile.
    fn answer(&self, request: &Request, born: u64) -> Option<(u16, String)> {
        let mut state = self.lock();
        let life = state.life.as_mut().filter(|life| life.born == born)?;
        if request.path == "/health" {
            return Some((200, "{}".to_owned()));
        }
        let clock = format!("{{\"current_time_ms\":{}}}", life.clock_ms());
        if request.expected.as_ref().is_some_and(|expected| *expected != self.id) {
            return Some((421, clock));
        }
        let Some(body) = Json::parse(&request.body) else { return Some((400, clock)) };
        let fence = body.number("fencing_token").unwrap_or(0);
        let refusal = |reason: &str, now: u64| {
            (409, format!("{{\"current_time_ms\":{now},\"reason\":\"{reason}\"}}"))
        };
        let now = life.clock_ms();
        if fence < life.fence {
            return Some(refusal("fence", now));
        }
        life.fence = fence;
        match request.path.as_str() {
            "/hold" => {
                drop(state);
                self.hold(&body, born)
            }
            "/run-start" => {
                let (task, number) = (body.text("task")?.to_owned(), body.number("run")?);
                let spec = body.text("spec").unwrap_or_default();
                let deadline_ms = body.number("deadline_ms").unwrap_or(0);
                if deadline_ms <= now {
                    return Some(refusal("late", now));
                }
                life.extend(Some(deadline_ms));
                if life.runs.get(&task).is_some_and(|run| run.number == number) {
                    return Some((200, clock));
                }
                let over = life.over.get(&task).copied().unwrap_or(0);
                if number <= over || life.runs.contains_key(&task) {
                    return Some(refusal("old", now));
                }
                let run = Run { number, begun_ms: now, work_ms: work_ms(spec), stop_at_ms: None };
                life.runs.insert(task.clone(), run);
                let (ms, executor) = (self.record.ms(), self.number);
                self.record.line(format!("executor {}: {task} run {number} begins", self.id));
                state.noted.push(Noted { ms, executor, task, what: "start" });
                Some((200, clock))
            }
            "/run-stop" => {
                let (task, number) = (body.text("task")?, body.number("run")?);
                match life.runs.get_mut(task).filter(|run| run.number <= number) {
                    Some(run) => run.stop_at_ms = Some(now + 50),
                    None => {
                        let over = life.over.entry(task.to_owned()).or_default();
                        *over = number.max(*over);
                    }
                }
                self.record.line(format!("executor {}: stop of {task} run {number}", self.id));
                Some((200, clock))
            }
            "/pace" => Some((200, clock)),
            _ => Some((404, clock)),
        }
    }

    /// Answers with both lists, at once if there are ends to list, or when one comes.
    fn hold(&self, body: &Json, born: u64) -> Option<(u16, String)> {
        let until =
            Instant::now() + Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2000));
        let acknowledged = body.number("ack_cursor").unwrap_or(0);
        let mut state = self.lock();
        let life = state.life.as_mut().filter(|life| life.born == born)?;
        life.extend(body.number("deadline_ms"));
        for (number, task, run, how) in &life.finished {
            if *number <= acknowledged {
                let line =
                    format!("executor {}: end {number} of {task} run {run} {how} noted", self.id);
                self.record.line(line);
            }
        }
        life.finished.retain(|(number, ..)| *number > acknowledged);
        loop {
            let life = state.life.as_mut().filter(|life| life.born == born)?;
            let left = until.saturating_duration_since(Instant::now());
            if !life.finished.is_empty() || left.is_zero() {
                return Some((200, life.lists()));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
