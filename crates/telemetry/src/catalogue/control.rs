//! Events of the control group. Numbers 2000 to 2999.

use base::{
    AttemptNumber, IncarnationNumber, JobId, ReplicaId, RevisionNumber, TaskId, TermNumber,
    WorkerId,
};

catalogue! {
    /// Events of the control group.
    ControlEvent {
        2001 Info LeadershipGained { replica: ReplicaId, term: TermNumber } "This replica leads its group.";
        2002 Warning LeadershipLost { replica: ReplicaId, term: TermNumber } "This replica leads no longer.";
        2003 Info DeclarationsAccepted { revision: RevisionNumber } "A change of the declarations is committed.";
        2004 Info WorkerSeen { worker: WorkerId, incarnation: IncarnationNumber } "A worker, a new life of it or a change of it is committed.";
        2005 Warning WorkerLost { worker: WorkerId } "A worker's lease has expired, and its tasks wait for other places.";
        2006 Debug TaskWaiting { task: TaskId } "A task waits for a place.";
        2007 Info TaskPlaced { task: TaskId, attempt: AttemptNumber, worker: WorkerId } "A task has been given a place.";
        2008 Debug TaskStarted { task: TaskId, attempt: AttemptNumber } "A worker reports that a task runs.";
        2009 Debug TaskThrottled { task: TaskId, attempt: AttemptNumber, percent: u8 } "A task may use another share of its reservation.";
        2010 Info TaskStopping { task: TaskId, attempt: AttemptNumber } "A task is to stop; it holds its reservation until that is confirmed.";
        2011 Info TaskReleased { task: TaskId, attempt: AttemptNumber, worker: WorkerId, end: String } "A task holds its place no longer.";
        2012 Info TaskEnded { task: TaskId, phase: String } "A task will not run again.";
        2013 Warning JobParked { job: JobId } "A job is kept back until an operator acts; `mangoctl explain task` says why.";
        2014 Info JobUnparked { job: JobId } "A job may be tried again.";
        2015 Info StorageFailed { reason: String } "A batch of the log could not be written; this replica does not vote or lead until a write succeeds.";
        2016 Error StateUnusable { reason: String } "The replicated state can't be decoded by this version; the replica stops.";
    }
}
