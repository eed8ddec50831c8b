//! Calls of operators and entries, and the checks and the printing of their replies.

use {
    super::{address_of, Fleet},
    base::{
        ByteSize, CpuMillis, EndpointId, IncarnationNumber, JobId, ReplicaId, RequestId,
        ResourceVector, RevisionNumber, ServiceName, SubmissionId, TaskId, TaskIndex,
    },
    control::node::{NodeEvent, NodeReply, OperatorAnswer, OperatorCall},
    proto::messages::{
        operator::{ApplyReply, ApplyRequest, SubmitRequest, TaskPhase},
        ClaimEnd, ClaimReply, ClaimTarget, CloseReply, DeclarationFile, DispatchId,
        ForwardedAnswer, IdempotencyKey, JobSpec, LedgerClaim, LedgerClose, PlacementRule,
        PriorityClass, RequestFingerprint, UnknownReason,
    },
    std::time::Duration,
};

pub const KEY_KEPT: Duration = Duration::from_secs(60);

pub fn job(name: &str, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        id: name.parse().expect("a name"),
        team: "desk".parse().expect("a name"),
        class: "report".parse().expect("a name"),
        priority: PriorityClass::Batch,
        tasks,
        resources: ResourceVector {
            cpu: CpuMillis(cpu),
            memory: ByteSize(1 << 20),
            ..ResourceVector::ZERO
        },
        run_time: None,
        service: None,
        payload: String::new(),
        placement: PlacementRule::default(),
    }
}

pub fn submit(submission: &str, job: JobSpec) -> OperatorCall {
    let submission = SubmissionId::new(submission).expect("a name");
    OperatorCall::Submit(SubmitRequest { submission, job })
}

pub fn apply(submission: &str, base: u64, text: &str) -> OperatorCall {
    OperatorCall::Apply(ApplyRequest {
        submission: SubmissionId::new(submission).expect("a name"),
        base: RevisionNumber(base),
        files: vec![DeclarationFile { path: "fleet.toml".to_owned(), text: text.to_owned() }],
    })
}

pub fn dispatch(text: &str) -> DispatchId {
    let (request, number) = text.rsplit_once('.').unwrap_or((text, "0"));
    let request = RequestId::new(request).expect("a name");
    DispatchId { request, number: number.parse().expect("a number") }
}

pub fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey { service: ServiceName::new("booking").expect("a name"), text: text.to_owned() }
}

pub fn claim(text: &str, fingerprint: u8, by: &str, replaces: Option<&str>) -> LedgerClaim {
    LedgerClaim {
        key: key(text),
        fingerprint: RequestFingerprint([fingerprint; 16]),
        target: ClaimTarget {
            dispatch: dispatch(by),
            endpoint: EndpointId::new("e1").expect("a name"),
            incarnation: IncarnationNumber(1),
            agent: address_of(ReplicaId(2000)),
        },
        keep: KEY_KEPT,
        replaces: replaces.map(dispatch),
    }
}

pub fn close(text: &str, by: &str, end: &str) -> LedgerClose {
    let end = match end {
        "not-run" => ClaimEnd::NotRun,
        "lost" => ClaimEnd::Lost(UnknownReason::AgentLost),
        body => ClaimEnd::Answered(ForwardedAnswer {
            status: 200,
            headers: Vec::new(),
            body: body.as_bytes().to_vec().into(),
        }),
    };
    LedgerClose { key: key(text), dispatch: dispatch(by), end }
}

impl Fleet {
    /// Calls a replica as an operator. The fleet stores the reply under `name`.
    pub fn operate(&mut self, at: ReplicaId, name: &str, call: OperatorCall) {
        self.call(at, name, |ticket| NodeEvent::Operator { ticket, call });
    }

    pub fn claim_key(&mut self, at: ReplicaId, name: &str, claim: LedgerClaim) {
        self.call(at, name, |ticket| NodeEvent::Claim { ticket, claim });
    }

    pub fn close_key(&mut self, at: ReplicaId, name: &str, close: LedgerClose) {
        self.call(at, name, |ticket| NodeEvent::Close { ticket, close });
    }

    /// Checks an operator's answer.
    pub fn judge_answer(&mut self, answer: &OperatorAnswer) {
        match answer {
            OperatorAnswer::Status(status) => self.witness.read_revision(status.revision),
            OperatorAnswer::Job(status) => {
                let finished = status.tasks.iter().filter(|task| task.phase == TaskPhase::Finished);
                let finished: Vec<_> = finished.map(|task| task.task.clone()).collect();
                finished.into_iter().for_each(|task| self.witness.record_reported_end(task));
            }
            _ => {}
        }
    }

