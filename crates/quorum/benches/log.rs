//! What the log costs on a real disk: commits a second and fsyncs per commit against the number of
//! proposals that share a batch, and the time of a restart against the length of the log. Ratios
//! compare figures of one run.

#[path = "../tests/solo/mod.rs"]
mod solo;

use {
    solo::{open_files, SoloReplica},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
};

/// Bytes of a proposal.
const PAYLOAD: usize = 200;
/// Proposals that share a batch.
const BATCHES: [u64; 5] = [1, 4, 16, 64, 256];
/// Commits that are timed for each batch size, at least.
const COMMITS: u64 = 2_000;
/// Lengths of the log that is opened.
const LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
/// Entries between snapshots, where there are any.
const SNAPSHOT_EVERY: u64 = 1_000;
/// Runs of which the middle one counts.
const RUNS: usize = 5;

fn main() {
    commits_against_batch();
    restart_against_length();
}

fn payloads(first: u64, count: u64) -> impl Iterator<Item = (u64, Vec<u8>)> {
    (first..first + count).map(|ticket| (ticket, vec![b'x'; PAYLOAD]))
}

fn commits_against_batch() {
    println!("batch  commits/s  to batch 1  fsyncs/commit");
    let mut single = None;
    for batch in BATCHES {
        let (rate, syncs) = commit_rate(batch);
        let base = *single.get_or_insert(rate);
        println!("{batch:5}  {rate:9.0}  {:10.1}  {syncs:13.4}", rate / base);
    }
}

/// The middle rate of several runs, and fsyncs per commit, which are the same in each.
fn commit_rate(batch: u64) -> (f64, f64) {
    let mut runs: Vec<(f64, f64)> = (0..RUNS).map(|_| timed_commits(batch)).collect();
    runs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    runs[RUNS / 2]
}

fn timed_commits(batch: u64) -> (f64, f64) {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    let mut replica = SoloReplica::open(folder.path(), u64::MAX);
    let rounds = COMMITS.div_ceil(batch).max(20);
    let syncs = replica.storage.sync_count();
    let start = Instant::now();
    for round in 0..rounds {
        replica.propose(payloads(round * batch, batch));
    }
    let elapsed = start.elapsed();
    let commits = replica.committed.len() as f64;
    let syncs = (replica.storage.sync_count() - syncs) as f64;
    (commits / elapsed.as_secs_f64(), syncs / commits)
}

fn restart_against_length() {
    println!("\nentries  restart without snapshot  with snapshot  ratio");
    for length in LENGTHS {
        let plain = restart_time(length, u64::MAX);
        let compacted = restart_time(length, SNAPSHOT_EVERY);
        let ratio = plain.as_secs_f64() / compacted.as_secs_f64();
        println!("{length:7}  {plain:24.2?}  {compacted:13.2?}  {ratio:5.1}");
    }
}

/// The time until the log is read and checked. The caller's state is a count, so that snapshots
/// are small and the log is what is measured.
fn restart_time(length: u64, snapshot_every: u64) -> Duration {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    fill(folder.path(), length, snapshot_every);
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            drop(open_files(folder.path()));
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

fn fill(folder: &Path, length: u64, snapshot_every: u64) {
    let mut replica = SoloReplica::open(folder, snapshot_every);
    for first in (0..length).step_by(500) {
        replica.propose(payloads(first, 500));
        replica.state.clear();
    }
}
