//! Claims and their ends. Nothing is granted before it is committed.

use {
    super::{log::ProposalOwner, ControlNode, NodeReply},
    crate::state::{CommandOutcome, FleetCommand},
    base::ReplyTicket,
    proto::{
        messages::{ClaimReply, CloseReply, LedgerClaim, LedgerClose},
        rpc::RpcRefusal,
    },
    quorum::ProposalError,
};

impl ControlNode {
    pub(super) fn take_claim(&mut self, ticket: ReplyTicket, claim: LedgerClaim) {
        if self.leader.is_none() {
            let leader = self.leader_hint();
            return self.reply(ticket, NodeReply::Claim(ClaimReply::NotLeader { leader }));
        }
        self.propose(ProposalOwner::Claim(ticket), vec![FleetCommand::Claim(claim)]);
    }

    pub(super) fn take_close(&mut self, ticket: ReplyTicket, close: LedgerClose) {
        if self.leader.is_none() {
            let leader = self.leader_hint();
            return self.reply(ticket, NodeReply::Close(CloseReply::NotLeader { leader }));
        }
        self.propose(ProposalOwner::Close(ticket), vec![FleetCommand::Close(close)]);
    }

    pub(super) fn claim_committed(&mut self, ticket: ReplyTicket, outcomes: Vec<CommandOutcome>) {
        let reply = match outcomes.into_iter().next() {
            Some(CommandOutcome::Claimed(reply)) => NodeReply::Claim(reply),
            _ => NodeReply::Refused(RpcRefusal::Overloaded),
        };
        self.reply(ticket, reply);
    }

    pub(super) fn close_committed(&mut self, ticket: ReplyTicket, outcomes: Vec<CommandOutcome>) {
        let reply = match outcomes.into_iter().next() {
            Some(CommandOutcome::Closed(true)) => CloseReply::Closed,
            _ => CloseReply::NotHeld,
        };
        self.reply(ticket, NodeReply::Close(reply));
    }

    /// A claim that may yet be committed is not granted either: whoever finds it later resolves it
    /// by asking its target, which never saw it.
    pub(super) fn claim_rejected(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        let leader = self.leader_hint();
        let reply = match error {
            ProposalError::Overloaded => NodeReply::Refused(RpcRefusal::Overloaded),
            _ => NodeReply::Claim(ClaimReply::NotLeader { leader }),
        };
        self.reply(ticket, reply);
    }

    pub(super) fn close_rejected(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        let leader = self.leader_hint();
        let reply = match error {
            ProposalError::Overloaded => NodeReply::Refused(RpcRefusal::Overloaded),
            _ => NodeReply::Close(CloseReply::NotLeader { leader }),
        };
        self.reply(ticket, reply);
    }
}
