//! Whether a queued message has been written, and its withdrawal before that.

use std::sync::{
    atomic::{AtomicU8, Ordering},
    Arc,
};

const QUEUED: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// A queued message of which its sender has to know whether the peer may have read it. The message
/// counts as written as soon as the operating system has taken its first byte.
#[derive(Debug, Clone)]
pub struct SendTicket {
    state: Arc<AtomicU8>,
}

impl SendTicket {
    pub(crate) fn new() -> Self {
        Self { state: Arc::new(AtomicU8::new(QUEUED)) }
    }

    /// Withdraws the message unless it counts as written. Returns true if nothing of it was written
    /// and nothing will be: the peer has not read it and never will.
    pub fn withdraw(&self) -> bool {
        self.change(QUEUED, WITHDRAWN) || self.state.load(Ordering::Acquire) == WITHDRAWN
    }

    /// Reserves the message for a write. Returns false if it was withdrawn.
    pub(crate) fn claim(&self) -> bool {
        self.change(QUEUED, WRITTEN)
    }

    /// Ends a claim after a write that did not reach the message.
    pub(crate) fn release(&self) {
        self.change(WRITTEN, QUEUED);
    }

    fn change(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}
