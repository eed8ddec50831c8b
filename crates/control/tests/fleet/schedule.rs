//! Seeded fault schedules: faults occur at any moment, alone and together, while operators, entries
//! and agents continue. The witness checks after every step. At the end all faults are healed, and
//! the fleet has to become idle.

use {
    super::{
        calls::{apply, claim, close, job, submit},
        Breakage, Fleet, NetworkFaults,
    },
    base::{JobId, ReplicaId, SeededRandom, TaskId, WorkerId},
    control::node::{NodeReply, OperatorAnswer, OperatorCall},
    proto::messages::{
        operator::{ApplyReply, SubmitReply},
        AttemptState, ClaimReply,
    },
    std::{collections::BTreeMap, time::Duration},
};

const REPLICAS: u64 = 3;
const WORKERS: usize = 3;
const STEPS: usize = 150;
const STEP_SPAN: Duration = Duration::from_millis(400);
/// Longer than a lease, an election and a heartbeat together.
const QUIESCE_SPAN: Duration = Duration::from_secs(60);

/// The outcome of a schedule.
#[derive(Debug, Default)]
pub struct ScheduleReport {
    pub violations: Vec<String>,
    pub faults: u32,
    pub lines: Vec<String>,
}

struct Schedule {
    fleet: Fleet,
    random: SeededRandom,
    jobs: Vec<JobId>,
    numbers: u64,
    faults: u32,
    /// Submissions by name, for resends.
    submissions: BTreeMap<String, OperatorCall>,
    claims: BTreeMap<String, proto::messages::LedgerClaim>,
    holders: BTreeMap<String, String>,
}