    /// Checks the answer to a submission: a resend must get the same one.
    pub fn judge_submission(&mut self, submission: &str, answer: &OperatorAnswer) {
        if matches!(answer, OperatorAnswer::Problem(_)) {
            return;
        }
        self.witness.answered(submission, &reply_text(&NodeReply::Operator(answer.clone())));
    }
}

pub fn task_id(text: &str) -> TaskId {
    let (job, index) = text.rsplit_once('.').unwrap_or((text, "0"));
    let index = TaskIndex(index.parse().expect("a number"));
    TaskId::new(JobId::new(job).expect("a name"), index)
}

/// Returns a reply as text for the scenarios.
pub fn reply_text(reply: &NodeReply) -> String {
    match reply {
        NodeReply::Operator(answer) => answer_text(answer),
        NodeReply::Claim(ClaimReply::Granted) => "granted".to_owned(),
        NodeReply::Claim(ClaimReply::Claimed(target)) => format!("held by {}", target.dispatch),
        NodeReply::Claim(ClaimReply::Stored(answer)) => {
            format!("stored {}", String::from_utf8_lossy(&answer.body))
        }
        NodeReply::Claim(ClaimReply::Lost(reason)) => format!("lost {reason:?}"),
        NodeReply::Claim(ClaimReply::OtherRequest) => "other request".to_owned(),
        NodeReply::Claim(ClaimReply::NotLeader { .. }) => "not leader".to_owned(),
        NodeReply::Close(CloseReply::Closed) => "closed".to_owned(),
        NodeReply::Close(CloseReply::NotClaimed) => "not held".to_owned(),
        NodeReply::Close(CloseReply::NotLeader { .. }) => "not leader".to_owned(),
        NodeReply::Refused(refusal) => format!("refused: {refusal}"),
        NodeReply::Heartbeat(_) | NodeReply::Table(_) | NodeReply::Declarations(_) => {
            format!("{reply:?}")
        }
    }
}

fn answer_text(answer: &OperatorAnswer) -> String {
    match answer {
        OperatorAnswer::Applied(ApplyReply::Invalid { errors }) => {
            format!("invalid: {}", errors.join("; ").replace('\n', " "))
        }
        OperatorAnswer::Problem(problem) => format!("{:?}", problem.kind),
        OperatorAnswer::Applied(reply) => format!("{reply:?}"),
        OperatorAnswer::Submitted(reply) => format!("{reply:?}"),
        OperatorAnswer::Cancelled(reply) => format!("{reply:?}"),
        OperatorAnswer::Unparked(reply) => format!("{reply:?}"),
        OperatorAnswer::Drained(reply) => format!("{reply:?}"),
        OperatorAnswer::Members(reply) => format!("{reply:?}"),
        OperatorAnswer::Declarations(bundle) => format!("revision {}", bundle.revision),
        OperatorAnswer::Jobs(jobs) => {
            let names: Vec<_> = jobs.iter().map(|job| job.spec.id.to_string()).collect();
            format!("jobs {}", names.join(" "))
        }
        OperatorAnswer::Job(job) => {
            let tasks = job.tasks.iter().map(|task| {
                let place = task.worker.as_ref().map(|w| format!(" on {w}")).unwrap_or_default();
                format!("{} {:?}#{}{place}", task.task, task.phase, task.attempt)
            });
            tasks.collect::<Vec<_>>().join("\n")
        }
        OperatorAnswer::Status(status) => {
            let workers = status.workers.iter().map(|worker| {
                let reserved = worker.reserved.cpu;
                format!("{} {:?} holds {} {reserved}", worker.worker, worker.phase, worker.tasks)
            });
            let head = format!("leader {}, revision {}", status.leader, status.revision);
            std::iter::once(head).chain(workers).collect::<Vec<_>>().join("\n")
        }
        OperatorAnswer::Explained(reply) => {
            let lines = reply.decisions.iter().map(|decision| {
                let rule = match decision.rule.as_str() {
                    "" => String::new(),
                    rule => format!(" [{rule}]"),
                };
                let reason = without_points(&decision.reason);
                format!("{}: {reason}{rule}", decision.decision)
            });
            lines.collect::<Vec<_>>().join("\n")
        }
    }
}

/// Masks the model's scores, so that the scenarios of control do not depend on them.
fn without_points(reason: &str) -> String {
    match reason.split_once(" points") {
        None => reason.to_owned(),
        Some((before, after)) => {
            let before = before.trim_end_matches(|c: char| c.is_ascii_digit() || c == '.');
            format!("{before}N points{after}")
        }
    }
}
