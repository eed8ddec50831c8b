//! The declarations of the fleet: defaults that are set once, and a list of exceptions, each with a
//! written reason.

mod load;
mod policy;
mod resolve;
mod rule_diff;

pub use {
    policy::{
        DrainPolicy, FailureAttributionPolicy, FleetPolicy, LeasePolicy, OutcomeWeights,
        PlacementPolicy, RequestPolicy, RetentionPolicy,
    },
    rule_diff::{RuleChange, RuleText},
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

/// A service to which callers send requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDeclaration {
    /// The team responsible for the service.
    pub team: TeamName,
    /// Methods that may be retried although RFC 9110 does not define them as idempotent.
    #[serde(default)]
    pub idempotent_methods: Vec<String>,
}

/// A team with its quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamDeclaration {
    /// The resources that the team's tasks may reserve at the same time.
    pub quota: ResourceVector,
    /// True if the team may reserve more while other teams leave their quota unused.
    #[serde(default)]
    pub may_borrow: bool,
}

/// The subject for which a policy is resolved. A field that is `None` matches no selector that sets
/// it.
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

/// The subjects that an exception applies to: all fields that are set must match.
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
    /// Returns true if every field that is set equals the subject's.
    pub fn matches(&self, subject: &PolicySubject) -> bool {
        field_matches(&self.service, &subject.service)
            && field_matches(&self.team, &subject.team)
            && field_matches(&self.class, &subject.class)
            && field_matches(&self.data_centre, &subject.data_centre)
            && field_matches(&self.rack, &subject.rack)
            && field_matches(&self.worker, &subject.worker)
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

fn field_matches<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}

/// An exception: values that differ from the defaults for some subjects, and the reason.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExceptionDeclaration {
    /// The name by which explanations refer to the exception.
    pub name: String,
    /// Why the values differ, for a later reader who does not know the case.
    pub reason: String,
    /// Who is responsible for the exception.
    pub owner: String,
    /// The last day on which the exception applies, as `YYYY-MM-DD`.
    #[serde(default)]
    pub expires: Option<String>,
    /// The subjects that the exception applies to.
    #[serde(rename = "for")]
    pub selector: ExceptionSelector,
    /// The values that differ, in the same sections as the defaults.
    pub values: toml::Table,
}

/// The source of a value. Control stores it with each decision in its log, because the declarations
/// may have changed by the time an operator asks for an explanation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RuleSource {
    /// The built-in value, because no file sets the key.
    #[default]
    BuiltIn,
    /// The fleet's defaults.
    Default,
    /// An exception.
    Exception {
        /// The exception's name.
        name: String,
        /// The exception's written reason.
        reason: String,
        /// Who is responsible for the exception.
        owner: String,
    },
}

impl RuleSource {
    /// Returns the name of the rule that set the value at `key`, as in [`FleetDeclaration::rules`],
    /// or `None` if no file sets the value.
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

/// The policy for one subject, and the source of each of its values.
#[derive(Debug, Clone, PartialEq)]
pub struct ResolvedPolicy {
    /// The policy.
    pub policy: FleetPolicy,
    /// The source of each value that is not built in, by dotted key such as `request.deadline`.
    pub sources: IndexMap<String, RuleSource>,
}

impl ResolvedPolicy {
    /// Returns the source of the value at a dotted key.
    pub fn source(&self, key: &str) -> RuleSource {
        self.sources.get(key).cloned().unwrap_or(RuleSource::BuiltIn)
    }
}

/// All declarations of one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetDeclaration {
    /// The revision; zero for the empty folder.
    pub revision: RevisionNumber,
    /// The services.
    pub services: IndexMap<ServiceName, ServiceDeclaration>,
    /// The teams.
    pub teams: IndexMap<TeamName, TeamDeclaration>,
    /// The exceptions.
    pub exceptions: Vec<ExceptionDeclaration>,
    defaults: toml::Table,
}
