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
    pub(super) fn handle_message(&mut self, session: SessionId, message: LinkMessage) {
        match message {
            LinkMessage::Quorum { from, to, message } => {
                if to == self.core.replica() {
                    self.queue.push_back(QuorumEvent::Received { from, message: *message });
                    self.drain_queue();
                    self.notify_removed(session, from);
                }
            }
            LinkMessage::Hello { .. } => {
                self.send_welcome(session);
                if let Some(leader) = &mut self.leader {
                    leader.clients.insert(session);
                }
            }
            LinkMessage::Ping { sequence } => self.answer_ping(session, sequence),
            LinkMessage::Call { sequence, host, path, call } => {
                self.handle_call(session, sequence, &host, &path, call);
            }
            LinkMessage::Worker { report, place } => {
                self.handle_worker_report(session, report, &place)
            }
            LinkMessage::Runs { worker, runs } => self.handle_run_list(session, &worker, runs),
            LinkMessage::Ends { worker, ends } => self.handle_ends(session, &worker, ends),
            LinkMessage::WorkerEnded { worker } => self.handle_worker_ended(session, &worker),
            LinkMessage::Join { address } => self.handle_join(session, address),
            LinkMessage::CheckMember { replica, address } => {
                self.check_member(session, replica, address);
            }
            other => self.refuse_message(session, &other),
        }
    }

    pub(super) fn close_session(&mut self, session: SessionId) {
        let Some(leader) = &mut self.leader else { return };
        leader.clients.remove(&session);
        let Some(worker) = leader.agents.remove(&session) else { return };
        if leader.sessions.get(&worker.executor) != Some(&session) {
            return;
        }
        leader.sessions.remove(&worker.executor);
        leader.workers.shift_remove(&worker.executor);
        let lease = leader.leases.get(&worker).copied().unwrap_or_default();
        let lease_left_ms = lease.saturating_sub(self.now).as_millis() as u64;
        let stream = session.0;
        self.record(FlowEvent::WorkerUnreachable { worker, lease_left_ms, stream });
    }

    /// Notifies a process of the leader. If another replica leads, the process connects to that
    /// one.
    pub(super) fn send_welcome(&mut self, session: SessionId) {
        let message = LinkMessage::Welcome {
            leading: self.leader.is_some(),
            leader: self.leader_address(),
            members: self.member_addresses(),
            term: self.leader.as_ref().map_or(0, |leader| leader.term),
        };
        self.effects.push(ControlEffect::Send { session, message });
    }

    fn answer_ping(&mut self, session: SessionId, sequence: u64) {
        let Some(leader) = &self.leader else {
            self.send_welcome(session);
            return;
        };
        let leased = leader.represented_worker(session).cloned();
        let message = LinkMessage::Pong { sequence, term: leader.term, leased };
        self.effects.push(ControlEffect::Send { session, message });
        self.renew_lease(session);
    }

    fn refuse_message(&mut self, session: SessionId, message: &LinkMessage) {
        let from = format!("stream {}", session.0);
        let reason = format!("{message:?} is not for a control process");
        self.record(FlowEvent::MessageRefused { from, reason: reason.chars().take(120).collect() });
    }
}
