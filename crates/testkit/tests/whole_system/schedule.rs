//! A seeded schedule of work and faults, and the demands once everything is healed.

use {
    crate::{
        breakage::Breakage,
        callers::Callers,
        network::{Call, NetworkFaults, Purpose},
        places::{Place, AGENTS, REPLICAS},
        world::World,
    },
    base::{ByteSize, CpuMillis, JobId, ResourceVector, RevisionNumber},
    control::node::{NodeReply, OperatorAnswer, OperatorCall},
    proto::messages::{
        operator::{ApplyReply, ApplyRequest, SubmitRequest, TaskPhase},
        DeclarationFile, JobSpec, PlacementRule, PriorityClass,
    },
    std::{collections::BTreeMap, time::Duration},
};

const ACTIONS: usize = 80;
const REST: Duration = Duration::from_secs(40);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
const TEAM: &str = "[teams.t]\nquota = { cpu = \"64\", memory = \"64GB\" }\n\
                    [services.s]\nteam = \"t\"\n";

/// What a schedule did and what was wrong.
#[derive(Debug, Default)]
pub struct ScheduleReport {
    pub script: Vec<String>,
    pub violations: Vec<String>,
    pub actions: usize,
    pub faults: usize,
    pub answered: u32,
    pub not_run: u32,
    pub unknown: u32,
    pub finished: u32,
}

impl ScheduleReport {
    pub fn add(&mut self, other: &Self) {
        self.actions += other.actions;
        self.faults += other.faults;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.finished += other.finished;
    }

    pub fn summary(&self) -> String {
        format!(
            "{} actions, {} faults; callers were told {} answers, {} not-run, {} unknown; {} tasks \
             finished",
            self.actions, self.faults, self.answered, self.not_run, self.unknown, self.finished
        )
    }
}

/// Runs the schedule of a seed.
pub fn run(seed: u64, breakage: Option<Breakage>) -> ScheduleReport {
    let mut schedule = FaultSchedule {
        world: World::new(seed, breakage),
        callers: Callers::default(),
        report: ScheduleReport::default(),
        numbers: 0,
        jobs: Vec::new(),
        applies: BTreeMap::new(),
        accepted: RevisionNumber(0),
    };
    schedule.play();
    let World { witness, .. } = schedule.world;
    ScheduleReport {
        violations: witness.violations,
        answered: witness.answered,
        not_run: witness.not_run,
        unknown: witness.unknown,
        ..schedule.report
    }
}

struct FaultSchedule {
    world: World,
    callers: Callers,
    report: ScheduleReport,
    numbers: u64,
    jobs: Vec<JobId>,
    applies: BTreeMap<String, ApplyRequest>,
    accepted: RevisionNumber,
}

impl FaultSchedule {
    fn play(&mut self) {
        self.world.network.faults.delay = Duration::from_millis(30);
        self.world.advance(Duration::from_secs(4));
        self.apply();
        self.world.advance(Duration::from_secs(3));
        for _ in 0..ACTIONS {
            self.act();
            let pause = self.world.random.below(600) as u64;
            self.world.advance(Duration::from_millis(pause));
            self.judge_replies();
            if !self.world.witness.violations.is_empty() {
                return;
            }
        }
        self.rest();
    }

    fn note(&mut self, text: String) {
        let at = self.world.now.as_secs_f64();
        self.report.script.push(format!("{at:>7.2}s {text}"));
    }

    fn act(&mut self) {
        self.report.actions += 1;
        let choice = self.world.random.below(100);
        match choice {
            0..=39 => (0..1 + self.world.random.below(6)).for_each(|_| {
                self.callers.send(&mut self.world);
            }),
            40..=49 => self.submit(),
            50..=53 => self.cancel(),
            54..=58 => self.apply(),
            59..=61 => self.resend_apply(),
            _ => {
                self.report.faults += 1;
                self.fault(choice);
            }
        }
    }

