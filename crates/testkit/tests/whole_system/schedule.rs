//! A seeded schedule of work and faults, and the checks after the system has recovered.

use {
    crate::{
        breakage::Breakage,
        callers::Callers,
        network::{Call, NetworkFaults, Purpose},
        processes::{FleetProcess, AGENTS, REPLICAS},
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
const RECOVERY_TIME: Duration = Duration::from_secs(40);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(5);
const TEAM: &str = "[teams.t]\nquota = { cpu = \"64\", memory = \"64GB\" }\n\
                    [services.s]\nteam = \"t\"\n";

/// The actions, results and violations of a schedule.
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
            "{} actions, {} faults; callers received {} answers, {} not-run, {} unknown; {} tasks \
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
        last_number: 0,
        jobs: Vec::new(),
        applies: BTreeMap::new(),
        accepted: RevisionNumber(0),
    };
    schedule.run_actions();
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
    last_number: u64,
    jobs: Vec<JobId>,
    applies: BTreeMap<String, ApplyRequest>,
    accepted: RevisionNumber,
}

impl FaultSchedule {
    fn run_actions(&mut self) {
        self.world.network.faults.delay = Duration::from_millis(30);
        self.world.advance(Duration::from_secs(4));
        self.apply();
        self.world.advance(Duration::from_secs(3));
        for _ in 0..ACTIONS {
            self.perform_action();
            let pause = self.world.random.below(600) as u64;
            self.world.advance(Duration::from_millis(pause));
            self.collect_replies();
            if !self.world.witness.violations.is_empty() {
                return;
            }
        }
        self.check_recovery();
    }

    fn log_action(&mut self, text: String) {
        let at = self.world.now.as_secs_f64();
        self.report.script.push(format!("{at:>7.2}s {text}"));
    }

