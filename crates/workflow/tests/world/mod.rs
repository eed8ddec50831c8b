//! A simulated fleet, driven by one seed: the network, clock, disks and executors around the
//! control processes and agents under test.

mod agents;
mod control;
mod cordons;
mod executor;
mod faults;
mod mixed;
mod work;

use {
    crate::fixtures::fleet_config,
    base::{PeerAddress, ReplicaId, ReplyTicket, SeededRandom},
    cordons::CordonOperator,
    executor::{FakeExecutor, CAPACITY},
    mixed::MixedLoad,
    quorum::{GroupMember, QuorumSettings, RecoveredLog},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    workflow::{
        agent::{AgentEvent, AgentNode, AgentSettings},
        control::{ControlEvent, ControlNode, ControlSettings, SessionId},
        event::FlowEvent,
        job::{JobKey, JobSpec, StepSpec, TaskDemand, TaskKey, WorkerIncarnation},
        message::{CallerAnswer, CallerCall, LinkMessage},
        plan::LookaheadScope,
        state::JobPhase,
    },
};

const TRACE_VARIABLE: &str = "SCHEDULE_TRACE";
const LEASE: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(10);
const CONTROLS: usize = 3;
const AGENTS: usize = 3;
const JOBS: u64 = 12;
/// The fake executors fail a tenth of all runs, and no task may use up its attempts.
const ATTEMPTS: u32 = 1000;
const FAULT_STEPS: usize = 1500;
/// Steps without faults within which every job has to end.
const RECOVERY_STEPS: usize = 6000;
/// The longest time for which a job may have nothing running once the faults are over: an election,
/// the leases that the new leader waits for, and a few messages.
const WAIT_LIMIT: Duration = Duration::from_millis(4000);
/// Steps between two checks of the counts of all jobs.
const COUNTS_EACH: usize = 100;
/// How long the fake executor keeps a poll open.
const POLL: Duration = Duration::from_millis(50);

/// An event that a process receives at a later time.
enum Arrival {
    Control(usize, ControlEvent),
    /// A message from the leader to an agent, on the stream of this number.
    Leader(usize, u64, LinkMessage),
    /// A message from an agent to a control process, on the stream of this number.
    FromAgent(usize, u64, usize, LinkMessage),
    Agent(usize, AgentEvent),
    Executor(usize, ExecutorCall),
    Persisted(usize, u64, u64),
}

/// A call on its way to an executor.
enum ExecutorCall {
    Hold {
        worker: WorkerIncarnation,
        acknowledged: u64,
        deadline_ms: Option<u64>,
        fence: u64,
        asked: Duration,
        answered: bool,
    },
    Start {
        worker: WorkerIncarnation,
        task: TaskKey,
        run: u32,
        deadline_ms: u64,
        fence: u64,
        sent: Duration,
        checkpoint: String,
        answered: bool,
    },
    Stop {
        worker: WorkerIncarnation,
        task: TaskKey,
        run: u32,
        fence: u64,
        answered: bool,
    },
    Pace {
        worker: WorkerIncarnation,
        task: TaskKey,
        run: u32,
        percent: u8,
        fence: u64,
    },
}

struct ControlHost {
    node: Option<ControlNode>,
    disk: RecoveredLog,
    /// Counts the starts of the process. A sync that an earlier incarnation requested is not
    /// reported to this one.
    incarnation: u64,
    paused_until: Duration,
}

struct AgentHost {
    node: AgentNode,
    executor: FakeExecutor,
    /// The control process to which the agent has a stream.
    leader: Option<usize>,
    stream: u64,
    sequence: u64,
    paused_until: Duration,
}

pub struct FleetWorld {
    seed: u64,
    breakage: Option<Breakage>,
    /// Whether the capacities of executors change, which do not guard them.
    shrinking: bool,
    random: SeededRandom,
    /// The source of the capacities alone, so that they leave the other choices as they are.
    capacities: SeededRandom,
    now: Duration,
    controls: Vec<ControlHost>,
    agents: Vec<AgentHost>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    last_arrival: u64,
    last_stream: u64,
    /// Streams whose messages are still delivered.
    open_streams: BTreeSet<u64>,
    /// Pairs of hosts that cannot reach each other. Agents are numbered after the control
    /// processes.
    partitions: BTreeSet<(usize, usize)>,
    faults: bool,
    submitted: BTreeSet<u64>,
    accepted: BTreeSet<u64>,
    answers: Vec<(u64, CallerAnswer)>,
    /// Tasks that ended as done and whose end an executor discarded, which it may do only once the
    /// end is in the log.
    recorded_done: BTreeSet<TaskKey>,
    /// The operator who cordons data centres, if there is one.
    operator: Option<CordonOperator>,
    /// The jobs that callers submit, by key.
    jobs: BTreeMap<u64, JobSpec>,
    /// The number of failures after which a task fails its job.
    attempts: u32,
    /// What makes the work of the executors differ, if it does.
    load: Option<MixedLoad>,
}

