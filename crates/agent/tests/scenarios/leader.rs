//! A stand-in leader, whose commands and behaviour a scenario script sets.

use {
    agent::platform::AttemptId,
    base::{ProcessName, TermNumber},
    indexmap::{IndexMap, IndexSet},
    proto::messages::{
        AgentHeartbeat, AttemptState, CommandCursor, DeclarationBundle, HeartbeatReply,
        LeaseRenewal, TaskCommand,
    },
    std::time::Duration,
};

/// How the leader answers heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaderBehaviour {
    Renews,
    Silent,
    /// The answer is delayed until the script says `leader answers`.
    Delays,
    Redirects(base::PeerAddress),
    Superseded,
}

pub struct ScriptedLeader {
    pub behaviour: LeaderBehaviour,
    pub lease: Duration,
    pub acknowledges: bool,
    pub report_all: bool,
    /// True when the leader repeats commands for attempts whose end it acknowledges.
    pub stale: bool,
    pub declarations: Option<DeclarationBundle>,
    term: TermNumber,
    log: Vec<TaskCommand>,
    wanted: IndexMap<AttemptId, TaskCommand>,
    ended: IndexSet<AttemptId>,
}

impl ScriptedLeader {
    pub fn new() -> Self {
        Self {
            behaviour: LeaderBehaviour::Renews,
            lease: Duration::from_secs(10),
            acknowledges: true,
            report_all: false,
            stale: false,
            declarations: None,
            term: TermNumber(1),
            log: Vec::new(),
            wanted: IndexMap::new(),
            ended: IndexSet::new(),
        }
    }

    /// Makes another member the leader, with an empty command log.
    pub fn new_term(&mut self, term: u64) {
        self.term = TermNumber(term);
        self.log.clear();
    }

    pub fn command(&mut self, command: TaskCommand) {
        self.wanted.insert(target(&command), command.clone());
        self.log.push(command);
    }

    /// Returns true when the end of the attempt is committed, so that control no longer wants it.
    pub fn saw_end(&self, id: &AttemptId) -> bool {
        self.ended.contains(id)
    }

    /// Drops an attempt without sending the agent a command.
    pub fn give_up(&mut self, id: &AttemptId) {
        self.wanted.shift_remove(id);
    }

    pub fn answer(&mut self, heartbeat: &AgentHeartbeat) -> Option<(ProcessName, HeartbeatReply)> {
        let reply = match &self.behaviour {
            LeaderBehaviour::Silent | LeaderBehaviour::Delays => return None,
            LeaderBehaviour::Redirects(address) => {
                HeartbeatReply::NotLeader { leader: Some((base::ReplicaId(2), *address)) }
            }
            LeaderBehaviour::Superseded => {
                HeartbeatReply::Superseded { incarnation: heartbeat.incarnation.next() }
            }
            LeaderBehaviour::Renews => HeartbeatReply::Renewed(Box::new(self.renew(heartbeat))),
        };
        Some(("control-1".parse().unwrap(), reply))
    }

    pub fn renew(&mut self, heartbeat: &AgentHeartbeat) -> LeaseRenewal {
        let known = heartbeat.cursor;
        let wanted = self.wanted.clone();
        let acknowledged = self.acknowledge(heartbeat);
        let wanted = if self.stale { &wanted } else { &self.wanted };
        let complete = known.term != self.term || known.sequence > self.log.len() as u64;
        let commands = if complete {
            wanted.values().cloned().collect()
        } else {
            self.log[known.sequence as usize..].to_vec()
        };
        LeaseRenewal {
            lease: self.lease,
            report_all: std::mem::take(&mut self.report_all),
            cursor: CommandCursor { term: self.term, sequence: self.log.len() as u64 },
            commands_complete: complete,
            commands,
            acknowledged,
            declarations: self.declarations.take(),
        }
    }

    fn acknowledge(
        &mut self,
        heartbeat: &AgentHeartbeat,
    ) -> Vec<(base::TaskId, base::AttemptNumber)> {
        let ended = heartbeat.reports.iter().filter(|report| report.state != AttemptState::Running);
        let ended: Vec<_> = ended.map(|report| (report.task.clone(), report.attempt)).collect();
        if !self.acknowledges {
            return Vec::new();
        }
        for (task, attempt) in &ended {
            let id = AttemptId { task: task.clone(), attempt: *attempt };
            self.give_up(&id);
            self.ended.insert(id);
        }
        ended
    }
}

fn target(command: &TaskCommand) -> AttemptId {
    match command {
        TaskCommand::Run { assignment, .. } => {
            AttemptId { task: assignment.task.clone(), attempt: assignment.attempt }
        }
        TaskCommand::Evict { task, attempt } | TaskCommand::Stop { task, attempt } => {
            AttemptId { task: task.clone(), attempt: *attempt }
        }
    }
}
