//! Orders to start and stop runs, repeated until the executor has answered them.

use {
    super::{
        types::{AgentEffect, CallFailure, StartRefusal, StartVerdict},
        AgentNode, EndedExecutor,
    },
    crate::{
        event::{FlowEvent, OutdatedCause, ReportFact},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{EndReport, LinkMessage, StartOrder},
        state::EndKind,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Pause before the agent repeats an unanswered order.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Time that the agent remembers a run reported as never begun: control may order it again until it
/// has the report in its log.
const CLOSED_RETENTION: Duration = Duration::from_secs(30);
/// Time after which a run that has started, and that the executor lists neither as running nor as
/// ended, is settled by a stop. A single list may be incomplete.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(2000);
/// Age of a run at the last answer of its executor up to which the agent repeats to a new leader that
/// the run had just begun. That leader can't tell by itself which runs had settled.
const YOUNG_RUN_AGE: Duration = Duration::from_millis(500);
/// Pause before the agent repeats a confirmed stop for a run that is still listed.
const STOP_AGAIN: Duration = Duration::from_millis(1000);

/// The state of an order.
#[derive(Debug, Clone, PartialEq)]
enum OrderPhase {
    /// A start is in transit to the executor.
    Starting,
    /// A start is due at this time, either the first one or the repetition of an unanswered one.
    StartAgain(Duration),
    /// The executor has the run; its lists report the rest. They, or the start, last showed it at
    /// this time.
    Started(Duration),
    /// The executor's lists, requested after this time, decide the outcome of the run.
    Unclear(Duration),
    /// A stop is in transit.
    Stopping,
    /// A stop is due at this time: the first one, or the repetition of one that was not answered or
    /// had no effect.
    StopAgain(Duration),
    /// The executor confirmed a stop at this time.
    Stopped(Duration),
}

/// An order to start or stop a run.
#[derive(Debug, Clone)]
struct RunOrder {
    phase: OrderPhase,
    /// The start order; `None` if the agent has only received a stop.
    order: Option<StartOrder>,
    /// When the first order for the run arrived.
    arrived: Duration,
    /// When the last start was sent.
    sent: Option<Duration>,
    /// When the executor confirmed the start.
    confirmed: Option<Duration>,
    /// Whether a start was not answered: the executor may still carry it out, whatever the answers
    /// to later ones.
    unanswered: bool,
    /// Whether the process before may have sent a start, with the same consequence.
    sent_before: bool,
    /// Whether the start must not be repeated: the executor has shrunk since the first one.
    withdrawn: bool,
}

impl RunOrder {
    fn new(phase: OrderPhase, order: Option<StartOrder>, arrived: Duration) -> Self {
        let (sent, confirmed, unanswered, sent_before, withdrawn) = Default::default();
        Self { phase, order, arrived, sent, confirmed, unanswered, sent_before, withdrawn }
    }

    /// Returns whether the executor may still carry out a start that has no answer.
    fn may_still_begin(&self) -> bool {
        self.unanswered || self.sent_before
    }
}

/// The orders for runs whose ends the executor has not listed, by task and run.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    orders: BTreeMap<(TaskKey, RunNumber), RunOrder>,
    /// Runs reported as never begun, with the reported end and the time. They must not begin any
    /// more.
    closed: BTreeMap<(TaskKey, RunNumber), (EndKind, Duration)>,
    /// Runs for which an outdated order was logged, with the time.
    outdated: BTreeMap<(TaskKey, RunNumber), Duration>,
}

/// What a line about the end of a run says of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndTrace {
    pub(super) fact: ReportFact,
    /// When the order arrived.
    pub(super) arrived: Option<Duration>,
    /// When the executor was asked for the answer on which the report rests.
    pub(super) asked: Option<Duration>,
}

