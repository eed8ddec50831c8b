//! How many messages the log sends, and what it refuses when too much waits.

mod cluster;

use {
    base::ReplicaId,
    cluster::{Cluster, ELECTION_TIMEOUT, HEARTBEAT},
};

const LEADER: ReplicaId = ReplicaId(1);
const FOLLOWER: ReplicaId = ReplicaId(2);

/// A group of three that `LEADER` leads.
fn group() -> Cluster {
    let mut cluster = Cluster::new(3, 1);
    (1..=3).for_each(|id| cluster.start(ReplicaId(id)));
    cluster.elect(LEADER);
    cluster.settle();
    assert_eq!(cluster.leader(), Some(LEADER));
    cluster
}

fn sent_to(cluster: &Cluster, replica: ReplicaId) -> Vec<usize> {
    let flights = cluster.flights.iter().filter(|flight| flight.to == replica);
    flights.map(|flight| flight.message.entry_count()).collect()
}

#[test]
fn reads_that_wait_share_one_round() {
    let mut cluster = group();
    (0..90).for_each(|_| cluster.read(LEADER));
    assert_eq!(sent_to(&cluster, FOLLOWER).len(), 1, "the first read starts a round");
    let mut messages = 0;
    while cluster.witness.reads_answered < 90 {
        messages += sent_to(&cluster, FOLLOWER).len();
        assert!(cluster.step(), "the reads are answered");
    }
    assert_eq!(messages, 2, "one round for the first read, one for all that came later");
}

#[test]
fn a_silent_follower_has_few_messages_outstanding() {
    let mut cluster = group();
    cluster.delayed.insert((FOLLOWER, LEADER));
    let entry = "x".repeat(100);
    let mut messages = Vec::new();
    for _ in 0..50 {
        cluster.propose(LEADER, &entry);
        messages.extend(sent_to(&cluster, FOLLOWER));
        cluster.settle();
    }
    assert_eq!(messages.len(), 4, "as many messages as may be in flight");
    cluster.delayed.clear();
    messages.clear();
    while cluster.step() {
        messages.extend(sent_to(&cluster, FOLLOWER));
    }
    // The limit of a message is 256 bytes, and an entry takes 132.
    assert!(messages.iter().all(|entries| *entries <= 1));
    cluster.advance(HEARTBEAT);
    assert_eq!(cluster.nodes[&FOLLOWER].applied, cluster.witness.told());
}

#[test]
fn small_entries_share_messages() {
    let mut cluster = group();
    cluster.delayed.insert((FOLLOWER, LEADER));
    (0..50).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    cluster.settle();
    cluster.delayed.clear();
    let mut largest = 0;
    while cluster.step() {
        largest = sent_to(&cluster, FOLLOWER).into_iter().chain([largest]).max().unwrap();
    }
    // The limit of a message is 256 bytes, and an entry takes 33 or 34.
    assert_eq!(largest, 7);
}

#[test]
fn proposals_beyond_the_bound_are_refused() {
    let mut cluster = group();
    cluster.slow_disks.extend([LEADER, FOLLOWER, ReplicaId(3)]);
    (0..150).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    let refused = cluster
        .lines
        .iter()
        .filter(|line| line.contains("too many proposals or reads are pending"));
    assert_eq!(refused.count(), 50);
    cluster.slow_disks.clear();
    cluster.advance(ELECTION_TIMEOUT);
    assert_eq!(cluster.witness.acknowledged, 100);
}

/// While a batch is written, proposals gather in the next one.
#[test]
fn proposals_share_a_batch() {
    let mut cluster = group();
    (0..40).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    let first = cluster.nodes[&LEADER].unsynced.front().map(|batch| batch.entries.len());
    cluster.sync(LEADER);
    let second = cluster.nodes[&LEADER].unsynced.front().map(|batch| batch.entries.len());
    assert_eq!((first, second), (Some(1), Some(39)));
}

/// A follower's hint skips a whole term of entries that differ.
#[test]
fn a_long_conflict_is_found_in_a_few_messages() {
    let mut cluster = group();
    cluster.cuts.extend([(LEADER, FOLLOWER), (LEADER, ReplicaId(3))]);
    (0..100).for_each(|number| cluster.propose(LEADER, &number.to_string()));
    cluster.settle();
    cluster.crash(LEADER, false);
    cluster.elect(FOLLOWER);
    cluster.settle();
    assert_eq!(cluster.leader(), Some(FOLLOWER));
    cluster.cuts.clear();
    cluster.start(LEADER);
    cluster.now += HEARTBEAT;
    cluster.tick_all();
    let mut messages = 0;
    while cluster.nodes[&LEADER].applied < cluster.witness.told() {
        messages += sent_to(&cluster, LEADER).len();
        assert!(cluster.step(), "the logs agree");
    }
    assert!(messages <= 4, "{messages} messages");
}
