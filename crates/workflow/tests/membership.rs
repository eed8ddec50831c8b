//! Tests of a control group of several processes, whose network and disks the test plays. The test
//! also stands in for processes that join, and for entries.

mod fixtures;
mod group;

use {
    base::ReplicaId,
    group::{ControlGroup, ELECTION_TIMEOUT},
    rstest::rstest,
    std::time::Duration,
    workflow::{
        control::OperatorAnswer,
        job::{JobSpec, StepSpec},
        message::{CallerAnswer, CallerCall, LinkMessage},
    },
};

const JOINING: u16 = 9;
const ENTRY: u16 = 99;

// Review 3, case 11: a process was told an id of an entry that was then lost.
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

// Review 3, case 11: a process under an id of a lost entry stayed outside the group for good.
#[test]
fn a_process_under_a_lost_id_is_told_that_it_is_no_member() {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.cut_off(former);
    group.join(former, JOINING);
    let lost = *group.member_ids(former).last().expect("the added member");
    group.admit(JOINING, lost);
    group.advance(ELECTION_TIMEOUT * 4);
    group.heal();
    group.advance(ELECTION_TIMEOUT * 4);
    let leader = group.leader().expect("a leader");
    assert!(group.unreached_for(JOINING) > Some(ELECTION_TIMEOUT * 4), "no leader knows the id");
    group.check_member(leader, JOINING, lost);
    assert_eq!(group.removed(JOINING), Some(lost));
}

#[test]
fn a_member_that_asks_is_not_removed() {
    let mut group = ControlGroup::start(3);
    let leader = group.leader().expect("a leader");
    group.join(leader, JOINING);
    let id = group.admitted(JOINING).expect("an id");
    group.check_member(leader, JOINING, id);
    group.admit(JOINING, id);
    group.advance(ELECTION_TIMEOUT);
    group.check_member(leader, JOINING, id);
    assert_eq!(group.removed(JOINING), None);
    assert_eq!(group.unreached_for(JOINING).filter(|span| *span >= ELECTION_TIMEOUT), None);
}

// A leader that was replaced must not send away a process that the next leader has added.
#[test]
fn a_former_leader_sends_no_member_away() {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.cut_off(former);
    group.check_member(former, JOINING, ReplicaId(1 << 50));
    assert_eq!(group.removed(JOINING), None);
}

// A request that arrived after its process had become a member removed the member.
#[test]
fn a_late_request_for_an_id_removes_no_member_that_answers() {
    let mut group = ControlGroup::start(3);
    let leader = group.leader().expect("a leader");
    group.join(leader, JOINING);
    let id = group.admitted(JOINING).expect("an id");
    group.admit(JOINING, id);
    group.advance(ELECTION_TIMEOUT / 2);
    group.join(leader, JOINING);
    group.advance(ELECTION_TIMEOUT / 2);
    assert_eq!(group.member_ids(leader).last(), Some(&id));
}

#[test]
fn a_member_that_has_lost_its_disk_gets_a_new_id_once_it_is_silent() {
    let mut group = ControlGroup::start(3);
    let leader = group.leader().expect("a leader");
    let wiped = (1..=3).find(|port| *port != leader).expect("a follower");
    group.stop(wiped);
    let mut id = None;
    for _ in 0..4 {
        group.advance(ELECTION_TIMEOUT / 2);
        group.join(leader, wiped);
        id = id.or(group.admitted(wiped));
    }
    assert!(id.is_some());
    assert!(!group.member_ids(leader).contains(&ReplicaId(u64::from(wiped))));
}

