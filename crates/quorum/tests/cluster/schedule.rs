//! Random schedules of faults: a list of steps made from a seed, which can be run again in part.

use {
    super::{address, Breakage, Cluster, ELECTION_TIMEOUT, HEARTBEAT},
    base::{ReplicaId, SeededRandom},
    quorum::{MemberChange, ReplicaRole},
    std::{collections::BTreeSet, time::Duration},
};

/// Steps of a schedule before everything is healed.
const STEPS: usize = 600;
/// More messages than this are not kept on their way.
const FLIGHTS: usize = 500;

/// One seed in this many writes real files beside the model of a disk.
const FILES_SEEDS: u64 = 8;

/// What happens next. Numbers choose among whatever is there when the step is run.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Time passes, messages arrive, are lost, repeated or late, and disks get on.
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
        /// Whether the replica starts again at once.
        restart: bool,
    },
    PowerLoss {
        keep_unsynced: bool,
    },
    Restart {
        pick: u64,
    },
    /// Nothing gets from one replica to another.
    Cut {
        from: u64,
        to: u64,
    },
    Isolate {
        pick: u64,
    },
    /// A process stands still until everything is healed.
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

/// What a run came to.
#[derive(Debug, Default, Clone)]
pub struct RunReport {
    pub steps: usize,
    pub faults: usize,
    pub acknowledged: usize,
    pub reads: usize,
    pub snapshots: usize,
    pub changes: usize,
    pub complaints: Vec<String>,
}

