//! Tests of a control group of several processes, whose network and disks the test plays. The test
//! also stands in for processes that join, and for entries.

mod group;

use group::{ControlGroup, ELECTION_TIMEOUT};

const JOINING: u16 = 9;

// Review 3, case 11: a process that was told its id before the addition was committed belonged to no
// group once the entry was lost.
#[test]
fn a_joining_process_is_told_its_id_only_once_its_addition_is_committed() {
    let mut group = ControlGroup::start(3);
    let leader = group.leader().expect("a leader");
    group.cut_off(leader);
    group.join(leader, JOINING);
    group.join(leader, JOINING);
    group.advance(ELECTION_TIMEOUT / 4);
    assert_eq!(group.admitted(JOINING), None, "only the leader has the entry");
    group.heal();
    group.advance(ELECTION_TIMEOUT * 4);
    let leader = group.leader().expect("a leader");
    group.join(leader, JOINING);
    group.advance(ELECTION_TIMEOUT / 2);
    group.join(leader, JOINING);
    group.advance(ELECTION_TIMEOUT / 2);
    assert!(group.admitted(JOINING).is_some());
}
