//! Runs seeded schedules of commands and faults, and checks the guarantees after every step against
//! what is visible from outside: what executors and the platform ran, and what callers received.
//! `SEEDS=10000` runs more seeds; a failing seed prints its script.

use {
    crate::world::{AgentWorld, Observation},
    base::SeededRandom,
    proto::messages::DispatchOutcome,
    std::{
        collections::{BTreeMap, BTreeSet},
        env,
        panic::{catch_unwind, AssertUnwindSafe},
    },
};

const SEEDS: u64 = 300;
const STEPS: usize = 150;
const SLOTS: usize = 2;
/// The cores that each task takes. Two tasks fill the worker.
const TASK_CORES: usize = 2;

/// The observations so far, and the checks on them.
#[derive(Default)]
struct GuaranteeCheck {
    taken: usize,
    executing: BTreeSet<String>,
    executed: BTreeSet<String>,
    denied: BTreeSet<String>,
    draining: bool,
    revision: u64,
}

impl GuaranteeCheck {
    fn check(&mut self, world: &mut AgentWorld) {
        for seen in world.observed()[self.taken..].iter().cloned() {
            self.take(seen);
        }
        self.taken = world.observed().len();
        self.check_runs(world);
        let revision = world.revision();
        assert!(revision >= self.revision, "revision {} after {}", revision, self.revision);
        self.revision = revision;
    }

    fn take(&mut self, seen: Observation) {
        match seen {
            Observation::Restarted => {
                self.executing.clear();
                self.draining = false;
            }
            Observation::Drained => self.draining = true,
            Observation::ExecutorReceived(dispatch) => {
                assert!(!self.draining, "{dispatch} was run by a draining agent");
                assert!(self.executing.len() < SLOTS, "{dispatch} was run without a slot");
                assert!(self.executed.insert(dispatch.clone()), "{dispatch} ran twice");
                let denied = self.denied.contains(&dispatch);
                assert!(
                    !denied,
                    "{dispatch} ran after its caller received the reply that it did not"
                );
                self.executing.insert(dispatch);
            }
            Observation::ExecutorDone { dispatch, ran } => {
                self.executing.remove(&dispatch);
                if !ran {
                    self.executed.remove(&dispatch);
                }
            }
            Observation::Replied(dispatch, DispatchOutcome::NotRun(reason)) => {
                self.deny(dispatch, reason)
            }
            Observation::Replied(..) => {}
            Observation::Fenced(dispatch) => self.deny(dispatch, "fenced"),
        }
    }

    fn deny(&mut self, dispatch: String, reason: impl std::fmt::Debug) {
        let ran = self.executed.contains(&dispatch);
        assert!(
            !ran,
            "{dispatch} ran and its caller received the reply that it did not: {reason:?}"
        );
        self.denied.insert(dispatch);
    }

    /// Checks that no task runs in two places or after the lease that control counts, that none
    /// runs twice as one attempt, and that the running tasks fit the worker.
    fn check_runs(&self, world: &mut AgentWorld) {
        let (now, granted) = (world.millis(), world.granted_until());
        let runs = world.platform_history();
        let mut ends: BTreeMap<String, u64> = BTreeMap::new();
        let mut attempts = BTreeSet::new();
        for run in &runs {
            let end = run.ended.map_or(now, |ended| ended.0);
            let id = format!("{}@{} in incarnation {}", run.id.task, run.id.attempt, run.life.0);
            assert!(attempts.insert(id.clone()), "{id} was started twice");
            let task = run.id.task.to_string();
            let before = ends.insert(task, end).unwrap_or(0);
            assert!(run.started.0 >= before, "{id} ran while another attempt did");
            let outlived = run.ended.is_none() && now > granted;
            assert!(!outlived, "{id} runs at {now}, and the lease ended at {granted}");
        }
        let running = runs.iter().filter(|run| run.ended.is_none()).count();
        assert!(running * TASK_CORES <= AgentWorld::CORES, "{running} tasks run");
    }
}

