//! The scenario language. Each directive is a step, which prints what happened.

use {
    super::{
        calls::{apply, claim, close, job, reply_text, submit, task_id},
        Fleet,
    },
    base::{JobId, ReplicaId, WorkerId},
    control::node::{NodeReply, OperatorAnswer, OperatorCall},
    datadriven::TestCase,
    proto::messages::{operator::MemberRequest, AttemptState},
    settings::PolicySubject,
    std::time::Duration,
};

/// How long a call waits for its reply before the script reports that there is none.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// The steps of one file.
pub struct FleetScript {
    fleet: Fleet,
    /// The leader that was crashed or cut off last.
    old: Option<ReplicaId>,
}

impl FleetScript {
    pub fn new() -> Self {
        Self { fleet: Fleet::new(3, 1), old: None }
    }

    pub fn step(&mut self, test: &mut TestCase) -> String {
        let quiet = test.take_flag("quiet").expect("a flag");
        let mut output = self.directive(test);
        if quiet {
            self.fleet.lines.clear();
        }
        test.expect_empty().expect("known arguments");
        let mut lines = std::mem::take(&mut self.fleet.lines);
        lines.extend(self.fleet.witness.violations.drain(..).map(|text| format!("BROKEN: {text}")));
        if !output.is_empty() {
            lines.push(std::mem::take(&mut output));
        }
        if lines.is_empty() {
            return "ok\n".to_owned();
        }
        lines.join("\n") + "\n"
    }

    fn directive(&mut self, test: &mut TestCase) -> String {
        match test.directive.as_str() {
            "start" => self.start(test),
            "advance" => self.advance(test),
            "worker" => self.worker(test),
            "cut" | "heal" => self.cut(test),
            "crash" | "restart" | "lose-disk" | "fill-disk" => self.disk(test),
            "agent" => self.agent(test),
            "end" => self.end(test),
            "leader" => self.leader(),
            "claim" | "close" => self.ledger(test),
            "many-claims" => self.many_claims(test),
            "replicas" => self.replicas(),
            _ => self.operate(test),
        }
    }

    fn start(&mut self, test: &mut TestCase) -> String {
        let voters = test.try_take_arg("replicas").expect("a number").unwrap_or(3);
        self.fleet = Fleet::new(voters, 1);
        if let Some(every) = test.try_take_arg("snapshot-every").expect("a number") {
            self.fleet.snapshot_every = every;
        }
        self.fleet.start_all();
        String::new()
    }

    fn advance(&mut self, test: &mut TestCase) -> String {
        let seconds: f64 = test.take_arg("s").expect("seconds");
        let reading = test.take_flag("reading").expect("a flag");
        let end = self.fleet.now + Duration::from_secs_f64(seconds);
        while reading && self.fleet.now < end {
            let at = self.fleet.leader().unwrap_or(ReplicaId(1));
            self.fleet.operate(at, "read", OperatorCall::Status);
            self.fleet.advance(super::STEP);
        }
        self.fleet.advance(end.saturating_sub(self.fleet.now));
        String::new()
    }

    /// Reports whether the replica that led before still leads.
    fn leader(&mut self) -> String {
        match (self.fleet.leader(), self.old) {
            (None, _) => "nobody leads".to_owned(),
            (Some(leader), Some(old)) if leader == old => "the same replica leads".to_owned(),
            (Some(_), Some(_)) => "another replica leads".to_owned(),
            (Some(_), None) => "a replica leads".to_owned(),
        }
    }

    fn worker(&mut self, test: &mut TestCase) -> String {
        let name: WorkerId = test.take_arg("name").expect("a name");
        let cpu = test.try_take_arg("cpu").expect("a number").unwrap_or(4000);
        let rack = test.try_take_arg("rack").expect("a name").unwrap_or("r1".to_owned());
        self.fleet.add_worker(name, &rack, cpu);
        String::new()
    }

    /// Cuts every direction from the nodes in `from` to those in `to`, and back unless `one-way`.
    fn cut(&mut self, test: &mut TestCase) -> String {
        let (heal, one_way) =
            (test.directive == "heal", test.take_flag("one-way").expect("a flag"));
        if heal && test.args.is_empty() {
            self.fleet.cuts.clear();
            return String::new();
        }
        let from = self.places(test.take_args("from").expect("places"));
        let to = self.places(test.take_args("to").expect("places"));
        for (one, other) in from.iter().flat_map(|one| to.iter().map(move |other| (one, other))) {
            let mut directions = vec![(one.clone(), other.clone())];
            directions.extend((!one_way).then(|| (other.clone(), one.clone())));
            for direction in directions {
                match heal {
                    true => self.fleet.cuts.remove(&direction),
                    false => self.fleet.cuts.insert(direction),
                };
            }
        }
        String::new()
    }

