//! The agent's reducer: the lease, the runs and the throttling of one executor.
//!
//! The executor is the authority on its runs. The agent reads the executor's lists of runs and ends
//! by long poll, forwards ends at once, and lets the executor forget an end only when control has
//! recorded it in its log. Orders are idempotent by run number; the agent repeats them until they
//! are answered.

mod descriptions;
mod fence;
mod orders;
mod polling;
mod shrink;
mod successor;
mod throttle;
mod types;
mod unreadable;

pub use types::{
    AgentEffect, AgentEvent, AgentSettings, CallFailure, ExecutorView, RunList, StartRefusal,
    StartVerdict, UnreadableRow,
};

use {
    self::{
        fence::IncarnationRank, orders::RunTable, polling::LeaseClock, successor::SuccessorClaim,
        throttle::BestEffortThrottle, unreadable::UnreadableRows,
    },
    crate::{
        event::{ExecutorFact, FlowEvent},
        job::WorkerIncarnation,
        message::{EndReport, LinkMessage, RunReport, WorkerReport},
    },
    base::EventReducer,
    std::{collections::BTreeMap, time::Duration},
};

/// Interval at which the agent asks the leader whether it still leads. The answer renews the lease.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the agent reports all runs while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// The same interval while the agent watches latencies, from which control learns.
const WATCHING_INTERVAL: Duration = Duration::from_millis(350);
/// Time after which the agent reports ends again for which it has no acknowledgement: the leader may
/// have dropped them, because it did not know the agent's stream.
const ENDS_REPEAT: Duration = Duration::from_millis(1000);
/// Time for which the agent repeats to each new leader that an executor has ended. After it, the
/// leases that the executor had from an earlier leader are over.
const ENDED_RETENTION: Duration = Duration::from_secs(30);
/// Unanswered pings that the agent remembers.
const PENDING_PINGS_LIMIT: usize = 16;

/// The executor beside the agent.
#[derive(Debug)]
struct ExecutorState {
    report: WorkerReport,
    /// Sequence number of the executor's last message, by which the agent detects late ones.
    sequence: u64,
    /// The time of that message.
    described_at: Duration,
    clock: Option<LeaseClock>,
    /// Whether control may assume runs on the executor: the executor has answered, and the agent
    /// has not since reported the incarnation as ended.
    reached: bool,
    /// The time since which the executor has not answered.
    silent_since: Option<Duration>,
    /// The time at which everything on the executor has certainly ended, unless its lease is
    /// renewed. Initially a whole lease away: an earlier process of this agent may have granted one
    /// just now.
    expires_at: Duration,
    /// The number of the last end that control has in its log.
    recorded: u64,
    /// Ends that control has not recorded.
    ends: BTreeMap<u64, EndReport>,
    /// The time at which the agent last reported these ends.
    ends_reported: Duration,
    listed_runs: Vec<RunReport>,
    /// Whether the executor may have ends that it has not listed yet.
    more_finished: bool,
    unreadable: UnreadableRows,
    poll_sent: Option<Duration>,
    /// The number of the last end that the executor was told to forget.
    acknowledged: u64,
    next_poll: Duration,
    last_report: Duration,
}

/// An executor that has ended, as another incarnation has answered at its address.
#[derive(Debug)]
struct FormerExecutor {
    worker: WorkerIncarnation,
    /// The time at which another incarnation answered.
    replaced_at: Duration,
    /// The time at which control may consider the runs of the executor ended, if nothing has
    /// answered under its own name by then.
    expires_at: Duration,
}

/// The last executor that has ended.
#[derive(Debug)]
struct EndedExecutor {
    report: WorkerReport,
    /// The runs that had certainly begun, and only just.
    begun: Vec<EndReport>,
    at: Duration,
    /// Whether none of its orders can be carried out any more, so that control may be told of the end
    /// before the next executor has listed its runs.
    gone: bool,
    /// Whether the present leader was told.
    reported: bool,
}

