//! Closes claims in the ledger, with retries until the ledger confirms.

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

/// Timeout of one call to the ledger.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a close is retried.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a close is retried. After that, a resend of the request asks the agent instead.
const CLOSE_GIVE_UP_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of closes pending. Each may hold a complete answer.
const MAX_PENDING_CLOSES: usize = 1024;

#[derive(Debug)]
struct PendingClose {
    close: LedgerClose,
    until: Duration,
    call: CallTimer,
}

/// Closes that the ledger has not confirmed.
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

/// Returns the end of the claim for a dispatch, or `None` while the agent can still be asked.
pub(super) fn claim_end(end: &DispatchEnd) -> Option<ClaimEnd> {
    match end {
        DispatchEnd::Answered(answer) => Some(ClaimEnd::Answered(answer.clone())),
        DispatchEnd::NotRun(_) => Some(ClaimEnd::NotRun),
        DispatchEnd::Unknown(reason) => Some(ClaimEnd::Lost(*reason)),
        DispatchEnd::Unconfirmed(_) => None,
    }
}

impl EntryReducer {
    /// Closes the claim of a dispatch that ended. The claim of a dispatch that did not run stays
    /// with its request, which continues under the claim or releases it when it ends.
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
        if self.closes.pending.len() >= MAX_PENDING_CLOSES {
            if let Some((oldest, _)) = self.closes.pending.shift_remove_index(0) {
                effects.push(abandoned(oldest));
            }
        }
        let close = LedgerClose { key, dispatch: dispatch.clone(), end };
        let call = CallTimer::Due { at: now };
        let pending = PendingClose { close, until: now + CLOSE_GIVE_UP_AFTER, call };
        self.closes.pending.insert(dispatch, pending);
        self.retry_closes(now, effects);
    }

    pub(super) fn handle_close_result(
        &mut self,
        now: Duration,
        dispatch: &DispatchId,
        peer: PeerAddress,
        result: Result<CloseReply, RpcError>,
    ) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let pause = match result {
            Ok(CloseReply::Closed | CloseReply::NotClaimed) => {
                self.control.set_leader(peer);
                self.closes.pending.shift_remove(dispatch);
                return effects;
            }
            Ok(CloseReply::NotLeader { leader }) => {
                match self.control.redirect(peer, leader.map(|(_, address)| address)) {
                    true => Duration::ZERO,
                    false => CLOSE_RETRY_DELAY,
                }
            }
            Err(_) => {
                self.control.mark_failed(peer);
                CLOSE_RETRY_DELAY
            }
        };
        if let Some(pending) = self.closes.pending.get_mut(dispatch) {
            pending.call = CallTimer::Due { at: now + pause };
        }
        self.retry_closes(now, &mut effects);
        effects
    }

    /// Sends the closes that are due.
    pub(super) fn retry_closes(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        let Some(peer) = self.control.target() else { return };
        let mut expired = Vec::new();
        for (dispatch, pending) in &mut self.closes.pending {
            if pending.until <= now {
                expired.push(dispatch.clone());
            } else if pending.call.is_due(now) {
                pending.call = CallTimer::InFlight;
                let close = pending.close.clone();
                effects.push(EntryEffect::Close { peer, close, timeout: CLOSE_TIMEOUT });
            }
        }
        for dispatch in expired {
            self.closes.pending.shift_remove(&dispatch);
            effects.push(abandoned(dispatch));
        }
    }

    /// Drops the pending closes at the end of a drain.
    pub(super) fn abandon_closes(&mut self, effects: &mut Vec<EntryEffect>) {
        effects.extend(self.closes.pending.drain(..).map(|(dispatch, _)| abandoned(dispatch)));
    }
}

fn abandoned(dispatch: DispatchId) -> EntryEffect {
    EntryEffect::Record(EntryEvent::CloseAbandoned { request: dispatch.request })
}
