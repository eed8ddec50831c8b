//! How committed entries reach the caller.

use {
    super::{role::RoleState, QuorumCore},
    crate::interface::QuorumEffect,
    base::ReplicaId,
};

impl QuorumCore {
    /// Hands over every entry that is committed and synced here.
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
        self.ask_for_snapshot();
        self.leave_if_removed();
    }

    fn ask_for_snapshot(&mut self) {
        let gathered = self.applied.0 - self.log.snapshot_index().0;
        if self.snapshot_asked || gathered < self.settings.snapshot_every {
            return;
        }
        self.snapshot_asked = true;
        self.effects.push(QuorumEffect::TakeSnapshot);
    }

    /// A leader whose own removal is committed tells the others so and gives up the lead.
    fn leave_if_removed(&mut self) {
        if !matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        let group = self.group.latest();
        if group.is_voter(self.settings.replica) || group.index > self.applied {
            return;
        }
        let peers: Vec<ReplicaId> = group.members.iter().map(|member| member.replica).collect();
        for peer in peers {
            self.send_bare_append(peer);
        }
        self.become_follower(None);
    }
}
