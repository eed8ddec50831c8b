//! `member add`, `promote` and `remove`.

use {
    crate::{
        arguments::CommandInvocation,
        error::CommandError,
        fleet_client::FleetClient,
        output::{confirm, show},
    },
    base::{PeerAddress, ReplicaId},
    proto::messages::operator::{MemberReply, MemberRequest},
};

/// Adds a replica without a vote.
pub(super) fn add(
    invocation: &CommandInvocation,
    replica: ReplicaId,
    address: PeerAddress,
) -> Result<(), CommandError> {
    let done = format!("replica {replica} receives the log; promote it once it has caught up\n");
    change(invocation, &MemberRequest::AddLearner { replica, address }, done)
}

/// Gives a replica a vote.
pub(super) fn promote(
    invocation: &CommandInvocation,
    replica: ReplicaId,
) -> Result<(), CommandError> {
    change(
        invocation,
        &MemberRequest::Promote { replica },
        format!("replica {replica} has a vote\n"),
    )
}

/// Removes a replica permanently, after confirmation.
pub(super) fn remove(
    invocation: &CommandInvocation,
    replica: ReplicaId,
) -> Result<(), CommandError> {
    let consequence =
        format!("This removes replica {replica} permanently; its id can't be used again.");
    confirm(invocation, &consequence)?;
    change(
        invocation,
        &MemberRequest::Remove { replica },
        format!("replica {replica} is removed\n"),
    )
}

fn change(
    invocation: &CommandInvocation,
    request: &MemberRequest,
    done: String,
) -> Result<(), CommandError> {
    let reply: MemberReply = FleetClient::new(invocation)?.post("/v1/members", request)?;
    match &reply {
        MemberReply::Accepted => show(invocation, &reply, |_| done),
        MemberReply::Refused { reason } => Err(CommandError::Refused { detail: reason.clone() }),
    }
}
