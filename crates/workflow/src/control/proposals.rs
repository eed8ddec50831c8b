//! Turns commands into entries of the log, and committed entries into effects.

use {
    super::{
        failures::failure_event,
        leader::PendingBatch,
        types::{ControlEffect, OperatorAnswer},
        unstarted::added_jobs,
        ControlNode,
    },
    crate::{
        event::{FlowEvent, FormerRun, StopReason},
        job::{JobKey, TaskKey},
        message::{LinkMessage, StartOrder},
        plan::{Placement, PlanInputs, PlanTime, RemainingTimes},
        state::{CommandBatch, CommandOutcome, FlowCommand, FlowState},
    },
    base::ReplyTicket,
    quorum::{ProposalError, QuorumEvent},
    std::{collections::BTreeSet, time::Duration},
};

/// Divisor of the entries that the log takes before the first of them is committed. It gives those
/// that hold commands; the others are left to changes of the membership.
const UNCOMMITTED_DIVISOR: usize = 2;

impl ControlNode {
    /// Proposes all collected commands, together with the placements that they make possible. Goes
    /// on collecting while the log has many uncommitted entries: one that the log rejects would
    /// leave the speculative state without those before it.
    pub(super) fn settle(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let uncommitted_limit = self.settings.quorum.pending_limit / UNCOMMITTED_DIVISOR;
        let Some(leader) = &mut self.leader else { return };
        if leader.in_flight.len() >= uncommitted_limit.max(1) {
            return;
        }
        let due = leader.planner.is_full_pass_due(now);
        if leader.pending.commands.is_empty() && !leader.replan && !due {
            return;
        }
        let PendingBatch { mut commands, mut deferred, .. } = std::mem::take(&mut leader.pending);
        let elapsed_ms = now.saturating_sub(leader.counted_until).as_millis() as u64;
        leader.counted_until += Duration::from_millis(elapsed_ms);
        leader.unproposed_ms += elapsed_ms;
        let batch = CommandBatch { elapsed_ms, commands };
        let mut ended = affected_jobs(&batch.commands);
        ended.retain(|key| leader.speculative.job(*key).is_some_and(|job| job.outcome.is_none()));
        let added = added_jobs(&batch.commands, &leader.speculative);
        leader.speculative.apply(&batch);
        self.count_unstarted(&batch, &added);
        commands = batch.commands;
        let Some(leader) = &mut self.leader else { return };
        leader.replan = false;
        let (durations, state) = (&leader.durations, &leader.speculative);
        let inputs = PlanInputs {
            state,
            workers: &leader.workers,
            learned: &leader.learned,
            suspects: &leader.suspects,
            durations,
            forecaster: &RemainingTimes { durations, state, now },
            time: PlanTime { now, wall_ms },
        };
        let placements = leader.planner.plan(inputs);
        let mut events = leader.planner.take_events();
        if due {
            let (planned, endings) = ((&leader.planner, inputs), &leader.endings);
            events.extend(leader.waiting.check(planned, &placements, endings, &self.applied));
        }
        events.into_iter().for_each(|event| self.record(event));
        for placement in placements {
            self.place(placement, &mut commands, &mut deferred);
        }
        for job in ended {
            self.finish_job(job, &commands, &mut deferred);
        }
        let Some(leader) = &mut self.leader else { return };
        if commands.is_empty() {
            // An end that is reported again may be in an entry that is not committed yet.
            let last = leader.in_flight.values_mut().next_back();
            last.unwrap_or(&mut self.effects).append(&mut deferred);
            return;
        }
        let elapsed_ms = std::mem::take(&mut leader.unproposed_ms);
        let data = CommandBatch { elapsed_ms, commands }.to_bytes();
        let ticket = self.next_ticket();
        if let Some(leader) = &mut self.leader {
            leader.in_flight.insert(ticket, deferred);
        }
        self.queue.push_back(QuorumEvent::Propose { ticket, data });
    }

