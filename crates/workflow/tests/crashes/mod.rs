//! Tests of crashes of executors: what counts as one, who is blamed, and when a task is given up.

use {
    crate::support::{job, ControlHarness, StepBuilder},
    base::SeededRandom,
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    workflow::{
        job::{JobKey, RunNumber, TaskKey, WorkerIncarnation},
        message::LinkMessage,
        plan::{CrashLedger, CrashSuspect, SuspectTable},
        state::{CommandBatch, EndKind, FlowCommand, FlowState, Submission},
    },
};

/// How an executor ends, or seems to.
#[derive(Debug, Clone, Copy)]
enum WorkerEnd {
    /// The executor crashes, and its agent reports the next one at its address.
    Crash,
    /// The same, and its agent first reports the end of the executor.
    ReportedCrash,
    /// The same, and the agent also reports that the run had begun.
    CrashUnderRun,
    /// The same, and the agent repeats that.
    CrashReportedAgain,
    /// The executor crashes under its own id.
    CrashUnderSameId,
    /// The executor crashes while its agent is down as well.
    CrashWithAgent,
    /// The executor crashes, and its agent restarts after it has reported that the executor does not
    /// answer.
    CrashBeforeAgent,
    /// The same while the executor drains.
    DrainBeforeAgent,
    /// The executor does not answer, its agent restarts, and then it answers again.
    HangBeforeAgent,
    /// The executor drains, and another one follows.
    Drain,
    /// The stream to the agent ends, and the lease with it.
    LeaseExpiry,
    /// The executor does not answer until its lease has expired, and then answers again.
    Hang,
}

/// Plays an end of the executor `e1 at A` of session 1, and connects what follows it.
fn end_worker(harness: &mut ControlHarness, end: WorkerEnd) {
    let ended = LinkMessage::WorkerEnded {
        worker: WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 },
    };
    match end {
        WorkerEnd::Crash => harness.connect_worker(1, "e2 at A", 200),
        WorkerEnd::ReportedCrash => {
            harness.send(1, ended);
            harness.advance(100);
            harness.connect_worker(1, "e2 at A", 200);
        }
        WorkerEnd::CrashUnderRun => {
            let (worker, task) = ("e1 at A@100", "000000000000000a.0.0.0");
            harness.report_end(1, worker, 0, task, 1, EndKind::Expired);
            harness.send(1, ended);
            harness.connect_worker(1, "e2 at A", 200);
        }
        WorkerEnd::CrashReportedAgain => {
            let (worker, task) = ("e1 at A@100", "000000000000000a.0.0.0");
            for _ in 0..2 {
                harness.report_end(1, worker, 0, task, 1, EndKind::Expired);
                harness.advance(50);
            }
            harness.connect_worker(1, "e2 at A", 200);
        }
        WorkerEnd::CrashUnderSameId => harness.connect_worker(1, "e1 at A", 200),
        WorkerEnd::CrashWithAgent => {
            harness.close(1);
            harness.connect_worker(2, "e2 at A", 200);
        }
        WorkerEnd::CrashBeforeAgent => {
            harness.report_unresponsive(1, "e1 at A", 100);
            harness.close(1);
            harness.connect_worker(2, "e2 at A", 200);
        }
        WorkerEnd::DrainBeforeAgent => {
            harness.report_draining(1, "e1 at A", 100);
            harness.close(1);
            harness.connect_worker(2, "e2 at A", 200);
        }
        WorkerEnd::HangBeforeAgent => {
            harness.report_unresponsive(1, "e1 at A", 100);
            harness.close(1);
            harness.connect_worker(2, "e1 at A", 100);
            harness.close(2);
            harness.connect_worker(3, "e2 at A", 200);
        }
        WorkerEnd::Drain => {
            harness.report_draining(1, "e1 at A", 100);
            harness.connect_worker(1, "e2 at A", 200);
        }
        WorkerEnd::LeaseExpiry => {
            harness.close(1);
            harness.advance(6000);
            harness.connect_worker(2, "e2 at A", 200);
        }
        WorkerEnd::Hang => {
            harness.send(1, ended);
            harness.connect_worker(1, "e1 at A", 100);
        }
    }
    harness.advance(2000);
}

#[rstest]
#[case::crash(WorkerEnd::Crash, 1_002)]
#[case::reported_crash(WorkerEnd::ReportedCrash, 1_002)]
#[case::crash_under_a_run_that_had_begun(WorkerEnd::CrashUnderRun, 1_000_002)]
#[case::crash_under_a_run_that_is_reported_again(WorkerEnd::CrashReportedAgain, 1_000_002)]
#[case::crash_under_the_same_id(WorkerEnd::CrashUnderSameId, 1_002)]
#[case::loss_of_the_machine(WorkerEnd::CrashWithAgent, 2)]
#[case::crash_before_its_agent_restarts(WorkerEnd::CrashBeforeAgent, 1_002)]
#[case::drain_before_its_agent_restarts(WorkerEnd::DrainBeforeAgent, 2)]
#[case::hang_before_its_agent_restarts(WorkerEnd::HangBeforeAgent, 2)]
#[case::drain(WorkerEnd::Drain, 2)]
#[case::end_of_the_lease(WorkerEnd::LeaseExpiry, 2)]
#[case::hang(WorkerEnd::Hang, 2)]
fn only_a_crash_that_its_agent_saw_is_counted(#[case] end: WorkerEnd, #[case] next_run: u32) {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    end_worker(&mut harness, end);
    let next = format!("000000000000000a.0.0.0 run {next_run} on");
    let mut starts = harness.starts().to_vec();
    // The order for a run is repeated to an agent that has restarted.
    starts.dedup();
    assert!(starts.len() == 2 && starts[1].starts_with(&next), "{end:?}: {starts:?}");
}

