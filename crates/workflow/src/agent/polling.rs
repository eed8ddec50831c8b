//! The long poll of the executor, and the lease that the poll carries.

use {
    super::{
        orders::EndTrace,
        successor::SuccessorClaim,
        types::{AgentEffect, CallFailure, ExecutorView},
        AgentNode, ExecutorState, FormerExecutor, REPORT_INTERVAL, WATCHING_INTERVAL,
    },
    crate::{
        event::{ExecutorFact, FlowEvent, ReportFact},
        job::WorkerIncarnation,
        message::{EndReport, WorkerReport},
    },
    std::time::Duration,
};

/// Greatest lag of the executor's clock behind the agent's, as a share of the elapsed time.
const CLOCK_DRIFT: f64 = 0.02;
/// Margin after the end of a lease before the agent considers its runs ended.
const EXPIRY_SLACK: Duration = Duration::from_millis(150);
/// Time that the executor may wait for an end before it answers a poll.
const POLL_WAIT: Duration = Duration::from_millis(900);
/// The same wait while the agent watches latencies, whose figures cover half a second.
const WATCHING_WAIT: Duration = Duration::from_millis(400);
/// Pause before the next poll while the executor lists ends that control has not recorded, that
/// can't be read, or that it should have forgotten: it then answers at once.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a poll without a usable answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Time that an executor may be silent and still have its lease extended. After it, the agent only
/// polls, so that the lease expires.
const EXTENSION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that an executor may be silent before the agent reports it to control, which then places
/// nothing more there.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the time at which a lease granted now up to `lease_end` has expired on the executor's
/// clock as well.
pub(super) fn expiry_of(now: Duration, lease_end: Duration) -> Duration {
    lease_end + lease_end.saturating_sub(now).mul_f64(CLOCK_DRIFT) + EXPIRY_SLACK
}

/// The executor's clock at a known time of the agent's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseClock {
    executor_ms: u64,
    at: Duration,
}

impl LeaseClock {
    /// Returns a conservative estimate of the executor's time at `until`: its clock may be slow, so
    /// that a deadline computed at full speed could lie beyond the lease.
    fn deadline_ms(&self, until: Duration) -> u64 {
        let left = until.saturating_sub(self.at).mul_f64(1.0 - CLOCK_DRIFT);
        self.executor_ms.saturating_add(left.as_millis() as u64)
    }
}

impl ExecutorState {
    /// Returns whether the agent may extend the executor's lease. The lease of a silent executor
    /// has to expire.
    fn may_extend_lease(&self, now: Duration) -> bool {
        self.silent_since.is_none_or(|since| now.saturating_sub(since) < EXTENSION_TIMEOUT)
    }
}

impl AgentNode {
    /// Polls the executor unless a poll is in progress.
    pub(super) fn poll_executor(&mut self) {
        let (now, lease_end, fence) = (self.now, self.lease_end, self.fence());
        let watching = self.throttle.is_watching();
        let Some(executor) = &mut self.executor else { return };
        if executor.poll_sent.is_some() || now < executor.next_poll || self.term == 0 {
            return;
        }
        let silent = executor.silent_since.map(|since| now.saturating_sub(since));
        let extending = lease_end > now && executor.may_extend_lease(now);
        let deadline_ms =
            executor.clock.filter(|_| extending).map(|clock| clock.deadline_ms(lease_end));
        if deadline_ms.is_some() {
            executor.expires_at = executor.expires_at.max(expiry_of(now, lease_end));
        }
        let wait = match (executor.clock.is_some() && silent.is_none(), watching) {
            _ if !executor.ends.is_empty() || self.claim.is_some() => Duration::ZERO,
            (false, _) => Duration::ZERO,
            (true, true) => WATCHING_WAIT,
            (true, false) => POLL_WAIT,
        };
        executor.poll_sent = Some(now);
        executor.acknowledged = executor.recorded;
        let (worker, acknowledged) = (executor.report.worker.clone(), executor.recorded);
        self.effects.push(AgentEffect::Poll { worker, fence, acknowledged, deadline_ms, wait });
    }

