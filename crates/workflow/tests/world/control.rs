//! Drives the control processes.

use {
    super::{control_at, Arrival, FleetWorld, CONTROLS},
    base::EventReducer,
    quorum::PersistBatch,
    std::time::Duration,
    workflow::{
        control::{ControlEffect, ControlEvent, SessionId},
        message::{CallerAnswer, LinkMessage},
    },
};

impl FleetWorld {
    pub(super) fn step_control(&mut self, control: usize, event: ControlEvent) {
        let host = &mut self.controls[control];
        if host.paused_until > self.now {
            let waits = !matches!(event, ControlEvent::Tick { .. } | ControlEvent::Settle);
            let pause = host.paused_until - self.now;
            if waits {
                self.schedule_event_in(pause, Arrival::Control(control, event));
            }
            return;
        }
        let Some(node) = &mut host.node else { return };
        for effect in node.reduce(self.now, event) {
            self.perform_control(control, effect);
        }
    }

    pub(super) fn perform_control(&mut self, control: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::SendPeer { from, to, address, message } => {
                let peer = control_at(address);
                if self.is_partitioned(control, peer) || (self.faults && self.random.chance(0.01)) {
                    return;
                }
                let message = LinkMessage::Quorum { from, to, message: Box::new(message) };
                let session = SessionId(u64::MAX - 1);
                self.schedule_event(Arrival::Control(
                    peer,
                    ControlEvent::Message { session, message },
                ));
            }
            ControlEffect::Send { session, message } => self.send_from(control, session, message),
            ControlEffect::Persist(batch) => self.persist(control, &batch),
            ControlEffect::Halt(error) => panic!("seed {}: {error}", self.seed),
            ControlEffect::Record(event) => self.trace(&format!("control {control}"), &event),
            ControlEffect::Answer { ticket, answer } => {
                if let Some(operator) = &mut self.operator {
                    operator.note_answer(self.now, ticket, &answer);
                }
            }
        }
    }

    pub(super) fn persist(&mut self, control: usize, batch: &PersistBatch) {
        let host = &mut self.controls[control];
        host.disk.apply(batch);
        let (incarnation, number) = (host.incarnation, batch.number);
        self.schedule_event(Arrival::Persisted(control, incarnation, number));
    }

    pub(super) fn send_from(&mut self, control: usize, session: SessionId, message: LinkMessage) {
        if let LinkMessage::Answer { sequence, answer } = message {
            if answer == CallerAnswer::Accepted {
                self.accepted.insert(sequence);
            }
            self.answers.push((sequence, answer));
            return;
        }
        let agent = (0..self.agents.len()).find(|at| self.agents[*at].stream == session.0);
        let Some(agent) = agent else { return };
        if !self.is_partitioned(control, CONTROLS + agent) {
            // A stream delivers messages in order, so the delay is constant.
            let delay = Duration::from_millis(5);
            self.schedule_event_in(delay, Arrival::Leader(agent, session.0, message));
        }
    }
}