/// Executors at addresses A, B and so on, each with an agent, that crash under some tasks.
struct CrashingFleet {
    harness: ControlHarness,
    random: SeededRandom,
    /// The incarnation of the executor at each address; its id tells both.
    born: Vec<u64>,
    /// Starts that the executors have carried out.
    seen: usize,
    running: Vec<(usize, String, u32)>,
    ends: u64,
    crashes: usize,
    /// The most executors that were down at the same time.
    most_down: usize,
    /// The rounds until each crashed executor is back.
    down: Vec<u32>,
    /// The tasks of the starts that executors have carried out.
    carried_out: Vec<String>,
    /// The number of addresses, from the first one, whose executors crash without a cause.
    flapping: usize,
}

/// Time between two rounds.
const ROUND_MS: u64 = 300;
/// Rounds until a crashed executor is back.
const ROUNDS_DOWN: u32 = 10;
/// Rounds that a flapping executor stays up, on average.
const ROUNDS_UP: usize = 5;
/// Rounds until all jobs have ended beside flapping executors.
const ROUNDS_BESIDE_FLAPPING: u32 = 150;
/// How long a lasting task may be without a run, where there is capacity for it.
const LONGEST_LASTING_PAUSE_MS: u64 = 9000;
/// Rounds that a run takes.
const ROUNDS_OF_WORK: u64 = 4;

impl CrashingFleet {
    fn new(executors: usize, seed: u64) -> Self {
        let mut fleet = Self {
            harness: ControlHarness::start(),
            random: SeededRandom::new(seed),
            born: vec![100; executors],
            seen: 0,
            running: Vec::new(),
            ends: 0,
            crashes: 0,
            most_down: 0,
            down: vec![0; executors],
            carried_out: Vec::new(),
            flapping: 0,
        };
        (0..executors).for_each(|at| fleet.connect(at));
        fleet
    }

    fn name(&self, at: usize) -> String {
        format!("e{}-{} at {at}", at, self.born[at])
    }

    fn connect(&mut self, at: usize) {
        let (name, born) = (self.name(at), self.born[at]);
        self.harness.connect_worker(at as u64 + 1, &name, born);
    }

    fn incarnation(&self, at: usize) -> String {
        format!("{}@{}", self.name(at), self.born[at])
    }

    /// Carries out the new starts. Executors crash under tasks that `deadly` selects.
    fn carry_out_starts(&mut self, deadly: &dyn Fn(&str, usize) -> bool) {
        let starts = self.harness.starts()[self.seen..].to_vec();
        self.seen += starts.len();
        for start in starts {
            let (task, rest) = start.split_once(" run ").unwrap();
            let (run, worker) = rest.split_once(" on ").unwrap();
            let found = (0..self.born.len()).find(|at| self.incarnation(*at) == worker);
            let Some(at) = found.filter(|at| self.down[*at] == 0) else { continue };
            self.running.push((at, task.to_owned(), run.parse().unwrap()));
            self.carried_out.push(task.to_owned());
            if deadly(task, at) {
                self.crash(at);
            }
        }
    }

    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        self.down[at] = ROUNDS_DOWN;
        let down = self.down.iter().filter(|rounds| **rounds > 0).count();
        self.most_down = self.most_down.max(down);
    }

    /// Starts the next executor at an address. The agent first reports the runs that had begun on
    /// the one before.
    fn restart(&mut self, at: usize) {
        let (session, worker) = (at as u64 + 1, self.incarnation(at));
        let (ended, running) = self.running.drain(..).partition(|(on, ..)| *on == at);
        self.running = running;
        let ended: Vec<(usize, String, u32)> = ended;
        for (_, task, run) in ended {
            self.harness.report_end(session, &worker, 0, &task, run, EndKind::Expired);
        }
        self.born[at] += 1;
        self.connect(at);
    }

    fn play_round(&mut self, deadly: &dyn Fn(&str, usize) -> bool) {
        self.harness.advance(ROUND_MS);
        self.carry_out_starts(deadly);
        for at in 0..self.born.len() {
            let flaps = at < self.flapping && self.random.below(ROUNDS_UP) == 0;
            if flaps && self.down[at] == 0 {
                self.crash(at);
            }
            if self.down[at] == 0 {
                self.report(at);
            } else {
                self.harness.send(at as u64 + 1, LinkMessage::Ping { sequence: 1 });
                self.down[at] -= 1;
                if self.down[at] == 0 {
                    self.restart(at);
                }
            }
        }
    }

    /// Lists an executor's runs, and reports the ends of some.
    fn report(&mut self, at: usize) {
        let (session, worker) = (at as u64 + 1, self.incarnation(at));
        self.harness.send(session, LinkMessage::Ping { sequence: 1 });
        let here = self.running.iter().filter(|(on, ..)| *on == at);
        let listed: Vec<(String, u32)> = here.map(|(_, task, run)| (task.clone(), *run)).collect();
        let runs: Vec<(&str, u32)> = listed.iter().map(|(task, run)| (&**task, *run)).collect();
        self.harness.report_runs(session, &worker, &runs);
        for (task, run) in listed {
            if self.random.below(ROUNDS_OF_WORK as usize) == 0 {
                self.ends += 1;
                self.running.retain(|(_, other, _)| *other != task);
                self.harness.report_end(session, &worker, self.ends, &task, run, EndKind::Done);
            }
        }
    }

    fn starts_of(&self, task: &str) -> usize {
        self.harness.starts().iter().filter(|start| start.starts_with(task)).count()
    }
}