    /// Resolves replicas by role: `leader`, `old` (the leader that was crashed or cut off last) and
    /// `followers` (all replicas that do not lead).
    fn places(&mut self, names: Vec<String>) -> Vec<String> {
        let mut places = Vec::new();
        for name in names {
            match name.as_str() {
                "followers" => {
                    let leader = self.fleet.leader();
                    let others = self.fleet.replicas.keys().filter(|id| Some(**id) != leader);
                    places.extend(others.map(ToString::to_string));
                }
                "leader" | "old" => places.push(self.replica(&name).to_string()),
                _ => places.push(name),
            }
        }
        places
    }

    fn replica(&mut self, name: &str) -> ReplicaId {
        match name {
            "leader" => {
                self.old = self.fleet.leader();
                self.old.expect("a leader")
            }
            "old" => self.old.expect("a leader before"),
            "follower" => {
                let leader = self.fleet.leader();
                let mut others = self.fleet.replicas.keys().filter(|id| Some(**id) != leader);
                *others.next().expect("a follower")
            }
            number => number.parse().expect("a replica"),
        }
    }

    fn disk(&mut self, test: &mut TestCase) -> String {
        let place: String = test.take_arg("replica").expect("a replica");
        let replica = self.replica(&place);
        match test.directive.as_str() {
            "crash" => self.fleet.crash(replica, false),
            "restart" => self.fleet.start(replica),
            "fill-disk" => {
                let full = !test.take_flag("free").expect("a flag");
                self.fleet.replicas.get_mut(&replica).expect("a replica").disk_full = full;
            }
            _ => {
                let found = self.fleet.replicas.get_mut(&replica).expect("a replica");
                found.disk = Default::default();
            }
        }
        String::new()
    }

    fn agent(&mut self, test: &mut TestCase) -> String {
        let worker: WorkerId = test.take_arg("name").expect("a name");
        let machine = test.take_flag("reboot").expect("a flag");
        let restart = test.take_flag("restart").expect("a flag") || machine;
        let again = test.take_flag("again").expect("a flag");
        let agent = self.fleet.agents.get_mut(&worker).expect("an agent");
        agent.ignores_stops = match (test.take_flag("stuck"), test.take_flag("obeys")) {
            (Ok(true), _) => true,
            (_, Ok(true)) => false,
            _ => agent.ignores_stops,
        };
        agent.failing |= test.take_flag("failing").expect("a flag");
        if let Some(seconds) = test.try_take_arg("starts-after").expect("seconds") {
            agent.start_delay = Duration::from_secs_f64(seconds);
        }
        if again {
            agent.announce_again();
        }
        if restart {
            let actions = agent.restart(machine);
            self.fleet.note_actions(&worker, actions);
        }
        String::new()
    }

    fn end(&mut self, test: &mut TestCase) -> String {
        let worker: WorkerId = test.take_arg("worker").expect("a name");
        let task: String = test.take_arg("task").expect("a task");
        let state = match test.take_flag("failed").expect("a flag") {
            true => AttemptState::Failed { detail: "exit 1".to_owned() },
            false => AttemptState::Finished,
        };
        let agent = self.fleet.agents.get_mut(&worker).expect("an agent");
        let actions = agent.end(&task_id(&task), state);
        self.fleet.note_actions(&worker, actions);
        String::new()
    }

    fn target(&mut self, test: &mut TestCase) -> ReplicaId {
        let via: Option<String> = test.try_take_arg("via").expect("a replica");
        let via = via.map(|via| self.replica(&via));
        via.or(self.fleet.leader()).unwrap_or(ReplicaId(1))
    }

    /// Waits for the reply to a call. Returns `None` if there is none, or at once with `lost`.
    fn reply(&mut self, lost: bool) -> Option<NodeReply> {
        if lost {
            return None;
        }
        let end = self.fleet.now + REPLY_TIMEOUT;
        while !self.fleet.replies.contains_key("call") && self.fleet.now < end {
            self.fleet.advance(super::STEP);
        }
        self.fleet.replies.remove("call")
    }

    fn ledger(&mut self, test: &mut TestCase) -> String {
        let at = self.target(test);
        let text: String = test.take_arg("key").expect("a key");
        let by: String = test.take_arg("by").expect("a dispatch");
        if test.directive == "close" {
            let end: String = test.take_arg("end").expect("an end");
            let closing = close(&text, &by, &end);
            self.fleet.close_key(at, "call", closing.clone());
            let reply = self.reply(false);
            if end == "not-run" && reply.as_ref().map(reply_text).as_deref() == Some("closed") {
                self.fleet.witness.freed(&closing.key);
            }
            return reply.map_or("no reply".to_owned(), |reply| reply_text(&reply));
        }
        let fingerprint = test.try_take_arg("request").expect("a number").unwrap_or(1);
        let replaces: Option<String> = test.try_take_arg("replaces").expect("a dispatch");
        let claiming = claim(&text, fingerprint, &by, replaces.as_deref());
        if test.take_flag("expired").expect("a flag") {
            self.fleet.witness.freed(&claiming.key);
        }
        self.fleet.claim_key(at, "call", claiming.clone());
        let reply = self.reply(false).map_or("no reply".to_owned(), |reply| reply_text(&reply));
        if reply == "granted" {
            let (key, by) = (&claiming.key, &claiming.target.dispatch);
            self.fleet.witness.granted(key, by, claiming.replaces.as_ref());
        }
        reply
    }

