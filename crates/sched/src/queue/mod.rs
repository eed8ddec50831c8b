//! Queues waiting tasks in groups of equal needs, so that thousands of tasks that can't be placed
//! cost no more than one.

use {
    crate::interface::{SpreadRule, TaskPriority, WaitReason, WaitingTask},
    base::{ClassName, JobId, ResourceVector, ServiceName, TaskId, TeamName},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// With more than [`FEW_GROUPS`] groups, a group that has failed more often than this in a row is
/// retried only after its pause. Other groups are also retried whenever capacity is released.
const EAGER_FAILURES: u32 = 3;
/// The number of groups up to which all of them are retried whenever capacity is released.
const FEW_GROUPS: usize = 64;

/// Identifies a group. Numbers ascend in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GroupNumber(u64);

/// The position of a task in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ArrivalNumber(u64);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupKey {
    job: JobId,
    team: TeamName,
    class: ClassName,
    priority: TaskPriority,
    declared: ResourceVector,
    service: Option<ServiceName>,
    spread: SpreadRule,
}

impl GroupKey {
    fn of(task: &WaitingTask) -> Self {
        Self {
            job: task.task.job.clone(),
            team: task.team.clone(),
            class: task.class.clone(),
            priority: task.priority,
            declared: task.declared,
            service: task.service.clone(),
            spread: task.spread.clone(),
        }
    }
}

/// Waiting tasks of one job with equal needs.
#[derive(Debug)]
pub(crate) struct WaitGroup {
    key: GroupKey,
    tasks: BTreeMap<ArrivalNumber, (Duration, WaitingTask)>,
    /// Why none of the tasks has been placed.
    pub(crate) reason: Option<WaitReason>,
    /// The end of the pause after a failed placement. A release of capacity may cut it short.
    pub(crate) retry_at: Duration,
    /// The number of consecutive failures to place a task of the group.
    pub(crate) failures: u32,
    /// The value of `FleetModel::releases` when a placement was last tried.
    pub(crate) tried_at_release: u64,
    /// The time since which no worker has been large enough.
    pub(crate) never_fits_since: Option<Duration>,
}

/// A task removed from the queue while its placement is proposed.
#[derive(Debug, Clone)]
pub(crate) struct QueuedTask {
    pub(crate) arrival: ArrivalNumber,
    pub(crate) since: Duration,
    pub(crate) waiting: WaitingTask,
}

/// All waiting tasks.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    numbers: IndexMap<GroupKey, GroupNumber>,
    groups: BTreeMap<GroupNumber, WaitGroup>,
    tasks: IndexMap<TaskId, (GroupNumber, ArrivalNumber)>,
    order: BTreeMap<(Reverse<TaskPriority>, TeamName), BTreeSet<GroupNumber>>,
    arrivals: u64,
}

impl WaitQueue {
    /// Adds a task at the end of the queue.
    pub(crate) fn push(&mut self, now: Duration, waiting: WaitingTask) {
        self.arrivals += 1;
        let arrival = ArrivalNumber(self.arrivals);
        self.put_back(QueuedTask { arrival, since: now, waiting });
    }

    /// Returns a task to its position in the queue.
    pub(crate) fn put_back(&mut self, queued: QueuedTask) {
        let key = GroupKey::of(&queued.waiting);
        let number = match self.numbers.get(&key) {
            Some(number) => *number,
            None => self.add_group(key, queued.arrival),
        };
        self.tasks.insert(queued.waiting.task.clone(), (number, queued.arrival));
        if let Some(group) = self.groups.get_mut(&number) {
            group.tasks.insert(queued.arrival, (queued.since, queued.waiting));
        }
    }

