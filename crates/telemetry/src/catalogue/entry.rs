//! Events of entries. Numbers 3000 to 3999.

use base::{EndpointId, PeerAddress, RequestId, ServiceName};

catalogue! {
    /// Events of entries.
    EntryEvent {
        3001 Debug RequestReceived { request: RequestId, service: String } "A caller's request has arrived whole.";
        3002 Debug RequestDispatched { request: RequestId, dispatch: u32, endpoint: EndpointId, hedge: bool } "A request is sent to the agent beside an endpoint.";
        3003 Debug DispatchEnded { request: RequestId, dispatch: u32, end: String } "A dispatch was answered, did not run, or may have run.";
        3004 Debug RequestAnswered { request: RequestId, status: u16 } "A caller gets the executor's answer.";
        3005 Info RequestRefused { request: RequestId, outcome: String, reason: String } "A caller is told that its request did not run, or that nobody knows.";
        3006 Debug KeyClaimed { request: RequestId, dispatch: u32 } "The ledger granted the request's idempotency key.";
        3007 Info KeyHeld { request: RequestId, holder: String } "Another dispatch holds the request's idempotency key; its agent is asked.";
        3008 Info DispatchFenced { request: RequestId, endpoint: EndpointId } "An agent that never saw a dispatch will refuse it, so that the request may be sent again.";
        3009 Warning LedgerUnreachable { request: RequestId } "The ledger could not be reached in time; nothing was dispatched.";
        3010 Warning ControlUnreachable { peer: PeerAddress } "The table of endpoints could not be pulled; the entry goes on with the one that it has.";
        3011 Info EndpointLearned { endpoint: EndpointId, service: ServiceName } "An endpoint has joined the table.";
        3012 Info EndpointGone { endpoint: EndpointId } "An endpoint has left the table.";
        3013 Warning CloseAbandoned { request: RequestId } "The end of a keyed request could not be told to the ledger; a resend will ask the agent.";
    }
}