/// Plays jobs of which the given ones have a task that crashes each executor which starts it.
/// Returns the fleet after all jobs have ended.
fn check_deadly_jobs(seed: u64, deadly_jobs: &[u64]) -> CrashingFleet {
    check_deadly_jobs_beside(seed, deadly_jobs, 0)
}

fn check_deadly_jobs_beside(seed: u64, deadly_jobs: &[u64], flapping: usize) -> CrashingFleet {
    let deadly = |task: &str, _: usize| {
        let of_job = |key: &u64| task == format!("{key:016x}.0.0.0");
        deadly_jobs.iter().any(of_job)
    };
    let mut fleet = CrashingFleet::new(8, seed);
    fleet.flapping = flapping;
    for key in 1..=24 {
        fleet.harness.submit(key, job(&[StepBuilder::tasks(4), StepBuilder::tasks(2).after(0)]));
        fleet.play_round(&deadly);
    }
    // An outcome is not kept for long while the log's clock advances.
    let rounds = if flapping > 0 { ROUNDS_BESIDE_FLAPPING } else { 400 };
    for _ in 0..rounds {
        fleet.play_round(&deadly);
    }
    for key in 1..=24 {
        let expected =
            if deadly_jobs.contains(&key) { "Ended(Failed)" } else { "Ended(Succeeded)" };
        let phase = fleet.harness.phase(key);
        assert_eq!(phase, expected, "seed {seed}, job {key}: {:?}", fleet.harness.starts());
        let task = format!("{key:016x}.0.0.0");
        // Orders that reach an executor which is down start nothing.
        let carried_out = fleet.carried_out.iter().filter(|other| **other == task).count();
        let starts = if flapping > 0 { carried_out } else { fleet.starts_of(&task) };
        assert!(starts <= 5, "seed {seed}, job {key}: {starts} starts");
    }
    assert_eq!(fleet.harness.pending(), 0, "seed {seed}: all jobs have ended");
    fleet
}

// BUDGET of issue 26: the task was started every 3.3 s to the end of the day.
#[test]
fn a_task_that_crashes_its_executors_is_not_started_without_end() {
    for seed in 0..10 {
        let fleet = check_deadly_jobs(seed, &[7, 12, 13]);
        assert!(fleet.crashes <= 3 * 5, "seed {seed}: {} crashes", fleet.crashes);
    }
}

#[test]
fn neighbours_of_a_deadly_task_are_not_given_up_for_it() {
    for seed in 20..30 {
        check_deadly_jobs(seed, &[3]);
    }
}

#[test]
fn one_suspected_job_takes_down_one_executor_at_a_time() {
    for seed in 40..50 {
        let fleet = check_deadly_jobs(seed, &[1]);
        assert_eq!(fleet.most_down, 1, "seed {seed}");
    }
}

#[test]
fn flapping_executors_neither_fail_innocent_jobs_nor_hide_a_deadly_one() {
    for seed in (80..100).chain([281]) {
        check_deadly_jobs_beside(seed, &[5], 3);
    }
}

#[test]
fn an_address_where_every_executor_crashes_fails_no_job() {
    for seed in 60..65 {
        let mut fleet = CrashingFleet::new(6, seed);
        for key in 1..=12 {
            fleet.harness.submit(key, job(&[StepBuilder::tasks(4)]));
            fleet.play_round(&|_, at| at == 0);
        }
        for _ in 0..400 {
            fleet.play_round(&|_, at| at == 0);
        }
        for key in 1..=12 {
            assert_eq!(fleet.harness.phase(key), "Ended(Succeeded)", "seed {seed}, job {key}");
        }
    }
}

/// Executors of one service that crash and come back, each with an agent, for jobs of one task.
struct FlappingFleet {
    harness: ControlHarness,
    born: Vec<u64>,
}

impl FlappingFleet {
    fn new(executors: usize) -> Self {
        let mut fleet = Self { harness: ControlHarness::start(), born: vec![100; executors] };
        (0..executors).for_each(|at| fleet.connect(at));
        fleet
    }

    fn worker(&self, at: usize) -> (String, u64) {
        (format!("e{} at {at}", self.born[at]), self.born[at])
    }

    fn connect(&mut self, at: usize) {
        let (name, born) = self.worker(at);
        self.harness.connect_worker(at as u64 + 1, &name, born);
    }

    /// Crashes an executor and starts the next one at its address. The agent reports the starts that
    /// the executor had confirmed.
    fn crash(&mut self, at: usize, begun: &[(String, u32)]) {
        let (name, born) = self.worker(at);
        for (task, run) in begun {
            let worker = format!("{name}@{born}");
            self.harness.report_end(at as u64 + 1, &worker, 0, task, *run, EndKind::Expired);
        }
        self.born[at] += 1;
        self.connect(at);
    }