    fn add_group(&mut self, key: GroupKey, arrival: ArrivalNumber) -> GroupNumber {
        let mut number = GroupNumber(arrival.0);
        while self.groups.contains_key(&number) {
            self.arrivals += 1;
            number = GroupNumber(self.arrivals);
        }
        let slot = (Reverse(key.priority), key.team.clone());
        self.order.entry(slot).or_default().insert(number);
        self.numbers.insert(key.clone(), number);
        let group = WaitGroup {
            key,
            tasks: BTreeMap::new(),
            reason: None,
            retry_at: Duration::ZERO,
            failures: 0,
            tried_at_release: 0,
            never_fits_since: None,
        };
        self.groups.insert(number, group);
        number
    }

    /// Removes a task from the queue.
    pub(crate) fn take(&mut self, task: &TaskId) -> Option<QueuedTask> {
        let (number, arrival) = self.tasks.swap_remove(task)?;
        let group = self.groups.get_mut(&number)?;
        let (since, waiting) = group.tasks.remove(&arrival)?;
        if group.tasks.is_empty() {
            self.remove_group(number);
        }
        Some(QueuedTask { arrival, since, waiting })
    }

    fn remove_group(&mut self, number: GroupNumber) {
        let Some(group) = self.groups.remove(&number) else {
            return;
        };
        let slot = (Reverse(group.key.priority), group.key.team.clone());
        if let Some(numbers) = self.order.get_mut(&slot) {
            numbers.remove(&number);
            if numbers.is_empty() {
                self.order.remove(&slot);
            }
        }
        self.numbers.swap_remove(&group.key);
    }

    /// Returns the teams with work of this priority, and their groups.
    pub(crate) fn teams(
        &self,
        priority: TaskPriority,
    ) -> impl Iterator<Item = (&TeamName, &BTreeSet<GroupNumber>)> {
        self.order
            .iter()
            .filter(move |((slot, _), _)| slot.0 == priority)
            .map(|((_, team), numbers)| (team, numbers))
    }

    /// Returns true when placing a task of the group should be tried; `releases` counts how often
    /// capacity has been released.
    pub(crate) fn is_due(&self, now: Duration, number: GroupNumber, releases: u64) -> bool {
        let few_groups = self.groups.len() <= FEW_GROUPS;
        self.groups.get(&number).is_some_and(|group| group.is_due(now, releases, few_groups))
    }

    /// Returns a group.
    pub(crate) fn group(&self, number: GroupNumber) -> Option<&WaitGroup> {
        self.groups.get(&number)
    }

    /// Returns a mutable group.
    pub(crate) fn group_mut(&mut self, number: GroupNumber) -> Option<&mut WaitGroup> {
        self.groups.get_mut(&number)
    }

    /// Returns a waiting task.
    pub(crate) fn get(&self, task: &TaskId) -> Option<&WaitingTask> {
        let (number, arrival) = self.tasks.get(task)?;
        self.groups.get(number)?.tasks.get(arrival).map(|(_, waiting)| waiting)
    }

    /// Returns the group of a waiting task.
    pub(crate) fn group_of(&self, task: &TaskId) -> Option<&WaitGroup> {
        self.tasks.get(task).and_then(|(number, _)| self.groups.get(number))
    }

    /// Ends the pauses of all groups.
    pub(crate) fn retry_all(&mut self) {
        for group in self.groups.values_mut() {
            group.retry_at = Duration::ZERO;
        }
    }
}

impl WaitGroup {
    /// Returns true when the pause of the group is over, or when capacity that it lacks may have
    /// been released.
    fn is_due(&self, now: Duration, releases: u64, few_groups: bool) -> bool {
        let lacks_capacity = matches!(
            self.reason,
            Some(WaitReason::NoCapacity { .. } | WaitReason::QuotaUsed { .. })
        );
        let retries_on_release = lacks_capacity && (few_groups || self.failures <= EAGER_FAILURES);
        self.retry_at <= now || (retries_on_release && self.tried_at_release < releases)
    }

    /// Returns the task that has waited longest, and the time when it was queued.
    pub(crate) fn first(&self) -> Option<(Duration, &WaitingTask)> {
        self.tasks.values().next().map(|(since, waiting)| (*since, waiting))
    }
}