/// The agent of one executor.
#[derive(Debug)]
pub struct AgentNode {
    settings: AgentSettings,
    now: Duration,
    /// The time until which the executor may carry out a start that the process before has sent. A
    /// start bears the end of the lease, which that process had received before this one began.
    predecessor_until: Duration,
    /// The highest term of a leader that the agent has seen. The executor refuses orders with the
    /// fencing token of a lower one.
    term: u64,
    connected: bool,
    lease_end: Duration,
    pings: BTreeMap<u64, Duration>,
    last_ping: u64,
    next_ping: Duration,
    /// The ping whose answer shows that the leader knows the executor's capacity, which has shrunk.
    unconfirmed_shrink: Option<u64>,
    executor: Option<ExecutorState>,
    rank: IncarnationRank,
    /// The last known executor, while the next one has not answered.
    former: Option<FormerExecutor>,
    /// Another incarnation that has described itself, while the executor has not been asked whether
    /// it is still there.
    claim: Option<SuccessorClaim>,
    ended: Option<EndedExecutor>,
    runs: RunTable,
    throttle: BestEffortThrottle,
    effects: Vec<AgentEffect>,
}

impl AgentNode {
    /// Creates an agent that knows neither its executor nor a leader.
    pub fn new(settings: AgentSettings, now: Duration) -> Self {
        let predecessor_until = polling::expiry_of(now, now + settings.lease);
        Self {
            settings,
            now,
            predecessor_until,
            term: 0,
            connected: false,
            lease_end: Duration::ZERO,
            pings: BTreeMap::new(),
            last_ping: 0,
            next_ping: now,
            unconfirmed_shrink: None,
            executor: None,
            rank: IncarnationRank::new(),
            former: None,
            claim: None,
            ended: None,
            runs: RunTable::default(),
            throttle: BestEffortThrottle::default(),
            effects: Vec::new(),
        }
    }

    fn record(&mut self, event: FlowEvent) {
        self.effects.push(AgentEffect::Record(event));
    }

    /// Sends to the leader, if the agent is connected. A message that is dropped here is made up
    /// for by the full report after the next connection, by an order that control repeats, or by
    /// the expiry of the lease.
    fn send(&mut self, message: LinkMessage) {
        if self.connected {
            self.effects.push(AgentEffect::Send(message));
        }
    }

    fn fence(&self) -> u64 {
        self.rank.token(self.term)
    }

    fn incarnation(&self) -> Option<WorkerIncarnation> {
        self.executor.as_ref().map(|executor| executor.report.worker.clone())
    }

    fn tick(&mut self) {
        if self.connected && self.now >= self.next_ping {
            self.ping();
        }
        self.check_silence();
        self.check_former();
        self.repeat_ends();
        self.repeat_orders();
        self.poll_executor();
    }

    fn ping(&mut self) {
        self.last_ping += 1;
        self.pings.insert(self.last_ping, self.now);
        while self.pings.len() > PENDING_PINGS_LIMIT {
            self.pings.pop_first();
        }
        self.next_ping = self.now + PING_INTERVAL;
        self.send(LinkMessage::Ping { sequence: self.last_ping });
    }

    fn handle_message(&mut self, message: LinkMessage) {
        match message {
            LinkMessage::Welcome { term, .. } => self.handle_welcome(term),
            LinkMessage::Pong { sequence, term, leased } => {
                self.term = self.term.max(term);
                self.confirm_shrink(sequence);
                let asked = self.pings.remove(&sequence);
                let own = leased.is_some() && leased == self.incarnation();
                if let Some(asked) = asked.filter(|_| own) {
                    self.lease_end = self.lease_end.max(asked + self.settings.lease);
                }
                if asked.is_some() && !own {
                    self.report_all();
                }
            }
            LinkMessage::EndsRecorded { worker, up_to } => {
                self.forget_recorded_ends(&worker, up_to)
            }
            LinkMessage::Start(order) => self.handle_start_order(order),
            LinkMessage::Stop { worker, task, run } => self.handle_stop_order(&worker, task, run),
            other => {
                let reason = format!("{other:?}").chars().take(80).collect();
                self.record(FlowEvent::MessageRefused { from: "the leader".to_owned(), reason });
            }
        }
    }

