//! Reads that are answered only once a quorum confirms the lead, so that an isolated replica that
//! still believes to lead neither renews a lease nor answers anybody.
//!
//! A read is confirmed by a round that is issued after the read came. Reads that come while a round
//! is under way share the next one.

use {
    super::{heartbeat::WaitingHeartbeat, ControlNode, NodeReply, OperatorAnswer, OperatorCall},
    base::{ReplyTicket, RevisionNumber},
    proto::{
        messages::{HeartbeatReply, TablePull, TableReply},
        rpc::RpcRefusal,
    },
    quorum::QuorumEvent,
};

/// Reads that may wait at once.
const WAITING_LIMIT: usize = 8192;

/// Something that is answered once the lead is confirmed.
#[derive(Debug)]
pub(super) enum WaitingRead {
    /// A heartbeat.
    Heartbeat(Box<WaitingHeartbeat>),
    /// A pull of the table.
    Table { ticket: ReplyTicket, pull: TablePull, revision: RevisionNumber },
    /// An operator's question.
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

/// The reads that wait.
#[derive(Debug, Default)]
pub(super) struct ReadQueue {
    gathering: Vec<WaitingRead>,
    confirming: Option<(ReplyTicket, Vec<WaitingRead>)>,
}

impl ReadQueue {
    fn len(&self) -> usize {
        self.gathering.len() + self.confirming.as_ref().map_or(0, |(_, reads)| reads.len())
    }
}

impl ControlNode {
    /// Answers a read after the next confirmation.
    pub(super) fn wait_for_confirmation(&mut self, read: WaitingRead) {
        if self.reads.len() >= WAITING_LIMIT {
            return self.reply(read.ticket(), NodeReply::Refused(RpcRefusal::Overloaded));
        }
        self.reads.gathering.push(read);
        self.confirm_next();
    }

    fn confirm_next(&mut self) {
        if self.reads.confirming.is_some() || self.reads.gathering.is_empty() {
            return;
        }
        let ticket = self.next_ticket();
        let reads = std::mem::take(&mut self.reads.gathering);
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

    /// True when the ticket was that of a read.
    pub(super) fn read_rejected(&mut self, ticket: ReplyTicket) -> bool {
        let Some((_, reads)) = self.reads.confirming.take_if(|(waiting, _)| *waiting == ticket)
        else {
            return false;
        };
        reads.into_iter().for_each(|read| self.refuse_read(read));
        self.confirm_next();
        true
    }

    /// The lead is lost: nothing that waits can be answered here.
    pub(super) fn refuse_reads(&mut self) {
        let confirming = self.reads.confirming.take().map(|(_, reads)| reads);
        let gathering = std::mem::take(&mut self.reads.gathering);
        let reads = confirming.into_iter().flatten().chain(gathering);
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
