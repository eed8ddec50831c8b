//! Cordoned data centres: operators' requests, and the starts that a cordon withdraws.
//!
//! It answers operators who empty a data centre. Placement leaves out the workers there
//! (`WorkerView::accepts`), and starts that are not sent or have to be repeated are withdrawn as on
//! a worker that has shrunk (`capacity.rs`). What remains are starts that were sent before the
//! cordon and have not begun: after a short wait for the agents' reports, the leader stops them.
//! `docs/design/cordons.md` has the design.

use {
    super::{
        leader::LeaderState,
        runs::STOP_REPEAT,
        types::{ControlEffect, OperatorAnswer},
        ControlNode,
    },
    crate::{
        event::{FlowEvent, StopReason},
        job::{JobKey, StepKey, WorkerIncarnation},
        message::RunReport,
        plan::{Placement, WorkerView},
        state::{CommandOutcome, CordonSet, DataCentreName, FlowCommand},
    },
    base::ReplyTicket,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Time after the commit of a cordon in which agents may still confirm starts that were sent before.
/// Agents report every 0.8 s to 0.9 s. What is left of the 5 s after which nothing may start covers
/// the stop's way to the executor.
const CONFIRM_TIME: Duration = Duration::from_millis(2000);
/// The same time from the start of a leadership for the cordons that it takes over. The 5 s may have
/// begun under an earlier leader, and an agent that has lost that leader stops its starts by itself
/// when its lease of at most 3.5 s ends. The difference is left.
const INHERITED_CONFIRM_TIME: Duration = Duration::from_millis(1500);

/// Interval at which the leader looks for jobs that wait because of a cordon.
const BLOCKED_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// The most jobs that one such check reports, so that a cordon writes few lines a second.
const BLOCKED_LINES: usize = 16;

/// The figures about cordoned data centres, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CordonFigures {
    /// The number of cordoned data centres.
    pub data_centres: usize,
    /// The lasting runs left there.
    pub lasting: usize,
    /// The other checkpointing runs left there.
    pub checkpointing: usize,
    /// All other runs left there.
    pub other: usize,
    /// The jobs that wait because only cordoned data centres have what they ask for.
    pub waiting_jobs: usize,
}

/// The cordons as proposed, and what the leader still has to do for them.
#[derive(Debug)]
pub(super) struct CordonWatch {
    /// The cordons of the log and of all proposed commands.
    proposed: CordonSet,
    /// The time from which unconfirmed starts in a data centre are stopped.
    confirm_until: BTreeMap<DataCentreName, Duration>,
    /// The same for every other cordoned data centre, which the leadership has taken over.
    inherited_until: Duration,
    /// The times at which workers are searched for unconfirmed starts.
    checks: VecDeque<Duration>,
    /// The times of the requests that wait for their commit, in their order.
    requested: VecDeque<Duration>,
    /// The jobs that a cordon lets wait, as found by the last check.
    blocked: BTreeSet<JobKey>,
    /// The time of the next such check.
    blocked_check_at: Duration,
}

impl CordonWatch {
    /// Creates the watch of a new leadership.
    pub(super) fn new(cordons: &CordonSet, now: Duration) -> Self {
        let inherited_until = now + INHERITED_CONFIRM_TIME;
        let checks = if cordons.is_empty() { None } else { Some(inherited_until) };
        Self {
            proposed: cordons.clone(),
            confirm_until: BTreeMap::new(),
            inherited_until,
            checks: checks.into_iter().collect(),
            requested: VecDeque::new(),
            blocked: BTreeSet::new(),
            blocked_check_at: now,
        }
    }

    /// Returns whether unconfirmed starts in a data centre are to be stopped.
    fn is_overdue(&self, data_centre: &str, now: Duration) -> bool {
        let until = self.confirm_until.get(data_centre).copied().unwrap_or(self.inherited_until);
        self.proposed.contains(data_centre) && until <= now
    }
}

/// Returns whether a report shows that a run has begun. Agents also list starts that are on their
/// way to the executor, always without progress and checkpoint.
pub(super) fn is_confirmed(report: &RunReport) -> bool {
    report.percent > 0 || report.figure > 0 || !report.checkpoint.is_empty()
}

impl LeaderState {
    /// Sets whether the worker on an executor is in a cordoned data centre.
    pub(super) fn mark_cordoned(&mut self, executor: &Arc<str>) {
        if let Some(view) = self.workers.get_mut(executor) {
            view.cordoned = self.cordons.proposed.contains(&view.report.data_centre);
        }
    }

    /// Sets the same for all workers of a data centre.
    fn mark_workers_of(&mut self, data_centre: &DataCentreName) {
        let cordoned = self.cordons.proposed.contains(data_centre.as_str());
        for (executor, view) in &mut self.workers {
            if view.report.data_centre == data_centre.as_str() {
                view.cordoned = cordoned;
                self.planner.touch(executor);
            }
        }
        self.replan = true;
    }

