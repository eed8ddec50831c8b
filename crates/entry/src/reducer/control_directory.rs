//! Selects the member of the control group to call.

use base::PeerAddress;

/// Follows leader hints from members, and tries the members in turn while the leader is unknown.
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

    /// Returns the member to call, or `None` if no member is known.
    pub fn target(&self) -> Option<PeerAddress> {
        self.leader.or_else(|| self.peers.get(self.next).copied())
    }

    /// Records that `peer` answered as the leader.
    pub fn set_leader(&mut self, peer: PeerAddress) {
        self.leader = Some(peer);
        if !self.peers.contains(&peer) {
            self.peers.push(peer);
        }
    }

    /// Records that `peer` is not the leader. Returns true if `peer` named another leader.
    pub fn redirect(&mut self, peer: PeerAddress, hint: Option<PeerAddress>) -> bool {
        let hint = hint.filter(|hint| *hint != peer);
        if self.target() == Some(peer) {
            self.leader = hint;
            self.skip(peer);
        }
        hint.is_some()
    }

    /// Records that `peer` could not be reached or did not answer.
    pub fn mark_failed(&mut self, peer: PeerAddress) {
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
