//! Events that every role has. Numbers 1000 to 1999.

use base::{ClusterName, PeerAddress, ProcessName, RevisionNumber};

catalogue! {
    /// Events that every role has.
    ProcessEvent {
        1001 Info Started { name: ProcessName, cluster: ClusterName } "The process started.";
        1002 Info Listening { port: String, address: PeerAddress } "The process listens on a port.";
        1003 Info ShutdownBegan { reason: String } "The process accepts no new work and finishes the work in progress.";
        1004 Info Stopped {} "The process finished the work in progress and exits.";
        1005 Info RevisionInForce { revision: RevisionNumber, source: ProcessName } "The process applied newer declarations.";
        1006 Warning RevisionRefused { revision: RevisionNumber, reason: String } "The process received declarations that it can't use.";
        1007 Warning MessageRefused { peer: String, reason: String } "The process refused a message on its internal port.";
    }
}
