//! Tests of the agent's use of its stream to the leader.

use {
    super::*,
    crate::scripted::{on_local_set, ScriptedControl},
    std::future::{pending, ready},
    workflow::agent::StartRefusal,
};

/// More messages than a stream takes while its socket is not written.
const MORE_THAN_A_QUEUE: usize = 10_000;

/// An executor that answers no poll.
struct SilentPort;

impl ExecutorPort for SilentPort {
    fn hold(
        &self,
        _: HoldRequest,
    ) -> impl Future<Output = Result<ExecutorView, CallFailure>> + 'static {
        pending()
    }

    fn start(&self, _: StartOrder, _: u64, _: u64) -> impl Future<Output = StartVerdict> + 'static {
        ready(StartVerdict::Refused(StartRefusal::Unhealthy))
    }

    fn stop(&self, _: RunRequest) -> impl Future<Output = bool> + 'static {
        ready(false)
    }

    fn throttle(&self, _: RunRequest, _: u8) -> impl Future<Output = ()> + 'static {
        ready(())
    }
}

fn agent_loop(leader: LinkSender<LinkMessage>) -> AgentLoop<SilentPort> {
    let settings =
        AgentSettings { lease: Duration::from_secs(3), executor_address: Arc::from("a1") };
    let clock = BootClock::new();
    AgentLoop {
        node: AgentNode::new(settings, clock.monotonic()),
        clock,
        port: Rc::new(SilentPort),
        leader: Some(leader),
        reconnect: Rc::default(),
        inputs: unbounded_channel().0,
        log: LineLog::start("agent").unwrap(),
    }
}

// The stream went on after a message that it had not taken.
#[test]
fn an_agent_leaves_a_stream_that_takes_no_more_messages() {
    on_local_set(async {
        let control = ScriptedControl::start().await;
        let timeout = Duration::from_secs(10);
        let (sender, _reader) = link::connect(control.address, timeout).await.unwrap();
        let mut agent = agent_loop(sender);
        let reconnect = agent.reconnect.clone();
        let left = reconnect.notified();
        tokio::pin!(left);
        left.as_mut().enable();
        for sequence in 0..MORE_THAN_A_QUEUE as u64 {
            agent.perform(AgentEffect::Send(LinkMessage::Ping { sequence }), Duration::ZERO);
        }
        assert!(agent.leader.is_none());
        left.await;
    });
}
