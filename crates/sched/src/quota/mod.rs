//! Compares what teams have reserved with their quotas.

use {
    crate::interface::TeamQuota,
    base::{ResourceKind, ResourceVector, TeamName},
    indexmap::IndexMap,
};

/// The quotas and the reserved resources of all teams, proposed placements included.
#[derive(Debug, Default)]
pub(crate) struct QuotaTable {
    quotas: IndexMap<TeamName, TeamQuota>,
    holdings: IndexMap<TeamName, ResourceVector>,
}

/// How a reservation compares with the quota of its team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuotaVerdict {
    /// The reservation stays within the quota.
    Within,
    /// The reservation borrows quota that others leave unused.
    Borrows,
    /// The reservation exceeds the quota, and the team may not borrow, or others leave too little
    /// of this resource unused.
    Exceeds(ResourceKind),
}

impl QuotaTable {
    /// Replaces all quotas.
    pub(crate) fn set_quotas(&mut self, quotas: Vec<(TeamName, TeamQuota)>) {
        self.quotas = quotas.into_iter().collect();
    }

    /// Adds a reservation of a team.
    pub(crate) fn add(&mut self, team: &TeamName, size: &ResourceVector) {
        *self.holdings.entry(team.clone()).or_default() += *size;
    }

    /// Subtracts a reservation of a team.
    pub(crate) fn subtract(&mut self, team: &TeamName, size: &ResourceVector) {
        if let Some(holding) = self.holdings.get_mut(team) {
            *holding = holding.saturating_sub(size);
        }
    }

    fn holding(&self, team: &TeamName) -> ResourceVector {
        self.holdings.get(team).copied().unwrap_or_default()
    }

    /// Checks whether `team` may reserve `size` more. When no quota is declared at all, every team
    /// may; otherwise a team without a quota can only borrow.
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

    /// Returns what `team` would reserve above its quota with `size` more.
    pub(crate) fn excess(&self, team: &TeamName, size: &ResourceVector) -> ResourceVector {
        let quota = self.quotas.get(team).map_or(ResourceVector::ZERO, |declared| declared.quota);
        (self.holding(team) + *size).saturating_sub(&quota)
    }

    /// Returns true when `team` exceeds its quota.
    pub(crate) fn borrows(&self, team: &TeamName) -> bool {
        let quota = self.quotas.get(team).map_or(ResourceVector::ZERO, |declared| declared.quota);
        !self.quotas.is_empty() && !self.holding(team).fits_in(&quota)
    }

    /// Returns true when any team exceeds its quota.
    pub(crate) fn has_borrowers(&self) -> bool {
        self.holdings.keys().any(|team| self.borrows(team))
    }

    /// Returns the largest fraction of any resource of its quota that `team` has reserved; for a
    /// team without a quota, the fraction of the fleet's capacity. Teams with smaller shares are
    /// served first.
    pub(crate) fn dominant_share(&self, team: &TeamName, capacity: &ResourceVector) -> f64 {
        let holding = self.holding(team);
        let limit = self.quotas.get(team).map_or(*capacity, |declared| declared.quota);
        let part = |held: u64, limit: u64| held as f64 / limit.max(1) as f64;
        part(holding.cpu.0, limit.cpu.0)
            .max(part(holding.memory.0, limit.memory.0))
            .max(part(u64::from(holding.accelerators.0), u64::from(limit.accelerators.0)))
    }
}
