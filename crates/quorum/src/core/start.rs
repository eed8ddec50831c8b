//! Starts a replica from the state recovered from disk.

use {
    super::{
        group::GroupHistory, log::EntryLog, role::RoleState, writes::WriteTracker, QuorumCore,
    },
    crate::interface::{QuorumSettings, RecoveredLog, ReplicaRole},
    base::{LogIndex, ReplicaId, SeededRandom},
    snafu::{ensure, Snafu},
    std::{collections::VecDeque, time::Duration},
};

/// Why a replica can't start.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CoreError {
    /// A setting is invalid.
    #[snafu(display("invalid log settings: {problem}"))]
    Settings {
        /// The invalid setting.
        problem: SettingsProblem,
    },
    /// The recovered entries have a gap, or do not follow the snapshot.
    #[snafu(display("the recovered log lacks position {expected}; found {found}"))]
    LogGap {
        /// The next expected position.
        expected: LogIndex,
        /// The position that was found instead.
        found: LogIndex,
    },
    /// The replica was removed from the group. Its id can't be used again.
    #[snafu(display("replica {replica} was removed from the group; join under a new id"))]
    Retired {
        /// The id of this replica.
        replica: ReplicaId,
    },
}

/// Why the settings are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SettingsProblem {
    /// A replica occurs more than once among the founders.
    #[snafu(display("a replica occurs more than once among the founders"))]
    DuplicateFounder,
    /// The heartbeat interval is zero, or not shorter than the election timeout.
    #[snafu(display("the heartbeat must be above zero and below the election timeout"))]
    Heartbeat,
    /// A limit is zero.
    #[snafu(display("every limit must be above zero"))]
    ZeroLimit,
}

impl QuorumCore {
    /// Starts a replica from its recovered state. `seed` varies the election delays between
    /// replicas. If a snapshot was recovered, the first event's effects begin with its
    /// installation. Fails if the settings are invalid, the recovered entries have a gap or the
    /// replica was removed from the group.
    pub fn new(
        settings: QuorumSettings,
        recovered: RecoveredLog,
        now: Duration,
        seed: u64,
    ) -> Result<Self, CoreError> {
        check_settings(&settings)?;
        let RecoveredLog { hard_state, snapshot, entries } = recovered;
        let start = snapshot.as_ref().map_or(LogIndex(0), |snapshot| snapshot.index);
        let mut group = GroupHistory::new(snapshot.as_ref(), &settings.founders);
        let mut expected = start;
        for entry in &entries {
            expected = expected.next();
            ensure!(entry.index == expected, LogGapSnafu { expected, found: entry.index });
            group.record_entry(entry);
        }
        let replica = settings.replica;
        ensure!(!group.at(start).is_retired(replica), RetiredSnafu { replica });
        let log = EntryLog::new(snapshot.clone(), entries);
        let mut core = Self {
            random: election_delays(replica, seed),
            now,
            hard_state,
            role: RoleState::Follower,
            leader: None,
            last_leader_contact: now,
            election_deadline: now,
            writes: WriteTracker::new(log.last_index()),
            log,
            group,
            retry_at: now,
            committed: start,
            applied: start,
            uncompacted_bytes: 0,
            deferred: VecDeque::new(),
            incoming: None,
            snapshot_requested: false,
            recovered_snapshot: snapshot,
            reported_role: (ReplicaRole::Follower, hard_state.term, None),
            effects: Vec::new(),
            settings,
        };
        if !core.is_sole_voter() {
            core.reset_election();
        }
        Ok(core)
    }

    fn is_sole_voter(&self) -> bool {
        self.group.latest().voters().eq([self.settings.replica])
    }
}

/// Combines the seed with the replica id, so that replicas with related seeds draw different
/// delays.
fn election_delays(replica: ReplicaId, seed: u64) -> SeededRandom {
    let mixed = SeededRandom::new(seed).next_u64();
    SeededRandom::new(mixed.wrapping_add(replica.0))
}

fn check_settings(settings: &QuorumSettings) -> Result<(), CoreError> {
    let founders = &settings.founders;
    let has_duplicate = founders.iter().enumerate().any(|(position, founder)| {
        founders[..position].iter().any(|earlier| earlier.replica == founder.replica)
    });
    ensure!(!has_duplicate, SettingsSnafu { problem: SettingsProblem::DuplicateFounder });
    let heartbeat = settings.heartbeat;
    let heartbeat_fits = !heartbeat.is_zero() && heartbeat < settings.election_timeout;
    ensure!(heartbeat_fits, SettingsSnafu { problem: SettingsProblem::Heartbeat });
    let bounds = [settings.batch_bytes, settings.in_flight_limit, settings.pending_limit];
    let zero = bounds.contains(&0) || settings.snapshot_chunk == 0 || settings.snapshot_every == 0;
    ensure!(!zero, SettingsSnafu { problem: SettingsProblem::ZeroLimit });
    Ok(())
}