    fn many_claims(&mut self, test: &mut TestCase) -> String {
        let count: u32 = test.take_arg("count").expect("a number");
        let at = self.target(test);
        let mut granted = 0;
        for number in 0..count {
            let claiming = claim(&format!("many-{number}"), 1, &format!("m{number}"), None);
            self.fleet.claim_key(at, "call", claiming);
            let reply = self.reply(false);
            granted += u32::from(reply.as_ref().map(reply_text).as_deref() == Some("granted"));
        }
        format!("{granted} granted")
    }

    /// What each replica has applied.
    fn replicas(&mut self) -> String {
        let fleet = &self.fleet;
        let line = |id: &ReplicaId| match fleet.node(*id) {
            None => format!("{id}: down"),
            Some(node) => {
                let state = node.state();
                let (revision, keys) = (state.declarations().revision(), state.ledger().len());
                let snapshot = fleet.replicas[id].disk.snapshot.is_some();
                let jobs = state.jobs().iter().count();
                format!("{id}: revision {revision}, {jobs} jobs, {keys} keys, snapshot {snapshot}")
            }
        };
        fleet.replicas.keys().map(line).collect::<Vec<_>>().join("\n")
    }

    fn operate(&mut self, test: &mut TestCase) -> String {
        let at = self.target(test);
        let lost = test.take_flag("lost").expect("a flag");
        let submission: Option<String> = test.try_take_arg("id").expect("a name");
        let call = parse_call(test, submission.as_deref().unwrap_or("s1"));
        self.fleet.replies.remove("call");
        let submission = submission.map(|submission| format!("{submission} {call:?}"));
        self.fleet.operate(at, "call", call);
        let Some(NodeReply::Operator(answer)) = self.reply(lost) else {
            return "no reply".to_owned();
        };
        self.judge(submission.as_deref(), &answer);
        reply_text(&NodeReply::Operator(answer))
    }

    fn judge(&mut self, submission: Option<&str>, answer: &OperatorAnswer) {
        self.fleet.judge_answer(answer);
        if let Some(submission) = submission {
            self.fleet.judge_submission(submission, answer);
        }
    }
}

fn parse_call(test: &mut TestCase, submission: &str) -> OperatorCall {
    match test.directive.clone().as_str() {
        "submit" => {
            let name = word(test, "job");
            let tasks = test.try_take_arg("tasks").expect("a number").unwrap_or(1);
            let cpu = test.try_take_arg("cpu").expect("a number").unwrap_or(1000);
            submit(submission, job(&name, tasks, cpu))
        }
        "apply" => {
            let base = test.take_arg("base").expect("a revision");
            apply(submission, base, &test.input)
        }
        "cancel" => OperatorCall::Cancel(JobId::new(&word(test, "job")).expect("a name")),
        "unpark" => OperatorCall::Unpark(JobId::new(&word(test, "job")).expect("a name")),
        "job" => OperatorCall::Job(JobId::new(&word(test, "job")).expect("a name")),
        "drain" => {
            OperatorCall::Drain { worker: word(test, "worker").parse().unwrap(), draining: true }
        }
        "undrain" => {
            OperatorCall::Drain { worker: word(test, "worker").parse().unwrap(), draining: false }
        }
        "status" => OperatorCall::Status,
        "declarations" => OperatorCall::Declarations,
        "explain-task" => OperatorCall::ExplainTask(task_id(&word(test, "task"))),
        "explain-worker" => OperatorCall::ExplainWorker(word(test, "worker").parse().unwrap()),
        "explain-policy" => {
            let team = test.try_take_arg("team").expect("a name");
            OperatorCall::ExplainPolicy(PolicySubject { team, ..PolicySubject::default() })
        }
        "add-learner" => {
            let replica = ReplicaId(test.take_arg("replica").expect("a number"));
            let address = super::address_of(replica);
            OperatorCall::Members(MemberRequest::AddLearner { replica, address })
        }
        "promote" => {
            let replica = ReplicaId(test.take_arg("replica").expect("a number"));
            OperatorCall::Members(MemberRequest::Promote { replica })
        }
        "remove" => {
            let replica = ReplicaId(test.take_arg("replica").expect("a number"));
            OperatorCall::Members(MemberRequest::Remove { replica })
        }
        other => panic!("there is no directive {other}"),
    }
}

fn word(test: &mut TestCase, name: &str) -> String {
    test.take_arg(name).expect("an argument")
}