    /// Returns the deadline that a start carries, if the lease allows one.
    pub(super) fn start_deadline(&mut self) -> Option<u64> {
        let (now, lease_end) = (self.now, self.lease_end);
        let executor = self.executor.as_mut()?;
        if !executor.may_extend_lease(now) {
            return None;
        }
        let clock = executor.clock.filter(|_| lease_end > now)?;
        executor.expires_at = executor.expires_at.max(expiry_of(now, lease_end));
        Some(clock.deadline_ms(lease_end))
    }

    pub(super) fn handle_poll_answer(
        &mut self,
        worker: &WorkerIncarnation,
        asked: Duration,
        result: Result<ExecutorView, CallFailure>,
    ) {
        if self.incarnation().as_ref() != Some(worker) {
            return;
        }
        if let Some(executor) = &mut self.executor {
            if executor.poll_sent.is_some_and(|sent| asked < sent) {
                return; // A later poll has taken its place, see `note_claim`.
            }
            executor.poll_sent = None;
        }
        match result {
            Ok(view) if view.started_ms != worker.started_ms => {
                self.handle_other_incarnation(worker, Some(view.started_ms))
            }
            Ok(view) => self.handle_executor_view(worker, asked, view),
            Err(CallFailure::OtherIncarnation) => self.handle_other_incarnation(worker, None),
            Err(CallFailure::Fenced) => {
                self.rank.raise();
                self.handle_missing_answer("the executor has seen a higher fencing token")
            }
            Err(CallFailure::Unanswered(reason)) => self.handle_missing_answer(&reason),
        }
        self.poll_executor();
    }

    /// Handles an answer from another incarnation at the executor's address. That incarnation has
    /// sent its description, or sends it later, if it lives that long. Until then, control places
    /// nothing more here.
    fn handle_other_incarnation(
        &mut self,
        worker: &WorkerIncarnation,
        other_started_ms: Option<u64>,
    ) {
        let now = self.now;
        let fact = ExecutorFact::OtherIncarnation { started_ms: other_started_ms };
        if self.executor.as_ref().is_some_and(|executor| executor.reached) {
            let worker = worker.clone();
            self.record(FlowEvent::ExecutorEnded { worker, fact, age_ms: 0, reported: false });
        }
        self.report_ended_runs();
        let Some(executor) = self.executor.take() else { return };
        self.reset_lease();
        self.runs = super::orders::RunTable::default();
        let expires_at = executor.expires_at;
        if executor.reached {
            let (worker, replaced_at) = (worker.clone(), now);
            self.former = Some(FormerExecutor { worker, replaced_at, expires_at });
            self.send_description(WorkerReport { responsive: false, ..executor.report });
        }
        if let Some(SuccessorClaim { report, sequence, .. }) = self.claim.take() {
            self.meet_executor(report, sequence);
        }
    }

    /// Gives up an executor that no other has followed, as a silent one: without a report, the pings
    /// of the agent would renew its lease for ever.
    pub(super) fn check_former(&mut self) {
        let now = self.now;
        let expired = self.former.take_if(|former| now > former.expires_at);
        if let Some(FormerExecutor { worker, expires_at, .. }) = expired {
            let fact = ExecutorFact::LeaseExpired { silent_ms: None };
            self.report_gone(worker, fact, expires_at);
            self.effects.push(AgentEffect::Reconnect);
        }
    }

