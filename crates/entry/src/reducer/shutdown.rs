//! Draining: rejects new requests and finishes those in progress.

use {
    super::{EntryEffect, EntryReducer},
    proto::messages::NotRunReason,
    std::time::Duration,
};

impl EntryReducer {
    pub(super) fn begin_drain(&mut self, now: Duration) -> Vec<EntryEffect> {
        if self.drain_deadline.is_none() {
            self.drain_deadline = Some(now + self.policies.drain_policy().requests);
        }
        Vec::new()
    }

    /// Ends the drain when nothing is in progress or the drain deadline has passed.
    pub(super) fn finish_drain(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        let Some(until) = self.drain_deadline else { return };
        if self.drained {
            return;
        }
        if now >= until {
            self.end_all(now, effects);
            self.abandon_closes(effects);
        }
        if self.open.is_empty() && self.closes.is_empty() {
            self.drained = true;
            effects.push(EntryEffect::Drained);
        }
    }

    fn end_all(&mut self, now: Duration, effects: &mut Vec<EntryEffect>) {
        let numbers: Vec<_> = self.open.keys().copied().collect();
        for number in numbers {
            self.end_unsent(now, number, super::unsent::UnsentEnd::TimedOut, effects);
            let Some(request) = self.open.get(&number) else { continue };
            let service = request.service.clone();
            let ended = self.router_mut(&service).end(number, NotRunReason::ShuttingDown);
            if let Some(ended) = ended {
                self.finish_request(now, ended, effects);
            }
        }
    }
}
