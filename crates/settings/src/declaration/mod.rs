//! The declarations of the fleet: defaults set once, then a short list of exceptions, each with a
//! written reason.

mod differ;
mod load;
mod policy;
mod resolve;

pub use {
    differ::{RuleChange, RuleText},
    policy::{
        BlamePolicy, DrainPolicy, FleetPolicy, LeasePolicy, OutcomeWeights, PlacementPolicy,
        RequestPolicy, RetentionPolicy,
    },
};

use {
    base::{
        ClassName, DataCentreName, RackName, ResourceVector, RevisionNumber, ServiceName, TeamName,
        WorkerId,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A service that callers address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// The team that answers for it.
    pub team: TeamName,
    /// Methods that may be repeated although RFC 9110 does not call them idempotent.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
}

/// A team with its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDeclaration {
    /// What its tasks may hold at once.
    pub quota: ResourceVector,
    /// True when it may hold more while others leave their quota unused.
    #[serde(default)]
    pub may_borrow: bool,
}

/// Whom a policy is resolved for. A field that is `None` matches no selector that names it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PolicySubject {
    /// The service.
    pub service: Option<ServiceName>,
    /// The team.
    pub team: Option<TeamName>,
    /// The class of task.
    pub class: Option<ClassName>,
    /// The data centre.
    pub data_centre: Option<DataCentreName>,
    /// The rack.
    pub rack: Option<RackName>,
    /// The worker.
    pub worker: Option<WorkerId>,
}

/// Whom an exception is for: all fields that are given must match.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ExceptionSelector {
    /// The service.
    pub service: Option<ServiceName>,
    /// The team.
    pub team: Option<TeamName>,
    /// The class of task.
    pub class: Option<ClassName>,
    /// The data centre.
    pub data_centre: Option<DataCentreName>,
    /// The rack.
    pub rack: Option<RackName>,
    /// The worker.
    pub worker: Option<WorkerId>,
}

impl ExceptionSelector {
    /// True when every given field equals the subject's.
    pub fn matches(&self, subject: &PolicySubject) -> bool {
        agrees(&self.service, &subject.service)
            && agrees(&self.team, &subject.team)
            && agrees(&self.class, &subject.class)
            && agrees(&self.data_centre, &subject.data_centre)
            && agrees(&self.rack, &subject.rack)
            && agrees(&self.worker, &subject.worker)
    }
}

impl fmt::Display for ExceptionSelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fields = [
            self.service.as_ref().map(|name| format!("service {name}")),
            self.team.as_ref().map(|name| format!("team {name}")),
            self.class.as_ref().map(|name| format!("class {name}")),
            self.data_centre.as_ref().map(|name| format!("data centre {name}")),
            self.rack.as_ref().map(|name| format!("rack {name}")),
            self.worker.as_ref().map(|name| format!("worker {name}")),
        ];
        f.write_str(&fields.into_iter().flatten().collect::<Vec<_>>().join(", "))
    }
}

fn agrees<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}

/// A case that differs from the rule, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionDeclaration {
    /// A name by which explanations refer to it.
    pub name: String,
    /// Why this case differs, for the person who reads it after the next merger.
    pub reason: String,
    /// Who answers for it.
    pub owner: String,
    /// The last day on which it holds, as `YYYY-MM-DD`.
    #[serde(default)]
    pub expires: Option<String>,
    /// Whom it is for.
    #[serde(rename = "for")]
    pub selector: ExceptionSelector,
    /// The changed values, in the sections of the defaults.
    pub values: toml::Table,
}

/// What decided a value. The log of control keeps it beside each decision, because the declarations
/// may have changed by the time somebody asks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RuleSource {
    /// The value that is built in, because no file sets it.
    #[default]
    BuiltIn,
    /// The fleet's defaults.
    Default,
    /// An exception.
    Exception {
        /// Its name.
        name: String,
        /// Its written reason.
        reason: String,
        /// Who answers for it.
        owner: String,
    },
}

impl RuleSource {
    /// The rule that set the value at `key`, by the name that [`FleetDeclaration::rules`] gives it;
    /// `None` when no file sets it.
    pub fn rule_name(&self, key: &str) -> Option<String> {
        match self {
            Self::BuiltIn => None,
            Self::Default => Some(format!("defaults.{key}")),
            Self::Exception { name, .. } => Some(format!("exceptions.{name}")),
        }
    }
}

impl fmt::Display for RuleSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BuiltIn => f.write_str("built-in value"),
            Self::Default => f.write_str("fleet default"),
            Self::Exception { name, reason, owner } => {
                write!(f, "exception {name:?} of {owner}: {reason}")
            }
        }
    }
}

/// The policy for one subject, and what decided each of its values.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedPolicy {
    /// The policy.
    pub policy: FleetPolicy,
    /// The source of each value that is not built in, by dotted key such as `request.deadline`.
    pub sources: IndexMap<String, RuleSource>,
}

impl ResolvedPolicy {
    /// What decided the value at a dotted key.
    pub fn source(&self, key: &str) -> RuleSource {
        self.sources.get(key).cloned().unwrap_or(RuleSource::BuiltIn)
    }
}

/// All declarations of one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetDeclaration {
    /// The revision; zero is the empty folder.
    pub revision: RevisionNumber,
    /// The services.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// The teams.
    pub teams: IndexMap<TeamName, TeamDeclaration>,
    /// The exceptions.
    pub exceptions: Vec<ExceptionDeclaration>,
    defaults: toml::Table,
}
