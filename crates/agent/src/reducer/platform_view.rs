//! The agent's view of the platform: incarnation, clock, capacity and measurements.

use {
    crate::platform::{PlatformIncarnation, PlatformInstant, PlatformLease, PlatformUsage},
    base::ResourceVector,
    proto::messages::TaskUsage,
    std::time::Duration,
};

/// The platform's state according to its last list.
#[derive(Debug, Default)]
pub(super) struct PlatformView {
    /// The platform's incarnation, once the platform has been listed.
    pub(super) incarnation: Option<PlatformIncarnation>,
    /// The platform's clock when it made the last list.
    pub(super) clock: PlatformInstant,
    /// When that list arrived, on the agent's clock.
    pub(super) clock_read: Duration,
    /// The worker's actual capacity.
    pub(super) capacity: ResourceVector,
    /// When the agent requested the list that is pending.
    pub(super) listing_since: Option<Duration>,
    /// When the next list is due.
    pub(super) next_list_at: Duration,
    /// True when the last call got no answer.
    pub(super) silent: bool,
    /// The newest usage measurement.
    pub(super) usage: Option<PlatformUsage>,
    usage_sent: Option<PlatformInstant>,
}

impl PlatformView {
    /// Returns true when this incarnation of the agent has listed the platform.
    pub(super) fn is_listed(&self) -> bool {
        self.incarnation.is_some()
    }

    /// Returns the worker's actual capacity, once the platform has been listed.
    pub(super) fn known_capacity(&self) -> Option<ResourceVector> {
        self.is_listed().then_some(self.capacity)
    }

    /// Returns the worker's actual capacity, or zero before the platform has been listed.
    pub(super) fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// Returns when the next list is due, or `None` while one is pending.
    pub(super) fn next_list_at(&self) -> Option<Duration> {
        self.listing_since.is_none().then_some(self.next_list_at)
    }

    /// Returns the newest measurement and its age, unless an earlier call returned it.
    pub(super) fn take_usage(&mut self, now: Duration) -> Option<(Duration, Vec<TaskUsage>)> {
        let usage = self.usage.as_ref()?;
        if self.usage_sent == Some(usage.taken) {
            return None;
        }
        self.usage_sent = Some(usage.taken);
        let age = self.clock.since(usage.taken) + now.saturating_sub(self.clock_read);
        let tasks = usage.tasks.iter().map(|measured| TaskUsage {
            task: measured.id.task.clone(),
            attempt: measured.id.attempt,
            used: measured.used,
            speed_permille: measured.speed_permille,
        });
        Some((age, tasks.collect()))
    }

    /// Converts `deadline` to the platform's clock, and errs towards an earlier end: the platform
    /// read its clock before the reading arrived, and the conversion counts from the arrival.
    pub(super) fn lease_until(&self, deadline: Duration) -> Option<PlatformLease> {
        let life = self.incarnation?;
        let left = deadline.checked_sub(self.clock_read)?;
        Some(PlatformLease { life, until: self.clock.after(left) })
    }
}
