//! The commands, one module per subject.

mod declarations;
mod explain;
mod jobs;
mod members;
mod status;
mod timeline;
mod workers;

use {
    crate::{
        arguments::{Command, CommandInvocation},
        error::CommandError,
    },
    base::SubmissionId,
    std::{
        process, thread,
        time::{Duration, Instant, SystemTime},
    },
};

/// The interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a command.
pub(crate) fn run(invocation: &CommandInvocation) -> Result<(), CommandError> {
    match &invocation.command {
        Command::Check(folder) => declarations::check(invocation, folder),
        Command::Diff(folder) => declarations::diff(invocation, folder),
        Command::Apply(folder) => declarations::apply(invocation, folder),
        Command::JobSubmit(file) => jobs::submit(invocation, file),
        Command::JobList => jobs::list(invocation),
        Command::JobShow(job) => jobs::show_job(invocation, job),
        Command::JobCancel(job) => jobs::cancel(invocation, job),
        Command::JobUnpark(job) => jobs::unpark(invocation, job),
        Command::WorkerDrain(worker) => workers::drain(invocation, worker),
        Command::WorkerUndrain(worker) => workers::undrain(invocation, worker),
        Command::Status => status::show_fleet(invocation),
        Command::ExplainTask(task) => explain::task(invocation, task),
        Command::ExplainWorker(worker) => explain::worker(invocation, worker),
        Command::ExplainPolicy => explain::policy(invocation),
        Command::Timeline => timeline::show_events(invocation),
        Command::MemberAdd(replica, address) => members::add(invocation, *replica, *address),
        Command::MemberPromote(replica) => members::promote(invocation, *replica),
        Command::MemberRemove(replica) => members::remove(invocation, *replica),
    }
}

/// Returns the idempotency key of a change: the one from the command line, or a new one.
fn submission(invocation: &CommandInvocation) -> SubmissionId {
    if let Some(submission) = &invocation.submission {
        return submission.clone();
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let text = format!("ctl-{}-{}", now.as_nanos(), process::id());
    SubmissionId::new(&text).expect("digits and dashes form a valid id")
}

/// Calls `poll` until it returns `Ok(Ok(_))`. `Ok(Err(_))` describes what is still missing. Fails
/// with the first `Err`, or with the last description after `--wait-for`.
fn wait_until<T>(
    invocation: &CommandInvocation,
    mut poll: impl FnMut() -> Result<Result<T, String>, CommandError>,
) -> Result<T, CommandError> {
    let started = Instant::now();
    let mut last = String::new();
    loop {
        match poll()? {
            Ok(found) => return Ok(found),
            Err(detail) if started.elapsed() >= invocation.wait_for => {
                return Err(CommandError::WaitTimedOut { detail });
            }
            Err(detail) if detail != last => {
                crate::output::print_progress(&detail);
                last = detail;
            }
            Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
}
