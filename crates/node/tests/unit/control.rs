//! Tests of a control process among others that the test scripts, over real streams.

use {
    super::*,
    crate::scripted::{on_local_set, ScriptedControl, ScriptedLeader},
    std::{fs, path::Path},
};

fn setup(seed: &ScriptedControl, data_folder: &Path) -> ControlSetup {
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    ControlSetup {
        name: "control".to_owned(),
        address,
        bind: address,
        seeds: vec![seed.address],
        founding: false,
        cluster: ClusterName::new("test").unwrap(),
        data_folder: data_folder.to_owned(),
        lease: Duration::from_secs(3),
        retention: Duration::from_secs(60),
        tolerated_losses: 1,
        look_ahead: LookaheadScope::All,
    }
}

/// Returns the next request about a replica id.
async fn next_request(leader: &mut ScriptedLeader) -> LinkMessage {
    loop {
        match leader.next().await {
            Some(LinkMessage::Ping { .. }) => {}
            Some(message) => return message,
            None => panic!("the stream has ended"),
        }
    }
}

// Review 3, case 11: a process with an id that no group knew waited for a leader, also after a restart.
#[test]
fn a_member_that_no_leader_reaches_asks_and_joins_again() {
    on_local_set(async {
        let (folder, lost) = (tempfile::tempdir().unwrap(), ReplicaId(77));
        fs::create_dir(folder.path().join("replica-77")).unwrap();
        let seed = ScriptedControl::start().await;
        let setup = setup(&seed, folder.path());
        let log = LineLog::start("control").unwrap();
        let (_handle, _end) = start_control(setup, log).await.unwrap();
        let mut leader = seed.lead(&[seed.address]).await;
        let request = next_request(&mut leader).await;
        assert!(matches!(request, LinkMessage::CheckMember { replica, .. } if replica == lost));
        leader.sender.send(LinkMessage::Removed { replica: lost });
        let mut leader = seed.lead(&[seed.address]).await;
        assert!(matches!(next_request(&mut leader).await, LinkMessage::Join { .. }));
        leader.sender.send(LinkMessage::Admitted { replica: ReplicaId(78) });
        while leader.next().await.is_some() {}
        assert!(!folder.path().join("replica-77").exists());
        assert!(folder.path().join("replica-78").exists());
    });
}