impl RunTable {
    /// Returns the runs that have an order, whether or not the executor lists them yet.
    pub(super) fn pending(&self) -> impl Iterator<Item = (TaskKey, RunNumber)> + '_ {
        self.orders.keys().copied()
    }

    /// Returns the traits of a started run, if they are known: whether it is best-effort, and its
    /// latency target.
    pub(super) fn traits_of(&self, task: TaskKey, run: RunNumber) -> Option<(bool, Option<u64>)> {
        let order = self.orders.get(&(task, run))?.order.as_ref()?;
        Some((order.filler, order.latency_target_ms))
    }

    /// Returns when the first order for a run arrived, if the run has one.
    pub(super) fn arrival_of(&self, task: TaskKey, run: RunNumber) -> Option<Duration> {
        self.orders.get(&(task, run)).map(|order| order.arrived)
    }

    fn may_still_begin(&self, key: (TaskKey, RunNumber)) -> bool {
        self.orders.get(&key).is_some_and(RunOrder::may_still_begin)
    }

    /// Notes that a start was not answered. It is repeated after a pause, or settled by a stop if
    /// it was withdrawn.
    fn handle_unanswered(&mut self, key: (TaskKey, RunNumber), now: Duration) {
        let Some(order) = self.orders.get_mut(&key) else { return };
        order.unanswered = true;
        order.phase = if order.withdrawn {
            OrderPhase::StopAgain(now)
        } else {
            OrderPhase::StartAgain(now + REPEAT_PAUSE)
        };
    }

    /// Withdraws every start that has no answer. One that was sent before is settled by a stop, and
    /// one in transit only if it is not answered. Returns the runs whose start was never sent, which
    /// are removed, with the arrival of its order.
    pub(super) fn withdraw_starts(&mut self, now: Duration) -> Vec<(TaskKey, RunNumber, Duration)> {
        let is_unsent = |order: &RunOrder| {
            matches!(order.phase, OrderPhase::StartAgain(_)) && !order.may_still_begin()
        };
        let unsent = self.orders.iter().filter(|(_, order)| is_unsent(order));
        let unsent: Vec<_> =
            unsent.map(|((task, run), order)| (*task, *run, order.arrived)).collect();
        self.orders.retain(|_, order| !is_unsent(order));
        for order in self.orders.values_mut() {
            order.withdrawn = true;
            if matches!(order.phase, OrderPhase::StartAgain(_)) {
                order.phase = OrderPhase::StopAgain(now);
            }
        }
        unsent
    }

    fn confirm(&mut self, key: (TaskKey, RunNumber), now: Duration) {
        let Some(order) = self.orders.get_mut(&key) else { return };
        order.phase = OrderPhase::Started(now);
        order.confirmed = Some(now);
    }

    fn is_young(&self, key: (TaskKey, RunNumber), at: Duration) -> bool {
        let confirmed = self.orders.get(&key).and_then(|order| order.confirmed);
        confirmed.is_some_and(|confirmed| at.saturating_sub(confirmed) < YOUNG_RUN_AGE)
    }

    fn set(&mut self, key: (TaskKey, RunNumber), phase: OrderPhase) {
        if let Some(order) = self.orders.get_mut(&key) {
            order.phase = phase;
        }
    }
}

impl AgentNode {
    pub(super) fn handle_start_order(&mut self, order: StartOrder) {
        let (task, run) = (order.task, order.run);
        let Some(executor) = &self.executor else { return };
        if executor.report.worker != order.worker {
            return;
        }
        if let Some(end) = executor.ends.values().find(|end| end.is_of(task, run)) {
            let cause = OutdatedCause::Ended(end.number);
            self.note_outdated(task, run, cause);
            return;
        }
        if let Some((end, _)) = self.runs.closed.get(&(task, run)).copied() {
            self.note_outdated(task, run, OutdatedCause::Closed(end));
            self.report_never_began(task, run, end);
            return;
        }
        let known = self.runs.orders.get(&(task, run)).map(|known| known.phase.clone());
        let listed = executor.listed_runs.iter().any(|row| row.is_of(task, run));
        if known.is_some() {
            return;
        }
        let now = self.now;
        let sent_before = now < self.predecessor_until;
        let refusal = self.refusal_reason().filter(|_| !listed);
        let phase = match refusal {
            Some(reason) if !sent_before => {
                self.refuse_run(task, run, reason, EndTrace::refused_by_agent(now));
                return;
            }
            Some(reason) => {
                self.record(FlowEvent::StartRefused { task, run, reason: reason.to_owned() });
                OrderPhase::StopAgain(now)
            }
            None if listed => OrderPhase::Started(now),
            None => OrderPhase::StartAgain(now),
        };
        let order = RunOrder { sent_before, ..RunOrder::new(phase, Some(order), now) };
        self.runs.orders.insert((task, run), order);
        self.repeat_orders();
    }

