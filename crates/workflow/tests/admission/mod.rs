//! Tests that play a load against one leader and check which submissions its callers see refused.

use {
    crate::{
        fixtures::fleet_config,
        support::{job, ControlHarness, StepBuilder},
    },
    base::SeededRandom,
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    workflow::{
        job::{FleetConfig, JobSpec, QueueRule},
        message::{CallerAnswer, LinkMessage},
        state::EndKind,
    },
};

/// Executors of 16 cores.
const EXECUTORS: usize = 2;
const ROUND_MS: u64 = 100;
/// The work of all executors in a round, in milliseconds of one core.
const CAPACITY: u64 = 16 * EXECUTORS as u64 * ROUND_MS;
/// The queue of priority 0, and one of priority 2 with the same service.
const URGENT: &str = "/q/";
const BULK: &str = "/b/";

/// The objective of the bulk queue: a multiple of the chain, and an addition in milliseconds.
const BULK_STRETCH: f64 = 2.0;
const BULK_ALLOWANCE_MS: u64 = 1000;

fn config(version: u64, stretch: f64) -> FleetConfig {
    let mut config = fleet_config(version, 2);
    let (name, path_prefix) = ("bulk".to_owned(), BULK.to_owned());
    let (priority, latency_allowance_ms) = (2, BULK_ALLOWANCE_MS);
    let rule = config.queues[0].clone();
    let rule = QueueRule { name, path_prefix, priority, stretch, latency_allowance_ms, ..rule };
    config.queues.push(rule);
    config
}

/// A submission as its caller sees it.
#[derive(Debug, Clone)]
struct CallerView {
    queue: &'static str,
    tasks: u16,
    round: u64,
    answer: CallerAnswer,
}

impl CallerView {
    fn is_refused(&self) -> bool {
        matches!(self.answer, CallerAnswer::Overloaded { .. })
    }
}

/// A fleet whose executors carry out every start, and its callers.
struct LoadedFleet {
    harness: ControlHarness,
    random: SeededRandom,
    round: u64,
    /// A job that is admitted in any case.
    forced: Option<u64>,
    seen: usize,
    last_end: u64,
    /// The executor and the time of the end by task and run.
    running: BTreeMap<(String, u32), (usize, Duration)>,
    estimates: BTreeMap<u64, u64>,
    callers: BTreeMap<u64, CallerView>,
    /// The work that each queue's callers have yet to submit, in milliseconds of one core.
    owed: BTreeMap<&'static str, i64>,
}

impl LoadedFleet {
    fn new(seed: u64) -> Self {
        let mut harness = ControlHarness::start();
        harness.apply_config(config(2, BULK_STRETCH));
        for at in 0..EXECUTORS {
            harness.connect_worker(at as u64 + 1, &format!("e{at}"), 100);
        }
        let (running, estimates, callers, owed) = Default::default();
        let random = SeededRandom::new(seed);
        let (round, forced, seen, last_end) = (0, None, 0, 0);
        Self { harness, random, round, forced, seen, last_end, running, estimates, callers, owed }
    }

