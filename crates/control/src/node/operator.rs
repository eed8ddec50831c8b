//! Handles operators' calls: answers changes once they are committed, and reads once leadership is
//! confirmed.

use {
    super::{
        log::ProposalOwner, reads::WaitingRead, ControlNode, NodeReply, OperatorAnswer,
        OperatorCall,
    },
    crate::state::{CommandOutcome, CommandRefusal, DeclarationChange, FleetCommand},
    base::{JobId, ReplyTicket},
    proto::messages::operator::{
        ApplyReply, ApplyRequest, MemberReply, MemberRequest, OperatorProblem, OperatorProblemKind,
        UnparkReply,
    },
    quorum::{MemberChange, ProposalError, QuorumEvent},
    settings::FleetDeclaration,
};

impl ControlNode {
    pub(super) fn receive_call(&mut self, ticket: ReplyTicket, call: OperatorCall) {
        if self.leader.is_none() {
            let problem = OperatorAnswer::Problem(self.not_leader());
            return self.reply(ticket, NodeReply::Operator(problem));
        }
        let command = match call {
            OperatorCall::Apply(request) => return self.receive_apply(ticket, request),
            OperatorCall::Members(request) => return self.receive_member_change(ticket, request),
            OperatorCall::Submit(request) => {
                FleetCommand::SubmitJob { submission: request.submission, job: request.job }
            }
            OperatorCall::Cancel(job) => FleetCommand::CancelJob { job },
            OperatorCall::Unpark(job) => FleetCommand::UnparkJob { job },
            OperatorCall::Drain { worker, draining } => {
                FleetCommand::DrainWorker { worker, draining }
            }
            OperatorCall::Declarations
            | OperatorCall::Jobs
            | OperatorCall::Job(_)
            | OperatorCall::Status
            | OperatorCall::ExplainTask(_)
            | OperatorCall::ExplainWorker(_)
            | OperatorCall::ExplainPolicy(_) => {
                return self.wait_for_confirmation(WaitingRead::Operator { ticket, call });
            }
        };
        self.propose(ProposalOwner::Operator(ticket), vec![command]);
    }

    /// Validates declarations before proposing them, so that every replica can use what is in the
    /// log.
    fn receive_apply(&mut self, ticket: ReplyTicket, request: ApplyRequest) {
        let ApplyRequest { submission, base, mut files } = request;
        files.sort_by(|one, other| one.path.cmp(&other.path));
        let texts = files.iter().map(|file| (file.path.as_str(), file.text.as_str()));
        if let Err(errors) = FleetDeclaration::parse(base.next(), texts) {
            let errors = errors.iter().map(ToString::to_string).collect();
            let answer = OperatorAnswer::Applied(ApplyReply::Invalid { errors });
            return self.reply(ticket, NodeReply::Operator(answer));
        }
        let change = DeclarationChange { submission, base, files };
        self.propose(ProposalOwner::Operator(ticket), vec![FleetCommand::Apply(change)]);
    }

    fn receive_member_change(&mut self, ticket: ReplyTicket, request: MemberRequest) {
        let change = match request {
            MemberRequest::AddLearner { replica, address } => {
                MemberChange::AddLearner { replica, address }
            }
            MemberRequest::Promote { replica } => MemberChange::Promote { replica },
            MemberRequest::Remove { replica } => MemberChange::Remove { replica },
        };
        let proposal = self.next_ticket();
        self.proposals.insert(proposal, ProposalOwner::Members(ticket));
        self.queue.push_back(QuorumEvent::ChangeMembers { ticket: proposal, change });
    }

