//! Drives a model by short text commands and commits its decisions, as control would.

use {
    base::{
        duration_text, AttemptNumber, ByteSize, CpuMillis, ResourceVector, TaskId, TaskIndex,
        WorkerId,
    },
    sched::{
        AttemptEnd, FleetModel, ReservedTask, SchedDecision, SchedPolicy, ServiceSample,
        SpreadRule, TaskPriority, TaskSample, TeamQuota, WaitingTask, WorkerSample, WorkerView,
    },
    std::{collections::BTreeMap, fmt::Write, time::Duration},
};

/// One command: words, some of which are `key=value`.
struct CommandWords<'a>(Vec<&'a str>);

impl<'a> CommandWords<'a> {
    fn find(&self, key: &str) -> Option<&'a str> {
        self.0.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
    }

    fn count(&self, key: &str, default: u64) -> u64 {
        self.find(key).map_or(default, |text| text.parse().unwrap())
    }

    fn time(&self, key: &str) -> Option<Duration> {
        self.find(key).map(|text| duration_text::parse(text).unwrap())
    }

    fn has(&self, flag: &str) -> bool {
        self.0.contains(&flag)
    }

    fn size(&self) -> ResourceVector {
        ResourceVector {
            cpu: self.find("cpu").map_or(CpuMillis(1000), |text| text.parse().unwrap()),
            memory: self.find("mem").map_or(ByteSize(1 << 30), |text| text.parse().unwrap()),
            accelerators: self.find("acc").unwrap_or("0").parse().unwrap(),
        }
    }

    fn task(&self) -> WaitingTask {
        let limit = |key: &str| self.find(key).map(|text| text.parse().unwrap());
        WaitingTask {
            task: TaskId::new(self.0[1].parse().unwrap(), TaskIndex(0)),
            team: self.find("team").unwrap_or("tanga").parse().unwrap(),
            class: self.find("class").unwrap_or("report").parse().unwrap(),
            priority: match self.find("prio") {
                Some("urgent") => TaskPriority::Urgent,
                Some("critical") => TaskPriority::LatencyCritical,
                _ => TaskPriority::Batch,
            },
            declared: self.size(),
            run_time: self.time("run"),
            service: self.find("service").map(|text| text.parse().unwrap()),
            spread: SpreadRule {
                data_centres: self.find("dc").iter().map(|text| text.parse().unwrap()).collect(),
                most_per_rack: limit("per-rack"),
                most_per_data_centre: limit("per-dc"),
            },
            checkpoint: None,
        }
    }
}

/// A model and the committed state that a control group would have.
pub struct ModelDriver {
    pub model: FleetModel,
    pub policy: SchedPolicy,
    pub now: Duration,
    pub workers: BTreeMap<WorkerId, WorkerView>,
    pub reservations: BTreeMap<TaskId, ReservedTask>,
    attempts: BTreeMap<TaskId, u32>,
}

