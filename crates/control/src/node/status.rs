//! Reports the state of the fleet to operators.

use {
    super::{ControlNode, OperatorAnswer},
    base::{ResourceVector, TeamName},
    indexmap::IndexMap,
    proto::messages::{
        operator::{
            EndpointStatus, FleetStatus, MemberStatus, ProcessStatus, TaskPhase, TeamStatus,
        },
        EndpointRecord, PriorityClass,
    },
    std::time::Duration,
};

impl ControlNode {
    pub(super) fn answer_status(&self) -> OperatorAnswer {
        let Some(leader) = &self.leader else {
            return OperatorAnswer::Problem(self.not_leader());
        };
        let members = self.core.members();
        let status = FleetStatus {
            leader: self.core.replica(),
            term: leader.term,
            committed: self.core.committed().0,
            revision: self.state.declarations().revision(),
            members: members
                .iter()
                .map(|progress| MemberStatus {
                    replica: progress.member.replica,
                    address: progress.member.address,
                    voter: progress.member.voter,
                    matched: progress.matched.map_or(0, |index| index.0),
                })
                .collect(),
            workers: self
                .state
                .workers()
                .iter()
                .map(|(worker, record)| record.status(worker))
                .collect(),
            endpoints: leader.table.iter().map(endpoint_status).collect(),
            processes: self.process_statuses(),
            tasks: self.task_counts(),
            teams: self.team_statuses(),
        };
        OperatorAnswer::Status(Box::new(status))
    }

    fn process_statuses(&self) -> Vec<ProcessStatus> {
        let note = self.own_note();
        let own = ProcessStatus {
            name: note.name,
            role: note.role,
            operator_address: self.operator_address,
            revision: note.revision,
            last_seen_ago: Duration::ZERO,
        };
        let known = self.leader.iter().flat_map(|leader| leader.processes.statuses(self.now));
        std::iter::once(own).chain(known).collect()
    }

    fn task_counts(&self) -> Vec<(PriorityClass, TaskPhase, u32)> {
        let mut counts: IndexMap<(PriorityClass, TaskPhase), u32> = IndexMap::new();
        for (_, job) in self.state.jobs().iter() {
            for task in &job.tasks {
                *counts.entry((job.spec.priority, task.lifecycle.phase())).or_default() += 1;
            }
        }
        counts.sort_unstable_keys();
        counts.into_iter().map(|((priority, phase), count)| (priority, phase, count)).collect()
    }

    fn team_statuses(&self) -> Vec<TeamStatus> {
        let declared = &self.state.declarations().fleet().teams;
        let mut held: IndexMap<&TeamName, ResourceVector> =
            declared.keys().map(|team| (team, ResourceVector::ZERO)).collect();
        for (_, job) in self.state.jobs().iter() {
            let seats = job.tasks.iter().filter_map(|task| task.lifecycle.placement());
            *held.entry(&job.spec.team).or_default() +=
                seats.map(|placement| placement.reserved).sum();
        }
        let quota = |team| declared.get(team).map_or(ResourceVector::ZERO, |team| team.quota);
        held.into_iter()
            .map(|(team, held)| TeamStatus { team: team.clone(), quota: quota(team), held })
            .collect()
    }
}

fn endpoint_status(record: &EndpointRecord) -> EndpointStatus {
    EndpointStatus {
        endpoint: record.endpoint.clone(),
        service: record.service.clone(),
        worker: record.worker.clone(),
        slots: record.slots,
        draining: record.draining,
    }
}
