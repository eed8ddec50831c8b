//! Who is sent heartbeats, when, and what of the agent the leader has been told.

use {base::PeerAddress, proto::messages::CommandCursor, std::time::Duration};

/// The time after a failed exchange before another member is tried.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Heartbeats that report something new may follow each other in this part of the interval.
const HURRY_DIVISOR: u32 = 5;
/// Hints that are followed at once, before the pause after a failure applies.
const HINT_LIMIT: u32 = 3;

/// A heartbeat that has not been answered.
#[derive(Debug, Clone)]
pub(super) struct HeartbeatInFlight {
    /// Its number.
    pub(super) sequence: u64,
    /// When it was sent.
    pub(super) sent: Duration,
    /// To whom.
    pub(super) peer: PeerAddress,
    /// The cursor that it named.
    pub(super) cursor: CommandCursor,
    /// The version of the worker's announcement that it carried, or that was told before.
    pub(super) announcement_version: u64,
    /// The version of the endpoints that it carried, or that was told before.
    pub(super) endpoints_version: u64,
}

/// The conversation with the control group.
#[derive(Debug)]
pub(super) struct HeartbeatSchedule {
    peers: Vec<PeerAddress>,
    target: PeerAddress,
    next_peer: usize,
    next_at: Duration,
    last_sent: Option<Duration>,
    hints_followed: u32,
    failures: usize,
    leader: Option<PeerAddress>,
    /// The number of the next heartbeat.
    pub(super) sequence: u64,
    /// The one that waits for its answer.
    pub(super) in_flight: Option<HeartbeatInFlight>,
    /// True when the last exchange failed.
    pub(super) failed: bool,
}

impl HeartbeatSchedule {
    /// A schedule that starts at once with the first of `peers`.
    pub(super) fn new(peers: Vec<PeerAddress>) -> Option<Self> {
        let target = *peers.first()?;
        Some(Self {
            peers,
            target,
            next_peer: 1,
            next_at: Duration::ZERO,
            last_sent: None,
            hints_followed: 0,
            failures: 0,
            leader: None,
            sequence: 1,
            in_flight: None,
            failed: true,
        })
    }

    /// Who is believed to lead.
    pub(super) fn target(&self) -> PeerAddress {
        self.target
    }

    /// True when a heartbeat is to be sent.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// When a heartbeat is to be sent, unless one is in flight.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.in_flight.is_none().then_some(self.next_at)
    }

    /// Takes note of a heartbeat that is being sent.
    pub(super) fn sent(&mut self, now: Duration, in_flight: HeartbeatInFlight) {
        self.sequence += 1;
        self.last_sent = Some(now);
        self.in_flight = Some(in_flight);
    }

    /// The leader answered. True when it is another one than before.
    pub(super) fn answered(&mut self, interval: Duration) -> bool {
        self.failed = false;
        self.failures = 0;
        self.hints_followed = 0;
        self.next_at = self.last_sent.unwrap_or_default() + interval;
        self.leader.replace(self.target) != Some(self.target)
    }

    /// There was no answer: another member is asked after a pause.
    pub(super) fn unanswered(&mut self, now: Duration, interval: Duration) {
        self.failed = true;
        self.turn(now, interval);
    }

    /// The peer does not lead. Whom it names is asked at once, else another after a pause.
    pub(super) fn not_leader(
        &mut self,
        now: Duration,
        interval: Duration,
        hint: Option<PeerAddress>,
    ) {
        self.failed = false;
        match hint.filter(|hint| *hint != self.target && self.hints_followed < HINT_LIMIT) {
            Some(leader) => {
                self.hints_followed += 1;
                self.target = leader;
                self.next_at = now;
            }
            None => self.turn(now, interval),
        }
    }

    /// Something new is to be told soon.
    pub(super) fn hurry(&mut self, interval: Duration) {
        let soon = self.last_sent.map_or(Duration::ZERO, |sent| sent + interval / HURRY_DIVISOR);
        self.next_at = self.next_at.min(soon);
    }

    /// Turns to the next member. Once all have been tried in vain, they are tried no more often
    /// than heartbeats are sent.
    fn turn(&mut self, now: Duration, interval: Duration) {
        self.failures += 1;
        self.hints_followed = 0;
        self.target = self.peers[self.next_peer % self.peers.len()];
        self.next_peer += 1;
        let tried_all = self.failures >= self.peers.len();
        self.next_at = now + if tried_all { interval } else { FAILURE_PAUSE };
    }
}
