//! The processes that have sent messages to the leader, and the revision in force at each.

use {
    base::{PeerAddress, ProcessName, RevisionNumber},
    indexmap::IndexMap,
    proto::{envelope::ProcessRole, messages::operator::ProcessStatus},
    std::time::Duration,
};

/// Upper bound on the processes in the table.
const PROCESSES_LIMIT: usize = 8192;
/// Time without a message after which a process is removed.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// The header fields that describe the sender of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SenderInfo {
    /// The sender.
    pub name: ProcessName,
    /// The sender's role.
    pub role: ProcessRole,
    /// The revision in force at the sender.
    pub revision: RevisionNumber,
}

#[derive(Debug, Clone)]
struct KnownProcess {
    role: ProcessRole,
    revision: RevisionNumber,
    operator_address: PeerAddress,
    last_seen_at: Duration,
}

/// The processes that have recently sent messages in this term.
#[derive(Debug, Default)]
pub struct ProcessTable {
    processes: IndexMap<ProcessName, KnownProcess>,
}

impl ProcessTable {
    /// Records a message from a process. Ignores an unknown process if the table is full.
    pub fn record_contact(
        &mut self,
        now: Duration,
        note: SenderInfo,
        operator_address: PeerAddress,
    ) {
        if self.processes.len() >= PROCESSES_LIMIT && !self.processes.contains_key(&note.name) {
            return;
        }
        let SenderInfo { name, role, revision } = note;
        let known = KnownProcess { role, revision, operator_address, last_seen_at: now };
        self.processes.insert(name, known);
    }

    /// Removes processes that have sent nothing for [`FORGET_AFTER`].
    pub fn forget_silent(&mut self, now: Duration) {
        self.processes.retain(|_, known| now < known.last_seen_at + FORGET_AFTER);
    }

    /// Returns the status of each process for operators.
    pub fn statuses(&self, now: Duration) -> Vec<ProcessStatus> {
        self.processes
            .iter()
            .map(|(name, known)| ProcessStatus {
                name: name.clone(),
                role: known.role,
                operator_address: known.operator_address,
                revision: known.revision,
                last_seen_ago: now.saturating_sub(known.last_seen_at),
            })
            .collect()
    }
}
