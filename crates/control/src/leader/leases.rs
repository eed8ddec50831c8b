//! The leases of workers, on the leader's monotonic clock.

use {
    crate::state::FleetState,
    base::{IncarnationNumber, WorkerId},
    indexmap::IndexMap,
    settings::PolicySubject,
    std::time::{Duration, SystemTime},
};

const PERMILLE: u32 = 1000;

/// The declared lease length and the allowed clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The lease length that the worker receives.
    pub length: Duration,
    /// The allowed drift between two clocks, in thousandths.
    pub drift_permille: u32,
}

impl LeaseTerms {
    /// Returns the terms that the accepted declarations set for a worker.
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

    /// Returns how long the leader waits before a lease of `length` has certainly ended, even if
    /// the worker's clock runs as slowly as the drift allows.
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
    /// Returns a lease that has not been renewed in this term.
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

/// How the leader treats a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// The heartbeat is the most recent one of the newest known incarnation, or the table has no
    /// lease of the worker.
    Current,
    /// The leader has already received this heartbeat or a later one of the same incarnation.
    Late,
    /// A later incarnation of the agent is known.
    Superseded(IncarnationNumber),
    /// The leader has proposed to declare the worker lost, and renews nothing until that is
    /// committed.
    Ending,
}

/// The lease of each worker.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: IndexMap<WorkerId, WorkerLease>,
}

impl LeaseTable {
    /// Starts to track a worker that may hold a lease until `expires_at`. Has no effect on a worker
    /// that is tracked already.
    pub fn watch(
        &mut self,
        worker: WorkerId,
        incarnation: IncarnationNumber,
        expires_at: Duration,
    ) {
        self.leases.entry(worker).or_insert(WorkerLease::new(incarnation, expires_at));
    }

    /// Removes a worker.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.leases.swap_remove(worker);
    }

    /// Classifies a heartbeat and records its sequence number. Does not renew the lease yet.
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

    /// Renews a lease. The caller has confirmed leadership by a read issued after `received_at`.
    /// Returns `None` if the lease must not be renewed any more, `Some(true)` on the first renewal
    /// in this term and `Some(false)` on a later one.
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

    /// Records that the worker has reported every attempt that it knows.
    pub fn note_complete(&mut self, now: Duration, worker: &WorkerId) {
        if let Some(lease) = self.leases.get_mut(worker) {
            lease.complete_at = Some(now);
        }
    }

    /// Returns when the worker last reported every attempt that it knows.
    pub fn complete_at(&self, worker: &WorkerId) -> Option<Duration> {
        self.leases.get(worker)?.complete_at
    }

    /// Returns true if the worker's lease was renewed in this term and has not been found expired.
    pub fn is_active(&self, worker: &WorkerId) -> bool {
        self.leases.get(worker).is_some_and(|lease| lease.renewed && !lease.ending)
    }

    /// Returns the workers whose lease has expired. Their leases are not renewed from now on,
    /// unless [`Self::retry_ending`] allows it again.
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

    /// Allows a lease to be renewed or found expired again, after the previous proposal to declare
    /// the worker lost had no effect.
    pub fn retry_ending(&mut self, worker: &WorkerId) {
        if let Some(lease) = self.leases.get_mut(worker) {
            lease.ending = false;
        }
    }
}
