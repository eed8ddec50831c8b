//! Calls of operators, which the driver forwards.

use {
    super::{
        types::{ControlEffect, OperatorAnswer},
        ControlNode,
    },
    crate::{event::FlowEvent, job::FleetConfig, state::FlowCommand},
    base::ReplyTicket,
    quorum::QuorumEvent,
};

impl ControlNode {
    /// Proposes a configuration. One that is not newer than the current one changes nothing.
    pub(super) fn handle_config(&mut self, ticket: ReplyTicket, config: FleetConfig) {
        if self.leader.is_none() {
            self.redirect(ticket);
            return;
        }
        let (version, queues) = (config.version, config.queues.len());
        let event = FlowEvent::ConfigAccepted { version, queues };
        let answer = ControlEffect::Answer { ticket, answer: OperatorAnswer::Accepted };
        let deferred = vec![ControlEffect::Record(event), answer];
        self.propose(FlowCommand::Configure(config), deferred);
    }

    pub(super) fn read_config(&mut self, caller: ReplyTicket) {
        if self.leader.is_none() {
            self.redirect(caller);
            return;
        }
        let ticket = self.next_ticket();
        self.reads.insert(ticket, caller);
        self.queue.push_back(QuorumEvent::ConfirmRead { ticket });
    }

    pub(super) fn redirect(&mut self, ticket: ReplyTicket) {
        let leader = self.leader_address();
        let answer = OperatorAnswer::NotLeading { leader };
        self.effects.push(ControlEffect::Answer { ticket, answer });
    }
}
