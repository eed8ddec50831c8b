//! Membership changes. Only one replica changes at a time, so that every quorum of the old group
//! intersects every quorum of the new one.

use {
    super::{group::GroupState, progress::PeerProgress, role::RoleState, QuorumCore},
    crate::interface::{ChangeRefusal, EntryPayload, GroupMember, MemberChange, ProposalError},
    base::{ReplicaId, ReplyTicket},
};

/// How many committed entries a learner may lack and still count as caught up. Under load, it
/// always lacks those in flight.
const CAUGHT_UP_LAG: u64 = 64;
/// Heartbeat intervals without a reply after which a replica no longer counts towards the quorum
/// that a change must leave.
const RESPONSE_HEARTBEATS: u32 = 3;

impl QuorumCore {
    pub(crate) fn change_members(&mut self, ticket: ReplyTicket, change: MemberChange) {
        if !self.may_append(ticket) {
            return;
        }
        if self.change_in_progress() {
            self.reject(ticket, ProposalError::ChangeInProgress);
            return;
        }
        let group = match self.group_after(change) {
            Ok(group) => group,
            Err(reason) => {
                self.reject(ticket, ProposalError::ChangeRefused { reason });
                return;
            }
        };
        let GroupState { members, retired, .. } = group;
        let index = self.append_own(EntryPayload::Members { members, retired });
        self.await_commit(index, ticket);
        self.track_members();
    }

    /// Whether a new change must wait until the previous change and an entry of the current term
    /// are committed. Without waiting, two leaders could each start from a group that the other
    /// does not know.
    fn change_in_progress(&self) -> bool {
        let RoleState::Leader(leader) = &self.role else {
            return true;
        };
        self.committed < leader.first_index || self.group.latest().index > self.committed
    }

    fn group_after(&self, change: MemberChange) -> Result<GroupState, ChangeRefusal> {
        let mut group = self.group.latest().clone();
        match change {
            MemberChange::AddLearner { replica, address } => {
                if group.member(replica).is_some() || group.is_retired(replica) {
                    return Err(ChangeRefusal::IdUsed);
                }
                group.members.push(GroupMember { replica, address, voter: false });
            }
            MemberChange::Promote { replica } => {
                let member = find_member(&mut group, replica)?;
                if member.voter {
                    return Err(ChangeRefusal::AlreadyVoter);
                }
                member.voter = true;
                self.check_caught_up(replica)?;
                self.check_quorum_after(&group)?;
            }
            MemberChange::Remove { replica } => {
                let voter = find_member(&mut group, replica)?.voter;
                group.members.retain(|member| member.replica != replica);
                group.retired.push(replica);
                if voter {
                    self.check_quorum_after(&group)?;
                }
            }
        }
        Ok(group)
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeRefusal> {
        let RoleState::Leader(leader) = &self.role else {
            return Err(ChangeRefusal::NotCaughtUp);
        };
        let matched = leader.progress.get(&replica).map_or(0, |progress| progress.matched.0);
        if !self.responds_now(replica) || matched + CAUGHT_UP_LAG < self.committed.0 || matched == 0
        {
            return Err(ChangeRefusal::NotCaughtUp);
        }
        Ok(())
    }

    fn check_quorum_after(&self, group: &GroupState) -> Result<(), ChangeRefusal> {
        if group.voters().next().is_none() {
            return Err(ChangeRefusal::LastVoter);
        }
        let responding = group.voters().filter(|voter| self.responds_now(*voter)).count();
        if responding < group.quorum() {
            return Err(ChangeRefusal::QuorumAtRisk);
        }
        Ok(())
    }

    /// Whether a replica replied within the last few heartbeats.
    fn responds_now(&self, replica: ReplicaId) -> bool {
        self.is_active_within(replica, self.settings.heartbeat * RESPONSE_HEARTBEATS)
    }

    /// Starts replication to new members and stops it to removed ones.
    fn track_members(&mut self) {
        let own = self.settings.replica;
        let next = self.log.last_index().next();
        let RoleState::Leader(leader) = &mut self.role else {
            return;
        };
        let group = self.group.latest();
        leader.progress.retain(|peer, _| group.member(*peer).is_some());
        for member in group.members.iter().filter(|member| member.replica != own) {
            leader
                .progress
                .entry(member.replica)
                .or_insert_with(|| PeerProgress::new(next, self.now));
        }
    }
}

fn find_member(
    group: &mut GroupState,
    replica: ReplicaId,
) -> Result<&mut GroupMember, ChangeRefusal> {
    group
        .members
        .iter_mut()
        .find(|member| member.replica == replica)
        .ok_or(ChangeRefusal::NoSuchReplica)
}
