//! Translates the applied state into the input of the placement model, and its decisions into
//! commands.

use {
    super::LeaderState,
    crate::state::{
        FleetCommand, FleetState, JobRecord, PlaceCommand, StopPurpose, TaskLifecycle, WorkerRecord,
    },
    base::{JobId, ServiceName, TaskId, WorkerId},
    proto::messages::{JobSpec, PriorityClass, TaskAssignment, TaskCommand, ThrottleLevel},
    sched::{
        ReservedTask, SchedDecision, SchedPolicy, SpreadRule, TaskPriority, TeamQuota, WaitingTask,
        WorkerView,
    },
    settings::{FleetPolicy, PolicySubject, RuleSource},
    std::time::{Duration, SystemTime},
};

/// Upper bound on the decisions in one entry of the log.
const COMMANDS_PER_BATCH: usize = 512;
/// The shortest time between two decisions, which batches bursts of changes.
const DECIDE_PAUSE: Duration = Duration::from_millis(20);
/// The longest time between two decisions. Some decisions depend on time alone.
const DECIDE_AFTER: Duration = Duration::from_millis(500);

impl LeaderState {
    /// Asks the model for decisions if they are due, and translates them into commands.
    pub(crate) fn decide(
        &mut self,
        now: Duration,
        wall: SystemTime,
        state: &FleetState,
    ) -> Vec<FleetCommand> {
        let pause = if self.decision_due { DECIDE_PAUSE } else { DECIDE_AFTER };
        if self.decisions_pending || now < self.decided_at + pause {
            return Vec::new();
        }
        self.decision_due = false;
        self.decided_at = now;
        let decisions = self.model.decide(now);
        let commands: Vec<_> = decisions
            .into_iter()
            .filter(|decision| self.is_possible(decision))
            .filter_map(|decision| to_command(decision, wall, state))
            .take(COMMANDS_PER_BATCH)
            .collect();
        self.decisions_pending = !commands.is_empty();
        commands
    }

    /// Returns false for a placement on a worker whose lease was not renewed in this term or was
    /// found expired, because the worker may not hold a lease.
    fn is_possible(&self, decision: &SchedDecision) -> bool {
        match decision {
            SchedDecision::Place { worker, .. } => self.leases.is_active(worker),
            _ => true,
        }
    }
}

fn to_command(
    decision: SchedDecision,
    wall: SystemTime,
    state: &FleetState,
) -> Option<FleetCommand> {
    let rule = |job: &JobId, section| rule_for(state, wall, job, section);
    let command = match decision {
        SchedDecision::Place { task, worker, reserve, reason } => {
            let attempt = state.jobs().task(&task)?.lifecycle.attempt().next();
            let rule = rule(&task.job, "weights");
            FleetCommand::Place(PlaceCommand { task, attempt, worker, reserve, reason, rule })
        }
        SchedDecision::Throttle { task, attempt, percent, reason } => {
            let rule = rule(&task.job, "placement");
            let level = ThrottleLevel(percent);
            FleetCommand::Throttle { task, attempt, level, reason, rule }
        }
        SchedDecision::Evict { task, attempt, reason } => {
            let rule = rule(&task.job, "placement");
            FleetCommand::Evict { task, attempt, reason, rule }
        }
        SchedDecision::Park { job, reason } => {
            let rule = rule(&job, "blame");
            FleetCommand::ParkJob { job, reason, rule }
        }
        SchedDecision::Quarantine { worker, jobs } => {
            FleetCommand::SetWorkerFailures { worker, failed_jobs: Some(jobs) }
        }
        SchedDecision::Restore { worker } => {
            FleetCommand::SetWorkerFailures { worker, failed_jobs: None }
        }
    };
    Some(command)
}

/// Returns the source of the values that a section of the declarations sets for a job. An exception
/// takes precedence over the default.
fn rule_for(state: &FleetState, wall: SystemTime, job: &JobId, section: &str) -> RuleSource {
    let Some(record) = state.jobs().get(job) else { return RuleSource::BuiltIn };
    let resolved = state.declarations().fleet().policy_for(&job_subject(&record.spec), wall);
    let in_section =
        |key: &str| key.strip_prefix(section).is_some_and(|rest| rest.starts_with('.'));
    let mut found = RuleSource::BuiltIn;
    for (_, source) in resolved.sources.iter().filter(|(key, _)| in_section(key)) {
        match source {
            RuleSource::Exception { .. } => return source.clone(),
            RuleSource::Default => found = RuleSource::Default,
            RuleSource::BuiltIn => {}
        }
    }
    found
}

fn job_subject(spec: &JobSpec) -> PolicySubject {
    PolicySubject {
        team: Some(spec.team.clone()),
        class: Some(spec.class.clone()),
        service: spec.service.clone(),
        ..PolicySubject::default()
    }
}

/// Returns the declared values that the model uses.
pub(super) fn sched_policy(state: &FleetState) -> SchedPolicy {
    from_declared(state.declarations().defaults())
}