    pub(super) fn call_committed(&mut self, ticket: ReplyTicket, outcomes: Vec<CommandOutcome>) {
        let answer = match outcomes.into_iter().next() {
            Some(CommandOutcome::Applied(reply)) => OperatorAnswer::Applied(reply),
            Some(CommandOutcome::Submitted(reply)) => OperatorAnswer::Submitted(reply),
            Some(CommandOutcome::Cancelled(reply)) => OperatorAnswer::Cancelled(reply),
            Some(CommandOutcome::Drained(reply)) => OperatorAnswer::Drained(reply),
            Some(CommandOutcome::Done) => OperatorAnswer::Unparked(UnparkReply::Accepted),
            Some(CommandOutcome::Refused(CommandRefusal::Unknown)) => {
                OperatorAnswer::Unparked(UnparkReply::NoSuchJob)
            }
            Some(CommandOutcome::Refused(_)) => OperatorAnswer::Unparked(UnparkReply::NotParked),
            _ => OperatorAnswer::Problem(unconfirmed()),
        };
        self.reply(ticket, NodeReply::Operator(answer));
    }

    pub(super) fn call_rejected(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        let problem = self.problem_of(error);
        self.reply(ticket, NodeReply::Operator(OperatorAnswer::Problem(problem)));
    }

    pub(super) fn members_committed(&mut self, ticket: ReplyTicket) {
        let answer = OperatorAnswer::Members(MemberReply::Accepted);
        self.reply(ticket, NodeReply::Operator(answer));
    }

    pub(super) fn members_rejected(&mut self, ticket: ReplyTicket, error: &ProposalError) {
        let answer = match error {
            ProposalError::ChangeInProgress | ProposalError::ChangeRefused { .. } => {
                OperatorAnswer::Members(MemberReply::Refused { reason: error.to_string() })
            }
            _ => OperatorAnswer::Problem(self.problem_of(error)),
        };
        self.reply(ticket, NodeReply::Operator(answer));
    }

    fn problem_of(&self, error: &ProposalError) -> OperatorProblem {
        match error {
            ProposalError::NotLeader { .. } => self.not_leader(),
            ProposalError::Overloaded => OperatorProblem {
                kind: OperatorProblemKind::Overloaded,
                detail: "too many changes wait to be committed; try again".to_owned(),
                leader: None,
            },
            _ => unconfirmed(),
        }
    }

    pub(super) fn not_leader(&self) -> OperatorProblem {
        let this = self.operator_address;
        OperatorProblem {
            kind: OperatorProblemKind::NotLeader,
            detail: "this replica is not the leader of the control group".to_owned(),
            leader: self.leader_operator().filter(|leader| *leader != this),
        }
    }

    /// Answers a read from the applied state. The caller has confirmed leadership.
    pub(super) fn answer_question(&self, call: &OperatorCall) -> OperatorAnswer {
        match call {
            OperatorCall::Declarations => {
                OperatorAnswer::Declarations(self.state.declarations().bundle().as_ref().clone())
            }
            OperatorCall::Jobs => {
                let jobs = self.state.jobs().iter().map(|(_, job)| job.status(false));
                OperatorAnswer::Jobs(jobs.collect())
            }
            OperatorCall::Job(job) => self.answer_job(job),
            OperatorCall::Status => self.answer_status(),
            OperatorCall::ExplainTask(task) => self.explain_task(task),
            OperatorCall::ExplainWorker(worker) => self.explain_worker(worker),
            OperatorCall::ExplainPolicy(subject) => self.explain_policy(subject),
            OperatorCall::Apply(_)
            | OperatorCall::Submit(_)
            | OperatorCall::Cancel(_)
            | OperatorCall::Unpark(_)
            | OperatorCall::Drain { .. }
            | OperatorCall::Members(_) => OperatorAnswer::Problem(unconfirmed()),
        }
    }

    fn answer_job(&self, job: &JobId) -> OperatorAnswer {
        match self.state.jobs().get(job) {
            Some(record) => OperatorAnswer::Job(Box::new(record.status(true))),
            None => not_found(format!("there is no job {job}")),
        }
    }
}

pub(super) fn not_found(detail: String) -> OperatorAnswer {
    let kind = OperatorProblemKind::NotFound;
    OperatorAnswer::Problem(OperatorProblem { kind, detail, leader: None })
}

fn unconfirmed() -> OperatorProblem {
    OperatorProblem {
        kind: OperatorProblemKind::Unconfirmed,
        detail: "the change was not confirmed by a quorum and may still be made; resend it with \
                 the same submission id"
            .to_owned(),
        leader: None,
    }
}
