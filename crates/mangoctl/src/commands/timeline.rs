//! `timeline`: the events of all processes in causal order.

use {
    crate::{
        arguments::CommandCall,
        failure::{CommandFailure, FileSnafu},
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
        timeline::{format_line, merge, read_json_lines, write_page, EventFilter, TimelineError},
        EventRecord,
    },
};

/// Answers that are read of one process in a row. A process that records faster than it is read
/// must not keep the reader for ever.
const ANSWERS_AT_MOST: usize = 64;
const FOLLOW_PAUSE: Duration = Duration::from_millis(500);

/// Shows what happened in all processes.
pub(super) fn show_events(call: &CommandCall) -> Result<(), CommandFailure> {
    let filter = filter(call);
    let mut records = read_files(call)?;
    let mut reader = match call.events.files.is_empty() || !call.peers.is_empty() {
        true => Some(FleetReader::find(FleetClient::new(call)?)?),
        false => None,
    };
    if let Some(reader) = &mut reader {
        records.extend(reader.read_new());
    }
    let records = merge(records, &filter);
    write_outputs(call, &records)?;
    show(call, &records, |records| lines(records))?;
    match (reader, call.events.follow) {
        (Some(mut reader), true) => follow(call, &mut reader, &filter),
        _ => Ok(()),
    }
}

fn filter(call: &CommandCall) -> EventFilter {
    let fields = call.events.fields.clone();
    let from = call.events.last.and_then(|last| SystemTime::now().checked_sub(last));
    let from = from.and_then(|from| from.duration_since(SystemTime::UNIX_EPOCH).ok());
    let from_micros = from.and_then(|from| u64::try_from(from.as_micros()).ok());
    EventFilter { fields, from_micros, ..EventFilter::default() }
}

fn follow(
    call: &CommandCall,
    reader: &mut FleetReader,
    filter: &EventFilter,
) -> Result<(), CommandFailure> {
    loop {
        thread::sleep(FOLLOW_PAUSE);
        let records = merge(reader.read_new(), filter);
        if !records.is_empty() {
            show(call, &records, |records| lines(records))?;
        }
    }
}

fn lines(records: &[EventRecord]) -> String {
    records.iter().map(|record| format_line(record) + "\n").collect()
}

fn read_files(call: &CommandCall) -> Result<Vec<EventRecord>, CommandFailure> {
    let mut records = Vec::new();
    for path in &call.events.files {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        let read = read_json_lines(&text).map_err(|error| CommandFailure::Usage {
            detail: format!("{}: {error}", path.display()),
        })?;
        records.extend(read);
    }
    Ok(records)
}

fn write_outputs(call: &CommandCall, records: &[EventRecord]) -> Result<(), CommandFailure> {
    if let Some(path) = &call.events.save {
        let text = telemetry::operator::to_json_lines(records);
        fs::write(path, text).context(FileSnafu { path })?;
    }
    if let Some(path) = &call.events.html {
        let page = write_page("mangorouter time line", records);
        fs::write(path, page).context(FileSnafu { path })?;
    }
    Ok(())
}

/// Reads the events of every process that control has heard from, each from where it left off.
struct FleetReader {
    client: FleetClient,
    processes: BTreeMap<ProcessName, (PeerAddress, HybridStamp)>,
}

impl FleetReader {
    fn find(client: FleetClient) -> Result<Self, CommandFailure> {
        let status: FleetStatus = client.get("/v1/status")?;
        let processes = status
            .processes
            .into_iter()
            .map(|found| (found.name, (found.operator_address, HybridStamp::default())))
            .collect();
        Ok(Self { client, processes })
    }

    /// What is new. A process that does not answer is said so and left out.
    fn read_new(&mut self) -> Vec<EventRecord> {
        let mut records = Vec::new();
        for (name, (address, last)) in &mut self.processes {
            for _ in 0..ANSWERS_AT_MOST {
                match read_answer(&self.client, *address, *last) {
                    Ok(answer) if answer.is_empty() => break,
                    Ok(answer) => {
                        *last = answer.iter().map(|record| record.stamp).fold(*last, Ord::max);
                        records.extend(answer);
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

/// Why the events of a process are missing.
#[derive(Debug, Snafu)]
enum AnswerError {
    /// It does not answer.
    #[snafu(display("{source}"), context(false))]
    Call { source: OperatorError },
    /// It answers with something else.
    #[snafu(display("{source}"), context(false))]
    Events { source: TimelineError },
}

/// The next events of a process. One answer holds a bounded number of them.
fn read_answer(
    client: &FleetClient,
    address: PeerAddress,
    after: HybridStamp,
) -> Result<Vec<EventRecord>, AnswerError> {
    let text = client.text(address, &format!("/events?after={after}"))?;
    Ok(read_json_lines(&text)?)
}
