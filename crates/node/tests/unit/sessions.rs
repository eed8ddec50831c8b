//! Tests of accepted streams, over real connections and with a given clock.

use {
    super::*,
    crate::scripted::on_local_set,
    tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver},
};

async fn connect_to(inputs: UnboundedSender<ControlInput>) -> LinkSender<LinkMessage> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(accept_streams(listener, inputs));
    link::connect(address, Duration::from_secs(10)).await.unwrap().0
}

async fn next_event(queue: &mut UnboundedReceiver<ControlInput>) -> ControlEvent {
    match queue.recv().await {
        Some(ControlInput::Event(event)) => event,
        _ => panic!("no event of a stream"),
    }
}

// Streams whose other ends were gone without a sign stayed open, up to the limit.
#[test]
fn an_accepted_stream_on_which_nothing_comes_is_closed() {
    on_local_set(async {
        let (inputs, mut queue) = unbounded_channel();
        let sender = connect_to(inputs).await;
        let Some(ControlInput::Opened(session, stream)) = queue.recv().await else {
            panic!("no stream");
        };
        let mut table = SessionTable::default();
        let mut now = Duration::ZERO;
        table.insert(session, stream, now);
        for sequence in 0..3 {
            now += SILENCE_TIMEOUT / 2;
            assert!(sender.send(LinkMessage::Ping { sequence }));
            let event = next_event(&mut queue).await;
            assert!(matches!(event, ControlEvent::Message { .. }), "{event:?}");
            table.hear(session, now);
            table.close_silent(now + SILENCE_TIMEOUT / 2);
        }
        table.close_silent(now + SILENCE_TIMEOUT);
        let event = next_event(&mut queue).await;
        assert!(matches!(event, ControlEvent::Closed { .. }), "{event:?}");
    });
}
