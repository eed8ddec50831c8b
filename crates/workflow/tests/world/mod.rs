//! The world of a schedule: everything between the reducers, under one seed.

mod agents;
mod control;
mod executor;
mod faults;

use {
    crate::fixtures::fleet_config,
    base::{PeerAddress, ReplicaId, ReplyTicket, SeededRandom},
    executor::FakeExecutor,
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
        job::{JobKey, JobSpec, StepSpec, TaskDemand, TaskKey, WorkerLife},
        message::{CallerAnswer, CallerCall, LinkMessage},
        state::JobPhase,
    },
};

const TRACE_VARIABLE: &str = "SCHEDULE_TRACE";
const LEASE: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(10);
const CONTROLS: usize = 3;
const AGENTS: usize = 3;
const JOBS: u64 = 12;
/// More than any task needs: the executors fail a tenth of all runs.
const ATTEMPTS: u32 = 1000;
const FAULT_STEPS: usize = 1500;
/// A generous bound for all jobs to end once nothing fails any more.
const HEALED_STEPS: usize = 6000;
/// How long a poll of the fake executor waits.
const POLL: Duration = Duration::from_millis(50);

/// Something that arrives later.
enum Arrival {
    Control(usize, ControlEvent),
    /// For an agent, over the stream of this number.
    Leader(usize, u64, LinkMessage),
    /// From an agent, over the stream of this number.
    FromAgent(usize, u64, usize, LinkMessage),
    Agent(usize, AgentEvent),
    Executor(usize, ExecutorCall),
    Persisted(usize, u64, u64),
}

/// A call on its way to an executor.
enum ExecutorCall {
    Hold {
        worker: WorkerLife,
        noted: u64,
        deadline_ms: Option<u64>,
        fence: u64,
        asked: Duration,
        answered: bool,
    },
    Start {
        worker: WorkerLife,
        task: TaskKey,
        run: u32,
        deadline_ms: u64,
        fence: u64,
        answered: bool,
    },
    Stop {
        worker: WorkerLife,
        task: TaskKey,
        run: u32,
        fence: u64,
        answered: bool,
    },
}

struct ControlHost {
    node: Option<ControlNode>,
    disk: RecoveredLog,
    /// Counts the starts of the process: what a former life asked for is not answered.
    life: u64,
    paused_until: Duration,
}

struct AgentHost {
    node: AgentNode,
    executor: FakeExecutor,
    /// The control process that it has a stream to.
    leader: Option<usize>,
    stream: u64,
    sequence: u64,
    paused_until: Duration,
}

pub struct FleetWorld {
    seed: u64,
    breakage: Option<Breakage>,
    random: SeededRandom,
    now: Duration,
    controls: Vec<ControlHost>,
    agents: Vec<AgentHost>,
    arrivals: BTreeMap<(Duration, u64), Arrival>,
    last_arrival: u64,
    last_stream: u64,
    /// Streams on which what was sent still arrives.
    open: BTreeSet<u64>,
    /// Pairs of hosts that can't reach each other; agents count after the control processes.
    cut: BTreeSet<(usize, usize)>,
    faults: bool,
    submitted: BTreeSet<u64>,
    accepted: BTreeSet<u64>,
    answers: Vec<(u64, CallerAnswer)>,
    /// Tasks whose end as done was forgotten by an executor, as it may only be once it is logged.
    noted_done: BTreeSet<TaskKey>,
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
        in_flight: 8,
        pending: 1000,
        snapshot_chunk: 1 << 12,
        snapshot_every: 60,
    };
    let retention = Duration::from_secs(3600);
    let settings = ControlSettings { quorum, lease: LEASE, retention, tolerated_losses: 1 };
    ControlNode::new(settings, disk.clone(), now, seed).unwrap()
}

/// Two steps, the second of which is a gang or depends on the first.
fn job(random: &mut SeededRandom) -> JobSpec {
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
    second.gang = random.chance(0.3);
    let steps = vec![step(1 + random.below(4)), second];
    JobSpec { payload: "work".to_owned(), steps, schedule: None }
}

/// A fault that is built into the processes on purpose, to show that the schedules catch it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Breakage {
    /// Agents let their executors run on for longer than control counts.
    OverstayedLease,
    /// All executors are said to answer in one place.
    SharedPlace,
    /// Control processes lose what they have synced when they start again.
    ForgetfulDisk,
}

/// The settings of an agent, whose executor answers in one place, whatever its id.
fn agent_settings(agent: usize, breakage: Option<Breakage>) -> AgentSettings {
    let lease = if breakage == Some(Breakage::OverstayedLease) { LEASE * 4 } else { LEASE };
    let place = if breakage == Some(Breakage::SharedPlace) { 0 } else { agent };
    AgentSettings { lease, place: Arc::from(format!("place {place}")) }
}

impl FleetWorld {
    pub fn new(seed: u64, breakage: Option<Breakage>) -> Self {
        let mut random = SeededRandom::new(seed);
        let now = Duration::from_secs(1);
        let controls = (0..CONTROLS).map(|control| {
            let disk = RecoveredLog::default();
            let node = Some(start_control(control, &disk, now, random.next_u64()));
            ControlHost { node, disk, life: 0, paused_until: now }
        });
        let controls = controls.collect();
        let agents = (0..AGENTS).map(|agent| AgentHost {
            node: AgentNode::new(agent_settings(agent, breakage), now),
            executor: FakeExecutor::new(&format!("e{agent}"), 1, random.next_u64()),
            leader: None,
            stream: 0,
            sequence: 0,
            paused_until: now,
        });
        Self {
            seed,
            breakage,
            now,
            controls,
            agents: agents.collect(),
            arrivals: BTreeMap::new(),
            last_arrival: 0,
            last_stream: 0,
            open: BTreeSet::new(),
            cut: BTreeSet::new(),
            faults: true,
            submitted: BTreeSet::new(),
            accepted: BTreeSet::new(),
            answers: Vec::new(),
            noted_done: BTreeSet::new(),
            random,
        }
    }

