use {
    super::LogFolder,
    base::{ClusterName, ReplicaId, TermNumber},
    power::PowerDisk,
    quorum::{HardState, LogStorage, PersistBatch},
    rstest::rstest,
    std::{fs, path::Path},
};

#[path = "../../../quorum/tests/power/mod.rs"]
mod power;

// The settings may name other seeds after a founder was created. After a restart only the founder's
// own disk says who founded the group.
#[test]
fn founders_are_read_back_after_a_restart() {
    let data = tempfile::tempdir().unwrap();
    let founders = ["10.1.0.2:7000".parse().unwrap(), "10.2.0.2:7000".parse().unwrap()];
    LogFolder::new(data.path().join("log")).store_founders(&founders).unwrap();
    let reopened = LogFolder::new(data.path().join("log"));
    assert_eq!(reopened.founders().unwrap(), founders);
}

#[test]
fn the_highest_replica_id_is_found_until_the_folder_is_cleared() {
    let data = tempfile::tempdir().unwrap();
    let mut folder = LogFolder::new(data.path().to_owned());
    folder.store_founders(&["10.1.0.2:7000".parse().unwrap()]).unwrap();
    for replica in [7, 900, 31] {
        fs::create_dir(folder.replica_path(ReplicaId(replica))).unwrap();
    }
    assert_eq!(folder.newest_replica().unwrap(), Some(ReplicaId(900)));
    folder.clear().unwrap();
    assert_eq!(folder.newest_replica().unwrap(), None);
    assert!(folder.founders().unwrap().is_empty());
}

// A killed process had created the data folder, and nobody synced its name.
#[test]
fn founders_are_on_the_disk_of_a_process_that_was_killed_before() {
    let founders = ["10.1.0.2:7000".parse().unwrap(), "10.2.0.2:7000".parse().unwrap()];
    for operations in 0.. {
        let disk = PowerDisk::new(operations);
        let store = |disk: &PowerDisk| {
            let path = disk.path().join("data/control");
            LogFolder::with_files(disk.clone(), path).store_founders(&founders)
        };
        if store(&disk).is_ok() {
            return;
        }
        disk.restart(u64::MAX);
        store(&disk).unwrap();
        disk.cut_power(|root| {
            let folder = LogFolder::new(root.join("data/control"));
            assert_eq!(folder.founders().unwrap(), founders, "after {operations} operations");
        });
    }
}

// A log of which only a part was left was refused at each start.
#[test]
fn a_cleared_log_is_whole_or_gone() {
    let replica = ReplicaId(7);
    let cluster = ClusterName::new("umoja").unwrap();
    let open = |root: &Path| {
        let mut folder = LogFolder::new(root.to_owned());
        folder.remove_leftovers().unwrap();
        let newest = folder.newest_replica().unwrap();
        if let Some(found) = newest {
            let opened = LogStorage::open(&folder.replica_path(found), &cluster, found);
            assert_eq!(opened.unwrap().1.hard_state.term, TermNumber(3));
            assert!(!folder.founders().unwrap().is_empty(), "the log has no founders");
        }
        newest
    };
    for operations in 0.. {
        let disk = PowerDisk::new(u64::MAX);
        let mut folder = LogFolder::with_files(disk.clone(), disk.path());
        folder.store_founders(&["10.1.0.2:7000".parse().unwrap()]).unwrap();
        let path = folder.replica_path(replica);
        let opened = LogStorage::open_with(disk.clone(), &path, &cluster, replica);
        let hard_state = Some(HardState { term: TermNumber(3), voted_for: None });
        let batch = PersistBatch { hard_state, ..PersistBatch::default() };
        opened.unwrap().0.persist(&batch).unwrap();
        disk.restart(operations);
        let cleared = folder.clear();
        disk.cut_power(|root| {
            let newest = open(root);
            assert!(cleared.is_err() || newest.is_none(), "the log came back");
        });
        let newest = open(&disk.path());
        if cleared.is_ok() {
            assert_eq!(newest, None);
            return;
        }
    }
}

// Bytes that are not UTF-8 ended the process, again at each start.
#[rstest]
#[case::bytes(b"\xff\xfe\n")]
#[case::port_out_of_range(b"10.1.0.17:99999\n")]
#[case::number_too_large(b"99999999999999999999\n")]
#[case::nested(&[b'['; 100_000])]
#[case::empty(b"\n")]
fn an_odd_founder_is_left_out_and_the_others_hold(#[case] odd: &[u8]) {
    let data = tempfile::tempdir().unwrap();
    let lines = [b"10.1.0.2:7000\n", odd, b"\n10.2.0.2:7000\n"].concat();
    fs::write(data.path().join("founders"), lines).unwrap();
    let founders = LogFolder::new(data.path().to_owned()).founders().unwrap();
    let founders: Vec<String> = founders.iter().map(ToString::to_string).collect();
    assert_eq!(founders, ["10.1.0.2:7000", "10.2.0.2:7000"]);
}

#[rstest]
#[case::number_too_large("replica-99999999999999999999")]
#[case::negative("replica--1")]
#[case::no_number("replica-x")]
#[case::another_name("lost+found")]
fn a_folder_with_an_odd_name_is_no_replica(#[case] name: &str) {
    let data = tempfile::tempdir().unwrap();
    fs::create_dir(data.path().join(name)).unwrap();
    let folder = LogFolder::new(data.path().to_owned());
    fs::create_dir(folder.replica_path(ReplicaId(7))).unwrap();
    assert_eq!(folder.newest_replica().unwrap(), Some(ReplicaId(7)));
}
