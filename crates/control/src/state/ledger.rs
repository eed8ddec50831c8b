//! The ledger of idempotency keys. See `docs/decisions/ledger.md`.

use {
    indexmap::IndexMap,
    proto::messages::{
        ClaimEnd, ClaimReply, ClaimTarget, DispatchId, ForwardedAnswer, IdempotencyKey,
        LedgerClaim, LedgerClose, RequestFingerprint, UnknownReason,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeSet, VecDeque},
};

/// Upper bound on the bytes of stored answers. Beyond it the ledger drops the oldest answers but
/// keeps their keys: a resend is then told that its answer is lost, and still runs at most once.
const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;
/// Milliseconds that an unclosed claim is kept beyond its declared retention time.
const OPEN_CLAIM_GRACE_MS: u64 = 3_600_000;

#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
enum ClaimState {
    Held(ClaimTarget),
    Answered(DispatchId, ForwardedAnswer),
    Lost(DispatchId, UnknownReason),
}

#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
struct ClaimRecord {
    fingerprint: RequestFingerprint,
    retention_ms: u64,
    expires_at_ms: u64,
    state: ClaimState,
}

/// All idempotency keys that have not expired.
#[derive(Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LedgerTable {
    /// Milliseconds that leaders have counted on their monotonic clocks while the ledger held keys.
    /// Keys expire by this clock, so that a jump of a wall clock can't expire one early.
    clock_ms: u64,
    claims: IndexMap<IdempotencyKey, ClaimRecord>,
    answered: VecDeque<IdempotencyKey>,
    answer_bytes: usize,
    #[serde(skip)]
    deadlines: BTreeSet<(u64, IdempotencyKey)>,
}

impl LedgerTable {
    /// Rebuilds the expiry order after the claims have been read from a snapshot.
    pub fn restore(&mut self) {
        self.deadlines =
            self.claims.iter().map(|(key, claim)| (claim.expires_at_ms, key.clone())).collect();
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true if the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Claims a key, or reports who holds it. The claim moves to a new target if `replaces` names
    /// the dispatch that holds it. Returns `None` if the ledger already holds `bound` keys:
    /// dropping one before it expires would let its request run twice.
    pub fn claim(&mut self, claim: LedgerClaim, bound: usize) -> Option<ClaimReply> {
        let Some(found) = self.claims.get(&claim.key) else {
            if self.claims.len() >= bound {
                return None;
            }
            self.insert_claim(claim);
            return Some(ClaimReply::Granted);
        };
        if found.fingerprint != claim.fingerprint {
            return Some(ClaimReply::OtherRequest);
        }
        let reply = match &found.state {
            ClaimState::Held(target) if *target == claim.target => ClaimReply::Granted,
            ClaimState::Held(target) if claim.replaces.as_ref() == Some(&target.dispatch) => {
                self.insert_claim(claim);
                ClaimReply::Granted
            }
            ClaimState::Held(target) => ClaimReply::Claimed(target.clone()),
            ClaimState::Answered(_, answer) => ClaimReply::Stored(answer.clone()),
            ClaimState::Lost(_, reason) => ClaimReply::Lost(*reason),
        };
        Some(reply)
    }

    fn insert_claim(&mut self, claim: LedgerClaim) {
        let retention_ms = u64::try_from(claim.keep.as_millis()).unwrap_or(u64::MAX);
        let record = ClaimRecord {
            fingerprint: claim.fingerprint,
            retention_ms,
            expires_at_ms: self
                .clock_ms
                .saturating_add(retention_ms)
                .saturating_add(OPEN_CLAIM_GRACE_MS),
            state: ClaimState::Held(claim.target),
        };
        self.put(claim.key, record);
    }

    fn put(&mut self, key: IdempotencyKey, record: ClaimRecord) {
        self.deadlines.insert((record.expires_at_ms, key.clone()));
        if let Some(old) = self.claims.insert(key.clone(), record) {
            if self.claims[&key].expires_at_ms != old.expires_at_ms {
                self.deadlines.remove(&(old.expires_at_ms, key));
            }
        }
    }

    /// Closes a claim. Returns true if this dispatch has closed the claim, now or earlier. Returns
    /// true as well if a dispatch that did not run finds no claim.
    pub fn close(&mut self, close: LedgerClose) -> bool {
        let Some(found) = self.claims.get(&close.key) else {
            return matches!(close.end, ClaimEnd::NotRun);
        };
        match &found.state {
            ClaimState::Held(target) if target.dispatch == close.dispatch => {}
            ClaimState::Held(_) => return false,
            ClaimState::Answered(dispatch, _) => return *dispatch == close.dispatch,
            ClaimState::Lost(dispatch, _) => return *dispatch == close.dispatch,
        }
        let (fingerprint, retention_ms) = (found.fingerprint, found.retention_ms);
        let expires_at_ms = self.clock_ms.saturating_add(retention_ms);
        let state = match close.end {
            ClaimEnd::NotRun => {
                self.forget(&close.key);
                return true;
            }
            ClaimEnd::Lost(reason) => ClaimState::Lost(close.dispatch, reason),
            ClaimEnd::Answered(answer) => {
                self.answer_bytes += answer_size(&answer);
                self.answered.push_back(close.key.clone());
                ClaimState::Answered(close.dispatch, answer)
            }
        };
        self.put(close.key, ClaimRecord { fingerprint, retention_ms, expires_at_ms, state });
        self.drop_oldest_answers();
        true
    }

    fn drop_oldest_answers(&mut self) {
        while self.answer_bytes > ANSWER_BYTES_LIMIT {
            let Some(key) = self.answered.pop_front() else { return };
            let Some(claim) = self.claims.get_mut(&key) else { continue };
            let ClaimState::Answered(dispatch, answer) = &claim.state else { continue };
            self.answer_bytes -= answer_size(answer);
            claim.state = ClaimState::Lost(dispatch.clone(), UnknownReason::BadAnswer);
        }
    }

    fn forget(&mut self, key: &IdempotencyKey) {
        let Some(claim) = self.claims.swap_remove(key) else { return };
        self.deadlines.remove(&(claim.expires_at_ms, key.clone()));
        if let ClaimState::Answered(_, answer) = &claim.state {
            self.answer_bytes -= answer_size(answer);
            if self.answered.front() == Some(key) {
                self.answered.pop_front();
            } else {
                self.answered.retain(|kept| kept != key);
            }
        }
    }

    /// Advances the clock and removes the keys that have expired.
    pub fn advance_clock(&mut self, elapsed_ms: u64) {
        self.clock_ms = self.clock_ms.saturating_add(elapsed_ms);
        while let Some((expires_at_ms, key)) = self.deadlines.first().cloned() {
            if expires_at_ms > self.clock_ms {
                return;
            }
            self.forget(&key);
        }
    }
}

fn answer_size(answer: &ForwardedAnswer) -> usize {
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    answer.body.len() + headers.sum::<usize>()
}
