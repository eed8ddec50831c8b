//! The record of a case: what was sent, answered and run, with times, and the findings.

use std::{
    collections::BTreeMap,
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

struct RecordState {
    file: File,
    findings: Vec<String>,
    /// The runs at work: task, then executor and run.
    running: BTreeMap<String, Vec<(String, u32)>>,
    /// How often each task has started.
    starts: BTreeMap<String, u32>,
}

pub struct Record {
    began: Instant,
    state: Mutex<RecordState>,
}

#[allow(dead_code)]
impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        let (findings, running, starts) = Default::default();
        let state = Mutex::new(RecordState { file, findings, running, starts });
        Ok(Self { began: Instant::now(), state })
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    fn write(&self, state: &mut RecordState, text: &str) {
        let _ = writeln!(state.file, "{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let mut state = self.state.lock().expect("no holder panics");
        self.write(&mut state, text.as_ref());
    }

    /// Records that a rule was broken.
    pub fn broken(&self, text: impl AsRef<str>) {
        let mut state = self.state.lock().expect("no holder panics");
        self.write(&mut state, &format!("BROKEN {}", text.as_ref()));
        state.findings.push(text.as_ref().to_owned());
    }

    pub fn findings(&self) -> Vec<String> {
        self.state.lock().expect("no holder panics").findings.clone()
    }

    /// Records the start of a run, and whether another run of the task is at work (TWICE).
    pub fn run_started(&self, task: &str, run: u32, executor: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        self.write(&mut state, &format!("executor {executor}: starts {task} run {run}"));
        *state.starts.entry(task.to_owned()).or_default() += 1;
        let runs = state.running.entry(task.to_owned()).or_default();
        let others = runs.clone();
        runs.push((executor.to_owned(), run));
        if !others.is_empty() {
            let text =
                format!("TWICE: {task} run {run} on {executor} starts while at work: {others:?}");
            self.write(&mut state, &format!("BROKEN {text}"));
            state.findings.push(text);
        }
    }

    pub fn run_ended(&self, task: &str, run: u32, executor: &str, how: &str) {
        let mut state = self.state.lock().expect("no holder panics");
        self.write(&mut state, &format!("executor {executor}: {task} run {run} ended {how}"));
        if let Some(runs) = state.running.get_mut(task) {
            runs.retain(|(at, of)| (at.as_str(), *of) != (executor, run));
        }
    }

    /// Returns the executors on which a task is at work.
    pub fn runs_of(&self, task: &str) -> Vec<(String, u32)> {
        let state = self.state.lock().expect("no holder panics");
        state.running.get(task).cloned().unwrap_or_default()
    }

    /// Returns the tasks at work on an executor.
    pub fn tasks_on(&self, executor: &str) -> Vec<String> {
        let state = self.state.lock().expect("no holder panics");
        let on = state.running.iter().filter(|(_, runs)| runs.iter().any(|(at, _)| at == executor));
        on.map(|(task, _)| task.clone()).collect()
    }

    pub fn starts_of(&self, task: &str) -> u32 {
        let state = self.state.lock().expect("no holder panics");
        state.starts.get(task).copied().unwrap_or(0)
    }
}
