//! Random schedules of faults. A seed determines the list of steps, any part of which can be rerun.

use {
    super::{address, Cluster, InjectedBug, ELECTION_TIMEOUT, HEARTBEAT},
    base::{ReplicaId, SeededRandom},
    quorum::{MemberChange, ReplicaRole},
    std::{collections::BTreeSet, time::Duration},
};

/// Steps of a schedule before all faults are healed.
const STEP_COUNT: usize = 600;
/// Limit of messages in transit; the oldest ones beyond it are dropped.
const IN_TRANSIT_LIMIT: usize = 500;

/// One seed in this many also writes to real files.
const REAL_FILES_INTERVAL: u64 = 8;

/// A step of a schedule. Random numbers in it select among the replicas that exist when it runs.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Advances time. Messages are delivered, lost, duplicated or delayed, and disks complete
    /// writes.
    Run {
        millis: u64,
        salt: u64,
        loss: f64,
    },
    Propose {
        pick: u64,
    },
    Read {
        pick: u64,
    },
    Crash {
        pick: u64,
        keep_unsynced: bool,
        /// Whether the replica restarts immediately.
        restart: bool,
    },
    PowerLoss {
        keep_unsynced: bool,
    },
    Restart {
        pick: u64,
    },
    /// Cuts the link from one replica to another.
    Cut {
        from: u64,
        to: u64,
    },
    Isolate {
        pick: u64,
    },
    /// Suspends a process until the network is healed.
    Pause {
        pick: u64,
    },
    Heal,
    FillDisk {
        pick: u64,
    },
    FreeDisks,
    LoseDisk {
        pick: u64,
    },
    AddLearner,
    Promote {
        pick: u64,
    },
    Remove {
        pick: u64,
    },
}

/// The result of a run.
#[derive(Debug, Default, Clone)]
pub struct RunReport {
    pub steps: usize,
    pub faults: usize,
    pub acknowledged: usize,
    pub reads: usize,
    pub snapshots: usize,
    pub changes: usize,
    pub violations: Vec<String>,
}

/// Returns the steps for a seed.
pub fn steps_of(seed: u64) -> Vec<Step> {
    let mut random = SeededRandom::new(seed);
    let loss = [0.0, 0.02, 0.2][random.below(3)];
    let changes = [0.0, 0.1][random.below(2)];
    let mut next = || match random.chance(changes) {
        true => random_change(&mut random),
        false => random_step(&mut random, loss),
    };
    (0..STEP_COUNT).map(|_| next()).collect()
}

fn random_change(random: &mut SeededRandom) -> Step {
    let pick = random.next_u64();
    [Step::AddLearner, Step::Promote { pick }, Step::Remove { pick }][random.below(3)]
}

fn random_step(random: &mut SeededRandom, loss: f64) -> Step {
    let pick = random.next_u64();
    let other = random.next_u64();
    let keep_unsynced = random.chance(0.3);
    match random.below(1000) {
        0..=689 => Step::Run { millis: 1 + pick % 25, salt: other, loss },
        690..=799 => Step::Propose { pick },
        800..=889 => Step::Read { pick },
        890..=899 => Step::Crash { pick, keep_unsynced, restart: other.is_multiple_of(3) },
        900..=903 => Step::PowerLoss { keep_unsynced },
        904..=923 => Step::Restart { pick },
        924..=931 => Step::Cut { from: pick, to: other },
        932..=939 => Step::Isolate { pick },
        940..=947 => Step::Pause { pick },
        948..=961 => Step::Heal,
        962..=965 => Step::FillDisk { pick },
        966..=971 => Step::FreeDisks,
        972..=975 => Step::LoseDisk { pick },
        976..=983 => Step::AddLearner,
        984..=993 => Step::Promote { pick },
        _ => Step::Remove { pick },
    }
}

/// Runs steps of a seed's schedule, then heals all faults and checks the final state.
pub fn run(seed: u64, steps: &[Step], bug: Option<InjectedBug>) -> RunReport {
    let mut schedule = Schedule::set_up(seed, bug);
    for step in steps {
        schedule.run_step(*step);
        schedule.report.steps += 1;
        if !schedule.cluster.observer.violations.is_empty() {
            return schedule.finish();
        }
    }
    schedule.heal_and_check();
    schedule.finish()
}

/// Returns a shorter failing schedule, found by removing ever smaller parts.
pub fn shorten(seed: u64, bug: Option<InjectedBug>) -> Vec<Step> {
    let mut steps = steps_of(seed);
    let mut chunk = steps.len() / 2;
    while chunk > 0 {
        let mut start = 0;
        while start < steps.len() {
            let mut fewer = steps.clone();
            fewer.drain(start..(start + chunk).min(steps.len()));
            if run(seed, &fewer, bug).violations.is_empty() {
                start += chunk;
            } else {
                steps = fewer;
            }
        }
        chunk /= 2;
    }
    steps
}

struct Schedule {
    cluster: Cluster,
    lost: BTreeSet<ReplicaId>,
    next_id: u64,
    proposals: u64,
    report: RunReport,
}

