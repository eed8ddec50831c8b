//! The behaviour of a simulated task, which the payload of its job describes.

use {base::duration_text, std::time::Duration};

const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);

/// The behaviour of a simulated task, written as words such as `run=2s use=150 fail`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TaskPayload {
    /// Run time without throttling. `None` with the word `endless`.
    pub(super) run_time: Option<Duration>,
    /// Resource usage in percent of the reservation.
    pub(super) use_percent: u64,
    /// True if the task ends with a failure.
    pub(super) fails: bool,
    /// True if the platform refuses to start the task.
    pub(super) refuses: bool,
}

impl TaskPayload {
    /// Parses a payload. Ignores unknown words.
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