    pub fn play_faults(&mut self) {
        for _ in 0..FAULT_STEPS {
            if self.random.chance(0.02) {
                self.strike();
            }
            self.step();
        }
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.faults = false;
        self.cut.clear();
        for control in 0..CONTROLS {
            if self.controls[control].node.is_none() {
                self.restart_control(control);
            }
        }
    }

    pub fn expect_all_finished(&mut self) {
        for _ in 0..HEALED_STEPS {
            self.step();
            if self.all_finished() {
                return;
            }
        }
        panic!("seed {}: jobs have not ended: {:?}", self.seed, self.unfinished());
    }

    fn unfinished(&self) -> Vec<(u64, Option<JobPhase>)> {
        let leader = self.controls.iter().filter_map(|host| host.node.as_ref());
        let state = leader.max_by_key(|node| node.applied().clock_ms()).map(ControlNode::applied);
        let phase = |key: &u64| state.and_then(|state| state.job(JobKey(*key))).map(|j| j.phase());
        let jobs = self.accepted.iter().map(|key| (*key, phase(key)));
        jobs.filter(|(_, phase)| !matches!(phase, Some(JobPhase::Ended(_)))).collect()
    }

    fn all_finished(&self) -> bool {
        self.accepted.len() as u64 == JOBS && self.unfinished().is_empty()
    }

    fn arrive(&mut self, arrival: Arrival) {
        let spread = if self.faults && self.random.chance(0.05) { 400 } else { 15 };
        let delay = Duration::from_millis(1 + self.random.below(spread) as u64);
        self.arrive_in(delay, arrival);
    }

    fn arrive_in(&mut self, delay: Duration, arrival: Arrival) {
        self.last_arrival += 1;
        self.arrivals.insert((self.now + delay, self.last_arrival), arrival);
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.contains(&(a, b))
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
        for agent in 0..AGENTS {
            self.agents[agent].executor.work(self.now);
            self.connect(agent);
            self.beat(agent);
            if self.agents[agent].paused_until <= self.now {
                self.step_agent(agent, AgentEvent::Tick);
            }
        }
        self.call();
        self.check_promises();
    }

    /// Hands jobs in, again and again until each is accepted.
    fn call(&mut self) {
        if !self.random.chance(0.1) {
            return;
        }
        let key = 1 + self.random.below(JOBS as usize) as u64;
        if self.accepted.contains(&key) {
            return;
        }
        self.submitted.insert(key);
        let spec = job(&mut SeededRandom::new(self.seed * 1000 + key));
        let control = self.random.below(CONTROLS);
        let (sequence, host, path) = (key, "h".to_owned(), format!("/q/{key:016x}"));
        let call = CallerCall::Submit(spec);
        let message = LinkMessage::Call { sequence, host, path, call };
        let session = SessionId(u64::MAX);
        let ticket = ReplyTicket(1);
        let configure = ControlEvent::Configure { ticket, config: fleet_config(1, ATTEMPTS) };
        self.arrive(Arrival::Control(control, configure));
        self.arrive(Arrival::Control(control, ControlEvent::Message { session, message }));
    }

    fn deliver(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Control(control, event) => self.step_control(control, event),
            Arrival::Persisted(control, life, number) => {
                if self.controls[control].life == life {
                    self.step_control(control, ControlEvent::Persisted { number });
                }
            }
            Arrival::Leader(agent, stream, message) => {
                if self.agents[agent].stream == stream && self.agents[agent].leader.is_some() {
                    self.deliver_agent(agent, AgentEvent::LeaderMessage(message));
                }
            }
            Arrival::FromAgent(agent, stream, control, message) => {
                if self.open.contains(&stream) && !self.is_cut(control, CONTROLS + agent) {
                    let session = SessionId(stream);
                    self.step_control(control, ControlEvent::Message { session, message });
                }
            }
            Arrival::Agent(agent, event) => self.deliver_agent(agent, event),
            Arrival::Executor(agent, call) => self.execute(agent, call),
        }
    }

    /// What comes to a paused process waits for it.
    fn deliver_agent(&mut self, agent: usize, event: AgentEvent) {
        let paused = self.agents[agent].paused_until;
        if paused > self.now {
            self.arrive_in(paused - self.now, Arrival::Agent(agent, event));
        } else {
            self.step_agent(agent, event);
        }
    }

    /// Shows what led to a failure when a seed is played again.
    fn trace(&self, process: &str, event: &FlowEvent) {
        if std::env::var_os(TRACE_VARIABLE).is_some() {
            eprintln!("{:?} {process} {event:?}", self.now);
        }
    }

    fn check_promises(&self) {
        let mut running: BTreeMap<TaskKey, (Arc<str>, u32)> = BTreeMap::new();
        for host in &self.agents {
            let worker = host.executor.life().executor;
            for (task, run) in host.executor.running() {
                let other = running.insert(task, (worker.clone(), run));
                assert!(
                    other.is_none(),
                    "seed {} at {:?}: {task} runs as {run} on {worker} and as {other:?}",
                    self.seed,
                    self.now
                );
                assert!(
                    !self.noted_done.contains(&task),
                    "seed {} at {:?}: {task} runs again as {run} on {worker} after it was done",
                    self.seed,
                    self.now
                );
                assert!(
                    self.submitted.contains(&task.job.0),
                    "seed {}: {task} runs, and nobody handed it in",
                    self.seed
                );
            }
        }
    }
}
