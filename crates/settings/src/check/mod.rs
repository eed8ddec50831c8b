//! Errors in the files that operators write, each with its location and the expected value.

use std::{fmt, path::PathBuf};

/// A location in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    /// The file, as the operator named it.
    pub file: PathBuf,
    /// The line, from 1.
    pub line: usize,
    /// The dotted key; empty if the location is the whole file.
    pub key: String,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file.display(), self.line)?;
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        Ok(())
    }
}

/// The problem at a location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckProblem {
    /// The file is not valid TOML.
    Syntax {
        /// The parser's error.
        detail: String,
    },
    /// The key is not allowed here.
    UnknownKey {
        /// The most similar allowed key, if any is similar.
        nearest: Option<String>,
        /// All allowed keys.
        allowed: Vec<&'static str>,
    },
    /// A required key is missing.
    MissingKey {
        /// The key.
        key: &'static str,
        /// The purpose of the key.
        expected: &'static str,
    },
    /// The value has the wrong kind or is out of range.
    BadValue {
        /// The expected format or range.
        expected: String,
        /// The value found.
        found: String,
    },
    /// The name is not declared.
    UnknownName {
        /// The kind of the named object, such as "team".
        kind: &'static str,
        /// The name.
        name: String,
        /// The most similar declared name.
        nearest: Option<String>,
    },
    /// The same name is declared twice.
    DeclaredTwice {
        /// The location of the first declaration.
        first: SourceLocation,
    },
    /// The selector of an exception is empty.
    EmptySelector,
    /// The reason of an exception is missing or has fewer than three words.
    NoReason,
    /// Two exceptions set the same key for the same subject, and neither is more specific.
    Conflict {
        /// The dotted key that both exceptions set.
        value: String,
        /// The other exception.
        other: String,
        /// The location of the other exception.
        location: SourceLocation,
    },
    /// The file does not have the table of exactly one role.
    NotOneRole {
        /// The roles whose tables the file has.
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
            Self::Conflict { value, other, location } => write!(
                f,
                "sets {value:?}, and so does exception {other:?} at {location}; both can hold for the \
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

/// One error in a file that an operator wrote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckError {
    /// The location of the error.
    pub location: SourceLocation,
    /// The problem found there.
    pub problem: CheckProblem,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl std::error::Error for CheckError {}

/// Returns the candidate that is most similar to `word`, or `None` if no candidate is similar
/// enough.
pub(crate) fn nearest<'a>(
    word: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<String> {
    const MIN_SIMILARITY: f64 = 0.6;
    candidates
        .into_iter()
        .map(|candidate| (strsim::jaro_winkler(word, candidate), candidate))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, candidate)| candidate.to_owned())
}
