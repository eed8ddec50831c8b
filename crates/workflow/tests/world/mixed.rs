//! A fleet with mixed work: lasting latency-critical tasks on every executor, wide best-effort steps
//! beside them, and short tasks. Executors drain and leave, crash by turns, refuse starts, and carry
//! out calls long after they were given up.

use {
    super::{
        agent_settings,
        work::{ExecutorWork, HeadroomSwing, WorkCatalogue, CAPACITY},
        AgentHost, AgentNode, Arrival, ExecutorCall, FakeExecutor, FleetWorld, TRACE_VARIABLE,
    },
    base::SeededRandom,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    workflow::{
        agent::{AgentEvent, CallFailure, StartVerdict},
        control::ControlNode,
        job::{JobKey, JobSpec, RunNumber, StepSpec, TaskDemand, TaskKey},
        state::{FlowState, JobOutcome, TaskPhase},
    },
};

const MIXED_AGENTS: usize = 5;
const SERVICES: u64 = 3;
const WIDE_JOBS: u64 = 6;
const SHORT_JOBS: u64 = 12;
/// The longest time for which a job may have nothing running although it could, as users state it.
pub(super) const WAIT_LIMIT: Duration = Duration::from_millis(3000);
const MIXED_ATTEMPTS: u32 = 4;
/// Reserved share of the processors from which a job may wait.
const BUSY_SHARE: f64 = 0.5;
/// How many times over a task must fit for its job to count as able to run.
const ROOM_FACTOR: u64 = 2;
/// Time after which an agent gives up a call to its executor.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The times after which a call that was given up is carried out, in milliseconds.
const LATENESS_MS: std::ops::Range<u64> = 2000..12_000;
/// The chance in a step that something happens to an executor.
const FATE_CHANCE: f64 = 0.012;
/// The share of the calls that an executor which is slow to answer leaves unanswered.
const SLOW_CALLS: f64 = 0.5;
/// Steps without faults within which every job has to end: agents throttle best-effort tasks beside
/// services that miss their targets.
pub(super) const RECOVERY_STEPS: usize = 15_000;
/// Steps after the return of the last executor from which on no job may wait.
const QUIET_STEPS: usize = 400;
/// Steps after the end of all other jobs within which every service has to run in full.
const SERVICE_STEPS: usize = 1500;

/// What happens to one executor.
#[derive(Debug, Clone, Copy, Default)]
struct ExecutorFate {
    /// The time at which the executor goes, if it drains or crashes.
    leaves_at: Option<Duration>,
    drains: bool,
    /// The time at which the next incarnation begins, while none is there.
    returns_at: Option<Duration>,
    /// How many times more the executor crashes soon after its return.
    crashes_left: u32,
    /// The time at which the executor has its whole capacity again.
    grows_at: Option<Duration>,
    /// The executor answers only some calls until this time.
    slow_until: Duration,
}

pub struct MixedLoad {
    /// A source of its own, so that the other choices stay as they are.
    random: SeededRandom,
    catalogue: Arc<WorkCatalogue>,
    fates: Vec<ExecutorFate>,
    /// Whether executors crash.
    crashing: bool,
}

fn demand(cpu_milli: u64, memory_mb: u64) -> TaskDemand {
    TaskDemand { cpu_milli, memory_mb, accelerators: 0 }
}

/// Returns a part of an executor's capacity.
fn shrunk(random: &mut SeededRandom) -> TaskDemand {
    let mut part = |whole: u64| whole * between(random, 2, 8) / 10;
    demand(part(CAPACITY.cpu_milli), part(CAPACITY.memory_mb))
}

fn between(random: &mut SeededRandom, low: u64, high: u64) -> u64 {
    low + random.below((high - low) as usize) as u64
}

fn service_job(image: &str) -> JobSpec {
    let step = StepSpec {
        count: MIXED_AGENTS as u16,
        demand: demand(2000, 1500),
        lasting: true,
        image: Some(Arc::from(image)),
        latency_target_ms: Some(50),
        per_worker_limit: Some(2),
        disruption_budget: Some(1),
        ..StepSpec::default()
    };
    JobSpec { payload: "service".to_owned(), steps: vec![step], schedule: None }
}

