//! Which executors have crashed where, and which tasks may have done it.
//!
//! A crash is explained either by a task that had just begun or by its address: a faulty machine, or
//! whatever else ends executors there. A task that settles or completes is cleared of all its
//! crashes, so that they speak against their addresses, and a crash at such an address proves
//! little against another task. `docs/decisions/crashes.md` has the design.

use {
    crate::job::{JobKey, TaskKey},
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Time for which a crash that no task explains speaks against its address.
const ADDRESS_MEMORY: Duration = Duration::from_secs(30);
/// The most crashes that are remembered.
const CRASHES_KEPT: usize = 1024;
/// Weight of a crash under one job alone, at an address without crashes of its own.
const WITNESSED_WEIGHT: u32 = 5;
/// Weight of a crash under several jobs.
const SHARED_WEIGHT: u32 = 4;
/// Weight of another crash at the same address, and of one where an executor has crashed for another
/// reason once.
const WEAK_WEIGHT: u32 = 3;
/// Weight of a crash where executors have crashed for other reasons several times.
const FLAPPING_WEIGHT: u32 = 1;
/// Weight of the crashes that prove that a task crashes its executors: of three, two of them shared.
const PROOF_WEIGHT: u32 = WITNESSED_WEIGHT + 2 * SHARED_WEIGHT;
/// The number of addresses that a proof needs, since one may be at fault itself.
const PROOF_ADDRESSES: usize = 2;
/// The number of addresses that a proof needs to hold at once: fewer may be all that can run the
/// task, and be at fault together.
const SOUND_ADDRESSES: usize = 3;

/// A task that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSuspect {
    /// The task.
    pub task: TaskKey,
    /// Whether it had begun for certain.
    pub certain: bool,
}

/// A crash of an executor.
#[derive(Debug)]
struct CrashRecord {
    address: Arc<str>,
    at: Duration,
    suspects: Vec<CrashSuspect>,
    /// Whether a suspect has been given up.
    convicted: bool,
}

impl CrashRecord {
    fn suspects_job(&self, job: JobKey) -> bool {
        self.suspects.iter().any(|suspect| suspect.task.job == job)
    }

    fn suspects_only(&self, job: JobKey) -> bool {
        self.suspects.iter().all(|suspect| suspect.task.job == job)
    }

    fn is_certain_for(&self, task: &TaskKey) -> bool {
        self.suspects.contains(&CrashSuspect { task: *task, certain: true })
    }

    /// Returns whether no task explains the crash, so that it speaks against the address.
    fn is_unexplained(&self, now: Duration) -> bool {
        self.suspects.is_empty() && now.saturating_sub(self.at) < ADDRESS_MEMORY
    }
}

/// The crashes that a leader has seen, the latest last.
#[derive(Debug, Default)]
pub struct CrashLedger {
    records: VecDeque<CrashRecord>,
    /// The number of crashes under each task that earlier leaders have counted.
    earlier: HashMap<TaskKey, u32>,
}

impl CrashLedger {
    /// Notes a crash, with its suspects.
    pub fn note_crash(&mut self, address: &Arc<str>, suspects: Vec<CrashSuspect>, now: Duration) {
        let (address, convicted) = (address.clone(), false);
        self.records.push_back(CrashRecord { address, at: now, suspects, convicted });
        if self.records.len() > CRASHES_KEPT {
            self.records.pop_front();
        }
    }

    /// Notes how many crashes the log counts under a task before this leader has counted any.
    pub fn note_earlier(&mut self, task: TaskKey, crashes: u32) {
        self.earlier.entry(task).or_insert(crashes);
    }

    /// Clears a task that has settled of all crashes so far, also of those that the log counts.
    pub fn clear(&mut self, task: TaskKey) {
        self.acquit(&task);
        self.earlier.insert(task, 0);
    }

    /// Returns whether the crashes that the log counts under a task no longer speak against it.
    pub fn is_cleared(&self, task: &TaskKey) -> bool {
        self.earlier.get(task) == Some(&0)
    }

    /// Clears a task that has completed of all crashes.
    pub fn forget_task(&mut self, task: &TaskKey) {
        self.acquit(task);
        self.earlier.remove(task);
    }

    fn acquit(&mut self, task: &TaskKey) {
        for record in &mut self.records {
            record.suspects.retain(|suspect| suspect.task != *task);
        }
    }

    /// Notes that a task is given up, which explains the crashes under it.
    pub fn convict(&mut self, task: &TaskKey) {
        for record in self.records.iter_mut().filter(|record| record.is_certain_for(task)) {
            record.convicted = true;
        }
    }

    /// Forgets what earlier leaders have counted for a job that has ended. Its crashes stay: they are
    /// not the fault of their addresses.
    pub fn forget_job(&mut self, job: JobKey) {
        self.earlier.retain(|task, _| task.job != job);
    }

    /// Returns whether the crashes under a task prove that it crashes its executors. One of them must
    /// have had no other job suspected.
    pub fn is_proven(&self, task: &TaskKey, now: Duration) -> bool {
        let earlier = self.earlier.get(task).copied().unwrap_or(0);
        let mut weight = earlier * SHARED_WEIGHT;
        let mut addresses = BTreeSet::new();
        let mut alone = false;
        let mut explained = false;
        for record in self.records.iter().filter(|record| record.is_certain_for(task)) {
            if record.convicted {
                explained = true;
                continue;
            }
            let first = addresses.insert(&*record.address);
            let unshared = record.suspects_only(task.job);
            alone |= unshared;
            weight += match self.unexplained_at(&record.address, now) {
                0 if first && unshared => WITNESSED_WEIGHT,
                0 if first => SHARED_WEIGHT,
                0 | 1 => WEAK_WEIGHT,
                _ => FLAPPING_WEIGHT,
            };
        }
        // Another suspect of one such crash may be deadly as well, but not of many.
        weight += if explained { WEAK_WEIGHT } else { 0 };
        let enough_addresses = addresses.len() + earlier as usize >= PROOF_ADDRESSES;
        alone && enough_addresses && weight >= PROOF_WEIGHT
    }

    /// Returns whether a proof rests on so few addresses that they have to hold without the task
    /// before it counts.
    pub fn is_doubtful(&self, task: &TaskKey) -> bool {
        let certain = self.records.iter().filter(|record| record.is_certain_for(task));
        let addresses: BTreeSet<&str> = certain.map(|record| &*record.address).collect();
        let earlier = self.earlier.get(task).copied().unwrap_or(0);
        addresses.len() + (earlier as usize) < SOUND_ADDRESSES
    }

    /// Returns whether an executor at an address has lately crashed for reasons of its own.
    pub fn is_unreliable(&self, address: &str, now: Duration) -> bool {
        self.unexplained_at(address, now) > 0
    }

    /// Returns how little a trial of a job at an address would prove, by the crashes there: those
    /// around the job or for no known reason, then all others.
    pub fn trial_rank(&self, job: JobKey, address: &str, now: Duration) -> (usize, usize) {
        let here = self.records.iter().filter(|record| *record.address == *address);
        let (against, others): (Vec<&CrashRecord>, Vec<&CrashRecord>) =
            here.partition(|record| record.suspects_job(job) || record.is_unexplained(now));
        (against.len(), others.len())
    }

    fn unexplained_at(&self, address: &str, now: Duration) -> usize {
        let here = self.records.iter().filter(|record| *record.address == *address);
        here.filter(|record| record.is_unexplained(now)).count()
    }
}
