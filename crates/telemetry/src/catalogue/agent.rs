//! Events of agents. Numbers 4000 to 4999.

use base::{AttemptNumber, EndpointId, PeerAddress, TaskId, WorkerId};

catalogue! {
    /// Events of agents.
    AgentEvent {
        4001 Warning LeaseEnded { worker: WorkerId } "The worker's lease has ended without renewal, and its tasks are being stopped.";
        4002 Info LeaseGranted { worker: WorkerId, leader: PeerAddress } "The worker holds a lease after it held none.";
        4003 Info LeaderChanged { peer: PeerAddress } "Another member of the control group renews the worker's lease.";
        4004 Info EndpointAnnounced { endpoint: EndpointId, address: PeerAddress } "An executor has announced itself, or what it announces has changed.";
        4005 Info EndpointDraining { endpoint: EndpointId } "An endpoint takes no new requests.";
        4006 Info EndpointGone { endpoint: EndpointId } "An endpoint has left or is announced no longer.";
        4007 Info TaskStarted { task: TaskId, attempt: AttemptNumber } "The platform runs an attempt.";
        4008 Info TaskEnded { task: TaskId, attempt: AttemptNumber, state: String } "An attempt runs no more on this worker.";
        4009 Warning StartRefused { task: TaskId, attempt: AttemptNumber, reason: String } "An attempt was refused and has not run.";
        4010 Info TaskAdopted { task: TaskId, attempt: AttemptNumber } "An attempt that an earlier life of the agent started runs on the platform.";
        4011 Debug DispatchRefused { dispatch: String, reason: String } "A request was refused before it reached an executor.";
        4012 Warning DispatchRepeated { dispatch: String } "A dispatch arrived that had arrived before, and was not run again.";
        4013 Info DispatchFenced { dispatch: String } "A dispatch that never arrived will be refused from now on.";
        4014 Warning AnswerLate { dispatch: String } "The deadline of a request passed while its executor had it.";
        4015 Warning PlatformSilent { reason: String } "The worker's platform does not answer.";
        4016 Info PlatformAnswers {} "The worker's platform answers again.";
        4017 Info DrainBegan { worker: WorkerId } "The agent is leaving and takes no new requests.";
        4018 Warning Superseded { worker: WorkerId } "Control has seen a newer life of this agent, so that this one takes no new requests and leaves the tasks to the newer one.";
        4019 Debug ExecutorAnswered { dispatch: String, outcome: String } "An executor call has ended.";
    }
}
