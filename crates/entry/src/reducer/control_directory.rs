//! Which member of the control group is asked next.

use base::PeerAddress;

/// Follows the leader by its members' hints, and tries one member after the other without one.
#[derive(Debug)]
pub(super) struct ControlDirectory {
    peers: Vec<PeerAddress>,
    next: usize,
    leader: Option<PeerAddress>,
}

impl ControlDirectory {
    pub fn new(peers: Vec<PeerAddress>) -> Self {
        Self { peers, next: 0, leader: None }
    }

    /// Whom to ask; `None` when no member is known at all.
    pub fn target(&self) -> Option<PeerAddress> {
        self.leader.or_else(|| self.peers.get(self.next).copied())
    }

    /// `peer` answered as the leader.
    pub fn is_leader(&mut self, peer: PeerAddress) {
        self.leader = Some(peer);
        if !self.peers.contains(&peer) {
            self.peers.push(peer);
        }
    }

    /// `peer` does not lead. True when it knew who does.
    pub fn not_leader(&mut self, peer: PeerAddress, hint: Option<PeerAddress>) -> bool {
        let hint = hint.filter(|hint| *hint != peer);
        if self.target() == Some(peer) {
            self.leader = hint;
            self.skip(peer);
        }
        hint.is_some()
    }

    /// `peer` could not be reached or did not answer.
    pub fn failed(&mut self, peer: PeerAddress) {
        if self.target() == Some(peer) {
            self.leader = None;
            self.skip(peer);
        }
    }

    fn skip(&mut self, peer: PeerAddress) {
        if self.peers.get(self.next) == Some(&peer) {
            self.next = (self.next + 1) % self.peers.len();
        }
    }
}