    fn perform_action(&mut self) {
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
            91..=94 => self.degrade_network(),
            95..=96 => {
                let agent = self.random_agent();
                self.log_action(format!("the platform of agent {agent} restarts"));
                self.world.restart_platform(agent);
            }
            _ => {
                let agent = self.random_agent();
                self.log_action(format!("agent {agent} drains"));
                self.world.drain(agent);
            }
        }
    }

    fn random_agent(&mut self) -> u16 {
        1 + self.world.random.below(AGENTS.into()) as u16
    }

    fn random_process(&mut self) -> FleetProcess {
        let processes: Vec<_> = FleetProcess::all().collect();
        processes[self.world.random.below(processes.len())]
    }

    fn crash(&mut self) {
        let process = self.random_process();
        let written = self.world.random.chance(0.5);
        self.log_action(format!("{process} crashes, written={written}"));
        self.world.crash(process, written);
    }

    fn restart(&mut self) {
        let stopped = FleetProcess::all().find(|process| !self.world.is_running(*process));
        let process = match stopped {
            Some(process) => process,
            None => self.random_process(),
        };
        self.log_action(format!("{process} starts"));
        self.world.crash(process, true);
        self.world.start(process);
    }

    /// Cuts one process off from all others or from one other, in one or both directions.
    fn cut(&mut self) {
        let one = self.random_process();
        let other = self.random_process();
        let whole = self.world.random.chance(0.4);
        let (out, back) = [(true, false), (false, true), (true, true)][self.world.random.below(3)];
        self.log_action(format!("cut {one}, whole={whole}, else {other}, out={out}, in={back}"));
        for process in FleetProcess::all().filter(|process| whole || *process == other) {
            if out {
                self.world.network.cuts.insert((one, process));
            }
            if back {
                self.world.network.cuts.insert((process, one));
            }
        }
    }

    fn heal(&mut self) {
        self.log_action("heal".to_owned());
        self.world.network.cuts.clear();
    }

    fn degrade_network(&mut self) {
        let faults = NetworkFaults {
            delay: Duration::from_millis(10 + self.world.random.below(300) as u64),
            loss: self.world.random.unit() * 0.2,
            repeat: self.world.random.unit() * 0.2,
        };
        self.log_action(format!("{faults:?}"));
        self.world.network.faults = faults;
    }

    fn call_operator(&mut self, name: &str, call: OperatorCall) {
        let at =
            FleetProcess::Control(1 + self.world.random.below(REPLICAS.into()) as u16).address();
        let purpose = Purpose::Operator(name.to_owned());
        self.world.call(
            FleetProcess::Operator,
            at,
            OPERATOR_TIMEOUT,
            purpose,
            Call::Operator(call),
        );
    }

    /// Sends a call to every replica, so that the leader receives it.
    fn call_operator_everywhere(&mut self, name: &str, call: &OperatorCall) {
        for number in 1..=REPLICAS {
            let purpose = Purpose::Operator(name.to_owned());
            let at = FleetProcess::Control(number).address();
            let call = Call::Operator(call.clone());
            self.world.call(FleetProcess::Operator, at, OPERATOR_TIMEOUT, purpose, call);
        }
    }

    fn submit(&mut self) {
        self.last_number += 1;
        let id: JobId = format!("job-{}", self.last_number).parse().expect("a name");
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
        self.log_action(format!("submit {id}: {} x {}", job.tasks, job.payload));
        self.jobs.push(id.clone());
        let submission = format!("s-{id}").parse().expect("a name");
        self.call_operator_everywhere(
            "submit",
            &OperatorCall::Submit(SubmitRequest { submission, job }),
        );
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[self.world.random.below(self.jobs.len())].clone();
        self.log_action(format!("cancel {job}"));
        self.call_operator_everywhere("cancel", &OperatorCall::Cancel(job));
    }

    fn apply(&mut self) {
        self.last_number += 1;
        let name = format!("a-{}", self.last_number);
        let behind = u64::from(self.world.random.chance(0.2));
        let length = 5 + self.world.random.below(6);
        let text = format!("{TEAM}[defaults.lease]\nlength = \"{length}s\"\n");
        let request = ApplyRequest {
            submission: name.parse().expect("a name"),
            base: RevisionNumber(self.accepted.0.saturating_sub(behind)),
            files: vec![DeclarationFile { path: "a.toml".to_owned(), text }],
        };
        self.log_action(format!("apply {name} on {}", request.base));
        self.applies.insert(name.clone(), request.clone());
        self.call_operator_everywhere(&name, &OperatorCall::Apply(request));
    }

    fn resend_apply(&mut self) {
        if self.applies.is_empty() {
            return;
        }
        let index = self.world.random.below(self.applies.len());
        let found = self.applies.iter().nth(index);
        let (name, request) = found.map(|(n, r)| (n.clone(), r.clone())).expect("in range");
        self.log_action(format!("resend {name}"));
        self.call_operator(&name, OperatorCall::Apply(request));
    }

    fn collect_replies(&mut self) {
        for (_, reply) in std::mem::take(&mut self.world.replies) {
            if let NodeReply::Operator(OperatorAnswer::Applied(ApplyReply::Accepted { revision })) =
                reply
            {
                self.accepted = self.accepted.max(revision);
            }
        }
    }

    /// Removes all faults, and checks that accepted declarations are in force everywhere, that all
    /// jobs end, and that requests are answered.
    fn check_recovery(&mut self) {
        self.log_action("recovery".to_owned());
        self.world.network.cuts.clear();
        self.world.network.faults =
            NetworkFaults { delay: Duration::from_millis(30), ..NetworkFaults::default() };
        for process in FleetProcess::all() {
            self.world.crash(process, true);
            self.world.start(process);
        }
        self.world.advance(RECOVERY_TIME);
        self.collect_replies();
        for job in self.jobs.clone() {
            self.call_operator_everywhere("cancel", &OperatorCall::Cancel(job));
        }
        self.world.advance(RECOVERY_TIME);
        self.check_revision();
        self.check_answers();
        self.check_ends();
    }

    fn check_revision(&mut self) {
        for process in FleetProcess::all() {
            let found = self.world.revision(process);
            if found < self.accepted {
                let text =
                    format!("{process} has {found} in force after recovery, not {}", self.accepted);
                self.world.witness.violations.push(text);
            }
        }
    }

    /// Executors lose one answer in twenty even without other faults; retries make up for most of
    /// these.
    fn check_answers(&mut self) {
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
            let text = format!("{answered} of {READS} requests are answered after recovery");
            self.world.witness.violations.push(text);
        }
    }

    fn check_ends(&mut self) {
        self.call_operator_everywhere("jobs", &OperatorCall::Jobs);
        self.world.advance(Duration::from_secs(2));
        let replies = std::mem::take(&mut self.world.replies);
        let jobs = replies.into_iter().find_map(|(_, reply)| match reply {
            NodeReply::Operator(OperatorAnswer::Jobs(jobs)) => Some(jobs),
            _ => None,
        });
        let Some(jobs) = jobs else {
            return self
                .world
                .witness
                .violations
                .push("no jobs are listed after recovery".to_owned());
        };
        for job in jobs {
            for (phase, count) in job.phases.iter().filter(|(_, count)| *count > 0) {
                match phase {
                    TaskPhase::Finished => self.report.finished += count,
                    TaskPhase::Failed | TaskPhase::Cancelled | TaskPhase::Parked => {}
                    open => {
                        let text =
                            format!("{}: {count} tasks are {open:?} after recovery", job.spec.id);
                        self.world.witness.violations.push(text);
                    }
                }
            }
        }
    }
}
