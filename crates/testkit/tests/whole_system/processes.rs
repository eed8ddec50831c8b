//! The processes of the fleet and their addresses.

use {
    base::{PeerAddress, ProcessName, ReplicaId, WorkerId},
    std::fmt,
};

pub const REPLICAS: u16 = 3;
pub const ENTRIES: u16 = 2;
pub const AGENTS: u16 = 3;

/// A process of the fleet, or the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FleetProcess {
    Control(u16),
    Entry(u16),
    Agent(u16),
    Operator,
}

impl FleetProcess {
    pub fn all() -> impl Iterator<Item = Self> {
        let controls = (1..=REPLICAS).map(Self::Control);
        controls.chain((1..=ENTRIES).map(Self::Entry)).chain((1..=AGENTS).map(Self::Agent))
    }

    pub fn address(self) -> PeerAddress {
        let port = match self {
            Self::Control(number) => 100 + number,
            Self::Entry(number) => 200 + number,
            Self::Agent(number) => 300 + number,
            Self::Operator => 400,
        };
        PeerAddress(([127, 0, 0, 1], port).into())
    }

    pub fn at(address: PeerAddress) -> Self {
        let port = address.0.port();
        match port / 100 {
            1 => Self::Control(port % 100),
            2 => Self::Entry(port % 100),
            3 => Self::Agent(port % 100),
            _ => Self::Operator,
        }
    }

    pub fn name(self) -> ProcessName {
        self.to_string().parse().expect("a name")
    }

    pub fn replica(self) -> ReplicaId {
        match self {
            Self::Control(number) => ReplicaId(number.into()),
            other => panic!("{other} is no replica"),
        }
    }

    pub fn of_replica(replica: ReplicaId) -> Self {
        Self::Control(u16::try_from(replica.0).expect("a small id"))
    }

    pub fn worker(number: u16) -> WorkerId {
        format!("worker-{number}").parse().expect("a name")
    }
}

impl fmt::Display for FleetProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(number) => write!(f, "control-{number}"),
            Self::Entry(number) => write!(f, "entry-{number}"),
            Self::Agent(number) => write!(f, "agent-{number}"),
            Self::Operator => f.write_str("operator"),
        }
    }
}
