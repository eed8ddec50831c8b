use {super::LogFolder, base::ReplicaId, std::fs};

// The seeds of the settings are exchanged while a founder lives on: after a restart only its own
// disk says who founded the group.
#[test]
fn the_founders_outlive_the_process() {
    let data = tempfile::tempdir().unwrap();
    let founders = ["10.1.0.2:7000".parse().unwrap(), "10.2.0.2:7000".parse().unwrap()];
    LogFolder::new(data.path().join("log")).found(&founders).unwrap();
    let reopened = LogFolder::new(data.path().join("log"));
    assert_eq!(reopened.founders().unwrap(), founders);
}

#[test]
fn the_newest_replica_id_counts_until_all_is_cleared() {
    let data = tempfile::tempdir().unwrap();
    let folder = LogFolder::new(data.path().to_owned());
    folder.found(&["10.1.0.2:7000".parse().unwrap()]).unwrap();
    for replica in [7, 900, 31] {
        fs::create_dir(folder.of(ReplicaId(replica))).unwrap();
    }
    assert_eq!(folder.find().unwrap(), Some(ReplicaId(900)));
    folder.clear().unwrap();
    assert_eq!(folder.find().unwrap(), None);
    assert!(folder.founders().unwrap().is_empty());
}
