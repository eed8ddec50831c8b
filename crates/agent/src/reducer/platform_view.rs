//! What is known of the platform: its life, its clock, what it has and what it measured.

use {
    crate::platform::{PlatformInstant, PlatformLease, PlatformLife, PlatformUsage},
    base::ResourceVector,
    proto::messages::TaskUsage,
    std::time::Duration,
};

/// What is known of the platform.
#[derive(Debug, Default)]
pub(super) struct PlatformView {
    /// The life, once the platform has been listed.
    pub(super) life: Option<PlatformLife>,
    /// The platform's clock at the last list.
    pub(super) clock: PlatformInstant,
    /// When that list arrived.
    pub(super) clock_read: Duration,
    /// What the worker really has.
    pub(super) capacity: ResourceVector,
    /// When the list that is under way was asked for.
    pub(super) listing_since: Option<Duration>,
    /// When the next list is to be asked for.
    pub(super) next_list_at: Duration,
    /// True when the last call got no answer.
    pub(super) silent: bool,
    /// The newest measurement.
    pub(super) usage: Option<PlatformUsage>,
    usage_sent: Option<PlatformInstant>,
}

impl PlatformView {
    /// True when this life of the agent has seen what runs on the platform.
    pub(super) fn is_listed(&self) -> bool {
        self.life.is_some()
    }

    /// What the worker really has, once the platform has said so.
    pub(super) fn known_capacity(&self) -> Option<ResourceVector> {
        self.is_listed().then_some(self.capacity)
    }

    /// What the worker really has.
    pub(super) fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    /// When the platform is to be listed, unless that is under way.
    pub(super) fn next_list_at(&self) -> Option<Duration> {
        self.listing_since.is_none().then_some(self.next_list_at)
    }

    /// The newest measurement and its age, unless it was taken before.
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

    /// The point on the platform's clock that is no later than `deadline`. The clock was read
    /// before its reading arrived, so that counting from the arrival errs towards an earlier end.
    pub(super) fn lease_until(&self, deadline: Duration) -> Option<PlatformLease> {
        let life = self.life?;
        let left = deadline.checked_sub(self.clock_read)?;
        Some(PlatformLease { life, until: self.clock.after(left) })
    }
}
