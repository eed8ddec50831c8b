//! The events, effects and settings that the control reducer and its driver exchange.

use {
    crate::{
        event::FlowEvent,
        job::FleetConfig,
        message::LinkMessage,
        plan::LookaheadScope,
        state::{DataCentreName, StateError},
    },
    base::{PeerAddress, ReplicaId, ReplyTicket},
    quorum::{PersistBatch, QuorumMessage, QuorumSettings},
    std::time::Duration,
};

/// The id of a stream to an entry, an agent or another control process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// The settings with which a control process starts.
#[derive(Debug, Clone)]
pub struct ControlSettings {
    /// The settings of the replicated log.
    pub quorum: QuorumSettings,
    /// The length of a worker's lease. The agent counts it from the time at which it sent the ping
    /// that the leader answered.
    pub lease: Duration,
    /// The time for which ended jobs are kept.
    pub retention: Duration,
    /// The number of voters that may be lost at once while the group keeps working.
    pub tolerated_losses: usize,
    /// The work for which placement looks ahead.
    pub look_ahead: LookaheadScope,
}

/// An event for the control reducer.
#[derive(Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick {
        /// Milliseconds of the wall clock, for jobs with a schedule.
        wall_ms: u64,
    },
    /// A batch is synced to disk.
    Persisted {
        /// The number of the batch.
        number: u64,
    },
    /// A batch could not be written.
    PersistFailed {
        /// The number of the batch.
        number: u64,
    },
    /// A message has arrived.
    Message {
        /// The stream of the message.
        session: SessionId,
        /// The message.
        message: LinkMessage,
    },
    /// A stream has ended.
    Closed {
        /// The stream.
        session: SessionId,
    },
    /// An operator sends a configuration, which the driver has checked.
    Configure {
        /// The ticket by which the driver matches the answer.
        ticket: ReplyTicket,
        /// The configuration.
        config: FleetConfig,
    },
    /// An operator reads the configuration.
    ReadConfig {
        /// The ticket by which the driver matches the answer.
        ticket: ReplyTicket,
    },
    /// An operator asks that nothing more be started in a data centre.
    Cordon {
        /// The ticket by which the driver matches the answer.
        ticket: ReplyTicket,
        /// The data centre.
        data_centre: DataCentreName,
    },
    /// An operator withdraws that request.
    LiftCordon {
        /// The ticket by which the driver matches the answer.
        ticket: ReplyTicket,
        /// The data centre.
        data_centre: DataCentreName,
    },
    /// The driver has passed on every event that had arrived: place tasks, and propose the
    /// collected commands. Collecting simultaneous events lets one entry of the log serve all of
    /// them.
    Settle,
}

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// The configuration, the cordon or its lifting is in the log. A configuration takes effect only
    /// if its version is higher than that of the one in force.
    Accepted,
    /// The data centre is not cordoned, because the most data centres that may be are.
    CordonLimit,
    /// The configuration in force, as the operator sent it; `None` before the first.
    Config(Option<Vec<u8>>),
    /// This replica does not lead.
    NotLeading {
        /// The address on which the leader listens, if it is known.
        leader: Option<PeerAddress>,
    },
    /// The outcome is unknown: the log has confirmed neither the proposal nor the leadership.
    Unknown,
}

/// A command to the driver. The driver carries out commands in order.
#[derive(Debug)]
pub enum ControlEffect {
    /// Sends a message of the replicated log to another replica. Losing it is harmless.
    SendPeer {
        /// The sender.
        from: ReplicaId,
        /// The receiver.
        to: ReplicaId,
        /// The address on which the receiver listens.
        address: PeerAddress,
        /// The message.
        message: QuorumMessage,
    },
    /// Sends a message on a stream.
    Send {
        /// The stream.
        session: SessionId,
        /// The message.
        message: LinkMessage,
    },
    /// Writes and syncs a batch. The driver then reports the result.
    Persist(PersistBatch),
    /// Answers an operator.
    Answer {
        /// The ticket of the operator's call.
        ticket: ReplyTicket,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Writes a log line.
    Record(FlowEvent),
    /// Stops the process and leaves the files as they are: the log or a snapshot cannot be decoded.
    Halt(StateError),
}