    fn handle_missing_answer(&mut self, reason: &str) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        executor.next_poll = now + FAILURE_PAUSE;
        if executor.silent_since.is_none() {
            executor.silent_since = Some(now);
            let (worker, reason) = (executor.report.worker.clone(), reason.to_owned());
            self.record(FlowEvent::ExecutorSilent { worker, reason });
        }
    }

    /// Reports a silent executor to control: first as unresponsive, then as ended once all its runs
    /// have certainly expired.
    pub(super) fn check_silence(&mut self) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        let silent = executor.silent_since.is_some_and(|since| now - since >= SILENCE_TIMEOUT);
        if silent && executor.report.responsive && executor.reached {
            executor.report.responsive = false;
            let report = executor.report.clone();
            self.send_description(report);
        }
        let Some(executor) = &mut self.executor else { return };
        let expired = executor.silent_since.is_some() && now > executor.expires_at;
        let (silent_since, expired_at) = (executor.silent_since, executor.expires_at);
        if expired && executor.reached {
            let worker = executor.report.worker.clone();
            self.report_ended_runs();
            if let Some(executor) = &mut self.executor {
                executor.reached = false;
            }
            self.runs = super::orders::RunTable::default();
            let silent = silent_since.map(|since| (now - since).as_millis() as u64);
            let fact = ExecutorFact::LeaseExpired { silent_ms: silent };
            self.report_gone(worker, fact, expired_at);
            self.effects.push(AgentEffect::Reconnect);
            self.reset_lease();
        }
    }

    fn handle_executor_view(
        &mut self,
        worker: &WorkerIncarnation,
        asked: Duration,
        view: ExecutorView,
    ) {
        let now = self.now;
        self.refuse_claim(asked);
        self.note_unreadable(view.unreadable);
        let Some(executor) = &mut self.executor else { return };
        executor.clock = Some(LeaseClock { executor_ms: view.clock_ms, at: now });
        executor.silent_since = None;
        let responsive = std::mem::replace(&mut executor.report.responsive, true);
        let first = !std::mem::replace(&mut executor.reached, true) || !responsive;
        let kept = view.finished.iter().any(|end| end.number <= executor.acknowledged);
        let answers_at_once = kept || executor.unreadable.has_ends();
        let recorded = executor.recorded;
        let new_ends: Vec<EndReport> = view
            .finished
            .into_iter()
            .filter(|end| end.number > recorded && !executor.ends.contains_key(&end.number))
            .collect();
        let news = !new_ends.is_empty();
        let traced: Vec<(EndReport, EndTrace)> = new_ends
            .iter()
            .map(|end| {
                let arrived = self.runs.arrival_of(end.task, end.run);
                (end.clone(), EndTrace { fact: ReportFact::Listed, arrived, asked: Some(asked) })
            })
            .collect();
        executor.ends.extend(new_ends.into_iter().map(|end| (end.number, end)));
        let same_runs =
            executor.listed_runs.len() == view.running.len()
                && executor.listed_runs.iter().zip(&view.running).all(|(old, new)| {
                    old.is_of(new.task, new.run) && old.checkpoint == new.checkpoint
                });
        executor.listed_runs = view.running;
        executor.more_finished = view.more_finished;
        let interval =
            if self.throttle.is_watching() { WATCHING_INTERVAL } else { REPORT_INTERVAL };
        let due = now.saturating_sub(executor.last_report) >= interval;
        let idle = executor.ends.is_empty() && !answers_at_once;
        executor.next_poll = if idle { now } else { now + UNRECORDED_PAUSE };
        for (end, trace) in traced {
            self.record_end(&end, trace);
        }
        if first {
            self.record(FlowEvent::ExecutorReached { worker: worker.clone() });
            if self.ended.as_ref().is_some_and(|ended| ended.report.worker == *worker) {
                self.ended = None;
            }
            self.report_former_ended();
            self.repeat_end();
            self.report_all();
            self.ping();
        } else if news {
            self.report_ends();
        }
        self.settle_runs(asked);
        if due || !same_runs {
            self.report_runs();
        }
        self.throttle_best_effort();
    }

    /// Handles ends that control has in its log: the executor may forget them.
    pub(super) fn forget_recorded_ends(&mut self, worker: &WorkerIncarnation, up_to: u64) {
        let now = self.now;
        let Some(executor) = &mut self.executor else { return };
        if executor.report.worker != *worker {
            return;
        }
        executor.recorded = executor.recorded.max(up_to);
        executor.ends.retain(|number, _| *number > up_to);
        executor.next_poll = executor.next_poll.min(now);
        self.poll_executor();
    }
}
