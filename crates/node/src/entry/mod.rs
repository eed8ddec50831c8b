//! The entry's event loop: forwards callers' requests to the leader and matches the answers to
//! them.
//!
//! A request counts as not run only if no leader can have read it: nothing of it was written to a
//! stream, or the process that read it answered that it does not lead.

mod call;
mod stream;

use {
    self::{
        call::{PendingCall, StreamView},
        stream::LeaderStream,
    },
    crate::{
        clock::BootClock,
        leader::{LeaderEvent, LeaderSearch},
        logging::LineLog,
    },
    base::ClockSource,
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

enum EntryInput {
    Leader(LeaderEvent),
    Call(Box<PendingCall>),
    Close { at: Duration },
}

/// Passes callers' requests to the event loop.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: UnboundedSender<EntryInput>,
    ready: Rc<Cell<bool>>,
    clock: BootClock,
}

impl EntryHandle {
    /// Whether the load balancer should send requests here: the entry is connected to a leader, or
    /// was until a few seconds ago.
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
        let pending = PendingCall::new(host, path, call, reply, self.clock.monotonic(), time_limit);
        if self.inputs.send(EntryInput::Call(Box::new(pending))).is_err() {
            return CallerAnswer::Refused;
        }
        answer.await.unwrap_or(CallerAnswer::Unresolved)
    }

    /// Answers every request within `time_limit`, since the process ends then. A connection that
    /// ends without an answer says nothing about its request, even if that was never forwarded.
    pub fn close(&self, time_limit: Duration) {
        let at = self.clock.monotonic() + time_limit;
        // If the event loop has ended, it has dropped its requests, which answers them.
        let _ = self.inputs.send(EntryInput::Close { at });
    }
}

struct EntryLoop {
    clock: BootClock,
    leader: Option<LeaderStream>,
    /// When the last stream to a leader ended.
    lost_at: Duration,
    /// When the process ends, once that is known.
    close_at: Option<Duration>,
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
        lost_at: clock.monotonic(),
        close_at: None,
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
                    Some(EntryInput::Close { at }) => self.close_at = Some(at),
                    None => return,
                },
                _ = ticker.tick() => self.tick(),
            }
        }
    }

    fn handle_leader_event(&mut self, event: LeaderEvent) {
        let now = self.clock.monotonic();
        match event {
            LeaderEvent::Up { sender, .. } => {
                self.leader = Some(LeaderStream::new(sender, now));
                self.ready.set(true);
                self.forward_waiting(now);
            }
            LeaderEvent::Message(message) => {
                let resumed = self.leader.as_mut().is_some_and(|leader| leader.hear(now));
                if let LinkMessage::Answer { sequence, answer } = message {
                    self.handle_answer(sequence, answer);
                }
                if resumed {
                    self.forward_waiting(now);
                }
            }
            LeaderEvent::Down => {
                self.leader = None;
                self.lost_at = now;
                self.calls.values_mut().for_each(PendingCall::leave_stream);
            }
        }
    }

    /// Passes an answer to its caller. After an inconclusive answer the request waits for the next
    /// leader.
    fn handle_answer(&mut self, sequence: u64, answer: CallerAnswer) {
        if answer == CallerAnswer::NotLeading {
            if let Some(leader) = &mut self.leader {
                leader.step_down(self.ticks);
            }
        }
        let Some(pending) = self.calls.get_mut(&sequence) else { return };
        let Some(answer) = pending.conclude(answer) else { return };
        let Some(call) = self.calls.remove(&sequence) else { return };
        // The caller may have disconnected, which its connection has logged.
        let _ = call.reply.send(answer);
    }

    fn handle_call(&mut self, mut call: PendingCall) {
        if call.is_abandoned() {
            return;
        }
        let now = self.clock.monotonic();
        let closed = self.close_at.is_some_and(|at| now >= at);
        if closed || call.is_late(now) || self.calls.len() >= CALLS_LIMIT {
            let _ = call.reply.send(CallerAnswer::Refused);
            return;
        }
        self.last_sequence += 1;
        if let Some(leader) = self.leader.as_mut().filter(|leader| leader.is_usable()) {
            if leader.is_answering(now) {
                call.forward(self.last_sequence, leader);
            } else {
                leader.probe(self.ticks);
            }
        }
        self.calls.insert(self.last_sequence, call);
    }

    /// Forwards the requests that the present stream has not received.
    fn forward_waiting(&mut self, now: Duration) {
        let Some(leader) = self.leader.as_ref().filter(|leader| leader.is_usable()) else { return };
        for (sequence, call) in &mut self.calls {
            if call.may_be_forwarded(now) {
                call.forward(*sequence, leader);
            }
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if let Some(leader) =
            self.leader.as_ref().filter(|_| self.ticks.is_multiple_of(TICKS_PER_PING))
        {
            leader.ping(self.ticks);
        }
        let now = self.clock.monotonic();
        let view = match &self.leader {
            Some(_) => StreamView::Open,
            None => StreamView::LostAt(self.lost_at),
        };
        self.ready.set(self.ready.get() && view.is_ready(now));
        let closing = self.close_at.is_some_and(|at| now + TICK >= at);
        let expired: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| closing || call.is_expired(now, view))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            let Some(call) = self.calls.remove(&sequence) else { continue };
            call.give_up();
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/entry.rs"]
mod tests;