/// Returns the declared values for each service, with exceptions applied.
pub(super) fn service_policies(
    state: &FleetState,
    wall: SystemTime,
) -> Vec<(ServiceName, SchedPolicy)> {
    let fleet = state.declarations().fleet();
    let resolve = |service: &ServiceName| {
        let subject = PolicySubject { service: Some(service.clone()), ..PolicySubject::default() };
        from_declared(&fleet.policy_for(&subject, wall).policy)
    };
    fleet.services.keys().map(|service| (service.clone(), resolve(service))).collect()
}

fn from_declared(policy: &FleetPolicy) -> SchedPolicy {
    SchedPolicy {
        tail_latency_weight: policy.weights.tail_latency,
        eviction_weight: policy.weights.evictions,
        throughput_weight: policy.weights.throughput,
        relief_above_percent: policy.placement.relief_above_percent,
        throttle_floor_percent: policy.placement.throttle_floor_percent,
        patience: policy.placement.patience,
        retry_pairing_after: policy.placement.retry_pairing_after,
        job_workers: policy.blame.job_workers,
        worker_jobs: policy.blame.worker_jobs,
        probe_after: policy.blame.probe_after,
    }
}

/// Returns the declared quotas.
pub(super) fn team_quotas(state: &FleetState) -> Vec<(base::TeamName, TeamQuota)> {
    let teams = &state.declarations().fleet().teams;
    let quota = |team: &settings::TeamDeclaration| TeamQuota {
        quota: team.quota,
        may_borrow: team.may_borrow,
    };
    teams.iter().map(|(name, team)| (name.clone(), quota(team))).collect()
}

/// Returns a worker as input for the model.
pub(super) fn worker_view(worker: &WorkerId, record: &WorkerRecord) -> WorkerView {
    WorkerView {
        worker: worker.clone(),
        data_centre: record.announcement.data_centre.clone(),
        rack: record.announcement.rack.clone(),
        capacity: record.announcement.capacity,
        accepting: record.is_accepting(),
    }
}

/// Returns a waiting task as input for the model.
pub(super) fn waiting_task(job: &JobRecord, task: TaskId) -> Option<WaitingTask> {
    let lifecycle = &job.tasks.get(task.index.0 as usize)?.lifecycle;
    let spec = &job.spec;
    Some(WaitingTask {
        task,
        team: spec.team.clone(),
        class: spec.class.clone(),
        priority: match spec.priority {
            PriorityClass::Batch => TaskPriority::Batch,
            PriorityClass::LatencyCritical => TaskPriority::LatencyCritical,
            PriorityClass::Urgent => TaskPriority::Urgent,
        },
        declared: spec.resources,
        run_time: spec.run_time,
        service: spec.service.clone(),
        spread: SpreadRule {
            data_centres: spec.placement.data_centres.clone(),
            most_per_rack: spec.placement.most_per_rack,
            most_per_data_centre: spec.placement.most_per_data_centre,
        },
        checkpoint: lifecycle.checkpoint().cloned(),
    })
}

/// Returns a task that holds a reservation as input for the model.
pub(super) fn reserving_task(job: &JobRecord, task: TaskId) -> Option<ReservedTask> {
    let lifecycle = &job.tasks.get(task.index.0 as usize)?.lifecycle;
    let reservation = lifecycle.placement()?;
    Some(ReservedTask {
        attempt: lifecycle.attempt(),
        worker: reservation.worker.clone(),
        reserved: reservation.reserved,
        stopping: matches!(lifecycle, TaskLifecycle::Stopping(_)),
        waiting: waiting_task(job, task)?,
    })
}

/// Returns the command for the worker that a task is placed on.
pub(super) fn task_command(job: &JobRecord, task: TaskId) -> Option<TaskCommand> {
    let lifecycle = &job.tasks.get(task.index.0 as usize)?.lifecycle;
    let attempt = lifecycle.attempt();
    match lifecycle {
        TaskLifecycle::Placed(_) | TaskLifecycle::Running(_) => run_command(job, task),
        TaskLifecycle::Stopping(stopping) => Some(match stopping.phase.purpose {
            StopPurpose::Evict => TaskCommand::Evict { task, attempt },
            StopPurpose::Cancel => TaskCommand::Stop { task, attempt },
        }),
        TaskLifecycle::Waiting(_) | TaskLifecycle::Parked(_) | TaskLifecycle::Ended(_) => None,
    }
}

/// Returns the command to run an attempt.
pub(super) fn run_command(job: &JobRecord, task: TaskId) -> Option<TaskCommand> {
    let lifecycle = &job.tasks.get(task.index.0 as usize)?.lifecycle;
    let reservation = lifecycle.placement()?;
    let spec = &job.spec;
    let assignment = TaskAssignment {
        task,
        attempt: lifecycle.attempt(),
        class: spec.class.clone(),
        priority: spec.priority,
        reserved: reservation.reserved,
        checkpoint: lifecycle.checkpoint().cloned(),
        service: spec.service.clone(),
        payload: spec.payload.clone(),
    };
    Some(TaskCommand::Run { assignment, throttle: reservation.throttle })
}
