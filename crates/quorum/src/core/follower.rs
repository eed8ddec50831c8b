//! Follower side of replication: accepts or rejects entries from the leader.

use {
    super::{outbox::MessageSender, QuorumCore},
    crate::{
        interface::LogEntry,
        message::{AppendOutcome, AppendReply, AppendRequest, MessageBody},
    },
    base::LogIndex,
};

impl QuorumCore {
    pub(crate) fn handle_append(&mut self, sender: MessageSender, request: AppendRequest) {
        if sender.term < self.hard_state.term {
            self.reject_append(sender, &request);
            return;
        }
        if !is_contiguous(&request) {
            return;
        }
        self.follow(sender.replica, sender.term);
        if self.writes.failed() {
            return;
        }
        if !self.matches_at(&request) {
            self.reject_append(sender, &request);
            return;
        }
        self.accept_append(sender, request);
    }

    /// Whether the log matches the leader's at the position before the new entries. Committed
    /// entries are the same in the log of every leader, so only later positions are compared.
    fn matches_at(&self, request: &AppendRequest) -> bool {
        request.prev_index <= self.committed
            || self.log.term_at(request.prev_index) == Some(request.prev_term)
    }

    fn accept_append(&mut self, sender: MessageSender, request: AppendRequest) {
        let AppendRequest { prev_index, entries, committed, round, .. } = request;
        let entries_empty = entries.is_empty();
        let last = LogIndex(prev_index.0 + entries.len() as u64);
        for entry in entries {
            self.append_entry(entry);
        }
        self.committed = self.committed.max(committed.min(last));
        if entries_empty {
            // Confirms leadership at once, without waiting for entries that are still being
            // written.
            let matched = last.min(self.writes.stable());
            self.acknowledge(sender, matched, round);
            return;
        }
        self.acknowledge(sender, last, round);
    }

    fn append_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.committed {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        self.group.record_entry(&entry);
        self.log.push(entry);
    }

    fn truncate_from(&mut self, from: LogIndex) {
        self.log.truncate_from(from);
        self.group.truncate_from(from);
        self.writes.record_truncation(from);
    }

    pub(crate) fn acknowledge(&mut self, sender: MessageSender, matched: LogIndex, round: u64) {
        let outcome = AppendOutcome::Accepted { matched };
        let reply = self.message(MessageBody::AppendReply(AppendReply { round, outcome }));
        self.reply_durably(sender, matched, reply);
    }

    fn reject_append(&mut self, sender: MessageSender, request: &AppendRequest) {
        let prev_index = request.prev_index;
        let hint_index = self.log.last_up_to(prev_index, request.prev_term);
        let hint_term = self.log.term_at(hint_index).unwrap_or_default();
        let outcome = AppendOutcome::Rejected { prev_index, hint_index, hint_term };
        let body = MessageBody::AppendReply(AppendReply { round: request.round, outcome });
        let reply = self.message(body);
        self.reply_durably(sender, LogIndex(0), reply);
    }
}

fn is_contiguous(request: &AppendRequest) -> bool {
    let expected = (request.prev_index.0 + 1..).map(LogIndex);
    request.entries.iter().zip(expected).all(|(entry, index)| entry.index == index)
}
