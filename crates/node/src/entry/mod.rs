//! The entry's loop: callers' requests, each paired with the leader's answer.

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

/// How often waiting requests are looked at, and the leader is asked every few times.
const TICK: Duration = Duration::from_millis(50);
const TICKS_PER_PING: u64 = 8;
/// How long a request waits for a leader before it is refused as not run. An election that has
/// just begun is not worth it; a stream that is being made anew is.
const LEADER_PATIENCE: Duration = Duration::from_millis(250);
/// How long a request that was passed on waits for another leader when its own is lost: an
/// election and the search for its winner. Its job id makes passing it on again harmless.
const RESEND_PATIENCE: Duration = Duration::from_millis(1500);
/// Requests in progress. Each holds a job of at most a few hundred kilobytes.
const CALLS_LIMIT: usize = 512;

/// What an entry is told when it starts.
#[derive(Debug, Clone)]
pub struct EntrySetup {
    /// Its name.
    pub name: String,
    /// Where control processes may listen.
    pub seeds: Vec<SocketAddr>,
}

struct PendingCall {
    host: String,
    path: String,
    call: CallerCall,
    reply: oneshot::Sender<CallerAnswer>,
    arrived: Duration,
    deadline: Duration,
    /// Whether a leader may have seen it.
    passed_on: bool,
}

enum EntryInput {
    Leader(LeaderEvent),
    Call(Box<PendingCall>),
}

/// Passes callers' requests to the loop.
#[derive(Clone)]
pub struct EntryHandle {
    inputs: UnboundedSender<EntryInput>,
    ready: Rc<Cell<bool>>,
    clock: BootClock,
}

impl EntryHandle {
    /// Whether a leader is reached.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Passes a request on and waits for its answer, which comes within `patience`.
    pub async fn call(
        &self,
        host: String,
        path: String,
        call: CallerCall,
        patience: Duration,
    ) -> CallerAnswer {
        let (reply, answer) = oneshot::channel();
        let arrived = self.clock.monotonic();
        let deadline = arrived + patience;
        let passed_on = false;
        let pending = PendingCall { host, path, call, reply, arrived, deadline, passed_on };
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

/// Starts the loop. Has to be called on a `LocalSet`.
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
                    Some(EntryInput::Leader(event)) => self.take_event(event),
                    Some(EntryInput::Call(call)) => self.take_call(*call),
                    None => return,
                },
                _ = ticker.tick() => self.tick(),
            }
        }
    }

    fn take_event(&mut self, event: LeaderEvent) {
        match event {
            LeaderEvent::Up { sender, .. } => {
                self.leader = Some(sender);
                self.ready.set(true);
                let sequences: Vec<u64> = self.calls.keys().copied().collect();
                for sequence in sequences {
                    self.pass_on(sequence);
                }
            }
            LeaderEvent::Message(LinkMessage::Answer { sequence, answer }) => {
                self.take_answer(sequence, answer);
            }
            LeaderEvent::Message(_) => {}
            LeaderEvent::Down => {
                self.leader = None;
                self.ready.set(false);
            }
        }
    }

    /// An answer that settles nothing leaves the request to the next leader.
    fn take_answer(&mut self, sequence: u64, answer: CallerAnswer) {
        if matches!(answer, CallerAnswer::Unresolved | CallerAnswer::NotLeading) {
            return;
        }
        let Some(call) = self.calls.remove(&sequence) else { return };
        // The caller may have gone; its connection has logged that.
        let _ = call.reply.send(answer);
    }

    fn take_call(&mut self, call: PendingCall) {
        if self.calls.len() >= CALLS_LIMIT {
            let _ = call.reply.send(CallerAnswer::Refused);
            return;
        }
        self.last_sequence += 1;
        self.calls.insert(self.last_sequence, call);
        self.pass_on(self.last_sequence);
    }

    fn pass_on(&mut self, sequence: u64) {
        let (Some(leader), Some(call)) = (&self.leader, self.calls.get_mut(&sequence)) else {
            return;
        };
        let (host, path) = (call.host.clone(), call.path.clone());
        let message = LinkMessage::Call { sequence, host, path, call: call.call.clone() };
        call.passed_on |= leader.send(message);
    }

    fn tick(&mut self) {
        self.ticks += 1;
        if let Some(leader) =
            self.leader.as_ref().filter(|_| self.ticks.is_multiple_of(TICKS_PER_PING))
        {
            leader.send(LinkMessage::Ping { sequence: self.ticks });
        }
        let now = self.clock.monotonic();
        let led = self.leader.is_some();
        let over: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_over(now, led))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in over {
            let Some(call) = self.calls.remove(&sequence) else { continue };
            let answer =
                if call.passed_on { CallerAnswer::Unresolved } else { CallerAnswer::Refused };
            let _ = call.reply.send(answer);
        }
    }
}

impl PendingCall {
    fn is_over(&self, now: Duration, led: bool) -> bool {
        let held = now.saturating_sub(self.arrived);
        let patience = if self.passed_on { RESEND_PATIENCE } else { LEADER_PATIENCE };
        now >= self.deadline || self.reply.is_closed() || (!led && held >= patience)
    }
}
