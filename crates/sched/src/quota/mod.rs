//! What teams hold, against what they may hold.

use {
    crate::interface::TeamQuota,
    base::{ResourceKind, ResourceVector, TeamName},
    indexmap::IndexMap,
};

/// The holdings of all teams, proposals included.
#[derive(Debug, Default)]
pub(crate) struct QuotaBook {
    quotas: IndexMap<TeamName, TeamQuota>,
    holdings: IndexMap<TeamName, ResourceVector>,
}

/// How a reservation stands to its team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaVerdict {
    /// It stays within the quota.
    Within,
    /// It borrows what others leave.
    Borrows,
    /// It exceeds the quota and can't borrow.
    Exceeds(ResourceKind),
}

impl QuotaBook {
    /// Replaces all quotas.
    pub(crate) fn set_quotas(&mut self, quotas: Vec<(TeamName, TeamQuota)>) {
        self.quotas = quotas.into_iter().collect();
    }

    /// Notes that a team holds more.
    pub(crate) fn add(&mut self, team: &TeamName, size: &ResourceVector) {
        *self.holdings.entry(team.clone()).or_default() += *size;
    }

    /// Notes that a team holds less.
    pub(crate) fn subtract(&mut self, team: &TeamName, size: &ResourceVector) {
        if let Some(holding) = self.holdings.get_mut(team) {
            *holding = holding.saturating_sub(size);
        }
    }

    fn holding(&self, team: &TeamName) -> ResourceVector {
        self.holdings.get(team).copied().unwrap_or_default()
    }

    /// Says whether `team` may hold `size` more. Without any declared quota every team may.
    pub(crate) fn check(
        &self,
        team: &TeamName,
        size: &ResourceVector,
        capacity: &ResourceVector,
    ) -> QuotaVerdict {
        if self.quotas.is_empty() {
            return QuotaVerdict::Within;
        }
        let wanted = self.holding(team) + *size;
        let (quota, may_borrow) = match self.quotas.get(team) {
            Some(declared) => (declared.quota, declared.may_borrow),
            None => (ResourceVector::ZERO, true),
        };
        let Some(short_of) = wanted.shortage(&quota) else {
            return QuotaVerdict::Within;
        };
        if !may_borrow {
            return QuotaVerdict::Exceeds(short_of);
        }
        let total = self.holdings.values().copied().sum::<ResourceVector>() + *size;
        let promised: ResourceVector = self.quotas.values().map(|declared| declared.quota).sum();
        match total.shortage(&promised.max_each(capacity)) {
            Some(short_of) => QuotaVerdict::Exceeds(short_of),
            None => QuotaVerdict::Borrows,
        }
    }

    /// What `team` would hold above its quota with `size` more.
    pub(crate) fn excess(&self, team: &TeamName, size: &ResourceVector) -> ResourceVector {
        let quota = self.quotas.get(team).map_or(ResourceVector::ZERO, |declared| declared.quota);
        (self.holding(team) + *size).saturating_sub(&quota)
    }

    /// True when `team` holds more than its quota.
    pub(crate) fn borrows(&self, team: &TeamName) -> bool {
        let quota = self.quotas.get(team).map_or(ResourceVector::ZERO, |declared| declared.quota);
        !self.quotas.is_empty() && !self.holding(team).fits_in(&quota)
    }

    /// True when any team holds more than its quota.
    pub(crate) fn has_borrowers(&self) -> bool {
        self.holdings.keys().any(|team| self.borrows(team))
    }

    /// The largest part that `team` holds of its quota, or of the fleet when it has none. Teams
    /// with smaller parts go first.
    pub(crate) fn dominant_share(&self, team: &TeamName, capacity: &ResourceVector) -> f64 {
        let holding = self.holding(team);
        let limit = self.quotas.get(team).map_or(*capacity, |declared| declared.quota);
        let part = |held: u64, limit: u64| held as f64 / limit.max(1) as f64;
        part(holding.cpu.0, limit.cpu.0)
            .max(part(holding.memory.0, limit.memory.0))
            .max(part(u64::from(holding.accelerators.0), u64::from(limit.accelerators.0)))
    }
}
