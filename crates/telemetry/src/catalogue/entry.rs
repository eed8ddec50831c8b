//! Events of entries. Numbers 3000 to 3999.

use base::{EndpointId, PeerAddress, RequestId, ServiceName};

catalogue! {
    /// Events of entries.
    EntryEvent {
        3001 Debug RequestReceived { request: RequestId, service: String } "The entry received a caller's complete request.";
        3002 Debug RequestDispatched { request: RequestId, dispatch: u32, endpoint: EndpointId, hedge: bool } "The entry sent a request to the agent of an endpoint.";
        3003 Debug DispatchEnded { request: RequestId, dispatch: u32, end: String } "A dispatch ended: it was answered, did not run, or may have run.";
        3004 Debug RequestAnswered { request: RequestId, status: u16 } "The entry sent the executor's response to the caller.";
        3005 Info RequestRefused { request: RequestId, outcome: String, reason: String } "The entry reported to the caller that its request did not run or that its outcome is unknown.";
        3006 Debug KeyClaimed { request: RequestId, dispatch: u32 } "The ledger granted the request's idempotency key.";
        3007 Info KeyHeld { request: RequestId, holder: String } "Another dispatch holds the request's idempotency key; the entry asks that dispatch's agent for the outcome.";
        3008 Info DispatchFenced { request: RequestId, endpoint: EndpointId } "An agent fenced a dispatch that it had not received, so that the entry may send the request again.";
        3009 Warning LedgerUnreachable { request: RequestId } "The ledger could not be reached in time; the request was not dispatched.";
        3010 Warning ControlUnreachable { peer: PeerAddress } "The entry could not fetch the endpoint table from control and keeps its current table.";
        3011 Info EndpointLearned { endpoint: EndpointId, service: ServiceName } "An endpoint was added to the endpoint table.";
        3012 Info EndpointGone { endpoint: EndpointId } "An endpoint was removed from the endpoint table.";
        3013 Warning CloseAbandoned { request: RequestId } "The entry could not report the end of a keyed request to the ledger; if the request is sent again, the entry asks the agent for the outcome.";
    }
}
