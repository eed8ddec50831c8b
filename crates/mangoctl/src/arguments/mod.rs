//! Parses the command line.

mod help;

pub(crate) use help::HELP;

use {
    crate::error::CommandError,
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

/// The result of parsing a command line.
pub(crate) enum ParsedArguments {
    /// Print the usage text.
    Help,
    /// Print the program's version.
    Version,
    /// Run a command.
    Command(Box<CommandInvocation>),
}

/// A command with the options that all commands share.
pub(crate) struct CommandInvocation {
    /// The command to run.
    pub(crate) command: Command,
    /// Operator addresses of control processes.
    pub(crate) peers: Vec<PeerAddress>,
    /// True to print JSON instead of text.
    pub(crate) json: bool,
    /// True to skip the confirmation prompt.
    pub(crate) yes: bool,
    /// True to return only after the effect of the command is observed.
    pub(crate) wait: bool,
    /// The time limit of one API call.
    pub(crate) timeout: Duration,
    /// The time limit for observing the effect of the command with `--wait`.
    pub(crate) wait_for: Duration,
    /// The idempotency key of the change, so that it can be resent; generated if `None`.
    pub(crate) submission: Option<SubmissionId>,
    /// The revision that `apply` is based on; the current revision if `None`.
    pub(crate) base: Option<RevisionNumber>,
    /// The options of `timeline`.
    pub(crate) events: EventOptions,
    /// The subject whose policy `explain policy` shows.
    pub(crate) subject: PolicySubject,
    /// A folder of declarations to explain instead of the declarations in force.
    pub(crate) folder: Option<PathBuf>,
}

/// The options of `timeline`.
#[derive(Default)]
pub(crate) struct EventOptions {
    /// Fields with their values that an event must have.
    pub(crate) fields: Vec<(String, String)>,
    /// The time span to show, up to now; all events that the processes keep if `None`.
    pub(crate) last: Option<Duration>,
    /// Files to read events from. Processes are read too only if addresses are given by `--at` or
    /// by the environment.
    pub(crate) files: Vec<PathBuf>,
    /// A file to save the events to, as JSON lines.
    pub(crate) save: Option<PathBuf>,
    /// A file to write the HTML page to.
    pub(crate) html: Option<PathBuf>,
    /// True to keep printing new events.
    pub(crate) follow: bool,
}

/// The commands.
pub(crate) enum Command {
    /// Checks a folder of declarations.
    Check(PathBuf),
    /// Shows what applying a folder would change.
    Diff(PathBuf),
    /// Applies a folder.
    Apply(PathBuf),
    /// Submits the job of a file.
    JobSubmit(PathBuf),
    /// Lists jobs.
    JobList,
    /// Shows a job.
    JobShow(JobId),
    /// Cancels a job.
    JobCancel(JobId),
    /// Makes a parked job eligible for placement again.
    JobUnpark(JobId),
    /// Moves the tasks of a worker to other workers.
    WorkerDrain(WorkerId),
    /// Makes a drained worker eligible for tasks again.
    WorkerUndrain(WorkerId),
    /// Shows the state of the fleet.
    Status,
    /// Explains the decisions on a task.
    ExplainTask(TaskId),
    /// Explains the decisions on a worker.
    ExplainWorker(WorkerId),
    /// Explains the values of a policy.
    ExplainPolicy,
    /// Shows the events of all processes.
    Timeline,
    /// Adds a replica without a vote.
    MemberAdd(ReplicaId, PeerAddress),
    /// Gives a replica a vote.
    MemberPromote(ReplicaId),
    /// Removes a replica.
    MemberRemove(ReplicaId),
}

/// Parses a command line. Fails if it is not valid.
pub(crate) fn parse(mut parser: Parser) -> Result<ParsedArguments, CommandError> {
    let mut words: Vec<String> = Vec::new();
    let mut invocation = CommandInvocation {
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
            Short('h') | Long("help") => return Ok(ParsedArguments::Help),
            Short('V') | Long("version") => return Ok(ParsedArguments::Version),
            Long("at") => invocation.peers.extend(parse_addresses(&parser.value()?.string()?)?),
            Long("json") => invocation.json = true,
            Short('y') | Long("yes") => invocation.yes = true,
            Long("wait") => invocation.wait = true,
            Long("timeout") => invocation.timeout = parse_duration(&parser.value()?.string()?)?,
            Long("wait-for") => invocation.wait_for = parse_duration(&parser.value()?.string()?)?,
            Long("submission") => invocation.submission = Some(parser.value()?.parse()?),
            Long("base") => invocation.base = Some(parser.value()?.parse()?),
            Long("from") => invocation.events.files.push(parser.value()?.into()),
            Long("save") => invocation.events.save = Some(parser.value()?.into()),
            Long("html") => invocation.events.html = Some(parser.value()?.into()),
            Long("last") => {
                invocation.events.last = Some(parse_duration(&parser.value()?.string()?)?)
            }
            Long("follow") => invocation.events.follow = true,
            Long("where") => {
                invocation.events.fields.push(parse_field(&parser.value()?.string()?)?)
            }
            Long("service") => invocation.subject.service = Some(parser.value()?.parse()?),
            Long("team") => invocation.subject.team = Some(parser.value()?.parse()?),
            Long("class") => invocation.subject.class = Some(parser.value()?.parse()?),
            Long("data-centre") => invocation.subject.data_centre = Some(parser.value()?.parse()?),
            Long("rack") => invocation.subject.rack = Some(parser.value()?.parse()?),
            Long("worker") => invocation.subject.worker = Some(parser.value()?.parse()?),
            Long("folder") => invocation.folder = Some(parser.value()?.into()),
            Value(word) => words.push(word.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    if words.is_empty() {
        return Ok(ParsedArguments::Help);
    }
    if invocation.peers.is_empty() {
        invocation.peers = parse_addresses(&env::var(ADDRESS_VARIABLE).unwrap_or_default())?;
    }
    invocation.command = parse_command(&words)?;
    Ok(ParsedArguments::Command(Box::new(invocation)))
}

fn parse_command(words: &[String]) -> Result<Command, CommandError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Ok(match words[..] {
        ["check", folder] => Command::Check(folder.into()),
        ["diff", folder] => Command::Diff(folder.into()),
        ["apply", folder] => Command::Apply(folder.into()),
        ["job", "submit", file] => Command::JobSubmit(file.into()),
        ["job", "list"] => Command::JobList,
        ["job", "show", job] => Command::JobShow(parse_word(job)?),
        ["job", "cancel", job] => Command::JobCancel(parse_word(job)?),
        ["job", "unpark", job] => Command::JobUnpark(parse_word(job)?),
        ["worker", "drain", worker] => Command::WorkerDrain(parse_word(worker)?),
        ["worker", "undrain", worker] => Command::WorkerUndrain(parse_word(worker)?),
        ["status"] => Command::Status,
        ["explain", "task", task] => Command::ExplainTask(parse_word(task)?),
        ["explain", "worker", worker] => Command::ExplainWorker(parse_word(worker)?),
        ["explain", "policy"] => Command::ExplainPolicy,
        ["timeline"] => Command::Timeline,
        ["member", "add", replica, address] => {
            Command::MemberAdd(parse_word(replica)?, parse_word(address)?)
        }
        ["member", "promote", replica] => Command::MemberPromote(parse_word(replica)?),
        ["member", "remove", replica] => Command::MemberRemove(parse_word(replica)?),
        _ => return usage_error(format!("unknown command: {}", words.join(" "))),
    })
}

fn usage_error<T>(detail: String) -> Result<T, CommandError> {
    Err(CommandError::Usage { detail })
}

fn parse_word<T>(text: &str) -> Result<T, CommandError>
where
    T: FromStr<Err: ToString>,
{
    text.parse().or_else(|error: T::Err| usage_error(format!("{text:?}: {}", error.to_string())))
}

fn parse_addresses(text: &str) -> Result<Vec<PeerAddress>, CommandError> {
    text.split(',').filter(|part| !part.is_empty()).map(parse_word).collect()
}

fn parse_duration(text: &str) -> Result<Duration, CommandError> {
    match duration_text::parse(text) {
        Some(duration) => Ok(duration),
        None => usage_error(format!("{text:?} is not a duration such as \"500ms\" or \"10s\"")),
    }
}

fn parse_field(text: &str) -> Result<(String, String), CommandError> {
    match text.split_once('=') {
        Some((name, value)) => Ok((name.to_owned(), value.to_owned())),
        None => usage_error(format!("{text:?} is not a condition such as \"task=report/0\"")),
    }
}