    /// Proposes the collected commands ahead of the next decision if they fill an entry.
    pub(super) fn settle_if_full(&mut self) {
        if self.leader.as_ref().is_some_and(|leader| leader.pending.is_full()) {
            self.settle();
        }
    }

    fn place(
        &mut self,
        placement: Placement,
        commands: &mut Vec<FlowCommand>,
        deferred: &mut Vec<ControlEffect>,
    ) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let former = self.former_run(&placement.task);
        let Some(leader) = &mut self.leader else { return };
        let Placement { task, run, worker } = placement;
        let command = FlowCommand::Place { task, run, worker: worker.clone() };
        let batch = CommandBatch { elapsed_ms: 0, commands: vec![command] };
        if leader.speculative.apply(&batch) != [CommandOutcome::Done] {
            return;
        }
        commands.extend(batch.commands);
        leader.ordered.insert(task, (run, now));
        leader.suspects.note_placed(task, run, now);
        leader.watch_run(&task, run, &worker, (Some(now), wall_ms));
        leader.stopping.remove(&task);
        self.note_placed_job(task.job, &worker);
        self.note_started_work(task.job);
        let Some(leader) = &mut self.leader else { return };
        let Some(session) = leader.sessions.get(&worker.executor).copied() else { return };
        let Some(job) = leader.speculative.job(task.job) else { return };
        let failures = job.task(&task).map_or(0, |record| record.failures);
        let after_ms = leader.speculative.clock_ms().saturating_sub(job.accepted_ms);
        let event =
            FlowEvent::TaskPlaced { task, run, worker: worker.clone(), after_ms, failures, former };
        deferred.push(ControlEffect::Record(event));
        if let Some(order) = self.start_order(&Placement { task, run, worker }) {
            deferred.push(ControlEffect::Send { session, message: LinkMessage::Start(order) });
        }
    }

    /// Returns the end of a task's last run: as this leader has recorded it, or else as the log
    /// holds it.
    fn former_run(&self, task: &TaskKey) -> Option<FormerRun> {
        let leader = self.leader.as_ref()?;
        let recorded = leader.endings.former_run(task, self.now);
        recorded.or_else(|| self.logged_ends.former_run(task, leader.speculative.clock_ms()))
    }

    /// Returns the order that starts a placed task.
    pub(super) fn start_order(&self, placement: &Placement) -> Option<StartOrder> {
        let leader = self.leader.as_ref()?;
        let job = leader.speculative.job(placement.task.job)?;
        let spec = job.step_spec(&placement.task)?;
        let checkpoint = if spec.gang {
            gang_checkpoint(job, placement)
        } else {
            job.task(&placement.task)?.checkpoint.clone()
        };
        Some(StartOrder {
            worker: placement.worker.clone(),
            task: placement.task,
            run: placement.run,
            payload: job.spec.payload.clone(),
            checkpoint,
            latency_target_ms: spec.latency_target_ms,
            filler: spec.filler,
        })
    }

    /// Logs the end of a job, which an entry with these commands has brought, and stops its
    /// remaining runs.
    fn finish_job(
        &mut self,
        key: JobKey,
        commands: &[FlowCommand],
        deferred: &mut Vec<ControlEffect>,
    ) {
        let Some(leader) = &mut self.leader else { return };
        let Some(job) = leader.speculative.job(key) else { return };
        let Some(outcome) = job.outcome else { return };
        leader.learned.forget_job(key);
        leader.suspects.forget_job(key);
        leader.crashes.forget_job(key);
        leader.unstarted.remove(key);
        leader.durations.forget_job(key, &job.queue, &job.spec.steps);
        let after_ms = leader.speculative.clock_ms().saturating_sub(job.accepted_ms);
        let failure = failure_event(key, job, commands);
        deferred.extend(failure.map(ControlEffect::Record));
        deferred.push(ControlEffect::Record(FlowEvent::JobEnded { job: key, outcome, after_ms }));
        let runs: Vec<_> = job
            .placed_tasks(key)
            .map(|(task, run, worker)| Placement { task, run, worker: worker.clone() })
            .collect();
        for placement in runs {
            deferred.extend(self.stop_run(&placement, StopReason::JobEnded));
        }
    }

    /// Releases the effects of a committed entry.
    pub(super) fn release(&mut self, ticket: ReplyTicket) {
        let Some(leader) = &mut self.leader else { return };
        for mut effect in leader.in_flight.remove(&ticket).into_iter().flatten() {
            self.note_cordon_committed(&mut effect);
            if self.may_send(&effect) && !self.withdraw_unsent(&effect) {
                self.effects.push(effect);
            }
        }
        self.finish_id_request(ticket);
    }

    /// Returns whether an effect may be sent. A start may be sent only for a placement that the log
    /// holds and that no later proposal has ended: before the entry was committed, the worker's
    /// lease may have expired.
    pub(super) fn may_send(&self, effect: &ControlEffect) -> bool {
        let ControlEffect::Send { message: LinkMessage::Start(order), .. } = effect else {
            return true;
        };
        let holds = |state: &FlowState| {
            state.task(&order.task).is_some_and(|task| task.is_placed(order.run, &order.worker))
        };
        holds(&self.applied)
            && self.leader.as_ref().is_some_and(|leader| holds(&leader.speculative))
    }

    /// Handles a rejected proposal, which leaves the speculative state wrong. Rebuilds this state
    /// from the applied state, as at the start of a leadership, if the replica still leads. Callers
    /// of a proposal that the log did not append learn that nothing was done.
    pub(super) fn drop_proposal(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        let Some(leader) = &mut self.leader else { return };
        if leader.id_requests.remove(&ticket).is_some() || !leader.in_flight.contains_key(&ticket) {
            return;
        }
        if !matches!(error, ProposalError::Unresolved) {
            let effects = leader.in_flight.remove(&ticket);
            leader.pending.deferred.extend(effects.into_iter().flatten());
        }
        let still_leading = !matches!(error, ProposalError::NotLeader { .. });
        let term = leader.term;
        self.end_leadership();
        if still_leading && self.core.role() == quorum::ReplicaRole::Leader {
            self.start_leadership(term);
        }
    }

    /// Adds a command, and the effects that follow its commit, to the next entry.
    pub(super) fn propose(&mut self, command: FlowCommand, deferred: Vec<ControlEffect>) {
        let Some(leader) = &mut self.leader else { return };
        leader.pending.add(command, deferred);
        leader.replan = true;
    }

    pub(super) fn finish_read(&mut self, ticket: ReplyTicket, confirmed: bool) {
        let Some(caller) = self.reads.remove(&ticket) else {
            self.finish_id_request(ticket);
            return;
        };
        let answer = if confirmed {
            let document = self.applied.config().map(|config| config.document.clone());
            OperatorAnswer::Config(document)
        } else {
            OperatorAnswer::Unknown
        };
        self.effects.push(ControlEffect::Answer { ticket: caller, answer });
    }
}

/// Returns the checkpoint from which a gang resumes: the greatest, compared as text, of those in
/// its members' records. Any member's checkpoint is valid for the whole gang, and all members
/// produce the same ones.
fn gang_checkpoint(job: &crate::state::JobRecord, placement: &Placement) -> String {
    let step = &job.occurrences[placement.task.occurrence as usize].steps
        [usize::from(placement.task.step)];
    let known = step.tasks.iter().map(|task| &task.checkpoint);
    known.filter(|checkpoint| !checkpoint.is_empty()).max().cloned().unwrap_or_default()
}

/// Returns the jobs that commands may end.
fn affected_jobs(commands: &[FlowCommand]) -> BTreeSet<JobKey> {
    let ended = commands.iter().filter_map(|command| match command {
        FlowCommand::Cancel { job } => Some(*job),
        FlowCommand::End { task, .. } => Some(task.job),
        _ => None,
    });
    ended.collect()
}
