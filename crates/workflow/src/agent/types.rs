//! What passes between the agent's reducer and its driver.

use {
    crate::{
        event::FlowEvent,
        job::{RunNumber, TaskKey, WorkerLife},
        message::{EndReport, LinkMessage, RunReport, StartOrder, WorkerReport},
    },
    std::{sync::Arc, time::Duration},
};

/// What an agent is told when it starts.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// How long a lease runs from the moment at which the leader was asked.
    pub lease: Duration,
    /// Where the executor beside the agent answers.
    pub place: Arc<str>,
}

/// What an executor says of its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldView {
    /// When the answering life began, in Unix milliseconds.
    pub born: u64,
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunReport>,
    /// What has ended and is not noted.
    pub finished: Vec<EndReport>,
}

/// Why a call of the executor brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// No usable answer came: the call may have been carried out, or may yet be.
    Unanswered(String),
    /// Another life of the executor answered.
    OtherLife,
    /// The executor has seen a higher fence.
    Fenced,
}

/// Why an executor did not start a run. It has done nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRefusal {
    /// There is no room.
    Room,
    /// The lease given with the order was over.
    Late,
    /// It is not healthy, or has too much to do.
    Unhealthy,
    /// It can't make sense of the order.
    Invalid,
}

/// What became of an order to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartVerdict {
    /// The run is there.
    Started,
    /// Nothing was done.
    Refused(StartRefusal),
    /// This run, or a later one, has been there or was stopped there.
    Old,
    /// See [`CallFailure`].
    Failed(CallFailure),
}

/// Something that happens to an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// Time has passed.
    Tick,
    /// The leader says something.
    LeaderMessage(LinkMessage),
    /// The stream to the leader has ended.
    LeaderLost,
    /// The executor describes itself.
    Beat {
        /// The description.
        report: WorkerReport,
        /// Numbers the executor's own messages.
        sequence: u64,
    },
    /// A poll of the executor came to an end.
    HoldAnswered {
        /// The life that was asked.
        worker: WorkerLife,
        /// When.
        asked: Duration,
        /// What came.
        result: Result<HoldView, CallFailure>,
    },
    /// An order to start came to an end.
    StartAnswered {
        /// The life that was asked.
        worker: WorkerLife,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// What came.
        verdict: StartVerdict,
    },
    /// An order to stop came to an end.
    StopAnswered {
        /// The life that was asked.
        worker: WorkerLife,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Whether the executor confirmed it.
        stopped: bool,
    },
}

/// What the driver is asked to do, in order.
#[derive(Debug)]
pub enum AgentEffect {
    /// Poll the executor: renew its lease, let it forget noted ends, read its lists.
    Hold {
        /// The life that is meant.
        worker: WorkerLife,
        /// Orders with a lower one than the executor has seen do nothing.
        fence: u64,
        /// The last end that may be forgotten.
        noted: u64,
        /// Until when, on the executor's clock, everything there may run; `None` to leave it.
        deadline_ms: Option<u64>,
        /// How long the executor may wait for an end before it answers.
        wait: Duration,
    },
    /// Start a run.
    Start {
        /// The order.
        order: StartOrder,
        /// Orders with a lower one than the executor has seen do nothing.
        fence: u64,
        /// See [`AgentEffect::Hold`].
        deadline_ms: u64,
    },
    /// Stop a run.
    Stop {
        /// The life that is meant.
        worker: WorkerLife,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// Orders with a lower one than the executor has seen do nothing.
        fence: u64,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The life that is meant.
        worker: WorkerLife,
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunNumber,
        /// The share, in percent.
        percent: u8,
        /// Orders with a lower one than the executor has seen do nothing.
        fence: u64,
    },
    /// Send to the leader.
    Send(LinkMessage),
    /// End the stream to the leader after what was sent, and make a new one: orders that are on
    /// their way must not arrive.
    Reconnect,
    /// Write a log line.
    Record(FlowEvent),
}