    /// Returns the address, the task and the run of the last start.
    fn last_start(&self) -> (usize, String, u32) {
        self.last_start_of("")
    }

    /// Returns the same of the last start of a job.
    fn last_start_of(&self, job: &str) -> (usize, String, u32) {
        let start = self.harness.starts().iter().rfind(|start| start.starts_with(job));
        let start = start.expect("a start");
        let (task, rest) = start.split_once(" run ").unwrap();
        let (run, worker) = rest.split_once(" on ").unwrap();
        let at = (0..self.born.len()).find(|at| {
            let (name, born) = self.worker(*at);
            worker == format!("{name}@{born}")
        });
        (at.expect("a running executor"), task.to_owned(), run.parse().unwrap())
    }

    /// Crashes the executor on which a task was started last, with that start just begun.
    fn crash_under_last_start(&mut self) -> usize {
        let (at, task, run) = self.last_start();
        self.crash(at, &[(task, run)]);
        self.wait(400);
        at
    }

    /// Lists the last start at work until it has settled.
    fn settle_last_start(&mut self) -> (usize, String, u32) {
        let (at, task, run) = self.last_start();
        let (name, born) = self.worker(at);
        for _ in 0..20 {
            self.harness.report_runs(at as u64 + 1, &format!("{name}@{born}"), &[(&task, run)]);
            self.wait(200);
        }
        (at, task, run)
    }

    fn wait(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / 200 {
            self.harness.advance(200);
            let sessions = 1..=self.born.len() as u64;
            sessions.for_each(|at| self.harness.send(at, LinkMessage::Ping { sequence: 1 }));
        }
    }
}

fn task_of(job: &str) -> TaskKey {
    format!("{job:0>16}.0.0.0").parse().unwrap()
}

/// Notes crashes, each given by its address and the jobs whose tasks had just begun.
fn note_crashes(ledger: &mut CrashLedger, crashes: &[&str], now: Duration) {
    for crash in crashes {
        let mut words = crash.split(' ');
        let address = Arc::from(words.next().unwrap());
        let suspects = words.map(|job| CrashSuspect { task: task_of(job), certain: true });
        ledger.note_crash(&address, suspects.collect(), now);
    }
}

/// Checks whether crashes prove that the task of job a crashes its executors. Each is given by its
/// address and the jobs whose tasks had just begun.
#[rstest]
#[case::two_alone(&["A a", "B a"], false)]
#[case::three_alone(&["A a", "B a", "C a"], true)]
#[case::first_beside_another(&["A a b", "B a", "C a"], true)]
// Three and four crashes like these were counted, and the deadly task started again.
#[case::first_two_beside_others(&["A a b", "B a b", "C a"], true)]
#[case::last_two_beside_others(&["A a", "B a b", "C a b"], true)]
#[case::never_alone(&["A a b", "B a b", "C a b", "D a b"], false)]
#[case::all_at_one_address(&["A a", "A a", "A a", "A a", "A a"], false)]
#[case::at_addresses_that_crashed_before(&["A", "B", "C", "D", "A a", "B a", "C a", "D a"], false)]
#[case::often_at_such_addresses(
    &["A", "B", "C", "D", "E", "A a", "B a", "C a", "D a", "E a"], true)]
#[case::at_flapping_addresses(&["A", "A", "B", "B", "A a", "B a", "A a", "B a", "A a", "B a"], false)]
#[case::often_at_flapping_addresses_and_twice_elsewhere(
    &["A", "A", "A a", "A a", "A a", "B a", "C a"], true)]
#[case::at_addresses_that_crash_later(&["A a", "B a", "A", "A", "B", "B", "C a"], false)]
fn crashes_prove_a_task_deadly_only_if_their_addresses_do_not_explain_them(
    #[case] crashes: &[&str],
    #[case] proven: bool,
) {
    let mut ledger = SuspectTable::default().ledger;
    let now = Duration::from_secs(10);
    note_crashes(&mut ledger, crashes, now);
    assert_eq!(ledger.is_proven(&task_of("a"), now), proven);
    ledger.clear(task_of("a"));
    assert!(!ledger.is_proven(&task_of("a"), now), "a task that settles is cleared");
}

// Two deadly tasks crashed one executor, and that counted for only one of them.
#[rstest]
#[case::of_one_crash_and_alone_twice(&["A a b"], &["B a", "C a"], true)]
#[case::of_many_crashes(&["A a b", "B a b", "C a b", "D a b"], &["E a"], false)]
fn a_task_is_not_blamed_often_for_what_one_that_is_given_up_has_done(
    #[case] shared: &[&str],
    #[case] alone: &[&str],
    #[case] proven: bool,
) {
    let mut ledger = SuspectTable::default().ledger;
    let now = Duration::from_secs(10);
    note_crashes(&mut ledger, shared, now);
    ledger.convict(&task_of("b"));
    note_crashes(&mut ledger, alone, now);
    assert_eq!(ledger.is_proven(&task_of("a"), now), proven);
}

// Issue 34: a job was shown as failed, and none of its tasks had failed.
#[test]
fn a_job_does_not_fail_because_two_flapping_executors_crash_around_it() {
    let mut fleet = FlappingFleet::new(4);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let first = fleet.crash_under_last_start();
    let second = fleet.crash_under_last_start();
    assert_ne!(first, second);
    assert_eq!(fleet.harness.phase(0xa), "Running", "{:?}", fleet.harness.starts());
}

