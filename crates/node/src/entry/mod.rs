//! The entry's event loop: forwards callers' requests to the leader and matches the answers to
//! them.

use {
    crate::{
        clock::BootClock,
        leader::{LeaderEvent, LeaderSearch},
        logging::LineLog,
    },
    base::ClockSource,
    link::LinkSender,
    std::{cell::Cell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::{
            mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender},
            oneshot,
        },
        time::{interval, MissedTickBehavior},
    },
    workflow::message::{CallerAnswer, CallerCall, LinkMessage},
};

/// How often pending requests are checked. The leader receives a ping every few ticks.
const TICK: Duration = Duration::from_millis(50);
const TICKS_PER_PING: u64 = 8;
/// How long a request waits for a leader before it is refused as not run. Covers a stream that is
/// being reopened, but not an election that has just begun.
const LEADER_WAIT_LIMIT: Duration = Duration::from_millis(250);
/// How long a forwarded request waits for another leader after the loss of its own: an election and
/// the search for the new leader. The job id makes forwarding the request again harmless.
const FAILOVER_WAIT_LIMIT: Duration = Duration::from_millis(1500);
/// The most requests in progress. Each holds a job of at most a few hundred kilobytes.
const CALLS_LIMIT: usize = 512;

/// The settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// The entry's name.
    pub name: String,
    /// Addresses where control processes may listen.
    pub seeds: Vec<SocketAddr>,
}

struct PendingCall {
    host: String,
    path: String,
    call: CallerCall,
    reply: oneshot::Sender<CallerAnswer>,
    arrived: Duration,
    deadline: Duration,
    /// The number of leaders that may have received the request.
    forwards: u32,
}

enum EntryInput {
    Leader(LeaderEvent),
    Call(Box<PendingCall>),
}

/// Passes callers' requests to the event loop.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: UnboundedSender<EntryInput>,
    ready: Rc<Cell<bool>>,
    clock: BootClock,
}

impl EntryHandle {
    /// Whether the entry is connected to a leader.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Forwards a request to the leader and returns the answer, at the latest after `time_limit`.
    pub async fn call(
        &self,
        host: String,
        path: String,
        call: CallerCall,
        time_limit: Duration,
    ) -> CallerAnswer {
        let (reply, answer) = oneshot::channel();
        let arrived = self.clock.monotonic();
        let deadline = arrived + time_limit;
        let forwards = 0;
        let pending = PendingCall { host, path, call, reply, arrived, deadline, forwards };
        if self.inputs.send(EntryInput::Call(Box::new(pending))).is_err() {
            return CallerAnswer::Refused;
        }
        answer.await.unwrap_or(CallerAnswer::Unresolved)
    }
}

struct EntryLoop {
    clock: BootClock,
    leader: Option<LinkSender<LinkMessage>>,
    ready: Rc<Cell<bool>>,
    calls: BTreeMap<u64, PendingCall>,
    last_sequence: u64,
    ticks: u64,
}

/// Starts the event loop. Must be called on a `LocalSet`.
pub fn start_entry(setup: EntrySetup, log: LineLog) -> EntryHandle {
    let (inputs, queue) = unbounded_channel();
    let ready = Rc::new(Cell::new(false));
    let clock = BootClock::new();
    let (name, seeds, reconnect) = (setup.name, setup.seeds, Rc::default());
    let search = LeaderSearch { name, seeds, log, reconnect };
    tokio::task::spawn_local(search.run(inputs.clone(), EntryInput::Leader));
    let running = EntryLoop {
        clock,
        leader: None,
        ready: ready.clone(),
        calls: BTreeMap::new(),
        last_sequence: 0,
        ticks: 0,
    };
    tokio::task::spawn_local(running.run(queue));
    EntryHandle { inputs, ready, clock }
}

