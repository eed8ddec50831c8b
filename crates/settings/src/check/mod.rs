//! Errors in what operators write, each with its place and what was expected there.

use std::{fmt, path::PathBuf};

/// A place in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextPlace {
    /// The file, as the operator named it.
    pub file: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// The dotted key; empty for the whole file.
    pub key: String,
}

impl fmt::Display for TextPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)?;
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckProblem {
    /// The file is no TOML.
    Syntax {
        /// What the parser reported.
        detail: String,
    },
    /// The key means nothing here.
    UnknownKey {
        /// The most similar key that does.
        nearest: Option<String>,
        /// Every key that does.
        allowed: Vec<&'static str>,
    },
    /// A key is missing.
    MissingKey {
        /// The key.
        key: &'static str,
        /// What it is for.
        expected: &'static str,
    },
    /// The value is not of the expected kind or out of range.
    BadValue {
        /// What a correct value looks like.
        expected: String,
        /// The value that was given.
        found: String,
    },
    /// The name is declared nowhere.
    UnknownName {
        /// The kind of thing.
        kind: &'static str,
        /// The name.
        name: String,
        /// The most similar declared name.
        nearest: Option<String>,
    },
    /// The name is declared twice.
    DeclaredTwice {
        /// Where it is declared first.
        first: TextPlace,
    },
    /// An exception names nobody.
    EmptySelector,
    /// An exception has no written reason, or only the shadow of one.
    NoReason,
    /// Two exceptions set the same key for the same subject, and neither is more specific.
    Conflict {
        /// The dotted key that both set.
        value: String,
        /// The other exception.
        other: String,
        /// Where the other exception is.
        place: TextPlace,
    },
    /// The tables of the roles are not exactly one.
    NotOneRole {
        /// The roles whose tables are there.
        found: Vec<&'static str>,
    },
}

impl fmt::Display for CheckProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { detail } => write!(f, "not valid TOML: {detail}"),
            Self::UnknownKey { nearest: Some(nearest), .. } => {
                write!(f, "unknown key; did you mean {nearest:?}?")
            }
            Self::UnknownKey { nearest: None, allowed } => {
                write!(f, "unknown key; expected one of {}", allowed.join(", "))
            }
            Self::MissingKey { key, expected } => write!(f, "{key:?} is missing: {expected}"),
            Self::BadValue { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::UnknownName { kind, name, nearest: Some(nearest) } => {
                write!(f, "no {kind} {name:?} is declared; did you mean {nearest:?}?")
            }
            Self::UnknownName { kind, name, nearest: None } => {
                write!(f, "no {kind} {name:?} is declared")
            }
            Self::DeclaredTwice { first } => write!(f, "declared before at {first}"),
            Self::EmptySelector => f.write_str("\"for\" must name at least one subject"),
            Self::NoReason => f.write_str("a written reason is required, in at least three words"),
            Self::Conflict { value, other, place } => write!(
                f,
                "sets {value:?}, and so does exception {other:?} at {place}; both can hold for the \
                 same subject and neither is more specific"
            ),
            Self::NotOneRole { found } if found.is_empty() => {
                f.write_str("expected one table of [control], [entry], [agent] or [stand-in]")
            }
            Self::NotOneRole { found } => {
                write!(f, "expected one role, found tables for {}", found.join(" and "))
            }
        }
    }
}

/// One error in what an operator wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// Where.
    pub place: TextPlace,
    /// What.
    pub problem: CheckProblem,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl std::error::Error for CheckError {}

/// The candidate that is most like `word`, when one is alike at all.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<String> {
    const LEAST_SIMILARITY: f64 = 0.6;
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= LEAST_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate.to_owned())
}
