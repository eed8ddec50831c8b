//! The cordoned data centres, in which nothing more may start.

use {
    super::CommandOutcome,
    serde::{Deserialize, Serialize},
    snafu::{ensure, Snafu},
    std::{borrow::Borrow, collections::BTreeSet, fmt, str::FromStr, sync::Arc},
};

/// The most data centres that may be cordoned at once. Every replica keeps them in memory and in
/// each snapshot, and a fleet has a few.
pub const CORDON_LIMIT: usize = 64;
/// The longest name of a data centre, in bytes.
const NAME_LIMIT: usize = 64;

/// The name of a data centre, as executors report it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct DataCentreName(Arc<str>);

/// A text that is not a valid name of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "invalid data centre {name:?}: a name has 1 to {NAME_LIMIT} letters, digits, '-', '_' or '.'"
))]
pub struct DataCentreError {
    name: String,
}

impl fmt::Display for DataCentreName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for DataCentreName {
    type Err = DataCentreError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let valid = (1..=NAME_LIMIT).contains(&name.len()) && name.bytes().all(allowed);
        ensure!(valid, DataCentreSnafu { name });
        Ok(Self(Arc::from(name)))
    }
}

impl DataCentreName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Borrow<str> for DataCentreName {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// The cordoned data centres, in the order of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct CordonSet(BTreeSet<DataCentreName>);

impl CordonSet {
    /// Cordons a data centre. Changes nothing if it is cordoned, or if no more may be.
    pub fn cordon(&mut self, data_centre: &DataCentreName) -> CommandOutcome {
        if self.is_full_for(data_centre) {
            return CommandOutcome::Stale;
        }
        self.0.insert(data_centre.clone());
        CommandOutcome::Done
    }

    /// Lifts the cordon of a data centre, if it has one.
    pub fn lift(&mut self, data_centre: &DataCentreName) -> CommandOutcome {
        self.0.remove(data_centre);
        CommandOutcome::Done
    }

    /// Returns whether a data centre cannot be cordoned, because too many others are.
    pub fn is_full_for(&self, data_centre: &DataCentreName) -> bool {
        self.0.len() >= CORDON_LIMIT && !self.0.contains(data_centre)
    }

    /// Returns whether a data centre is cordoned.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.0.contains(data_centre)
    }

    /// Returns the number of cordoned data centres.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no data centre is cordoned.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
