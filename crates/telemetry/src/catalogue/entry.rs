//! Events of entries. Numbers 3000 to 3999.

use base::RequestId;

catalogue! {
    /// Events of entries.
    EntryEvent {
        3001 Debug RequestReceived { request: RequestId, service: String } "A caller's request has arrived whole.";
    }
}
