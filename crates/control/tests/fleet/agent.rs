//! A fake worker and agent, as slow and unhelpful as the protocol allows. Its clock runs as slowly
//! as the declared drift permits, and it stops its tasks at the last moment of its lease.

use {
    base::{
        AttemptNumber, CheckpointId, IncarnationNumber, ReplicaId, ResourceVector, TaskId, WorkerId,
    },
    proto::messages::{
        AgentHeartbeat, AttemptReport, AttemptState, CommandCursor, EndpointAnnouncement,
        HeartbeatReply, LeaseRenewal, TaskAssignment, TaskCommand, WorkerAnnouncement,
    },
    std::{collections::BTreeMap, time::Duration},
};

const DRIFT_PERMILLE: u32 = 10;
pub const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
const ANSWER_WITHIN: Duration = Duration::from_secs(2);

/// An action of an agent, for the witness and the scenario's output.
#[derive(Debug, Clone)]
pub enum AgentAction {
    Started(Box<TaskAssignment>),
    Stopped(TaskId, AttemptNumber, &'static str),
}

#[derive(Debug, Clone)]
struct FakeAttempt {
    assignment: TaskAssignment,
    /// `None` while the attempt is starting, which a report can't name.
    state: Option<AttemptState>,
    starts_at: Duration,
    reported_running: bool,
}

impl FakeAttempt {
    fn runs(&self) -> bool {
        self.state == Some(AttemptState::Running)
    }
}

#[derive(Debug)]
pub struct FakeAgent {
    pub worker: WorkerId,
    pub announcement: WorkerAnnouncement,
    pub endpoints: Vec<EndpointAnnouncement>,
    pub incarnation: IncarnationNumber,
    pub target: ReplicaId,
    pub replicas: Vec<ReplicaId>,
    /// Ignores requests to stop until the lease ends.
    pub ignores_stops: bool,
    /// Lets tasks run on after the lease has ended.
    pub overstays: bool,
    /// Confirms a stop but lets the task run on.
    pub confirms_early: bool,
    /// Fails every task that it starts.
    pub failing: bool,
    /// How long a start takes.
    pub start_delay: Duration,
    pub sequence: u64,
    cursor: CommandCursor,
    lease_until: Duration,
    report_all: bool,
    in_flight: Option<(u64, Duration, CommandCursor)>,
    next_at: Duration,
    attempts: BTreeMap<(TaskId, AttemptNumber), FakeAttempt>,
}

impl FakeAgent {
    pub fn new(
        worker: WorkerId,
        announcement: WorkerAnnouncement,
        replicas: Vec<ReplicaId>,
    ) -> Self {
        Self {
            worker,
            announcement,
            endpoints: Vec::new(),
            incarnation: IncarnationNumber(1),
            target: replicas[0],
            replicas,
            ignores_stops: false,
            overstays: false,
            confirms_early: false,
            failing: false,
            start_delay: Duration::ZERO,
            sequence: 0,
            cursor: CommandCursor::default(),
            lease_until: Duration::ZERO,
            report_all: true,
            in_flight: None,
            next_at: Duration::ZERO,
            attempts: BTreeMap::new(),
        }
    }

    /// Starts a new incarnation. Tasks run on, unless the machine rebooted too.
    pub fn restart(&mut self, machine: bool) -> Vec<AgentAction> {
        self.incarnation = self.incarnation.next();
        self.cursor = CommandCursor::default();
        self.report_all = true;
        self.in_flight = None;
        let mut actions = Vec::new();
        if machine {
            for ((task, attempt), fake) in std::mem::take(&mut self.attempts) {
                if fake.runs() {
                    actions.push(AgentAction::Stopped(task, attempt, "machine down"));
                }
            }
        }
        self.attempts.retain(|_, fake| fake.state.is_some());
        actions
    }

    pub fn running(&self) -> Vec<(TaskId, AttemptNumber)> {
        let running = self.attempts.iter().filter(|(_, fake)| fake.runs());
        running.map(|(id, _)| id.clone()).collect()
    }

    pub fn in_use(&self) -> ResourceVector {
        let running = self.attempts.values().filter(|fake| fake.runs());
        running.map(|fake| fake.assignment.reserved).sum()
    }

    /// Ends a running task by itself.
    pub fn end(&mut self, task: &TaskId, state: AttemptState) -> Vec<AgentAction> {
        let found = self.attempts.iter_mut().find(|((id, _), fake)| id == task && fake.runs());
        let Some(((task, attempt), fake)) = found else { return Vec::new() };
        fake.state = Some(state);
        vec![AgentAction::Stopped(task.clone(), *attempt, "ended")]
    }

    /// Advances the clock: starts complete, and the lease may end.
    pub fn advance(&mut self, now: Duration) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        if now >= self.lease_until && !self.overstays {
            for ((task, attempt), fake) in &mut self.attempts {
                if fake.runs() {
                    actions.push(AgentAction::Stopped(task.clone(), *attempt, "lease ended"));
                }
                if fake.runs() || fake.state.is_none() {
                    fake.state = Some(AttemptState::Stopped { checkpoint: None });
                }
            }
        }
        for fake in self.attempts.values_mut() {
            if fake.state.is_none() && now >= fake.starts_at {
                fake.state = Some(AttemptState::Running);
                actions.push(AgentAction::Started(Box::new(fake.assignment.clone())));
                if self.failing {
                    fake.state = Some(AttemptState::Failed { detail: "it always fails".into() });
                    let task = fake.assignment.task.clone();
                    let attempt = fake.assignment.attempt;
                    actions.push(AgentAction::Stopped(task, attempt, "failed"));
                }
            }
        }
        actions
    }