// Review, case 5: the only two executors that could run a job went down and up by turns, and it failed.
#[rstest]
#[case::that_crash_without_it_too(true)]
#[case::that_hold_without_it(false)]
fn a_job_is_doubted_before_it_fails_by_crashes_at_two_addresses(#[case] flapping: bool) {
    let mut fleet = FlappingFleet::new(2);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    for _ in 0..3 {
        fleet.crash_under_last_start();
    }
    let starts = fleet.harness.starts().len();
    assert_eq!(fleet.harness.phase(0xa), "Running", "{:?}", fleet.harness.starts());
    if flapping {
        (0..2).for_each(|at| fleet.crash(at, &[]));
    }
    fleet.wait(1200);
    assert_eq!(fleet.harness.starts().len(), starts, "nothing starts while it is doubted");
    fleet.wait(1200);
    let (phase, more) = if flapping { ("Running", 1) } else { ("Ended(Failed)", 0) };
    assert_eq!(fleet.harness.phase(0xa), phase, "{:?}", fleet.harness.starts());
    assert_eq!(fleet.harness.starts().len(), starts + more);
}

#[test]
fn a_trial_does_not_begin_where_an_executor_has_crashed_with_nothing_on_it() {
    let mut fleet = FlappingFleet::new(5);
    (0..3).for_each(|at| fleet.crash(at, &[]));
    for key in 1..=2 {
        fleet.harness.submit(key, job(&[StepBuilder::tasks(1).cores(9).estimate(60_000)]));
        let (at, ..) = fleet.settle_last_start();
        assert!(at >= 3, "the sound executors are busy: {:?}", fleet.harness.starts());
    }
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let first = fleet.crash_under_last_start();
    let trial = fleet.harness.starts().iter().rfind(|start| start.starts_with("000000000000000a"));
    let sound = if first == 3 { "on e100 at 4@100" } else { "on e100 at 3@100" };
    assert!(trial.unwrap().ends_with(sound), "{:?}", fleet.harness.starts());
}

#[test]
fn crashes_of_executors_that_crash_without_a_job_do_not_fail_it() {
    let mut fleet = FlappingFleet::new(3);
    (0..3).for_each(|at| fleet.crash(at, &[]));
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    for crashes in 1..=4 {
        fleet.crash_under_last_start();
        let phase = fleet.harness.phase(0xa);
        assert_eq!(phase, "Running", "{crashes} crashes: {:?}", fleet.harness.starts());
    }
    let last = fleet.harness.starts().last().unwrap();
    assert!(last.contains(" run 4005 "), "each crash counts as unclear: {last}");
}

#[test]
fn a_job_whose_task_settled_between_the_crashes_does_not_fail() {
    let mut fleet = FlappingFleet::new(6);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1).estimate(60_000)]));
    for crashes in 1..=4 {
        fleet.crash_under_last_start();
        let phase = fleet.harness.phase(0xa);
        assert_eq!(phase, "Running", "{crashes} crashes: {:?}", fleet.harness.starts());
        let (at, task, run) = fleet.settle_last_start();
        let (name, born) = fleet.worker(at);
        let worker = format!("{name}@{born}");
        fleet.harness.report_end(at as u64 + 1, &worker, crashes, &task, run, EndKind::Stopped);
    }
}

#[test]
fn nothing_starts_beside_a_job_on_trial() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.connect_worker(1, "e2 at A", 200);
    assert_eq!(harness.starts()[1], "000000000000000a.0.0.0 run 1002 on e2 at A@200");
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.keep_alive(1, 400);
    assert_eq!(harness.starts().len(), 2, "{:?}", harness.starts());
    harness.keep_alive(1, 400);
    harness.report_runs(1, "e2 at A@200", &[("000000000000000a.0.0.0", 1_002)]);
    harness.keep_alive(1, 200);
    assert_eq!(harness.starts()[2], "000000000000000b.0.0.0 run 1 on e2 at A@200");
}

// Review 2, case 9: after some crashes, a lasting task waited for up to a minute on an idle fleet.
#[test]
fn a_lasting_task_is_not_given_up_and_starts_less_often_but_in_time() {
    let mut fleet = CrashingFleet::new(3, 1);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1).lasting()]));
    let mut started = Vec::new();
    for round in 0..400 {
        fleet.play_round(&|_, _| true);
        started.resize(fleet.starts_of("000000000000000a.0.0.0"), round * ROUND_MS);
    }
    assert_eq!(fleet.harness.phase(0xa), "Running");
    let pauses: Vec<u64> = started.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.len() > 10, "{pauses:?}");
    assert!(pauses.iter().all(|pause| *pause < LONGEST_LASTING_PAUSE_MS), "{pauses:?}");
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[5..].iter().all(|pause| *pause >= 2 * pauses[0]), "{pauses:?}");
}

