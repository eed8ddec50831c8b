//! A process that is killed while it writes: everything it acknowledged is there afterwards.

mod solo;

use {
    base::{LogIndex, SeededRandom},
    solo::SoloReplica,
    std::{
        collections::BTreeMap,
        env,
        io::{BufRead, BufReader, Write},
        path::Path,
        process::{Command, Stdio},
    },
};

/// Names the folder to the process that writes.
const FOLDER: &str = "QUORUM_KILLED_FOLDER";
/// How often a process is killed.
const KILLS: u64 = 20;
/// Proposals that share a batch.
const BATCH: u64 = 50;
/// Entries between snapshots.
const SNAPSHOT_EVERY: u64 = 300;

/// The process that is killed. It does nothing unless the other test starts it.
#[test]
fn writer() {
    let Some(folder) = env::var_os(FOLDER) else { return };
    let mut replica = SoloReplica::open(Path::new(&folder), SNAPSHOT_EVERY);
    let mut output = std::io::stdout().lock();
    for first in (0..).step_by(BATCH as usize) {
        replica.propose((first..first + BATCH).map(|ticket| (ticket, content(ticket))));
        for (ticket, index) in replica.committed.drain(..) {
            // The other process may be gone.
            if writeln!(output, "committed {index} {ticket}").is_err() {
                return;
            }
        }
    }
}

fn content(ticket: u64) -> Vec<u8> {
    format!("{ticket} ").repeat(12).into_bytes()
}

#[test]
fn a_killed_process_loses_nothing_that_it_acknowledged() {
    let folder = tempfile::tempdir().unwrap();
    let mut random = SeededRandom::new(1);
    let mut acknowledged = BTreeMap::new();
    for kill in 0..KILLS {
        let lines = 1 + random.below(400);
        write_and_kill(folder.path(), lines, &mut acknowledged);
        let replica = SoloReplica::open(folder.path(), SNAPSHOT_EVERY);
        for (index, ticket) in &acknowledged {
            let found = replica.state.get(index);
            assert_eq!(found, Some(&content(*ticket)), "{index} after kill {kill}");
        }
    }
    println!("{} entries acknowledged over {KILLS} kills", acknowledged.len());
}

/// Starts a process that writes, kills it after some lines and adds what it acknowledged.
fn write_and_kill(folder: &Path, lines: usize, acknowledged: &mut BTreeMap<LogIndex, u64>) {
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", "writer", "--nocapture"])
        .env(FOLDER, folder)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut note = |line: String| {
        let mut words = line.split(' ');
        if words.next() != Some("committed") {
            return;
        }
        let Some(index) = words.next().and_then(|word| word.parse().ok()) else { return };
        let Some(ticket) = words.next().and_then(|word| word.parse().ok()) else { return };
        acknowledged.insert(index, ticket);
    };
    output.by_ref().take(lines).for_each(|line| note(line.unwrap()));
    child.kill().unwrap();
    child.wait().unwrap();
    // The last line may be cut off in the middle.
    let rest: Vec<String> = output.map_while(Result::ok).collect();
    let whole = rest.len().saturating_sub(1);
    rest.into_iter().take(whole).for_each(note);
}
