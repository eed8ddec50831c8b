//! Descriptions under the present incarnation's name, which other programs can send as well.
//!
//! Nothing in the executor's answers confirms a description. The executor repeats its own, with
//! rising sequence numbers, so that what continues such a series is taken for its own, and a series
//! that nobody continues is given up. The incident is in `docs/incidents/odd-heartbeat.md`.

use {
    super::AgentNode,
    crate::{event::FlowEvent, message::WorkerReport},
    std::time::Duration,
};

/// The time without a continuation after which a series of descriptions is given up: more than two
/// intervals of an executor's heartbeats.
const SERIES_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest text about a refused description, in characters.
const REASON_LIMIT: usize = 160;

impl AgentNode {
    /// Handles a description of the present incarnation. Ignores one that a later one has overtaken,
    /// and refuses one that contradicts what does not change within an incarnation.
    pub(super) fn handle_own_description(&mut self, report: WorkerReport, sequence: u64) {
        let Some(executor) = &self.executor else { return };
        let contradiction = contradiction(&executor.report, &report);
        let given_up = self.now.saturating_sub(executor.described_at) >= SERIES_TIMEOUT;
        match contradiction {
            Some(found) if !given_up => {
                let worker = &report.worker;
                let from = format!("heartbeat of {worker}");
                let reason = format!("{worker} has described itself otherwise: {found}");
                let reason = reason.chars().take(REASON_LIMIT).collect();
                self.record(FlowEvent::MessageRefused { from, reason });
            }
            None if !given_up && sequence <= executor.sequence => {}
            _ => self.update_report(report, sequence),
        }
    }
}

/// Returns how a description differs from an earlier one of the same incarnation in what stays with
/// it.
fn contradiction(known: &WorkerReport, found: &WorkerReport) -> Option<String> {
    if found.service != known.service {
        return Some(format!("service {}", found.service));
    }
    if found.data_centre != known.data_centre {
        return Some(format!("data centre {}", found.data_centre));
    }
    (found.labels != known.labels).then(|| format!("labels {}", found.labels.join(", ")))
}
