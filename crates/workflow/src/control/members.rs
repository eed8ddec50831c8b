//! Membership of the control group: replicas with empty disks join under new ids and replace lost
//! voters.

use {
    super::{
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{event::FlowEvent, message::LinkMessage},
    base::{PeerAddress, ReplicaId, ReplyTicket},
    quorum::{GroupMember, MemberChange, MemberProgress, QuorumEvent},
    std::time::Duration,
};

/// The bits of a replica id that hold a position of the log; the term is above them. The ids of the
/// first members, which are derived from their addresses, fit in these bits, so that they are smaller.
const POSITION_BITS: u32 = 40;
/// Time that a voter may be silent before a learner replaces it. Shorter than the time in which a
/// lost machine has to be replaced, longer than a restart.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval of membership checks. A membership change takes a commit or two.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A request about a replica id that waits for a commit or for a confirmed leadership.
#[derive(Debug, Clone, Copy)]
pub(super) enum IdRequest {
    /// Assigns the id of a learner.
    Assign {
        /// The stream of the joining process.
        session: SessionId,
        /// The id.
        replica: ReplicaId,
    },
    /// Checks whether a process still belongs to the group.
    Check {
        /// The stream of the process.
        session: SessionId,
        /// The id of the process.
        replica: ReplicaId,
        /// The address of the process.
        address: PeerAddress,
    },
}

impl ControlNode {
    /// Expires leases, withdraws starts in cordoned data centres, stores learned interference, moves
    /// latency-critical runs and checks the membership, each when due. Does nothing on a replica that
    /// does not lead.
    pub(super) fn run_periodic_checks(&mut self) {
        if self.leader.is_none() {
            return;
        }
        self.expire_leases();
        self.settle_doubts();
        self.check_cordons();
        self.check_blocked_jobs();
        self.check_unconfirmed_runs();
        self.store_learned();
        self.relocate_runs();
        self.report_durations();
        let due = self.leader.as_ref().is_some_and(|leader| self.now >= leader.members_check_at);
        if due {
            self.check_members();
            self.announce_members();
        }
    }

    /// Sends the group's addresses to all connected entries and agents if they have changed. A
    /// process that stayed connected while every other member was replaced would otherwise know no
    /// address that is still in use when it loses this leader.
    fn announce_members(&mut self) {
        let addresses = self.member_addresses();
        let Some(leader) = &mut self.leader else { return };
        if leader.announced == addresses {
            return;
        }
        leader.announced = addresses;
        let clients: Vec<SessionId> = leader.clients.iter().copied().collect();
        for session in clients {
            self.send_welcome(session);
        }
    }

    /// Handles a process with an empty disk that requests an id. A member at its address that votes
    /// or has stored entries has lost its disk: the leader removes it, and the process has to ask
    /// again. While the member still answers the leader, the request is an outdated one. A learner that
    /// has stored nothing is assigned the same id again. Otherwise the leader adds a learner under a
    /// new id. The process receives its id only once the addition is committed
    /// (`docs/decisions/quorum.md`).
    pub(super) fn handle_join(&mut self, session: SessionId, address: PeerAddress) {
        if self.leader.is_none() {
            self.send_welcome(session);
            return;
        }
        let members = self.core.members();
        let earlier = members.iter().find(|progress| progress.member.address == address);
        match earlier {
            Some(progress) if is_untouched(progress) => {
                self.confirm_admission(session, progress.member.replica);
            }
            Some(progress) if progress.active => {}
            Some(progress) => {
                let member = progress.member;
                self.change_group(MemberChange::Remove { replica: member.replica }, member);
            }
            None => {
                let replica = self.next_replica_id();
                let member = GroupMember { replica, address, voter: false };
                let change = MemberChange::AddLearner { replica, address };
                let ticket = self.change_group(change, member);
                if let Some(leader) = &mut self.leader {
                    leader.id_requests.insert(ticket, IdRequest::Assign { session, replica });
                }
            }
        }
    }

    /// Returns an id that no other leader makes, also if the entry that adds it is lost: the term has
    /// one leader, which appends one entry at each position. Later ids are larger.
    fn next_replica_id(&self) -> ReplicaId {
        let position = self.core.last_index().next();
        ReplicaId((self.core.term().0 << POSITION_BITS) + position.0)
    }

    /// Assigns an id again once a quorum has confirmed this leadership. Another leader may have removed
    /// the learner meanwhile.
    fn confirm_admission(&mut self, session: SessionId, replica: ReplicaId) {
        self.confirm_request(IdRequest::Assign { session, replica });
    }

    /// Handles a process that has an id, and that no leader reaches: the addition of the id may have
    /// been lost with an earlier leader, or its removal was not noticed.
    pub(super) fn check_member(
        &mut self,
        session: SessionId,
        replica: ReplicaId,
        address: PeerAddress,
    ) {
        if self.leader.is_none() {
            self.send_welcome(session);
            return;
        }
        self.confirm_request(IdRequest::Check { session, replica, address });
    }

    fn confirm_request(&mut self, request: IdRequest) {
        let ticket = self.next_ticket();
        if let Some(leader) = &mut self.leader {
            leader.id_requests.insert(ticket, request);
            self.queue.push_back(QuorumEvent::ConfirmRead { ticket });
        }
    }

    /// Answers a request that waited for a commit or for a confirmed leadership. An id is assigned only
    /// if its addition is committed; otherwise the process asks again.
    pub(super) fn finish_id_request(&mut self, ticket: ReplyTicket) {
        let Some(leader) = &mut self.leader else { return };
        let (session, message) = match leader.id_requests.remove(&ticket) {
            Some(IdRequest::Assign { session, replica })
                if self.core.committed_members().iter().any(|member| member.replica == replica) =>
            {
                (session, LinkMessage::Admitted { replica })
            }
            Some(IdRequest::Check { session, replica, address })
                if !self.is_member(replica, address) =>
            {
                let (replica_id, address) = (replica.0, address.to_string());
                let change = "not a member";
                self.record(FlowEvent::MemberChange { replica: replica_id, address, change });
                (session, LinkMessage::Removed { replica })
            }
            _ => return,
        };
        self.effects.push(ControlEffect::Send { session, message });
    }

    /// Whether a replica at an address belongs to the group, or may do so.
    fn is_member(&self, replica: ReplicaId, address: PeerAddress) -> bool {
        let mut members = self.possible_members();
        members.any(|member| (member.replica, member.address) == (replica, address))
    }

    /// Returns the members of the committed group, and those that a change which may still be lost has
    /// added.
    fn possible_members(&self) -> impl Iterator<Item = GroupMember> + '_ {
        let committed = self.core.committed_members();
        let latest = self.core.members().into_iter().map(|progress| progress.member);
        let is_added =
            |new: &GroupMember| committed.iter().all(|member| member.replica != new.replica);
        committed.iter().copied().chain(latest.filter(is_added))
    }

    /// Returns the addresses on which members listen. One whose removal may still be lost is among
    /// them.
    pub fn member_addresses(&self) -> Vec<PeerAddress> {
        let mut addresses: Vec<_> = self.possible_members().map(|member| member.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Notifies a replica that it was removed permanently, which it cannot learn from the log.
    pub(super) fn notify_removed(&mut self, session: SessionId, from: ReplicaId) {
        if self.leader.is_some() && self.core.is_retired(from) {
            let message = LinkMessage::Removed { replica: from };
            self.effects.push(ControlEffect::Send { session, message });
        }
    }

    /// Once a learner is ready, removes one voter that has been silent for too long; a later check
    /// promotes the learner in its place. Promotes a ready learner while the group has fewer voters
    /// than the configured number of tolerated losses requires.
    fn check_members(&mut self) {
        let now = self.now;
        let members = self.core.members();
        let Some(leader) = &mut self.leader else { return };
        leader.members_check_at = now + MEMBERS_CHECK_INTERVAL;
        for progress in &members {
            let replica = progress.member.replica;
            if progress.active {
                leader.silent.remove(&replica);
            } else {
                leader.silent.entry(replica).or_insert(now);
            }
        }
        let wanted = self.settings.tolerated_losses.saturating_mul(2).saturating_add(1);
        let voters: Vec<&MemberProgress> =
            members.iter().filter(|progress| progress.member.voter).collect();
        let ready = members.iter().find(|progress| !progress.member.voter && is_ready(progress));
        let Some(learner) = ready.map(|progress| progress.member) else { return };
        let lost = voters.iter().find(|progress| {
            let since = leader.silent.get(&progress.member.replica);
            since.is_some_and(|since| now.saturating_sub(*since) >= VOTER_TIMEOUT)
        });
        if let Some(lost) = lost.map(|progress| progress.member) {
            self.change_group(MemberChange::Remove { replica: lost.replica }, lost);
        } else if voters.len() < wanted {
            self.change_group(MemberChange::Promote { replica: learner.replica }, learner);
        }
    }

    /// Requests a membership change. The log refuses it while another is in progress; the requester
    /// then has to ask again.
    fn change_group(&mut self, change: MemberChange, member: GroupMember) -> ReplyTicket {
        let name = match change {
            MemberChange::AddLearner { .. } => "learner added",
            MemberChange::Promote { .. } => "promoted",
            MemberChange::Remove { .. } => "removed",
        };
        let address = member.address.to_string();
        self.record(FlowEvent::MemberChange { replica: member.replica.0, address, change: name });
        let ticket = self.next_ticket();
        self.queue.push_back(QuorumEvent::ChangeMembers { ticket, change });
        self.drain_queue();
        ticket
    }
}

/// Returns whether a member is a learner that has stored nothing yet. Its id may be assigned once
/// more.
fn is_untouched(progress: &MemberProgress) -> bool {
    let stored = progress.matched.is_some_and(|matched| matched.0 > 0);
    !progress.member.voter && !stored
}

fn is_ready(progress: &MemberProgress) -> bool {
    progress.active && progress.matched.is_some_and(|matched| matched.0 > 0)
}