// The count is part of the run number, which every build that reads the log keeps.
#[test]
fn a_new_leader_suspects_the_tasks_that_the_log_counts_crashes_for() {
    let task: TaskKey = "000000000000000a.0.0.0".parse().unwrap();
    let worker = WorkerIncarnation { executor: Arc::from("e1"), started_ms: 100 };
    let run = RunNumber(1).after_crash();
    let checkpoint = String::new();
    let end = EndKind::Expired;
    let submission = Submission {
        job: JobKey(0xa),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        attempt_limit: 2,
        spec: Arc::new(job(&[StepBuilder::tasks(2)])),
    };
    let commands = vec![
        FlowCommand::Submit(submission),
        FlowCommand::Place { task, run, worker: worker.clone() },
        FlowCommand::End { task, run, worker, end, checkpoint },
    ];
    let mut state = FlowState::default();
    state.apply(&CommandBatch { elapsed_ms: 0, commands });
    let restored = FlowState::from_snapshot(&state.to_snapshot()).unwrap();
    let table = SuspectTable::new(&restored, Duration::ZERO);
    assert!(table.is_suspect(&task));
    assert!(!table.is_suspect(&TaskKey { index: 1, ..task }));
    assert_eq!(restored.task(&task).unwrap().run.next().crashes(), 1);
}

#[test]
fn a_crash_that_is_confirmed_late_counts_when_the_next_run_ends() {
    let mut harness = ControlHarness::start();
    let worker = |name: &str| WorkerIncarnation { executor: Arc::from(name), started_ms: 100 };
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.connect_worker(2, "e1 at B", 100);
    harness.report_end(1, "e1 at A@100", 0, "000000000000000a.0.0.0", 1, EndKind::Expired);
    harness.send(1, LinkMessage::WorkerEnded { worker: worker("e1 at A") });
    harness.keep_alive(2, 3000);
    assert_eq!(harness.starts()[1], "000000000000000a.0.0.0 run 2 on e1 at B@100");
    harness.connect_worker(1, "e2 at A", 200);
    harness.report_end(2, "e1 at B@100", 0, "000000000000000a.0.0.0", 2, EndKind::Expired);
    harness.send(2, LinkMessage::WorkerEnded { worker: worker("e1 at B") });
    harness.connect_worker(3, "e1 at C", 100);
    harness.connect_worker(2, "e2 at B", 200);
    harness.advance(100);
    let started = "000000000000000a.0.0.0 run 2000003 on e1 at C@100".to_owned();
    assert_eq!(harness.starts().last(), Some(&started), "both crashes count");
    harness.report_end(3, "e1 at C@100", 0, "000000000000000a.0.0.0", 2_000_003, EndKind::Expired);
    harness.connect_worker(3, "e2 at C", 200);
    assert_eq!(harness.phase(0xa), "Ended(Failed)", "{:?}", harness.starts());
}

// The verdict came while the next run worked, and the job failed when that was stopped.
#[test]
fn a_job_whose_task_has_settled_does_not_fail_for_a_crash_confirmed_late() {
    let mut fleet = FlappingFleet::new(5);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1).estimate(60_000)]));
    (0..2).for_each(|_| _ = fleet.crash_under_last_start());
    let (at, task, run) = fleet.last_start();
    let (name, born) = fleet.worker(at);
    let worker = WorkerIncarnation { executor: Arc::from(&*name), started_ms: born };
    let session = at as u64 + 1;
    fleet.harness.report_end(session, &worker.to_string(), 0, &task, run, EndKind::Expired);
    fleet.harness.send(session, LinkMessage::WorkerEnded { worker });
    fleet.wait(3000);
    assert_ne!(fleet.last_start().2, run, "the task runs again");
    fleet.crash(at, &[]);
    let (at, task, run) = fleet.settle_last_start();
    let (name, born) = fleet.worker(at);
    let worker = format!("{name}@{born}");
    fleet.harness.report_end(at as u64 + 1, &worker, 1, &task, run, EndKind::Stopped);
    assert_eq!(fleet.harness.phase(0xa), "Running", "{:?}", fleet.harness.starts());
}

// BUDGET of issue 20: the leader was killed before the next executor had answered, and the crash was
// never counted.
#[rstest]
#[case::reported_crash(None, ("e2 at A", 200), 1_002)]
#[case::crash_under_a_run_that_had_begun(Some(EndKind::Expired), ("e2 at A", 200), 1_000_002)]
#[case::hang(Some(EndKind::Expired), ("e1 at A", 100), 2)]
fn a_verdict_that_was_pending_survives_the_leader(
    #[case] end: Option<EndKind>,
    #[case] (next, born): (&str, u64),
    #[case] run: u32,
) {
    let mut harness = ControlHarness::start();
    let task = "000000000000000a.0.0.0";
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    if let Some(end) = end {
        harness.report_end(1, "e1 at A@100", 0, task, 1, end);
    }
    let worker = WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 };
    harness.send(1, LinkMessage::WorkerEnded { worker });
    harness.restart_leader();
    harness.connect_worker(1, next, born);
    harness.advance(100);
    let started = format!("{task} run {run} on {next}@{born}");
    assert_eq!(harness.starts()[1..], [started]);
    harness.restart_leader();
    harness.connect_worker(1, next, born);
    harness.report_end(1, &format!("{next}@{born}"), 1, task, run, EndKind::Stopped);
    harness.keep_alive(1, 3000);
    let last = format!("{task} run {} on {next}@{born}", run + 1);
    assert_eq!(harness.starts().last(), Some(&last), "a settled verdict counts once");
}

