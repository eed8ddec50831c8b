//! One sending thread for each other replica, so that an unresponsive replica does not delay the
//! others.

use {
    super::wire::QuorumEnvelope,
    base::{PeerAddress, ReplicaId},
    crossbeam::channel::{bounded, Receiver, Sender, TrySendError},
    indexmap::IndexMap,
    proto::rpc::{ConnectionUse, RpcClient},
    quorum::QuorumMessage,
    std::{
        thread::{self, JoinHandle},
        time::Duration,
    },
    telemetry::ProcessContext,
};

/// Upper bound on the messages queued for one replica. Beyond it the oldest is dropped.
const QUEUED_MESSAGES: usize = 256;
/// Upper bound on the messages in one exchange.
const MESSAGES_PER_EXCHANGE: usize = 16;
/// Time limit of one exchange.
const EXCHANGE_DEADLINE: Duration = Duration::from_millis(800);

type AddressedMessage = (PeerAddress, QuorumMessage);

struct PeerQueue {
    queue: Sender<AddressedMessage>,
    oldest: Receiver<AddressedMessage>,
    thread: Option<JoinHandle<()>>,
}

/// The sending threads of this replica, one for each other replica.
pub(super) struct PeerSenders {
    replica: ReplicaId,
    operator_address: PeerAddress,
    context: ProcessContext,
    client: RpcClient,
    peers: IndexMap<ReplicaId, PeerQueue>,
}

impl PeerSenders {
    /// Returns an empty set of senders. Each starts with the first message to its replica.
    pub(super) fn new(
        replica: ReplicaId,
        operator_address: PeerAddress,
        context: ProcessContext,
    ) -> Self {
        let client = RpcClient::new(context.identity.clone());
        Self { replica, operator_address, context, client, peers: IndexMap::new() }
    }

    /// Queues a message, dropping the oldest one if the queue is full.
    pub(super) fn send(&mut self, to: ReplicaId, address: PeerAddress, message: QuorumMessage) {
        if !self.peers.contains_key(&to) {
            let queue = self.start(to);
            self.peers.insert(to, queue);
        }
        let Some(peer) = self.peers.get(&to) else { return };
        if let Err(TrySendError::Full(addressed)) = peer.queue.try_send((address, message)) {
            let _ = peer.oldest.try_recv();
            let _ = peer.queue.try_send(addressed);
        }
    }

    fn start(&self, to: ReplicaId) -> PeerQueue {
        let (queue, waiting) = bounded(QUEUED_MESSAGES);
        let oldest = waiting.clone();
        let loop_state = SendingLoop {
            from: self.replica,
            to,
            operator_address: self.operator_address,
            client: self.client.clone(),
            waiting,
        };
        let name = format!("control-peer-{to}");
        let thread = thread::Builder::new().name(name).spawn(move || loop_state.run()).ok();
        if thread.is_none() {
            self.context.set_ready(false);
        }
        PeerQueue { queue, oldest, thread }
    }

    /// Stops all senders, each after its current exchange.
    pub(super) fn stop(self) {
        let mut threads = Vec::new();
        for (_, peer) in self.peers {
            while peer.oldest.try_recv().is_ok() {}
            threads.extend(peer.thread);
        }
        for thread in threads {
            let _ = thread.join();
        }
    }
}

struct SendingLoop {
    from: ReplicaId,
    to: ReplicaId,
    operator_address: PeerAddress,
    client: RpcClient,
    waiting: Receiver<AddressedMessage>,
}

impl SendingLoop {
    /// Sends queued messages. After a failed exchange the next one opens a new connection.
    fn run(self) {
        let mut connection = ConnectionUse::Fresh;
        while let Ok((mut address, first)) = self.waiting.recv() {
            let mut messages = vec![first];
            for (newer, message) in self.waiting.try_iter().take(MESSAGES_PER_EXCHANGE - 1) {
                address = newer;
                messages.push(message);
            }
            let envelope = QuorumEnvelope {
                from: self.from,
                to: self.to,
                operator_address: self.operator_address,
                messages,
            };
            let sent = self.client.call(address, connection, EXCHANGE_DEADLINE, &envelope);
            connection = match sent {
                Ok(_) => ConnectionUse::Pooled,
                Err(_) => ConnectionUse::Fresh,
            };
        }
    }
}