/// Runs the schedule of a seed.
pub fn run(seed: u64, breakage: Option<Breakage>) -> ScheduleReport {
    let mut schedule = Schedule::new(seed);
    schedule.fleet.breakage = breakage;
    for agent in schedule.fleet.agents.values_mut() {
        agent.overstays = breakage == Some(Breakage::LeaseOverstayed);
        agent.confirms_early = breakage == Some(Breakage::StopConfirmedEarly);
    }
    for _ in 0..STEPS {
        schedule.step();
        if !schedule.fleet.witness.violations.is_empty() {
            return schedule.report();
        }
    }
    schedule.quiesce();
    schedule.report()
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom::new(seed);
        let mut fleet = Fleet::new(REPLICAS, seed);
        fleet.faults = NetworkFaults {
            delay: Duration::from_millis(random.below(300) as u64),
            loss: 0.05 * random.unit(),
            repeat: 0.05 * random.unit(),
            disk_delay: Duration::from_millis(random.below(100) as u64),
        };
        fleet.snapshot_every = 10 + random.below(100) as u64;
        fleet.start_all();
        for number in 0..WORKERS {
            let worker = worker(number);
            fleet.add_worker(worker.clone(), &format!("r{number}"), 4000);
            let agent = fleet.agents.get_mut(&worker).expect("just added");
            agent.start_delay = Duration::from_millis(random.below(2500) as u64);
        }
        Self {
            fleet,
            random,
            jobs: Vec::new(),
            numbers: 0,
            faults: 0,
            submissions: BTreeMap::new(),
            claims: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    fn report(mut self) -> ScheduleReport {
        ScheduleReport {
            violations: std::mem::take(&mut self.fleet.witness.violations),
            faults: self.faults,
            lines: std::mem::take(&mut self.fleet.lines),
        }
    }

    fn note(&mut self, text: String) {
        self.faults += 1;
        let line = format!("{:>7.2}s -- {text}", self.fleet.now.as_secs_f64());
        self.fleet.lines.push(line);
    }

    fn step(&mut self) {
        match self.random.below(22) {
            0 | 1 => self.submit_job(),
            2 => self.cancel_job(),
            3 => self.drain(),
            4 | 5 => self.end_task(),
            6 => self.crash(),
            7 | 8 => self.start_replica(),
            9 => self.cut(),
            10 | 11 => self.heal(),
            12 => self.change_agent(),
            13 => self.apply(),
            14 => self.resend(),
            15 | 16 => self.claim(),
            17 => self.close(),
            18 => self.fill_disk(),
            19 => self.read_job(),
            _ => {}
        }
        self.fleet.advance(STEP_SPAN);
        self.judge_replies();
    }

    fn some_replica(&mut self) -> ReplicaId {
        match self.fleet.leader() {
            Some(leader) if self.random.chance(0.7) => leader,
            _ => ReplicaId(1 + self.random.below(REPLICAS as usize) as u64),
        }
    }

    fn some_worker(&mut self) -> WorkerId {
        worker(self.random.below(WORKERS))
    }

    fn operate(&mut self, name: &str, call: OperatorCall) {
        let at = self.some_replica();
        self.fleet.operate(at, name, call);
    }

    fn submit_job(&mut self) {
        self.numbers += 1;
        let name = format!("j{}", self.numbers);
        let tasks = 1 + self.random.below(3) as u32;
        let cpu = 500 + 500 * self.random.below(5) as u64;
        self.jobs.push(JobId::new(&name).expect("a name"));
        let call = submit(&format!("s-{name}"), job(&name, tasks, cpu));
        self.submissions.insert(format!("s-{name}"), call.clone());
        self.operate(&format!("s-{name}"), call);
    }

    fn cancel_job(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[self.random.below(self.jobs.len())].clone();
        self.operate("cancel", OperatorCall::Cancel(job));
    }

    fn read_job(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[self.random.below(self.jobs.len())].clone();
        self.operate("read", OperatorCall::Job(job));
    }

    fn drain(&mut self) {
        let call =
            OperatorCall::Drain { worker: self.some_worker(), draining: self.random.chance(0.4) };
        self.operate("drain", call);
    }

    fn end_task(&mut self) {
        let worker = self.some_worker();
        let agent = self.fleet.agents.get_mut(&worker).expect("an agent");
        let running = agent.running();
        if running.is_empty() {
            return;
        }
        let task: TaskId = running[self.random.below(running.len())].0.clone();
        let state = match self.random.chance(0.7) {
            true => AttemptState::Finished,
            false => AttemptState::Failed { detail: "exit 1".to_owned() },
        };
        let agent = self.fleet.agents.get_mut(&worker).expect("an agent");
        let actions = agent.end(&task, state);
        self.fleet.note_actions(&worker, actions);
    }

    fn crash(&mut self) {
        let replica = self.some_replica();
        let written = self.random.chance(0.5);
        self.note(format!("crash {replica}"));
        self.fleet.crash(replica, written);
    }

    fn start_replica(&mut self) {
        for id in 1..=REPLICAS {
            let replica = ReplicaId(id);
            if self.fleet.node(replica).is_none() {
                self.note(format!("start {replica}"));
                return self.fleet.start(replica);
            }
        }
    }

    fn places(&self) -> Vec<String> {
        let replicas = (1..=REPLICAS).map(|id| id.to_string());
        replicas.chain((0..WORKERS).map(|number| worker(number).to_string())).collect()
    }

    /// Cuts off one node entirely, towards one other node or in one direction.
    fn cut(&mut self) {
        let places = self.places();
        let one = places[self.random.below(places.len())].clone();
        let whole = self.random.chance(0.5);
        let only = places[self.random.below(places.len())].clone();
        let (out, back) = match self.random.below(4) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        self.note(format!("cut {one} whole={whole} from {only} out={out} in={back}"));
        for other in places.into_iter().filter(|other| whole || *other == only) {
            if out {
                self.fleet.cuts.insert((one.clone(), other.clone()));
            }
            if back {
                self.fleet.cuts.insert((other, one.clone()));
            }
        }
    }

    /// Heals the cuts between replicas, and less often those of workers, which have to outlast a
    /// lease now and then.
    fn heal(&mut self) {
        let all = self.random.chance(0.2);
        self.note(format!("heal all={all}"));
        let is_worker = |place: &String| place.starts_with('w');
        self.fleet.cuts.retain(|(from, to)| !all && (is_worker(from) || is_worker(to)));
    }

    fn change_agent(&mut self) {
        let name = self.some_worker();
        let choice = self.random.below(4);
        self.note(format!("agent {name} choice {choice}"));
        let agent = self.fleet.agents.get_mut(&name).expect("an agent");
        let actions = match choice {
            0 => agent.restart(false),
            1 => agent.restart(true),
            2 => {
                agent.ignores_stops = !agent.ignores_stops;
                Vec::new()
            }
            _ => {
                agent.announce_again();
                Vec::new()
            }
        };
        self.fleet.note_actions(&name, actions);
    }

    fn apply(&mut self) {
        self.numbers += 1;
        let name = format!("a-{}", self.numbers);
        let base = self.fleet.leader().and_then(|leader| self.fleet.node(leader));
        let base = base.map_or(0, |node| node.state().declarations().revision().0);
        let base = base.saturating_sub(u64::from(self.random.chance(0.3)));
        let length = 4 + self.random.below(8);
        let call = apply(&name, base, &format!("[defaults.lease]\nlength = \"{length}s\"\n"));
        self.submissions.insert(name.clone(), call.clone());
        self.operate(&name, call);
    }

    /// Resends a submission to any replica, as operators do after a lost reply.
    fn resend(&mut self) {
        if self.submissions.is_empty() {
            return;
        }
        let place = self.random.below(self.submissions.len());
        let found = self.submissions.iter().nth(place);
        let Some((name, call)) = found.map(|(name, call)| (name.clone(), call.clone())) else {
            return;
        };
        self.operate(&name, call);
    }

    fn claim(&mut self) {
        let key = format!("k{}", self.random.below(4));
        self.numbers += 1;
        let by = format!("d{}", self.numbers);
        let holder = self.holders.get(&key).cloned().filter(|_| self.random.chance(0.5));
        let claiming = claim(&key, 1, &by, holder.as_deref());
        let name = format!("c-{by}");
        self.claims.insert(name.clone(), claiming.clone());
        self.fleet.witness.claimed(&claiming.target.dispatch, claiming.replaces.as_ref());
        let at = self.some_replica();
        self.fleet.claim_key(at, &name, claiming);
    }

    fn close(&mut self) {
        let key = format!("k{}", self.random.below(4));
        let Some(by) = self.holders.get(&key).cloned() else { return };
        let end = ["not-run", "lost", "answer"][self.random.below(3)];
        self.numbers += 1;
        let name = format!("x-{}", self.numbers);
        let closing = close(&key, &by, end);
        if end == "not-run" {
            self.fleet.witness.freed(&closing.key);
        }
        let at = self.some_replica();
        self.fleet.close_key(at, &name, closing);
    }

    fn fill_disk(&mut self) {
        let replica = self.some_replica();
        let full = self.random.chance(0.5);
        self.note(format!("disk of {replica} full={full}"));
        if let Some(found) = self.fleet.replicas.get_mut(&replica) {
            found.disk_full = full;
        }
    }

    fn judge_replies(&mut self) {
        for (name, reply) in std::mem::take(&mut self.fleet.replies) {
            match reply {
                NodeReply::Operator(answer) => self.judge_operator(&name, &answer),
                NodeReply::Claim(ClaimReply::Granted) => self.judge_grant(&name),
                NodeReply::Claim(ClaimReply::Claimed(target)) => {
                    if let Some(claiming) = self.claims.get(&name) {
                        let key = claiming.key.text.clone();
                        self.holders.insert(key, format!("{}.{}", target.dispatch.request, 0));
                    }
                }
                _ => {}
            }
        }
    }

    fn judge_operator(&mut self, name: &str, answer: &OperatorAnswer) {
        match answer {
            OperatorAnswer::Applied(ApplyReply::Accepted { revision }) => {
                let first = !self.holders.contains_key(&format!("accepted {name}"));
                self.holders.insert(format!("accepted {name}"), revision.to_string());
                self.fleet.witness.accepted(*revision, false);
                let same = self.holders.get(&format!("revision {revision}"));
                let other = same.is_some_and(|other| other != name);
                if other && first {
                    let text = format!("revision {revision} was accepted for {name} and {same:?}");
                    self.fleet.witness.violations.push(text);
                }
                self.holders.insert(format!("revision {revision}"), name.to_owned());
            }
            OperatorAnswer::Submitted(SubmitReply::Accepted { .. }) => {}
            _ => {}
        }
        if self.submissions.contains_key(name) {
            self.fleet.judge_submission(name, answer);
        }
        self.fleet.judge_answer(answer);
    }

    fn judge_grant(&mut self, name: &str) {
        let Some(claiming) = self.claims.get(name).cloned() else { return };
        let by = &claiming.target.dispatch;
        self.fleet.witness.granted(&claiming.key, by, claiming.replaces.as_ref());
        self.holders.insert(claiming.key.text.clone(), format!("{}.{}", by.request, by.number));
    }

    /// Heals all faults and checks that the fleet becomes idle: a leader exists, no reservation is
    /// left once all jobs are cancelled, and the accepted revision is in force everywhere.
    fn quiesce(&mut self) {
        self.note("rest".to_owned());
        self.fleet.cuts.clear();
        self.fleet.faults = NetworkFaults::default();
        for replica in self.fleet.replicas.values_mut() {
            replica.disk_full = false;
        }
        for _ in 0..REPLICAS {
            self.start_replica();
        }
        for agent in self.fleet.agents.values_mut() {
            agent.ignores_stops = false;
        }
        self.fleet.advance(QUIESCE_SPAN);
        self.judge_replies();
        let Some(leader) = self.fleet.leader() else {
            return self.fleet.witness.violations.push("nobody leads at rest".to_owned());
        };
        for job in self.jobs.clone() {
            self.fleet.operate(leader, "cancel", OperatorCall::Cancel(job));
        }
        self.fleet.advance(QUIESCE_SPAN);
        self.fleet.operate(leader, "status", OperatorCall::Status);
        self.fleet.advance(Duration::from_secs(1));
        let Some(NodeReply::Operator(OperatorAnswer::Status(status))) =
            self.fleet.replies.remove("status")
        else {
            return self.fleet.witness.violations.push("no status at rest".to_owned());
        };
        let revision = status.revision;
        for worker in status.workers.iter().filter(|worker| worker.tasks > 0) {
            let text = format!("{} still holds {} tasks", worker.worker, worker.tasks);
            self.fleet.witness.violations.push(text);
        }
        for agent in self.fleet.agents.values().filter(|agent| !agent.running().is_empty()) {
            let text = format!("{} still runs {:?}", agent.worker, agent.running());
            self.fleet.witness.violations.push(text);
        }
        for id in 1..=REPLICAS {
            let node = self.fleet.node(ReplicaId(id));
            let here = node.map(|node| node.state().declarations().revision());
            if here != Some(revision) {
                let text = format!("replica {id} has {here:?} in force, not {revision}");
                self.fleet.witness.violations.push(text);
            }
        }
        self.fleet.witness.read_revision(revision);
    }
}

fn worker(number: usize) -> WorkerId {
    WorkerId::new(&format!("w{number}")).expect("a name")
}
