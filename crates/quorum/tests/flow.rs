//! Number of messages that the log sends, and rejection of proposals beyond the limit.

mod cluster;

use {
    base::ReplicaId,
    cluster::{Cluster, ELECTION_TIMEOUT, HEARTBEAT},
};

const LEADER: ReplicaId = ReplicaId(1);
const FOLLOWER: ReplicaId = ReplicaId(2);

/// Returns a group of three replicas led by `LEADER`.
fn group() -> Cluster {
    let mut cluster = Cluster::new(3, 1);
    (1..=3).for_each(|id| cluster.start(ReplicaId(id)));
    cluster.elect(LEADER);
    cluster.settle();
    assert_eq!(cluster.leader(), Some(LEADER));
    cluster
}

fn sent_to(cluster: &Cluster, replica: ReplicaId) -> Vec<usize> {
    let in_transit = cluster.in_transit.iter().filter(|envelope| envelope.to == replica);
    in_transit.map(|envelope| envelope.message.entry_count()).collect()
}

#[test]
fn pending_reads_share_one_round() {
    let mut cluster = group();
    (0..90).for_each(|_| cluster.read(LEADER));
    assert_eq!(sent_to(&cluster, FOLLOWER).len(), 1, "the first read starts a round");
    let mut messages = 0;
    while cluster.observer.reads_answered < 90 {
        messages += sent_to(&cluster, FOLLOWER).len();
        assert!(cluster.step(), "the reads are answered");
    }
    assert_eq!(messages, 2, "one round for the first read, one for all that came later");
}

#[test]
fn messages_to_an_unresponsive_follower_are_limited() {
    let mut cluster = group();
    cluster.delayed_links.insert((FOLLOWER, LEADER));
    let entry = "x".repeat(100);
    let mut messages = Vec::new();
    for _ in 0..50 {
        cluster.propose(LEADER, &entry);
        messages.extend(sent_to(&cluster, FOLLOWER));
        cluster.settle();
    }
    assert_eq!(messages.len(), 4, "as many messages as may be in flight");
    cluster.delayed_links.clear();
    messages.clear();
    while cluster.step() {
        messages.extend(sent_to(&cluster, FOLLOWER));
    }
    // A message holds at most 256 bytes of entries, and an entry takes 132.
    assert!(messages.iter().all(|entries| *entries <= 1));
    cluster.advance(HEARTBEAT);
    assert_eq!(cluster.nodes[&FOLLOWER].applied, cluster.observer.acknowledged_index());
}

#[test]
fn small_entries_share_messages() {
    let mut cluster = group();
    cluster.delayed_links.insert((FOLLOWER, LEADER));
    (0..50).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    cluster.settle();
    cluster.delayed_links.clear();
    let mut largest = 0;
    while cluster.step() {
        largest = sent_to(&cluster, FOLLOWER).into_iter().chain([largest]).max().unwrap();
    }
    // A message holds at most 256 bytes of entries, and an entry takes 33 or 34.
    assert_eq!(largest, 7);
}

#[test]
fn proposals_beyond_the_limit_are_rejected() {
    let mut cluster = group();
    cluster.slow_disks.extend([LEADER, FOLLOWER, ReplicaId(3)]);
    (0..150).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    let rejected = cluster
        .lines
        .iter()
        .filter(|line| line.contains("too many proposals or reads are pending"));
    assert_eq!(rejected.count(), 50);
    cluster.slow_disks.clear();
    cluster.advance(ELECTION_TIMEOUT);
    assert_eq!(cluster.observer.acknowledged, 100);
}

/// While a batch is being written, proposals gather in the next one.
#[test]
fn proposals_share_a_batch() {
    let mut cluster = group();
    (0..40).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    let first = cluster.nodes[&LEADER].unsynced.front().map(|batch| batch.entries.len());
    cluster.sync(LEADER);
    let second = cluster.nodes[&LEADER].unsynced.front().map(|batch| batch.entries.len());
    assert_eq!((first, second), (Some(1), Some(39)));
}

/// The hint in a follower's rejection lets the leader skip a whole term of conflicting entries.
#[test]
fn a_long_conflict_is_found_in_a_few_messages() {
    let mut cluster = group();
    cluster.cut_links.extend([(LEADER, FOLLOWER), (LEADER, ReplicaId(3))]);
    (0..100).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    cluster.settle();
    cluster.crash(LEADER, false);
    cluster.elect(FOLLOWER);
    cluster.settle();
    assert_eq!(cluster.leader(), Some(FOLLOWER));
    cluster.cut_links.clear();
    cluster.start(LEADER);
    cluster.now += HEARTBEAT;
    cluster.tick_all();
    let mut messages = 0;
    while cluster.nodes[&LEADER].applied < cluster.observer.acknowledged_index() {
        messages += sent_to(&cluster, LEADER).len();
        assert!(cluster.step(), "the logs agree");
    }
    assert!(messages <= 4, "{messages} messages");
}
