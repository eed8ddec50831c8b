//! What passes between the control reducer and its driver.

use {
    crate::{event::FlowEvent, job::FleetConfig, message::LinkMessage, state::StateError},
    base::{PeerAddress, ReplicaId, ReplyTicket},
    quorum::{PersistBatch, QuorumMessage, QuorumSettings},
    std::time::Duration,
};

/// A stream to an entry, an agent or another control process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What a control process is told when it starts.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The settings of its log.
    pub quorum: QuorumSettings,
    /// How long an agent's lease runs from the moment it asked.
    pub lease: Duration,
    /// How long ended jobs are known.
    pub retention: Duration,
    /// How many members may be lost at once while the group goes on.
    pub tolerated_losses: usize,
}

/// Something that happens to a control process.
#[derive(Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick {
        /// Milliseconds of the wall clock, for jobs with a schedule.
        wall_ms: u64,
    },
    /// A batch is synced.
    Persisted {
        /// Its number.
        number: u64,
    },
    /// A batch could not be written.
    PersistFailed {
        /// Its number.
        number: u64,
    },
    /// A message has come.
    Message {
        /// On which stream.
        session: SessionId,
        /// The message.
        message: LinkMessage,
    },
    /// A stream has ended.
    Closed {
        /// Which.
        session: SessionId,
    },
    /// An operator sends a configuration that was checked.
    Configure {
        /// Pairs the answer.
        ticket: ReplyTicket,
        /// The configuration.
        config: FleetConfig,
    },
    /// An operator reads the configuration.
    ReadConfig {
        /// Pairs the answer.
        ticket: ReplyTicket,
    },
    /// Everything that had come was handed over: decide. Gathering what came together makes one
    /// entry of the log serve all of it.
    Settle,
}

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The configuration is in the log.
    Accepted,
    /// The newest configuration as it was sent; `None` before the first.
    Config(Option<Vec<u8>>),
    /// Another process leads.
    NotLeading {
        /// Where it listens, if known.
        leader: Option<PeerAddress>,
    },
    /// Nobody can tell at the moment.
    Unsure,
}

/// What the driver is asked to do, in order.
#[derive(Debug)]
pub enum ControlEffect {
    /// Send a message of the log. Losing it is harmless.
    SendPeer {
        /// The sender.
        from: ReplicaId,
        /// The receiver.
        to: ReplicaId,
        /// Where it listens.
        address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// Send a message on a stream.
    Send {
        /// Which.
        session: SessionId,
        /// The message.
        message: LinkMessage,
    },
    /// Write and sync, then report.
    Persist(PersistBatch),
    /// Answer an operator.
    Answer {
        /// Whom.
        ticket: ReplyTicket,
        /// What.
        answer: OperatorAnswer,
    },
    /// Write a log line.
    Record(FlowEvent),
    /// The log or a snapshot can't be decoded: stop, leaving the files as they are.
    Halt(StateError),
}
