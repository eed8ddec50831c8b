//! Callers' requests, which entries forward.

use {
    super::{
        leader::JobSubmission,
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{
        event::FlowEvent,
        job::{JobKey, JobSpec, QueueRule},
        message::{CallerAnswer, CallerCall, LinkMessage},
        state::{FlowCommand, JobPhase, JobRecord, Submission, WITHDRAWN_LIMIT},
    },
    std::sync::Arc,
};

/// Why the submission of a withdrawn job is refused.
const WITHDRAWN_REASON: &str = "the job was cancelled before it was submitted; it never runs";

impl ControlNode {
    pub(super) fn handle_call(
        &mut self,
        session: SessionId,
        sequence: u64,
        host: &str,
        path: &str,
        call: CallerCall,
    ) {
        if let Some(answer) = self.answer_call(session, sequence, host, path, call) {
            self.effects.push(answer_effect(session, sequence, answer));
        }
    }

    /// Returns the answer, unless it has to wait for the log.
    fn answer_call(
        &mut self,
        session: SessionId,
        sequence: u64,
        host: &str,
        path: &str,
        call: CallerCall,
    ) -> Option<CallerAnswer> {
        let Some(leader) = &self.leader else { return Some(CallerAnswer::NotLeading) };
        let Some(config) = leader.speculative.config() else { return Some(CallerAnswer::Refused) };
        let version = config.version;
        let Some(rule) = config.queue_at(host, path).cloned() else {
            return Some(CallerAnswer::NoQueue);
        };
        let key_text = &path[rule.path_prefix.len()..];
        if key_text.is_empty() {
            return Some(self.count_pending(&rule));
        }
        let Ok(key) = key_text.parse::<JobKey>() else {
            return Some(CallerAnswer::NoJob);
        };
        match call {
            CallerCall::Show => self.show(session, sequence, key),
            CallerCall::Submit(spec) => self.accept(session, sequence, key, &rule, spec, version),
            CallerCall::Cancel => self.cancel(session, sequence, key, &rule),
        }
    }

    fn count_pending(&mut self, rule: &QueueRule) -> CallerAnswer {
        self.pending_jobs(&rule.name).map_or(CallerAnswer::NotLeading, CallerAnswer::Pending)
    }

    /// Returns the phase of a job in the applied state, since a proposal may still fail. A job whose
    /// submission is only proposed is shown with the commit.
    fn show(&mut self, session: SessionId, sequence: u64, key: JobKey) -> Option<CallerAnswer> {
        if self.submission_of(key)? != JobSubmission::Submitted {
            return Some(CallerAnswer::NoJob);
        }
        let phase = self.applied.job(key).map_or(JobPhase::Queued, JobRecord::phase);
        self.answer_committed(session, sequence, key, CallerAnswer::Phase(phase))
    }

    /// Returns what is known of the submission of a job. What the applied state holds comes first: it
    /// forgets an ended job a moment after the speculative state, and takes no new one until then.
    fn submission_of(&self, key: JobKey) -> Option<JobSubmission> {
        let leader = self.leader.as_ref()?;
        let applied = self.applied.job(key).map(JobSubmission::of);
        Some(applied.unwrap_or_else(|| leader.submission_of(key)))
    }

    /// Returns an answer that rests on a known job, unless its submission is not committed yet: then the
    /// answer follows the commit.
    fn answer_committed(
        &mut self,
        session: SessionId,
        sequence: u64,
        key: JobKey,
        answer: CallerAnswer,
    ) -> Option<CallerAnswer> {
        if self.applied.job(key).is_some() {
            return Some(answer);
        }
        self.leader.as_mut()?.defer(answer_effect(session, sequence, answer));
        None
    }

    fn accept(
        &mut self,
        session: SessionId,
        sequence: u64,
        key: JobKey,
        rule: &QueueRule,
        spec: JobSpec,
        config: u64,
    ) -> Option<CallerAnswer> {
        if let Err(problem) = spec.check() {
            let reason = problem.to_string();
            self.record(FlowEvent::JobRefused { job: key, reason: reason.clone() });
            return Some(CallerAnswer::Invalid(reason));
        }
        if self.submission_of(key)? == JobSubmission::Withdrawn {
            let reason = WITHDRAWN_REASON.to_owned();
            self.record(FlowEvent::JobRefused { job: key, reason: reason.clone() });
            return self.answer_committed(session, sequence, key, CallerAnswer::Invalid(reason));
        }
        if self.applied.job(key).is_some() {
            return Some(CallerAnswer::Accepted);
        }
        let refusal =
            self.refuse_excess(key, &spec).or_else(|| self.refuse_overload(key, &spec, rule));
        if refusal.is_some() {
            return refusal;
        }
        let tasks = spec.steps.iter().map(|step| u32::from(step.count)).sum();
        let queue = rule.name.clone();
        let event = FlowEvent::JobAccepted { job: key, queue: queue.clone(), tasks, config };
        let submission = Submission {
            job: key,
            queue,
            service: rule.service.clone(),
            priority: rule.priority,
            attempt_limit: rule.attempt_limit,
            spec: Arc::new(spec),
        };
        let answer = answer_effect(session, sequence, CallerAnswer::Accepted);
        let deferred = vec![ControlEffect::Record(event), answer];
        self.propose(FlowCommand::Submit(submission), deferred);
        None
    }

    fn cancel(
        &mut self,
        session: SessionId,
        sequence: u64,
        key: JobKey,
        rule: &QueueRule,
    ) -> Option<CallerAnswer> {
        match self.submission_of(key)? {
            JobSubmission::Unknown => self.withdraw(session, sequence, key, rule),
            JobSubmission::Withdrawn => {
                self.answer_committed(session, sequence, key, CallerAnswer::NoJob)
            }
            JobSubmission::Submitted => {
                let answer = answer_effect(session, sequence, CallerAnswer::Cancelled);
                self.propose(FlowCommand::Cancel { job: key }, vec![answer]);
                None
            }
        }
    }

    /// Records the cancel of an unknown job, whose submission may still arrive: from an entry that has
    /// stood still, or on a slower stream than the cancel. The log holds it as a submission without steps
    /// that is cancelled at once, which earlier builds apply alike.
    fn withdraw(
        &mut self,
        session: SessionId,
        sequence: u64,
        key: JobKey,
        rule: &QueueRule,
    ) -> Option<CallerAnswer> {
        if self.leader.as_ref()?.withdrawn_jobs() >= WITHDRAWN_LIMIT {
            return Some(CallerAnswer::Refused);
        }
        let answer = answer_effect(session, sequence, CallerAnswer::NoJob);
        let deferred = vec![ControlEffect::Record(FlowEvent::JobWithdrawn { job: key }), answer];
        self.propose(FlowCommand::Submit(Submission::withdrawn(key, rule)), Vec::new());
        self.propose(FlowCommand::Cancel { job: key }, deferred);
        None
    }
}

fn answer_effect(session: SessionId, sequence: u64, answer: CallerAnswer) -> ControlEffect {
    ControlEffect::Send { session, message: LinkMessage::Answer { sequence, answer } }
}
