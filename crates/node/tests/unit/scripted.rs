//! Control processes that a test scripts, on real streams over loopback.

use {
    base::PeerAddress,
    link::{LinkReader, LinkSender},
    std::{future::Future, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, task::LocalSet, time::timeout},
    workflow::message::{CallerAnswer, LinkMessage},
};

/// How long a test may take. One that waits for a message that never arrives fails then.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a test on one thread, as the processes run.
pub(crate) fn on_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async { timeout(TEST_TIMEOUT, test).await };
    LocalSet::new().block_on(&runtime, test).unwrap();
}

/// A control process that listens.
pub(crate) struct ScriptedControl {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
}

impl ScriptedControl {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self { address: listener.local_addr().unwrap(), listener }
    }

    /// Accepts the next stream as the leader of a group.
    pub(crate) async fn lead(&self, members: &[SocketAddr]) -> ScriptedLeader {
        let mut leader = self.accept_hello().await;
        leader.welcome(members);
        leader
    }

    /// Accepts the next stream and answers as a process that does not lead.
    pub(crate) async fn follow(&self, members: &[SocketAddr]) {
        let mut stream = self.accept_hello().await;
        stream.send_welcome(false, None, members);
        while stream.next().await.is_some() {}
    }

    /// Accepts the next stream.
    pub(crate) async fn accept(&self) -> ScriptedLeader {
        let (stream, _) = self.listener.accept().await.unwrap();
        let (sender, reader) = link::accept(stream).unwrap();
        ScriptedLeader { sender, reader }
    }

    async fn accept_hello(&self) -> ScriptedLeader {
        let mut stream = self.accept().await;
        assert!(matches!(stream.next().await, Some(LinkMessage::Hello { .. })));
        stream
    }
}

/// The leader's end of a stream. Dropping it ends the stream.
pub(crate) struct ScriptedLeader {
    pub(crate) sender: LinkSender<LinkMessage>,
    reader: LinkReader<LinkMessage>,
}

impl ScriptedLeader {
    /// Returns the next message; `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Option<LinkMessage> {
        self.reader.next().await.ok()
    }

    pub(crate) fn welcome(&mut self, members: &[SocketAddr]) {
        self.send_welcome(true, None, members);
    }

    /// Says that the process at `leader` leads now.
    pub(crate) fn hand_over(&mut self, leader: SocketAddr) {
        self.send_welcome(false, Some(leader), &[]);
    }

    fn send_welcome(&self, leading: bool, leader: Option<SocketAddr>, members: &[SocketAddr]) {
        let members = members.iter().copied().map(PeerAddress).collect();
        let leader = leader.map(PeerAddress);
        self.sender.send(LinkMessage::Welcome { leading, leader, members, term: 1 });
    }

    /// Returns the number of the next call.
    pub(crate) async fn read_call(&mut self) -> u64 {
        loop {
            match self.next().await {
                Some(LinkMessage::Call { sequence, .. }) => return sequence,
                Some(LinkMessage::Ping { .. }) => {}
                other => panic!("expected a call, got {other:?}"),
            }
        }
    }

    /// Answers the next call.
    pub(crate) async fn answer_call(&mut self, answer: CallerAnswer) {
        let sequence = self.read_call().await;
        self.sender.send(LinkMessage::Answer { sequence, answer });
    }

    /// Answers the next ping.
    pub(crate) async fn answer_ping(&mut self) {
        let Some(LinkMessage::Ping { sequence }) = self.next().await else { panic!("no ping") };
        self.sender.send(LinkMessage::Pong { sequence, term: 1, leased: None });
    }
}
