//! Workers: the reports of their agents, their leases, and the ends of their runs.

use {
    super::{
        crashes::FormerWorker,
        endings::EndCause,
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{
        event::{EndFact, FactSource, FlowEvent, LossProof, LossReason, StopReason},
        job::{RunNumber, TaskKey, WorkerIncarnation},
        message::{EndReport, LinkMessage, RunReport, WorkerReport},
        plan::{FailureHistory, Placement, WorkerView},
        state::{EndKind, FlowCommand},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Share of a lease's length by which the lease may last longer, measured by a worker's slower
/// clock.
const CLOCK_DRIFT: f64 = 0.025;
/// Additional wait for a lease's end: the granularity of the clocks and of the ticks.
const LEASE_SLACK: Duration = Duration::from_millis(150);

impl ControlNode {
    pub(super) fn handle_worker_report(
        &mut self,
        session: SessionId,
        report: WorkerReport,
        place: &Arc<str>,
    ) {
        let worker = report.worker.clone();
        self.record_shrinkage(&report);
        let event = FlowEvent::WorkerSeen {
            worker: worker.clone(),
            service: report.service.clone(),
            drain_left_ms: report.drain_left_ms,
            stream: session.0,
        };
        let Some(leader) = &mut self.leader else { return };
        let executor = worker.executor.clone();
        let before = leader.agents.insert(session, worker.clone());
        let former = before.clone().filter(|former| *former != worker).map(|former| {
            let drained = leader.crashes.has_drained(place, &former);
            let (draining, successor) = (drained || leader.is_draining(&former), worker.clone());
            FormerWorker { worker: former, draining, successor }
        });
        leader.crashes.note_report(place, &report, former);
        let own = |earlier: &WorkerIncarnation| {
            earlier.executor != executor && leader.sessions.get(&earlier.executor) == Some(&session)
        };
        if let Some(earlier) = before.filter(own) {
            leader.sessions.remove(&earlier.executor);
            leader.workers.shift_remove(&earlier.executor);
        }
        let known = leader.sessions.insert(executor.clone(), session) == Some(session);
        let (draining, responsive) = (report.drain_left_ms.is_some(), report.responsive);
        match leader.workers.get_mut(&executor).filter(|view| *view.incarnation() == worker) {
            Some(view) => view.report = report,
            None => {
                leader.workers.insert(executor, WorkerView::new(report));
            }
        }
        leader.mark_cordoned(&worker.executor);
        leader.planner.touch(&worker.executor);
        leader.replan = true;
        self.record(event);
        self.renew_lease(session);
        self.record_address(session, &worker, place, responsive);
        if !known || !responsive {
            self.distrust_durations(&worker);
        }
        if !known {
            self.repeat_orders(session, &worker);
        }
        if draining {
            self.evacuate_worker(&worker);
        }
    }

    /// Records the address of a worker, and ends the runs of any earlier executor at that address,
    /// which has ended if this one answers there. Orders for the earlier executor cannot reach this
    /// one, which has another id. A worker that does not answer proves nothing: agents repeat to each
    /// leader which executor has ended, and the clock may have jumped back since that one's start.
    fn record_address(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        place: &Arc<str>,
        responsive: bool,
    ) {
        let Some(leader) = &self.leader else { return };
        let executor = worker.executor.clone();
        let known = leader.speculative.executor_address_of(&executor) == Some(place);
        let earlier = |at: &&WorkerIncarnation| {
            let before = at.executor != executor && at.started_ms < worker.started_ms;
            responsive
                && before
                && leader.speculative.executor_address_of(&at.executor) == Some(place)
        };
        let replaced: Vec<WorkerIncarnation> =
            leader.speculative.placed_incarnations().filter(earlier).cloned().collect();
        if !known {
            let place = place.clone();
            self.propose(FlowCommand::RecordAddress { executor, place }, Vec::new());
        }
        for incarnation in replaced {
            let (successor, address) = (worker.clone(), place.clone());
            let proof = LossProof::Replaced { successor, address };
            self.end_worker_runs(&incarnation, proof, FactSource::Stream(session.0));
        }
    }

    /// Settles the placements on earlier incarnations of an executor, once the present incarnation
    /// has listed its runs. A listed run was ordered for an earlier incarnation and carried out
    /// late by the present one; every other run has ended with its incarnation.
    pub(super) fn settle_earlier_incarnations(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        runs: &[RunReport],
    ) {
        let Some(leader) = &self.leader else { return };
        let placed = leader.placements_before(worker);
        let (listed, ended): (Vec<_>, Vec<_>) = placed
            .into_iter()
            .partition(|placement| runs.iter().any(|row| row.is_of(placement.task, placement.run)));
        for Placement { task, run, .. } in listed {
            let worker = worker.clone();
            self.propose(FlowCommand::Adopt { task, run, worker }, Vec::new());
        }
        let incarnations: BTreeSet<WorkerIncarnation> =
            ended.into_iter().map(|lost| lost.worker).collect();
        for incarnation in incarnations {
            let proof = LossProof::NewIncarnation { successor: worker.clone() };
            self.end_worker_runs(&incarnation, proof, FactSource::Stream(session.0));
        }
    }

    /// Stops the lasting runs of a draining worker, and those that cannot finish in the time that
    /// it has left, so that placement moves them.
    fn evacuate_worker(&mut self, worker: &WorkerIncarnation) {
        let Some(leader) = &self.leader else { return };
        let Some(view) = leader.workers.get(&worker.executor) else { return };
        let drain_left = Duration::from_millis(view.report.drain_left_ms.unwrap_or(0));
        let times = leader.remaining_times(self.now);
        let mut evacuated = Vec::new();
        for placement in leader.placements_on(worker) {
            let task = placement.task;
            let spec = leader.speculative.job(task.job).and_then(|job| job.step_spec(&task));
            let Some(spec) = spec else { continue };
            if spec.lasting || times.remaining(&task, spec) > drain_left {
                evacuated.push(placement);
            }
        }
        for placement in evacuated {
            let stop = self.stop_run(&placement, StopReason::WorkerDraining);
            self.effects.extend(stop);
        }
    }

    /// Counts a new lease for the worker that a stream represents. Once the agent has the answer to
    /// a ping, it may let its executor run on for the length of a lease.
    pub(super) fn renew_lease(&mut self, session: SessionId) {
        let span = self.lease_span();
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let Some(worker) = leader.represented_worker(session).cloned() else { return };
        if let Some(view) = leader.workers.get_mut(&worker.executor) {
            if view.lease_until <= now {
                leader.planner.touch(&worker.executor);
                leader.replan = true;
            }
            view.lease_until = now + span;
        }
        leader.leases.insert(worker, now + span);
    }

    /// Returns the longest time for which a worker may run on after control has renewed its lease.
    fn lease_span(&self) -> Duration {
        self.settings.lease.mul_f64(1.0 + CLOCK_DRIFT) + LEASE_SLACK
    }

    /// Ends the runs of workers whose lease has expired. A leader does not know the leases that an
    /// earlier one granted, so it assumes that they last for a lease and an election timeout from
    /// the start of its leadership.
    pub(super) fn expire_leases(&mut self) {
        let span = self.lease_span() + self.settings.quorum.election_timeout;
        let now = self.now;
        let Some(leader) = &self.leader else { return };
        let inherited = leader.leading_since + span;
        let placed = leader.speculative.placed_incarnations();
        let expired = placed.filter_map(|worker| {
            let granted = leader.leases.get(worker).copied();
            let until = granted.unwrap_or(inherited);
            let expired_ms = now.saturating_sub(until).as_millis() as u64;
            let proof = LossProof::LeaseExpired { expired_ms, inherited: granted.is_none() };
            (until < now).then(|| (worker.clone(), proof))
        });
        let expired: Vec<(WorkerIncarnation, LossProof)> = expired.collect();
        for (worker, proof) in expired {
            self.end_worker_runs(&worker, proof, FactSource::LeaderClock);
        }
        if let Some(leader) = &mut self.leader {
            leader.leases.retain(|_, until| *until >= now);
        }
    }

    /// Handles an agent's report that an incarnation has ended. The agent may not have represented
    /// the incarnation to this leader before.
    pub(super) fn handle_worker_ended(&mut self, session: SessionId, worker: &WorkerIncarnation) {
        let Some(leader) = &self.leader else { return };
        let current = leader.sessions.get(&worker.executor);
        if current.is_none_or(|current| *current == session) {
            self.end_worker_runs(worker, LossProof::Ended, FactSource::Stream(session.0));
        }
    }

    /// Ends every run of an incarnation on which certainly nothing runs any more.
    fn end_worker_runs(
        &mut self,
        worker: &WorkerIncarnation,
        proof: LossProof,
        source: FactSource,
    ) {
        let (now, span, reason) = (self.now, self.lease_span(), proof.reason());
        let Some(leader) = &self.leader else { return };
        let runs = leader.placements_on(worker);
        self.note_unclear_starts(worker, reason, &runs);
        let Some(leader) = &mut self.leader else { return };
        let until = leader.leases.remove(worker);
        let renewed = until.map(|until| now.saturating_sub(until.saturating_sub(span)));
        if reason != LossReason::LeaseExpired {
            let current = leader
                .workers
                .get(&worker.executor)
                .is_some_and(|view| view.incarnation() == worker);
            if current {
                let address = leader.speculative.executor_address_of(&worker.executor).cloned();
                if let Some(address) = address.filter(|_| leader.is_draining(worker)) {
                    leader.crashes.note_drained(address, worker.clone());
                }
                leader.workers.shift_remove(&worker.executor);
            }
        }
        if !runs.is_empty() {
            self.record(FlowEvent::WorkerLost {
                worker: worker.clone(),
                reason,
                proof: proof.clone(),
                source,
                renewed_ms_ago: renewed.map(|age| age.as_millis() as u64),
                runs: runs.len(),
            });
        }
        for Placement { task, run, .. } in runs {
            if self.is_first_report(worker, task, run) {
                let cause = EndCause { fact: EndFact::WorkerLost(proof.clone()), source };
                self.end_run(worker, (task, run), EndKind::Expired, String::new(), cause);
            }
        }
    }

    pub(super) fn handle_ends(
        &mut self,
        session: SessionId,
        worker: &WorkerIncarnation,
        ends: Vec<EndReport>,
    ) {
        if !self.is_agent_stream(session, worker) {
            let reason = format!("{} ends of {worker}, which it does not represent", ends.len());
            let from = format!("stream {}", session.0);
            self.record(FlowEvent::MessageRefused { from, reason });
            return;
        }
        self.note_certain_starts(worker, &ends);
        self.note_begun_runs(&ends);
        let up_to = ends.iter().map(|end| end.number).max().unwrap_or(0);
        for EndReport { number, task, run, end, checkpoint } in ends {
            let placed = self.placed_incarnation(worker, &task, run);
            if self.is_first_report(&placed, task, run) {
                self.record_health(worker, task, run, end);
                self.note_finished_work(&task, run, end);
            }
            let fact = EndFact::reported(number, end);
            let cause = EndCause { fact, source: FactSource::Stream(session.0) };
            self.end_run(&placed, (task, run), end, checkpoint, cause);
        }
        let message = LinkMessage::EndsRecorded { worker: worker.clone(), up_to };
        if let Some(leader) = &mut self.leader {
            leader.pending.deferred.push(ControlEffect::Send { session, message });
            leader.replan = true;
        }
    }

    /// Returns the incarnation on which a run was placed: an earlier one of the same executor if
    /// `worker` has carried out its order late, otherwise `worker` itself.
    pub(super) fn placed_incarnation(
        &self,
        worker: &WorkerIncarnation,
        task: &TaskKey,
        run: RunNumber,
    ) -> WorkerIncarnation {
        let placed = self.leader.as_ref().and_then(|leader| leader.incarnation_of(task, run));
        placed.filter(|at| at.is_before(worker)).unwrap_or(worker).clone()
    }

    /// Returns whether nothing has proposed the end of a run yet. Agents repeat the ends that they
    /// have no acknowledgement for.
    pub(super) fn is_first_report(
        &self,
        placed: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
    ) -> bool {
        let Some(leader) = &self.leader else { return false };
        leader.incarnation_of(&task, run) == Some(placed) && !leader.pending.ends(&task, run)
    }

    fn record_health(
        &mut self,
        worker: &WorkerIncarnation,
        task: TaskKey,
        run: RunNumber,
        end: EndKind,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let failures = leader.speculative.task(&task).map_or(0, |record| record.failures);
        let history = match failures {
            _ if leader.is_failure_counted(&task, run) => FailureHistory::SameRun,
            0 => FailureHistory::First,
            _ => FailureHistory::Repeated,
        };
        let Some(view) = leader.workers.get_mut(&worker.executor) else { return };
        let before = view.is_suspect(now);
        match end {
            EndKind::Done => view.record_completion(),
            EndKind::Failed => view.record_failure(now, task, history),
            EndKind::Refused => view.record_refusal(now),
            EndKind::Stopped | EndKind::Expired | EndKind::GangBroken | EndKind::GangIncomplete => {
            }
        }
        if end == EndKind::Failed && !before && view.is_suspect(now) {
            self.record(FlowEvent::WorkerSuspect { worker: worker.clone() });
        }
    }

    /// Proposes the end of a run, with its newest known checkpoint, unless the log or a proposal has
    /// ended the run already: agents repeat ends, and one end stands for a whole gang that is done.
    pub(super) fn end_run(
        &mut self,
        worker: &WorkerIncarnation,
        (task, run): (TaskKey, RunNumber),
        end: EndKind,
        checkpoint: String,
        cause: EndCause,
    ) {
        let first = self.is_first_report(worker, task, run);
        self.learn_end(worker, &task, run, end);
        let now = self.now;
        let Some(leader) = &mut self.leader else { return };
        let cause = cause.among_gang(first, &leader.speculative, &task);
        let EndCause { fact, source } = cause.clone();
        leader.endings.note_end(&leader.speculative, worker, (task, run, end), (cause, now));
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        let ordered = leader.ordered.get(&task).filter(|(ordered, _)| *ordered == run);
        let ordered_ms_ago = ordered.map(|(_, at)| age_ms(*at));
        let progress = leader.progress.get(&task).filter(|progress| progress.run == run);
        let listed_ms_ago = progress.map(|progress| age_ms(progress.listed_at));
        let known = progress.map(|progress| progress.checkpoint.clone()).unwrap_or_default();
        let watched = leader.forget_run(&task, run, end);
        let worker = worker.clone();
        if first || watched {
            let event = FlowEvent::RunEnded {
                task,
                run,
                worker: worker.clone(),
                end,
                fact,
                source,
                ordered_ms_ago,
                listed_ms_ago,
            };
            leader.pending.deferred.push(ControlEffect::Record(event));
        }
        if !first {
            return;
        }
        let checkpoint = if checkpoint.is_empty() { known } else { checkpoint };
        let recorded = self.end_to_record(&task, run, end);
        let command =
            FlowCommand::End { task, run, worker: worker.clone(), end: recorded, checkpoint };
        self.propose(command, Vec::new());
        if recorded == EndKind::Failed {
            self.note_failed_run(&worker, task, run);
        }
        if end != EndKind::Done {
            self.record_owed(&worker, task);
        }
    }
}