#[test]
fn schedules_keep_the_promises() {
    let seeds = env::var("SEEDS").map_or(SEEDS, |text| text.parse().expect("a number"));
    let mut executed = 0;
    let mut runs = 0;
    for seed in 0..seeds {
        let mut script = Vec::new();
        let played = catch_unwind(AssertUnwindSafe(|| play(seed, &mut script)));
        match played {
            Ok((ran, started)) => {
                executed += ran;
                runs += started;
            }
            Err(_) => panic!("seed {seed} broke a guarantee:\n{}", script.join("\n")),
        }
    }
    println!("{seeds} seeds, {STEPS} steps each: {executed} requests and {runs} tasks were run");
    assert!(executed > 0 && runs > 0, "the schedules exercise nothing");
}

fn play(seed: u64, script: &mut Vec<String>) -> (usize, usize) {
    let mut random = SeededRandom::new(seed);
    let mut world = AgentWorld::new();
    let mut check = GuaranteeCheck::default();
    let mut attempts: BTreeMap<usize, u32> = BTreeMap::new();
    for step in 0..STEPS {
        let line = next_command(&mut random, &mut world, step, &mut attempts);
        script.push(line.clone());
        world.command(&line);
        check.check(&mut world);
    }
    (check.executed.len(), world.platform_history().len())
}

fn next_command(
    random: &mut SeededRandom,
    world: &mut AgentWorld,
    step: usize,
    attempts: &mut BTreeMap<usize, u32>,
) -> String {
    let task = random.below(6);
    let attempt = attempts.get(&task).copied().unwrap_or(0);
    match random.below(40) {
        0..=7 => format!("advance {}ms", 1 + random.below(1500)),
        8..=10 => "announce e1 slots=2".into(),
        11 => format!("announce e1 slots=2 life={}", 1 + random.below(4)),
        12..=14 => format!("dispatch d{step} key=k{}", random.below(8)),
        15..=16 => format!("dispatch d{step} remaining={}ms", random.below(2000)),
        17..=18 => world.known_dispatch(random).unwrap_or("leave e1".into()),
        19..=20 => match world.known_dispatch(random) {
            Some(line) => line.replace("dispatch", "fence"),
            None => format!("fence f{step}"),
        },
        21..=24 => match world.executing(random) {
            Some(name) if random.chance(0.2) => format!("executor {name} refuses"),
            Some(name) if random.chance(0.2) => format!("executor {name} dies"),
            Some(name) => format!("executor {name} answers"),
            None => "advance 100ms".into(),
        },
        25..=28 => {
            let next = if random.chance(0.8) { attempt + 1 } else { attempt.max(1) };
            if world.leader_saw_end(&format!("t{task}/0@{next}")) {
                return "advance 200ms".into();
            }
            attempts.insert(task, next);
            let run = ["endless", "run=900ms", "run=3s+fail"][random.below(3)];
            format!("leader runs t{task}/0@{next} cpu={TASK_CORES} payload={run}")
        }
        29 if attempt > 0 => format!("leader stops t{task}/0@{attempt}"),
        30 if attempt > 0 => format!("leader evicts t{task}/0@{attempt}"),
        31 if attempt > 0 => format!("leader gives-up t{task}/0@{attempt}"),
        32 => format!("leader term {}", 1 + random.below(4)),
        33 => ["leader silent", "leader holds", "leader is-stale"][random.below(3)].into(),
        34 | 35 => "leader renews".into(),
        36 => {
            let faults = ["silent", "loses-answers", "fails-tasks", "refuses-tasks", "flaky"];
            format!("platform {}", faults[random.below(faults.len())])
        }
        37 => ["platform works", "platform flaky"][random.below(2)].into(),
        38 => ["restart", "platform-restarts", "drain", "restart"][random.below(4)].into(),
        _ => format!("declare {}", random.below(step + 2)),
    }
}
