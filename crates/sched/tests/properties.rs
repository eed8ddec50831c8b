//! Runs random schedules and checks the invariants after every step. A failure prints the seed and
//! the script that led to it.

mod support;

use {
    base::{ResourceVector, SeededRandom, TaskId},
    rstest::rstest,
    sched::{AttemptEnd, SchedDecision, TaskPriority},
    std::{
        collections::BTreeSet,
        panic::{catch_unwind, AssertUnwindSafe},
    },
    support::{describe, ModelDriver},
};

const STEPS: usize = 400;
const TEAMS: [&str; 3] = ["arusha", "moshi", "tanga"];
const PRIORITIES: [&str; 5] = ["batch", "batch", "batch", "critical", "urgent"];

fn pick<T: Copy>(random: &mut SeededRandom, from: &[T]) -> T {
    from[random.below(from.len())]
}

/// Returns the next command of a random schedule.
fn command(random: &mut SeededRandom, driver: &ModelDriver, step: usize) -> String {
    let worker = format!("w{}", random.below(6));
    let reservations: Vec<&TaskId> = driver.reservations.keys().collect();
    let task = reservations
        .get(random.below(reservations.len()))
        .map_or("none/0".to_owned(), |t| t.to_string());
    let slow = 10 * (1 + random.below(3));
    match random.below(12) {
        0..=3 => format!(
            "submit j{step} tasks={} team={} prio={} class=c{} cpu={} mem={}GB per-rack={} run=30s",
            1 + random.below(5),
            pick(random, &TEAMS),
            pick(random, &PRIORITIES),
            random.below(4),
            pick(random, &[1, 2, 3, 4, 5, 6, 17]),
            1 + random.below(20),
            1 + random.below(9),
        ),
        4 | 5 => format!("end {task} {}", pick(random, &["finished", "failed again", "stopped"])),
        6 => format!("end {task} {}", pick(random, &["refused again", "stopped again"])),
        7 => format!(
            "sample {worker} late={}s booking=2000,10ms,30ms {task}={},{}GB,{}\nadvance 1s\n\
             sample {worker} booking=2000,{}ms,{}ms",
            random.below(8),
            1 + random.below(8),
            1 + random.below(30),
            200 + random.below(800),
            slow,
            slow * 3,
        ),
        8 => format!("withdraw j{}/0", random.below(step + 1)),
        9 => {
            let draining = if random.chance(0.2) { "draining" } else { "" };
            format!("worker {worker} cpu=16 mem=60GB rack=r{} {draining}", random.below(3))
        }
        _ => format!("advance {}ms", random.below(4000)),
    }
}

/// Commits most decisions, drops the others, and checks each against the committed state.
fn decide(random: &mut SeededRandom, driver: &mut ModelDriver, transcript: &mut Vec<String>) {
    for decision in driver.model.decide(driver.now) {
        transcript.push(describe(&decision));
        match &decision {
            SchedDecision::Place { task, worker, .. } => {
                assert!(!driver.reservations.contains_key(task), "{task} would run twice");
                assert!(driver.workers[worker].accepting, "{worker} does not accept tasks");
            }
            SchedDecision::Evict { task, attempt, reason } => {
                let reservation = &driver.reservations[task];
                assert_eq!(reservation.attempt, *attempt);
                assert!(!reservation.stopping, "{task} is already stopping");
                let draining = !driver.workers[&reservation.worker].accepting;
                let is_batch = reservation.waiting.priority == TaskPriority::Batch;
                assert!(is_batch || draining, "{task} is not a batch task: {reason}");
            }
            SchedDecision::Throttle { task, .. } => {
                assert_eq!(driver.reservations[task].waiting.priority, TaskPriority::Batch);
            }
            _ => {}
        }
        if random.chance(0.8) {
            driver.commit(&decision);
        }
    }
}

/// Checks capacities and the only strict quota: `arusha` may not borrow and has 20 cores.
fn check(driver: &ModelDriver) {
    assert_eq!(driver.overcommitted(), None);
    let reservations = driver
        .reservations
        .values()
        .filter(|reservation| reservation.waiting.team.as_str() == "arusha");
    let total: ResourceVector = reservations.map(|reservation| reservation.reserved).sum();
    assert!(total.cpu.0 <= 20_000, "arusha holds {total}");
}

fn run(seed: u64, transcript: &mut Vec<String>) {
    let mut random = SeededRandom::new(seed);
    let mut driver = ModelDriver::new(seed);
    driver.run("quota arusha:cpu=20 moshi:cpu=40:borrow tanga:cpu=30:borrow");
    for worker in 0..6 {
        driver.run(&format!("worker w{worker} cpu=16 mem=60GB rack=r{}", worker / 3));
    }
    for step in 0..STEPS {
        let line = command(&mut random, &driver, step);
        transcript.push(line.clone());
        driver.run(&line);
        decide(&mut random, &mut driver, transcript);
        check(&driver);
    }
}

#[rstest]
fn invariants_hold_under_random_schedules(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let seeds = seed * 1000..seed * 1000 + 10;
    for seed in seeds {
        let mut transcript = Vec::new();
        let schedule = AssertUnwindSafe(|| run(seed, &mut transcript));
        let outcome = catch_unwind(schedule);
        let script = transcript.join("\n");
        assert!(outcome.is_ok(), "seed {seed} breaks an invariant after\n{script}");
    }
}

#[test]
fn the_same_schedule_gives_the_same_decisions() {
    let (mut first, mut second) = (Vec::new(), Vec::new());
    run(7, &mut first);
    run(7, &mut second);
    assert_eq!(first, second);
}

/// Guards against schedules that never reach a rule, and so prove nothing about that rule.
#[test]
fn schedules_reach_every_rule() {
    let mut transcript = Vec::new();
    (0..20).for_each(|seed| run(seed, &mut transcript));
    let kinds = [
        "place",
        "evict",
        "throttle",
        "urgent task",
        "reclaims",
        "recovered",
        "park j",
        "quarantine",
    ];
    for kind in kinds {
        let is_reached = transcript.iter().any(|line| line.contains(kind));
        assert!(is_reached, "no schedule reaches {kind:?}");
    }
}

/// Work that fits is placed in the end, even when commits of proposals are lost.
#[test]
fn a_task_whose_commits_are_lost_is_placed_in_the_end() {
    let mut random = SeededRandom::new(11);
    let mut driver = ModelDriver::new(11);
    driver.run("worker w1 cpu=16 mem=60GB\nsubmit j tasks=100 cpu=3 mem=1GB");
    let mut done = BTreeSet::new();
    for _ in 0..1000 {
        driver.run("advance 500ms");
        decide(&mut random, &mut driver, &mut Vec::new());
        let tasks: Vec<TaskId> = driver.reservations.keys().cloned().collect();
        for task in tasks {
            driver.finish(&task, AttemptEnd::Finished, false);
            done.insert(task);
        }
    }
    assert_eq!(done.len(), 100);
}
