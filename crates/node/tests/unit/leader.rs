//! Tests of the search for the leader, over real streams.

use {
    super::*,
    crate::scripted::{on_local_set, ScriptedControl},
    tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver},
};

fn search(seed: &ScriptedControl) -> UnboundedReceiver<LeaderEvent> {
    let (inputs, events) = unbounded_channel();
    let log = LineLog::start("agent").unwrap();
    let seeds = vec![seed.address];
    let search = LeaderSearch { name: "agent".to_owned(), seeds, log, reconnect: Rc::default() };
    tokio::task::spawn_local(search.run(inputs, |event| event));
    events
}

async fn expect_up(events: &mut UnboundedReceiver<LeaderEvent>) {
    let event = events.recv().await;
    assert!(matches!(event, Some(LeaderEvent::Up { .. })), "{event:?}");
}

async fn expect_down(events: &mut UnboundedReceiver<LeaderEvent>) {
    let event = events.recv().await;
    assert!(matches!(event, Some(LeaderEvent::Down)), "{event:?}");
}

// Every member was replaced while an agent stayed connected to one leader, the last of the old
// ones. When that one was lost too, the agent knew no address of the group.
#[test]
fn a_search_finds_the_group_whose_every_member_was_replaced_while_it_was_connected() {
    on_local_set(async {
        let old = ScriptedControl::start().await;
        let (first, second) = (ScriptedControl::start().await, ScriptedControl::start().await);
        let members = [first.address, second.address];
        let mut events = search(&old);
        let mut leader = old.lead(&[old.address]).await;
        expect_up(&mut events).await;
        leader.welcome(&[old.address, first.address]);
        leader.welcome(&members);
        // The news are not passed on as a new connection: this message comes first.
        leader.sender.send(LinkMessage::Pong { sequence: 1, term: 1, leased: None });
        let event = events.recv().await;
        assert!(matches!(event, Some(LeaderEvent::Message(LinkMessage::Pong { .. }))), "{event:?}");
        drop((old, leader));
        expect_down(&mut events).await;
        tokio::task::spawn_local(async move {
            loop {
                first.follow(&[]).await;
            }
        });
        let _leader = second.lead(&members).await;
        expect_up(&mut events).await;
    });
}

// The seed's machine was replaced, and its new process, outside the group, knows only the seeds. Its
// answer must not make the search forget the members.
#[test]
fn a_process_outside_the_group_does_not_replace_the_addresses_of_the_members() {
    let address = |port| PeerAddress(SocketAddr::from(([127, 0, 0, 1], port)));
    let mut known = KnownAddresses::new(&[address(1).0]);
    known.replace(&[address(2), address(3)]);
    known.add(&[address(1)]);
    assert_eq!(known.addresses, [1, 2, 3].map(|port| address(port).0));
    known.replace(&[address(3), address(4)]);
    assert_eq!(known.addresses, [1, 3, 4].map(|port| address(port).0));
    let many: Vec<PeerAddress> = (5..105).map(address).collect();
    known.add(&many);
    assert_eq!(known.addresses.len(), ADDRESSES_LIMIT);
    assert_eq!((known.addresses[0], known.addresses[63]), (address(1).0, address(104).0));
}