    /// Reports everything to a leader: it may be a new one, or have missed earlier messages.
    fn handle_welcome(&mut self, term: u64) {
        self.term = self.term.max(term);
        self.connected = true;
        self.pings.clear();
        self.unconfirmed_shrink = None;
        if let Some(ended) = &mut self.ended {
            ended.reported = false;
        }
        self.repeat_end();
        self.report_all();
        self.ping();
    }

    /// Resets the lease: the next one belongs to another incarnation, or to this one once control
    /// knows it again. Earlier lease requests do not count for it.
    fn reset_lease(&mut self) {
        self.lease_end = Duration::ZERO;
        self.pings.clear();
    }

    fn report_all(&mut self) {
        let Some(executor) = &self.executor else { return };
        if !executor.reached {
            return;
        }
        let report = executor.report.clone();
        self.send_description(report);
        self.report_ends();
        self.report_runs();
    }

    fn send_description(&mut self, report: WorkerReport) {
        let place = self.settings.executor_address.clone();
        self.send(LinkMessage::Worker { report, place });
    }

    fn send_ends(&mut self, worker: WorkerIncarnation, ends: Vec<EndReport>) {
        if !ends.is_empty() {
            self.send(LinkMessage::Ends { worker, ends });
        }
    }

    /// Reports all ends that control has not recorded: it acknowledges the highest number of a report,
    /// and may have dropped an earlier one.
    fn report_ends(&mut self) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        executor.ends_reported = now;
        let ends = executor.ends.values().cloned().collect();
        let worker = executor.report.worker.clone();
        self.send_ends(worker, ends);
    }

    fn repeat_ends(&mut self) {
        let now = self.now;
        let due = self.executor.as_ref().is_some_and(|executor| {
            executor.reached && now.saturating_sub(executor.ends_reported) >= ENDS_REPEAT
        });
        if due {
            self.report_ends();
        }
    }

    /// Lists every run that is on the executor or about to start.
    fn report_runs(&mut self) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        executor.last_report = now;
        let worker = executor.report.worker.clone();
        let mut runs = executor.listed_runs.clone();
        for (task, run) in self.runs.pending() {
            if !runs.iter().any(|report| report.is_of(task, run)) {
                let (checkpoint, percent, figure) = (String::new(), 0, 0);
                runs.push(RunReport { task, run, checkpoint, percent, figure });
            }
        }
        self.send(LinkMessage::Runs { worker, runs });
    }

    /// Handles the executor's description of itself. Ignores a message of an earlier incarnation.
    /// A later incarnation is only used once the present one no longer answers at its address:
    /// anyone can send a description.
    fn handle_heartbeat(&mut self, report: WorkerReport, sequence: u64) {
        match self.incarnation() {
            Some(present) if report.worker.started_ms < present.started_ms => {}
            Some(present) if report.worker == present => {
                self.handle_own_description(report, sequence)
            }
            Some(_) => self.note_claim(report, sequence),
            None => self.meet_executor(report, sequence),
        }
    }

    /// Makes an incarnation the executor beside the agent. Control hears of it, and of the end of
    /// the former one, when it has answered.
    fn meet_executor(&mut self, report: WorkerReport, sequence: u64) {
        // Control settles the runs of a former incarnation under the same id, see
        // `report_former_ended`.
        self.former.take_if(|former| former.worker.executor == report.worker.executor);
        self.claim = None;
        self.runs = RunTable::default();
        self.throttle = BestEffortThrottle::default();
        self.reset_lease();
        self.rank.succeed(report.worker.started_ms);
        self.executor = Some(ExecutorState {
            report,
            sequence,
            described_at: self.now,
            clock: None,
            reached: false,
            silent_since: None,
            expires_at: polling::expiry_of(self.now, self.now + self.settings.lease),
            recorded: 0,
            ends: BTreeMap::new(),
            ends_reported: self.now,
            listed_runs: Vec::new(),
            more_finished: false,
            unreadable: UnreadableRows::default(),
            poll_sent: None,
            acknowledged: 0,
            next_poll: self.now,
            last_report: self.now,
        });
        self.poll_executor();
    }

    /// Reports the former incarnation as ended if the one that answers has another executor id.
    /// Under the same id, control settles its runs by the lists of the new incarnation, which may
    /// have carried out an order for the former one. Under another id that is not possible.
    fn report_former_ended(&mut self) {
        if let Some(former) = self.former.take() {
            let present = self.incarnation().map(|present| present.started_ms);
            let fact = ExecutorFact::OtherIncarnation { started_ms: present };
            self.report_gone(former.worker, fact, former.replaced_at);
        }
    }

    /// Reports that nothing of an incarnation can run any more.
    fn report_gone(&mut self, worker: WorkerIncarnation, fact: ExecutorFact, since: Duration) {
        let age_ms = self.now.saturating_sub(since).as_millis() as u64;
        let event =
            FlowEvent::ExecutorEnded { worker: worker.clone(), fact, age_ms, reported: true };
        self.record(event);
        let ended = self.ended.as_mut().filter(|ended| ended.report.worker == worker);
        if let Some(ended) = ended {
            ended.gone = true;
            if !ended.reported {
                self.repeat_end();
                return;
            }
        }
        self.send(LinkMessage::WorkerEnded { worker });
    }

    /// Reports the last executor that has ended to a leader that was not told, first as it was, but
    /// as unresponsive: a leader that does not know it can't tell a crash from a drain. Under the
    /// same id, the next incarnation has to answer first, see [`Self::report_former_ended`].
    fn repeat_end(&mut self) {
        let (now, connected) = (self.now, self.connected);
        let present = self.executor.as_ref().filter(|executor| executor.reached);
        let present = present.map(|executor| &executor.report.worker);
        let Some(ended) = &mut self.ended else { return };
        let due = !ended.reported && now.saturating_sub(ended.at) < ENDED_RETENTION;
        if !connected || !due || !ended.gone && present.is_none() {
            return;
        }
        ended.reported = true;
        let (begun, gone) = (ended.begun.clone(), ended.gone);
        let report = WorkerReport { responsive: false, ..ended.report.clone() };
        let worker = report.worker.clone();
        self.send_description(report);
        self.send_ends(worker.clone(), begun);
        if gone {
            self.send(LinkMessage::WorkerEnded { worker });
        }
    }

    fn update_report(&mut self, report: WorkerReport, sequence: u64) {
        let Some(executor) = &mut self.executor else { return };
        executor.sequence = sequence;
        executor.described_at = self.now;
        let report = WorkerReport { responsive: executor.report.responsive, ..report };
        let was_draining = executor.report.drain_left_ms.is_some();
        let same = WorkerReport { drain_left_ms: None, ..report.clone() }
            == WorkerReport { drain_left_ms: None, ..executor.report.clone() };
        let changed = !same || was_draining != report.drain_left_ms.is_some();
        let shrunk = shrink::has_shrunk(&executor.report, &report);
        executor.report = report.clone();
        if changed && executor.reached {
            self.send_description(report);
        }
        if shrunk {
            self.handle_shrink();
        }
    }
}

impl EventReducer for AgentNode {
    type Event = AgentEvent;
    type Effect = AgentEffect;

    fn reduce(&mut self, now: Duration, event: AgentEvent) -> Vec<AgentEffect> {
        self.now = self.now.max(now);
        match event {
            AgentEvent::Tick => self.tick(),
            AgentEvent::LeaderMessage(message) => self.handle_message(message),
            AgentEvent::LeaderLost => {
                self.connected = false;
                self.pings.clear();
            }
            AgentEvent::Heartbeat { report, sequence } => self.handle_heartbeat(report, sequence),
            AgentEvent::PollAnswered { worker, asked, result } => {
                self.handle_poll_answer(&worker, asked, result);
            }
            AgentEvent::StartAnswered { worker, task, run, verdict } => {
                self.handle_start_answer(&worker, task, run, verdict);
            }
            AgentEvent::StopAnswered { worker, task, run, stopped } => {
                self.handle_stop_answer(&worker, task, run, stopped);
            }
        }
        std::mem::take(&mut self.effects)
    }
}
