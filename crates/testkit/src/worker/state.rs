//! The tasks of a stand-in worker. Their progress is computed when a call or a query arrives.

use {
    super::{payload::TaskPayload, StandInWorkerSettings, WorkerFault},
    agent::platform::{
        AttemptId, PlatformCall, PlatformIncarnation, PlatformInstant, PlatformLease,
        PlatformListing, PlatformReply, PlatformRequest, PlatformState, PlatformTask,
        PlatformTaskUsage, PlatformUsage,
    },
    base::{
        AttemptNumber, ByteSize, CheckpointId, CpuMillis, IncarnationNumber, ResourceVector, TaskId,
    },
    indexmap::IndexMap,
    proto::messages::{TaskAssignment, ThrottleLevel},
    std::time::Duration,
};

const FULL_PERCENT: u64 = 100;
const FULL_PERMILLE: u32 = 1000;

/// One run of an attempt on a stand-in worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRun {
    /// The attempt.
    pub id: AttemptId,
    /// The incarnation of the platform that ran the attempt.
    pub life: PlatformIncarnation,
    /// When the run started.
    pub started: PlatformInstant,
    /// When the run ended; `None` while it lasts.
    pub ended: Option<PlatformInstant>,
}

struct SimulatedTask {
    assignment: TaskAssignment,
    payload: TaskPayload,
    throttle: ThrottleLevel,
    state: PlatformState,
    progress: Duration,
    advanced_to: PlatformInstant,
    run_index: usize,
}

impl SimulatedTask {
    fn is_running(&self) -> bool {
        self.state == PlatformState::Running
    }

    /// Returns the run time left after `advanced_to` at the present throttle; `None` if it is
    /// endless.
    fn remaining_time(&self) -> Option<Duration> {
        let work = self.payload.run_time?.saturating_sub(self.progress);
        Some(work * FULL_PERCENT as u32 / u32::from(self.throttle.0.max(1)))
    }

    fn usage(&self) -> ResourceVector {
        let share = |amount: u64| amount * self.payload.use_percent / FULL_PERCENT;
        let reserved = self.assignment.reserved;
        let cpu = share(reserved.cpu.0) * u64::from(self.throttle.0) / FULL_PERCENT;
        ResourceVector {
            cpu: CpuMillis(cpu),
            memory: ByteSize(share(reserved.memory.0)),
            accelerators: reserved.accelerators,
        }
    }
}

/// The tasks, the lease and the fences of one stand-in worker. It does no I/O and takes the time
/// from its clock, so that scenarios drive the same platform that [`super::StandInWorker`] serves
/// over HTTP.
pub struct PlatformTasks {
    settings: StandInWorkerSettings,
    fault: WorkerFault,
    life: PlatformIncarnation,
    lease_until: PlatformInstant,
    agent: IncarnationNumber,
    tasks: IndexMap<AttemptId, SimulatedTask>,
    fenced: IndexMap<TaskId, AttemptNumber>,
    runs: Vec<WorkerRun>,
}

impl PlatformTasks {
    /// Creates a worker without tasks.
    pub fn new(settings: StandInWorkerSettings) -> Self {
        Self {
            settings,
            fault: WorkerFault::None,
            life: PlatformIncarnation(1),
            lease_until: PlatformInstant::default(),
            agent: IncarnationNumber::default(),
            tasks: IndexMap::new(),
            fenced: IndexMap::new(),
            runs: Vec::new(),
        }
    }

    /// Shows a fault from now on.
    pub fn set_fault(&mut self, fault: WorkerFault) {
        self.fault = fault;
    }

    /// Loses all tasks and starts a new incarnation of the platform.
    pub fn restart(&mut self) {
        let now = self.now();
        self.advance(now);
        for run in &mut self.runs {
            run.ended.get_or_insert(now);
        }
        self.tasks.clear();
        self.life = PlatformIncarnation(self.life.0 + 1);
        self.lease_until = PlatformInstant::default();
    }