    pub(super) fn handle_stop_order(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
    ) {
        if self.incarnation().as_ref() != Some(worker) {
            return;
        }
        let entry = self.runs.orders.entry((task, run));
        let started = OrderPhase::Started(self.now);
        let order = entry.or_insert(RunOrder::new(started, None, self.now));
        let stopping = matches!(
            order.phase,
            OrderPhase::Stopping | OrderPhase::StopAgain(_) | OrderPhase::Stopped(_)
        );
        if !stopping {
            order.phase = OrderPhase::StopAgain(self.now);
        }
        self.repeat_orders();
    }

    /// Sends every order that is due.
    pub(super) fn repeat_orders(&mut self) {
        let now = self.now;
        let Some(worker) = self.incarnation() else { return };
        self.cancel_starts();
        let due: Vec<((TaskKey, RunNumber), OrderPhase)> = self
            .runs
            .orders
            .iter()
            .filter(|(_, order)| match order.phase {
                OrderPhase::StartAgain(at) | OrderPhase::StopAgain(at) => at <= now,
                _ => false,
            })
            .map(|(key, order)| (*key, order.phase.clone()))
            .collect();
        for (key, phase) in due {
            match phase {
                OrderPhase::StartAgain(_) => self.send_start(key),
                _ => self.send_stop(&worker, key),
            }
        }
    }

    /// Replaces starts by stops: starts that are due once the executor drains, and also those in
    /// transit once the lease has expired and control may have placed their tasks elsewhere. Such
    /// starts must not be repeated. A stop settles their outcome.
    fn cancel_starts(&mut self) {
        let (now, expired) = (self.now, self.lease_end <= self.now);
        let draining = self.executor.as_ref().is_some_and(|e| e.report.drain_left_ms.is_some());
        if !expired && !draining {
            return;
        }
        for order in self.runs.orders.values_mut() {
            let in_transit = expired && order.phase == OrderPhase::Starting;
            if in_transit || matches!(order.phase, OrderPhase::StartAgain(_)) {
                order.phase = OrderPhase::StopAgain(now);
            }
        }
    }

    fn send_start(&mut self, key: (TaskKey, RunNumber)) {
        let Some(deadline_ms) = self.start_deadline() else { return };
        let Some(known) = self.runs.orders.get_mut(&key) else { return };
        let Some(order) = known.order.clone() else { return };
        known.sent = Some(self.now);
        self.runs.set(key, OrderPhase::Starting);
        self.effects.push(AgentEffect::Start { order, fence: self.fence(), deadline_ms });
    }

    fn send_stop(&mut self, worker: &WorkerIncarnation, key: (TaskKey, RunNumber)) {
        self.runs.set(key, OrderPhase::Stopping);
        let (task, run) = key;
        let (worker, fence) = (worker.clone(), self.fence());
        self.effects.push(AgentEffect::Stop { worker, task, run, fence });
    }

    pub(super) fn handle_start_answer(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
        verdict: StartVerdict,
    ) {
        let key = (task, run);
        let starting = self.runs.orders.get(&key).is_some_and(|o| o.phase == OrderPhase::Starting);
        if self.incarnation().as_ref() != Some(worker) || !starting {
            return;
        }
        match verdict {
            StartVerdict::Started => self.runs.confirm(key, self.now),
            StartVerdict::Refused(_) if self.runs.may_still_begin(key) => {
                self.runs.set(key, OrderPhase::StopAgain(self.now));
                self.repeat_orders();
            }
            StartVerdict::Refused(refusal) => {
                let order = self.runs.orders.remove(&key);
                let arrived = order.as_ref().map(|order| order.arrived);
                let asked = order.and_then(|order| order.sent);
                let trace = EndTrace { fact: ReportFact::RefusedByExecutor, arrived, asked };
                self.refuse_run(task, run, refusal_text(refusal), trace);
            }
            StartVerdict::Old => self.runs.set(key, OrderPhase::Unclear(self.now)),
            StartVerdict::Failed(CallFailure::Unanswered(_) | CallFailure::Fenced) => {
                self.runs.handle_unanswered(key, self.now);
                self.repeat_orders();
            }
            StartVerdict::Failed(CallFailure::OtherIncarnation) => {
                self.runs.orders.remove(&key);
            }
        }
    }

