//! `status`.

use {
    crate::{
        arguments::CommandInvocation,
        error::CommandError,
        fleet_client::FleetClient,
        output::{show, table},
    },
    proto::messages::operator::FleetStatus,
};

/// Shows the state of the fleet.
pub(super) fn show_fleet(invocation: &CommandInvocation) -> Result<(), CommandError> {
    let status: FleetStatus = FleetClient::new(invocation)?.get("/v1/status")?;
    show(invocation, &status, describe)
}

fn describe(status: &FleetStatus) -> String {
    let mut text = format!(
        "revision {}, led by replica {} in term {}, {} entries committed\n\n",
        status.revision, status.leader, status.term, status.committed
    );
    let members: Vec<_> = status
        .members
        .iter()
        .map(|member| {
            let role = match (member.replica == status.leader, member.voter) {
                (true, _) => "leader",
                (false, true) => "voter",
                (false, false) => "learner",
            };
            let behind = status.committed.saturating_sub(member.matched);
            row([&member.replica, &member.address, &role, &behind])
        })
        .collect();
    text += &table(&["replica", "address", "role", "behind"], &members);
    text += "\n";
    let processes: Vec<_> = status
        .processes
        .iter()
        .map(|process| {
            let last_seen = format!("{}ms", process.last_seen_ago.as_millis());
            row([
                &process.name,
                &process.role,
                &process.revision,
                &last_seen,
                &process.operator_address,
            ])
        })
        .collect();
    text += &table(&["process", "role", "revision", "last seen", "operator"], &processes);
    text += "\n";
    let workers: Vec<_> = status
        .workers
        .iter()
        .map(|worker| {
            let phase = format!("{:?}", worker.phase).to_lowercase();
            row([
                &worker.worker,
                &phase,
                &worker.data_centre,
                &worker.rack,
                &worker.tasks,
                &worker.reserved,
            ])
        })
        .collect();
    text += &table(&["worker", "phase", "data centre", "rack", "tasks", "reserved"], &workers);
    text += "\n";
    let endpoints: Vec<_> = status
        .endpoints
        .iter()
        .map(|endpoint| {
            let state = if endpoint.draining { "draining" } else { "serving" };
            row([&endpoint.endpoint, &endpoint.service, &endpoint.worker, &endpoint.slots, &state])
        })
        .collect();
    text += &table(&["endpoint", "service", "worker", "slots", "state"], &endpoints);
    text += "\n";
    let teams: Vec<_> =
        status.teams.iter().map(|team| row([&team.team, &team.held, &team.quota])).collect();
    text += &table(&["team", "reserved", "quota"], &teams);
    text
}

fn row<const N: usize>(cells: [&dyn ToString; N]) -> Vec<String> {
    cells.iter().map(|cell| cell.to_string()).collect()
}
