//! Resolves declarations to the policy for one subject, and records the source of each value.

use {
    super::{
        ExceptionDeclaration, ExceptionSelector, FleetDeclaration, PolicySubject, ResolvedPolicy,
        RuleSource,
    },
    indexmap::IndexMap,
    std::time::{Duration, SystemTime},
};

const SECONDS_PER_DAY: u64 = 24 * 3600;

impl FleetDeclaration {
    /// Returns the policy for `subject` at `wall`, from the defaults and the matching exceptions
    /// that have not expired. The more specific of two exceptions takes precedence.
    pub fn policy_for(&self, subject: &PolicySubject, wall: SystemTime) -> ResolvedPolicy {
        let mut table = self.defaults.clone();
        let mut sources = IndexMap::new();
        for key in leaf_keys(&self.defaults) {
            sources.insert(key, RuleSource::Default);
        }
        for exception in self.matching(subject, wall) {
            merge(&mut table, &exception.values);
            for key in leaf_keys(&exception.values) {
                sources.insert(key, exception.source());
            }
        }
        let policy = table.try_into().expect("the schema admits only what the types can hold");
        ResolvedPolicy { policy, sources }
    }

    /// Returns the exceptions that apply to `subject` at `wall`, the least specific first.
    pub fn matching(
        &self,
        subject: &PolicySubject,
        wall: SystemTime,
    ) -> Vec<&ExceptionDeclaration> {
        let mut matching: Vec<_> = self
            .exceptions
            .iter()
            .filter(|exception| exception.selector.matches(subject) && !exception.expired(wall))
            .collect();
        matching.sort_by_key(|exception| exception.selector.fields());
        matching
    }
}

impl ResolvedPolicy {
    /// Returns all values as text, with their dotted keys.
    pub fn values(&self) -> Vec<(String, String)> {
        let Ok(table) = toml::Table::try_from(&self.policy) else { return Vec::new() };
        leaf_keys(&table)
            .into_iter()
            .map(|key| {
                let value = leaf(&table, &key).map(ToString::to_string).unwrap_or_default();
                (key, value)
            })
            .collect()
    }
}

impl ExceptionDeclaration {
    /// Returns true if the last day on which the exception applies has passed, in UTC.
    pub fn expired(&self, wall: SystemTime) -> bool {
        let end = self.expires.as_deref().and_then(day_end);
        end.is_some_and(|end| wall >= end)
    }

    fn source(&self) -> RuleSource {
        RuleSource::Exception {
            name: self.name.clone(),
            reason: self.reason.clone(),
            owner: self.owner.clone(),
        }
    }
}

impl ExceptionSelector {
    fn values(&self) -> [Option<&str>; 6] {
        [
            self.service.as_ref().map(|name| name.as_str()),
            self.team.as_ref().map(|name| name.as_str()),
            self.class.as_ref().map(|name| name.as_str()),
            self.data_centre.as_ref().map(|name| name.as_str()),
            self.rack.as_ref().map(|name| name.as_str()),
            self.worker.as_ref().map(|name| name.as_str()),
        ]
    }

    /// Returns the number of fields that are set.
    pub(super) fn fields(&self) -> usize {
        self.values().iter().flatten().count()
    }

    /// Returns true if some subject can match both selectors.
    pub(super) fn overlaps(&self, other: &Self) -> bool {
        self.values()
            .iter()
            .zip(other.values())
            .all(|(left, right)| left.is_none() || right.is_none() || *left == right)
    }

    /// Returns true if every subject that matches `self` also matches `other`.
    pub(super) fn refines(&self, other: &Self) -> bool {
        self.values()
            .iter()
            .zip(other.values())
            .all(|(left, right)| right.is_none() || *left == right)
    }
}

/// Overwrites values of `base` with those of `over`, recursively.
pub(super) fn merge(base: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (base.get_mut(key), value) {
            (Some(toml::Value::Table(inner)), toml::Value::Table(over)) => merge(inner, over),
            _ => {
                base.insert(key.clone(), value.clone());
            }
        }
    }
}

/// Returns the dotted keys of all values in a table.
pub(super) fn leaf_keys(table: &toml::Table) -> Vec<String> {
    let mut keys = Vec::new();
    for (key, value) in table {
        match value {
            toml::Value::Table(inner) => {
                keys.extend(leaf_keys(inner).into_iter().map(|rest| format!("{key}.{rest}")));
            }
            _ => keys.push(key.clone()),
        }
    }
    keys
}

/// Returns the value at a dotted key.
pub(super) fn leaf<'a>(table: &'a toml::Table, key: &str) -> Option<&'a toml::Value> {
    let (first, rest) = match key.split_once('.') {
        Some((first, rest)) => (first, Some(rest)),
        None => (key, None),
    };
    match (table.get(first)?, rest) {
        (toml::Value::Table(inner), Some(rest)) => leaf(inner, rest),
        (value, None) => Some(value),
        _ => None,
    }
}

/// Returns the first moment after the day written as `YYYY-MM-DD`, in UTC.
fn day_end(text: &str) -> Option<SystemTime> {
    let mut parts = text.splitn(3, '-').map(str::parse::<i64>);
    let (year, month, day) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    let days = u64::try_from(days_since_epoch(year, month, day)).ok()?;
    Some(SystemTime::UNIX_EPOCH + Duration::from_secs((days + 1) * SECONDS_PER_DAY))
}

/// Returns the number of days since 1970-01-01 in the proleptic Gregorian calendar. The calculation
/// counts years from March, so that the leap day is the last day of a year, and groups them in eras
/// of 400 years.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    const DAYS_PER_ERA: i64 = 146_097;
    const DAYS_TO_EPOCH: i64 = 719_468;
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let month_from_march = (month + 9) % 12;
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * DAYS_PER_ERA + day_of_era - DAYS_TO_EPOCH
}
