//! `timeline`: the events of all processes in causal order.

use {
    crate::{
        arguments::CommandInvocation,
        error::{CommandError, FileSnafu},
        fleet_client::FleetClient,
        output::show,
    },
    base::{HybridStamp, PeerAddress, ProcessName},
    proto::{messages::operator::FleetStatus, operator_client::OperatorError},
    snafu::{ResultExt, Snafu},
    std::{
        collections::BTreeMap,
        fs, thread,
        time::{Duration, SystemTime},
    },
    telemetry::{
        timeline::{
            format_html_page, format_line, merge, parse_json_lines, EventFilter, TimelineError,
        },
        EventRecord,
    },
};

/// The maximum number of responses that one poll reads from a process, so that a process that
/// records events faster than they are read does not block the reader.
const MAX_RESPONSES_PER_POLL: usize = 64;
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Shows the events of all processes.
pub(super) fn show_events(invocation: &CommandInvocation) -> Result<(), CommandError> {
    let filter = event_filter(invocation);
    let mut records = read_files(invocation)?;
    let mut reader = match invocation.events.files.is_empty() || !invocation.peers.is_empty() {
        true => Some(EventReader::discover(FleetClient::new(invocation)?)?),
        false => None,
    };
    if let Some(reader) = &mut reader {
        records.extend(reader.read_new_events());
    }
    let records = merge(records, &filter);
    write_outputs(invocation, &records)?;
    show(invocation, &records, |records| format_lines(records))?;
    match (reader, invocation.events.follow) {
        (Some(mut reader), true) => follow(invocation, &mut reader, &filter),
        _ => Ok(()),
    }
}

fn event_filter(invocation: &CommandInvocation) -> EventFilter {
    let fields = invocation.events.fields.clone();
    let from = invocation.events.last.and_then(|last| SystemTime::now().checked_sub(last));
    let from = from.and_then(|from| from.duration_since(SystemTime::UNIX_EPOCH).ok());
    let from_micros = from.and_then(|from| u64::try_from(from.as_micros()).ok());
    EventFilter { fields, from_micros, ..EventFilter::default() }
}

fn follow(
    invocation: &CommandInvocation,
    reader: &mut EventReader,
    filter: &EventFilter,
) -> Result<(), CommandError> {
    loop {
        thread::sleep(FOLLOW_INTERVAL);
        let records = merge(reader.read_new_events(), filter);
        if !records.is_empty() {
            show(invocation, &records, |records| format_lines(records))?;
        }
    }
}

fn format_lines(records: &[EventRecord]) -> String {
    records.iter().map(|record| format_line(record) + "\n").collect()
}

fn read_files(invocation: &CommandInvocation) -> Result<Vec<EventRecord>, CommandError> {
    let mut records = Vec::new();
    for path in &invocation.events.files {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let read = parse_json_lines(&text).map_err(|error| CommandError::Usage {
            detail: format!("{}: {error}", path.display()),
        })?;
        records.extend(read);
    }
    Ok(records)
}

fn write_outputs(
    invocation: &CommandInvocation,
    records: &[EventRecord],
) -> Result<(), CommandError> {
    if let Some(path) = &invocation.events.save {
        let text = telemetry::operator::to_json_lines(records);
        fs::write(path, text).context(FileSnafu { path })?;
    }
    if let Some(path) = &invocation.events.html {
        let page = format_html_page("mangorouter time line", records);
        fs::write(path, page).context(FileSnafu { path })?;
    }
    Ok(())
}

/// Reads the events of every process that control knows, each from the last stamp read.
struct EventReader {
    client: FleetClient,
    processes: BTreeMap<ProcessName, (PeerAddress, HybridStamp)>,
}

impl EventReader {
    fn discover(client: FleetClient) -> Result<Self, CommandError> {
        let status: FleetStatus = client.get("/v1/status")?;
        let processes = status
            .processes
            .into_iter()
            .map(|found| (found.name, (found.operator_address, HybridStamp::default())))
            .collect();
        Ok(Self { client, processes })
    }

    /// Returns the events since the last poll. Reports a process that does not answer on standard
    /// error and skips it.
    fn read_new_events(&mut self) -> Vec<EventRecord> {
        let mut records = Vec::new();
        for (name, (address, last)) in &mut self.processes {
            for _ in 0..MAX_RESPONSES_PER_POLL {
                match fetch_events(&self.client, *address, *last) {
                    Ok(events) if events.is_empty() => break,
                    Ok(events) => {
                        *last = events.iter().map(|record| record.stamp).fold(*last, Ord::max);
                        records.extend(events);
                    }
                    Err(error) => {
                        eprintln!("mangoctl: events of {name} are missing: {error}");
                        break;
                    }
                }
            }
        }
        records
    }
}

/// The reason why the events of a process are missing.
#[derive(Debug, Snafu)]
enum FetchError {
    /// The process does not answer.
    #[snafu(display("{source}"), context(false))]
    Call { source: OperatorError },
    /// The response is not a list of events.
    #[snafu(display("{source}"), context(false))]
    Events { source: TimelineError },
}

/// Fetches the next events of a process. One response holds a bounded number of events.
fn fetch_events(
    client: &FleetClient,
    address: PeerAddress,
    after: HybridStamp,
) -> Result<Vec<EventRecord>, FetchError> {
    let text = client.text(address, &format!("/events?after={after}"))?;
    Ok(parse_json_lines(&text)?)
}
