//! One time line of the events of all processes.
//!
//! Stamps order events so that a cause always comes before its effect, whatever the wall clocks
//! of the processes say (`base::HybridStamp`). Events come from `/events` or from saved files.

mod page;

pub use page::write_page;

use {
    crate::recorder::EventRecord,
    base::ProcessName,
    snafu::{ResultExt, Snafu},
};

/// Why a text is no list of events.
#[derive(Debug, Snafu)]
#[snafu(display("line {line} is no event: {source}"))]
pub struct TimelineError {
    /// The line, from 1.
    line: usize,
    /// What the parser reported.
    source: serde_json::Error,
}

/// Which events are wanted. A field that is `None` lets all through.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Events with a field of this name and text; `task=report/0`, for example.
    pub fields: Vec<(String, String)>,
    /// Events of this process.
    pub process: Option<ProcessName>,
    /// Events from this many microseconds after the Unix epoch.
    pub from_micros: Option<u64>,
    /// Events before this many microseconds after the Unix epoch.
    pub until_micros: Option<u64>,
}

impl EventFilter {
    /// True when `record` is wanted.
    pub fn accepts(&self, record: &EventRecord) -> bool {
        let wall = record.stamp.wall_micros;
        self.process.as_ref().is_none_or(|process| *process == record.process)
            && self.from_micros.is_none_or(|from| wall >= from)
            && self.until_micros.is_none_or(|until| wall < until)
            && self.fields.iter().all(|(name, text)| record.fields.get(name) == Some(text))
    }
}

/// Merges events into causal order and drops those that stand there twice.
pub fn merge(mut records: Vec<EventRecord>, filter: &EventFilter) -> Vec<EventRecord> {
    records.retain(|record| filter.accepts(record));
    records.sort_by(|left, right| {
        (left.stamp, &left.process, left.number).cmp(&(right.stamp, &right.process, right.number))
    });
    records.dedup();
    records
}

/// Reads events that were written one a line.
pub fn read_json_lines(text: &str) -> Result<Vec<EventRecord>, TimelineError> {
    text.lines()
        .enumerate()
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| serde_json::from_str(line).context(TimelineSnafu { line: index + 1 }))
        .collect()
}

/// One event as a line of text.
pub fn format_line(record: &EventRecord) -> String {
    let fields: Vec<_> = record.fields.iter().map(|(key, text)| format!("{key}={text}")).collect();
    format!(
        "{} {:<16} {:<7} E{} {} {}",
        format_wall(record.stamp.wall_micros),
        record.process,
        record.severity,
        record.number,
        record.name,
        fields.join(" ")
    )
}

/// The time of day in UTC, to the microsecond.
pub fn format_wall(wall_micros: u64) -> String {
    const MICROS: u64 = 1_000_000;
    let seconds = wall_micros / MICROS;
    let (hours, minutes) = (seconds / 3600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{:06}", seconds % 60, wall_micros % MICROS)
}
