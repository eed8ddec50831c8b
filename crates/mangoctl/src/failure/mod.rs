//! Why a command did not do what it was asked, and the exit code that says so to programs.

use {
    proto::operator_client::OperatorError,
    settings::CheckError,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Every way in which a command fails. `docs/CLI.md` lists the exit codes.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandFailure {
    /// The command line can't be understood.
    #[snafu(display("{detail}\nTry \"mangoctl --help\"."))]
    Usage { detail: String },
    /// What the operator wrote has errors.
    #[snafu(display("{}", list(errors)))]
    Invalid { errors: Vec<CheckError> },
    /// Control found errors that this program did not.
    #[snafu(display("refused:\n  {}", errors.join("\n  ")))]
    RefusedInvalid { errors: Vec<String> },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// The answer is no.
    #[snafu(display("{detail}"))]
    Refused { detail: String },
    /// Control can't be asked, or its answer was lost.
    #[snafu(display("{source}"), context(false))]
    Call { source: OperatorError },
    /// What was waited for did not happen in time.
    #[snafu(display("gave up waiting: {detail}"))]
    WaitedTooLong { detail: String },
    /// The answer can't be shown.
    #[snafu(display("the answer can't be written: {source}"), context(false))]
    Output { source: serde_json::Error },
}

impl CommandFailure {
    /// The exit code: 1 refused, 2 usage, 3 errors in what was written, 4 no answer, 5 waited too
    /// long.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Output { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Invalid { .. } | Self::RefusedInvalid { .. } | Self::File { .. } => 3,
            Self::Call { source: OperatorError::Problem { .. } } => 1,
            Self::Call { .. } => 4,
            Self::WaitedTooLong { .. } => 5,
        }
    }
}

impl From<lexopt::Error> for CommandFailure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage { detail: error.to_string() }
    }
}

fn list(errors: &[CheckError]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("\n  {error}")).collect();
    format!("{} errors:{}", errors.len(), lines.concat())
}
