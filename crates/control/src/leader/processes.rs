//! The processes that were heard from, with the revision that each has in force.

use {
    base::{PeerAddress, ProcessName, RevisionNumber},
    indexmap::IndexMap,
    proto::{envelope::ProcessRole, messages::operator::ProcessStatus},
    std::time::Duration,
};

/// Processes that are remembered at most.
const PROCESSES_LIMIT: usize = 8192;
/// Silence after which a process is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// What the header of a message says of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessNote {
    /// The sender.
    pub name: ProcessName,
    /// Its role.
    pub role: ProcessRole,
    /// The revision that it has in force.
    pub revision: RevisionNumber,
}

#[derive(Debug, Clone)]
struct HeardProcess {
    role: ProcessRole,
    revision: RevisionNumber,
    operator_address: PeerAddress,
    heard_at: Duration,
}

/// Who was heard from in this term.
#[derive(Debug, Default)]
pub struct ProcessTable {
    processes: IndexMap<ProcessName, HeardProcess>,
}

impl ProcessTable {
    /// Notes that a process was heard.
    pub fn hear(&mut self, now: Duration, note: ProcessNote, operator_address: PeerAddress) {
        if self.processes.len() >= PROCESSES_LIMIT && !self.processes.contains_key(&note.name) {
            return;
        }
        let ProcessNote { name, role, revision } = note;
        let heard = HeardProcess { role, revision, operator_address, heard_at: now };
        self.processes.insert(name, heard);
    }

    /// Forgets processes that have been silent for long.
    pub fn forget_silent(&mut self, now: Duration) {
        self.processes.retain(|_, heard| now < heard.heard_at + FORGET_AFTER);
    }

    /// All processes, for operators.
    pub fn statuses(&self, now: Duration) -> Vec<ProcessStatus> {
        self.processes
            .iter()
            .map(|(name, heard)| ProcessStatus {
                name: name.clone(),
                role: heard.role,
                operator_address: heard.operator_address,
                revision: heard.revision,
                heard_ago: now.saturating_sub(heard.heard_at),
            })
            .collect()
    }
}
