//! A caller's request that waits for its answer.

use {
    super::stream::LeaderStream,
    link::SendTicket,
    std::time::Duration,
    tokio::sync::oneshot,
    workflow::message::{CallerAnswer, CallerCall, LinkMessage},
};

/// How long a request that no leader can have read waits while there is no stream to a leader.
/// Covers a stream that is being reopened, but not an election that has just begun.
const LEADER_WAIT_LIMIT: Duration = Duration::from_millis(250);
/// How long such a request waits for a sign of life on an open stream. Control replaces a leader
/// that has stalled for that long, the election timeout.
const SILENCE_WAIT_LIMIT: Duration = Duration::from_millis(600);
/// How long a request that a leader may have read waits for the next leader after the loss of the
/// stream: an election after an outage of most of the group. The job id makes forwarding the
/// request again harmless, and every other answer would leave the caller without an outcome.
const FAILOVER_WAIT_LIMIT: Duration = Duration::from_millis(5000);
/// How long a leader may need for an answer: the commit takes two disk syncs and a round trip
/// between data centres. A request that has waited is not forwarded later than this before its
/// deadline, because it would probably end without an outcome.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// How long an entry without a leader still reports that it is ready. An outage of the control group
/// takes the leader from all entries at once, and a load balancer without a ready entry answers 502
/// itself, after which callers may not retry. Longer than an election after an outage of 2 s or 3 s.
/// An entry that is cut off alone sends callers away with 503 for that long.
const READY_GRACE: Duration = Duration::from_millis(4000);

/// What a request needs to know about the stream to the leader.
#[derive(Debug, Clone, Copy)]
pub(super) enum StreamView {
    Open,
    LostAt(Duration),
}

impl StreamView {
    /// Returns whether an entry that was ready still is.
    pub(super) fn is_ready(self, now: Duration) -> bool {
        match self {
            Self::Open => true,
            Self::LostAt(lost_at) => now.saturating_sub(lost_at) < READY_GRACE,
        }
    }
}

pub(super) struct PendingCall {
    host: String,
    path: String,
    call: CallerCall,
    pub(super) reply: oneshot::Sender<CallerAnswer>,
    arrived: Duration,
    deadline: Duration,
    /// The message on the present stream, unless the process there has answered that it does not
    /// lead.
    ticket: Option<SendTicket>,
    /// Whether a leader on an earlier stream may have read the request.
    exposed: bool,
}

impl PendingCall {
    pub(super) fn new(
        host: String,
        path: String,
        call: CallerCall,
        reply: oneshot::Sender<CallerAnswer>,
        now: Duration,
        time_limit: Duration,
    ) -> Self {
        let deadline = now.saturating_add(time_limit);
        Self { host, path, call, reply, arrived: now, deadline, ticket: None, exposed: false }
    }

    /// Queues the request on a stream.
    pub(super) fn forward(&mut self, sequence: u64, leader: &LeaderStream) {
        let (host, path) = (self.host.clone(), self.path.clone());
        let message = LinkMessage::Call { sequence, host, path, call: self.call.clone() };
        self.ticket = leader.send(message);
    }

    /// Returns whether no answer can arrive before the deadline.
    pub(super) fn is_late(&self, now: Duration) -> bool {
        now >= self.deadline
    }

    /// Returns whether the caller has closed its connection, so that nobody takes an answer.
    pub(super) fn is_abandoned(&self) -> bool {
        self.reply.is_closed()
    }

    /// Returns whether a request that has waited may be forwarded on the present stream: it was not
    /// yet, its caller is there, and an answer can arrive in time. One that a leader may have read has
    /// nothing to lose by a late answer.
    pub(super) fn may_be_forwarded(&self, now: Duration) -> bool {
        let in_time = self.exposed || now + ANSWER_TIME < self.deadline;
        self.ticket.is_none() && !self.is_abandoned() && in_time
    }

    /// Notes the end of the present stream, and withdraws the request from it if it is unwritten.
    pub(super) fn leave_stream(&mut self) {
        self.exposed |= self.ticket.take().is_some_and(|ticket| !ticket.withdraw());
    }

    /// Returns what a leader's answer means for the caller; `None` if the next leader has to
    /// answer. A leader that refuses a request speaks for itself only: one that received the request
    /// before it may have carried it out under an older configuration, and its answer was lost. A
    /// process that does not lead has done nothing.
    pub(super) fn conclude(&mut self, answer: CallerAnswer) -> Option<CallerAnswer> {
        let refuses = matches!(
            answer,
            CallerAnswer::NoQueue | CallerAnswer::Refused | CallerAnswer::Overloaded { .. }
        );
        match (&self.call, answer) {
            (_, CallerAnswer::NotLeading) => {
                self.ticket = None;
                None
            }
            (_, CallerAnswer::Unresolved) => None,
            (CallerCall::Submit(_) | CallerCall::Cancel, _) if refuses && self.exposed => {
                Some(CallerAnswer::Unresolved)
            }
            (_, answer) => Some(answer),
        }
    }

    /// Returns whether the request has nothing more to wait for.
    pub(super) fn is_expired(&self, now: Duration, stream: StreamView) -> bool {
        if self.is_late(now) || self.is_abandoned() {
            return true;
        }
        let forwarded = self.exposed || self.ticket.is_some();
        let (since, time_limit) = match stream {
            StreamView::Open if forwarded => return false,
            StreamView::Open => (self.arrived, SILENCE_WAIT_LIMIT),
            StreamView::LostAt(lost_at) if forwarded => (lost_at, FAILOVER_WAIT_LIMIT),
            StreamView::LostAt(lost_at) => (lost_at, LEADER_WAIT_LIMIT),
        };
        let waited = now.saturating_sub(since.max(self.arrived));
        waited >= time_limit || (!forwarded && !self.may_be_forwarded(now))
    }

    /// Answers a request that has not received an answer: as not run if no leader can have read it.
    pub(super) fn give_up(mut self) {
        self.leave_stream();
        let answer = if self.exposed { CallerAnswer::Unresolved } else { CallerAnswer::Refused };
        // The caller may have disconnected, which its connection has logged.
        let _ = self.reply.send(answer);
    }

    #[cfg(test)]
    pub(super) fn set_exposed(&mut self, exposed: bool) {
        self.exposed = exposed;
    }
}
