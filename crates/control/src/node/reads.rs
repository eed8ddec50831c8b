//! Reads that the node answers only after a quorum has confirmed its leadership, so that an
//! isolated replica that still believes it is the leader neither renews a lease nor answers such a
//! read. Pulls of declarations are no such reads: any replica answers them at once.
//!
//! A read needs a confirmation round that starts after the read was received. Reads that arrive
//! during a round share the next one.

use {
    super::{heartbeat::WaitingHeartbeat, ControlNode, NodeReply, OperatorAnswer, OperatorCall},
    base::{ReplyTicket, RevisionNumber},
    proto::{
        messages::{HeartbeatReply, TablePull, TableReply},
        rpc::RpcRefusal,
    },
    quorum::QuorumEvent,
};

/// Upper bound on the reads that wait for confirmation.
const WAITING_LIMIT: usize = 8192;

/// A request that is answered once leadership is confirmed.
#[derive(Debug)]
pub(super) enum WaitingRead {
    /// A heartbeat.
    Heartbeat(Box<WaitingHeartbeat>),
    /// An entry's pull of the endpoint table.
    Table { ticket: ReplyTicket, pull: TablePull, revision: RevisionNumber },
    /// An operator's read.
    Operator { ticket: ReplyTicket, call: OperatorCall },
}

impl WaitingRead {
    fn ticket(&self) -> ReplyTicket {
        match self {
            Self::Heartbeat(waiting) => waiting.ticket,
            Self::Table { ticket, .. } | Self::Operator { ticket, .. } => *ticket,
        }
    }
}

/// The reads that wait for the current and the next confirmation round.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    pending: Vec<WaitingRead>,
    confirming: Option<(ReplyTicket, Vec<WaitingRead>)>,
}

impl ReadQueue {
    fn len(&self) -> usize {
        self.pending.len() + self.confirming.as_ref().map_or(0, |(_, reads)| reads.len())
    }
}

impl ControlNode {
    /// Queues a read for the next confirmation round, or refuses it if too many wait.
    pub(super) fn wait_for_confirmation(&mut self, read: WaitingRead) {
        if self.reads.len() >= WAITING_LIMIT {
            return self.reply(read.ticket(), NodeReply::Refused(RpcRefusal::Overloaded));
        }
        self.reads.pending.push(read);
        self.confirm_next();
    }

    fn confirm_next(&mut self) {
        if self.reads.confirming.is_some() || self.reads.pending.is_empty() {
            return;
        }
        let ticket = self.next_ticket();
        let reads = std::mem::take(&mut self.reads.pending);
        self.reads.confirming = Some((ticket, reads));
        self.queue.push_back(QuorumEvent::ConfirmRead { ticket });
    }

    pub(super) fn read_confirmed(&mut self, ticket: ReplyTicket) {
        let confirming = self.reads.confirming.take_if(|(waiting, _)| *waiting == ticket);
        for read in confirming.into_iter().flat_map(|(_, reads)| reads) {
            match read {
                WaitingRead::Heartbeat(waiting) => self.answer_heartbeat(*waiting),
                WaitingRead::Table { ticket, pull, revision } => {
                    self.answer_table_pull(ticket, &pull, revision);
                }
                WaitingRead::Operator { ticket, call } => {
                    let answer = self.answer_question(&call);
                    self.reply(ticket, NodeReply::Operator(answer));
                }
            }
        }
        self.confirm_next();
    }

    /// Refuses the reads of a failed confirmation round. Returns false if the ticket belongs to no
    /// round.
    pub(super) fn read_rejected(&mut self, ticket: ReplyTicket) -> bool {
        let Some((_, reads)) = self.reads.confirming.take_if(|(waiting, _)| *waiting == ticket)
        else {
            return false;
        };
        reads.into_iter().for_each(|read| self.refuse_read(read));
        self.confirm_next();
        true
    }

    /// Refuses all waiting reads after leadership is lost.
    pub(super) fn refuse_reads(&mut self) {
        let confirming = self.reads.confirming.take().map(|(_, reads)| reads);
        let pending = std::mem::take(&mut self.reads.pending);
        let reads = confirming.into_iter().flatten().chain(pending);
        reads.for_each(|read| self.refuse_read(read));
    }

    fn refuse_read(&mut self, read: WaitingRead) {
        let leader = self.leader_hint().filter(|(replica, _)| *replica != self.core.replica());
        let reply = match &read {
            WaitingRead::Heartbeat(_) => NodeReply::Heartbeat(HeartbeatReply::NotLeader { leader }),
            WaitingRead::Table { .. } => NodeReply::Table(TableReply::NotLeader { leader }),
            WaitingRead::Operator { .. } => {
                NodeReply::Operator(OperatorAnswer::Problem(self.not_leader()))
            }
        };
        self.reply(read.ticket(), reply);
    }
}
