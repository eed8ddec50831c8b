//! `member add`, `promote` and `remove`.

use {
    crate::{
        arguments::CommandCall,
        failure::CommandFailure,
        fleet_client::FleetClient,
        output::{confirm, show},
    },
    base::{PeerAddress, ReplicaId},
    proto::messages::operator::{MemberReply, MemberRequest},
};

/// Adds a replica without a vote.
pub(super) fn add(
    call: &CommandCall,
    replica: ReplicaId,
    address: PeerAddress,
) -> Result<(), CommandFailure> {
    let done = format!("replica {replica} receives the log; promote it once it has caught up\n");
    change(call, &MemberRequest::AddLearner { replica, address }, done)
}

/// Gives a replica a vote.
pub(super) fn promote(call: &CommandCall, replica: ReplicaId) -> Result<(), CommandFailure> {
    change(call, &MemberRequest::Promote { replica }, format!("replica {replica} has a vote\n"))
}

/// Removes a replica for good.
pub(super) fn remove(call: &CommandCall, replica: ReplicaId) -> Result<(), CommandFailure> {
    let about = format!("This removes replica {replica} for good; its id can't be used again.");
    confirm(call, &about)?;
    change(call, &MemberRequest::Remove { replica }, format!("replica {replica} is removed\n"))
}

fn change(call: &CommandCall, request: &MemberRequest, done: String) -> Result<(), CommandFailure> {
    let reply: MemberReply = FleetClient::new(call)?.post("/v1/members", request)?;
    match &reply {
        MemberReply::Accepted => show(call, &reply, |_| done),
        MemberReply::Refused { reason } => Err(CommandFailure::Refused { detail: reason.clone() }),
    }
}