    /// Plays a time in which a queue's callers submit a share of the work that the fleet can do.
    fn play(&mut self, milliseconds: u64, shares: &[(&'static str, f64)]) {
        for _ in 0..milliseconds / ROUND_MS {
            self.round += 1;
            for (queue, share) in shares {
                *self.owed.entry(queue).or_default() += (CAPACITY as f64 * share) as i64;
                while self.owed[queue] > 0 {
                    let work = self.submit(queue);
                    *self.owed.entry(queue).or_default() -= work as i64;
                }
            }
            self.harness.advance(ROUND_MS);
            self.carry_out();
        }
    }

    /// Submits a job with tasks of one core. Returns its work in milliseconds of one core.
    fn submit(&mut self, queue: &'static str) -> u64 {
        let key = self.random.next_u64();
        let tasks = 4 + self.random.below(24) as u16;
        let estimate = 400 + self.random.below(1200) as u64;
        let spec = one_step(tasks, estimate);
        let answer = if self.forced == Some(key) {
            self.force(key, spec)
        } else {
            self.harness.submit_to(queue, key, spec)
        };
        self.estimates.insert(key, estimate);
        self.callers.insert(key, CallerView { queue, tasks, round: self.round, answer });
        u64::from(tasks) * estimate
    }

    /// Submits a bulk job that is admitted in any case: while its queue has no objective.
    fn force(&mut self, key: u64, spec: JobSpec) -> CallerAnswer {
        self.harness.apply_config(config(3, 0.0));
        let answer = self.harness.submit_to(BULK, key, spec);
        self.harness.apply_config(config(4, BULK_STRETCH));
        answer
    }

    fn carry_out(&mut self) {
        let now = self.harness.now();
        let starts = self.harness.starts()[self.seen..].to_vec();
        self.seen += starts.len();
        for start in starts {
            let (task, rest) = start.split_once(" run ").unwrap();
            let (run, worker) = rest.split_once(" on e").unwrap();
            let executor = worker.split_once('@').unwrap().0.parse().unwrap();
            let length = Duration::from_millis(self.estimates[&key_of(task)]);
            let run = (task.to_owned(), run.parse().unwrap());
            self.running.entry(run).or_insert((executor, now + length));
        }
        for at in 0..EXECUTORS {
            let (session, worker) = (at as u64 + 1, format!("e{at}@100"));
            let here = self.running.iter().filter(|(_, (executor, _))| *executor == at);
            let here: Vec<((String, u32), bool)> =
                here.map(|(run, (_, end))| (run.clone(), *end <= now)).collect();
            let listed = here.iter().filter(|(_, ended)| !ended);
            let listed: Vec<(&str, u32)> =
                listed.map(|((task, run), _)| (task.as_str(), *run)).collect();
            self.harness.send(session, LinkMessage::Ping { sequence: 1 });
            for ((task, run), _) in here.iter().filter(|(_, ended)| *ended) {
                self.last_end += 1;
                self.running.remove(&(task.clone(), *run));
                let (number, end) = (self.last_end, EndKind::Done);
                self.harness.report_end(session, &worker, number, task, *run, end);
            }
            self.harness.report_runs(session, &worker, &listed);
        }
    }

    fn refused(&self) -> impl Iterator<Item = (u64, &CallerView)> {
        self.callers.iter().map(|(key, view)| (*key, view)).filter(|(_, view)| view.is_refused())
    }
}

fn one_step(tasks: u16, estimate: u64) -> JobSpec {
    job(&[StepBuilder::tasks(tasks).estimate(estimate)])
}

fn key_of(task: &str) -> u64 {
    u64::from_str_radix(task.split_once('.').unwrap().0, 16).unwrap()
}

/// Urgent work of three times what the fleet can finish, beside some bulk work.
const OVERLOAD: [(&str, f64); 2] = [(URGENT, 3.0), (BULK, 0.8)];
const OVERLOAD_MS: u64 = 25_000;

fn overloaded(seed: u64) -> LoadedFleet {
    let mut fleet = LoadedFleet::new(seed);
    fleet.play(OVERLOAD_MS, &OVERLOAD);
    assert!(fleet.refused().count() > 10);
    fleet
}

// A service that keeps up, or falls behind for a short time or by little, must refuse nothing: its
// jobs can still end in time. Nor may it for work of the same priority, which may be late before
// the new job is.
#[rstest]
#[case::light(&[(20_000, 0.3, 0.3)])]
#[case::full(&[(20_000, 0.4, 0.6)])]
#[case::slightly_overloaded(&[(20_000, 0.3, 0.9)])]
#[case::short_burst(&[(8_000, 0.2, 0.4), (2_000, 4.0, 0.5), (10_000, 0.2, 0.4)])]
#[case::overloaded_by_itself(&[(20_000, 0.2, 3.0)])]
fn a_load_whose_jobs_can_end_in_time_is_not_refused(#[case] phases: &[(u64, f64, f64)]) {
    let mut fleet = LoadedFleet::new(1);
    for (milliseconds, urgent, bulk) in phases {
        fleet.play(*milliseconds, &[(URGENT, *urgent), (BULK, *bulk)]);
    }
    assert_eq!(fleet.refused().count(), 0, "{:?}", fleet.refused().next());
}

// Callers whose jobs certainly end too late must hear so at once, return at different times, and
// have no job left behind.
#[test]
fn a_hopeless_job_is_refused_with_a_delay_and_leaves_nothing_behind() {
    let mut fleet = overloaded(2);
    let urgent = fleet.refused().filter(|(_, view)| view.queue == URGENT);
    assert_eq!(urgent.count(), 0);
    let delays = fleet.callers.values().filter_map(|view| match view.answer {
        CallerAnswer::Overloaded { retry_after_ms } => Some(retry_after_ms),
        _ => None,
    });
    let delays: BTreeSet<u64> = delays.collect();
    assert!(delays.iter().all(|delay| (1_000..=90_000).contains(delay)), "{delays:?}");
    let refused: Vec<u64> = fleet.refused().map(|(key, _)| key).collect();
    assert!(delays.len() > refused.len() / 2, "{delays:?}");
    for key in refused {
        let prefix = format!("{key:016x}.");
        assert!(!fleet.harness.starts().iter().any(|start| start.starts_with(&prefix)));
        assert!(fleet.harness.phase(key).contains("NoJob"));
    }
}

// Even if nothing more is submitted from the refusal on, a refused job must not have been able to
// end in time. The same load is played again, and the job is admitted.
#[test]
fn a_refused_job_would_have_ended_too_late() {
    let first = overloaded(3);
    let mut refused: Vec<(u64, u64)> =
        first.refused().map(|(key, view)| (view.round, key)).collect();
    refused.sort_unstable();
    for (round, key) in [refused[0], refused[refused.len() / 2], refused[refused.len() - 1]] {
        let mut fleet = LoadedFleet::new(3);
        fleet.forced = Some(key);
        fleet.play(round * ROUND_MS, &OVERLOAD);
        assert_eq!(fleet.callers[&key].answer, CallerAnswer::Accepted);
        let objective = BULK_STRETCH * fleet.estimates[&key] as f64 + BULK_ALLOWANCE_MS as f64;
        fleet.play((3.0 * objective) as u64, &[]);
        let phase = fleet.harness.phase(key);
        assert!(!phase.contains("Ended"), "{key:016x} of round {round}: {phase}");
    }
}

#[test]
fn refusals_end_with_the_overload() {
    let mut fleet = overloaded(4);
    let during = fleet.refused().count();
    fleet.play(60_000, &[]);
    fleet.play(10_000, &[(URGENT, 0.3), (BULK, 0.5)]);
    assert_eq!(fleet.refused().count(), during);
}

// Jobs are judged by the time that they wait: of two jobs with the same chain, the smaller one must
// not be preferred.
#[test]
fn jobs_of_all_sizes_are_refused_alike() {
    let mut fleet = overloaded(5);
    for (key, tasks) in [(0xa, 1), (0xb, 20), (0xc, 400)] {
        let answer = fleet.harness.submit_to(BULK, key, one_step(tasks, 500));
        assert!(matches!(answer, CallerAnswer::Overloaded { .. }), "{tasks} tasks: {answer:?}");
    }
}

#[test]
fn known_lasting_and_urgent_jobs_and_those_of_a_new_leader_are_not_refused() {
    let mut fleet = overloaded(6);
    let known = fleet.callers.iter().filter(|(_, view)| !view.is_refused() && view.queue == BULK);
    let known: Vec<(u64, u16)> = known.map(|(key, view)| (*key, view.tasks)).collect();
    for (key, tasks) in known {
        let answer = fleet.harness.submit_to(BULK, key, one_step(tasks, 500));
        assert_eq!(answer, CallerAnswer::Accepted);
    }
    let lasting = job(&[StepBuilder::tasks(30).estimate(500).lasting()]);
    assert_eq!(fleet.harness.submit_to(BULK, 0xa, lasting), CallerAnswer::Accepted);
    assert_eq!(fleet.harness.submit_to(URGENT, 0xb, one_step(30, 500)), CallerAnswer::Accepted);
    let answer = fleet.harness.submit_to(BULK, 0xc, one_step(30, 500));
    assert!(matches!(answer, CallerAnswer::Overloaded { .. }), "{answer:?}");
    fleet.harness.restart_leader();
    let answer = fleet.harness.submit_to(BULK, 0xc, one_step(30, 500));
    assert_eq!(answer, CallerAnswer::Accepted);
}

// Urgent work that fits on no executor takes no capacity, also where long tasks of the job's own
// priority occupy all of it and none of them has started lately.
#[test]
fn urgent_work_that_cannot_start_is_no_reason_to_refuse_a_job() {
    let mut fleet = LoadedFleet::new(7);
    for key in 0..200 {
        let unplaceable = job(&[StepBuilder::tasks(20).cores(64).estimate(1000)]);
        let answer = fleet.harness.submit_to(URGENT, key, unplaceable);
        assert_eq!(answer, CallerAnswer::Accepted);
    }
    fleet.play(12_000, &[(BULK, 1.0)]);
    let answer = fleet.harness.submit_to(BULK, 0xaaaa, one_step(64, 30_000));
    assert_eq!(answer, CallerAnswer::Accepted);
    fleet.estimates.insert(0xaaaa, 30_000);
    fleet.play(12_000, &[]);
    fleet.play(100, &[(BULK, 4.0)]);
    assert_eq!(fleet.refused().count(), 0, "{:?}", fleet.refused().next());
}

// The rate of finished work says little while only a part of the capacity was in use, or while long
// tasks have not ended yet.
#[test]
fn a_job_behind_a_burst_of_long_tasks_after_a_light_load_is_not_refused() {
    let mut fleet = LoadedFleet::new(9);
    fleet.estimates.insert(1, 400);
    fleet.harness.submit_to(URGENT, 1, one_step(24, 400));
    fleet.play(8_000, &[]);
    for key in [0xa, 0xb] {
        fleet.estimates.insert(key, 8000);
        let answer = fleet.harness.submit_to(URGENT, key, one_step(32, 8000));
        assert_eq!(answer, CallerAnswer::Accepted);
    }
    let (early, late) = (0xc, 0xd);
    fleet.estimates.insert(early, 400);
    fleet.estimates.insert(late, 1600);
    fleet.harness.submit_to(BULK, early, one_step(32, 400));
    fleet.play(7_000, &[]);
    let answer = fleet.harness.submit_to(BULK, late, one_step(4, 1600));
    assert_eq!(answer, CallerAnswer::Accepted);
    fleet.play(3 * (2 * 1600 + BULK_ALLOWANCE_MS), &[]);
    assert!(fleet.harness.phase(late).contains("Ended"), "the job ends in time");
}

// Urgent tasks may leave a part of each executor that they cannot use, where less urgent work runs.
#[test]
fn a_job_whose_priority_gets_capacity_is_not_refused() {
    let mut fleet = LoadedFleet::new(10);
    for key in 0..60 {
        fleet.estimates.insert(key, 1000);
        let wide = job(&[StepBuilder::tasks(4).cores(13).estimate(1000)]);
        assert_eq!(fleet.harness.submit_to(URGENT, key, wide), CallerAnswer::Accepted);
    }
    fleet.play(20_000, &[(BULK, 0.3)]);
    assert_eq!(fleet.refused().count(), 0, "{:?}", fleet.refused().next());
}

// Work that waits but has not missed its time is no overload, however long it will take.
#[test]
fn no_job_is_refused_before_a_job_has_missed_its_time() {
    let mut fleet = LoadedFleet::new(11);
    fleet.estimates.insert(1, 400);
    fleet.harness.submit_to(URGENT, 1, one_step(24, 400));
    fleet.play(8_000, &[]);
    for key in [0xa, 0xb, 0xc] {
        fleet.estimates.insert(key, 20_000);
        fleet.harness.submit_to(URGENT, key, one_step(32, 20_000));
    }
    fleet.play(6_000, &[]);
    let answer = fleet.harness.submit_to(BULK, 0xd, one_step(4, 400));
    assert_eq!(answer, CallerAnswer::Accepted);
}

// A caller that repeats a call while the first one waits for the log must not hear that its job is
// not run.
#[test]
fn a_job_that_is_proposed_is_not_refused() {
    let mut fleet = overloaded(12);
    let accepted = fleet.harness.accepted();
    fleet.harness.pause_syncs(true);
    fleet.harness.join_and_submit("e9", BULK, 0xa, one_step(4, 500));
    fleet.harness.submit_to(BULK, 0xa, one_step(4, 500));
    fleet.harness.pause_syncs(false);
    assert_eq!(fleet.harness.accepted(), accepted + 2);
}

// A job that could start at once must be admitted however much work waits. An executor that has
// just joined is free until the next pass.
#[test]
fn a_job_is_not_refused_while_capacity_is_free() {
    let mut fleet = overloaded(8);
    let answer = fleet.harness.submit_to(BULK, 0xa, one_step(4, 500));
    assert!(matches!(answer, CallerAnswer::Overloaded { .. }), "{answer:?}");
    let answer = fleet.harness.join_and_submit("e9", BULK, 0xa, one_step(4, 500));
    assert_eq!(answer, CallerAnswer::Accepted);
}
