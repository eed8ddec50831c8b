//! The leases of workers, on the leader's monotonic clock.

use {
    crate::state::FleetState,
    base::{IncarnationNumber, WorkerId},
    indexmap::IndexMap,
    settings::PolicySubject,
    std::time::{Duration, SystemTime},
};

const PERMILLE: u32 = 1000;

/// The declared length of a lease, and by how much clocks may run apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The length that the worker is told.
    pub length: Duration,
    /// By how much two clocks may run apart, in thousandths.
    pub drift_permille: u32,
}

impl LeaseTerms {
    /// The terms that the accepted declarations set for a worker.
    pub fn resolve(worker: &WorkerId, wall: SystemTime, state: &FleetState) -> Self {
        let announcement = state.workers().get(worker).map(|record| &record.announcement);
        let subject = PolicySubject {
            worker: Some(worker.clone()),
            rack: announcement.map(|announcement| announcement.rack.clone()),
            data_centre: announcement.map(|announcement| announcement.data_centre.clone()),
            ..PolicySubject::default()
        };
        let lease = state.declarations().fleet().policy_for(&subject, wall).policy.lease;
        Self { length: lease.length, drift_permille: lease.drift_permille }
    }

    /// How long the leader waits for a lease of `length` to have ended on a worker's clock that
    /// runs as slow as is allowed.
    pub fn wait_for(&self, length: Duration) -> Duration {
        length + length * self.drift_permille / PERMILLE
    }
}

#[derive(Debug, Clone)]
struct WorkerLease {
    incarnation: IncarnationNumber,
    sequence: u64,
    expires_at: Duration,
    renewed: bool,
    ending: bool,
    complete_at: Option<Duration>,
}

impl WorkerLease {
    /// A lease of which nothing was heard here yet.
    fn new(incarnation: IncarnationNumber, expires_at: Duration) -> Self {
        Self {
            incarnation,
            sequence: 0,
            expires_at,
            renewed: false,
            ending: false,
            complete_at: None,
        }
    }
}

/// What is to become of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// It is the newest of the worker's present life.
    Current,
    /// A later heartbeat of the same life was received before it.
    Late,
    /// A later life was seen.
    Superseded(IncarnationNumber),
    /// The worker is being declared lost: nothing is renewed until that is committed.
    Ending,
}

/// The lease of each worker.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: IndexMap<WorkerId, WorkerLease>,
}

impl LeaseTable {
    /// Starts to watch a worker that may hold a lease until `expires_at`.
    pub fn watch(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
        expires_at: Duration,
    ) {
        self.leases.entry(worker).or_insert(WorkerLease::new(incarnation, expires_at));
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.leases.swap_remove(worker);
    }

    /// Judges a heartbeat and takes note of it. It renews nothing yet.
    pub fn receive(
        &mut self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        sequence: u64,
    ) -> HeartbeatVerdict {
        let Some(lease) = self.leases.get_mut(worker) else { return HeartbeatVerdict::Current };
        if incarnation < lease.incarnation {
            return HeartbeatVerdict::Superseded(lease.incarnation);
        }
        if lease.ending {
            return HeartbeatVerdict::Ending;
        }
        if incarnation > lease.incarnation {
            lease.incarnation = incarnation;
            lease.sequence = 0;
            lease.complete_at = None;
        }
        if sequence <= lease.sequence {
            return HeartbeatVerdict::Late;
        }
        lease.sequence = sequence;
        HeartbeatVerdict::Current
    }

    /// Renews a lease, once the lead is confirmed by a read that was issued after `received_at`.
    /// `None` when it must not be renewed any more; true when it is the first renewal here.
    pub fn renew(
        &mut self,
        worker: &WorkerId,
        incarnation: IncarnationNumber,
        received_at: Duration,
        terms: LeaseTerms,
    ) -> Option<bool> {
        let expires_at = received_at + terms.wait_for(terms.length);
        let fresh = WorkerLease::new(incarnation, expires_at);
        let lease = self.leases.entry(worker.clone()).or_insert(fresh);
        if lease.ending || incarnation != lease.incarnation {
            return None;
        }
        lease.expires_at = lease.expires_at.max(expires_at);
        Some(!std::mem::replace(&mut lease.renewed, true))
    }

    /// Notes that the worker has named every attempt that it knows of.
    pub fn note_complete(&mut self, now: Duration, worker: &WorkerId) {
        if let Some(lease) = self.leases.get_mut(worker) {
            lease.complete_at = Some(now);
        }
    }

    /// When the worker last named every attempt that it knows of.
    pub fn complete_at(&self, worker: &WorkerId) -> Option<Duration> {
        self.leases.get(worker)?.complete_at
    }

    /// True when the worker holds a lease that was renewed in this term.
    pub fn is_held(&self, worker: &WorkerId) -> bool {
        self.leases.get(worker).is_some_and(|lease| lease.renewed && !lease.ending)
    }

    /// The workers whose lease has expired. From now on they are not renewed.
    pub fn take_expired(&mut self, now: Duration) -> Vec<(WorkerId, IncarnationNumber)> {
        let mut expired = Vec::new();
        for (worker, lease) in &mut self.leases {
            if !lease.ending && now > lease.expires_at {
                lease.ending = true;
                expired.push((worker.clone(), lease.incarnation));
            }
        }
        expired
    }

    /// The loss of a worker came to nothing: it is tried again.
    pub fn retry_ending(&mut self, worker: &WorkerId) {
        if let Some(lease) = self.leases.get_mut(worker) {
            lease.ending = false;
        }
    }
}
