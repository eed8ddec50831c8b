//! Processes the platform's answers and applies them to attempts.

use {
    super::{
        attempts::{attempt_id, ended_state, AttemptGoal, AttemptPhase, LocalAttempt},
        types::AgentEffect,
        AgentReducer,
    },
    crate::platform::{
        AttemptId, PlatformCall, PlatformFault, PlatformLease, PlatformListing, PlatformReply,
        PlatformState, PlatformTask, PlatformUsage,
    },
    base::CheckpointId,
    proto::messages::{AttemptState, StartRefusal, ThrottleLevel},
    std::time::Duration,
    telemetry::AgentEvent,
};

/// The time after which the agent repeats a call that got no answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

impl AgentReducer {
    /// Lists the platform's attempts when that is due.
    pub(super) fn list_when_due(&mut self, now: Duration) {
        let due = self.platform.next_list_at().is_some_and(|at| now >= at);
        if due && !self.superseded {
            self.platform.listing_since = Some(now);
            self.effects.push(AgentEffect::CallPlatform(PlatformCall::List));
        }
    }

    /// Returns the lease for the platform, once the agent has a lease and has listed the platform.
    pub(super) fn platform_lease(&self) -> Option<PlatformLease> {
        self.platform.lease_until(self.lease.deadline()?)
    }

    /// Passes the renewed lease to the platform.
    pub(super) fn renew_platform(&mut self) {
        if let Some(lease) = self.platform_lease() {
            self.effects.push(AgentEffect::CallPlatform(PlatformCall::Renew { lease }));
        }
    }

    /// Asks the platform to forget an attempt whose end control has committed.
    pub(super) fn forget_on_platform(&mut self, id: AttemptId) {
        self.effects.push(AgentEffect::CallPlatform(PlatformCall::Forget { id }));
    }

    /// Processes the result of a call.
    pub(super) fn on_platform_done(
        &mut self,
        now: Duration,
        call: PlatformCall,
        result: Result<PlatformReply, PlatformFault>,
    ) {
        self.record_platform_silence(&result);
        if self.superseded {
            return;
        }
        match call {
            PlatformCall::List => self.on_listed(now, result),
            PlatformCall::Run { assignment, .. } => {
                self.on_run_done(now, &attempt_id(&assignment), result);
            }
            PlatformCall::Checkpoint { id } => self.on_checkpoint_done(now, &id, result),
            PlatformCall::Throttle { id, throttle } => {
                self.on_throttle_done(now, &id, throttle, &result);
            }
            PlatformCall::Stop { id } => self.on_stop_done(now, &id, result),
            PlatformCall::Renew { .. } | PlatformCall::Forget { .. } => {}
        }
    }

    fn record_platform_silence(&mut self, result: &Result<PlatformReply, PlatformFault>) {
        let silent = result.is_err();
        if silent == self.platform.silent {
            return;
        }
        self.platform.silent = silent;
        self.record(match result {
            Err(fault) => AgentEvent::PlatformSilent { reason: fault.detail.clone() },
            Ok(_) => AgentEvent::PlatformAnswers {},
        });
    }