/// The steps that belong to a seed.
pub fn steps_of(seed: u64) -> Vec<Step> {
    let mut random = SeededRandom::new(seed);
    let loss = [0.0, 0.02, 0.2][random.below(3)];
    let changes = [0.0, 0.1][random.below(2)];
    let mut next = || match random.chance(changes) {
        true => random_change(&mut random),
        false => random_step(&mut random, loss),
    };
    (0..STEPS).map(|_| next()).collect()
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

/// Runs steps of a seed's schedule, then heals everything and checks what is left.
pub fn run(seed: u64, steps: &[Step], breakage: Option<Breakage>) -> RunReport {
    let mut schedule = Schedule::found(seed, breakage);
    for step in steps {
        schedule.run_step(*step);
        schedule.report.steps += 1;
        if !schedule.cluster.witness.complaints.is_empty() {
            return schedule.finish();
        }
    }
    schedule.heal_and_check();
    schedule.finish()
}

/// The shortest part of a failing schedule that halving finds.
pub fn shorten(seed: u64, breakage: Option<Breakage>) -> Vec<Step> {
    let mut steps = steps_of(seed);
    let mut chunk = steps.len() / 2;
    while chunk > 0 {
        let mut start = 0;
        while start < steps.len() {
            let mut fewer = steps.clone();
            fewer.drain(start..(start + chunk).min(steps.len()));
            if run(seed, &fewer, breakage).complaints.is_empty() {
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
    /// A group that has committed something everywhere.
    fn found(seed: u64, breakage: Option<Breakage>) -> Self {
        let voters = [1, 3, 3, 3, 5][(seed % 5) as usize];
        let mut cluster = Cluster::new(voters, seed);
        cluster.snapshot_every = [7, 1_000_000][(seed % 2) as usize];
        cluster.real_files = seed.is_multiple_of(FILES_SEEDS);
        if !seed.is_multiple_of(3) {
            cluster.clock_percents = vec![100, 60, 150, 80];
        }
        (1..=voters).for_each(|id| cluster.start(ReplicaId(id)));
        cluster.advance(ELECTION_TIMEOUT * 6);
        cluster.breakage = breakage;
        let report = RunReport::default();
        Self { cluster, lost: BTreeSet::new(), next_id: voters + 1, proposals: 0, report }
    }

    fn finish(mut self) -> RunReport {
        let witness = self.cluster.witness;
        self.report.complaints = witness.complaints;
        self.report.acknowledged = witness.acknowledged;
        self.report.reads = witness.reads_answered;
        self.report.snapshots = witness.snapshots_installed;
        self.report.changes = witness.changes_made;
        self.report
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Run { millis, salt, loss } => self.pass_time(millis, salt, loss),
            Step::Propose { pick } => {
                self.proposals += 1;
                let data = format!("proposal {}", self.proposals);
                let to = self.leader_or(pick);
                self.cluster.propose(to, &data);
            }
            Step::Read { pick } => {
                let to = self.leader_or(pick);
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
                self.cluster.flights.clear();
            }
            Step::Cut { from, to } => {
                let ids = self.ids();
                let at = |pick: u64| ids[(pick % ids.len() as u64) as usize];
                self.cluster.cuts.insert((at(from), at(to)));
            }
            Step::Isolate { pick } => {
                let ids = self.ids();
                let alone = ids[(pick % ids.len() as u64) as usize];
                self.cluster.cuts.extend(ids.iter().map(|id| (*id, alone)));
                self.cluster.cuts.extend(ids.iter().map(|id| (alone, *id)));
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

    /// Destroys a replica for good, if the group can stand that under every membership that a
    /// replica may go by.
    fn lose_disk(&mut self, pick: u64) {
        let ids = self.ids();
        let victim = ids[(pick % ids.len() as u64) as usize];
        let gone = |id: &ReplicaId| *id == victim || self.lost.contains(id);
        let cores = self.cluster.nodes.values().filter_map(|node| node.core.as_ref());
        let bearable = ids.iter().all(|id| self.is_up(*id))
            && cores.clone().all(|core| {
                let members = core.members();
                let voters = members.iter().filter(|member| member.member.voter);
                let ids: Vec<_> = voters.map(|member| member.member.replica).collect();
                ids.iter().filter(|id| gone(id)).count() * 2 < ids.len()
            });
        if bearable {
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
            // An operator knows what is lost.
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
        let mut flights: Vec<_> = std::mem::take(&mut self.cluster.flights).into();
        while !flights.is_empty() {
            let flight = flights.swap_remove(random.below(flights.len()));
            match random.unit() {
                _ if self.is_paused(flight.to) => self.cluster.flights.push_back(flight),
                fate if fate < loss => {}
                fate if fate < 0.3 => self.cluster.flights.push_back(flight),
                fate if fate < 0.35 => {
                    self.cluster.flights.push_back(flight.clone());
                    self.cluster.deliver(flight);
                }
                _ => self.cluster.deliver(flight),
            }
        }
        let surplus = self.cluster.flights.len().saturating_sub(FLIGHTS);
        self.cluster.flights.drain(..surplus);
        for replica in self.ids() {
            if random.chance(0.6) && !self.is_paused(replica) {
                self.cluster.sync(replica);
            }
        }
    }

    fn heal_network(&mut self) {
        self.cluster.cuts.clear();
        self.cluster.nodes.values_mut().for_each(|node| node.paused = false);
    }

    /// After all faults the group works again, and everything that was told is still there.
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
            self.cluster.witness.complaints.push("no leader after everything healed".to_owned());
            return;
        };
        let answered = self.cluster.witness.reads_answered;
        self.cluster.read(leader);
        self.cluster.propose(leader, "after everything healed");
        self.cluster.advance(HEARTBEAT * 4);
        if self.cluster.witness.reads_answered == answered {
            self.cluster.witness.complaints.push("no read after everything healed".to_owned());
        }
        self.check_members(leader);
    }

    fn check_members(&mut self, leader: ReplicaId) {
        let told = self.cluster.witness.told();
        let members = self.cluster.nodes[&leader].core.as_ref().unwrap().members();
        for member in members.iter().map(|member| member.member.replica) {
            let Some(node) = self.cluster.nodes.get(&member) else { continue };
            let expected = self.cluster.witness.digest_at(node.applied);
            if node.applied < told || expected != Some(node.digest) {
                let complaint = format!("{member} ends at {}, but {told} was told", node.applied);
                self.cluster.witness.complaints.push(complaint);
            }
            if self.cluster.witness.removed().contains(&member) {
                self.cluster.witness.complaints.push(format!("{member} is a member again"));
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

    fn choose(&self, pick: u64, fits: impl Fn(&Self, ReplicaId) -> bool) -> Option<ReplicaId> {
        let fitting: Vec<_> = self.ids().into_iter().filter(|id| fits(self, *id)).collect();
        let position = pick.checked_rem(fitting.len() as u64)?;
        fitting.get(position as usize).copied()
    }

    /// Mostly a replica that believes to lead, whichever that is.
    fn leader_or(&self, pick: u64) -> ReplicaId {
        let leads = |schedule: &Self, id: ReplicaId| {
            let core = schedule.cluster.nodes[&id].core.as_ref();
            core.is_some_and(|core| core.role() == ReplicaRole::Leader)
        };
        let leader = self.choose(pick, leads).filter(|_| !pick.is_multiple_of(8));
        leader.or_else(|| self.choose(pick, |_, _| true)).unwrap_or_default()
    }
}
