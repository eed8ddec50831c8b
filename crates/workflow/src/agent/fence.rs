//! The fencing token of orders: the leader's term, then the rank of the executor's incarnation.
//!
//! The next incarnation remembers no earlier orders, but once it has seen its own, higher token, it
//! refuses a late order for an earlier incarnation. The rank is the start of the incarnation unless
//! the clock has jumped back since an earlier one began, whose token the present one may have seen
//! (`docs/incidents/earlier-start.md`).

/// Bits of a token that hold the rank: enough for milliseconds until 2039, and few enough for 4,096
/// terms in the integers that every JSON reader accepts.
const RANK_BITS: u32 = 41;
const RANK_MAX: u64 = (1 << RANK_BITS) - 1;
/// By how much a refused rank is raised first, in milliseconds. Doubles with each further refusal,
/// so that a jump of hours is made up for in some twenty polls.
const FIRST_RAISE: u64 = 100;
/// How far a rank is raised for one incarnation: a day, in milliseconds. Beyond it,
/// the token that the incarnation has seen is one of a higher term.
const RAISE_LIMIT: u64 = 86_400_000;

/// The rank of the executor's present incarnation among all at its address.
#[derive(Debug)]
pub(super) struct IncarnationRank {
    rank: u64,
    next_raise: u64,
    /// The highest rank to which refusals raise this one.
    limit: u64,
}

impl IncarnationRank {
    pub(super) fn new() -> Self {
        Self { rank: 0, next_raise: FIRST_RAISE, limit: RAISE_LIMIT }
    }

    /// Ranks the next incarnation above those before it.
    pub(super) fn succeed(&mut self, started_ms: u64) {
        self.rank = started_ms.max(self.rank + 1).min(RANK_MAX);
        self.next_raise = FIRST_RAISE;
        self.limit = self.rank.saturating_add(RAISE_LIMIT).min(RANK_MAX);
    }

    /// Raises the rank: the incarnation has seen a higher token of an earlier process of this agent.
    pub(super) fn raise(&mut self) {
        self.rank = (self.rank + self.next_raise).min(self.limit);
        self.next_raise = (self.next_raise * 2).min(RAISE_LIMIT);
    }

    /// Returns the token of an order under a leader of `term`.
    pub(super) fn token(&self, term: u64) -> u64 {
        (term << RANK_BITS) | self.rank
    }
}
