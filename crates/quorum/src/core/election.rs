//! Elections: a pre-vote that changes no state, then a vote that counts only after it is synced.

use {
    super::{
        outbox::MessageSender,
        progress::PeerProgress,
        role::{LeaderState, RoleState},
        QuorumCore,
    },
    crate::{
        interface::{EntryPayload, HardState, ProposalError},
        message::{MessageBody, VoteRequest},
    },
    base::{LogIndex, ReplicaId, TermNumber},
    std::collections::{BTreeMap, BTreeSet},
};

impl QuorumCore {
    /// Sets the election deadline to a random time between one and two election timeouts from now.
    pub(crate) fn reset_election(&mut self) {
        let shortest = self.settings.election_timeout;
        let delay = self.random.duration_between(shortest, shortest * 2);
        self.election_deadline = self.now + delay;
    }

    /// Asks the voters whether an election would succeed. Without this, a replica that merely lost
    /// contact would raise the term of a working group.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election();
        self.leader = None;
        if self.writes.failed() || !self.may_campaign() {
            return;
        }
        let own = self.settings.replica;
        let granted = BTreeSet::from([own]);
        if self.group.latest().is_quorum(&granted) {
            self.start_election();
            return;
        }
        self.role = RoleState::PreCandidate { granted };
        let mut message = self.message(MessageBody::PreVote(self.vote_request()));
        message.term = self.hard_state.term.next();
        self.send_to_voters(&message);
    }

    /// Whether this replica may start an election. A voter that is being removed may do so until it
    /// knows that its removal is committed: it may be the only one with that entry, without which
    /// no other replica can be elected.
    pub(crate) fn may_campaign(&self) -> bool {
        let own = self.settings.replica;
        let before = self.group.before_pending_change(self.committed);
        self.group.latest().is_voter(own) || before.is_voter(own)
    }

    fn start_election(&mut self) {
        let own = self.settings.replica;
        let term = self.hard_state.term.next();
        self.set_hard_state(HardState { term, voted_for: Some(own) });
        self.reset_election();
        self.leader = None;
        self.role = RoleState::Candidate { granted: BTreeSet::new() };
        let vote = self.message(MessageBody::VoteReply { granted: true });
        self.send_durably(own, vote);
        let request = self.message(MessageBody::Vote(self.vote_request()));
        let voters: Vec<ReplicaId> = self.group.latest().voters().collect();
        for voter in voters.into_iter().filter(|voter| *voter != own) {
            self.send_durably(voter, request.clone());
        }
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest { last_index: self.log.last_index(), last_term: self.log.last_term() }
    }

    pub(crate) fn handle_pre_vote(&mut self, sender: MessageSender, request: VoteRequest) {
        let granted = sender.term > self.hard_state.term
            && !self.has_active_leader()
            && !self.writes.failed()
            && self.may_grant_vote(request);
        let mut message = self.message(MessageBody::PreVoteReply { granted });
        if granted {
            message.term = sender.term;
        }
        self.reply_durably(sender, LogIndex(0), message);
    }

    pub(crate) fn handle_pre_vote_reply(&mut self, sender: MessageSender, granted: bool) {
        if !self.group.latest().is_voter(sender.replica) {
            return;
        }
        if !granted {
            self.adopt_term(sender.term);
            return;
        }
        let expected = sender.term == self.hard_state.term.next();
        let RoleState::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !expected {
            return;
        }
        granted.insert(sender.replica);
        if self.group.latest().is_quorum(granted) {
            self.start_election();
        }
    }

    pub(crate) fn handle_vote(&mut self, sender: MessageSender, request: VoteRequest) {
        if self.writes.failed() || self.has_active_leader() {
            return;
        }
        self.adopt_term(sender.term);
        let may_vote = match self.hard_state.voted_for {
            None => self.leader.is_none(),
            Some(candidate) => candidate == sender.replica,
        };
        let granted =
            sender.term == self.hard_state.term && may_vote && self.may_grant_vote(request);
        if granted && self.hard_state.voted_for.is_none() {
            let vote = HardState { voted_for: Some(sender.replica), ..self.hard_state };
            self.set_hard_state(vote);
            self.reset_election();
        }
        let message = self.message(MessageBody::VoteReply { granted });
        self.reply_durably(sender, LogIndex(0), message);
    }

    pub(crate) fn handle_vote_reply(&mut self, sender: MessageSender, granted: bool) {
        if !self.group.latest().is_voter(sender.replica) {
            return;
        }
        self.adopt_term(sender.term);
        if sender.term != self.hard_state.term || !granted {
            return;
        }
        let RoleState::Candidate { granted } = &mut self.role else {
            return;
        };
        granted.insert(sender.replica);
        if self.group.latest().is_quorum(granted) {
            self.become_leader();
        }
    }

    /// Whether a candidate's log is at least as up to date as this replica's, so that it contains
    /// every entry that may be committed with this replica's acknowledgement. A replica with an
    /// empty log grants no vote to a candidate with entries: its disk may have been lost, with
    /// entries that it had acknowledged.
    fn may_grant_vote(&self, request: VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        let lost_log = self.log.last_index() == LogIndex(0) && request.last_index > LogIndex(0);
        !lost_log && (request.last_term, request.last_index) >= own
    }

    /// Whether this replica leads, or received a message from a leader within the last election
    /// timeout. It then grants no vote to another candidate.
    fn has_active_leader(&self) -> bool {
        let recent =
            self.now.saturating_sub(self.last_leader_contact) < self.settings.election_timeout;
        match &self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && recent,
        }
    }

    /// Becomes a follower in `term` if that is newer than the current term.
    pub(crate) fn adopt_term(&mut self, term: TermNumber) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
            self.become_follower(None);
        }
    }

    /// Follows the leader of this or a newer term. In a newer term, records a vote for the leader,
    /// so that this replica can't vote for another candidate.
    pub(crate) fn follow(&mut self, leader: ReplicaId, term: TermNumber) {
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: Some(leader) });
        }
        self.become_follower(Some(leader));
        self.last_leader_contact = self.now;
    }

    /// Becomes a follower and rejects the proposals and reads that were pending as a leader.
    pub(crate) fn become_follower(&mut self, leader: Option<ReplicaId>) {
        let role = std::mem::replace(&mut self.role, RoleState::Follower);
        if self.leader != leader {
            self.incoming = None;
        }
        self.leader = leader;
        if leader.is_some() {
            self.reset_election();
        }
        let RoleState::Leader(state) = role else {
            return;
        };
        self.reset_election();
        for ticket in state.proposals.into_values() {
            self.reject(ticket, ProposalError::Unresolved);
        }
        for ticket in state.reads.into_tickets() {
            self.reject_not_leader(ticket);
        }
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        if hard_state.term > self.hard_state.term {
            self.deferred.clear();
            self.incoming = None;
        }
        self.hard_state = hard_state;
        self.writes.record_hard_state();
    }

    fn become_leader(&mut self) {
        let own = self.settings.replica;
        let next = self.log.last_index().next();
        let peers = self.group.latest().members.iter().map(|member| member.replica);
        let progress: BTreeMap<ReplicaId, PeerProgress> = peers
            .filter(|peer| *peer != own)
            .map(|peer| (peer, PeerProgress::new(next, self.now)))
            .collect();
        self.leader = Some(own);
        self.role = RoleState::Leader(LeaderState {
            since: self.now,
            first_index: next,
            progress,
            proposals: BTreeMap::new(),
            reads: Default::default(),
        });
        self.append_own(EntryPayload::Empty);
    }
}
