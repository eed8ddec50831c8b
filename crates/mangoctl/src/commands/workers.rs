//! `worker drain` and `undrain`.

use {
    super::wait_until,
    crate::{
        arguments::CommandCall,
        failure::CommandFailure,
        fleet_client::FleetClient,
        output::{confirm, show},
    },
    base::WorkerId,
    proto::messages::operator::{DrainReply, FleetStatus},
};

/// Moves the tasks of a worker away.
pub(super) fn drain(call: &CommandCall, worker: &WorkerId) -> Result<(), CommandFailure> {
    let client = FleetClient::new(call)?;
    let about = match tasks_on(&client, worker)? {
        Some(tasks) => format!("This moves {tasks} tasks away from {worker}."),
        None => return Err(no_such_worker(worker)),
    };
    confirm(call, &about)?;
    change(call, &client, worker, "drain")?;
    if call.wait {
        wait_until(call, || {
            Ok(match tasks_on(&client, worker)? {
                Some(0) | None => Ok(()),
                Some(tasks) => Err(format!("{worker} still holds {tasks} tasks")),
            })
        })?;
        if !call.json {
            println!("{worker} holds no tasks");
        }
    }
    Ok(())
}

/// Gives a worker tasks again.
pub(super) fn undrain(call: &CommandCall, worker: &WorkerId) -> Result<(), CommandFailure> {
    change(call, &FleetClient::new(call)?, worker, "undrain")
}

fn change(
    call: &CommandCall,
    client: &FleetClient,
    worker: &WorkerId,
    verb: &str,
) -> Result<(), CommandFailure> {
    let reply: DrainReply = client.post(&format!("/v1/workers/{worker}/{verb}"), &())?;
    match reply {
        DrainReply::Accepted => show(call, &reply, |_| format!("{verb} of {worker} is accepted\n")),
        DrainReply::NoSuchWorker => Err(no_such_worker(worker)),
    }
}

fn tasks_on(client: &FleetClient, worker: &WorkerId) -> Result<Option<u32>, CommandFailure> {
    let status: FleetStatus = client.get("/v1/status")?;
    Ok(status.workers.iter().find(|found| found.worker == *worker).map(|found| found.tasks))
}

fn no_such_worker(worker: &WorkerId) -> CommandFailure {
    CommandFailure::Refused { detail: format!("there is no worker {worker}") }
}
