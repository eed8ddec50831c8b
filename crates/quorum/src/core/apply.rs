//! Hands committed entries to the caller.

use {
    super::{log::entry_bytes, role::RoleState, QuorumCore},
    crate::interface::QuorumEffect,
    base::ReplicaId,
};

/// Size of the applied entries after a snapshot at which the next one is taken, whatever their
/// number, in bytes. Few large entries would otherwise fill the disk. A snapshot that is larger
/// itself has to be outgrown.
const SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

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
            self.uncompacted_bytes += entry_bytes(&entry);
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
        let snapshot_bytes = self.log.snapshot().map_or(0, |snapshot| snapshot.data.len());
        let due = uncompacted >= self.settings.snapshot_every
            || self.uncompacted_bytes >= SNAPSHOT_BYTES.max(snapshot_bytes);
        if self.snapshot_requested || !due {
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
