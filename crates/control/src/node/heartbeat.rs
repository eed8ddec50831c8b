//! Handles heartbeats: proposes a worker's reports at once, and renews its lease once leadership is
//! confirmed.

use {
    super::{log::ProposalOwner, reads::WaitingRead, ControlNode, NodeReply},
    crate::{
        leader::{HeartbeatVerdict, LeaderState, SenderInfo},
        state::{FleetCommand, FleetState, TaskLifecycle},
    },
    base::{AttemptNumber, IncarnationNumber, ReplyTicket, RevisionNumber, TaskId, WorkerId},
    proto::{
        messages::{
            AgentHeartbeat, AttemptReport, AttemptState, CommandCursor, HeartbeatReply,
            LeaseRenewal, TablePull, TableReply, TaskCommand,
        },
        rpc::RpcRefusal,
    },
    std::time::Duration,
};

/// Interval after which a worker is asked again for a complete report of its attempts.
const REPORT_ALL_AFTER: Duration = Duration::from_secs(30);

/// A heartbeat that waits until leadership is confirmed.
#[derive(Debug)]
pub(super) struct WaitingHeartbeat {
    pub(super) ticket: ReplyTicket,
    worker: WorkerId,
    incarnation: IncarnationNumber,
    cursor: CommandCursor,
    received_at: Duration,
    revision: RevisionNumber,
    ended: Vec<(TaskId, AttemptNumber)>,
    running: Vec<(TaskId, AttemptNumber)>,
}

impl WaitingHeartbeat {
    fn new(
        ticket: ReplyTicket,
        received_at: Duration,
        revision: RevisionNumber,
        heartbeat: &AgentHeartbeat,
    ) -> Self {
        let name = |report: &AttemptReport| (report.task.clone(), report.attempt);
        let runs = |report: &&AttemptReport| report.state == AttemptState::Running;
        let (running, ended): (Vec<_>, Vec<_>) = heartbeat.reports.iter().partition(runs);
        Self {
            ticket,
            worker: heartbeat.worker.clone(),
            incarnation: heartbeat.incarnation,
            cursor: heartbeat.cursor,
            received_at,
            revision,
            ended: ended.into_iter().map(name).collect(),
            running: running.into_iter().map(name).collect(),
        }
    }
}

impl ControlNode {
    pub(super) fn receive_heartbeat(
        &mut self,
        ticket: ReplyTicket,
        note: SenderInfo,
        heartbeat: AgentHeartbeat,
    ) {
        let now = self.now;
        let known = self.state.workers().get(&heartbeat.worker);
        let Some(leader) = &mut self.leader else {
            let leader = self.leader_hint();
            let reply = HeartbeatReply::NotLeader { leader };
            return self.reply(ticket, NodeReply::Heartbeat(reply));
        };
        let newest = known.map(|record| record.incarnation);
        let verdict = match newest.filter(|newest| *newest > heartbeat.incarnation) {
            Some(newest) => HeartbeatVerdict::Superseded(newest),
            None => {
                let AgentHeartbeat { worker, incarnation, sequence, .. } = &heartbeat;
                leader.leases.receive(worker, *incarnation, *sequence)
            }
        };
        let refusal = match verdict {
            HeartbeatVerdict::Current => None,
            HeartbeatVerdict::Late => Some(NodeReply::Refused(RpcRefusal::Overloaded)),
            HeartbeatVerdict::Superseded(incarnation) => {
                Some(NodeReply::Heartbeat(HeartbeatReply::Superseded { incarnation }))
            }
            HeartbeatVerdict::Ending => {
                Some(NodeReply::Heartbeat(HeartbeatReply::NotLeader { leader: None }))
            }
        };
        if let Some(refusal) = refusal {
            return self.reply(ticket, refusal);
        }
        let waiting = WaitingHeartbeat::new(ticket, now, note.revision, &heartbeat);
        let announced = heartbeat.announcement.as_ref();
        let announcement = announced.or(known.map(|record| &record.announcement));
        if let Some(announcement) = announcement {
            leader.processes.record_contact(now, note, announcement.operator_address);
        }
        let busy = leader.reporting.contains(&heartbeat.worker);
        let mut commands = registrations(&self.state, &heartbeat);
        if !busy {
            commands.extend(reports(leader, &self.state, &heartbeat));
        }
        if heartbeat.reports_complete && !busy {
            leader.leases.note_complete(now, &heartbeat.worker);
        }
        if let Some(usage) = heartbeat.usage {
            leader.sample(now, &heartbeat.worker, usage);
        }
        if !commands.is_empty() {
            leader.reporting.insert(heartbeat.worker.clone());
            self.propose(ProposalOwner::Worker(heartbeat.worker), commands);
        }
        self.wait_for_confirmation(WaitingRead::Heartbeat(Box::new(waiting)));
    }