    pub(super) fn handle_stop_answer(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
        stopped: bool,
    ) {
        let key = (task, run);
        let stopping = self.runs.orders.get(&key).is_some_and(|o| o.phase == OrderPhase::Stopping);
        if self.incarnation().as_ref() != Some(worker) || !stopping {
            return;
        }
        let phase = if stopped {
            OrderPhase::Stopped(self.now)
        } else {
            OrderPhase::StopAgain(self.now + REPEAT_PAUSE)
        };
        self.runs.set(key, phase);
    }

    /// Reports to control that a run never began on this executor.
    pub(super) fn refuse_run(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        reason: &str,
        trace: EndTrace,
    ) {
        self.record(FlowEvent::StartRefused { task, run, reason: reason.to_owned() });
        let (end, number, checkpoint) = (EndKind::Refused, 0, String::new());
        self.record_end(&EndReport { number, task, run, end, checkpoint }, trace);
        self.report_never_began(task, run, EndKind::Refused);
    }

    /// Logs that the agent reports an end for the first time.
    pub(super) fn record_end(&mut self, report: &EndReport, trace: EndTrace) {
        let (now, connected) = (self.now, self.connected);
        let Some(worker) = self.incarnation() else { return };
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        self.record(FlowEvent::EndReported {
            task: report.task,
            run: report.run,
            worker,
            end: report.end,
            number: report.number,
            fact: trace.fact,
            ordered_ms_ago: trace.arrived.map(age_ms),
            asked_ms_ago: trace.asked.map(age_ms),
            connected,
        });
    }

    /// Logs an order for a run that is over, once for each run.
    fn note_outdated(&mut self, task: TaskKey, run: RunNumber, cause: OutdatedCause) {
        let Some(worker) = self.incarnation() else { return };
        let now = self.now;
        self.runs.outdated.retain(|_, at| now.saturating_sub(*at) < CLOSED_RETENTION);
        if self.runs.outdated.insert((task, run), now).is_none() {
            self.record(FlowEvent::OrderOutdated { task, run, worker, cause });
        }
    }

    fn report_never_began(&mut self, task: TaskKey, run: RunNumber, end: EndKind) {
        let Some(worker) = self.incarnation() else { return };
        let now = self.now;
        self.runs.closed.retain(|_, (_, at)| now.saturating_sub(*at) < CLOSED_RETENTION);
        self.runs.closed.insert((task, run), (end, now));
        let end = EndReport { number: 0, task, run, end, checkpoint: String::new() };
        self.send(LinkMessage::Ends { worker, ends: vec![end] });
    }

    /// Reports the runs that had certainly begun on an executor that has ended, so that control can
    /// tell them from those that may never have. Leaves out runs whose order was repeated, which a
    /// later incarnation may still carry out.
    pub(super) fn report_ended_runs(&mut self) {
        let Some(executor) = &self.executor else { return };
        let report = executor.report.clone();
        let worker = report.worker.clone();
        let begun = self.runs.orders.iter().filter(|((task, run), order)| {
            let ended = executor.ends.values().any(|end| end.is_of(*task, *run));
            matches!(order.phase, OrderPhase::Started(_)) && !order.unanswered && !ended
        });
        let ends: Vec<EndReport> = begun
            .map(|((task, run), _)| EndReport {
                number: 0,
                task: *task,
                run: *run,
                end: EndKind::Expired,
                checkpoint: String::new(),
            })
            .collect();
        let traces = ends.iter().filter_map(|end| {
            let order = self.runs.orders.get(&(end.task, end.run))?;
            let shown = match order.phase {
                OrderPhase::Started(shown) => Some(shown),
                _ => None,
            };
            let (fact, arrived) = (ReportFact::ExecutorEnded, Some(order.arrived));
            Some(EndTrace { fact, arrived, asked: shown })
        });
        let traces: Vec<EndTrace> = traces.collect();
        let known = self.ended.as_ref().is_some_and(|ended| ended.report.worker == worker);
        if executor.reached && !known {
            let silent = executor.silent_since.unwrap_or(self.now);
            let young = ends.iter().filter(|end| self.runs.is_young((end.task, end.run), silent));
            let begun = young.cloned().collect();
            let (at, reported) = (self.now, self.connected);
            self.ended = Some(EndedExecutor { report, begun, at, gone: false, reported });
        }
        for (end, trace) in ends.iter().zip(traces) {
            self.record_end(end, trace);
        }
        self.send_ends(worker, ends);
    }

