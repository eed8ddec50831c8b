//! What applying a command changed, so that a leader keeps its soft state in step.

use {
    base::{AttemptNumber, JobId, TaskId, WorkerId},
    proto::messages::operator::TaskPhase,
    sched::AttemptEnd,
};

/// One committed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetFact {
    /// Newer declarations are accepted.
    DeclarationsChanged,
    /// A worker is new or has changed.
    WorkerChanged(WorkerId),
    /// A worker's lease has expired.
    WorkerLost(WorkerId),
    /// A worker is forgotten.
    WorkerForgotten(WorkerId),
    /// The endpoints of a worker have changed.
    EndpointsChanged(WorkerId),
    /// A task waits for a place.
    TaskWaiting(TaskId),
    /// A waiting task waits no longer and was not placed.
    TaskWithdrawn(TaskId),
    /// A task has been given a place.
    TaskPlaced(TaskId),
    /// A task runs.
    TaskStarted(TaskId),
    /// A task may use another share of its reservation.
    TaskThrottled(TaskId),
    /// A task is to stop, and still holds its reservation.
    TaskStopping(TaskId),
    /// A reservation is free again.
    TaskReleased {
        /// The task.
        task: TaskId,
        /// The attempt that held it.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A task will not run again.
    TaskEnded(TaskId, TaskPhase),
    /// A job may be tried again.
    JobUnparked(JobId),
    /// A job is kept back.
    JobParked(JobId),
}
