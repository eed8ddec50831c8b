//! The streams to entries, agents and other control processes.

use {
    super::{
        types::{ControlEffect, SessionId},
        ControlNode,
    },
    crate::{event::FlowEvent, message::LinkMessage},
    quorum::QuorumEvent,
};

impl ControlNode {
    pub(super) fn take_message(&mut self, session: SessionId, message: LinkMessage) {
        match message {
            LinkMessage::Quorum { from, to, message } => {
                if to == self.core.replica() {
                    self.queue.push_back(QuorumEvent::Received { from, message: *message });
                    self.drain_queue();
                    self.notify_removed(session, from);
                }
            }
            LinkMessage::Hello { .. } => {
                self.welcome(session);
                if let Some(lead) = &mut self.lead {
                    lead.clients.insert(session);
                }
            }
            LinkMessage::Ping { sequence } => self.answer_ping(session, sequence),
            LinkMessage::Call { sequence, host, path, call } => {
                self.take_call(session, sequence, &host, &path, call);
            }
            LinkMessage::Worker { report, place } => self.see_worker(session, report, &place),
            LinkMessage::Runs { worker, runs } => self.see_runs(session, &worker, runs),
            LinkMessage::Ends { worker, ends } => self.take_ends(session, &worker, ends),
            LinkMessage::WorkerGone { worker } => self.take_gone(session, &worker),
            LinkMessage::Join { address } => self.handle_join(session, address),
            other => self.refuse_message(session, &other),
        }
    }

    pub(super) fn close_session(&mut self, session: SessionId) {
        let Some(lead) = &mut self.lead else { return };
        lead.clients.remove(&session);
        let Some(worker) = lead.agents.remove(&session) else { return };
        if lead.sessions.get(&worker.executor) != Some(&session) {
            return;
        }
        lead.sessions.remove(&worker.executor);
        lead.workers.shift_remove(&worker.executor);
        let lease = lead.leases.get(&worker).copied().unwrap_or_default();
        let lease_left_ms = lease.saturating_sub(self.now).as_millis() as u64;
        self.record(FlowEvent::WorkerUnreachable { worker, lease_left_ms });
    }

    /// Notifies a process of the leader. If another replica leads, the process connects to that
    /// one.
    pub(super) fn welcome(&mut self, session: SessionId) {
        let message = LinkMessage::Welcome {
            leading: self.lead.is_some(),
            leader: self.leader_address(),
            members: self.member_addresses(),
            term: self.lead.as_ref().map_or(0, |lead| lead.term),
        };
        self.effects.push(ControlEffect::Send { session, message });
    }

    fn answer_ping(&mut self, session: SessionId, sequence: u64) {
        let Some(lead) = &self.lead else {
            self.welcome(session);
            return;
        };
        let leased = lead.represented_worker(session).cloned();
        let message = LinkMessage::Pong { sequence, term: lead.term, leased };
        self.effects.push(ControlEffect::Send { session, message });
        self.renew_lease(session);
    }

    fn refuse_message(&mut self, session: SessionId, message: &LinkMessage) {
        let from = format!("stream {}", session.0);
        let reason = format!("{message:?} is not for a control process");
        self.record(FlowEvent::MessageRefused { from, reason: reason.chars().take(120).collect() });
    }
}