fn wide_job(random: &mut SeededRandom, image: &str) -> JobSpec {
    let steps = (0..2 + random.below(2)).map(|position| StepSpec {
        count: between(random, 8, 17) as u16,
        demand: demand(between(random, 2000, 4500), between(random, 1500, 5800)),
        estimate_ms: between(random, 300, 2500),
        depends_on: (position > 0).then(|| position as u16 - 1).into_iter().collect(),
        checkpointing: random.chance(0.85),
        image: Some(Arc::from(image)),
        filler: true,
        ..StepSpec::default()
    });
    JobSpec { payload: "wide".to_owned(), steps: steps.collect(), schedule: None }
}

fn short_job(random: &mut SeededRandom) -> JobSpec {
    let step = StepSpec {
        count: between(random, 1, 4) as u16,
        demand: demand(between(random, 500, 1500), 300),
        estimate_ms: between(random, 150, 600),
        ..StepSpec::default()
    };
    JobSpec { payload: "short".to_owned(), steps: vec![step], schedule: None }
}

impl WorkCatalogue {
    fn random(random: &mut SeededRandom) -> Self {
        let services: Vec<String> = (0..SERVICES).map(|number| format!("web{number}")).collect();
        let scans: Vec<String> = (0..WIDE_JOBS / 2).map(|number| format!("scan{number}")).collect();
        let mut jobs = BTreeMap::new();
        let mut add = |spec: JobSpec| jobs.insert(jobs.len() as u64 + 1, spec);
        services.iter().for_each(|image| {
            add(service_job(image));
        });
        for number in 0..WIDE_JOBS as usize {
            add(wide_job(random, &scans[number % scans.len()]));
        }
        (0..SHORT_JOBS).for_each(|_| {
            add(short_job(random));
        });
        let swing = |random: &mut SeededRandom| HeadroomSwing {
            level: 1.3 + 1.6 * random.unit(),
            amplitude: 0.4 * random.unit(),
            period_s: 5.0 + 15.0 * random.unit(),
        };
        let swings = services.iter().map(|image| (Arc::from(image.as_str()), swing(random)));
        let swings = swings.collect();
        let mut pressures = BTreeMap::new();
        for (service, scan) in
            services.iter().flat_map(|service| scans.iter().map(move |scan| (service, scan)))
        {
            let pair = (Arc::from(service.as_str()), Arc::from(scan.as_str()));
            pressures.insert(pair, 0.2 + 4.0 * random.unit());
        }
        Self { jobs, swings, pressures }
    }
}

impl FleetWorld {
    /// Creates a fleet with mixed work.
    pub fn with_mixed_work(seed: u64, crashing: bool) -> Self {
        let mut world = Self::new(seed, None, false);
        let mut random = SeededRandom::new(seed.wrapping_add(1 << 32));
        let catalogue = Arc::new(WorkCatalogue::random(&mut random));
        let now = world.now;
        world.agents = (0..MIXED_AGENTS)
            .map(|agent| AgentHost {
                node: AgentNode::new(agent_settings(agent, None), now),
                executor: FakeExecutor::new(&format!("e{agent}"), 1, random.next_u64(), false)
                    .with_work(ExecutorWork::new(catalogue.clone(), random.next_u64())),
                leader: None,
                stream: 0,
                sequence: 0,
                paused_until: now,
            })
            .collect();
        world.jobs = catalogue.jobs.clone();
        world.attempts = MIXED_ATTEMPTS;
        let fates = vec![ExecutorFate::default(); MIXED_AGENTS];
        world.load = Some(MixedLoad { random, catalogue, fates, crashing });
        world
    }

