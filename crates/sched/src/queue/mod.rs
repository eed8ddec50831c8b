//! The tasks that wait, in groups of equal needs, so that thousands that can't be placed cost no
//! more than one.

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

/// After so many failures in a row a group no longer reacts to every release, but only waits,
/// when there are many groups.
const HOPEFUL_FAILURES: u32 = 3;
/// Up to so many groups all react to every release.
const FEW_GROUPS: usize = 64;

/// Numbers groups in the order in which they came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct GroupNumber(u64);

/// The place of a task in the order of arrival.
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
    /// Why none of them has a place.
    pub(crate) reason: Option<WaitReason>,
    /// Not looked at before this time.
    pub(crate) retry_at: Duration,
    /// How often in a row no place was found.
    pub(crate) failures: u32,
    /// The number of releases that had been seen when it was last looked at.
    pub(crate) tried_at_release: u64,
    /// Since when no worker has been large enough.
    pub(crate) never_fits_since: Option<Duration>,
}

/// A task taken out of the queue while its placement is proposed.
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
    /// Adds a task behind those that came before.
    pub(crate) fn push(&mut self, now: Duration, waiting: WaitingTask) {
        self.arrivals += 1;
        let arrival = ArrivalNumber(self.arrivals);
        self.put(QueuedTask { arrival, since: now, waiting });
    }

    /// Puts a task back where it was.
    pub(crate) fn put(&mut self, queued: QueuedTask) {
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

    /// Takes a task out.
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

    /// The groups of each team with work of this priority.
    pub(crate) fn teams(
        &self,
        priority: TaskPriority,
    ) -> impl Iterator<Item = (&TeamName, &BTreeSet<GroupNumber>)> {
        self.order
            .iter()
            .filter(move |((slot, _), _)| slot.0 == priority)
            .map(|((_, team), numbers)| (team, numbers))
    }

    /// True when a group should be looked at; `releases` counts how often room has been freed.
    pub(crate) fn is_due(&self, now: Duration, number: GroupNumber, releases: u64) -> bool {
        let few_groups = self.groups.len() <= FEW_GROUPS;
        self.groups.get(&number).is_some_and(|group| group.is_due(now, releases, few_groups))
    }

    /// A group.
    pub(crate) fn group(&self, number: GroupNumber) -> Option<&WaitGroup> {
        self.groups.get(&number)
    }

    /// A group, to be changed.
    pub(crate) fn group_mut(&mut self, number: GroupNumber) -> Option<&mut WaitGroup> {
        self.groups.get_mut(&number)
    }

    /// A waiting task.
    pub(crate) fn get(&self, task: &TaskId) -> Option<&WaitingTask> {
        let (number, arrival) = self.tasks.get(task)?;
        self.groups.get(number)?.tasks.get(arrival).map(|(_, waiting)| waiting)
    }

    /// The group of a waiting task.
    pub(crate) fn group_of(&self, task: &TaskId) -> Option<&WaitGroup> {
        self.tasks.get(task).and_then(|(number, _)| self.groups.get(number))
    }

    /// Lets groups that have no place be looked at again at once.
    pub(crate) fn retry_all(&mut self) {
        for group in self.groups.values_mut() {
            group.retry_at = Duration::ZERO;
        }
    }
}

impl WaitGroup {
    /// True when it should be looked at: some time has passed, or what it lacks has been freed.
    fn is_due(&self, now: Duration, releases: u64, few_groups: bool) -> bool {
        let lacks_room =
            matches!(self.reason, Some(WaitReason::NoRoom { .. } | WaitReason::QuotaUsed { .. }));
        let may_hope = lacks_room && (few_groups || self.failures <= HOPEFUL_FAILURES);
        self.retry_at <= now || (may_hope && self.tried_at_release < releases)
    }

    /// The task that has waited longest, and since when.
    pub(crate) fn first(&self) -> Option<(Duration, &WaitingTask)> {
        self.tasks.values().next().map(|(since, waiting)| (*since, waiting))
    }
}
