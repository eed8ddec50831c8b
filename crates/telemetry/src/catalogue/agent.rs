//! Events of agents. Numbers 4000 to 4999.

use base::WorkerId;

catalogue! {
    /// Events of agents.
    AgentEvent {
        4001 Warning LeaseEnded { worker: WorkerId } "The worker's lease has ended without renewal, and its tasks are being stopped.";
    }
}