    /// Lets something happen to an executor.
    pub(super) fn inject_mixed_fault(&mut self) {
        let now = self.now;
        let Some(load) = &mut self.load else { return };
        let random = &mut load.random;
        if !random.chance(FATE_CHANCE) {
            return;
        }
        let agent = random.below(load.fates.len());
        let kind = random.below(9);
        let span = |random: &mut SeededRandom, low: u64, high: u64| {
            now + Duration::from_millis(between(random, low, high))
        };
        if std::env::var_os(TRACE_VARIABLE).is_some() {
            eprintln!("{now:?} fate {kind} of executor {agent}");
        }
        let fate = &mut load.fates[agent];
        let work = self.agents[agent].executor.mixed_work();
        match kind {
            0 | 1 if fate.leaves_at.is_none() && fate.returns_at.is_none() => {
                let notice = if kind == 0 { (1500, 6000) } else { (800, 1500) };
                (fate.leaves_at, fate.drains) = (Some(span(random, notice.0, notice.1)), true);
            }
            2 if load.crashing => (fate.leaves_at, fate.drains) = (Some(now), false),
            3 if load.crashing => {
                (fate.leaves_at, fate.drains) = (Some(now), false);
                fate.crashes_left = between(random, 2, 6) as u32;
            }
            4 => {
                let until = span(random, 500, 5000);
                work.into_iter().for_each(|work| work.refuses_until = until);
            }
            5 => {
                let until = span(random, 500, 5000);
                work.into_iter().for_each(|work| work.stalls_until = until);
            }
            6 => {
                let capacity = shrunk(random);
                fate.grows_at = Some(span(random, 500, 6000));
                work.into_iter().for_each(|work| work.capacity = capacity);
            }
            _ => fate.slow_until = span(random, 1000, 6000),
        }
    }

    /// Ends an executor whose time has come, and begins its next incarnation.
    pub(super) fn recover_executor(&mut self, agent: usize) {
        let now = self.now;
        let Some(load) = &mut self.load else { return };
        let (fate, random) = (&mut load.fates[agent], &mut load.random);
        if fate.grows_at.is_some_and(|at| at <= now) {
            fate.grows_at = None;
            let work = self.agents[agent].executor.mixed_work();
            work.into_iter().for_each(|work| work.capacity = CAPACITY);
        }
        if fate.leaves_at.is_some_and(|at| at <= now) {
            fate.leaves_at = None;
            let longest = if fate.drains { 4000 } else { 2500 };
            fate.returns_at = Some(now + Duration::from_millis(between(random, 50, longest)));
            // Nothing runs while no incarnation is there.
            self.agents[agent].executor.leave();
        }
        let Some(load) = &mut self.load else { return };
        let (fate, random) = (&mut load.fates[agent], &mut load.random);
        if fate.returns_at.is_some_and(|at| at <= now) {
            (fate.returns_at, fate.drains) = (None, false);
            if fate.crashes_left > 0 {
                fate.crashes_left -= 1;
                fate.leaves_at = Some(now + Duration::from_millis(between(random, 100, 2500)));
            }
            let other = random.chance(0.5);
            self.begin_incarnation(agent, other);
        }
    }

    fn begin_incarnation(&mut self, agent: usize, renamed: bool) {
        let born = self.now.as_millis() as u64;
        let name = renamed.then(|| format!("e{agent}-{born}"));
        self.agents[agent].executor.restart(born, name.as_deref());
        self.agents[agent].sequence = 0;
    }

    /// Ends what has happened to executors, except that those which drain or are gone have yet to
    /// return.
    pub(super) fn heal_executors(&mut self) {
        let Some(load) = &mut self.load else { return };
        for (fate, host) in load.fates.iter_mut().zip(&mut self.agents) {
            (fate.crashes_left, fate.slow_until, fate.grows_at) = Default::default();
            if !fate.drains {
                fate.leaves_at = None;
            }
            if let Some(work) = host.executor.mixed_work() {
                (work.refuses_until, work.stalls_until) = Default::default();
                work.capacity = CAPACITY;
            }
        }
    }

    /// Waits until all executors are there, and until a last crash has had its verdict.
    pub fn settle_executors(&mut self) {
        let away = |world: &Self| {
            let fates = world.load.iter().flat_map(|load| &load.fates);
            fates.into_iter().any(|fate| fate.drains || fate.returns_at.is_some())
        };
        while away(self) {
            self.step();
        }
        (0..QUIET_STEPS).for_each(|_| self.step());
    }

    /// Returns whether an executor is not there.
    pub(super) fn is_down(&self, agent: usize) -> bool {
        self.load.as_ref().is_some_and(|load| load.fates[agent].returns_at.is_some())
    }

    pub(super) fn mixed_capacity(&mut self, agent: usize) -> Option<TaskDemand> {
        self.agents[agent].executor.mixed_work().map(|work| work.capacity)
    }

