//! Telling the ledger how claimed requests ended, until it has heard.

use {
    super::{open_request::CallTimer, EntryEffect, EntryReducer, SentDispatch},
    base::PeerAddress,
    indexmap::IndexMap,
    proto::{
        messages::{ClaimEnd, CloseReply, DispatchId, IdempotencyKey, LedgerClose},
        rpc::RpcError,
    },
    routing::{DispatchEnd, Settlement},
    std::time::Duration,
    telemetry::EntryEvent,
};

/// How long one call may take.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The pause before the ledger is told again.
const CLOSE_PAUSE: Duration = Duration::from_millis(200);
/// How long the ledger is told. Afterwards a resend of the request asks its agent.
const CLOSE_PATIENCE: Duration = Duration::from_secs(60);
/// Ends that may wait to be told. They hold whole answers.
const PENDING_LIMIT: usize = 1024;

#[derive(Debug)]
struct PendingClose {
    close: LedgerClose,
    until: Duration,
    call: CallTimer,
}

/// Ends that the ledger has not confirmed yet.
#[derive(Debug, Default)]
pub(super) struct PendingCloses {
    pending: IndexMap<DispatchId, PendingClose>,
}

impl PendingCloses {
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub fn next_wake(&self) -> Option<Duration> {
        self.pending.values().filter_map(|pending| pending.call.next()).min()
    }
}

/// How a claim is closed after a dispatch; `None` when its agent can still be asked.
pub(super) fn claim_end(end: &DispatchEnd) -> Option<ClaimEnd> {
    match end {
        DispatchEnd::Answered(answer) => Some(ClaimEnd::Answered(answer.clone())),
        DispatchEnd::NotRun(_) => Some(ClaimEnd::NotRun),
        DispatchEnd::Unknown(reason) => Some(ClaimEnd::Lost(*reason)),
        DispatchEnd::Unconfirmed(_) => None,
    }
}

impl EntryReducer {
    /// Closes the claim of a dispatch that has ended. One that did not run is left to the request,
    /// which goes on under the claim or frees it when it ends.
    pub(super) fn close_after(
        &mut self,
        now: Duration,
        sent: &SentDispatch,
        end: Option<ClaimEnd>,
        settlement: &Settlement,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(end) = end else { return };
        let is_stale = matches!(settlement, Settlement::Stale);
        if end == ClaimEnd::NotRun && !is_stale {
            return;
        }
        let (key, dispatch) = (sent.fence_key.clone(), sent.target.dispatch.clone());
        self.close(now, key, dispatch, end, effects);
    }

    /// Closes a claim.
    pub(super) fn close(
        &mut self,
        now: Duration,
        key: IdempotencyKey,
        dispatch: DispatchId,
        end: ClaimEnd,
        effects: &mut Vec<EntryEffect>,
    ) {
        if self.closes.pending.len() >= PENDING_LIMIT {
            if let Some((oldest, _)) = self.closes.pending.shift_remove_index(0) {
                effects.push(abandoned(oldest));
            }
        }
        let close = LedgerClose { key, dispatch: dispatch.clone(), end };
        let call = CallTimer::Again { at: now };
        let pending = PendingClose { close, until: now + CLOSE_PATIENCE, call };
        self.closes.pending.insert(dispatch, pending);
        self.retry_closes(now, effects);
    }

    pub(super) fn close_received(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        peer: PeerAddress,
        result: Result<CloseReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let pause = match result {
            Ok(CloseReply::Closed | CloseReply::NotHeld) => {
                self.control.is_leader(peer);
                self.closes.pending.shift_remove(dispatch);
                return effects;
            }
            Ok(CloseReply::NotLeader { leader }) => {
                match self.control.not_leader(peer, leader.map(|(_, address)| address)) {
                    true => Duration::ZERO,
                    false => CLOSE_PAUSE,
                }
            }
            Err(_) => {
                self.control.failed(peer);
                CLOSE_PAUSE
            }
        };
        if let Some(pending) = self.closes.pending.get_mut(dispatch) {
            pending.call = CallTimer::Again { at: now + pause };
        }
        self.retry_closes(now, &mut effects);
        effects
    }

    /// Tells the ledger what is due.
    pub(super) fn retry_closes(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        let Some(peer) = self.control.target() else { return };
        let mut expired = Vec::new();
        for (dispatch, pending) in &mut self.closes.pending {
            if pending.until <= now {
                expired.push(dispatch.clone());
            } else if pending.call.is_due(now) {
                pending.call = CallTimer::Out;
                let close = pending.close.clone();
                effects.push(EntryEffect::Close { peer, close, timeout: CLOSE_TIMEOUT });
            }
        }
        for dispatch in expired {
            self.closes.pending.shift_remove(&dispatch);
            effects.push(abandoned(dispatch));
        }
    }

    /// Drops what the ledger could not be told before the process ends.
    pub(super) fn abandon_closes(&mut self, effects: &mut Vec<EntryEffect>) {
        effects.extend(self.closes.pending.drain(..).map(|(dispatch, _)| abandoned(dispatch)));
    }
}

fn abandoned(dispatch: DispatchId) -> EntryEffect {
    EntryEffect::Record(EntryEvent::CloseAbandoned { request: dispatch.request })
}