    fn fault(&mut self, choice: usize) {
        match choice {
            62..=69 => self.crash(),
            70..=79 => self.restart(),
            80..=86 => self.cut(),
            87..=90 => self.heal(),
            91..=94 => self.disturb(),
            95..=96 => {
                let agent = self.some_agent();
                self.note(format!("the platform of agent {agent} restarts"));
                self.world.restart_platform(agent);
            }
            _ => {
                let agent = self.some_agent();
                self.note(format!("agent {agent} drains"));
                self.world.drain(agent);
            }
        }
    }

    fn some_agent(&mut self) -> u16 {
        1 + self.world.random.below(AGENTS.into()) as u16
    }

    fn some_place(&mut self) -> Place {
        let places: Vec<_> = Place::all().collect();
        places[self.world.random.below(places.len())]
    }

    fn crash(&mut self) {
        let place = self.some_place();
        let written = self.world.random.chance(0.5);
        self.note(format!("{place} dies, written={written}"));
        self.world.crash(place, written);
    }

    fn restart(&mut self) {
        let stopped = Place::all().find(|place| !self.world.runs(*place));
        let place = match stopped {
            Some(place) => place,
            None => self.some_place(),
        };
        self.note(format!("{place} starts"));
        self.world.crash(place, true);
        self.world.start(place);
    }

    /// Cuts one place off, wholly or towards one other, in one or both directions.
    fn cut(&mut self) {
        let one = self.some_place();
        let other = self.some_place();
        let whole = self.world.random.chance(0.4);
        let (out, back) = [(true, false), (false, true), (true, true)][self.world.random.below(3)];
        self.note(format!("cut {one}, whole={whole}, else {other}, out={out}, in={back}"));
        for place in Place::all().filter(|place| whole || *place == other) {
            if out {
                self.world.network.cuts.insert((one, place));
            }
            if back {
                self.world.network.cuts.insert((place, one));
            }
        }
    }

    fn heal(&mut self) {
        self.note("heal".to_owned());
        self.world.network.cuts.clear();
    }

    fn disturb(&mut self) {
        let faults = NetworkFaults {
            delay: Duration::from_millis(10 + self.world.random.below(300) as u64),
            loss: self.world.random.unit() * 0.2,
            repeat: self.world.random.unit() * 0.2,
        };
        self.note(format!("{faults:?}"));
        self.world.network.faults = faults;
    }

    fn operate(&mut self, name: &str, call: OperatorCall) {
        let at = Place::Control(1 + self.world.random.below(REPLICAS.into()) as u16).address();
        let purpose = Purpose::Operator(name.to_owned());
        self.world.call(Place::Operator, at, OPERATOR_TIMEOUT, purpose, Call::Operator(call));
    }

    /// Sends a call to every replica, for whoever leads.
    fn operate_all(&mut self, name: &str, call: &OperatorCall) {
        for number in 1..=REPLICAS {
            let purpose = Purpose::Operator(name.to_owned());
            let at = Place::Control(number).address();
            let call = Call::Operator(call.clone());
            self.world.call(Place::Operator, at, OPERATOR_TIMEOUT, purpose, call);
        }
    }

    fn submit(&mut self) {
        self.numbers += 1;
        let id: JobId = format!("job-{}", self.numbers).parse().expect("a name");
        let payloads = ["run=2s", "run=8s", "endless", "fail run=1s"];
        let urgent = self.world.random.chance(0.2);
        let job = JobSpec {
            id: id.clone(),
            team: "t".parse().expect("a name"),
            class: "c".parse().expect("a name"),
            priority: if urgent { PriorityClass::Urgent } else { PriorityClass::Batch },
            tasks: 1 + self.world.random.below(3) as u32,
            resources: ResourceVector {
                cpu: CpuMillis(1000 + 1000 * self.world.random.below(2) as u64),
                memory: ByteSize(1 << 30),
                ..ResourceVector::ZERO
            },
            run_time: None,
            service: None,
            payload: payloads[self.world.random.below(payloads.len())].to_owned(),
            placement: PlacementRule::default(),
        };
        self.note(format!("submit {id}: {} x {}", job.tasks, job.payload));
        self.jobs.push(id.clone());
        let submission = format!("s-{id}").parse().expect("a name");
        self.operate_all("submit", &OperatorCall::Submit(SubmitRequest { submission, job }));
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[self.world.random.below(self.jobs.len())].clone();
        self.note(format!("cancel {job}"));
        self.operate_all("cancel", &OperatorCall::Cancel(job));
    }

