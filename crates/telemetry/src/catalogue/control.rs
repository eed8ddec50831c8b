//! Events of the control group. Numbers 2000 to 2999.

use base::{ReplicaId, TermNumber};

catalogue! {
    /// Events of the control group.
    ControlEvent {
        2001 Info LeadershipGained { replica: ReplicaId, term: TermNumber } "This replica leads its group.";
        2002 Warning LeadershipLost { replica: ReplicaId, term: TermNumber } "This replica leads no longer.";
    }
}
