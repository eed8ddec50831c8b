//! Events that every role has. Numbers 1000 to 1999.

use base::{ClusterName, PeerAddress, ProcessName, RevisionNumber};

catalogue! {
    /// Events that every role has.
    ProcessEvent {
        1001 Info Started { name: ProcessName, cluster: ClusterName } "The process has started.";
        1002 Info Listening { port: String, address: PeerAddress } "A port is open.";
        1003 Info ShutdownBegan { reason: String } "The process takes no new work and finishes what is in progress.";
        1004 Info Stopped {} "The process has finished what was in progress and ends.";
        1005 Info RevisionInForce { revision: RevisionNumber, source: ProcessName } "Newer declarations are in force in this process.";
        1006 Warning RevisionRefused { revision: RevisionNumber, reason: String } "Declarations were received that this process can't use.";
        1007 Warning MessageRefused { peer: String, reason: String } "A message on the internal port was refused.";
    }
}
