//! Events of the control group. Numbers 2000 to 2999.

use base::{
    AttemptNumber, IncarnationNumber, JobId, ReplicaId, RevisionNumber, TaskId, TermNumber,
    WorkerId,
};

catalogue! {
    /// Events of the control group.
    ControlEvent {
        2001 Info LeadershipGained { replica: ReplicaId, term: TermNumber } "This replica became the leader of its group.";
        2002 Warning LeadershipLost { replica: ReplicaId, term: TermNumber } "This replica is no longer the leader of its group.";
        2003 Info DeclarationsAccepted { revision: RevisionNumber } "A change of the declarations was committed.";
        2004 Info WorkerSeen { worker: WorkerId, incarnation: IncarnationNumber } "The registration of a worker, of a new incarnation of it or of a change to it was committed.";
        2005 Warning WorkerLost { worker: WorkerId } "A worker's lease expired; its tasks wait for placement on other workers.";
        2006 Debug TaskWaiting { task: TaskId } "A task waits for placement.";
        2007 Info TaskPlaced { task: TaskId, attempt: AttemptNumber, worker: WorkerId } "A task was placed on a worker.";
        2008 Debug TaskStarted { task: TaskId, attempt: AttemptNumber } "A worker reported that a task runs.";
        2009 Debug TaskThrottled { task: TaskId, attempt: AttemptNumber, percent: u8 } "The share of its reservation that a task may use has changed.";
        2010 Info TaskStopping { task: TaskId, attempt: AttemptNumber } "Control asked a task to stop; the task keeps its reservation until the worker confirms the stop.";
        2011 Info TaskReleased { task: TaskId, attempt: AttemptNumber, worker: WorkerId, end: String } "A task released its reservation on a worker.";
        2012 Info TaskEnded { task: TaskId, phase: String } "A task ended and will not run again.";
        2013 Warning JobParked { job: JobId } "A job was parked and is not placed until an operator acts; `mangoctl explain task` gives the reason.";
        2014 Info JobUnparked { job: JobId } "A parked job may be placed again.";
        2015 Info StorageFailed { reason: String } "A batch of the log could not be written; this replica does not vote or lead until a write succeeds.";
        2016 Error StateUnusable { reason: String } "This version can't decode the replicated state; the replica stops.";
    }
}