    pub(super) fn drain_left_ms(&self, agent: usize) -> Option<u64> {
        let fate = self.load.as_ref().map(|load| load.fates[agent]).filter(|fate| fate.drains)?;
        Some(fate.leaves_at?.saturating_sub(self.now).as_millis() as u64)
    }

    /// Returns whether an executor answers the next call in time.
    pub(super) fn answers_in_time(&mut self, agent: usize) -> bool {
        let (now, faults) = (self.now, self.faults);
        let Some(load) = self.load.as_mut().filter(|_| faults) else { return true };
        now >= load.fates[agent].slow_until || !load.random.chance(SLOW_CALLS)
    }

    /// Reports a call without an answer as given up. Returns after what time the executor carries it
    /// out.
    pub(super) fn postpone(
        &mut self,
        agent: usize,
        call: &ExecutorCall,
        delay: Duration,
    ) -> Duration {
        let Some(load) = &mut self.load else { return delay };
        let lateness = between(&mut load.random, LATENESS_MS.start, LATENESS_MS.end);
        let failure = CallFailure::Unanswered("timeout".to_owned());
        if let Some(event) = call.failed(failure) {
            self.schedule_event_in(CALL_TIMEOUT, Arrival::Agent(agent, event));
        }
        Duration::from_millis(lateness)
    }

    /// Answers a call that finds no executor, or another one. Returns any other call.
    pub(super) fn reject_unreached(
        &mut self,
        agent: usize,
        call: ExecutorCall,
    ) -> Option<ExecutorCall> {
        if self.load.is_none() {
            return Some(call);
        }
        let present = self.agents[agent].executor.incarnation();
        let failure = if self.is_down(agent) {
            CallFailure::Unanswered("no executor".to_owned())
        } else if *call.worker() != present {
            CallFailure::OtherIncarnation
        } else {
            return Some(call);
        };
        if call.is_answered() {
            if let Some(event) = call.failed(failure) {
                self.schedule_event(Arrival::Agent(agent, event));
            }
        }
        None
    }

    /// Returns the most advanced applied state.
    fn newest_state(&self) -> Option<&FlowState> {
        let nodes = self.controls.iter().filter_map(|host| host.node.as_ref());
        nodes.map(ControlNode::applied).max_by_key(|state| state.clock_ms())
    }

    /// Returns whether one of a job's tasks whose turn has come fits twice over. Always true where
    /// all tasks are equal.
    pub(super) fn could_run(&mut self, job: u64) -> bool {
        let Some(load) = &self.load else { return true };
        let catalogue = load.catalogue.clone();
        let mut reserved = Vec::new();
        for agent in 0..self.agents.len() {
            let work = self.agents[agent].executor.mixed_work();
            reserved.extend(work.map(|work| work.reserved()));
        }
        let taken: u64 = reserved.iter().map(|reserved| reserved.cpu_milli).sum();
        let capacity = CAPACITY.cpu_milli * reserved.len() as u64;
        if taken as f64 >= BUSY_SHARE * capacity as f64 {
            return false;
        }
        let Some(record) = self.newest_state().and_then(|state| state.job(JobKey(job))) else {
            return true;
        };
        let spec = &catalogue.jobs[&job];
        let occurrence = &record.occurrences[0];
        let waiting = spec.steps.iter().zip(&occurrence.steps).filter(|(spec, step)| {
            let undone = step.tasks.iter().any(|task| task.phase != TaskPhase::Done);
            occurrence.is_open(spec) && undone
        });
        let mut waiting = waiting.map(|(spec, _)| spec);
        waiting.any(|spec| {
            let asked = spec.demand;
            let fits = reserved.iter().map(|reserved| {
                let cores = CAPACITY.cpu_milli.saturating_sub(reserved.cpu_milli);
                let memory = CAPACITY.memory_mb.saturating_sub(reserved.memory_mb);
                (cores / asked.cpu_milli).min(memory / asked.memory_mb)
            });
            fits.sum::<u64>() >= ROOM_FACTOR
        })
    }

    /// Returns whether executors crash.
    pub(super) fn has_crashes(&self) -> bool {
        self.load.as_ref().is_none_or(|load| load.crashing)
    }

