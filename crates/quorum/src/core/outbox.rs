//! Messages that leave. Those that promise something wait until it is synced.

use {
    super::QuorumCore,
    crate::{
        interface::QuorumEffect,
        message::{AppendOutcome, MessageBody, QuorumMessage},
    },
    base::{LogIndex, PeerAddress, ReplicaId, TermNumber},
};

/// Who sent a message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MessageSender {
    pub(crate) replica: ReplicaId,
    pub(crate) term: TermNumber,
    pub(crate) reply_to: Option<PeerAddress>,
}

/// A message that waits for a batch to be synced.
#[derive(Debug, Clone)]
pub(crate) struct HeldMessage {
    needs: u64,
    to: ReplicaId,
    address: PeerAddress,
    message: QuorumMessage,
}

impl HeldMessage {
    /// Whether this message says everything that `other` says.
    fn replaces(&self, other: &Self) -> bool {
        self.needs == other.needs
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
    /// Where this replica listens, if the group or the founders name it.
    fn own_address(&self) -> Option<PeerAddress> {
        let own = self.settings.replica;
        let founder = self.settings.founders.iter().find(|member| member.replica == own);
        let latest = self.group.latest().address_of(own);
        let before = self.group.before_open_change(self.committed).address_of(own);
        latest.or(before).or(founder.map(|member| member.address))
    }

    pub(crate) fn message(&self, body: MessageBody) -> QuorumMessage {
        QuorumMessage { term: self.hard_state.term, reply_to: self.own_address(), body }
    }

    /// Sends at once.
    pub(crate) fn send(&mut self, to: ReplicaId, message: QuorumMessage) {
        if let Some(address) = self.group.latest().address_of(to) {
            self.effects.push(QuorumEffect::Send { to, address, message });
        }
    }

    /// Sends to every other voter at once.
    pub(crate) fn send_to_voters(&mut self, message: &QuorumMessage) {
        let own = self.settings.replica;
        let voters: Vec<ReplicaId> = self.group.latest().voters().collect();
        for voter in voters.into_iter().filter(|voter| *voter != own) {
            self.send(voter, message.clone());
        }
    }

    /// Answers at once.
    pub(crate) fn reply(&mut self, sender: MessageSender, message: QuorumMessage) {
        if let Some(address) = self.address_for(sender) {
            self.effects.push(QuorumEffect::Send { to: sender.replica, address, message });
        }
    }

    /// Answers as soon as the term, the vote and every entry up to `index` are synced.
    pub(crate) fn reply_durably(
        &mut self,
        sender: MessageSender,
        index: LogIndex,
        message: QuorumMessage,
    ) {
        match (self.writes.needed_for(index), self.address_for(sender)) {
            (None, _) => self.reply(sender, message),
            (Some(needs), Some(address)) => {
                self.hold(HeldMessage { needs, to: sender.replica, address, message });
            }
            (Some(_), None) => {}
        }
    }

    /// Sends as soon as the term and the vote are synced. A message to this replica itself is
    /// handled then.
    pub(crate) fn send_durably(&mut self, to: ReplicaId, message: QuorumMessage) {
        let Some(address) = self.group.latest().address_of(to) else {
            return;
        };
        match self.writes.needed_for(LogIndex(0)) {
            Some(needs) => self.hold(HeldMessage { needs, to, address, message }),
            None => self.deliver(to, address, message),
        }
    }

    /// Sends what waited for a batch.
    pub(crate) fn release_held(&mut self, number: u64) {
        while let Some(held) = self.held.pop_front_if(|held| held.needs <= number) {
            self.deliver(held.to, held.address, held.message);
        }
    }

    fn deliver(&mut self, to: ReplicaId, address: PeerAddress, message: QuorumMessage) {
        if to == self.settings.replica {
            self.dispatch(to, message);
            return;
        }
        self.effects.push(QuorumEffect::Send { to, address, message });
    }

    fn hold(&mut self, held: HeldMessage) {
        match self.held.back_mut() {
            Some(last) if held.replaces(last) => *last = held,
            _ => self.held.push_back(held),
        }
    }

    fn address_for(&self, sender: MessageSender) -> Option<PeerAddress> {
        sender.reply_to.or_else(|| self.group.latest().address_of(sender.replica))
    }
}
