//! The search of a control process for the leader: to request a replica id, or to ask whether the id
//! that it has still belongs to a member.

use {
    super::ControlInput,
    crate::leader::LeaderSearch,
    link::LinkSender,
    tokio::{sync::mpsc::UnboundedSender, task::JoinHandle},
    workflow::message::LinkMessage,
};

/// A search that runs until this is dropped.
#[derive(Debug)]
pub(super) struct GroupSearch {
    leader: Option<LinkSender<LinkMessage>>,
    running: JoinHandle<()>,
}

impl GroupSearch {
    pub(super) fn start(search: LeaderSearch, inputs: UnboundedSender<ControlInput>) -> Self {
        let running = tokio::task::spawn_local(search.run(inputs, ControlInput::Leader));
        Self { leader: None, running }
    }

    /// Notes the stream to a leader, or its end.
    pub(super) fn set_leader(&mut self, leader: Option<LinkSender<LinkMessage>>) {
        self.leader = leader;
    }

    /// Sends a request to the leader, and a ping whose answer shows that the leader still leads.
    pub(super) fn ask(&self, request: LinkMessage, sequence: u64) {
        if let Some(leader) = &self.leader {
            leader.send(request);
            leader.send(LinkMessage::Ping { sequence });
        }
    }
}

impl Drop for GroupSearch {
    fn drop(&mut self) {
        self.running.abort();
    }
}
