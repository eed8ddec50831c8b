//! Leader side of replication: sends entries to followers and processes their replies.

use {
    super::{
        log::EntryLog,
        outbox::MessageSender,
        progress::{PeerProgress, ProgressMode},
        role::RoleState,
        QuorumCore,
    },
    crate::{
        interface::QuorumSettings,
        message::{AppendOutcome, AppendReply, AppendRequest, MessageBody},
    },
    base::{LogIndex, ReplicaId},
};

impl QuorumCore {
    pub(crate) fn handle_append_reply(&mut self, sender: MessageSender, reply: AppendReply) {
        if !self.record_reply(sender) {
            return;
        }
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&sender.replica) else {
            return;
        };
        progress.round = progress.round.max(reply.round);
        match reply.outcome {
            AppendOutcome::Accepted { matched } if matched <= self.log.last_index() => {
                progress.accepted(matched);
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected { prev_index, hint_index, hint_term } => {
                progress.rejected(prev_index, self.log.last_up_to(hint_index, hint_term));
            }
        }
    }

    /// Records that a member replied in the current term. Returns false if the reply must be
    /// ignored.
    pub(crate) fn record_reply(&mut self, sender: MessageSender) -> bool {
        if self.group.latest().member(sender.replica).is_none() {
            return false;
        }
        self.adopt_term(sender.term);
        let now = self.now;
        let RoleState::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.progress.get_mut(&sender.replica) else {
            return false;
        };
        if sender.term != self.hard_state.term {
            return false;
        }
        progress.last_reply = Some(now);
        true
    }

    /// Sends every follower the entries that it lacks, as far as flow control allows.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.reads.round();
        let recently_elected =
            self.now.saturating_sub(leader.since) < self.settings.election_timeout;
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            let source = BodyBuilder {
                log: &self.log,
                settings: &self.settings,
                committed: self.committed,
                round,
                responsive: recently_elected
                    || progress.is_active(self.now, self.settings.election_timeout),
            };
            while progress.may_send(self.settings.in_flight_limit) {
                let Some(body) = source.next_body(progress) else {
                    break;
                };
                progress.last_sent = self.now;
                bodies.push((*peer, body));
            }
        }
        for (peer, body) in bodies {
            let message = self.message(body);
            self.send(peer, message);
        }
    }

    /// Resends what may have been lost, and prevents an idle follower from starting an election.
    pub(crate) fn send_heartbeat(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        progress.last_sent = self.now;
        let in_memory = self.log.term_at(LogIndex(progress.next.0 - 1)).is_some();
        match &progress.mode {
            ProgressMode::Probe { .. } => progress.probe_again(),
            // Messages are outstanding, and the log was compacted past them.
            ProgressMode::Replicate { .. } if !in_memory => progress.probe_again(),
            ProgressMode::Snapshot(_) => {
                progress.probe_again();
                self.send_empty_append(peer);
            }
            ProgressMode::Replicate { .. } => self.send_empty_append(peer),
        }
    }

    /// Sends an append without entries. If the logs may differ, it refers to position 0, which
    /// matches in every log, so that the follower always accepts it.
    pub(crate) fn send_empty_append(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        // A read round must not delay the probe that a heartbeat repeats: with one round after
        // another, a lost probe would never be resent.
        let prev_index = match progress.mode {
            ProgressMode::Replicate { .. } => {
                progress.last_sent = self.now;
                LogIndex(progress.next.0 - 1)
            }
            _ => LogIndex(0),
        };
        let (prev_index, prev_term) = match self.log.term_at(prev_index) {
            Some(term) => (prev_index, term),
            None => Default::default(),
        };
        let request = AppendRequest {
            prev_index,
            prev_term,
            entries: Vec::new(),
            committed: self.committed,
            round: leader.reads.round(),
        };
        let message = self.message(MessageBody::Append(request));
        self.send(peer, message);
    }
}

/// Inputs for building messages to followers.
struct BodyBuilder<'a> {
    log: &'a EntryLog,
    settings: &'a QuorumSettings,
    committed: LogIndex,
    round: u64,
    /// Whether to send entries to a follower whose log is still being probed.
    responsive: bool,
}

impl BodyBuilder<'_> {
    /// Builds the next message for a follower. Returns `None` if there is nothing to send.
    fn next_body(&self, progress: &mut PeerProgress) -> Option<MessageBody> {
        if let ProgressMode::Snapshot(transfer) = &mut progress.mode {
            return Some(transfer.next_chunk(self.settings.snapshot_chunk));
        }
        let prev_index = LogIndex(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            progress.start_snapshot(self.log.snapshot()?.clone());
            return self.next_body(progress);
        };
        let probing = matches!(progress.mode, ProgressMode::Probe { .. });
        if !probing && progress.next > self.log.last_index() {
            return None;
        }
        let entries = match probing && !self.responsive {
            true => Vec::new(),
            false => self.log.slice(progress.next, self.settings.batch_bytes),
        };
        progress.record_sent(LogIndex(prev_index.0 + entries.len() as u64));
        let (committed, round) = (self.committed, self.round);
        let request = AppendRequest { prev_index, prev_term, entries, committed, round };
        Some(MessageBody::Append(request))
    }
}