    fn workers_of<'a>(
        &'a self,
        data_centre: &'a DataCentreName,
    ) -> impl Iterator<Item = &'a WorkerView> {
        let workers = self.workers.values();
        workers.filter(|view| view.report.data_centre == data_centre.as_str())
    }

    /// Returns the figures about cordoned data centres, whose number the caller knows.
    pub(super) fn cordon_figures(&self, data_centres: usize) -> CordonFigures {
        let waiting_jobs = self.cordons.blocked.len();
        let mut figures = CordonFigures { data_centres, waiting_jobs, ..CordonFigures::default() };
        let cordoned = self.workers.values().filter(|view| view.cordoned);
        for (task, _) in cordoned.flat_map(|view| self.speculative.placed_tasks(view.incarnation()))
        {
            let job = self.speculative.job(task.job);
            match job.and_then(|job| job.step_spec(&task)) {
                Some(spec) if spec.lasting => figures.lasting += 1,
                Some(spec) if spec.checkpointing => figures.checkpointing += 1,
                _ => figures.other += 1,
            }
        }
        figures
    }

    /// Returns the event about a waiting step if a worker in a cordoned data centre has what the
    /// step asks for and no other worker has, whatever capacity is free.
    fn cordon_that_blocks(&self, key: StepKey) -> Option<FlowEvent> {
        let job = self.speculative.job(key.job)?;
        let label = job.spec.steps.get(usize::from(key.step))?.required_label.as_ref();
        let rule = self.speculative.config().and_then(|config| config.queue(&job.queue));
        let service = rule.map_or(&job.service, |rule| &rule.service);
        let suits = |view: &&WorkerView| {
            let labelled = label.is_none_or(|label| view.report.labels.contains(label));
            labelled && view.report.service == *service
        };
        let mut cordoned = None;
        for view in self.workers.values().filter(suits) {
            if !view.cordoned {
                return None;
            }
            cordoned = Some(view.report.data_centre.clone());
        }
        let (label, data_centre) = (label.cloned(), cordoned?);
        Some(FlowEvent::JobBlocked { job: key.job, step: key.step, label, data_centre })
    }

    /// Returns the runs on a worker that no report has shown to have begun.
    fn unconfirmed_on(&self, worker: &WorkerIncarnation, now: Duration) -> Vec<Placement> {
        let mut placements = self.placements_on(worker);
        placements.retain(|Placement { task, run, .. }| {
            let progress = self.progress.get(task).filter(|progress| progress.run == *run);
            let confirmed = progress.is_some_and(|progress| progress.confirmed);
            let stopped = self.stopping.get(task).is_some_and(|(stopped, at)| {
                stopped == run && now.saturating_sub(*at) < STOP_REPEAT
            });
            !confirmed && !stopped && !self.pending.ends(task, *run)
        });
        placements
    }
}

impl ControlNode {
    /// Returns whether the worker on an executor is in a cordoned data centre.
    pub(super) fn is_cordoned(&self, executor: &Arc<str>) -> bool {
        let view = self.leader.as_ref().and_then(|leader| leader.workers.get(executor));
        view.is_some_and(|view| view.cordoned)
    }

    /// Proposes the cordon of a data centre. Nothing is placed there from now on. A repeated request
    /// is proposed as well: only its commit shows that this replica still leads.
    pub(super) fn handle_cordon(&mut self, ticket: ReplyTicket, data_centre: DataCentreName) {
        let Some(leader) = &mut self.leader else {
            self.redirect(ticket);
            return;
        };
        let repeated = leader.cordons.proposed.contains(data_centre.as_str());
        if leader.cordons.proposed.cordon(&data_centre) != CommandOutcome::Done {
            let answer = OperatorAnswer::CordonLimit;
            self.effects.push(ControlEffect::Answer { ticket, answer });
            return;
        }
        let (workers, runs, elapsed_ms) = Default::default();
        let command = FlowCommand::Cordon { data_centre: data_centre.clone() };
        let event = FlowEvent::CordonSet {
            data_centre: data_centre.clone(),
            repeated,
            workers,
            runs,
            elapsed_ms,
        };
        self.propose_cordon(ticket, &data_centre, command, event);
    }

    /// Proposes to lift the cordon of a data centre.
    pub(super) fn handle_lift(&mut self, ticket: ReplyTicket, data_centre: DataCentreName) {
        let Some(leader) = &mut self.leader else {
            self.redirect(ticket);
            return;
        };
        let repeated = !leader.cordons.proposed.contains(data_centre.as_str());
        leader.cordons.proposed.lift(&data_centre);
        let (workers, runs, elapsed_ms) = Default::default();
        let command = FlowCommand::LiftCordon { data_centre: data_centre.clone() };
        let event = FlowEvent::CordonLifted {
            data_centre: data_centre.clone(),
            repeated,
            workers,
            runs,
            elapsed_ms,
        };
        self.propose_cordon(ticket, &data_centre, command, event);
    }