fn address_of(control: usize) -> PeerAddress {
    PeerAddress(format!("10.0.0.{}:1", control + 1).parse().unwrap())
}

fn control_at(address: PeerAddress) -> usize {
    (0..CONTROLS).find(|control| address_of(*control) == address).unwrap()
}

fn start_control(control: usize, disk: &RecoveredLog, now: Duration, seed: u64) -> ControlNode {
    let member = |control: usize| GroupMember {
        replica: ReplicaId(control as u64 + 1),
        address: address_of(control),
        voter: true,
    };
    let quorum = QuorumSettings {
        replica: ReplicaId(control as u64 + 1),
        founders: (0..CONTROLS).map(member).collect(),
        election_timeout: Duration::from_millis(300),
        heartbeat: Duration::from_millis(50),
        batch_bytes: 1 << 20,
        in_flight_limit: 8,
        pending_limit: 1000,
        snapshot_chunk: 1 << 12,
        snapshot_every: 60,
    };
    let retention = Duration::from_secs(3600);
    let settings = ControlSettings {
        quorum,
        lease: LEASE,
        retention,
        tolerated_losses: 1,
        look_ahead: LookaheadScope::All,
    };
    ControlNode::new(settings, disk.clone(), now, seed).unwrap()
}

/// Generates a job of two steps, where the second depends on the first and may be a gang. The fake
/// executors do not end the members of a gang together, so that gangs say nothing about capacity.
fn job(random: &mut SeededRandom, with_gangs: bool) -> JobSpec {
    let demand = TaskDemand { cpu_milli: 1000, memory_mb: 100, accelerators: 0 };
    let step = |count: usize| StepSpec {
        count: count as u16,
        demand,
        estimate_ms: 300,
        checkpointing: true,
        ..StepSpec::default()
    };
    let mut second = step(1 + random.below(3));
    second.depends_on = vec![0];
    second.gang = random.chance(0.3) && with_gangs;
    let steps = vec![step(1 + random.below(4)), second];
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// A fault built into the processes, to show that the schedules detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// Agents grant their executors leases longer than control counts on.
    OverstayedLease,
    /// All executors report the same address.
    SharedAddress,
    /// Control processes lose their synced data when they restart.
    ForgetfulDisk,
    /// Executors keep reporting the capacity with which they began.
    StaleCapacity,
    /// Agents report another data centre than that of their executor.
    WrongDataCentre,
}

/// Returns the settings of an agent. Its executor keeps one address, whatever its id.
fn agent_settings(agent: usize, breakage: Option<Breakage>) -> AgentSettings {
    let lease = if breakage == Some(Breakage::OverstayedLease) { LEASE * 4 } else { LEASE };
    let address = if breakage == Some(Breakage::SharedAddress) { 0 } else { agent };
    AgentSettings { lease, executor_address: Arc::from(format!("address {address}")) }
}

impl FleetWorld {
    pub fn new(seed: u64, breakage: Option<Breakage>, shrinking: bool) -> Self {
        let mut random = SeededRandom::new(seed);
        let now = Duration::from_secs(1);
        let controls = (0..CONTROLS).map(|control| {
            let disk = RecoveredLog::default();
            let node = Some(start_control(control, &disk, now, random.next_u64()));
            ControlHost { node, disk, incarnation: 0, paused_until: now }
        });
        let controls = controls.collect();
        let jobs =
            (1..=JOBS).map(|key| (key, job(&mut SeededRandom::new(seed * 1000 + key), !shrinking)));
        let jobs = jobs.collect();
        let agents = (0..AGENTS).map(|agent| AgentHost {
            node: AgentNode::new(agent_settings(agent, breakage), now),
            executor: FakeExecutor::new(&format!("e{agent}"), 1, random.next_u64(), shrinking),
            leader: None,
            stream: 0,
            sequence: 0,
            paused_until: now,
        });
        Self {
            seed,
            breakage,
            shrinking,
            capacities: SeededRandom::new(seed),
            now,
            controls,
            agents: agents.collect(),
            arrivals: BTreeMap::new(),
            last_arrival: 0,
            last_stream: 0,
            open_streams: BTreeSet::new(),
            partitions: BTreeSet::new(),
            faults: true,
            submitted: BTreeSet::new(),
            accepted: BTreeSet::new(),
            answers: Vec::new(),
            recorded_done: BTreeSet::new(),
            operator: None,
            jobs,
            attempts: ATTEMPTS,
            load: None,
            random,
        }
    }

