//! The events, effects and settings that the agent's reducer and its driver exchange.

use {
    crate::{
        event::FlowEvent,
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{EndReport, LinkMessage, RunReport, StartOrder, WorkerReport},
    },
    std::{sync::Arc, time::Duration},
};

/// The settings with which an agent starts.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The length of a lease, counted from the sending of the ping to the leader.
    pub lease: Duration,
    /// The address of the executor beside the agent.
    pub executor_address: Arc<str>,
}

/// An executor's answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutorView {
    /// The Unix millisecond at which the answering incarnation began.
    pub started_ms: u64,
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// The current runs.
    pub running: Vec<RunReport>,
    /// Ended runs that the executor may not forget yet.
    pub finished: Vec<EndReport>,
    /// Whether the executor may have more of them, which it lists once it has forgotten these.
    pub more_finished: bool,
    /// The rows of both lists that can't be decoded.
    pub unreadable: Vec<UnreadableRow>,
}

/// A list of an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunList {
    /// The current runs.
    Running,
    /// The ended runs.
    Finished,
}

/// A row of an executor's list that can't be decoded. It stands for no run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableRow {
    /// The list that contains the row.
    pub list: RunList,
    /// The task that the row names, if that much can be read.
    pub task: Option<TaskKey>,
    /// What can't be read, in bounded length.
    pub reason: String,
}

/// The reason why a call to the executor failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// No usable answer arrived. The executor may have carried out the call, or may still do so.
    Unanswered(String),
    /// Another incarnation of the executor answered.
    OtherIncarnation,
    /// The executor has seen a higher fencing token.
    Fenced,
}

/// The reason why an executor refused to start a run. It has not started anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// The executor lacks free capacity.
    NoCapacity,
    /// The lease given with the order had expired.
    Late,
    /// The executor is unhealthy or overloaded.
    Unhealthy,
    /// The executor cannot interpret the order.
    Invalid,
}

/// The outcome of an order to start a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The executor has the run.
    Started,
    /// The executor refused the run and did nothing.
    Refused(StartRefusal),
    /// The executor has already run or stopped this run or a later one.
    Old,
    /// The call failed; see [`CallFailure`].
    Failed(CallFailure),
}

/// An event for the agent's reducer.
#[derive(Debug)]
pub enum AgentEvent {
    /// Time has passed.
    Tick,
    /// A message from the leader has arrived.
    LeaderMessage(LinkMessage),
    /// The stream to the leader has ended.
    LeaderLost,
    /// The executor has described itself in a heartbeat.
    Heartbeat {
        /// The description.
        report: WorkerReport,
        /// The sequence number among the executor's own messages.
        sequence: u64,
    },
    /// A poll of the executor was answered or has failed.
    PollAnswered {
        /// The incarnation that was polled.
        worker: WorkerIncarnation,
        /// The time at which the poll was sent.
        asked: Duration,
        /// The answer, or the reason for its absence.
        result: Result<ExecutorView, CallFailure>,
    },
    /// An order to start a run was answered or has failed.
    StartAnswered {
        /// The incarnation that received the order.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The outcome.
        verdict: StartVerdict,
    },
    /// An order to stop a run was answered or has failed.
    StopAnswered {
        /// The incarnation that received the order.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Whether the executor confirmed the stop.
        stopped: bool,
    },
}

/// A command to the driver. The driver carries out commands in order.
#[derive(Debug)]
pub enum AgentEffect {
    /// Polls the executor: renews its lease, lets it forget recorded ends and reads its lists.
    Poll {
        /// The incarnation to poll.
        worker: WorkerIncarnation,
        /// The fencing token. The executor refuses orders with a lower one than it has seen.
        fence: u64,
        /// The number of the last end that the executor may forget.
        acknowledged: u64,
        /// The time on the executor's clock until which its runs may continue; `None` leaves it
        /// unchanged.
        deadline_ms: Option<u64>,
        /// The time that the executor may wait for an end before it answers.
        wait: Duration,
    },
    /// Starts a run.
    Start {
        /// The order.
        order: StartOrder,
        /// The fencing token. The executor refuses orders with a lower one than it has seen.
        fence: u64,
        /// The time on the executor's clock until which its runs may continue.
        deadline_ms: u64,
    },
    /// Stops a run.
    Stop {
        /// The incarnation that runs the task.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The fencing token. The executor refuses orders with a lower one than it has seen.
        fence: u64,
    },
    /// Throttles a run to a share of its speed.
    Throttle {
        /// The incarnation that runs the task.
        worker: WorkerIncarnation,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The share, in percent; at 0, the run makes no progress.
        percent: u8,
        /// The fencing token. The executor refuses orders with a lower one than it has seen.
        fence: u64,
    },
    /// Sends a message to the leader.
    Send(LinkMessage),
    /// Ends the stream to the leader after all sent messages, and opens a new one: orders in
    /// transit must not arrive.
    Reconnect,
    /// Writes a log line.
    Record(FlowEvent),
}
