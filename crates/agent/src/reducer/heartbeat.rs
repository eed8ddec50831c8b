//! Schedules heartbeats: to which member of the control group, and when.

use {base::PeerAddress, proto::messages::CommandCursor, std::time::Duration};

/// The time after a failed exchange before the agent tries another member.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The interval between heartbeats that report changes is the regular interval divided by this.
const EXPEDITE_DIVISOR: u32 = 5;
/// The number of leader hints that the agent follows at once. After that, it pauses as after a
/// failure.
const HINT_LIMIT: u32 = 3;

/// A heartbeat whose answer is pending.
#[derive(Debug, Clone)]
pub(super) struct HeartbeatInFlight {
    /// The heartbeat's sequence number.
    pub(super) sequence: u64,
    /// When the agent sent the heartbeat.
    pub(super) sent: Duration,
    /// The member that the agent sent the heartbeat to.
    pub(super) peer: PeerAddress,
    /// The cursor that the heartbeat carried.
    pub(super) cursor: CommandCursor,
    /// The version of the worker's announcement that the leader has after this heartbeat.
    pub(super) announcement_version: u64,
    /// The version of the endpoints that the leader has after this heartbeat.
    pub(super) endpoints_version: u64,
}

/// The heartbeat exchange with the control group.
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
    /// The sequence number of the next heartbeat.
    pub(super) sequence: u64,
    /// The heartbeat whose answer is pending.
    pub(super) in_flight: Option<HeartbeatInFlight>,
    /// True when the last exchange failed.
    pub(super) failed: bool,
}

impl HeartbeatSchedule {
    /// Creates a schedule that starts at once with the first of `peers`. Returns `None` without
    /// peers.
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

    /// Returns the member that the agent takes for the leader.
    pub(super) fn target(&self) -> PeerAddress {
        self.target
    }

    /// Returns true when a heartbeat is due.
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.in_flight.is_none() && now >= self.next_at
    }

    /// Returns when the next heartbeat is due, or `None` while one is in flight.
    pub(super) fn next_at(&self) -> Option<Duration> {
        self.in_flight.is_none().then_some(self.next_at)
    }

    /// Records a heartbeat that is being sent.
    pub(super) fn record_sent(&mut self, now: Duration, in_flight: HeartbeatInFlight) {
        self.sequence += 1;
        self.last_sent = Some(now);
        self.in_flight = Some(in_flight);
    }

    /// Records an answer of the leader. Returns true when the leader has changed.
    pub(super) fn record_answer(&mut self, interval: Duration) -> bool {
        self.failed = false;
        self.failures = 0;
        self.hints_followed = 0;
        self.next_at = self.last_sent.unwrap_or_default() + interval;
        self.leader.replace(self.target) != Some(self.target)
    }

    /// Records that no answer came. The next heartbeat goes to another member after a pause.
    pub(super) fn record_no_answer(&mut self, now: Duration, interval: Duration) {
        self.failed = true;
        self.try_next_member(now, interval);
    }

    /// Records that the peer is not the leader. The next heartbeat goes at once to the member that
    /// it names, else to another one after a pause.
    pub(super) fn record_not_leader(
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
            None => self.try_next_member(now, interval),
        }
    }

    /// Moves the next heartbeat forward to report a change.
    pub(super) fn expedite_heartbeat(&mut self, interval: Duration) {
        let soon = self.last_sent.map_or(Duration::ZERO, |sent| sent + interval / EXPEDITE_DIVISOR);
        self.next_at = self.next_at.min(soon);
    }

    /// Selects the next member. Once all members have failed, retries are no more frequent than
    /// heartbeats.
    fn try_next_member(&mut self, now: Duration, interval: Duration) {
        self.failures += 1;
        self.hints_followed = 0;
        self.target = self.peers[self.next_peer % self.peers.len()];
        self.next_peer += 1;
        let tried_all = self.failures >= self.peers.len();
        self.next_at = now + if tried_all { interval } else { FAILURE_PAUSE };
    }
}
