//! The command line.

mod help;

pub(crate) use help::HELP;

use {
    crate::failure::CommandFailure,
    base::{
        duration_text, JobId, PeerAddress, ReplicaId, RevisionNumber, SubmissionId, TaskId,
        WorkerId,
    },
    lexopt::{
        Arg::{Long, Short, Value},
        Parser, ValueExt,
    },
    settings::PolicySubject,
    std::{env, path::PathBuf, str::FromStr, time::Duration},
};

const ADDRESS_VARIABLE: &str = "MANGOROUTER_OPERATOR";
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_WAIT: Duration = Duration::from_secs(60);

/// What a command line asks for.
pub(crate) enum ParsedLine {
    /// The list of commands.
    Help,
    /// The program's version.
    Version,
    /// A command.
    Command(Box<CommandCall>),
}

/// A command with the options that any command takes.
pub(crate) struct CommandCall {
    /// What to do.
    pub(crate) command: Command,
    /// Operators' addresses of control processes.
    pub(crate) peers: Vec<PeerAddress>,
    /// True when programs read the output.
    pub(crate) json: bool,
    /// True when the operator has agreed beforehand.
    pub(crate) yes: bool,
    /// True when the command returns only once its effect is seen.
    pub(crate) wait: bool,
    /// How long one call may take.
    pub(crate) timeout: Duration,
    /// How long the effect is waited for.
    pub(crate) wait_for: Duration,
    /// Names the change, so that it can be resent.
    pub(crate) submission: Option<SubmissionId>,
    /// The revision that an apply was made on.
    pub(crate) base: Option<RevisionNumber>,
    /// Which events are wanted.
    pub(crate) events: EventOptions,
    /// Whom a policy is asked for.
    pub(crate) subject: PolicySubject,
    /// A folder of declarations to explain instead of those in force.
    pub(crate) folder: Option<PathBuf>,
}

/// The options of the time line.
#[derive(Default)]
pub(crate) struct EventOptions {
    /// Fields that an event must have.
    pub(crate) fields: Vec<(String, String)>,
    /// How far back to go; to the beginning of what is kept when `None`.
    pub(crate) last: Option<Duration>,
    /// Files to read besides, or instead of, processes.
    pub(crate) files: Vec<PathBuf>,
    /// A file for the events, one a line.
    pub(crate) save: Option<PathBuf>,
    /// A file for the page.
    pub(crate) html: Option<PathBuf>,
    /// True to go on with what happens next.
    pub(crate) follow: bool,
}

/// What to do.
pub(crate) enum Command {
    /// Check a folder.
    Check(PathBuf),
    /// Show what applying a folder would change.
    Diff(PathBuf),
    /// Put a folder in force.
    Apply(PathBuf),
    /// Submit the job of a file.
    JobSubmit(PathBuf),
    /// List jobs.
    JobList,
    /// Show a job.
    JobShow(JobId),
    /// Cancel a job.
    JobCancel(JobId),
    /// Let a parked job be tried again.
    JobUnpark(JobId),
    /// Move the tasks of a worker away.
    WorkerDrain(WorkerId),
    /// Give a worker tasks again.
    WorkerUndrain(WorkerId),
    /// Show the fleet.
    Status,
    /// Explain a task.
    ExplainTask(TaskId),
    /// Explain a worker.
    ExplainWorker(WorkerId),
    /// Explain a policy.
    ExplainPolicy,
    /// Show what happened in all processes.
    Timeline,
    /// Add a replica without a vote.
    MemberAdd(ReplicaId, PeerAddress),
    /// Give a replica a vote.
    MemberPromote(ReplicaId),
    /// Remove a replica.
    MemberRemove(ReplicaId),
}

