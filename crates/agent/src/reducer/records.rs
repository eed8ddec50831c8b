//! Stores full records of dispatches, bounded by number, age and bytes.

use {
    indexmap::IndexMap,
    proto::messages::{DispatchId, DispatchOutcome},
    std::{collections::VecDeque, time::Duration},
};

/// How long a record is kept after the dispatch has ended.
const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// The maximum number of records in one store.
const RECORD_LIMIT: usize = 16_384;
/// The maximum bytes of answers in one store.
const ANSWER_BYTES_LIMIT: usize = 16 * 1024 * 1024;

/// The state of a recorded dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RecordState {
    /// An executor is processing the dispatch.
    Running,
    /// The dispatch has ended.
    Ended(DispatchOutcome),
    /// The dispatch was answered, and the answer isn't kept.
    AnswerForgotten,
    /// The dispatch never arrived or never ran, and is refused if it arrives.
    Fenced,
}

#[derive(Debug)]
struct DispatchRecord {
    state: RecordState,
    changed: Duration,
}

/// A bounded store of records. Running dispatches are never evicted; the slots bound their number.
#[derive(Debug, Default)]
pub(super) struct RecordStore {
    records: IndexMap<DispatchId, DispatchRecord>,
    order: VecDeque<DispatchId>,
    answer_bytes: usize,
}

impl RecordStore {
    /// Returns the state of a dispatch, if the store has a record of it.
    pub(super) fn get(&self, dispatch: &DispatchId) -> Option<&RecordState> {
        self.records.get(dispatch).map(|record| &record.state)
    }

    /// Inserts a record, in place of an earlier one of the same dispatch.
    pub(super) fn insert(&mut self, now: Duration, dispatch: &DispatchId, state: RecordState) {
        let record = DispatchRecord { state, changed: now };
        self.answer_bytes += answer_size(&record.state);
        match self.records.insert(dispatch.clone(), record) {
            Some(previous) => self.answer_bytes -= answer_size(&previous.state),
            None => self.order.push_back(dispatch.clone()),
        }
        self.evict(now);
    }

    /// Updates the record of a dispatch, if the store has one.
    pub(super) fn update(&mut self, now: Duration, dispatch: &DispatchId, state: RecordState) {
        if self.records.contains_key(dispatch) {
            self.insert(now, dispatch, state);
        }
    }

    fn evict(&mut self, now: Duration) {
        for _ in 0..self.order.len() {
            let Some(oldest) = self.order.front().and_then(|id| self.records.get(id)) else {
                return;
            };
            let over_limit = self.records.len() > RECORD_LIMIT
                || self.answer_bytes > ANSWER_BYTES_LIMIT
                || now >= oldest.changed + RECORD_RETENTION;
            if !over_limit {
                return;
            }
            let running = oldest.state == RecordState::Running;
            let Some(dispatch) = self.order.pop_front() else { return };
            if running {
                self.order.push_back(dispatch);
                continue;
            }
            if let Some(record) = self.records.swap_remove(&dispatch) {
                self.answer_bytes -= answer_size(&record.state);
            }
        }
    }
}

fn answer_size(state: &RecordState) -> usize {
    let RecordState::Ended(DispatchOutcome::Answered(answer)) = state else { return 0 };
    let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
    answer.body.len() + headers.sum::<usize>()
}
