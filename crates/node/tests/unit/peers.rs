//! Tests of the streams between control processes, over real connections and with a given clock.

use {
    super::*,
    crate::scripted::{on_local_set, ScriptedControl, ScriptedLeader},
    base::ReplicaId,
    tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver},
};

/// How often the log sends something: about as often as its heartbeats.
const SENDING_INTERVAL: Duration = Duration::from_millis(100);

struct PeerUser {
    table: PeerTable,
    now: Duration,
    address: SocketAddr,
    inputs: UnboundedSender<ControlInput>,
    queue: UnboundedReceiver<ControlInput>,
}

impl PeerUser {
    fn new(peer: &ScriptedControl) -> Self {
        let (inputs, queue) = unbounded_channel();
        let (table, now) = (PeerTable::default(), Duration::ZERO);
        Self { table, now, address: peer.address, inputs, queue }
    }

    fn send(&mut self) -> PeerSending {
        self.now += SENDING_INTERVAL;
        let message = LinkMessage::Removed { replica: ReplicaId(1) };
        self.table.send(self.address, message, self.now, &self.inputs)
    }

    /// Waits for a new stream, and returns the peer's end of it.
    async fn connected(&mut self, peer: &ScriptedControl) -> ScriptedLeader {
        let mut stream = peer.accept().await;
        assert!(matches!(stream.next().await, Some(LinkMessage::Removed { .. })));
        loop {
            match self.queue.recv().await.unwrap() {
                ControlInput::PeerUp(address, link) => {
                    self.table.connected(address, link, self.now);
                    return stream;
                }
                ControlInput::PeerDown(address, session) => {
                    self.table.disconnected(address, session, self.now);
                }
                _ => panic!("unexpected input"),
            }
        }
    }
}

// Review 2, case 7: after connections had gone silent twice, there was no leader for good.
#[test]
fn a_silent_stream_to_a_peer_is_replaced() {
    on_local_set(async {
        let peer = ScriptedControl::start().await;
        let mut user = PeerUser::new(&peer);
        assert_eq!(user.send(), PeerSending::Sent);
        let mut silent = vec![user.connected(&peer).await];
        for _ in 0..3 {
            let limit = user.now + PING_AFTER + ANSWER_TIMEOUT + SENDING_INTERVAL;
            while user.send() == PeerSending::Sent {
                assert!(user.now < limit, "the stream is not replaced");
            }
            silent.push(user.connected(&peer).await);
        }
    });
}

// A peer that answers must not be connected to again and again.
#[test]
fn a_stream_to_a_peer_that_answers_is_kept() {
    on_local_set(async {
        let peer = ScriptedControl::start().await;
        let mut user = PeerUser::new(&peer);
        assert_eq!(user.send(), PeerSending::Sent);
        let mut stream = user.connected(&peer).await;
        for _ in 0..5 {
            let asked = user.now + PING_AFTER;
            while user.now < asked {
                assert_eq!(user.send(), PeerSending::Sent);
            }
            while !matches!(stream.next().await.unwrap(), LinkMessage::Ping { .. }) {}
            stream.welcome(&[]);
            let Some(ControlInput::PeerHeard(address, session)) = user.queue.recv().await else {
                panic!("the answer has not arrived");
            };
            user.table.heard(address, session, user.now);
        }
    });
}