    /// Chooses a job that is not yet accepted.
    pub(super) fn choose_submission(&mut self) -> u64 {
        if self.load.is_none() {
            return 1 + self.random.below(self.jobs.len()) as u64;
        }
        let open: Vec<u64> =
            self.jobs.keys().copied().filter(|key| !self.accepted.contains(key)).collect();
        if open.is_empty() {
            1
        } else {
            open[self.random.below(open.len())]
        }
    }

    pub(super) fn is_lasting(&self, job: u64) -> bool {
        self.jobs[&job].steps.iter().any(|step| step.lasting)
    }

    /// Checks that the counts of every job are those of its tasks.
    pub(super) fn check_counts(&self) {
        for node in self.controls.iter().filter_map(|host| host.node.as_ref()) {
            for (key, job) in node.applied().jobs() {
                let tasks = || job.tasks(key).map(|(_, task)| &task.phase);
                let placed = tasks().filter(|phase| matches!(phase, TaskPhase::Placed(_))).count();
                let undone = tasks().filter(|phase| **phase != TaskPhase::Done).count();
                assert_eq!(
                    (job.placed as usize, job.unfinished as usize),
                    (placed, undone),
                    "seed {} at {:?}: counts of job {}",
                    self.seed,
                    self.now,
                    key.0
                );
            }
        }
    }

    /// Expects that all lasting tasks run at the same time, and that no job has failed of which no
    /// task has failed often enough.
    pub fn expect_services_run(&mut self) {
        let wanted = SERVICES as usize * MIXED_AGENTS;
        let mut most = 0;
        for _ in 0..SERVICE_STEPS {
            self.step();
            let running: BTreeSet<TaskKey> = self
                .agents
                .iter()
                .flat_map(|host| host.executor.running())
                .map(|(task, _)| task)
                .filter(|task| self.is_lasting(task.job.0))
                .collect();
            most = most.max(running.len());
            if running.len() == wanted {
                return;
            }
        }
        panic!("seed {}: {most} of {wanted} lasting tasks run", self.seed);
    }

    /// Expects that a job has failed only if one of its tasks has failed as often as it may.
    pub fn expect_failures_are_due(&mut self) {
        let mut counts: BTreeMap<TaskKey, u32> = BTreeMap::new();
        for host in &mut self.agents {
            for task in host.executor.mixed_work().into_iter().flat_map(|work| &work.failed) {
                *counts.entry(*task).or_default() += 1;
            }
        }
        let Some(state) = self.newest_state() else { return };
        for (key, job) in state.jobs().filter(|(_, job)| job.outcome == Some(JobOutcome::Failed)) {
            let most = counts.iter().filter(|(task, _)| task.job == key).map(|(_, count)| *count);
            let most = most.max().unwrap_or(0);
            assert!(
                most >= MIXED_ATTEMPTS,
                "seed {}: job {} is shown as failed, and its tasks failed {most} times: {job:?}",
                self.seed,
                key.0
            );
        }
    }
}

impl ExecutorCall {
    pub(super) fn worker(&self) -> &workflow::job::WorkerIncarnation {
        match self {
            Self::Hold { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. }
            | Self::Pace { worker, .. } => worker,
        }
    }

    pub(super) fn is_answered(&self) -> bool {
        match self {
            Self::Hold { answered, .. }
            | Self::Start { answered, .. }
            | Self::Stop { answered, .. } => *answered,
            Self::Pace { .. } => true,
        }
    }

    /// Returns the event by which an agent learns that the call has failed.
    fn failed(&self, failure: CallFailure) -> Option<AgentEvent> {
        match self {
            Self::Hold { worker, asked, .. } => {
                let (worker, result) = (worker.clone(), Err(failure));
                Some(AgentEvent::PollAnswered { worker, asked: *asked, result })
            }
            Self::Start { worker, task, run, .. } => {
                let (worker, verdict) = (worker.clone(), StartVerdict::Failed(failure));
                let run = RunNumber(*run);
                Some(AgentEvent::StartAnswered { worker, task: *task, run, verdict })
            }
            Self::Stop { worker, task, run, .. } => {
                let (worker, run) = (worker.clone(), RunNumber(*run));
                Some(AgentEvent::StopAnswered { worker, task: *task, run, stopped: false })
            }
            Self::Pace { .. } => None,
        }
    }
}