    fn apply(&mut self) {
        self.numbers += 1;
        let name = format!("a-{}", self.numbers);
        let behind = u64::from(self.world.random.chance(0.2));
        let length = 5 + self.world.random.below(6);
        let text = format!("{TEAM}[defaults.lease]\nlength = \"{length}s\"\n");
        let request = ApplyRequest {
            submission: name.parse().expect("a name"),
            base: RevisionNumber(self.accepted.0.saturating_sub(behind)),
            files: vec![DeclarationFile { path: "a.toml".to_owned(), text }],
        };
        self.note(format!("apply {name} on {}", request.base));
        self.applies.insert(name.clone(), request.clone());
        self.operate_all(&name, &OperatorCall::Apply(request));
    }

    fn resend_apply(&mut self) {
        if self.applies.is_empty() {
            return;
        }
        let place = self.world.random.below(self.applies.len());
        let found = self.applies.iter().nth(place);
        let (name, request) = found.map(|(n, r)| (n.clone(), r.clone())).expect("in range");
        self.note(format!("resend {name}"));
        self.operate(&name, OperatorCall::Apply(request));
    }

    fn judge_replies(&mut self) {
        for (_, reply) in std::mem::take(&mut self.world.replies) {
            if let NodeReply::Operator(OperatorAnswer::Applied(ApplyReply::Accepted { revision })) =
                reply
            {
                self.accepted = self.accepted.max(revision);
            }
        }
    }

    /// Heals everything, and demands that what was accepted is in force everywhere, that jobs come
    /// to their ends, and that requests are answered.
    fn rest(&mut self) {
        self.note("rest".to_owned());
        self.world.network.cuts.clear();
        self.world.network.faults =
            NetworkFaults { delay: Duration::from_millis(30), ..NetworkFaults::default() };
        for place in Place::all() {
            self.world.crash(place, true);
            self.world.start(place);
        }
        self.world.advance(REST);
        self.judge_replies();
        for job in self.jobs.clone() {
            self.operate_all("cancel", &OperatorCall::Cancel(job));
        }
        self.world.advance(REST);
        self.demand_revision();
        self.demand_answers();
        self.demand_ends();
    }

    fn demand_revision(&mut self) {
        for place in Place::all() {
            let found = self.world.revision(place);
            if found < self.accepted {
                let text = format!("{place} has {found} in force at rest, not {}", self.accepted);
                self.world.witness.violations.push(text);
            }
        }
    }

    /// Executors lose one answer in twenty even at rest; repeats make up for most of these.
    fn demand_answers(&mut self) {
        const READS: u32 = 10;
        const ANSWERED: u32 = 8;
        let before = self.world.witness.answered;
        for _ in 0..READS {
            self.callers.read(&mut self.world);
            self.world.advance(Duration::from_millis(500));
        }
        self.world.advance(Duration::from_secs(4));
        let answered = self.world.witness.answered - before;
        if answered < ANSWERED {
            let text = format!("{answered} of {READS} requests are answered at rest");
            self.world.witness.violations.push(text);
        }
    }

    fn demand_ends(&mut self) {
        self.operate_all("jobs", &OperatorCall::Jobs);
        self.world.advance(Duration::from_secs(2));
        let replies = std::mem::take(&mut self.world.replies);
        let jobs = replies.into_iter().find_map(|(_, reply)| match reply {
            NodeReply::Operator(OperatorAnswer::Jobs(jobs)) => Some(jobs),
            _ => None,
        });
        let Some(jobs) = jobs else {
            return self.world.witness.violations.push("no jobs are listed at rest".to_owned());
        };
        for job in jobs {
            for (phase, count) in job.phases.iter().filter(|(_, count)| *count > 0) {
                match phase {
                    TaskPhase::Finished => self.report.finished += count,
                    TaskPhase::Failed | TaskPhase::Cancelled | TaskPhase::Parked => {}
                    open => {
                        let text = format!("{}: {count} tasks are {open:?} at rest", job.spec.id);
                        self.world.witness.violations.push(text);
                    }
                }
            }
        }
    }
}
