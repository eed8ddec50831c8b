//! How a leader sends entries to its followers, and what it learns from their answers.

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
        if !self.note_answer(sender) {
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

    /// Notes that a member answered in this term. False when the answer is of no use.
    pub(crate) fn note_answer(&mut self, sender: MessageSender) -> bool {
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
        progress.heard = Some(now);
        true
    }

    /// Sends every follower what it lacks, as far as flow control allows.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.reads.round();
        let young = self.now.saturating_sub(leader.since) < self.settings.election_timeout;
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            let source = BodySource {
                log: &self.log,
                settings: &self.settings,
                committed: self.committed,
                round,
                awake: young || progress.is_active(self.now, self.settings.election_timeout),
            };
            while progress.may_send(self.settings.in_flight) {
                let Some(body) = source.next_body(progress) else {
                    break;
                };
                progress.sent = self.now;
                bodies.push((*peer, body));
            }
        }
        for (peer, body) in bodies {
            let message = self.message(body);
            self.send(peer, message);
        }
    }

    /// Repeats what may have been lost, and shows an idle follower that the leader lives.
    pub(crate) fn send_heartbeat(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        progress.sent = self.now;
        let kept = self.log.term_at(LogIndex(progress.next.0 - 1)).is_some();
        match &progress.mode {
            ProgressMode::Probe { .. } => progress.probe_again(),
            // Messages are outstanding, and the log was compacted past them.
            ProgressMode::Replicate { .. } if !kept => progress.probe_again(),
            ProgressMode::Snapshot(_) => {
                progress.probe_again();
                self.send_bare_append(peer);
            }
            ProgressMode::Replicate { .. } => self.send_bare_append(peer),
        }
    }

    /// Sends an append without entries. Where the logs may differ it builds on position 0, which
    /// is the same everywhere, so that it is always accepted.
    pub(crate) fn send_bare_append(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&peer) else {
            return;
        };
        // A round of reads is no substitute for the probe that a heartbeat repeats: with one round
        // after another a lost probe would never be sent again.
        let prev_index = match progress.mode {
            ProgressMode::Replicate { .. } => {
                progress.sent = self.now;
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

/// What messages to followers are made of.
struct BodySource<'a> {
    log: &'a EntryLog,
    settings: &'a QuorumSettings,
    committed: LogIndex,
    round: u64,
    /// Whether the follower is worth sending entries to before it has answered.
    awake: bool,
}

impl BodySource<'_> {
    /// The next message for a follower, if there is something to say.
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
        let entries = match probing && !self.awake {
            true => Vec::new(),
            false => self.log.slice(progress.next, self.settings.batch_bytes),
        };
        progress.note_sent(LogIndex(prev_index.0 + entries.len() as u64));
        let (committed, round) = (self.committed, self.round);
        let request = AppendRequest { prev_index, prev_term, entries, committed, round };
        Some(MessageBody::Append(request))
    }
}
