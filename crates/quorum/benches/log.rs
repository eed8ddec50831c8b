//! Cost of the log on a real disk: commits per second and fsyncs per commit by batch size, and
//! restart time by log length. Compare ratios only within one run.

#[path = "../tests/solo/mod.rs"]
mod solo;

use {
    solo::{open_files, SoloReplica},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
};

/// Size of a proposal in bytes.
const PAYLOAD_BYTES: usize = 200;
/// Numbers of proposals that share a batch.
const BATCH_SIZES: [u64; 5] = [1, 4, 16, 64, 256];
/// Minimum number of commits to time for each batch size.
const MIN_COMMITS: u64 = 2_000;
/// Log lengths for which to time a restart, in entries.
const LOG_LENGTHS: [u64; 3] = [1_000, 10_000, 100_000];
/// Entries between snapshots in the runs with snapshots.
const SNAPSHOT_EVERY: u64 = 1_000;
/// Number of runs; the median is reported.
const RUNS: usize = 5;

fn main() {
    commits_against_batch();
    restart_against_length();
}

fn payloads(first: u64, count: u64) -> impl Iterator<Item = (u64, Vec<u8>)> {
    (first..first + count).map(|ticket| (ticket, vec![b'x'; PAYLOAD_BYTES]))
}

fn commits_against_batch() {
    println!("batch  commits/s  to batch 1  fsyncs/commit");
    let mut single = None;
    for batch in BATCH_SIZES {
        let (rate, syncs) = commit_rate(batch);
        let base = *single.get_or_insert(rate);
        println!("{batch:5}  {rate:9.0}  {:10.1}  {syncs:13.4}", rate / base);
    }
}

/// Returns the median commit rate of several runs, and the fsyncs per commit, which are the same in
/// each.
fn commit_rate(batch: u64) -> (f64, f64) {
    let mut runs: Vec<(f64, f64)> = (0..RUNS).map(|_| timed_commits(batch)).collect();
    runs.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    runs[RUNS / 2]
}

fn timed_commits(batch: u64) -> (f64, f64) {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    let mut replica = SoloReplica::open(folder.path(), u64::MAX);
    let rounds = MIN_COMMITS.div_ceil(batch).max(20);
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
    for length in LOG_LENGTHS {
        let plain = restart_time(length, u64::MAX);
        let compacted = restart_time(length, SNAPSHOT_EVERY);
        let ratio = plain.as_secs_f64() / compacted.as_secs_f64();
        println!("{length:7}  {plain:24.2?}  {compacted:13.2?}  {ratio:5.1}");
    }
}

/// Returns the median time to read and check a log. The caller's state is only a count, so that
/// snapshots are small and the log dominates the result.
fn restart_time(length: u64, snapshot_every: u64) -> Duration {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("a folder");
    fill_log(folder.path(), length, snapshot_every);
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

fn fill_log(folder: &Path, length: u64, snapshot_every: u64) {
    let mut replica = SoloReplica::open(folder, snapshot_every);
    for first in (0..length).step_by(500) {
        replica.propose(payloads(first, 500));
        replica.state.clear();
    }
}
