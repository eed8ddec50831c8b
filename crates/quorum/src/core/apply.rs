//! Hands committed entries to the caller.

use {
    super::{role::RoleState, QuorumCore},
    crate::interface::QuorumEffect,
    base::ReplicaId,
};

impl QuorumCore {
    /// Applies every entry that is committed and synced on this replica.
    pub(crate) fn apply_committed(&mut self) {
        let last = self.committed.min(self.writes.stable());
        while self.applied < last {
            let Some(entry) = self.log.entry(self.applied.next()).cloned() else {
                return;
            };
            let index = entry.index;
            self.applied = index;
            self.effects.push(QuorumEffect::Apply(entry));
            let RoleState::Leader(leader) = &mut self.role else {
                continue;
            };
            if let Some(ticket) = leader.proposals.remove(&index) {
                self.effects.push(QuorumEffect::Committed { ticket, index });
            }
        }
        self.request_snapshot();
        self.step_down_if_removed();
    }

    fn request_snapshot(&mut self) {
        let uncompacted = self.applied.0 - self.log.snapshot_index().0;
        if self.snapshot_requested || uncompacted < self.settings.snapshot_every {
            return;
        }
        self.snapshot_requested = true;
        self.effects.push(QuorumEffect::TakeSnapshot);
    }

    /// Makes a leader that is no longer a voter after a committed change notify the others and step
    /// down.
    fn step_down_if_removed(&mut self) {
        if !matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        let group = self.group.latest();
        if group.is_voter(self.settings.replica) || group.index > self.applied {
            return;
        }
        let peers: Vec<ReplicaId> = group.members.iter().map(|member| member.replica).collect();
        for peer in peers {
            self.send_empty_append(peer);
        }
        self.become_follower(None);
    }
}
