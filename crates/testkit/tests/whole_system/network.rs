//! Messages between processes, which the network loses, delays, repeats or cuts off.

use {
    crate::processes::FleetProcess,
    base::{PeerAddress, ReplicaId, RevisionNumber, SeededRandom},
    control::node::{NodeReply, OperatorCall},
    proto::messages::{
        AgentHeartbeat, DeclarationBundle, DispatchId, DispatchReply, DispatchRequest, FenceReply,
        FenceRequest, LedgerClaim, LedgerClose, TablePull,
    },
    quorum::QuorumMessage,
    routing::FlightNumber,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A call between processes.
#[derive(Debug, Clone)]
pub enum Call {
    Heartbeat(Box<AgentHeartbeat>),
    Table(TablePull),
    Claim(LedgerClaim),
    Close(LedgerClose),
    Operator(OperatorCall),
    Dispatch(Box<DispatchRequest>),
    Fence(FenceRequest),
    Pull { known: RevisionNumber },
}

/// The reply to a call.
#[derive(Debug, Clone)]
pub enum Reply {
    Control(NodeReply),
    Dispatch(Box<DispatchReply>),
    Fence(FenceReply),
    Declarations(Option<DeclarationBundle>),
}

/// What the caller does with the reply.
#[derive(Debug, Clone)]
pub enum Purpose {
    Dispatch(FlightNumber),
    Claim { flight: FlightNumber, claim: LedgerClaim },
    Close(DispatchId),
    Fence(FlightNumber),
    Table,
    Pull,
    Heartbeat(u64),
    Operator(String),
}

/// A call without a known outcome.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub from: FleetProcess,
    pub incarnation: u64,
    pub peer: PeerAddress,
    pub purpose: Purpose,
}

/// An event that is scheduled to happen.
#[derive(Debug, Clone)]
pub enum ScheduledEvent {
    Quorum {
        from: ReplicaId,
        to: ReplicaId,
        message: Box<QuorumMessage>,
    },
    Call {
        from: FleetProcess,
        to: FleetProcess,
        to_incarnation: u64,
        id: u64,
        revision: RevisionNumber,
        call: Call,
    },
    Reply {
        from: FleetProcess,
        to: FleetProcess,
        id: u64,
        revision: RevisionNumber,
        reply: Reply,
    },
    Timeout {
        id: u64,
    },
    Written {
        at: u16,
        incarnation: u64,
        number: u64,
    },
    ExecutorDone {
        agent: u16,
        incarnation: u64,
        dispatch: DispatchId,
    },
}

/// The present faults of the network: the longest delay, and the probabilities of loss and
/// repetition.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    pub delay: Duration,
    pub loss: f64,
    pub repeat: f64,
}

/// A fake network that delivers events in the order of their times.
#[derive(Debug)]
pub struct FakeNetwork {
    pub faults: NetworkFaults,
    /// Links on which nothing passes, as sender and receiver.
    pub cuts: BTreeSet<(FleetProcess, FleetProcess)>,
    events: BTreeMap<(Duration, u64), ScheduledEvent>,
    last_number: u64,
    random: SeededRandom,
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            faults: NetworkFaults::default(),
            cuts: BTreeSet::new(),
            events: BTreeMap::new(),
            last_number: 0,
            random: SeededRandom::new(seed),
        }
    }

    /// Returns a number that was never returned before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends a message, subject to the faults.
    pub fn send(&mut self, now: Duration, event: ScheduledEvent) {
        if self.random.chance(self.faults.loss) || self.is_cut(&event) {
            return;
        }
        let longest = self.faults.delay;
        if self.random.chance(self.faults.repeat) {
            let delay = self.random.duration_between(Duration::ZERO, longest * 8);
            self.schedule(now + delay, event.clone());
        }
        let delay = self.random.duration_between(Duration::ZERO, longest);
        self.schedule(now + delay, event);
    }

    /// Schedules an event that no fault drops.
    pub fn schedule(&mut self, when: Duration, event: ScheduledEvent) {
        let number = self.next_number();
        self.events.insert((when, number), event);
    }

    /// Removes and returns the next event that is due. Drops messages on links that are cut.
    pub fn pop_due(&mut self, now: Duration) -> Option<ScheduledEvent> {
        loop {
            let entry = self.events.first_entry()?;
            if entry.key().0 > now {
                return None;
            }
            let event = entry.remove();
            if !self.is_cut(&event) {
                return Some(event);
            }
        }
    }

    fn is_cut(&self, event: &ScheduledEvent) -> bool {
        let link = match event {
            ScheduledEvent::Quorum { from, to, .. } => {
                (FleetProcess::of_replica(*from), FleetProcess::of_replica(*to))
            }
            ScheduledEvent::Call { from, to, .. } | ScheduledEvent::Reply { from, to, .. } => {
                (*from, *to)
            }
            ScheduledEvent::Timeout { .. }
            | ScheduledEvent::Written { .. }
            | ScheduledEvent::ExecutorDone { .. } => {
                return false;
            }
        };
        self.cuts.contains(&link)
    }
}