// Entries and agents forgot the address of a member on the word of a removal that was then lost.
#[test]
fn an_address_is_announced_until_its_removal_is_committed() {
    let mut group = ControlGroup::start(3);
    let leader = group.leader().expect("a leader");
    let wiped = (1..=3).find(|port| *port != leader).expect("a follower");
    group.send(leader, ENTRY, LinkMessage::Hello { name: "entry".to_owned() });
    group.stop(wiped);
    group.advance(ELECTION_TIMEOUT);
    group.cut_off(leader);
    group.join(leader, wiped);
    group.advance(ELECTION_TIMEOUT / 2);
    assert!(!group.member_ids(leader).contains(&ReplicaId(u64::from(wiped))), "it is proposed");
    assert_eq!(group.announced(ENTRY), [1, 2, 3]);
    group.heal();
    group.advance(ELECTION_TIMEOUT);
    assert_eq!(group.announced(ENTRY).len(), 2, "the removal is committed");
}

// The same id was made twice, once by a leader whose entry was lost.
#[test]
fn an_id_of_a_lost_entry_is_not_made_again() {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.cut_off(former);
    // The next leader's first two entries take the same positions.
    group.configure(former, 1);
    group.configure(former, 2);
    group.join(former, JOINING);
    let lost = *group.member_ids(former).last().expect("the added member");
    group.advance(ELECTION_TIMEOUT * 4);
    let leader = group.leader().expect("a leader");
    group.join(leader, JOINING + 1);
    let id = group.admitted(JOINING + 1).expect("an id");
    assert!(id > lost, "{id} after {lost}");
}

// What arrived at a leader that stood still is of callers and operators that have asked others since.
#[rstest]
#[case::shorter_than_an_election(ELECTION_TIMEOUT)]
#[case::long(ELECTION_TIMEOUT * 10)]
fn a_leader_that_has_stood_still_carries_out_nothing_after_its_replacement(
    #[case] pause: Duration,
) {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.configure(former, 1);
    group.operator_answers();
    group.pause(former);
    group.call(former, ENTRY, CallerCall::Submit(one_task()));
    group.call(former, ENTRY, CallerCall::Cancel);
    group.cordon(former, "north");
    group.advance(pause);
    group.resume(former);
    group.advance(ELECTION_TIMEOUT * 4);
    assert_eq!(group.caller_answers(ENTRY), [CallerAnswer::NotLeading, CallerAnswer::NotLeading]);
    assert_eq!(group.operator_answers(), [OperatorAnswer::NotLeading { leader: None }]);
    let leader = group.leader().expect("a leader");
    assert!(group.state(leader).jobs().next().is_none());
    assert!(group.state(leader).cordons().is_empty());
}

// Review 3, case 14, while the leader changes: the next one knows the cancels of the one before.
#[test]
fn a_new_leader_refuses_a_job_that_was_cancelled_before_its_submission() {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.configure(former, 1);
    group.call(former, ENTRY, CallerCall::Cancel);
    assert_eq!(group.caller_answers(ENTRY), [CallerAnswer::NoJob]);
    group.stop(former);
    group.advance(ELECTION_TIMEOUT * 4);
    let leader = group.leader().expect("a leader");
    group.call(leader, ENTRY, CallerCall::Submit(one_task()));
    let answers = group.caller_answers(ENTRY);
    assert!(matches!(answers[..], [CallerAnswer::Invalid(_)]), "{answers:?}");
}

// A leader that was cut off acknowledged the cancel of a job that the next leader had accepted.
#[test]
fn a_leader_that_is_cut_off_acknowledges_no_cancel() {
    let mut group = ControlGroup::start(3);
    let former = group.leader().expect("a leader");
    group.configure(former, 1);
    group.cut_off(former);
    group.call(former, ENTRY, CallerCall::Cancel);
    assert_eq!(group.caller_answers(ENTRY), []);
    group.advance(ELECTION_TIMEOUT * 4);
    assert_eq!(group.caller_answers(ENTRY), [CallerAnswer::Unresolved]);
}

fn one_task() -> JobSpec {
    let step = StepSpec { count: 1, estimate_ms: 1000, ..StepSpec::default() };
    JobSpec { payload: "work".to_owned(), steps: vec![step], schedule: None }
}
