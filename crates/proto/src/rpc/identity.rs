//! The identity of this process and the latest state it has received: the source of the headers of
//! its messages.

use {
    crate::envelope::{MessageHeader, SenderIdentity, PROTOCOL_VERSION},
    base::{ClockSource, HybridClock, HybridStamp, PeerAddress, RevisionNumber},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, OnceLock,
    },
};

/// Creates headers for outgoing messages and records received ones. Shared by all threads of a
/// process.
pub struct ProcessIdentity {
    sender: SenderIdentity,
    clock: Arc<dyn ClockSource>,
    stamps: Mutex<HybridClock>,
    in_force: AtomicU64,
    highest_seen: AtomicU64,
    address: OnceLock<PeerAddress>,
}

impl ProcessIdentity {
    /// Creates the identity of a process that has no revision in force yet.
    pub fn new(sender: SenderIdentity, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            sender,
            clock,
            stamps: Mutex::new(HybridClock::default()),
            in_force: AtomicU64::new(0),
            highest_seen: AtomicU64::new(0),
            address: OnceLock::new(),
        }
    }

    /// Returns the identity under which this process sends messages.
    pub fn sender(&self) -> &SenderIdentity {
        &self.sender
    }

    /// Returns the clock of this process.
    pub fn clock(&self) -> &Arc<dyn ClockSource> {
        &self.clock
    }

    /// Sets the address on which this process accepts internal calls. Drivers call it once their
    /// internal port is open; later calls have no effect.
    pub fn listen_at(&self, address: PeerAddress) {
        let _ = self.address.set(address);
    }

    /// Returns a header for an outgoing message.
    pub fn header(&self) -> MessageHeader {
        MessageHeader {
            version: PROTOCOL_VERSION,
            sender: self.sender.clone(),
            stamp: self.stamp(),
            revision: self.in_force(),
            address: self.address.get().copied(),
        }
    }

    /// Returns a timestamp for a local event.
    pub fn stamp(&self) -> HybridStamp {
        let wall = self.clock.wall();
        self.stamps.lock().expect("no thread panics while it holds the stamps").tick(wall)
    }

    /// Records a received header: later timestamps are greater than its own, and its revision
    /// counts towards the highest revision seen.
    pub fn observe(&self, header: &MessageHeader) {
        let wall = self.clock.wall();
        self.stamps
            .lock()
            .expect("no thread panics while it holds the stamps")
            .receive(wall, header.stamp);
        self.highest_seen.fetch_max(header.revision.0, Ordering::Relaxed);
    }

    /// Returns the revision that this process has in force.
    pub fn in_force(&self) -> RevisionNumber {
        RevisionNumber(self.in_force.load(Ordering::Relaxed))
    }

    /// Puts a revision in force. Ignores a revision lower than the current one, so that a process
    /// never reverts.
    pub fn put_in_force(&self, revision: RevisionNumber) {
        self.in_force.fetch_max(revision.0, Ordering::Relaxed);
        self.highest_seen.fetch_max(revision.0, Ordering::Relaxed);
    }

    /// Returns the highest revision that any received message has named or that this process has in
    /// force.
    pub fn highest_seen(&self) -> RevisionNumber {
        RevisionNumber(self.highest_seen.load(Ordering::Relaxed))
    }
}
