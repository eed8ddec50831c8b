//! Kills a process while it writes, and checks that every entry it acknowledged is recovered.

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

/// Environment variable that passes the log's folder to the writing process.
const FOLDER_VARIABLE: &str = "QUORUM_KILLED_FOLDER";
/// Number of times that a process is killed.
const KILLS: u64 = 20;
/// Number of proposals that share a batch.
const BATCH: u64 = 50;
/// Entries between snapshots.
const SNAPSHOT_EVERY: u64 = 300;

/// Entry point of the process that gets killed. Does nothing unless the other test starts it.
#[test]
fn writer() {
    let Some(folder) = env::var_os(FOLDER_VARIABLE) else { return };
    let mut replica = SoloReplica::open(Path::new(&folder), SNAPSHOT_EVERY);
    let mut output = std::io::stdout().lock();
    for first in (0..).step_by(BATCH as usize) {
        replica.propose((first..first + BATCH).map(|ticket| (ticket, content(ticket))));
        for (ticket, index) in replica.committed.drain(..) {
            // The parent process may have closed the pipe.
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
fn a_killed_process_keeps_every_acknowledged_entry() {
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

/// Starts a writing process, kills it after `lines` lines of output and records what it
/// acknowledged.
fn write_and_kill(folder: &Path, lines: usize, acknowledged: &mut BTreeMap<LogIndex, u64>) {
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", "writer", "--nocapture"])
        .env(FOLDER_VARIABLE, folder)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
    let mut record_line = |line: String| {
        let mut words = line.split(' ');
        if words.next() != Some("committed") {
            return;
        }
        let Some(index) = words.next().and_then(|word| word.parse().ok()) else { return };
        let Some(ticket) = words.next().and_then(|word| word.parse().ok()) else { return };
        acknowledged.insert(index, ticket);
    };
    output.by_ref().take(lines).for_each(|line| record_line(line.unwrap()));
    child.kill().unwrap();
    child.wait().unwrap();
    // The last line may be incomplete.
    let rest: Vec<String> = output.map_while(Result::ok).collect();
    let complete = rest.len().saturating_sub(1);
    rest.into_iter().take(complete).for_each(record_line);
}
