//! Elections and replication in a group without faults.

mod cluster;

use {
    base::ReplicaId,
    cluster::{Cluster, ELECTION_TIMEOUT},
    rstest::rstest,
};

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::five(5)]
fn a_group_elects_a_leader_and_commits(#[case] voters: u64) {
    let mut cluster = Cluster::new(voters, 1);
    (1..=voters).for_each(|id| cluster.start(ReplicaId(id)));
    cluster.advance(ELECTION_TIMEOUT * 4);
    let leader = cluster.leader().expect("a group without faults has a leader");
    for number in 0..50 {
        cluster.propose(leader, &format!("entry {number}"));
    }
    cluster.read(leader);
    cluster.settle();
    assert_eq!(cluster.observer.violations, Vec::<String>::new());
    assert_eq!(cluster.observer.acknowledged, 50);
    assert_eq!(cluster.observer.reads_answered, 1);
    cluster.advance(ELECTION_TIMEOUT);
    assert!(cluster
        .nodes
        .values()
        .all(|node| node.applied == cluster.observer.acknowledged_index()));
}

/// Guards against replicas with related seeds and ids drawing the same election delays, which split
/// every vote.
#[test]
fn related_seeds_do_not_split_every_vote() {
    for seed in 0..64 {
        let mut cluster = Cluster::new(3, seed);
        (1..=3).for_each(|id| cluster.start(ReplicaId(id)));
        cluster.advance(ELECTION_TIMEOUT * 8);
        assert!(cluster.leader().is_some(), "seed {seed} elects no one");
    }
}
