//! Who this process is and what it last heard: the source of every header it sends.

use {
    crate::envelope::{MessageHeader, SenderIdentity, PROTOCOL_VERSION},
    base::{ClockSource, HybridClock, HybridStamp, PeerAddress, RevisionNumber},
    std::sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex, OnceLock,
    },
};

/// Shared by all threads of a process. Makes headers and takes note of received ones.
pub struct ProcessIdentity {
    sender: SenderIdentity,
    clock: Arc<dyn ClockSource>,
    stamps: Mutex<HybridClock>,
    in_force: AtomicU64,
    heard: AtomicU64,
    address: OnceLock<PeerAddress>,
}

impl ProcessIdentity {
    /// The identity of a process that has nothing in force yet.
    pub fn new(sender: SenderIdentity, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            sender,
            clock,
            stamps: Mutex::new(HybridClock::default()),
            in_force: AtomicU64::new(0),
            heard: AtomicU64::new(0),
            address: OnceLock::new(),
        }
    }

    /// Who this process is.
    pub fn sender(&self) -> &SenderIdentity {
        &self.sender
    }

    /// The clock of this process.
    pub fn clock(&self) -> &Arc<dyn ClockSource> {
        &self.clock
    }

    /// Names the address on which this process answers internal calls. Drivers call it once their
    /// internal port is open; later calls change nothing.
    pub fn listen_at(&self, address: PeerAddress) {
        let _ = self.address.set(address);
    }

    /// A header for a message that is about to be sent.
    pub fn header(&self) -> MessageHeader {
        MessageHeader {
            version: PROTOCOL_VERSION,
            sender: self.sender.clone(),
            stamp: self.stamp(),
            revision: self.in_force(),
            address: self.address.get().copied(),
        }
    }

    /// A stamp for a local event.
    pub fn stamp(&self) -> HybridStamp {
        let wall = self.clock.wall();
        self.stamps.lock().expect("a stamp holder never panics").tick(wall)
    }

    /// Takes note of a received header: later stamps are larger, and a newer revision is known of.
    pub fn observe(&self, header: &MessageHeader) {
        let wall = self.clock.wall();
        self.stamps.lock().expect("a stamp holder never panics").receive(wall, header.stamp);
        self.heard.fetch_max(header.revision.0, Ordering::Relaxed);
    }

    /// The revision that this process has in force.
    pub fn in_force(&self) -> RevisionNumber {
        RevisionNumber(self.in_force.load(Ordering::Relaxed))
    }

    /// Puts a revision in force. Lower ones than the present are ignored, so it never reverts.
    pub fn put_in_force(&self, revision: RevisionNumber) {
        self.in_force.fetch_max(revision.0, Ordering::Relaxed);
        self.heard.fetch_max(revision.0, Ordering::Relaxed);
    }

    /// The highest revision that any message has named.
    pub fn highest_heard(&self) -> RevisionNumber {
        RevisionNumber(self.heard.load(Ordering::Relaxed))
    }
}