    fn on_run_done(
        &mut self,
        now: Duration,
        id: &AttemptId,
        result: Result<PlatformReply, PlatformFault>,
    ) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.call_in_flight = false;
        match result {
            Ok(PlatformReply::Done) => {
                attempt.enter(now, AttemptPhase::Running);
                let AttemptId { task, attempt } = id.clone();
                self.record(AgentEvent::TaskStarted { task, attempt });
                self.expedite_heartbeat();
            }
            Ok(PlatformReply::Refused { detail }) => {
                let refusal = StartRefusal::Platform { detail };
                self.end_attempt(now, id, AttemptState::Refused(refusal));
            }
            // The agent can't know whether the attempt runs. The next step stops it, which settles
            // that.
            Ok(_) | Err(_) => {}
        }
    }

    fn on_checkpoint_done(
        &mut self,
        now: Duration,
        id: &AttemptId,
        result: Result<PlatformReply, PlatformFault>,
    ) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.call_in_flight = false;
        attempt.retry_at = Duration::ZERO;
        let checkpoint: Option<CheckpointId> = match result {
            Ok(PlatformReply::Checkpointed { checkpoint }) => Some(checkpoint),
            Ok(_) => None,
            Err(_) => {
                attempt.retry_at = now + RETRY_PAUSE;
                return;
            }
        };
        if !attempt.has_ended() {
            attempt.enter(now, AttemptPhase::Stopping { checkpoint });
        }
    }

    fn on_throttle_done(
        &mut self,
        now: Duration,
        id: &AttemptId,
        throttle: ThrottleLevel,
        result: &Result<PlatformReply, PlatformFault>,
    ) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.call_in_flight = false;
        match result {
            Ok(_) => {
                attempt.applied = throttle;
                attempt.retry_at = Duration::ZERO;
            }
            Err(_) => attempt.retry_at = now + RETRY_PAUSE,
        }
    }

    fn on_stop_done(
        &mut self,
        now: Duration,
        id: &AttemptId,
        result: Result<PlatformReply, PlatformFault>,
    ) {
        let Some(attempt) = self.attempts.attempts.get_mut(id) else { return };
        attempt.call_in_flight = false;
        attempt.retry_at = Duration::ZERO;
        let AttemptPhase::Stopping { checkpoint } = attempt.phase.clone() else { return };
        match result {
            Ok(PlatformReply::Ended { state }) if state != PlatformState::Running => {
                let ended = ended_state(state, checkpoint);
                self.end_attempt(
                    now,
                    id,
                    ended.unwrap_or(AttemptState::Stopped { checkpoint: None }),
                );
            }
            Ok(_) | Err(_) => attempt.retry_at = now + RETRY_PAUSE,
        }
    }

    fn on_listed(&mut self, now: Duration, result: Result<PlatformReply, PlatformFault>) {
        let Some(since) = self.platform.listing_since.take() else { return };
        self.platform.next_list_at = now + self.policy.lease().heartbeat;
        let Ok(PlatformReply::Listing(listing)) = result else { return };
        let PlatformListing { life, clock, capacity, tasks, usage } = *listing;
        let first = !self.platform.is_listed();
        if self.platform.known_capacity().unwrap_or(self.config.capacity) != capacity {
            self.announcement_version += 1;
        }
        self.platform.incarnation = Some(life);
        self.platform.clock = clock;
        self.platform.clock_read = now;
        self.platform.capacity = capacity;
        self.end_missing(now, since, &tasks);
        for task in tasks {
            self.reconcile_listed(now, since, first, task);
        }
        if let Some(usage) = usage {
            self.record_measurement(usage);
        }
        if first {
            self.report_all = true;
            self.renew_platform();
            self.expedite_heartbeat();
        }
    }

    /// Ends attempts that ran before the list was requested and are not on it: the platform has
    /// lost them.
    fn end_missing(&mut self, now: Duration, since: Duration, tasks: &[PlatformTask]) {
        let listed: Vec<AttemptId> =
            tasks.iter().map(|task| attempt_id(&task.assignment)).collect();
        let attempts = self.attempts.attempts.iter();
        let missing = attempts.filter(|(id, attempt)| {
            matches!(attempt.phase, AttemptPhase::Running | AttemptPhase::Checkpointing)
                && !attempt.call_in_flight
                && attempt.since < since
                && !listed.contains(id)
        });
        for id in missing.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            let detail = "the platform no longer knows the task".to_owned();
            self.end_attempt(now, &id, AttemptState::Failed { detail });
        }
    }

    fn reconcile_listed(
        &mut self,
        now: Duration,
        since: Duration,
        first: bool,
        task: PlatformTask,
    ) {
        let id = attempt_id(&task.assignment);
        let Some(attempt) = self.attempts.attempts.get(&id) else {
            return self.reconcile_unknown(now, first, id, task);
        };
        let stale = attempt.call_in_flight || attempt.since >= since || !attempt.may_run();
        let checkpoint = match &attempt.phase {
            AttemptPhase::Stopping { checkpoint } => checkpoint.clone(),
            _ => None,
        };
        if stale {
            return;
        }
        if let Some(ended) = ended_state(task.state, checkpoint) {
            self.end_attempt(now, &id, ended);
        }
    }

    /// Processes an attempt that this incarnation did not start. The first list contains those of
    /// the previous incarnation. On later lists, such attempts are leftovers: stopped ones, or ones
    /// whose end is committed.
    fn reconcile_unknown(&mut self, now: Duration, first: bool, id: AttemptId, task: PlatformTask) {
        let runs = task.state == PlatformState::Running;
        if !first && !runs {
            return self.forget_on_platform(id);
        }
        let mut adopted = LocalAttempt::adopted(now, task.assignment, task.throttle);
        if !first {
            adopted.goal = AttemptGoal::Stop;
        }
        self.attempts.attempts.insert(id.clone(), adopted);
        match ended_state(task.state, None) {
            Some(ended) => self.end_attempt(now, &id, ended),
            None => {
                let AttemptId { task, attempt } = id;
                self.record(AgentEvent::TaskAdopted { task, attempt });
            }
        }
    }

    fn record_measurement(&mut self, usage: PlatformUsage) {
        for measured in &usage.tasks {
            if let Some(attempt) = self.attempts.attempts.get_mut(&measured.id) {
                attempt.used = measured.used;
            }
        }
        self.platform.usage = Some(usage);
    }
}
