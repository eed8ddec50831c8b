//! Applies control's commands to attempts, and takes each attempt's next step towards its goal.

use {
    super::{
        attempts::{attempt_id, AttemptGoal, AttemptPhase, LocalAttempt},
        types::AgentEffect,
        AgentReducer,
    },
    crate::platform::{AttemptId, PlatformCall},
    proto::messages::{
        AttemptState, LeaseRenewal, StartRefusal, TaskAssignment, TaskCommand, ThrottleLevel,
    },
    std::time::Duration,
    telemetry::AgentEvent,
};

impl AgentReducer {
    /// Applies the commands of a renewal.
    pub(super) fn apply_commands(&mut self, now: Duration, renewal: LeaseRenewal) {
        if renewal.commands_complete {
            self.stop_attempts_not_named(&renewal.commands);
        }
        for command in renewal.commands {
            self.apply_command(now, command);
        }
        self.cursor = renewal.cursor;
    }

    fn stop_attempts_not_named(&mut self, commands: &[TaskCommand]) {
        let named: Vec<AttemptId> = commands.iter().map(command_target).collect();
        let known: Vec<AttemptId> = self.attempts.attempts.keys().cloned().collect();
        for id in known.into_iter().filter(|id| !named.contains(id)) {
            self.advance_goal(&id, AttemptGoal::Stop);
        }
    }

    fn apply_command(&mut self, now: Duration, command: TaskCommand) {
        match command {
            TaskCommand::Run { assignment, throttle } => {
                self.apply_run_command(now, assignment, throttle)
            }
            TaskCommand::Evict { task, attempt } => {
                self.advance_goal(&AttemptId { task, attempt }, AttemptGoal::Evict);
            }
            TaskCommand::Stop { task, attempt } => {
                self.advance_goal(&AttemptId { task, attempt }, AttemptGoal::Stop);
            }
        }
    }

    fn apply_run_command(
        &mut self,
        now: Duration,
        assignment: TaskAssignment,
        throttle: ThrottleLevel,
    ) {
        let id = attempt_id(&assignment);
        if let Some(known) = self.attempts.attempts.get_mut(&id) {
            known.throttle = throttle;
            if known.goal == AttemptGoal::Undecided {
                known.goal = AttemptGoal::Run;
            }
            return;
        }
        if self.attempts.end_was_acknowledged(&id) {
            return;
        }
        let refusal = if self.attempts.has_later(&id) {
            Some(StartRefusal::OtherAttempt)
        } else if self.draining {
            Some(StartRefusal::Draining)
        } else {
            None
        };
        self.attempts.attempts.insert(id.clone(), LocalAttempt::waiting(assignment, throttle));
        if let Some(refusal) = refusal {
            return self.end_attempt(now, &id, AttemptState::Refused(refusal));
        }
        self.stop_earlier(&id);
    }

    /// Stops earlier attempts of the task. A command to run a later one proves that control has
    /// given them up.
    fn stop_earlier(&mut self, id: &AttemptId) {
        let known = self.attempts.attempts.keys();
        let earlier = known.filter(|other| other.task == id.task && other.attempt < id.attempt);
        for earlier in earlier.cloned().collect::<Vec<_>>() {
            self.advance_goal(&earlier, AttemptGoal::Stop);
        }
    }

    /// Moves an attempt's goal towards its end, never back, and drains its endpoints.
    pub(super) fn advance_goal(&mut self, id: &AttemptId, goal: AttemptGoal) {
        let Some(known) = self.attempts.attempts.get_mut(id) else { return };
        known.goal = known.goal.max(goal);
        if known.has_ended() {
            return;
        }
        for endpoint in self.endpoints.endpoints_of_task(&id.task) {
            if let Some(event) = self.endpoints.leave(&endpoint) {
                self.record(event);
            }
        }
    }

    /// Stops all attempts when the stop margin before the end of the lease is reached.
    pub(super) fn stop_when_lease_ends(&mut self, now: Duration) {
        let margin = self.policy.lease().stop_margin;
        if self.lease.stop_at(margin).is_none_or(|stop| now < stop) {
            return;
        }
        self.lease.give_up();
        self.record(AgentEvent::LeaseEnded { worker: self.config.worker.clone() });
        for id in self.attempts.attempts.keys().cloned().collect::<Vec<_>>() {
            self.advance_goal(&id, AttemptGoal::Stop);
        }
    }

    /// Takes the next step of every attempt.
    pub(super) fn advance_attempts(&mut self, now: Duration) {
        for id in self.attempts.attempts.keys().cloned().collect::<Vec<_>>() {
            self.advance_attempt(now, &id);
        }
    }

