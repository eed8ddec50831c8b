//! Tests of tracked messages, over real connections.

use {
    super::*,
    socket2::SockRef,
    std::future::Future,
    tokio::{net::TcpListener, task::LocalSet},
};

type Link = (LinkSender<String>, LinkReader<String>);

/// Together they are larger than the buffers of both sockets.
const FILLERS: usize = 40;

/// Opens a connection and returns the two ends of its stream.
async fn open() -> (Link, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let near = connect(listener.local_addr().unwrap(), Duration::from_secs(10)).await.unwrap();
    (near, listener.accept().await.unwrap().0)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

// A sender that gives up a stream must not report a message as unsent that a stalled peer reads
// once it continues.
#[test]
fn a_withdrawn_message_is_not_written_when_a_stalled_peer_reads_again() {
    run(async {
        let ((sender, _reader), far) = open().await;
        let filler = "x".repeat(1_000_000);
        for _ in 0..FILLERS {
            assert!(sender.send(filler.clone()));
        }
        let first = sender.send_tracked("first".to_owned()).unwrap();
        let second = sender.send_tracked("second".to_owned()).unwrap();
        assert!(sender.send("last".to_owned()));
        tokio::task::yield_now().await;
        assert!(first.withdraw());
        let (_sender, mut reader) = accept::<String>(far).unwrap();
        for _ in 0..FILLERS {
            assert_eq!(reader.next().await.unwrap(), filler);
        }
        assert_eq!(reader.next().await.unwrap(), "second");
        assert_eq!(reader.next().await.unwrap(), "last");
        assert!(first.withdraw());
        assert!(!second.withdraw());
    });
}

// The frames of one batch share a write. A withdrawal must remove its own frame only, also when the
// socket has taken a part of the batch.
#[test]
fn a_message_is_withdrawn_from_a_batch_of_which_a_part_is_written() {
    let mut batch = WriteBatch::default();
    let tickets: Vec<SendTicket> = (0..4).map(|_| SendTicket::new()).collect();
    for (number, ticket) in tickets.iter().enumerate() {
        batch.add(&number.to_string(), Some(ticket.clone())).unwrap();
    }
    let frame = batch.bytes.len() / 4;
    batch.claim_tracked();
    batch.written = frame + 1;
    batch.release_unwritten();
    let withdrawn: Vec<bool> = tickets[..3].iter().map(SendTicket::withdraw).collect();
    assert_eq!(withdrawn, [false, false, true]);
    batch.claim_tracked();
    assert!(!tickets[3].withdraw());
    let mut messages = Vec::new();
    while let Some(message) = take_frame::<String>(&mut batch.bytes).unwrap() {
        messages.push(message);
    }
    assert_eq!(messages, ["0", "1", "3"]);
}

// A caller's request that was queued on a connection that had failed before was reported as
// possibly run.
#[test]
fn a_message_on_a_connection_that_has_failed_counts_as_unwritten() {
    run(async {
        let ((sender, mut reader), far) = open().await;
        SockRef::from(&far).set_linger(Some(Duration::ZERO)).unwrap();
        drop(far);
        assert!(reader.next().await.is_err());
        let ticket = sender.send_tracked("late".to_owned()).unwrap();
        // The writer ends once it has met the failure.
        sender.queue.closed().await;
        assert!(ticket.withdraw());
        assert!(sender.send_tracked("later".to_owned()).is_none());
    });
}
