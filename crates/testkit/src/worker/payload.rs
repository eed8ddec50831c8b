//! What a job's payload tells the stand-in worker.

use {base::duration_text, std::time::Duration};

const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// How a pretended task behaves, written as words such as `run=2s use=150 fail`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TaskPayload {
    /// How long it runs when not throttled. `None` with the word `endless`.
    pub(super) run_time: Option<Duration>,
    /// What it uses, in percent of what is reserved.
    pub(super) use_percent: u64,
    /// True when it ends with failure.
    pub(super) fails: bool,
    /// True when it can't be started.
    pub(super) refuses: bool,
}

impl TaskPayload {
    /// Reads a payload. Words that it does not know are left aside.
    pub(super) fn parse(text: &str) -> Self {
        let mut payload = Self {
            run_time: Some(DEFAULT_RUN_TIME),
            use_percent: 100,
            fails: false,
            refuses: false,
        };
        for word in text.split_whitespace() {
            match word.split_once('=') {
                Some(("run", time)) => payload.run_time = duration_text::parse(time),
                Some(("use", percent)) => payload.use_percent = percent.parse().unwrap_or(100),
                None if word == "endless" => payload.run_time = None,
                None if word == "fail" => payload.fails = true,
                None if word == "refuse" => payload.refuses = true,
                _ => {}
            }
        }
        payload
    }
}
