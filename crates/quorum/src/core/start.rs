//! How a replica starts from what its disk holds.

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
    /// A setting has no sensible meaning.
    #[snafu(display("the settings of the log can't be used: {problem}"))]
    Settings {
        /// What is wrong.
        problem: SettingsProblem,
    },
    /// The recovered entries do not follow each other or the snapshot.
    #[snafu(display("the recovered log lacks position {expected}; found {found}"))]
    LogGap {
        /// The position that should come next.
        expected: LogIndex,
        /// The position that came.
        found: LogIndex,
    },
    /// The replica was removed from the group; its id never comes back.
    #[snafu(display("replica {replica} was removed from the group; join under a new id"))]
    Retired {
        /// This replica.
        replica: ReplicaId,
    },
}

/// What is wrong with the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum SettingsProblem {
    /// A replica is a founder twice.
    #[snafu(display("a replica is named twice among the founders"))]
    FounderTwice,
    /// The heartbeat is zero, or not shorter than the election timeout.
    #[snafu(display("the heartbeat must be above zero and below the election timeout"))]
    Heartbeat,
    /// A bound is zero.
    #[snafu(display("every bound must be above zero"))]
    ZeroBound,
}

impl QuorumCore {
    /// Starts a replica from what was recovered. `seed` makes the election delays of replicas
    /// differ. The effects of the first event begin with the installation of the recovered
    /// snapshot, if there is one.
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
            group.note(entry);
        }
        let replica = settings.replica;
        ensure!(!group.at(start).is_retired(replica), RetiredSnafu { replica });
        let log = EntryLog::new(snapshot.clone(), entries);
        let mut core = Self {
            random: delays_of(replica, seed),
            now,
            hard_state,
            role: RoleState::Follower,
            leader: None,
            leader_heard: now,
            election_deadline: now,
            writes: WriteTracker::new(log.last_index()),
            log,
            group,
            retry_at: now,
            committed: start,
            applied: start,
            held: VecDeque::new(),
            incoming: None,
            snapshot_asked: false,
            recovered_snapshot: snapshot,
            reported: (ReplicaRole::Follower, hard_state.term, None),
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

/// Mixes seed and replica so that replicas whose seeds are related still draw different delays.
fn delays_of(replica: ReplicaId, seed: u64) -> SeededRandom {
    let mixed = SeededRandom::new(seed).next_u64();
    SeededRandom::new(mixed.wrapping_add(replica.0))
}

fn check_settings(settings: &QuorumSettings) -> Result<(), CoreError> {
    let founders = &settings.founders;
    let twice = founders.iter().enumerate().any(|(position, founder)| {
        founders[..position].iter().any(|earlier| earlier.replica == founder.replica)
    });
    ensure!(!twice, SettingsSnafu { problem: SettingsProblem::FounderTwice });
    let heartbeat = settings.heartbeat;
    let heartbeat_fits = !heartbeat.is_zero() && heartbeat < settings.election_timeout;
    ensure!(heartbeat_fits, SettingsSnafu { problem: SettingsProblem::Heartbeat });
    let bounds = [settings.batch_bytes, settings.in_flight, settings.pending];
    let zero = bounds.contains(&0) || settings.snapshot_chunk == 0 || settings.snapshot_every == 0;
    ensure!(!zero, SettingsSnafu { problem: SettingsProblem::ZeroBound });
    Ok(())
}