    /// Adds an operator who cordons data centres.
    pub fn with_operator(mut self) -> Self {
        self.operator = Some(CordonOperator::new(self.seed));
        self
    }

    pub fn play_faults(&mut self) {
        for _ in 0..FAULT_STEPS {
            if self.random.chance(0.02) {
                self.inject_fault();
            }
            if self.shrinking {
                self.change_capacities();
            }
            self.inject_mixed_fault();
            self.step();
        }
    }

    /// Ends every fault, lets executors grow to their full capacity, and restarts the control
    /// processes that are down.
    pub fn heal(&mut self) {
        self.faults = false;
        for host in &mut self.agents {
            host.executor.change_capacity(self.now, CAPACITY);
        }
        self.partitions.clear();
        self.heal_executors();
        for control in 0..CONTROLS {
            if self.controls[control].node.is_none() {
                self.restart_control(control);
            }
        }
    }

    /// Expects that every job ends, and that none has nothing running for long on the way.
    pub fn expect_all_jobs_end(&mut self) {
        let mut waiting_since: BTreeMap<u64, Duration> = BTreeMap::new();
        let limit = if self.load.is_some() { mixed::WAIT_LIMIT } else { WAIT_LIMIT };
        let steps = if self.load.is_some() { mixed::RECOVERY_STEPS } else { RECOVERY_STEPS };
        for step in 0..steps {
            self.step();
            if self.load.is_some() && step % COUNTS_EACH == 0 {
                self.check_counts();
            }
            let waiting = self.jobs_without_runs();
            waiting_since.retain(|job, _| waiting.contains(job));
            for job in waiting {
                let since = *waiting_since.entry(job).or_insert(self.now);
                let waited = self.now - since;
                assert!(waited < limit, "seed {}: job {job} waits for {waited:?}", self.seed);
            }
            if self.all_jobs_ended() {
                return;
            }
        }
        panic!(
            "seed {}: jobs did not end after the faults: {:?}",
            self.seed,
            self.jobs_in_progress()
        );
    }

    /// Returns the accepted jobs that have not ended and of which no executor runs a task, although
    /// there is room for one.
    fn jobs_without_runs(&mut self) -> BTreeSet<u64> {
        let running = self.agents.iter().flat_map(|host| host.executor.running());
        let running: BTreeSet<u64> = running.map(|(task, _)| task.job.0).collect();
        let open = self.jobs_in_progress().into_iter().map(|(job, _)| job);
        let idle: Vec<u64> = open.filter(|job| !running.contains(job)).collect();
        idle.into_iter().filter(|job| self.could_run(*job)).collect()
    }

    fn jobs_in_progress(&self) -> Vec<(u64, Option<JobPhase>)> {
        let leader = self.controls.iter().filter_map(|host| host.node.as_ref());
        let state = leader.max_by_key(|node| node.applied().clock_ms()).map(ControlNode::applied);
        let phase = |key: &u64| state.and_then(|state| state.job(JobKey(*key))).map(|j| j.phase());
        let jobs = self.accepted.iter().map(|key| (*key, phase(key)));
        jobs.filter(|(_, phase)| !matches!(phase, Some(JobPhase::Ended(_)))).collect()
    }

    fn all_jobs_ended(&self) -> bool {
        let lasting = |(job, _): &(u64, Option<JobPhase>)| self.is_lasting(*job);
        self.accepted.len() == self.jobs.len() && self.jobs_in_progress().iter().all(lasting)
    }

    fn schedule_event(&mut self, arrival: Arrival) {
        let max_delay_ms = if self.faults && self.random.chance(0.05) { 400 } else { 15 };
        let delay = Duration::from_millis(1 + self.random.below(max_delay_ms) as u64);
        self.schedule_event_in(delay, arrival);
    }