    /// Settles orders by the executor's lists, which the agent requested at `asked`.
    pub(super) fn settle_runs(&mut self, asked: Duration) {
        let now = self.now;
        let Some(executor) = &self.executor else { return };
        let running = |task, run| executor.listed_runs.iter().any(|row| row.is_of(task, run));
        let ended = |task, run| executor.ends.values().any(|end| end.is_of(task, run));
        let mut settled = Vec::new();
        let mut never_began = Vec::new();
        let mut changed = Vec::new();
        for ((task, run), order) in &self.runs.orders {
            let key = (*task, *run);
            if ended(*task, *run) {
                settled.push(key);
                continue;
            }
            let listed = running(*task, *run);
            // A run that no readable row lists may be in one that can't be read, or on a later page.
            let hidden = executor.more_finished || executor.unreadable.may_hide(*task, now);
            let absent = !listed && !hidden;
            let started = OrderPhase::Started(asked);
            match order.phase {
                OrderPhase::Started(_) | OrderPhase::StartAgain(_) if listed => {
                    changed.push((key, started));
                }
                OrderPhase::Started(shown)
                    if absent && asked.saturating_sub(shown) >= UNLISTED_TIMEOUT =>
                {
                    changed.push((key, OrderPhase::StopAgain(now)));
                }
                OrderPhase::Unclear(since) if listed && since < asked => {
                    changed.push((key, started));
                }
                // The refusal may have had no readable reason, and an earlier start no answer.
                OrderPhase::Unclear(since)
                    if absent && since < asked && order.may_still_begin() =>
                {
                    changed.push((key, OrderPhase::StopAgain(now)));
                }
                OrderPhase::Unclear(since) if absent && since < asked => {
                    never_began.push((key, EndKind::Refused, ReportFact::NotThere));
                }
                OrderPhase::Stopped(since) if absent && since < asked => {
                    never_began.push((key, EndKind::Stopped, ReportFact::StopSettled));
                }
                OrderPhase::Stopped(since) if now.saturating_sub(since) >= STOP_AGAIN => {
                    changed.push((key, OrderPhase::StopAgain(now)));
                }
                _ => {}
            }
        }
        for key in settled {
            self.runs.orders.remove(&key);
        }
        for (key, phase) in changed {
            self.runs.set(key, phase);
        }
        for ((task, run), end, fact) in never_began {
            let arrived = self.runs.orders.remove(&(task, run)).map(|order| order.arrived);
            let report = EndReport { number: 0, task, run, end, checkpoint: String::new() };
            self.record_end(&report, EndTrace { fact, arrived, asked: Some(asked) });
            self.report_never_began(task, run, end);
        }
    }
}

impl EndTrace {
    /// Returns the trace of a refusal of the agent itself.
    pub(super) fn refused_by_agent(arrived: Duration) -> Self {
        Self { fact: ReportFact::RefusedByAgent, arrived: Some(arrived), asked: None }
    }
}

fn refusal_text(refusal: StartRefusal) -> &'static str {
    match refusal {
        StartRefusal::NoCapacity => "the executor lacks free capacity",
        StartRefusal::Late => "the lease had expired when the order arrived",
        StartRefusal::Unhealthy => "the executor is unhealthy",
        StartRefusal::Invalid => "the executor cannot interpret the order",
    }
}