impl Schedule {
    /// Creates a group that has elected a leader and committed its first entry on every replica.
    fn set_up(seed: u64, bug: Option<InjectedBug>) -> Self {
        let voters = [1, 3, 3, 3, 5][(seed % 5) as usize];
        let mut cluster = Cluster::new(voters, seed);
        cluster.snapshot_every = [7, 1_000_000][(seed % 2) as usize];
        cluster.real_files = seed.is_multiple_of(REAL_FILES_INTERVAL);
        if !seed.is_multiple_of(3) {
            cluster.clock_percents = vec![100, 60, 150, 80];
        }
        (1..=voters).for_each(|id| cluster.start(ReplicaId(id)));
        cluster.advance(ELECTION_TIMEOUT * 6);
        cluster.bug = bug;
        let report = RunReport::default();
        Self { cluster, lost: BTreeSet::new(), next_id: voters + 1, proposals: 0, report }
    }

    fn finish(mut self) -> RunReport {
        let observer = self.cluster.observer;
        self.report.violations = observer.violations;
        self.report.acknowledged = observer.acknowledged;
        self.report.reads = observer.reads_answered;
        self.report.snapshots = observer.snapshots_installed;
        self.report.changes = observer.changes_made;
        self.report
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Run { millis, salt, loss } => self.pass_time(millis, salt, loss),
            Step::Propose { pick } => {
                self.proposals += 1;
                let data = format!("proposal {}", self.proposals);
                let to = self.choose_leader(pick);
                self.cluster.propose(to, &data);
            }
            Step::Read { pick } => {
                let to = self.choose_leader(pick);
                self.cluster.read(to);
            }
            Step::Restart { pick } => {
                let down = self.choose(pick, |schedule, id| !schedule.is_up(id));
                if let Some(replica) = down {
                    self.cluster.start(replica);
                }
            }
            Step::AddLearner | Step::Promote { .. } | Step::Remove { .. } => self.change(step),
            _ => {
                self.report.faults += 1;
                self.fault(step);
            }
        }
    }

    fn fault(&mut self, step: Step) {
        let pick_up = |pick| self.choose(pick, Self::is_up);
        match step {
            Step::Crash { pick, keep_unsynced, restart } => {
                if let Some(replica) = pick_up(pick) {
                    self.cluster.crash(replica, keep_unsynced);
                    if restart {
                        self.cluster.start(replica);
                    }
                }
            }
            Step::PowerLoss { keep_unsynced } => {
                for replica in self.ids() {
                    self.cluster.crash(replica, keep_unsynced);
                    self.cluster.start(replica);
                }
                self.cluster.in_transit.clear();
            }
            Step::Cut { from, to } => {
                let ids = self.ids();
                let at = |pick: u64| ids[(pick % ids.len() as u64) as usize];
                self.cluster.cut_links.insert((at(from), at(to)));
            }
            Step::Isolate { pick } => {
                let ids = self.ids();
                let alone = ids[(pick % ids.len() as u64) as usize];
                self.cluster.cut_links.extend(ids.iter().map(|id| (*id, alone)));
                self.cluster.cut_links.extend(ids.iter().map(|id| (alone, *id)));
            }
            Step::Pause { pick } => {
                if let Some(replica) = pick_up(pick) {
                    self.cluster.nodes.get_mut(&replica).unwrap().paused = true;
                }
            }
            Step::Heal => self.heal_network(),
            Step::FillDisk { pick } => {
                if let Some(replica) = pick_up(pick) {
                    self.cluster.nodes.get_mut(&replica).unwrap().disk_full = true;
                }
            }
            Step::FreeDisks => {
                self.cluster.nodes.values_mut().for_each(|node| node.disk_full = false);
            }
            Step::LoseDisk { pick } => self.lose_disk(pick),
            _ => {}
        }
    }

    /// Destroys a replica permanently, provided that a quorum remains in every membership that a
    /// running replica may use.
    fn lose_disk(&mut self, pick: u64) {
        let ids = self.ids();
        let victim = ids[(pick % ids.len() as u64) as usize];
        let is_lost = |id: &ReplicaId| *id == victim || self.lost.contains(id);
        let cores = self.cluster.nodes.values().filter_map(|node| node.core.as_ref());
        let quorum_remains = ids.iter().all(|id| self.is_up(*id))
            && cores.clone().all(|core| {
                let members = core.members();
                let voters = members.iter().filter(|member| member.member.voter);
                let ids: Vec<_> = voters.map(|member| member.member.replica).collect();
                ids.iter().filter(|id| is_lost(id)).count() * 2 < ids.len()
            });
        if quorum_remains {
            self.cluster.crash(victim, false);
            self.cluster.nodes.remove(&victim);
            self.lost.insert(victim);
        }
    }

    fn change(&mut self, step: Step) {
        let Some(leader) = self.cluster.leader() else { return };
        let Some(core) = self.cluster.nodes[&leader].core.as_ref() else { return };
        let members = core.members();
        let choose = |pick: u64| members[(pick % members.len() as u64) as usize].member.replica;
        let change = match step {
            // An operator does not promote a replica that is known to be lost.
            Step::Promote { pick } if !self.lost.contains(&choose(pick)) => {
                MemberChange::Promote { replica: choose(pick) }
            }
            Step::Remove { pick } if members.len() > 2 => {
                let lost = members.iter().find(|member| self.lost.contains(&member.member.replica));
                let replica = lost.map_or(choose(pick), |member| member.member.replica);
                MemberChange::Remove { replica }
            }
            Step::AddLearner if members.len() < 7 => {
                let replica = ReplicaId(self.next_id);
                self.next_id += 1;
                self.cluster.start(replica);
                MemberChange::AddLearner { replica, address: address(replica) }
            }
            _ => return,
        };
        self.cluster.change(leader, change);
    }

    fn pass_time(&mut self, millis: u64, salt: u64, loss: f64) {
        let mut random = SeededRandom::new(salt);
        self.cluster.now += Duration::from_millis(millis);
        self.cluster.tick_all();
        let mut in_transit: Vec<_> = std::mem::take(&mut self.cluster.in_transit).into();
        while !in_transit.is_empty() {
            let envelope = in_transit.swap_remove(random.below(in_transit.len()));
            match random.unit() {
                _ if self.is_paused(envelope.to) => self.cluster.in_transit.push_back(envelope),
                draw if draw < loss => {}
                draw if draw < 0.3 => self.cluster.in_transit.push_back(envelope),
                draw if draw < 0.35 => {
                    self.cluster.in_transit.push_back(envelope.clone());
                    self.cluster.deliver(envelope);
                }
                _ => self.cluster.deliver(envelope),
            }
        }
        let surplus = self.cluster.in_transit.len().saturating_sub(IN_TRANSIT_LIMIT);
        self.cluster.in_transit.drain(..surplus);
        for replica in self.ids() {
            if random.chance(0.6) && !self.is_paused(replica) {
                self.cluster.sync(replica);
            }
        }
    }

    fn heal_network(&mut self) {
        self.cluster.cut_links.clear();
        self.cluster.nodes.values_mut().for_each(|node| node.paused = false);
    }

    /// Checks that the group works after all faults are healed, and still holds everything
    /// acknowledged.
    fn heal_and_check(&mut self) {
        self.heal_network();
        self.cluster.nodes.values_mut().for_each(|node| node.disk_full = false);
        for replica in self.ids() {
            if !self.is_up(replica) {
                self.cluster.start(replica);
            }
        }
        self.cluster.advance(ELECTION_TIMEOUT * 30);
        let Some(leader) = self.cluster.leader() else {
            self.cluster.observer.violations.push("no leader after everything healed".to_owned());
            return;
        };
        let answered = self.cluster.observer.reads_answered;
        self.cluster.read(leader);
        self.cluster.propose(leader, "after everything healed");
        self.cluster.advance(HEARTBEAT * 4);
        if self.cluster.observer.reads_answered == answered {
            self.cluster
                .observer
                .violations
                .push("no read was answered after everything healed".to_owned());
        }
        self.check_members(leader);
    }

    fn check_members(&mut self, leader: ReplicaId) {
        let acknowledged_index = self.cluster.observer.acknowledged_index();
        let members = self.cluster.nodes[&leader].core.as_ref().unwrap().members();
        for member in members.iter().map(|member| member.member.replica) {
            let Some(node) = self.cluster.nodes.get(&member) else { continue };
            let expected = self.cluster.observer.digest_at(node.applied);
            if node.applied < acknowledged_index || expected != Some(node.digest) {
                let violation = format!(
                    "{member} ends at {}, but {acknowledged_index} was acknowledged",
                    node.applied
                );
                self.cluster.observer.violations.push(violation);
            }
            if self.cluster.observer.removed().contains(&member) {
                self.cluster.observer.violations.push(format!("{member} is a member again"));
            }
        }
    }

    fn ids(&self) -> Vec<ReplicaId> {
        self.cluster.nodes.keys().copied().collect()
    }

    fn is_up(&self, replica: ReplicaId) -> bool {
        self.cluster.nodes.get(&replica).is_some_and(|node| node.core.is_some())
    }

    fn is_paused(&self, replica: ReplicaId) -> bool {
        self.cluster.nodes.get(&replica).is_some_and(|node| node.paused)
    }

    fn choose(&self, pick: u64, matches: impl Fn(&Self, ReplicaId) -> bool) -> Option<ReplicaId> {
        let candidates: Vec<_> = self.ids().into_iter().filter(|id| matches(self, *id)).collect();
        let position = pick.checked_rem(candidates.len() as u64)?;
        candidates.get(position as usize).copied()
    }

    /// Selects a replica that considers itself the leader, or one time in eight any replica.
    fn choose_leader(&self, pick: u64) -> ReplicaId {
        let leads = |schedule: &Self, id: ReplicaId| {
            let core = schedule.cluster.nodes[&id].core.as_ref();
            core.is_some_and(|core| core.role() == ReplicaRole::Leader)
        };
        let leader = self.choose(pick, leads).filter(|_| !pick.is_multiple_of(8));
        leader.or_else(|| self.choose(pick, |_, _| true)).unwrap_or_default()
    }
}