/// Reads a command line.
pub(crate) fn parse(mut parser: Parser) -> Result<ParsedLine, CommandFailure> {
    let mut words: Vec<String> = Vec::new();
    let mut call = CommandCall {
        command: Command::Status,
        peers: Vec::new(),
        json: false,
        yes: false,
        wait: false,
        timeout: DEFAULT_TIMEOUT,
        wait_for: DEFAULT_WAIT,
        submission: None,
        base: None,
        events: EventOptions::default(),
        subject: PolicySubject::default(),
        folder: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(ParsedLine::Help),
            Short('V') | Long("version") => return Ok(ParsedLine::Version),
            Long("at") => call.peers.extend(addresses(&parser.value()?.string()?)?),
            Long("json") => call.json = true,
            Short('y') | Long("yes") => call.yes = true,
            Long("wait") => call.wait = true,
            Long("timeout") => call.timeout = duration(&parser.value()?.string()?)?,
            Long("wait-for") => call.wait_for = duration(&parser.value()?.string()?)?,
            Long("submission") => call.submission = Some(parser.value()?.parse()?),
            Long("base") => call.base = Some(parser.value()?.parse()?),
            Long("from") => call.events.files.push(parser.value()?.into()),
            Long("save") => call.events.save = Some(parser.value()?.into()),
            Long("html") => call.events.html = Some(parser.value()?.into()),
            Long("last") => call.events.last = Some(duration(&parser.value()?.string()?)?),
            Long("follow") => call.events.follow = true,
            Long("where") => call.events.fields.push(field(&parser.value()?.string()?)?),
            Long("service") => call.subject.service = Some(parser.value()?.parse()?),
            Long("team") => call.subject.team = Some(parser.value()?.parse()?),
            Long("class") => call.subject.class = Some(parser.value()?.parse()?),
            Long("data-centre") => call.subject.data_centre = Some(parser.value()?.parse()?),
            Long("rack") => call.subject.rack = Some(parser.value()?.parse()?),
            Long("worker") => call.subject.worker = Some(parser.value()?.parse()?),
            Long("folder") => call.folder = Some(parser.value()?.into()),
            Value(word) => words.push(word.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    if words.is_empty() {
        return Ok(ParsedLine::Help);
    }
    if call.peers.is_empty() {
        call.peers = addresses(&env::var(ADDRESS_VARIABLE).unwrap_or_default())?;
    }
    call.command = command(&words)?;
    Ok(ParsedLine::Command(Box::new(call)))
}

fn command(words: &[String]) -> Result<Command, CommandFailure> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Ok(match words[..] {
        ["check", folder] => Command::Check(folder.into()),
        ["diff", folder] => Command::Diff(folder.into()),
        ["apply", folder] => Command::Apply(folder.into()),
        ["job", "submit", file] => Command::JobSubmit(file.into()),
        ["job", "list"] => Command::JobList,
        ["job", "show", job] => Command::JobShow(word(job)?),
        ["job", "cancel", job] => Command::JobCancel(word(job)?),
        ["job", "unpark", job] => Command::JobUnpark(word(job)?),
        ["worker", "drain", worker] => Command::WorkerDrain(word(worker)?),
        ["worker", "undrain", worker] => Command::WorkerUndrain(word(worker)?),
        ["status"] => Command::Status,
        ["explain", "task", task] => Command::ExplainTask(word(task)?),
        ["explain", "worker", worker] => Command::ExplainWorker(word(worker)?),
        ["explain", "policy"] => Command::ExplainPolicy,
        ["timeline"] => Command::Timeline,
        ["member", "add", replica, address] => Command::MemberAdd(word(replica)?, word(address)?),
        ["member", "promote", replica] => Command::MemberPromote(word(replica)?),
        ["member", "remove", replica] => Command::MemberRemove(word(replica)?),
        _ => return usage(format!("no such command: {}", words.join(" "))),
    })
}

fn usage<T>(detail: String) -> Result<T, CommandFailure> {
    Err(CommandFailure::Usage { detail })
}

fn word<T>(text: &str) -> Result<T, CommandFailure>
where
    T: FromStr<Err: ToString>,
{
    text.parse().or_else(|error: T::Err| usage(format!("{text:?}: {}", error.to_string())))
}

fn addresses(text: &str) -> Result<Vec<PeerAddress>, CommandFailure> {
    text.split(',').filter(|part| !part.is_empty()).map(word).collect()
}

fn duration(text: &str) -> Result<Duration, CommandFailure> {
    match duration_text::parse(text) {
        Some(duration) => Ok(duration),
        None => usage(format!("{text:?} is no duration such as \"500ms\" or \"10s\"")),
    }
}

fn field(text: &str) -> Result<(String, String), CommandFailure> {
    match text.split_once('=') {
        Some((name, value)) => Ok((name.to_owned(), value.to_owned())),
        None => usage(format!("{text:?} is no condition such as \"task=report/0\"")),
    }
}