    /// Renews a worker's lease and replies with the commands for the worker. The caller has
    /// confirmed leadership after the heartbeat was received.
    pub(super) fn answer_heartbeat(&mut self, waiting: WaitingHeartbeat) {
        let (now, wall) = (self.now, self.wall());
        let Some(leader) = &mut self.leader else { return };
        let WaitingHeartbeat { ticket, worker, incarnation, cursor, received_at, .. } = &waiting;
        let terms = leader.terms_of(worker, wall, &self.state);
        let Some(first) = leader.leases.renew(worker, *incarnation, *received_at, terms) else {
            let reply = HeartbeatReply::NotLeader { leader: None };
            return self.reply(*ticket, NodeReply::Heartbeat(reply));
        };
        if first {
            leader.worker_renewed(worker, &self.state);
        }
        let mut delivery = leader.commands_for(worker, *incarnation, *cursor, &self.state);
        let complete_at = leader.leases.complete_at(worker);
        let elsewhere = |(task, attempt): &&(TaskId, AttemptNumber)| {
            holder_of(&self.state, task, *attempt) != Some(worker)
        };
        let unassigned = waiting.running.iter().filter(elsewhere).cloned();
        delivery
            .commands
            .extend(unassigned.map(|(task, attempt)| TaskCommand::Stop { task, attempt }));
        let renewal = LeaseRenewal {
            lease: terms.length,
            report_all: complete_at.is_none_or(|at| now >= at + REPORT_ALL_AFTER),
            cursor: delivery.cursor,
            commands_complete: delivery.complete,
            commands: delivery.commands,
            acknowledged: waiting.ended.iter().filter(elsewhere).cloned().collect(),
            declarations: self.state.declarations().newer_than(waiting.revision),
        };
        let reply = HeartbeatReply::Renewed(Box::new(renewal));
        self.reply(*ticket, NodeReply::Heartbeat(reply));
    }

    pub(super) fn receive_table_pull(
        &mut self,
        ticket: ReplyTicket,
        note: SenderInfo,
        pull: TablePull,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader else {
            let leader = self.leader_hint();
            return self.reply(ticket, NodeReply::Table(TableReply::NotLeader { leader }));
        };
        let revision = note.revision;
        leader.processes.record_contact(now, note, pull.operator_address);
        self.wait_for_confirmation(WaitingRead::Table { ticket, pull, revision });
    }

    pub(super) fn answer_table_pull(
        &mut self,
        ticket: ReplyTicket,
        pull: &TablePull,
        revision: RevisionNumber,
    ) {
        let Some(leader) = &self.leader else { return };
        let mut changes = leader.table.changes_since(pull.known);
        changes.declarations = self.state.declarations().newer_than(revision);
        self.reply(ticket, NodeReply::Table(TableReply::Changes(Box::new(changes))));
    }
}

/// Returns the worker that holds an attempt.
fn holder_of<'a>(
    state: &'a FleetState,
    task: &TaskId,
    attempt: AttemptNumber,
) -> Option<&'a WorkerId> {
    let lifecycle = &state.jobs().task(task)?.lifecycle;
    if lifecycle.attempt() != attempt {
        return None;
    }
    lifecycle.placement().map(|placement| &placement.worker)
}

