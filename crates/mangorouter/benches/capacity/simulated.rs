//! Simulated workers, which speak the agents' side of the protocol and run nothing.

use {
    base::{
        AttemptNumber, ClockSource, IncarnationNumber, PeerAddress, ResourceVector, SlotCount,
        SystemClock, TaskId,
    },
    indexmap::IndexMap,
    proto::{
        envelope::{ProcessRole, SenderIdentity},
        messages::{
            AgentHeartbeat, AttemptReport, AttemptState, CommandCursor, EndpointAnnouncement,
            HeartbeatReply, LeaseRenewal, TaskCommand, WorkerAnnouncement,
        },
        rpc::{ConnectionUse, ProcessIdentity, RpcClient},
    },
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const THREADS: usize = 24;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// What the simulated workers observed.
#[derive(Default)]
pub(crate) struct FleetRecord {
    /// When each task's first run command arrived.
    pub(crate) starts: Mutex<IndexMap<TaskId, Instant>>,
    /// Number of heartbeats that renewed a lease.
    pub(crate) renewals: AtomicU64,
    /// Number of heartbeats that neither renewed a lease nor named a leader.
    pub(crate) failures: AtomicU64,
    /// Round-trip times of the renewals.
    pub(crate) durations: Mutex<Vec<Duration>>,
}

/// A fleet of simulated workers.
pub(crate) struct SimulatedFleet {
    /// What the workers observed.
    pub(crate) record: Arc<FleetRecord>,
    revisions: Arc<Vec<AtomicU64>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl SimulatedFleet {
    /// Starts `count` workers of the given capacity, each with an endpoint of `service` if that is
    /// set.
    pub(crate) fn start(
        peers: &[PeerAddress],
        count: usize,
        capacity: ResourceVector,
        service: Option<&str>,
    ) -> Self {
        let record = Arc::new(FleetRecord::default());
        let stop = Arc::new(AtomicBool::new(false));
        let revisions: Arc<Vec<AtomicU64>> =
            Arc::new((0..count).map(|_| AtomicU64::new(0)).collect());
        let threads = (0..THREADS.min(count)).map(|thread| {
            let workers: Vec<_> = (thread..count)
                .step_by(THREADS)
                .map(|number| SimulatedWorker::new(number, capacity, service, peers[0]))
                .collect();
            let (record, stop, revisions) = (record.clone(), stop.clone(), revisions.clone());
            let peers = peers.to_vec();
            thread::spawn(move || send_heartbeats(workers, &peers, &record, &revisions, &stop))
        });
        let threads = threads.collect();
        Self { record, revisions, stop, threads }
    }

    /// Returns the lowest revision in force on any worker.
    pub(crate) fn lowest_revision(&self) -> u64 {
        self.revisions.iter().map(|seen| seen.load(Ordering::Relaxed)).min().unwrap_or_default()
    }

    /// Returns the number of tasks that the workers were commanded to run.
    pub(crate) fn started(&self) -> usize {
        self.record.starts.lock().expect("no holder panics").len()
    }
}

impl Drop for SimulatedFleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn send_heartbeats(
    mut workers: Vec<SimulatedWorker>,
    peers: &[PeerAddress],
    record: &FleetRecord,
    revisions: &[AtomicU64],
    stop: &AtomicBool,
) {
    let gap = HEARTBEAT_INTERVAL / workers.len().max(1) as u32;
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        for worker in &mut workers {
            next += gap;
            thread::sleep(next.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                return;
            }
            worker.send_heartbeat(peers, record);
            revisions[worker.number].store(worker.identity.in_force().0, Ordering::Relaxed);
        }
    }
}

struct SimulatedWorker {
    number: usize,
    identity: Arc<ProcessIdentity>,
    client: RpcClient,
    leader: PeerAddress,
    announcement: WorkerAnnouncement,
    endpoints: Vec<EndpointAnnouncement>,
    sequence: u64,
    cursor: CommandCursor,
    report_all: bool,
    attempts: IndexMap<(TaskId, AttemptNumber), AttemptState>,
    unreported: IndexMap<(TaskId, AttemptNumber), AttemptState>,
}

impl SimulatedWorker {
    fn new(
        number: usize,
        capacity: ResourceVector,
        service: Option<&str>,
        leader: PeerAddress,
    ) -> Self {
        let name = |text: String| text.parse().expect("a name");
        let sender = SenderIdentity {
            cluster: "bench".parse().expect("a name"),
            role: ProcessRole::Agent,
            name: name(format!("agent-{number}")),
            incarnation: IncarnationNumber(1),
        };
        let clock: Arc<dyn ClockSource> = Arc::new(SystemClock::new());
        let identity = Arc::new(ProcessIdentity::new(sender, clock));
        let address = PeerAddress(([127, 0, 0, 1], 9).into());
        let endpoints = service.into_iter().map(|service| EndpointAnnouncement {
            endpoint: format!("{service}-{number}").parse().expect("a name"),
            service: service.parse().expect("a name"),
            slots: SlotCount(8),
            connections: base::ConnectionCount(64),
            draining: false,
        });
        Self {
            number,
            client: RpcClient::new(identity.clone()),
            identity,
            leader,
            announcement: WorkerAnnouncement {
                region: "r".parse().expect("a name"),
                data_centre: format!("dc-{}", number % 4).parse().expect("a name"),
                rack: format!("rack-{}", number / 3).parse().expect("a name"),
                capacity,
                address,
                operator_address: address,
                draining: false,
            },
            endpoints: endpoints.collect(),
            sequence: 0,
            cursor: CommandCursor::default(),
            report_all: true,
            attempts: IndexMap::new(),
            unreported: IndexMap::new(),
        }
    }

    fn send_heartbeat(&mut self, peers: &[PeerAddress], record: &FleetRecord) {
        self.sequence += 1;
        let reported = if self.report_all { &self.attempts } else { &self.unreported };
        let reports = reported.iter().map(|((task, attempt), state)| AttemptReport {
            task: task.clone(),
            attempt: *attempt,
            state: state.clone(),
        });
        let heartbeat = AgentHeartbeat {
            worker: format!("worker-{}", self.number).parse().expect("a name"),
            incarnation: IncarnationNumber(1),
            sequence: self.sequence,
            announcement: self.report_all.then(|| self.announcement.clone()),
            endpoints: self.report_all.then(|| self.endpoints.clone()),
            cursor: self.cursor,
            reports_complete: self.report_all,
            reports: reports.collect(),
            usage: None,
        };
        let sent = Instant::now();
        match self.client.call(self.leader, ConnectionUse::Pooled, CALL_DEADLINE, &heartbeat) {
            Ok((_, HeartbeatReply::Renewed(renewal))) => {
                record.renewals.fetch_add(1, Ordering::Relaxed);
                record.durations.lock().expect("no holder panics").push(sent.elapsed());
                self.apply_renewal(*renewal, record);
            }
            Ok((_, HeartbeatReply::NotLeader { leader: Some((_, address)) })) => {
                self.leader = address;
            }
            Ok(_) | Err(_) => {
                record.failures.fetch_add(1, Ordering::Relaxed);
                self.leader = peers[self.sequence as usize % peers.len()];
            }
        }
    }

    fn apply_renewal(&mut self, renewal: LeaseRenewal, record: &FleetRecord) {
        if let Some(bundle) = &renewal.declarations {
            self.identity.put_in_force(bundle.revision);
        }
        self.cursor = renewal.cursor;
        self.unreported.clear();
        for command in renewal.commands {
            self.execute_command(command, record);
        }
        for key in renewal.acknowledged {
            self.attempts.shift_remove(&key);
        }
        self.report_all = renewal.report_all;
    }

    fn execute_command(&mut self, command: TaskCommand, record: &FleetRecord) {
        let (key, state) = match command {
            TaskCommand::Run { assignment, .. } => {
                let mut starts = record.starts.lock().expect("no holder panics");
                starts.entry(assignment.task.clone()).or_insert_with(Instant::now);
                let state = match assignment.payload.as_str() {
                    "short" => AttemptState::Finished,
                    _ => AttemptState::Running,
                };
                ((assignment.task, assignment.attempt), state)
            }
            TaskCommand::Evict { task, attempt } | TaskCommand::Stop { task, attempt } => {
                ((task, attempt), AttemptState::Stopped { checkpoint: None })
            }
        };
        if self.attempts.get(&key) != Some(&state) {
            self.attempts.insert(key.clone(), state.clone());
            self.unreported.insert(key, state);
        }
    }
}
