//! The tasks of a stand-in worker. Time passes when someone looks.

use {
    super::{payload::TaskPayload, StandInWorkerSettings, WorkerFault},
    agent::platform::{
        AttemptId, PlatformCall, PlatformInstant, PlatformLease, PlatformLife, PlatformListing,
        PlatformReply, PlatformRequest, PlatformState, PlatformTask, PlatformTaskUsage,
        PlatformUsage,
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
    /// The life of the platform that ran it.
    pub life: PlatformLife,
    /// When it started.
    pub started: PlatformInstant,
    /// When it ended, if it has.
    pub ended: Option<PlatformInstant>,
}

struct PretendedTask {
    assignment: TaskAssignment,
    payload: TaskPayload,
    throttle: ThrottleLevel,
    state: PlatformState,
    progress: Duration,
    settled: PlatformInstant,
    run: usize,
}

impl PretendedTask {
    fn runs(&self) -> bool {
        self.state == PlatformState::Running
    }

    /// How long it runs from `settled` on, at its present throttle.
    fn time_left(&self) -> Option<Duration> {
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

/// The tasks, the lease and the fences of one stand-in worker. Pure but for its clock, so that
/// scenarios drive the very same platform that [`super::StandInWorker`] serves over HTTP.
pub struct PlatformTasks {
    settings: StandInWorkerSettings,
    fault: WorkerFault,
    life: PlatformLife,
    lease_until: PlatformInstant,
    agent: IncarnationNumber,
    tasks: IndexMap<AttemptId, PretendedTask>,
    fenced: IndexMap<TaskId, AttemptNumber>,
    runs: Vec<WorkerRun>,
}

impl PlatformTasks {
    /// A worker that runs nothing.
    pub fn new(settings: StandInWorkerSettings) -> Self {
        Self {
            settings,
            fault: WorkerFault::None,
            life: PlatformLife(1),
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

    /// Loses all tasks.
    pub fn restart(&mut self) {
        let now = self.now();
        self.settle(now);
        for run in &mut self.runs {
            run.ended.get_or_insert(now);
        }
        self.tasks.clear();
        self.life = PlatformLife(self.life.0 + 1);
        self.lease_until = PlatformInstant::default();
    }

    /// Every run so far.
    pub fn history(&mut self) -> Vec<WorkerRun> {
        self.settle(self.now());
        self.runs.clone()
    }

    /// Takes a call. `None` when there is no answer.
    pub fn take(&mut self, request: PlatformRequest) -> Option<PlatformReply> {
        if self.fault == WorkerFault::Silent {
            return None;
        }
        let now = self.now();
        self.settle(now);
        let reply = if request.agent < self.agent {
            refused("an earlier life of the agent")
        } else {
            self.agent = request.agent;
            self.perform(now, request.call)
        };
        (self.fault != WorkerFault::LosesAnswers).then_some(reply)
    }

    fn perform(&mut self, now: PlatformInstant, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::List => PlatformReply::Listing(Box::new(self.listing(now))),
            PlatformCall::Renew { lease } => self.renew(lease),
            PlatformCall::Run { assignment, throttle, lease } => {
                self.start(now, *assignment, throttle, lease)
            }
            PlatformCall::Checkpoint { id } => self.checkpoint(&id),
            PlatformCall::Throttle { id, throttle } => self.throttle(&id, throttle),
            PlatformCall::Stop { id } => self.stop(now, &id),
            PlatformCall::Forget { id } => {
                if self.tasks.get(&id).is_some_and(|task| !task.runs()) {
                    self.tasks.shift_remove(&id);
                }
                PlatformReply::Done
            }
        }
    }

    fn now(&self) -> PlatformInstant {
        PlatformInstant::default().after(self.settings.clock.monotonic())
    }

    /// Lets the tasks make progress up to `now`, and ends those that are done or whose lease has
    /// ended.
    fn settle(&mut self, now: PlatformInstant) {
        for task in self.tasks.values_mut().filter(|task| task.runs()) {
            let done = task.time_left().map(|left| task.settled.after(left));
            let end = done.filter(|done| *done <= self.lease_until);
            let (end, state) = match end {
                Some(done) if task.payload.fails => (done, failed()),
                Some(done) => (done, PlatformState::Finished),
                None => (self.lease_until, PlatformState::Stopped),
            };
            if end <= now {
                task.state = state;
                self.runs[task.run].ended = Some(end.max(task.settled));
                continue;
            }
            let elapsed = now.since(task.settled);
            task.progress += elapsed * u32::from(task.throttle.0) / FULL_PERCENT as u32;
            task.settled = now;
        }
    }

    fn renew(&mut self, lease: PlatformLease) -> PlatformReply {
        if lease.life != self.life {
            return refused("another life of the platform");
        }
        self.lease_until = self.lease_until.max(lease.until);
        PlatformReply::Done
    }

    fn start(
        &mut self,
        now: PlatformInstant,
        assignment: TaskAssignment,
        throttle: ThrottleLevel,
        lease: PlatformLease,
    ) -> PlatformReply {
        let id = AttemptId { task: assignment.task.clone(), attempt: assignment.attempt };
        if let Some(task) = self.tasks.get(&id) {
            return if task.runs() {
                PlatformReply::Done
            } else {
                refused("the attempt has ended")
            };
        }
        if self.fenced.get(&id.task).is_some_and(|fenced| id.attempt <= *fenced) {
            return refused("the attempt was stopped");
        }
        let other =
            |(other, task): (&AttemptId, &PretendedTask)| other.task == id.task && task.runs();
        if self.tasks.iter().any(other) {
            return refused("another attempt runs");
        }
        if let PlatformReply::Refused { detail } = self.renew(lease) {
            return PlatformReply::Refused { detail };
        }
        let mut payload = TaskPayload::parse(&assignment.payload);
        payload.fails |= self.fault == WorkerFault::FailsTasks;
        if now >= lease.until || payload.refuses || self.fault == WorkerFault::RefusesTasks {
            return refused("the task can't be started");
        }
        let progress = assignment.checkpoint.as_ref().map(progress_of).unwrap_or_default();
        self.runs.push(WorkerRun { id: id.clone(), life: self.life, started: now, ended: None });
        let task = PretendedTask {
            assignment,
            payload,
            throttle,
            state: PlatformState::Running,
            progress,
            settled: now,
            run: self.runs.len() - 1,
        };
        self.tasks.insert(id, task);
        PlatformReply::Done
    }

    fn checkpoint(&self, id: &AttemptId) -> PlatformReply {
        let Some(task) = self.tasks.get(id).filter(|task| task.runs()) else {
            return refused("the attempt does not run");
        };
        PlatformReply::Checkpointed { checkpoint: checkpoint_at(id, task.progress) }
    }

    fn throttle(&mut self, id: &AttemptId, throttle: ThrottleLevel) -> PlatformReply {
        let Some(task) = self.tasks.get_mut(id).filter(|task| task.runs()) else {
            return refused("the attempt does not run");
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
        if task.runs() {
            task.state = PlatformState::Stopped;
            self.runs[task.run].ended = Some(now);
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

    /// The measurement that has become known by `now`, which is that of a while ago.
    fn usage(&self, now: PlatformInstant) -> Option<PlatformUsage> {
        let lag = self.settings.usage_lag.as_millis() as u64;
        let interval = self.settings.usage_interval.as_millis().max(1) as u64;
        let taken = PlatformInstant(now.0.checked_sub(lag)? / interval * interval);
        let ran = self.tasks.iter().filter(|(_, task)| {
            let run = &self.runs[task.run];
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

fn failed() -> PlatformState {
    PlatformState::Failed { detail: "the payload says so".to_owned() }
}

/// A checkpoint's name holds all that there is to it, so that any stand-in worker can resume it.
fn checkpoint_at(id: &AttemptId, progress: Duration) -> CheckpointId {
    let name = format!("p{}:{}", progress.as_millis(), id.attempt);
    CheckpointId::new(&name).expect("the name is short and plain")
}

fn progress_of(checkpoint: &CheckpointId) -> Duration {
    let text = checkpoint.as_str().strip_prefix('p').and_then(|text| text.split_once(':'));
    let millis = text.and_then(|(millis, _)| millis.parse().ok()).unwrap_or_default();
    Duration::from_millis(millis)
}