#[test]
fn a_pending_verdict_survives_the_end_of_the_next_executor() {
    let mut harness = ControlHarness::start();
    let ended = |name: &str, started_ms| LinkMessage::WorkerEnded {
        worker: WorkerIncarnation { executor: Arc::from(name), started_ms },
    };
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.send(1, ended("e1 at A", 100));
    harness.announce_incarnation(1, "e2 at A", 200);
    harness.send(1, ended("e2 at A", 200));
    harness.connect_worker(1, "e3 at A", 300);
    harness.advance(100);
    assert_eq!(harness.starts()[1..], ["000000000000000a.0.0.0 run 1002 on e3 at A@300"]);
}

// Only the agent knows which runs had just begun when the executor went, before this leader.
#[test]
fn a_leader_counts_a_crash_from_before_its_time_for_the_runs_that_the_agent_names() {
    let mut harness = ControlHarness::start();
    let task = "000000000000000a.0.0.0";
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.restart_leader();
    harness.announce_incarnation(1, "e1 at A", 100);
    harness.report_end(1, "e1 at A@100", 0, task, 1, EndKind::Expired);
    let worker = WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 };
    harness.send(1, LinkMessage::WorkerEnded { worker });
    harness.connect_worker(1, "e2 at A", 200);
    harness.connect_worker(2, "e1 at B", 100);
    harness.keep_alive(1, 400);
    let mut starts = harness.starts()[4..].to_vec();
    starts.sort();
    assert!(starts[0].starts_with(&format!("{task} run 1000002 on ")), "{starts:?}");
    assert!(starts[1].starts_with("000000000000000b.0.0.0 run 2 on "), "{starts:?}");
}

// A task that has run again since must not be held or tried for an executor that never returns.
#[test]
fn an_old_verdict_suspects_no_task_that_was_placed_since() {
    let mut harness = ControlHarness::start();
    let task = "000000000000000a.0.0.0";
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let worker = WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 };
    harness.send(1, LinkMessage::WorkerEnded { worker });
    harness.connect_worker(2, "e1 at B", 100);
    harness.keep_alive(2, 3000);
    harness.report_runs(2, "e1 at B@100", &[(task, 2)]);
    harness.report_draining(2, "e1 at B", 100);
    harness.report_end(2, "e1 at B@100", 1, task, 2, EndKind::Stopped);
    harness.restart_leader();
    let before = harness.starts().len();
    harness.connect_worker(2, "e1 at B", 100);
    harness.advance(100);
    assert!(harness.starts().len() > before, "{:?}", harness.starts());
}

// An earlier build leads on with the records, and executors at their addresses are not disturbed.
#[test]
fn the_record_of_a_verdict_is_an_address_that_no_executor_has() {
    let mut state = FlowState::default();
    let record = |executor: &str, place: &str| FlowCommand::RecordAddress {
        executor: Arc::from(executor),
        place: Arc::from(place),
    };
    let commands = vec![
        record("e1", "A"),
        record("verdict pending\nA", "100\ne1\n\n\n."),
        record("verdict pending\nB", "settled"),
        record("verdict pending\nA", "settled"),
    ];
    state.apply(&CommandBatch { elapsed_ms: 0, commands });
    let names: Vec<&str> = state.executor_addresses().map(|(name, _)| &**name).collect();
    assert_eq!(names, ["e1", "verdict pending\nA"], "settled records do not accumulate");
}

#[test]
fn a_start_that_may_not_have_begun_counts_apart() {
    let run = RunNumber(3).after_unclear_crash();
    assert_eq!((run, run.crashes(), run.suspicions()), (RunNumber(1003), 0, 1));
    let run = run.after_crash().next();
    assert_eq!((run, run.crashes(), run.suspicions()), (RunNumber(1_001_004), 1, 2));
}

#[test]
fn a_trial_waits_for_what_its_pass_has_placed_on_the_executor_before() {
    let mut harness = ControlHarness::start();
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(4)]));
    harness.announce_incarnation(1, "e2 at A", 200);
    harness.submit(0xb, job(&[StepBuilder::tasks(1)]));
    harness.report_runs(1, "e2 at A@200", &[]);
    assert_eq!(harness.starts()[4..], ["000000000000000b.0.0.0 run 1 on e2 at A@200"]);
    harness.keep_alive(1, 400);
    harness.report_runs(1, "e2 at A@200", &[("000000000000000b.0.0.0", 1)]);
    harness.keep_alive(1, 200);
    assert_eq!(harness.starts().len(), 9, "{:?}", harness.starts());
}

// A new leader held the crashes of the log against a task that had settled under both leaders.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn a_task_that_settles_under_a_new_leader_is_cleared_of_the_crashes_before(#[case] change: bool) {
    let mut fleet = FlappingFleet::new(6);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(1).estimate(60_000)]));
    (0..2).for_each(|_| _ = fleet.crash_under_last_start());
    fleet.settle_last_start();
    if change {
        fleet.harness.restart_leader();
        let (third, task, run) = fleet.last_start();
        for at in 0..6 {
            let (name, born) = fleet.worker(at);
            let session = at as u64 + 1;
            fleet.harness.announce_incarnation(session, &name, born);
            let runs: &[(&str, u32)] = if at == third { &[(&task, run)] } else { &[] };
            fleet.harness.report_runs(session, &format!("{name}@{born}"), runs);
        }
        fleet.wait(400);
        fleet.settle_last_start();
    }
    let (at, task, run) = fleet.last_start();
    let (name, born) = fleet.worker(at);
    let worker = format!("{name}@{born}");
    fleet.harness.report_end(at as u64 + 1, &worker, 1, &task, run, EndKind::Stopped);
    fleet.wait(400);
    assert_ne!(fleet.last_start().2, run, "the task runs again");
    fleet.crash_under_last_start();
    assert_eq!(fleet.harness.phase(0xa), "Running", "{:?}", fleet.harness.starts());
}

