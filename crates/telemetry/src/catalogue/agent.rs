//! Events of agents. Numbers 4000 to 4999.

use base::{AttemptNumber, EndpointId, PeerAddress, TaskId, WorkerId};

catalogue! {
    /// Events of agents.
    AgentEvent {
        4001 Warning LeaseEnded { worker: WorkerId } "The worker's lease expired without renewal; the agent stops the worker's tasks.";
        4002 Info LeaseGranted { worker: WorkerId, leader: PeerAddress } "The worker obtained a lease after a time without one.";
        4003 Info LeaderChanged { peer: PeerAddress } "Another replica of the control group now renews the worker's lease.";
        4004 Info EndpointAnnounced { endpoint: EndpointId, address: PeerAddress } "An executor announced itself for the first time, again after its announcement had expired, or with changed properties.";
        4005 Info EndpointDraining { endpoint: EndpointId } "An endpoint accepts no new requests.";
        4006 Info EndpointGone { endpoint: EndpointId } "The agent removed an endpoint whose announcement had expired and which had no requests in progress.";
        4007 Info TaskStarted { task: TaskId, attempt: AttemptNumber } "The platform started an attempt.";
        4008 Info TaskEnded { task: TaskId, attempt: AttemptNumber, state: String } "An attempt no longer runs on this worker.";
        4009 Warning StartRefused { task: TaskId, attempt: AttemptNumber, reason: String } "The agent or the platform refused to start an attempt; the attempt did not run.";
        4010 Info TaskAdopted { task: TaskId, attempt: AttemptNumber } "The platform runs an attempt that an earlier incarnation of the agent started.";
        4011 Debug DispatchRefused { dispatch: String, reason: String } "The agent refused a request before it reached an executor.";
        4012 Warning DispatchRepeated { dispatch: String } "The agent received a dispatch again and did not run it a second time.";
        4013 Info DispatchFenced { dispatch: String } "The agent fenced a dispatch that it had not received, and refuses it if it arrives later.";
        4014 Warning AnswerLate { dispatch: String } "The deadline of a request passed before its executor answered.";
        4015 Warning PlatformSilent { reason: String } "The worker's platform does not respond.";
        4016 Info PlatformAnswers {} "The worker's platform responds again.";
        4017 Info DrainBegan { worker: WorkerId } "The agent began to drain its worker and accepts no new requests.";
        4018 Warning Superseded { worker: WorkerId } "Control has registered a newer incarnation of this agent; this incarnation accepts no new requests and leaves the tasks to the newer one.";
        4019 Debug ExecutorAnswered { dispatch: String, outcome: String } "A call to an executor ended.";
    }
}