    fn advance_attempt(&mut self, now: Duration, id: &AttemptId) {
        let Some(attempt) = self.attempts.attempts.get(id) else { return };
        if attempt.call_in_flight || now < attempt.retry_at {
            return;
        }
        match (&attempt.phase, attempt.goal) {
            (AttemptPhase::Ended(_), _) => {}
            (AttemptPhase::Waiting, AttemptGoal::Undecided | AttemptGoal::Run) => {
                self.try_start(now, id);
            }
            (AttemptPhase::Waiting, _) if self.lease.deadline().is_none() => {
                self.end_attempt(now, id, AttemptState::Refused(StartRefusal::LeaseEnding));
            }
            (AttemptPhase::Waiting, _) => {
                self.end_attempt(now, id, AttemptState::Stopped { checkpoint: None });
            }
            (AttemptPhase::Running, AttemptGoal::Undecided) => {}
            (AttemptPhase::Running, AttemptGoal::Run) => self.apply_throttle(id),
            (AttemptPhase::Running, AttemptGoal::Evict) => {
                let call = PlatformCall::Checkpoint { id: id.clone() };
                self.enter_and_call(now, id, AttemptPhase::Checkpointing, call);
            }
            (AttemptPhase::Checkpointing, AttemptGoal::Evict) => self.retry_checkpoint(now, id),
            (AttemptPhase::Stopping { checkpoint }, _) => {
                let phase = AttemptPhase::Stopping { checkpoint: checkpoint.clone() };
                self.enter_and_call(now, id, phase, PlatformCall::Stop { id: id.clone() });
            }
            (AttemptPhase::Running | AttemptPhase::Checkpointing | AttemptPhase::Starting, _) => {
                let phase = AttemptPhase::Stopping { checkpoint: None };
                self.enter_and_call(now, id, phase, PlatformCall::Stop { id: id.clone() });
            }
        }
    }

    fn try_start(&mut self, now: Duration, id: &AttemptId) {
        let margin = self.policy.lease().stop_margin;
        if !self.lease.is_valid(now, margin) {
            return self.end_attempt(now, id, AttemptState::Refused(StartRefusal::LeaseEnding));
        }
        let Some(lease) = self.platform_lease() else { return };
        if self.attempts.other_may_run(id) {
            return;
        }
        let Some(attempt) = self.attempts.attempts.get(id) else { return };
        let available = self.platform.capacity().saturating_sub(&self.attempts.occupied());
        if !attempt.assignment.reserved.fits_in(&available) {
            return self.end_attempt(now, id, AttemptState::Refused(StartRefusal::NoRoom));
        }
        let call = PlatformCall::Run {
            assignment: Box::new(attempt.assignment.clone()),
            throttle: attempt.throttle,
            lease,
        };
        self.enter_and_call(now, id, AttemptPhase::Starting, call);
    }

    fn apply_throttle(&mut self, id: &AttemptId) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        if attempt.throttle == attempt.applied {
            return;
        }
        attempt.call_in_flight = true;
        let call = PlatformCall::Throttle { id: id.clone(), throttle: attempt.throttle };
        self.effects.push(AgentEffect::CallPlatform(call));
    }

    fn retry_checkpoint(&mut self, now: Duration, id: &AttemptId) {
        let limit = self.policy.checkpoint_limit();
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        if now >= attempt.since + limit {
            attempt.enter(now, AttemptPhase::Stopping { checkpoint: None });
            return self.advance_attempt(now, id);
        }
        attempt.call_in_flight = true;
        let call = PlatformCall::Checkpoint { id: id.clone() };
        self.effects.push(AgentEffect::CallPlatform(call));
    }

    fn enter_and_call(
        &mut self,
        now: Duration,
        id: &AttemptId,
        phase: AttemptPhase,
        call: PlatformCall,
    ) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.enter(now, phase);
        attempt.call_in_flight = true;
        self.effects.push(AgentEffect::CallPlatform(call));
    }

    /// Ends an attempt. The agent reports the end until the leader acknowledges it.
    pub(super) fn end_attempt(&mut self, now: Duration, id: &AttemptId, state: AttemptState) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.enter(now, AttemptPhase::Ended(state.clone()));
        let AttemptId { task, attempt } = id.clone();
        self.record(match state {
            AttemptState::Refused(refusal) => {
                AgentEvent::StartRefused { task, attempt, reason: format!("{refusal:?}") }
            }
            state => AgentEvent::TaskEnded { task, attempt, state: format!("{state:?}") },
        });
        self.expedite_heartbeat();
    }

    /// Returns when the next failed call may be repeated.
    pub(super) fn next_call_retry(&self) -> Option<Duration> {
        let attempts = self.attempts.attempts.values();
        let failed = attempts.filter(|attempt| !attempt.call_in_flight && !attempt.has_ended());
        failed.map(|attempt| attempt.retry_at).filter(|at| !at.is_zero()).min()
    }
}

fn command_target(command: &TaskCommand) -> AttemptId {
    match command {
        TaskCommand::Run { assignment, .. } => attempt_id(assignment),
        TaskCommand::Evict { task, attempt } | TaskCommand::Stop { task, attempt } => {
            AttemptId { task: task.clone(), attempt: *attempt }
        }
    }
}
