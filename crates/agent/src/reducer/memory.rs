//! Remembers dispatches, so that none runs twice and a granted fence is always true.
//!
//! Every dispatch is remembered in full for a limited time. Callers may ask about a keyed dispatch
//! as long as the ledger keeps its key, so its digest outlives its record. Memory is bounded: once
//! a digest has been dropped, a dispatch that isn't found may have been seen. A fence request for
//! such a dispatch is answered "unknown" instead of "fenced".

use {
    super::records::{RecordState, RecordStore},
    indexmap::{IndexMap, IndexSet},
    proto::messages::{
        DispatchId, DispatchOutcome, FenceReply, IdempotencyKey, NotRunReason, UnknownReason,
    },
    std::{
        collections::VecDeque,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// The maximum number of digests of keyed dispatches.
const DIGEST_LIMIT: usize = 262_144;

/// What the memory holds of a dispatch that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SeenBefore {
    /// The dispatch was never seen and may run.
    Never,
    /// The dispatch was fenced and must not run.
    Fenced,
    /// The dispatch arrived before. It has ended with this outcome, or its outcome is unknown
    /// because it still runs or its answer isn't kept.
    Repeated(DispatchOutcome),
}

/// The dispatches of one incarnation of an agent.
#[derive(Debug)]
pub(super) struct DispatchMemory {
    keyed: RecordStore,
    unkeyed: RecordStore,
    running_keys: IndexMap<IdempotencyKey, DispatchId>,
    digests: DigestSet,
}

impl Default for DispatchMemory {
    fn default() -> Self {
        Self::with_digest_limit(DIGEST_LIMIT)
    }
}

impl DispatchMemory {
    /// Creates an empty memory that keeps at most `limit` digests.
    pub(super) fn with_digest_limit(limit: usize) -> Self {
        Self {
            keyed: RecordStore::default(),
            unkeyed: RecordStore::default(),
            running_keys: IndexMap::new(),
            digests: DigestSet::new(limit),
        }
    }

    /// Returns what the memory holds of `dispatch`.
    pub(super) fn seen(&self, dispatch: &DispatchId) -> SeenBefore {
        let agent_lost = DispatchOutcome::Unknown(UnknownReason::AgentLost);
        match self.keyed.get(dispatch).or_else(|| self.unkeyed.get(dispatch)) {
            Some(RecordState::Fenced) => SeenBefore::Fenced,
            Some(RecordState::Ended(outcome)) => SeenBefore::Repeated(outcome.clone()),
            Some(RecordState::Running | RecordState::AnswerForgotten) => {
                SeenBefore::Repeated(agent_lost)
            }
            None if self.digests.contains(dispatch) => SeenBefore::Repeated(agent_lost),
            None => SeenBefore::Never,
        }
    }

    /// Returns true when a dispatch with the same idempotency key runs.
    pub(super) fn key_in_progress(&self, key: &IdempotencyKey) -> bool {
        self.running_keys.contains_key(key)
    }

    /// Records that a dispatch runs.
    pub(super) fn record_start(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        key: Option<&IdempotencyKey>,
    ) {
        let Some(key) = key else {
            return self.unkeyed.insert(now, dispatch, RecordState::Running);
        };
        self.running_keys.insert(key.clone(), dispatch.clone());
        self.digests.insert(dispatch);
        self.keyed.insert(now, dispatch, RecordState::Running);
    }

    /// Records how a running dispatch ended. Drops the answer of a dispatch without a key, because
    /// no caller can ask for it.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        key: Option<&IdempotencyKey>,
        outcome: &DispatchOutcome,
    ) {
        if let Some(key) = key {
            self.running_keys.swap_remove(key);
            return self.keyed.update(now, dispatch, RecordState::Ended(outcome.clone()));
        }
        let state = match outcome {
            DispatchOutcome::Answered(_) => RecordState::AnswerForgotten,
            outcome => RecordState::Ended(outcome.clone()),
        };
        self.unkeyed.update(now, dispatch, state);
    }

    /// Records that a dispatch was refused, so that a late copy of it is refused too.
    pub(super) fn record_refusal(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        reason: NotRunReason,
    ) {
        let state = RecordState::Ended(DispatchOutcome::NotRun(reason));
        self.unkeyed.insert(now, dispatch, state);
    }

    /// Answers a fence request. Fences the dispatch when it was never seen, or did not run.
    pub(super) fn fence(&mut self, now: Duration, dispatch: &DispatchId) -> FenceReply {
        let state = self.keyed.get(dispatch).or_else(|| self.unkeyed.get(dispatch));
        let agent_lost = FenceReply::Unknown(UnknownReason::AgentLost);
        match state {
            Some(RecordState::Running) => FenceReply::InProgress,
            Some(RecordState::AnswerForgotten) => agent_lost,
            Some(RecordState::Ended(DispatchOutcome::Answered(answer))) => {
                FenceReply::Answered(answer.clone())
            }
            Some(RecordState::Ended(DispatchOutcome::Unknown(reason))) => {
                FenceReply::Unknown(*reason)
            }
            Some(RecordState::Ended(DispatchOutcome::NotRun(_)) | RecordState::Fenced) => {
                self.record_fence(now, dispatch)
            }
            None if self.digests.may_have_seen(dispatch) => agent_lost,
            None => self.record_fence(now, dispatch),
        }
    }

    fn record_fence(&mut self, now: Duration, dispatch: &DispatchId) -> FenceReply {
        self.digests.insert(dispatch);
        self.keyed.insert(now, dispatch, RecordState::Fenced);
        FenceReply::Fenced
    }
}

/// A bounded set of the digests of dispatches, which drops the oldest first.
#[derive(Debug)]
struct DigestSet {
    limit: usize,
    members: IndexSet<u64>,
    order: VecDeque<u64>,
    dropped: bool,
}

impl DigestSet {
    fn new(limit: usize) -> Self {
        Self { limit, members: IndexSet::new(), order: VecDeque::new(), dropped: false }
    }

    fn contains(&self, dispatch: &DispatchId) -> bool {
        self.members.contains(&digest(dispatch))
    }

    fn may_have_seen(&self, dispatch: &DispatchId) -> bool {
        self.dropped || self.contains(dispatch)
    }

    fn insert(&mut self, dispatch: &DispatchId) {
        let digest = digest(dispatch);
        if !self.members.insert(digest) {
            return;
        }
        self.order.push_back(digest);
        if self.order.len() <= self.limit {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.members.swap_remove(&oldest);
            self.dropped = true;
        }
    }
}

fn digest(dispatch: &DispatchId) -> u64 {
    let mut hasher = DefaultHasher::new();
    dispatch.hash(&mut hasher);
    hasher.finish()
}
