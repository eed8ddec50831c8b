//! The entry's stream to a leader.

use {
    link::{LinkSender, SendTicket},
    std::time::Duration,
    workflow::message::LinkMessage,
};

/// How long ago the leader may have sent something for a request to be forwarded without a probe.
/// A request that is written to a stalled leader can no longer be refused as not run. A probe costs
/// a round trip between data centres, about 11 ms, and only where an entry is idle that long.
const PROBE_AFTER: Duration = Duration::from_millis(150);

/// An open stream to a leader.
#[derive(Debug)]
pub(super) struct LeaderStream {
    sender: LinkSender<LinkMessage>,
    /// When the leader last sent something.
    heard_at: Duration,
    /// Whether requests wait until the leader sends something.
    probing: bool,
    /// Whether the process has not denied that it leads.
    leading: bool,
}

impl LeaderStream {
    pub(super) fn new(sender: LinkSender<LinkMessage>, now: Duration) -> Self {
        Self { sender, heard_at: now, probing: false, leading: true }
    }

    /// Returns whether requests may be sent: the process has not denied that it leads.
    pub(super) fn is_usable(&self) -> bool {
        self.leading
    }

    /// Returns whether the leader has sent something recently.
    pub(super) fn is_answering(&self, now: Duration) -> bool {
        !self.probing && now.saturating_sub(self.heard_at) <= PROBE_AFTER
    }

    /// Records that the leader has sent something. Returns whether requests have waited for that.
    pub(super) fn hear(&mut self, now: Duration) -> bool {
        self.heard_at = now;
        std::mem::take(&mut self.probing)
    }

    /// Asks the leader for a sign of life, unless it was asked already.
    pub(super) fn probe(&mut self, sequence: u64) {
        if !std::mem::replace(&mut self.probing, true) {
            self.ping(sequence);
        }
    }

    /// Sends no more requests. The process answers the ping with the present leader, after which
    /// the search goes on there.
    pub(super) fn step_down(&mut self, sequence: u64) {
        if std::mem::replace(&mut self.leading, false) {
            self.ping(sequence);
        }
    }

    pub(super) fn ping(&self, sequence: u64) {
        self.sender.send(LinkMessage::Ping { sequence });
    }

    pub(super) fn send(&self, message: LinkMessage) -> Option<SendTicket> {
        self.sender.send_tracked(message)
    }
}