    /// Returns every run so far.
    pub fn history(&mut self) -> Vec<WorkerRun> {
        self.advance(self.now());
        self.runs.clone()
    }

    /// Executes a call. Returns `None` when a fault suppresses the call or its answer.
    pub fn take(&mut self, request: PlatformRequest) -> Option<PlatformReply> {
        if self.fault == WorkerFault::Silent {
            return None;
        }
        let now = self.now();
        self.advance(now);
        let reply = if request.agent < self.agent {
            refused("the call is from an earlier incarnation of the agent")
        } else {
            self.agent = request.agent;
            self.execute(now, request.call)
        };
        (self.fault != WorkerFault::LosesAnswers).then_some(reply)
    }

    fn execute(&mut self, now: PlatformInstant, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::List => PlatformReply::Listing(Box::new(self.listing(now))),
            PlatformCall::Renew { lease } => self.renew(lease),
            PlatformCall::Run { assignment, throttle, lease } => {
                self.start_task(now, *assignment, throttle, lease)
            }
            PlatformCall::Checkpoint { id } => self.checkpoint(&id),
            PlatformCall::Throttle { id, throttle } => self.throttle(&id, throttle),
            PlatformCall::Stop { id } => self.stop(now, &id),
            PlatformCall::Forget { id } => {
                if self.tasks.get(&id).is_some_and(|task| !task.is_running()) {
                    self.tasks.shift_remove(&id);
                }
                PlatformReply::Done
            }
        }
    }

    fn now(&self) -> PlatformInstant {
        PlatformInstant::default().after(self.settings.clock.monotonic())
    }

    /// Advances the tasks to `now`, and ends those that are finished or whose lease has expired.
    fn advance(&mut self, now: PlatformInstant) {
        for task in self.tasks.values_mut().filter(|task| task.is_running()) {
            let done = task.remaining_time().map(|left| task.advanced_to.after(left));
            let end = done.filter(|done| *done <= self.lease_until);
            let (end, state) = match end {
                Some(done) if task.payload.fails => (done, failed_state()),
                Some(done) => (done, PlatformState::Finished),
                None => (self.lease_until, PlatformState::Stopped),
            };
            if end <= now {
                task.state = state;
                self.runs[task.run_index].ended = Some(end.max(task.advanced_to));
                continue;
            }
            let elapsed = now.since(task.advanced_to);
            task.progress += elapsed * u32::from(task.throttle.0) / FULL_PERCENT as u32;
            task.advanced_to = now;
        }
    }

    fn renew(&mut self, lease: PlatformLease) -> PlatformReply {
        if lease.life != self.life {
            return refused("the lease is for another incarnation of the platform");
        }
        self.lease_until = self.lease_until.max(lease.until);
        PlatformReply::Done
    }

    fn start_task(
        &mut self,
        now: PlatformInstant,
        assignment: TaskAssignment,
        throttle: ThrottleLevel,
        lease: PlatformLease,
    ) -> PlatformReply {
        let id = AttemptId { task: assignment.task.clone(), attempt: assignment.attempt };
        if let Some(task) = self.tasks.get(&id) {
            return if task.is_running() {
                PlatformReply::Done
            } else {
                refused("the attempt has ended")
            };
        }
        if self.fenced.get(&id.task).is_some_and(|fenced| id.attempt <= *fenced) {
            return refused("the attempt was stopped before");
        }
        let other = |(other, task): (&AttemptId, &SimulatedTask)| {
            other.task == id.task && task.is_running()
        };
        if self.tasks.iter().any(other) {
            return refused("another attempt of the task is running");
        }
        if let PlatformReply::Refused { detail } = self.renew(lease) {
            return PlatformReply::Refused { detail };
        }
        let mut payload = TaskPayload::parse(&assignment.payload);
        payload.fails |= self.fault == WorkerFault::FailsTasks;
        if now >= lease.until || payload.refuses || self.fault == WorkerFault::RefusesTasks {
            return refused("the task can't be started");
        }
        let progress = assignment.checkpoint.as_ref().map(decode_progress).unwrap_or_default();
        self.runs.push(WorkerRun { id: id.clone(), life: self.life, started: now, ended: None });
        let task = SimulatedTask {
            assignment,
            payload,
            throttle,
            state: PlatformState::Running,
            progress,
            advanced_to: now,
            run_index: self.runs.len() - 1,
        };
        self.tasks.insert(id, task);
        PlatformReply::Done
    }

    fn checkpoint(&self, id: &AttemptId) -> PlatformReply {
        let Some(task) = self.tasks.get(id).filter(|task| task.is_running()) else {
            return refused("the attempt is not running");
        };
        PlatformReply::Checkpointed { checkpoint: encode_checkpoint(id, task.progress) }
    }

    fn throttle(&mut self, id: &AttemptId, throttle: ThrottleLevel) -> PlatformReply {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.is_running()) else {
            return refused("the attempt is not running");
        };
        task.throttle = throttle;
        PlatformReply::Done
    }

    fn stop(&mut self, now: PlatformInstant, id: &AttemptId) -> PlatformReply {
        let fence = self.fenced.entry(id.task.clone()).or_insert(id.attempt);
        *fence = (*fence).max(id.attempt);
        let Some(task) = self.tasks.get_mut(id) else {
            return PlatformReply::Ended { state: PlatformState::NeverStarted };
        };
        if task.is_running() {
            task.state = PlatformState::Stopped;
            self.runs[task.run_index].ended = Some(now);
        }
        PlatformReply::Ended { state: task.state.clone() }
    }

    fn listing(&self, now: PlatformInstant) -> PlatformListing {
        let tasks = self.tasks.values().map(|task| PlatformTask {
            assignment: task.assignment.clone(),
            throttle: task.throttle,
            state: task.state.clone(),
        });
        PlatformListing {
            life: self.life,
            clock: now,
            capacity: self.settings.capacity,
            tasks: tasks.collect(),
            usage: self.usage(now),
        }
    }

    /// Returns the newest measurement that is visible at `now`, which is `usage_lag` old or older.
    /// `None` before the first one.
    fn usage(&self, now: PlatformInstant) -> Option<PlatformUsage> {
        let lag = self.settings.usage_lag.as_millis() as u64;
        let interval = self.settings.usage_interval.as_millis().max(1) as u64;
        let taken = PlatformInstant(now.0.checked_sub(lag)? / interval * interval);
        let ran = self.tasks.iter().filter(|(_, task)| {
            let run = &self.runs[task.run_index];
            run.started <= taken && run.ended.is_none_or(|ended| taken < ended)
        });
        let tasks = ran.map(|(id, task)| PlatformTaskUsage {
            id: id.clone(),
            used: task.usage(),
            speed_permille: u32::from(task.throttle.0) * FULL_PERMILLE / FULL_PERCENT as u32,
        });
        Some(PlatformUsage { taken, tasks: tasks.collect() })
    }
}

fn refused(detail: &str) -> PlatformReply {
    PlatformReply::Refused { detail: detail.to_owned() }
}

fn failed_state() -> PlatformState {
    PlatformState::Failed { detail: "the payload says so".to_owned() }
}

/// Creates a checkpoint whose name contains the whole state of the task, so that any stand-in
/// worker can resume it.
fn encode_checkpoint(id: &AttemptId, progress: Duration) -> CheckpointId {
    let name = format!("p{}:{}", progress.as_millis(), id.attempt);
    CheckpointId::new(&name).expect("the name is short and plain")
}

fn decode_progress(checkpoint: &CheckpointId) -> Duration {
    let text = checkpoint.as_str().strip_prefix('p').and_then(|text| text.split_once(':'));
    let millis = text.and_then(|(millis, _)| millis.parse().ok()).unwrap_or_default();
    Duration::from_millis(millis)
}