    fn schedule_event_in(&mut self, delay: Duration, arrival: Arrival) {
        self.last_arrival += 1;
        self.arrivals.insert((self.now + delay, self.last_arrival), arrival);
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains(&(a, b))
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some((at, _)) = self.arrivals.first_key_value().map(|(key, _)| *key) {
            if at > self.now {
                break;
            }
            let (_, arrival) = self.arrivals.pop_first().unwrap();
            self.deliver(arrival);
        }
        for control in 0..CONTROLS {
            let wall_ms = self.now.as_millis() as u64;
            self.step_control(control, ControlEvent::Tick { wall_ms });
            self.step_control(control, ControlEvent::Settle);
        }
        for agent in 0..self.agents.len() {
            self.recover_executor(agent);
            self.agents[agent].executor.work(self.now);
            self.connect(agent);
            self.report_heartbeat(agent);
            if self.agents[agent].paused_until <= self.now {
                self.step_agent(agent, AgentEvent::Tick);
            }
        }
        self.submit_some_job();
        self.operate();
        self.check_invariants();
    }

    /// Submits a random job that is not yet accepted. Repeats submissions until every job is
    /// accepted.
    fn submit_some_job(&mut self) {
        if !self.random.chance(0.1) {
            return;
        }
        let key = self.choose_submission();
        if self.accepted.contains(&key) {
            return;
        }
        self.submitted.insert(key);
        let spec = self.jobs[&key].clone();
        let control = self.random.below(CONTROLS);
        let (sequence, host, path) = (key, "h".to_owned(), format!("/q/{key:016x}"));
        let call = CallerCall::Submit(spec);
        let message = LinkMessage::Call { sequence, host, path, call };
        let session = SessionId(u64::MAX);
        let ticket = ReplyTicket(1);
        let configure = ControlEvent::Configure { ticket, config: fleet_config(1, self.attempts) };
        self.schedule_event(Arrival::Control(control, configure));
        self.schedule_event(Arrival::Control(control, ControlEvent::Message { session, message }));
    }

    fn deliver(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Control(control, event) => self.step_control(control, event),
            Arrival::Persisted(control, incarnation, number) => {
                if self.controls[control].incarnation == incarnation {
                    self.step_control(control, ControlEvent::Persisted { number });
                }
            }
            Arrival::Leader(agent, stream, message) => {
                if self.agents[agent].stream == stream && self.agents[agent].leader.is_some() {
                    self.deliver_agent(agent, AgentEvent::LeaderMessage(message));
                }
            }
            Arrival::FromAgent(agent, stream, control, message) => {
                if self.open_streams.contains(&stream)
                    && !self.is_partitioned(control, CONTROLS + agent)
                {
                    let session = SessionId(stream);
                    self.step_control(control, ControlEvent::Message { session, message });
                }
            }
            Arrival::Agent(agent, event) => self.deliver_agent(agent, event),
            Arrival::Executor(agent, call) => self.execute(agent, call),
        }
    }

    /// Delivers an event to an agent. Events for a paused agent wait until the pause ends.
    fn deliver_agent(&mut self, agent: usize, event: AgentEvent) {
        let paused = self.agents[agent].paused_until;
        if paused > self.now {
            self.schedule_event_in(paused - self.now, Arrival::Agent(agent, event));
        } else {
            self.step_agent(agent, event);
        }
    }

    /// Prints an event when tracing is on, to show what led to a failure when a seed is replayed.
    fn trace(&self, process: &str, event: &FlowEvent) {
        if std::env::var_os(TRACE_VARIABLE).is_some() {
            eprintln!("{:?} {process} {event:?}", self.now);
        }
    }

    fn check_invariants(&self) {
        let mut running: BTreeMap<TaskKey, (Arc<str>, u32)> = BTreeMap::new();
        for host in &self.agents {
            let worker = host.executor.incarnation().executor;
            for (task, run) in host.executor.running() {
                let other = running.insert(task, (worker.clone(), run));
                assert!(
                    other.is_none(),
                    "seed {} at {:?}: {task} runs as {run} on {worker} and as {other:?}",
                    self.seed,
                    self.now
                );
                assert!(
                    !self.recorded_done.contains(&task),
                    "seed {} at {:?}: {task} runs again as {run} on {worker} after it was done",
                    self.seed,
                    self.now
                );
                assert!(
                    self.submitted.contains(&task.job.0),
                    "seed {}: {task} runs, but its job was never submitted",
                    self.seed
                );
            }
        }
    }
}
