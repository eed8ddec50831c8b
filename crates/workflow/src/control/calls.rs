//! Callers' requests, which entries forward.

use {
    super::{
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{
        event::FlowEvent,
        job::{JobKey, JobSpec, QueueRule},
        message::{CallerAnswer, CallerCall, LinkMessage},
        state::{FlowCommand, JobPhase, Submission},
    },
    std::sync::Arc,
};

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
            CallerCall::Cancel => self.cancel(session, sequence, key),
        }
    }

    fn count_pending(&mut self, rule: &QueueRule) -> CallerAnswer {
        self.pending_jobs(&rule.name).map_or(CallerAnswer::NotLeading, CallerAnswer::Pending)
    }

    /// Returns the phase of a job in the applied state, since a proposal may still fail. A job whose
    /// submission is only proposed is shown with the commit.
    fn show(&mut self, session: SessionId, sequence: u64, key: JobKey) -> Option<CallerAnswer> {
        if let Some(job) = self.applied.job(key) {
            return Some(CallerAnswer::Phase(job.phase()));
        }
        let leader = self.leader.as_mut()?;
        if !leader.is_submitted(key) {
            return Some(CallerAnswer::NoJob);
        }
        let shown = CallerAnswer::Phase(JobPhase::Queued);
        leader.defer(answer_effect(session, sequence, shown));
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
        if self.applied.job(key).is_some() {
            return Some(CallerAnswer::Accepted);
        }
        if let Some(answer) = self.refuse_overload(key, &spec, rule) {
            return Some(answer);
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

    fn cancel(&mut self, session: SessionId, sequence: u64, key: JobKey) -> Option<CallerAnswer> {
        let leader = self.leader.as_ref()?;
        if !leader.is_submitted(key) {
            return Some(CallerAnswer::NoJob);
        }
        let answer = answer_effect(session, sequence, CallerAnswer::Cancelled);
        self.propose(FlowCommand::Cancel { job: key }, vec![answer]);
        None
    }
}

fn answer_effect(session: SessionId, sequence: u64, answer: CallerAnswer) -> ControlEffect {
    ControlEffect::Send { session, message: LinkMessage::Answer { sequence, answer } }
}
