//! What travels between places, and how it is lost, delayed, repeated and cut.

use {
    crate::places::Place,
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

/// A call whose outcome its caller does not know yet.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub from: Place,
    pub life: u64,
    pub peer: PeerAddress,
    pub purpose: Purpose,
}

/// Something that will happen.
#[derive(Debug, Clone)]
pub enum Flight {
    Quorum { from: ReplicaId, to: ReplicaId, message: Box<QuorumMessage> },
    Call { from: Place, to: Place, to_life: u64, id: u64, revision: RevisionNumber, call: Call },
    Reply { from: Place, to: Place, id: u64, revision: RevisionNumber, reply: Reply },
    Timeout { id: u64 },
    Written { at: u16, life: u64, number: u64 },
    ExecutorDone { agent: u16, life: u64, dispatch: DispatchId },
}

/// The faults of the network at present.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    pub delay: Duration,
    pub loss: f64,
    pub repeat: f64,
}

/// The network.
#[derive(Debug)]
pub struct FakeNetwork {
    pub faults: NetworkFaults,
    /// Directions in which nothing passes.
    pub cuts: BTreeSet<(Place, Place)>,
    flights: BTreeMap<(Duration, u64), Flight>,
    last: u64,
    random: SeededRandom,
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            faults: NetworkFaults::default(),
            cuts: BTreeSet::new(),
            flights: BTreeMap::new(),
            last: 0,
            random: SeededRandom::new(seed),
        }
    }

    /// A number that was never given out.
    pub fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Sends something from place to place, subject to the faults.
    pub fn send(&mut self, now: Duration, flight: Flight) {
        if self.random.chance(self.faults.loss) || self.is_cut(&flight) {
            return;
        }
        let longest = self.faults.delay;
        if self.random.chance(self.faults.repeat) {
            let delay = self.random.duration_between(Duration::ZERO, longest * 8);
            self.at(now + delay, flight.clone());
        }
        let delay = self.random.duration_between(Duration::ZERO, longest);
        self.at(now + delay, flight);
    }

    /// Lets something happen for certain.
    pub fn at(&mut self, when: Duration, flight: Flight) {
        let number = self.number();
        self.flights.insert((when, number), flight);
    }

    /// The next thing that is due.
    pub fn due(&mut self, now: Duration) -> Option<Flight> {
        loop {
            let entry = self.flights.first_entry()?;
            if entry.key().0 > now {
                return None;
            }
            let flight = entry.remove();
            if !self.is_cut(&flight) {
                return Some(flight);
            }
        }
    }

    fn is_cut(&self, flight: &Flight) -> bool {
        let way = match flight {
            Flight::Quorum { from, to, .. } => (Place::of_replica(*from), Place::of_replica(*to)),
            Flight::Call { from, to, .. } | Flight::Reply { from, to, .. } => (*from, *to),
            Flight::Timeout { .. } | Flight::Written { .. } | Flight::ExecutorDone { .. } => {
                return false;
            }
        };
        self.cuts.contains(&way)
    }
}