/// Returns commands for the changes of a worker and its endpoints that a heartbeat reports and the
/// log does not contain yet. A lost worker that returns under the same incarnation is registered
/// again, if need be with the announcement in the log.
fn registrations(state: &FleetState, heartbeat: &AgentHeartbeat) -> Vec<FleetCommand> {
    let AgentHeartbeat { worker, incarnation, .. } = heartbeat;
    let incarnation = *incarnation;
    let mut commands = Vec::new();
    let known = state.workers().get(worker);
    let kept = known.filter(|record| record.lost && record.incarnation == incarnation);
    let announced = heartbeat.announcement.as_ref().filter(|announcement| {
        known.is_none_or(|record| {
            record.lost
                || record.incarnation != incarnation
                || record.announcement != **announcement
        })
    });
    if let Some(announcement) = announced.or(kept.map(|record| &record.announcement)) {
        commands.push(FleetCommand::RegisterWorker {
            worker: worker.clone(),
            incarnation,
            announcement: announcement.clone(),
        });
    }
    if let Some(endpoints) = &heartbeat.endpoints {
        if !commands.is_empty() || known.is_some_and(|record| record.endpoints != *endpoints) {
            commands.push(FleetCommand::SetEndpoints {
                worker: worker.clone(),
                incarnation,
                endpoints: endpoints.clone(),
            });
        }
    }
    commands
}

/// Returns commands for the changes of attempts that a heartbeat reports and the log does not
/// contain yet.
fn reports(
    leader: &mut LeaderState,
    state: &FleetState,
    heartbeat: &AgentHeartbeat,
) -> Vec<FleetCommand> {
    let AgentHeartbeat { worker, incarnation, .. } = heartbeat;
    let incarnation = *incarnation;
    let mut commands = Vec::new();
    let news = heartbeat.reports.iter().filter(|report| is_news(state, worker, report));
    commands.extend(news.map(|report| FleetCommand::Report {
        worker: worker.clone(),
        incarnation,
        report: report.clone(),
    }));
    if heartbeat.reports_complete {
        commands.extend(missing_attempts(leader, state, heartbeat));
    }
    commands
}

fn is_news(state: &FleetState, worker: &WorkerId, report: &AttemptReport) -> bool {
    if holder_of(state, &report.task, report.attempt) != Some(worker) {
        return false;
    }
    let lifecycle = state.jobs().task(&report.task).map(|record| &record.lifecycle);
    report.state != AttemptState::Running || matches!(lifecycle, Some(TaskLifecycle::Placed(_)))
}

/// Returns commands for the attempts that, as this complete report proves, neither run nor will run
/// on the worker. An attempt that was sent to no incarnation is among them only while it is
/// stopping. An attempt that the report names and that was sent to an earlier incarnation belongs
/// to the reporting one from now on.
fn missing_attempts(
    leader: &mut LeaderState,
    state: &FleetState,
    heartbeat: &AgentHeartbeat,
) -> Vec<FleetCommand> {
    let AgentHeartbeat { worker, incarnation, cursor, reports, .. } = heartbeat;
    let Some(record) = state.workers().get(worker) else { return Vec::new() };
    let stream = leader.stream_of(worker);
    let mut commands = Vec::new();
    for task in &record.reserved_tasks {
        let Some(lifecycle) = state.jobs().task(task).map(|record| &record.lifecycle) else {
            continue;
        };
        let attempt = lifecycle.attempt();
        let named = reports.iter().any(|report| report.task == *task && report.attempt == attempt);
        if named {
            stream.note_sent(task, attempt, *incarnation);
        } else if stream.proves_absence(*incarnation, *cursor, task, attempt)
            && (matches!(lifecycle, TaskLifecycle::Stopping(_))
                || stream.was_sent_to_other(*incarnation, task, attempt))
        {
            commands.push(FleetCommand::ReportMissingAttempt {
                worker: worker.clone(),
                incarnation: *incarnation,
                task: task.clone(),
                attempt,
            });
        }
    }
    commands
}
