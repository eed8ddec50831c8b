//! Represents declarations as a list of named rules, so that two revisions can be compared rule by
//! rule and the age of a rule can be determined.

use {
    super::{resolve, ExceptionDeclaration, FleetDeclaration},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The text of one rule and the subject that it applies to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleText {
    /// The values that the rule sets.
    pub text: String,
    /// The subject that the rule applies to.
    pub subject: String,
}

/// How one rule differs between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleChange {
    /// The name of the rule, such as `defaults.request.deadline` or `exceptions.partner-quotes`.
    pub rule: String,
    /// The rule in the older revision, if it exists there.
    pub before: Option<RuleText>,
    /// The rule in the newer revision, if it exists there.
    pub after: Option<RuleText>,
}

impl fmt::Display for RuleChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (None, Some(after)) => {
                write!(f, "+ {} = {} (for {})", self.rule, after.text, after.subject)
            }
            (Some(before), None) => {
                write!(f, "- {} = {} (for {})", self.rule, before.text, before.subject)
            }
            (Some(before), Some(after)) => write!(
                f,
                "~ {} = {} -> {} (for {})",
                self.rule, before.text, after.text, after.subject
            ),
            (None, None) => write!(f, "  {}", self.rule),
        }
    }
}

impl FleetDeclaration {
    /// Returns all rules by name: each default value, service, team and exception.
    pub fn rules(&self) -> IndexMap<String, RuleText> {
        let mut rules = IndexMap::new();
        for key in resolve::leaf_keys(&self.defaults) {
            let text = resolve::leaf(&self.defaults, &key).map(ToString::to_string);
            let rule = RuleText { text: text.unwrap_or_default(), subject: "the fleet".to_owned() };
            rules.insert(format!("defaults.{key}"), rule);
        }
        for (name, service) in &self.services {
            let methods = service.idempotent_methods.join(" ");
            let text = format!("team {}, idempotent methods [{methods}]", service.team);
            let subject = format!("service {name}");
            rules.insert(format!("services.{name}"), RuleText { text, subject });
        }
        for (name, team) in &self.teams {
            let borrow = if team.may_borrow { ", may borrow" } else { "" };
            let text = format!("quota {}{borrow}", team.quota);
            rules.insert(
                format!("teams.{name}"),
                RuleText { text, subject: format!("team {name}") },
            );
        }
        for exception in &self.exceptions {
            rules.insert(format!("exceptions.{}", exception.name), exception.rule());
        }
        rules
    }

    /// Returns the rules that differ from those of `before`, sorted by name.
    pub fn changes_since(&self, before: &Self) -> Vec<RuleChange> {
        let old = before.rules();
        let new = self.rules();
        let mut names: Vec<_> = old.keys().chain(new.keys()).cloned().collect();
        names.sort();
        names.dedup();
        names
            .into_iter()
            .map(|rule| RuleChange {
                before: old.get(&rule).cloned(),
                after: new.get(&rule).cloned(),
                rule,
            })
            .filter(|change| change.before != change.after)
            .collect()
    }
}

impl ExceptionDeclaration {
    fn rule(&self) -> RuleText {
        let values: Vec<_> = resolve::leaf_keys(&self.values)
            .into_iter()
            .filter_map(|key| {
                resolve::leaf(&self.values, &key).map(|value| format!("{key} = {value}"))
            })
            .collect();
        let expires = self.expires.as_deref().map_or(String::new(), |day| format!(" until {day}"));
        let text =
            format!("{}{expires}, because {} ({})", values.join(", "), self.reason, self.owner);
        RuleText { text, subject: self.selector.to_string() }
    }
}
