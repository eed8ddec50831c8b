//! The time line, which merges the events of all processes.
//!
//! Stamps order events so that a cause always precedes its effect, even if the wall clocks of the
//! processes differ (`base::HybridStamp`). Events come from `/events` or from saved files.

mod page;

pub use page::format_html_page;

use {
    crate::recorder::EventRecord,
    base::ProcessName,
    snafu::{ResultExt, Snafu},
};

/// The error for text that is not a list of events.
#[derive(Debug, Snafu)]
#[snafu(display("line {line} is not an event: {source}"))]
pub struct TimelineError {
    /// The number of the line, from 1.
    line: usize,
    /// The error that the parser reported.
    source: serde_json::Error,
}

/// Selects events. A `None` field accepts every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Accepts events that have all of these fields with these values; `task=report/0`, for
    /// example.
    pub fields: Vec<(String, String)>,
    /// Accepts events of this process.
    pub process: Option<ProcessName>,
    /// Accepts events from this time on, in microseconds since the Unix epoch.
    pub from_micros: Option<u64>,
    /// Accepts events before this time, in microseconds since the Unix epoch.
    pub until_micros: Option<u64>,
}

impl EventFilter {
    /// Returns true if the filter accepts `record`.
    pub fn accepts(&self, record: &EventRecord) -> bool {
        let wall = record.stamp.wall_micros;
        self.process.as_ref().is_none_or(|process| *process == record.process)
            && self.from_micros.is_none_or(|from| wall >= from)
            && self.until_micros.is_none_or(|until| wall < until)
            && self.fields.iter().all(|(name, text)| record.fields.get(name) == Some(text))
    }
}

/// Merges the accepted events into causal order and removes duplicates.
pub fn merge(mut records: Vec<EventRecord>, filter: &EventFilter) -> Vec<EventRecord> {
    records.retain(|record| filter.accepts(record));
    records.sort_by(|left, right| {
        (left.stamp, &left.process, left.number).cmp(&(right.stamp, &right.process, right.number))
    });
    records.dedup();
    records
}

/// Parses events from JSON lines; skips blank lines. Fails at the first line that is not an event.
pub fn parse_json_lines(text: &str) -> Result<Vec<EventRecord>, TimelineError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| serde_json::from_str(line).context(TimelineSnafu { line: index + 1 }))
        .collect()
}

/// Formats an event as one line of text.
pub fn format_line(record: &EventRecord) -> String {
    let fields: Vec<_> = record.fields.iter().map(|(key, text)| format!("{key}={text}")).collect();
    format!(
        "{} {:<16} {:<7} E{} {} {}",
        format_utc_time(record.stamp.wall_micros),
        record.process,
        record.severity,
        record.number,
        record.name,
        fields.join(" ")
    )
}

/// Formats the time of day in UTC, to the microsecond.
pub fn format_utc_time(wall_micros: u64) -> String {
    const MICROS: u64 = 1_000_000;
    let seconds = wall_micros / MICROS;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:06}", seconds % 60, wall_micros % MICROS)
}
