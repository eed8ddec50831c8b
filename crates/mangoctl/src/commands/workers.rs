//! `worker drain` and `undrain`.

use {
    super::wait_until,
    crate::{
        arguments::CommandInvocation,
        error::CommandError,
        fleet_client::FleetClient,
        output::{confirm, show},
    },
    base::WorkerId,
    proto::messages::operator::{DrainReply, FleetStatus},
};

/// Moves the tasks of a worker to other workers, after confirmation.
pub(super) fn drain(invocation: &CommandInvocation, worker: &WorkerId) -> Result<(), CommandError> {
    let client = FleetClient::new(invocation)?;
    let consequence = match task_count(&client, worker)? {
        Some(tasks) => format!("This moves {tasks} tasks from {worker} to other workers."),
        None => return Err(no_such_worker(worker)),
    };
    confirm(invocation, &consequence)?;
    change(invocation, &client, worker, "drain")?;
    if invocation.wait {
        wait_until(invocation, || {
            Ok(match task_count(&client, worker)? {
                Some(0) | None => Ok(()),
                Some(tasks) => Err(format!("{worker} still has {tasks} tasks")),
            })
        })?;
        if !invocation.json {
            println!("{worker} has no tasks");
        }
    }
    Ok(())
}

/// Makes a drained worker eligible for tasks again.
pub(super) fn undrain(
    invocation: &CommandInvocation,
    worker: &WorkerId,
) -> Result<(), CommandError> {
    change(invocation, &FleetClient::new(invocation)?, worker, "undrain")
}

fn change(
    invocation: &CommandInvocation,
    client: &FleetClient,
    worker: &WorkerId,
    verb: &str,
) -> Result<(), CommandError> {
    let reply: DrainReply = client.post(&format!("/v1/workers/{worker}/{verb}"), &())?;
    match reply {
        DrainReply::Accepted => {
            show(invocation, &reply, |_| format!("{verb} of {worker} is accepted\n"))
        }
        DrainReply::NoSuchWorker => Err(no_such_worker(worker)),
    }
}

fn task_count(client: &FleetClient, worker: &WorkerId) -> Result<Option<u32>, CommandError> {
    let status: FleetStatus = client.get("/v1/status")?;
    Ok(status.workers.iter().find(|found| found.worker == *worker).map(|found| found.tasks))
}

fn no_such_worker(worker: &WorkerId) -> CommandError {
    CommandError::Refused { detail: format!("there is no worker {worker}") }
}
