//! The smallest sequence: a task is proposed once, keeps its capacity reserved, and is proposed
//! again when its commit never arrives.

use {
    base::{ByteSize, CpuMillis, ResourceVector, TaskId},
    sched::{
        FleetModel, ReservedTask, SchedDecision, SchedPolicy, SpreadRule, TaskPriority,
        WaitingTask, WorkerView,
    },
    std::time::Duration,
};

fn cores(count: u64) -> ResourceVector {
    ResourceVector { cpu: CpuMillis(count * 1000), memory: ByteSize(count), ..ResourceVector::ZERO }
}

fn waiting(task: &str) -> WaitingTask {
    WaitingTask {
        task: task.parse().unwrap(),
        team: "tanga".parse().unwrap(),
        class: "report".parse().unwrap(),
        priority: TaskPriority::Batch,
        declared: cores(10),
        run_time: None,
        service: None,
        spread: SpreadRule::default(),
        checkpoint: None,
    }
}

fn placed(decisions: &[SchedDecision]) -> Vec<TaskId> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            SchedDecision::Place { task, .. } => Some(task.clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn capacity_stays_reserved_from_proposal_to_release() {
    let mut model = FleetModel::new(SchedPolicy::default(), 1);
    model.set_worker(WorkerView {
        worker: "w1".parse().unwrap(),
        data_centre: "arusha".parse().unwrap(),
        rack: "r1".parse().unwrap(),
        capacity: cores(16),
        accepting: true,
    });
    let (first, second) = (waiting("a/0"), waiting("b/0"));
    model.enqueue(Duration::ZERO, first.clone());
    model.enqueue(Duration::ZERO, second.clone());
    assert_eq!(placed(&model.decide(Duration::ZERO)), vec![first.task.clone()]);
    assert_eq!(placed(&model.decide(Duration::from_secs(1))), []);
    assert_eq!(placed(&model.decide(Duration::from_secs(60))), vec![first.task.clone()]);
    let attempt = base::AttemptNumber(1);
    let mut reservation = ReservedTask {
        waiting: first.clone(),
        attempt,
        worker: "w1".parse().unwrap(),
        reserved: cores(10),
        stopping: false,
    };
    let now = Duration::from_secs(61);
    model.record_reservation(now, reservation.clone());
    reservation.stopping = true;
    model.record_reservation(now, reservation);
    assert_eq!(placed(&model.decide(Duration::from_secs(120))), []);
    model.release(Duration::from_secs(121), &first.task, attempt);
    assert_eq!(placed(&model.decide(Duration::from_secs(121))), [second.task]);
}
