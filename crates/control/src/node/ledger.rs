//! Handles claims on idempotency keys and their closing. The node grants nothing before it is
//! committed.

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
    pub(super) fn receive_claim(&mut self, ticket: ReplyTicket, claim: LedgerClaim) {
        if self.leader.is_none() {
            let leader = self.leader_hint();
            return self.reply(ticket, NodeReply::Claim(ClaimReply::NotLeader { leader }));
        }
        self.propose(ProposalOwner::Claim(ticket), vec![FleetCommand::Claim(claim)]);
    }

    pub(super) fn receive_close(&mut self, ticket: ReplyTicket, close: LedgerClose) {
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
            _ => CloseReply::NotClaimed,
        };
        self.reply(ticket, NodeReply::Close(reply));
    }

    /// Refuses a claim whose proposal failed, even if it may still be committed: an entry process
    /// that finds the claim later resolves it by asking its target, which never received the
    /// request.
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