    fn propose_cordon(
        &mut self,
        ticket: ReplyTicket,
        data_centre: &DataCentreName,
        command: FlowCommand,
        event: FlowEvent,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        leader.cordons.requested.push_back(now);
        if matches!(event, FlowEvent::CordonSet { repeated: false, .. }) {
            // Agents need not confirm anything before the cordon is committed.
            leader.cordons.confirm_until.insert(data_centre.clone(), Duration::MAX);
        }
        leader.mark_workers_of(data_centre);
        let answer = ControlEffect::Answer { ticket, answer: OperatorAnswer::Accepted };
        self.propose(command, vec![ControlEffect::Record(event), answer]);
    }

    /// Completes the log line of a request that is now committed. The time in which agents may
    /// confirm their starts begins with the first commit of a cordon.
    pub(super) fn note_cordon_committed(&mut self, effect: &mut ControlEffect) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let (FlowEvent::CordonSet { data_centre, workers, runs, elapsed_ms, repeated }
        | FlowEvent::CordonLifted { data_centre, workers, runs, elapsed_ms, repeated }) =
            (match effect {
                ControlEffect::Record(event) => event,
                _ => return,
            })
        else {
            return;
        };
        let requested = leader.cordons.requested.pop_front().unwrap_or(now);
        *elapsed_ms = now.saturating_sub(requested).as_millis() as u64;
        *workers = leader.workers_of(data_centre).count();
        let placed = leader.workers_of(data_centre).map(WorkerView::incarnation);
        *runs = placed.map(|worker| leader.speculative.placed_tasks(worker).count()).sum();
        let (data_centre, first) = (data_centre.clone(), !*repeated);
        let cordoned = leader.cordons.proposed.contains(data_centre.as_str());
        let set = matches!(effect, ControlEffect::Record(FlowEvent::CordonSet { .. }));
        if set && first && cordoned {
            let until = now + CONFIRM_TIME;
            leader.cordons.confirm_until.insert(data_centre, until);
            leader.cordons.checks.push_back(until);
        } else if !cordoned {
            leader.cordons.confirm_until.remove(&data_centre);
        }
    }

    /// Reports the jobs that wait because only cordoned data centres have what they ask for, each
    /// once. Examines only the steps that the last pass left waiting.
    pub(super) fn check_blocked_jobs(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if now < leader.cordons.blocked_check_at {
            return;
        }
        leader.cordons.blocked_check_at = now + BLOCKED_CHECK_INTERVAL;
        let known = std::mem::take(&mut leader.cordons.blocked);
        if leader.cordons.proposed.is_empty() {
            return;
        }
        let mut blocked = BTreeSet::new();
        let mut events = Vec::new();
        for key in leader.planner.blocked_steps().copied() {
            let Some(event) = leader.cordon_that_blocks(key) else { continue };
            if known.contains(&key.job) || events.len() < BLOCKED_LINES {
                let new = blocked.insert(key.job) && !known.contains(&key.job);
                events.extend(new.then_some(event));
            }
        }
        leader.cordons.blocked = blocked;
        events.into_iter().for_each(|event| self.record(event));
    }

    /// Stops the unconfirmed starts in cordoned data centres, once for each cordon. Later ones are
    /// found in the lists of the agents.
    pub(super) fn check_cordons(&mut self) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        if leader.cordons.checks.front().is_none_or(|at| *at > now) {
            return;
        }
        leader.cordons.checks.retain(|at| *at > now);
        let cordoned = leader.workers.values().filter(|view| view.cordoned);
        let workers: Vec<WorkerIncarnation> =
            cordoned.map(|view| view.incarnation().clone()).collect();
        for worker in workers {
            self.withdraw_unconfirmed(&worker);
        }
    }

    /// Stops the runs on a worker of a cordoned data centre that no report has shown to have begun,
    /// once agents have had the time to confirm them. The stop ends a start that is on its way.
    pub(super) fn withdraw_unconfirmed(&mut self, worker: &WorkerIncarnation) {
        let now = self.now;
        let Some(leader) = &self.leader else { return };
        let Some(view) = leader.workers.get(&worker.executor).filter(|view| view.cordoned) else {
            return;
        };
        if !leader.cordons.is_overdue(&view.report.data_centre, now) {
            return;
        }
        for placement in leader.unconfirmed_on(worker, now) {
            self.withdraw_order(&placement, StopReason::DataCentreCordoned);
        }
    }
}