impl EntryLoop {
    async fn run(mut self, mut queue: UnboundedReceiver<EntryInput>) {
        let mut ticker = interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = queue.recv() => match input {
                    Some(EntryInput::Leader(event)) => self.handle_leader_event(event),
                    Some(EntryInput::Call(call)) => self.handle_call(*call),
                    None => return,
                },
                _ = ticker.tick() => self.tick(),
            }
        }
    }

    fn handle_leader_event(&mut self, event: LeaderEvent) {
        match event {
            LeaderEvent::Up { sender, .. } => {
                self.leader = Some(sender);
                self.ready.set(true);
                let sequences: Vec<u64> = self.calls.keys().copied().collect();
                for sequence in sequences {
                    self.forward(sequence);
                }
            }
            LeaderEvent::Message(LinkMessage::Answer { sequence, answer }) => {
                self.handle_answer(sequence, answer);
            }
            LeaderEvent::Message(_) => {}
            LeaderEvent::Down => {
                self.leader = None;
                self.ready.set(false);
            }
        }
    }

    /// Passes an answer to its caller. After an inconclusive answer the request waits for the next
    /// leader.
    fn handle_answer(&mut self, sequence: u64, answer: CallerAnswer) {
        let Some(pending) = self.calls.get(&sequence) else { return };
        let Some(answer) = conclude(&pending.call, pending.forwards, answer) else { return };
        let Some(call) = self.calls.remove(&sequence) else { return };
        // The caller may have disconnected, which its connection has logged.
        let _ = call.reply.send(answer);
    }

    fn handle_call(&mut self, call: PendingCall) {
        if self.calls.len() >= CALLS_LIMIT {
            let _ = call.reply.send(CallerAnswer::Refused);
            return;
        }
        self.last_sequence += 1;
        self.calls.insert(self.last_sequence, call);
        self.forward(self.last_sequence);
    }

    fn forward(&mut self, sequence: u64) {
        let (Some(leader), Some(call)) = (&self.leader, self.calls.get_mut(&sequence)) else {
            return;
        };
        let (host, path) = (call.host.clone(), call.path.clone());
        let message = LinkMessage::Call { sequence, host, path, call: call.call.clone() };
        call.forwards += u32::from(leader.send(message));
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if let Some(leader) =
            self.leader.as_ref().filter(|_| self.ticks.is_multiple_of(TICKS_PER_PING))
        {
            leader.send(LinkMessage::Ping { sequence: self.ticks });
        }
        let now = self.clock.monotonic();
        let has_leader = self.leader.is_some();
        let expired: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_expired(now, has_leader))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            let Some(call) = self.calls.remove(&sequence) else { continue };
            let answer =
                if call.forwards > 0 { CallerAnswer::Unresolved } else { CallerAnswer::Refused };
            let _ = call.reply.send(answer);
        }
    }
}

impl PendingCall {
    fn is_expired(&self, now: Duration, has_leader: bool) -> bool {
        let waited = now.saturating_sub(self.arrived);
        let time_limit = if self.forwards > 0 { FAILOVER_WAIT_LIMIT } else { LEADER_WAIT_LIMIT };
        now >= self.deadline || self.reply.is_closed() || (!has_leader && waited >= time_limit)
    }
}

/// Returns what a leader's answer means for the caller; `None` if the next leader has to answer. A
/// leader that refuses a job speaks for itself only: one that received the job before it may have
/// accepted it under an older configuration, and its answer was lost.
fn conclude(call: &CallerCall, forwards: u32, answer: CallerAnswer) -> Option<CallerAnswer> {
    let refuses = matches!(
        answer,
        CallerAnswer::NoQueue | CallerAnswer::Refused | CallerAnswer::Overloaded { .. }
    );
    match (call, answer) {
        (_, CallerAnswer::Unresolved | CallerAnswer::NotLeading) => None,
        (CallerCall::Submit(_), _) if refuses && forwards > 1 => Some(CallerAnswer::Unresolved),
        (_, answer) => Some(answer),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/entry.rs"]
mod tests;