// An agent reports the end of an executor before the next one, and the drain was forgotten with it.
#[rstest]
#[case::without_a_report_of_the_end(false)]
#[case::with_a_report_of_the_end(true)]
fn a_drained_executor_does_not_speak_against_its_address(#[case] reported: bool) {
    let mut harness = ControlHarness::start();
    let task = "000000000000000a.0.0.0";
    harness.connect_worker(1, "e1 at A", 100);
    harness.report_draining(1, "e1 at A", 100);
    if reported {
        let worker = WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 };
        harness.send(1, LinkMessage::WorkerEnded { worker });
    }
    harness.connect_worker(1, "e2 at A", 200);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    harness.report_end(1, "e2 at A@200", 0, task, 1, EndKind::Expired);
    harness.connect_worker(1, "e3 at A", 300);
    harness.advance(100);
    assert_eq!(harness.starts().last().unwrap(), &format!("{task} run 1000002 on e3 at A@300"));
}

// A repeated end, of which no run was left to blame, counted as a crash for no known reason.
#[rstest]
#[case::once(false)]
#[case::again(true)]
fn a_crash_that_a_task_explains_does_not_speak_against_its_address(#[case] again: bool) {
    let mut harness = ControlHarness::start();
    let task = "000000000000000a.0.0.0";
    harness.connect_worker(1, "e1 at A", 100);
    harness.submit(0xa, job(&[StepBuilder::tasks(1)]));
    let ended = || LinkMessage::WorkerEnded {
        worker: WorkerIncarnation { executor: Arc::from("e1 at A"), started_ms: 100 },
    };
    harness.report_end(1, "e1 at A@100", 0, task, 1, EndKind::Expired);
    harness.send(1, ended());
    harness.connect_worker(1, "e2 at A", 200);
    harness.advance(100);
    assert_eq!(harness.starts().last().unwrap(), &format!("{task} run 1000002 on e2 at A@200"));
    harness.close(1);
    if again {
        harness.announce_incarnation(2, "e1 at A", 100);
        harness.report_end(2, "e1 at A@100", 0, task, 1, EndKind::Expired);
        harness.send(2, ended());
    }
    harness.announce_incarnation(2, "e2 at A", 200);
    harness.report_runs(2, "e2 at A@200", &[(task, 1_000_002)]);
    harness.report_end(2, "e2 at A@200", 0, task, 1_000_002, EndKind::Expired);
    harness.connect_worker(2, "e3 at A", 300);
    harness.advance(100);
    assert_eq!(harness.starts().last().unwrap(), &format!("{task} run 2000003 on e3 at A@300"));
}

// A job that was suspected five times or more waited four to sixteen seconds on a calm fleet.
#[test]
fn a_suspected_job_pauses_for_less_than_a_job_may_have_nothing_running() {
    let longest = (0..10_000).map(SuspectTable::unproven_pause).max();
    assert!(longest.unwrap() < Duration::from_secs(3));
}

// Review 3, case 13: the trial of a job went to a full executor again and again.
#[test]
fn a_trial_that_found_no_capacity_is_not_begun_there_again() {
    let mut fleet = FlappingFleet::new(3);
    fleet.harness.submit(0xa, job(&[StepBuilder::tasks(2).cores(16).estimate(110_000)]));
    let full = fleet.harness.starts().to_vec();
    assert_eq!(full.len(), 2);
    let list_runs = |fleet: &mut FlappingFleet, milliseconds: u64, small: Option<(usize, u32)>| {
        for _ in 0..milliseconds / 200 {
            for at in 0..3 {
                let (name, born) = fleet.worker(at);
                let worker = format!("{name}@{born}");
                let large = full.iter().filter(|start| start.ends_with(&format!("on {worker}")));
                let large = large.filter_map(|start| Some((start.split_once(" run ")?.0, 1)));
                let mut runs: Vec<(&str, u32)> = large.collect();
                let small = small.filter(|(place, _)| *place == at);
                runs.extend(small.map(|(_, run)| ("000000000000000b.0.0.0", run)));
                fleet.harness.report_runs(at as u64 + 1, &worker, &runs);
            }
            fleet.wait(200);
        }
    };
    list_runs(&mut fleet, 2000, None);
    fleet.harness.submit(0xb, job(&[StepBuilder::tasks(1).cores(2).estimate(60_000)]));
    for _ in 0..2 {
        let (at, task, run) = fleet.last_start_of("000000000000000b");
        list_runs(&mut fleet, 6000, Some((at, run)));
        fleet.crash(at, &[(task, run)]);
        list_runs(&mut fleet, 1000, None);
    }
    list_runs(&mut fleet, 5000, None);
    // An order that is repeated is not another start.
    let mut starts = fleet.harness.starts().to_vec();
    starts.retain(|start| start.starts_with("000000000000000b"));
    starts.dedup();
    assert_eq!(starts.len(), 3, "{starts:?}");
}
