//! Scripted scenarios against the real state machine. The scripts in `scenarios/` contain the
//! expected output after each command; running with `REWRITE=1` replaces it by the actual output.

mod cluster;

use {
    base::ReplicaId,
    cluster::{address, describe_members, Cluster, ELECTION_TIMEOUT, HEARTBEAT},
    datadriven::TestCase,
    quorum::MemberChange,
    std::path::Path,
};

/// Folder of the scenario scripts.
const SCENARIOS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");

#[test]
fn scenarios_produce_the_expected_output() {
    datadriven::walk(Path::new(SCENARIOS).to_str().unwrap(), |file| {
        let mut cluster = None;
        file.run(|case| run_case(&mut cluster, case));
    });
}

fn run_case(cluster: &mut Option<Cluster>, case: &TestCase) -> String {
    if case.directive == "group" {
        let mut group = Cluster::new(number(case, "voters", 3), 1);
        group.snapshot_every = number(case, "snapshot-every", 1_000_000);
        group.real_files = true;
        *cluster = Some(group);
        return "ok\n".to_owned();
    }
    let cluster = cluster.as_mut().expect("a scenario begins with `group`");
    command(cluster, case);
    let mut lines = std::mem::take(&mut cluster.lines);
    if case.args.contains_key("quiet") {
        lines.clear();
    }
    if case.directive == "status" {
        lines = status(cluster);
    }
    lines.extend(cluster.observer.violations.drain(..).map(|line| format!("BROKEN: {line}")));
    if lines.is_empty() {
        lines.push("nothing".to_owned());
    }
    lines.join("\n") + "\n"
}

fn command(cluster: &mut Cluster, case: &TestCase) {
    let ids = replicas(case, "id");
    let first = ids.first().copied().unwrap_or_default();
    match case.directive.as_str() {
        "start" => ids.into_iter().for_each(|id| cluster.start(id)),
        "elect" => cluster.elect(first),
        "step" => {
            cluster.step();
        }
        "crash" => {
            let keep_unsynced = case.args.contains_key("unsynced-survives");
            let torn = case.args.contains_key("torn");
            ids.iter().for_each(|id| cluster.crash(*id, keep_unsynced));
            ids.iter().filter(|_| torn).for_each(|id| cluster.tear(*id));
        }
        "lose-disk" => {
            cluster.crash(first, false);
            cluster.nodes.remove(&first);
        }
        "disk" => set_disk(cluster, first, &case.args["is"][0]),
        "pause" => cluster.nodes.get_mut(&first).unwrap().paused = true,
        "resume" => cluster.nodes.get_mut(&first).unwrap().paused = false,
        "heartbeat" => cluster.advance(HEARTBEAT),
        "cut" => links(cluster, case).for_each(|link| {
            cluster.cut_links.insert(link);
        }),
        "delay" => links(cluster, case).for_each(|link| {
            cluster.delayed_links.insert(link);
        }),
        "double" => links(cluster, case).for_each(|link| {
            cluster.duplicated_links.insert(link);
        }),
        "heal" => {
            cluster.cut_links.clear();
            cluster.delayed_links.clear();
            cluster.duplicated_links.clear();
        }
        "propose" => {
            for data in &case.args["data"] {
                cluster.propose(first, data);
            }
        }
        "propose-many" => (1..=number(case, "count", 1)).for_each(|number| {
            cluster.propose(first, &format!("change {number}"));
            cluster.settle();
        }),
        "read" => cluster.read(first),
        "add-learner" => {
            let replica = replicas(case, "learner")[0];
            cluster.change(first, MemberChange::AddLearner { replica, address: address(replica) });
        }
        "promote" => {
            let replica = replicas(case, "learner")[0];
            cluster.change(first, MemberChange::Promote { replica });
        }
        "remove" => {
            let replica = replicas(case, "member")[0];
            cluster.change(first, MemberChange::Remove { replica });
        }
        "advance" => cluster.advance(ELECTION_TIMEOUT * timeouts(case)),
        "settle" | "status" => {}
        other => panic!("unknown command {other}"),
    }
    let manual = ["step", "status"].contains(&case.directive.as_str());
    if !manual && !case.args.contains_key("unsettled") {
        cluster.settle();
    }
}

fn set_disk(cluster: &mut Cluster, replica: ReplicaId, state: &str) {
    cluster.nodes.get_mut(&replica).unwrap().disk_full = state == "full";
    match state {
        "slow" => cluster.slow_disks.insert(replica),
        _ => cluster.slow_disks.remove(&replica),
    };
}

/// Returns the links named by `from` and `to`, and both directions between the replicas in `around`
/// and all others.
fn links(cluster: &Cluster, case: &TestCase) -> impl Iterator<Item = (ReplicaId, ReplicaId)> {
    let (from, to) = (replicas(case, "from"), replicas(case, "to"));
    let around = replicas(case, "around");
    let rest: Vec<_> = cluster.nodes.keys().copied().filter(|id| !around.contains(id)).collect();
    let out = around.iter().flat_map(|id| rest.iter().map(|other| (*id, *other)));
    let back = around.iter().flat_map(|id| rest.iter().map(|other| (*other, *id)));
    let there = from.iter().flat_map(|from| to.iter().map(|to| (*from, *to)));
    out.chain(back).chain(there).collect::<Vec<_>>().into_iter()
}

fn status(cluster: &Cluster) -> Vec<String> {
    let cores = cluster.nodes.iter().filter_map(|(id, node)| Some((id, node.core.as_ref()?)));
    let line = |(id, core): (&ReplicaId, &quorum::QuorumCore)| {
        let members: Vec<_> = core.members().iter().map(|member| member.member).collect();
        format!(
            "{id}: {:?} in term {}, log to {}, committed {}, {}",
            core.role(),
            core.term(),
            core.last_index(),
            core.committed(),
            describe_members(&members)
        )
    };
    cores.map(line).collect()
}

fn replicas(case: &TestCase, name: &str) -> Vec<ReplicaId> {
    let values = case.args.get(name).cloned().unwrap_or_default();
    values.iter().map(|text| text.parse().expect("a replica id")).collect()
}

fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    let value = case.args.get(name).and_then(|values| values.first());
    value.map_or(default, |text| text.parse().expect("a number"))
}

fn timeouts(case: &TestCase) -> u32 {
    u32::try_from(number(case, "timeouts", 1)).expect("a small number")
}
