//! What is remembered of dispatches, so that none runs twice and a fence is never wrong.
//!
//! Every dispatch is remembered in full for a while. A keyed one may be asked about as long as the
//! ledger keeps its key, so that its digest outlives its record. Once a digest had to go, a
//! dispatch that isn't found may have been seen, and is answered with "unknown" instead of
//! "fenced": memory is bounded, and a fence that is granted is always true.

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

/// The number of digests of keyed dispatches that are kept.
const DIGEST_LIMIT: usize = 262_144;

/// What is known of a dispatch that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SeenBefore {
    /// Nothing: it may run.
    Never,
    /// It was fenced, and must not run.
    Fenced,
    /// It arrived before and runs, or has ended with the outcome.
    Repeated(DispatchOutcome),
}

/// The dispatches of one life of an agent.
#[derive(Debug)]
pub(super) struct DispatchMemory {
    keyed: RecordStore,
    plain: RecordStore,
    running_keys: IndexMap<IdempotencyKey, DispatchId>,
    digests: DigestSet,
}

impl Default for DispatchMemory {
    fn default() -> Self {
        Self::with_digest_limit(DIGEST_LIMIT)
    }
}

impl DispatchMemory {
    /// An empty memory that keeps at most `limit` digests.
    pub(super) fn with_digest_limit(limit: usize) -> Self {
        Self {
            keyed: RecordStore::default(),
            plain: RecordStore::default(),
            running_keys: IndexMap::new(),
            digests: DigestSet::new(limit),
        }
    }

    /// What is known of `dispatch`.
    pub(super) fn seen(&self, dispatch: &DispatchId) -> SeenBefore {
        let lost = DispatchOutcome::Unknown(UnknownReason::AgentLost);
        match self.keyed.get(dispatch).or_else(|| self.plain.get(dispatch)) {
            Some(RecordState::Fenced) => SeenBefore::Fenced,
            Some(RecordState::Ended(outcome)) => SeenBefore::Repeated(outcome.clone()),
            Some(RecordState::Running | RecordState::AnswerForgotten) => SeenBefore::Repeated(lost),
            None if self.digests.contains(dispatch) => SeenBefore::Repeated(lost),
            None => SeenBefore::Never,
        }
    }

    /// True when another dispatch with the same key runs.
    pub(super) fn key_runs(&self, key: &IdempotencyKey) -> bool {
        self.running_keys.contains_key(key)
    }

    /// Remembers that a dispatch runs.
    pub(super) fn begin(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        key: Option<&IdempotencyKey>,
    ) {
        let Some(key) = key else {
            return self.plain.insert(now, dispatch, RecordState::Running);
        };
        self.running_keys.insert(key.clone(), dispatch.clone());
        self.digests.insert(dispatch);
        self.keyed.insert(now, dispatch, RecordState::Running);
    }

    /// Remembers how a running dispatch ended. The answer of one without a key isn't kept: nobody
    /// can ask for it.
    pub(super) fn end(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        key: Option<&IdempotencyKey>,
        outcome: &DispatchOutcome,
    ) {
        if let Some(key) = key {
            self.running_keys.swap_remove(key);
            return self.keyed.change(now, dispatch, RecordState::Ended(outcome.clone()));
        }
        let state = match outcome {
            DispatchOutcome::Answered(_) => RecordState::AnswerForgotten,
            outcome => RecordState::Ended(outcome.clone()),
        };
        self.plain.change(now, dispatch, state);
    }

    /// Remembers that a dispatch was refused, so that a copy of it that arrives late is refused
    /// too.
    pub(super) fn refuse(&mut self, now: Duration, dispatch: &DispatchId, reason: NotRunReason) {
        let state = RecordState::Ended(DispatchOutcome::NotRun(reason));
        self.plain.insert(now, dispatch, state);
    }

    /// Answers a fence request, and fences the dispatch when it was never seen.
    pub(super) fn fence(&mut self, now: Duration, dispatch: &DispatchId) -> FenceReply {
        let state = self.keyed.get(dispatch).or_else(|| self.plain.get(dispatch));
        let lost = FenceReply::Unknown(UnknownReason::AgentLost);
        match state {
            Some(RecordState::Running) => FenceReply::InProgress,
            Some(RecordState::AnswerForgotten) => lost,
            Some(RecordState::Ended(DispatchOutcome::Answered(answer))) => {
                FenceReply::Answered(answer.clone())
            }
            Some(RecordState::Ended(DispatchOutcome::Unknown(reason))) => {
                FenceReply::Unknown(*reason)
            }
            Some(RecordState::Ended(DispatchOutcome::NotRun(_)) | RecordState::Fenced) => {
                self.remember_fence(now, dispatch)
            }
            None if self.digests.may_have_seen(dispatch) => lost,
            None => self.remember_fence(now, dispatch),
        }
    }

    fn remember_fence(&mut self, now: Duration, dispatch: &DispatchId) -> FenceReply {
        self.digests.insert(dispatch);
        self.keyed.insert(now, dispatch, RecordState::Fenced);
        FenceReply::Fenced
    }
}

/// The digests of dispatches, oldest first.
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