impl ModelDriver {
    pub fn new(seed: u64) -> Self {
        Self {
            model: FleetModel::new(SchedPolicy::default(), seed),
            policy: SchedPolicy::default(),
            now: Duration::ZERO,
            workers: BTreeMap::new(),
            reservations: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    pub fn run(&mut self, script: &str) -> String {
        let mut output = String::new();
        for line in script.lines().filter(|line| !line.trim().is_empty()) {
            let words = CommandWords(line.split_whitespace().collect());
            if let Some(text) = self.command(&words) {
                output.push_str(&text);
            }
        }
        if output.is_empty() {
            "ok\n".to_owned()
        } else {
            output
        }
    }

    fn command(&mut self, words: &CommandWords<'_>) -> Option<String> {
        match words.0[0] {
            "policy" => self.change_policy(words),
            "service" => self.set_service_policy(words),
            "quota" => self.set_quotas(words),
            "worker" => self.set_worker(words),
            "remove" => self.model.remove_worker(&words.0[1].parse().unwrap()),
            "submit" => self.submit(words),
            "withdraw" => self.model.withdraw(&words.0[1].parse().unwrap()),
            "unpark" => self.model.unpark(&words.0[1].parse().unwrap()),
            "advance" => self.now += duration_text::parse(words.0[1]).unwrap(),
            "end" => self.end(words),
            "sample" => self.sample(words),
            "decide" => return Some(self.decide(words.has("commit"))),
            "step" => return Some(self.step(words)),
            "explain" => return Some(self.explain(words)),
            other => panic!("unknown command {other}"),
        }
        None
    }

    fn change_policy(&mut self, words: &CommandWords<'_>) {
        let weight = |key: &str, old: f64| words.find(key).map_or(old, |t| t.parse().unwrap());
        self.policy.tail_latency_weight = weight("tail", self.policy.tail_latency_weight);
        self.policy.eviction_weight = weight("evictions", self.policy.eviction_weight);
        self.policy.throughput_weight = weight("throughput", self.policy.throughput_weight);
        let floor = u64::from(self.policy.throttle_floor_percent);
        self.policy.throttle_floor_percent = words.count("floor", floor) as u32;
        self.model.set_policy(self.policy.clone());
    }

    fn set_service_policy(&mut self, words: &CommandWords<'_>) {
        let relief_above_percent = words.count("relief", 25) as u32;
        let policy = SchedPolicy { relief_above_percent, ..self.policy.clone() };
        self.model.set_service_policies(vec![(words.0[1].parse().unwrap(), policy)]);
    }

    /// Replaces all quotas: `quota tanga:cpu=4:borrow moshi:cpu=8`.
    fn set_quotas(&mut self, words: &CommandWords<'_>) {
        let quotas = words.0[1..].iter().map(|word| {
            let parts = CommandWords(word.split(':').collect());
            let team = parts.0[0].parse().unwrap();
            let size = ResourceVector { memory: ByteSize(u64::MAX / 64), ..parts.size() };
            (team, TeamQuota { quota: size, may_borrow: parts.has("borrow") })
        });
        self.model.set_quotas(quotas.collect());
    }

    fn set_worker(&mut self, words: &CommandWords<'_>) {
        let view = WorkerView {
            worker: words.0[1].parse().unwrap(),
            data_centre: words.find("dc").unwrap_or("arusha").parse().unwrap(),
            rack: words.find("rack").unwrap_or("r1").parse().unwrap(),
            capacity: words.size(),
            accepting: !words.has("draining"),
        };
        self.workers.insert(view.worker.clone(), view.clone());
        self.model.set_worker(view);
    }

    fn submit(&mut self, words: &CommandWords<'_>) {
        let task = words.task();
        for index in 0..words.count("tasks", 1) {
            let id = TaskId::new(task.task.job.clone(), TaskIndex(index as u32));
            self.model.enqueue(self.now, WaitingTask { task: id, ..task.clone() });
        }
    }

    /// Reports the end of an attempt, releases the reservation and, with `again`, queues the task
    /// again: `end a/0 failed again`.
    fn end(&mut self, words: &CommandWords<'_>) {
        let end = match words.0[2] {
            "finished" => AttemptEnd::Finished,
            "failed" => AttemptEnd::Failed,
            "refused" => AttemptEnd::Refused,
            _ => AttemptEnd::Stopped,
        };
        self.finish(&words.0[1].parse().unwrap(), end, words.has("again"));
    }

    pub fn finish(&mut self, task: &TaskId, end: AttemptEnd, again: bool) {
        let Some(reservation) = self.reservations.remove(task) else {
            return;
        };
        self.model.record_outcome(self.now, task, reservation.attempt, end);
        self.model.release(self.now, task, reservation.attempt);
        if again {
            self.model.enqueue(self.now, reservation.waiting);
        }
    }

    /// Reports a measurement: `sample w1 late=5s booking=1000,10ms,30ms a/0=2,1GB,900` has
    /// requests, mean and p99 of services, and processors, memory and speed of tasks.
    fn sample(&mut self, words: &CommandWords<'_>) {
        let late = words.time("late").unwrap_or_default();
        let mut sample = WorkerSample {
            worker: words.0[1].parse().unwrap(),
            taken_at: self.now.saturating_sub(late),
            tasks: Vec::new(),
            services: Vec::new(),
        };
        for (key, value) in words.0[2..].iter().filter_map(|word| word.split_once('=')) {
            let parts: Vec<&str> = value.split(',').collect();
            match key.parse::<TaskId>() {
                Ok(task) if parts.len() == 3 => {
                    let attempt =
                        self.reservations.get(&task).map_or(AttemptNumber(0), |h| h.attempt);
                    let (cpu, memory) = (parts[0].parse().unwrap(), parts[1].parse().unwrap());
                    let used = ResourceVector { cpu, memory, ..ResourceVector::ZERO };
                    let speed_permille = parts[2].parse().unwrap();
                    sample.tasks.push(TaskSample { task, attempt, used, speed_permille });
                }
                _ if parts.len() == 3 => sample.services.push(ServiceSample {
                    service: key.parse().unwrap(),
                    requests: parts[0].parse().unwrap(),
                    mean: duration_text::parse(parts[1]).unwrap(),
                    p99: duration_text::parse(parts[2]).unwrap(),
                }),
                _ => {}
            }
        }
        self.model.record_sample(self.now, &sample);
    }

    fn decide(&mut self, commit: bool) -> String {
        let decisions = self.model.decide(self.now);
        let mut output = String::new();
        for decision in &decisions {
            writeln!(output, "{}", describe(decision)).unwrap();
            if commit {
                self.commit(decision);
            }
        }
        if output.is_empty() {
            "nothing\n".to_owned()
        } else {
            output
        }
    }

    /// Advances the clock in steps and commits the decisions of each, which are printed with their
    /// time: `step 10s every=1s`.
    fn step(&mut self, words: &CommandWords<'_>) -> String {
        let until = self.now + duration_text::parse(words.0[1]).unwrap();
        let every = words.time("every").unwrap_or(Duration::from_secs(1));
        let mut output = String::new();
        while self.now < until {
            self.now += every;
            for decision in self.model.decide(self.now) {
                let at = duration_text::format(self.now);
                writeln!(output, "{at}: {}", describe(&decision)).unwrap();
                self.commit(&decision);
            }
        }
        if output.is_empty() {
            "nothing\n".to_owned()
        } else {
            output
        }
    }

    pub fn commit(&mut self, decision: &SchedDecision) {
        match decision {
            SchedDecision::Place { task, worker, reserve, .. } => {
                self.place(task, worker, *reserve);
            }
            SchedDecision::Evict { task, attempt, .. } => {
                if let Some(reservation) =
                    self.reservations.get_mut(task).filter(|h| h.attempt == *attempt)
                {
                    reservation.stopping = true;
                    self.model.record_reservation(self.now, reservation.clone());
                }
            }
            _ => {}
        }
    }

    fn place(&mut self, task: &TaskId, worker: &WorkerId, reserved: ResourceVector) {
        let Some(waiting) = self.model.waiting(task).cloned() else {
            return;
        };
        let count = self.attempts.entry(task.clone()).or_default();
        *count += 1;
        let reservation = ReservedTask {
            waiting,
            attempt: AttemptNumber(*count),
            worker: worker.clone(),
            reserved,
            stopping: false,
        };
        self.reservations.insert(task.clone(), reservation.clone());
        self.model.record_reservation(self.now, reservation);
    }

    fn explain(&self, words: &CommandWords<'_>) -> String {
        let task: TaskId = words.0[1].parse().unwrap();
        match (self.reservations.get(&task), self.model.wait_reason(&task)) {
            (Some(reservation), _) => {
                format!("{task} holds {} on {}\n", reservation.reserved, reservation.worker)
            }
            (None, Some(reason)) => format!("{task} waits: {reason}\n"),
            (None, None) => format!("{task} waits\n"),
        }
    }

    /// Returns a text that names the first worker whose reservations exceed its capacity.
    pub fn overcommitted(&self) -> Option<String> {
        self.workers.values().find_map(|view| {
            let total: ResourceVector = self
                .reservations
                .values()
                .filter(|reservation| reservation.worker == view.worker)
                .map(|reservation| reservation.reserved)
                .sum();
            let kind = total.shortage(&view.capacity)?;
            Some(format!("{} holds {total}, too much {kind}", view.worker))
        })
    }
}

pub fn describe(decision: &SchedDecision) -> String {
    match decision {
        SchedDecision::Place { task, worker, reserve, reason } => {
            format!("place {task} on {worker} ({reserve}): {reason}")
        }
        SchedDecision::Throttle { task, percent, reason, .. } => {
            format!("throttle {task} to {percent}%: {reason}")
        }
        SchedDecision::Evict { task, reason, .. } => format!("evict {task}: {reason}"),
        SchedDecision::Park { job, reason } => format!("park {job}: {reason}"),
        SchedDecision::Quarantine { worker, jobs } => {
            format!("quarantine {worker}: {jobs} jobs failed there")
        }
        SchedDecision::Restore { worker } => format!("restore {worker}"),
    }
}
