use {super::LogFolder, base::ReplicaId, std::fs};

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
    let folder = LogFolder::new(data.path().to_owned());
    folder.store_founders(&["10.1.0.2:7000".parse().unwrap()]).unwrap();
    for replica in [7, 900, 31] {
        fs::create_dir(folder.replica_path(ReplicaId(replica))).unwrap();
    }
    assert_eq!(folder.newest_replica().unwrap(), Some(ReplicaId(900)));
    folder.clear().unwrap();
    assert_eq!(folder.newest_replica().unwrap(), None);
    assert!(folder.founders().unwrap().is_empty());
}
