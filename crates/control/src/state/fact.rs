//! The changes that a command made, from which a leader updates its in-memory state.

use {
    base::{AttemptNumber, JobId, TaskId, WorkerId},
    proto::messages::operator::TaskPhase,
    sched::AttemptEnd,
};

/// One committed change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetFact {
    /// Newer declarations were accepted.
    DeclarationsChanged,
    /// A worker was registered or has changed.
    WorkerChanged(WorkerId),
    /// A worker's lease has expired.
    WorkerLost(WorkerId),
    /// A worker was removed from the table.
    WorkerForgotten(WorkerId),
    /// The endpoints of a worker have changed.
    EndpointsChanged(WorkerId),
    /// A task waits for placement.
    TaskWaiting(TaskId),
    /// A waiting task was parked or cancelled before it was placed.
    TaskWithdrawn(TaskId),
    /// A task was placed on a worker.
    TaskPlaced(TaskId),
    /// A worker reports that a task runs.
    TaskStarted(TaskId),
    /// The share of its reservation that a task may use has changed.
    TaskThrottled(TaskId),
    /// A task was asked to stop and still holds its reservation.
    TaskStopping(TaskId),
    /// The reservation of an attempt was released.
    TaskReleased {
        /// The task.
        task: TaskId,
        /// The attempt that held the reservation.
        attempt: AttemptNumber,
        /// The worker.
        worker: WorkerId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// A task ended and will not run again.
    TaskEnded(TaskId, TaskPhase),
    /// A job was returned to the queue.
    JobUnparked(JobId),
    /// A job was parked.
    JobParked(JobId),
}