    /// Returns the next heartbeat if it is due.
    pub fn next_heartbeat(&mut self, now: Duration) -> Option<AgentHeartbeat> {
        if let Some((_, sent, _)) = self.in_flight {
            if now < sent + ANSWER_WITHIN {
                return None;
            }
            self.in_flight = None;
            self.switch_target(now);
        }
        if now < self.next_at {
            return None;
        }
        self.next_at = now + HEARTBEAT_EVERY;
        self.sequence += 1;
        self.in_flight = Some((self.sequence, now, self.cursor));
        Some(AgentHeartbeat {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            announcement: self.report_all.then(|| self.announcement.clone()),
            endpoints: self.report_all.then(|| self.endpoints.clone()),
            cursor: self.cursor,
            reports_complete: self.report_all,
            reports: self.reports(),
            usage: None,
        })
    }

    /// Repeats the announcement and all reports in the next heartbeat.
    pub fn announce_again(&mut self) {
        self.report_all = true;
    }

    fn reports(&self) -> Vec<AttemptReport> {
        let due = |fake: &FakeAttempt| self.report_all || !fake.reported_running || !fake.runs();
        let due = self.attempts.iter().filter(|(_, fake)| due(fake));
        due.filter_map(|((task, attempt), fake)| {
            let state = fake.state.clone()?;
            Some(AttemptReport { task: task.clone(), attempt: *attempt, state })
        })
        .collect()
    }

    fn switch_target(&mut self, now: Duration) {
        let place = self.replicas.iter().position(|replica| *replica == self.target);
        let next = place.map_or(0, |place| (place + 1) % self.replicas.len());
        self.target = self.replicas[next];
        self.next_at = now + Duration::from_millis(200);
    }

    /// Handles the reply to a heartbeat.
    pub fn answered(
        &mut self,
        now: Duration,
        sequence: u64,
        reply: HeartbeatReply,
    ) -> Vec<AgentAction> {
        let Some((_, sent, cursor)) = self.in_flight.take_if(|(number, ..)| *number == sequence)
        else {
            return Vec::new();
        };
        match reply {
            HeartbeatReply::NotLeader { leader: Some((leader, _)) } if leader != self.target => {
                self.target = leader;
                self.next_at = now;
                Vec::new()
            }
            HeartbeatReply::NotLeader { .. } => {
                self.switch_target(now);
                Vec::new()
            }
            HeartbeatReply::Superseded { .. } => Vec::new(),
            HeartbeatReply::Renewed(renewal) => self.renewed(now, sent, cursor, *renewal),
        }
    }

    fn renewed(
        &mut self,
        now: Duration,
        sent: Duration,
        cursor: CommandCursor,
        renewal: LeaseRenewal,
    ) -> Vec<AgentAction> {
        let until = sent + renewal.lease + renewal.lease * DRIFT_PERMILLE / 1000;
        self.lease_until = self.lease_until.max(until);
        self.report_all = renewal.report_all;
        for fake in self.attempts.values_mut() {
            fake.reported_running |= fake.runs();
        }
        for id in renewal.acknowledged {
            let running = |fake: &FakeAttempt| fake.state.is_none() || fake.runs();
            if self.attempts.get(&id).is_some_and(|fake| !running(fake)) {
                self.attempts.remove(&id);
            }
        }
        if !renewal.commands_complete && cursor != self.cursor {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if renewal.commands_complete {
            let named = |(task, attempt): &(TaskId, AttemptNumber)| {
                renewal.commands.iter().any(|command| match command {
                    TaskCommand::Run { assignment, .. } => {
                        assignment.task == *task && assignment.attempt == *attempt
                    }
                    TaskCommand::Evict { task: t, attempt: a }
                    | TaskCommand::Stop { task: t, attempt: a } => t == task && a == attempt,
                })
            };
            let stray: Vec<_> = self.attempts.keys().filter(|id| !named(id)).cloned().collect();
            stray.iter().for_each(|id| actions.extend(self.stop(id, false)));
        }
        for command in renewal.commands {
            match command {
                TaskCommand::Run { assignment, .. } => self.run(now, assignment),
                TaskCommand::Evict { task, attempt } => {
                    actions.extend(self.stop(&(task, attempt), true));
                }
                TaskCommand::Stop { task, attempt } => {
                    actions.extend(self.stop(&(task, attempt), false));
                }
            }
        }
        self.cursor = renewal.cursor;
        actions
    }

    fn run(&mut self, now: Duration, assignment: TaskAssignment) {
        if now >= self.lease_until {
            return;
        }
        let id = (assignment.task.clone(), assignment.attempt);
        let starts_at = now + self.start_delay;
        let fake = FakeAttempt { assignment, state: None, starts_at, reported_running: false };
        self.attempts.entry(id).or_insert(fake);
    }

    fn stop(&mut self, id: &(TaskId, AttemptNumber), checkpoint: bool) -> Vec<AgentAction> {
        if self.ignores_stops {
            return Vec::new();
        }
        let Some(fake) = self.attempts.get_mut(id) else { return Vec::new() };
        let name = format!("{}-{}", id.0, id.1);
        match &fake.state {
            None => {
                fake.state = Some(AttemptState::Stopped { checkpoint: None });
                Vec::new()
            }
            Some(AttemptState::Running) => {
                let checkpoint = checkpoint.then(|| CheckpointId::new(&name).expect("a name"));
                fake.state = Some(AttemptState::Stopped { checkpoint });
                if self.confirms_early {
                    return Vec::new();
                }
                vec![AgentAction::Stopped(id.0.clone(), id.1, "as told")]
            }
            Some(_) => Vec::new(),
        }
    }
}
