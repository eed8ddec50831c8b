//! Outgoing messages. A message that promises durability waits until the promised state is synced.

use {
    super::QuorumCore,
    crate::{
        interface::QuorumEffect,
        message::{AppendOutcome, MessageBody, QuorumMessage},
    },
    base::{LogIndex, PeerAddress, ReplicaId, TermNumber},
};

/// The sender of a received message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageSender {
    pub(crate) replica: ReplicaId,
    pub(crate) term: TermNumber,
    pub(crate) reply_to: Option<PeerAddress>,
}

/// A message that is deferred until a batch is synced.
#[derive(Debug, Clone)]
pub(crate) struct DeferredMessage {
    required_batch: u64,
    to: ReplicaId,
    address: PeerAddress,
    message: QuorumMessage,
}

impl DeferredMessage {
    /// Whether this message makes the earlier message `other` redundant.
    fn replaces(&self, other: &Self) -> bool {
        self.required_batch == other.required_batch
            && self.to == other.to
            && self.message.term == other.message.term
            && is_acceptance(&self.message)
            && is_acceptance(&other.message)
    }
}

fn is_acceptance(message: &QuorumMessage) -> bool {
    let MessageBody::AppendReply(reply) = &message.body else {
        return false;
    };
    matches!(reply.outcome, AppendOutcome::Accepted { .. })
}

impl QuorumCore {
    /// Returns the address on which this replica listens, if the group or the founders contain it.
    fn own_address(&self) -> Option<PeerAddress> {
        let own = self.settings.replica;
        let founder = self.settings.founders.iter().find(|member| member.replica == own);
        let latest = self.group.latest().address_of(own);
        let before = self.group.before_pending_change(self.committed).address_of(own);
        latest.or(before).or(founder.map(|member| member.address))
    }

    pub(crate) fn message(&self, body: MessageBody) -> QuorumMessage {
        QuorumMessage { term: self.hard_state.term, reply_to: self.own_address(), body }
    }

    /// Sends a message immediately.
    pub(crate) fn send(&mut self, to: ReplicaId, message: QuorumMessage) {
        if let Some(address) = self.group.latest().address_of(to) {
            self.effects.push(QuorumEffect::Send { to, address, message });
        }
    }

    /// Sends a message to every other voter immediately.
    pub(crate) fn send_to_voters(&mut self, message: &QuorumMessage) {
        let own = self.settings.replica;
        let voters: Vec<ReplicaId> = self.group.latest().voters().collect();
        for voter in voters.into_iter().filter(|voter| *voter != own) {
            self.send(voter, message.clone());
        }
    }

    /// Replies immediately.
    pub(crate) fn reply(&mut self, sender: MessageSender, message: QuorumMessage) {
        if let Some(address) = self.address_for(sender) {
            self.effects.push(QuorumEffect::Send { to: sender.replica, address, message });
        }
    }

    /// Replies as soon as the term, the vote and every entry up to `index` are synced.
    pub(crate) fn reply_durably(
        &mut self,
        sender: MessageSender,
        index: LogIndex,
        message: QuorumMessage,
    ) {
        match (self.writes.needed_for(index), self.address_for(sender)) {
            (None, _) => self.reply(sender, message),
            (Some(required_batch), Some(address)) => {
                self.defer(DeferredMessage {
                    required_batch,
                    to: sender.replica,
                    address,
                    message,
                });
            }
            (Some(_), None) => {}
        }
    }

    /// Sends a message as soon as the term and the vote are synced. A message to this replica
    /// itself is then handled directly.
    pub(crate) fn send_durably(&mut self, to: ReplicaId, message: QuorumMessage) {
        let Some(address) = self.group.latest().address_of(to) else {
            return;
        };
        match self.writes.needed_for(LogIndex(0)) {
            Some(required_batch) => {
                self.defer(DeferredMessage { required_batch, to, address, message })
            }
            None => self.deliver(to, address, message),
        }
    }

    /// Sends the messages that were waiting for batch `number` or an earlier one.
    pub(crate) fn send_deferred(&mut self, number: u64) {
        while let Some(deferred) =
            self.deferred.pop_front_if(|deferred| deferred.required_batch <= number)
        {
            self.deliver(deferred.to, deferred.address, deferred.message);
        }
    }

    fn deliver(&mut self, to: ReplicaId, address: PeerAddress, message: QuorumMessage) {
        if to == self.settings.replica {
            self.handle_message(to, message);
            return;
        }
        self.effects.push(QuorumEffect::Send { to, address, message });
    }

    fn defer(&mut self, deferred: DeferredMessage) {
        match self.deferred.back_mut() {
            Some(last) if deferred.replaces(last) => *last = deferred,
            _ => self.deferred.push_back(deferred),
        }
    }

    fn address_for(&self, sender: MessageSender) -> Option<PeerAddress> {
        sender.reply_to.or_else(|| self.group.latest().address_of(sender.replica))
    }
}
