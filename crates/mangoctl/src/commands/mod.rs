//! The commands, one module a subject.

mod declarations;
mod explain;
mod jobs;
mod members;
mod status;
mod timeline;
mod workers;

use {
    crate::{
        arguments::{Command, CommandCall},
        failure::CommandFailure,
    },
    base::SubmissionId,
    std::{
        process, thread,
        time::{Duration, Instant, SystemTime},
    },
};

/// The time between two looks at what is waited for.
const LOOK_AGAIN: Duration = Duration::from_millis(200);

/// Runs a command.
pub(crate) fn run(call: &CommandCall) -> Result<(), CommandFailure> {
    match &call.command {
        Command::Check(folder) => declarations::check(call, folder),
        Command::Diff(folder) => declarations::diff(call, folder),
        Command::Apply(folder) => declarations::apply(call, folder),
        Command::JobSubmit(file) => jobs::submit(call, file),
        Command::JobList => jobs::list(call),
        Command::JobShow(job) => jobs::show_job(call, job),
        Command::JobCancel(job) => jobs::cancel(call, job),
        Command::JobUnpark(job) => jobs::unpark(call, job),
        Command::WorkerDrain(worker) => workers::drain(call, worker),
        Command::WorkerUndrain(worker) => workers::undrain(call, worker),
        Command::Status => status::show_fleet(call),
        Command::ExplainTask(task) => explain::task(call, task),
        Command::ExplainWorker(worker) => explain::worker(call, worker),
        Command::ExplainPolicy => explain::policy(call),
        Command::Timeline => timeline::show_events(call),
        Command::MemberAdd(replica, address) => members::add(call, *replica, *address),
        Command::MemberPromote(replica) => members::promote(call, *replica),
        Command::MemberRemove(replica) => members::remove(call, *replica),
    }
}

/// The name of a change: the operator's, or a new one.
fn submission(call: &CommandCall) -> SubmissionId {
    if let Some(submission) = &call.submission {
        return submission.clone();
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let text = format!("ctl-{}-{}", now.as_nanos(), process::id());
    SubmissionId::new(&text).expect("digits and dashes make a name")
}

/// Looks again and again until `look` finds what is waited for or the time is up.
fn wait_until<T>(
    call: &CommandCall,
    mut look: impl FnMut() -> Result<Result<T, String>, CommandFailure>,
) -> Result<T, CommandFailure> {
    let started = Instant::now();
    let mut last = String::new();
    loop {
        match look()? {
            Ok(found) => return Ok(found),
            Err(detail) if started.elapsed() >= call.wait_for => {
                return Err(CommandFailure::WaitedTooLong { detail });
            }
            Err(detail) if detail != last => {
                crate::output::progress(&detail);
                last = detail;
            }
            Err(_) => {}
        }
        thread::sleep(LOOK_AGAIN);
    }
}
