//! The errors of commands and their exit codes.

use {
    proto::operator_client::OperatorError,
    settings::CheckError,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// The error of a command. `docs/CLI.md` lists the exit codes.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The command line is not valid.
    #[snafu(display("{detail}\nTry \"mangoctl --help\"."))]
    Usage { detail: String },
    /// A file that the operator wrote has errors.
    #[snafu(display("{}", format_errors(errors)))]
    Invalid { errors: Vec<CheckError> },
    /// Control found errors that this program did not find.
    #[snafu(display("refused:\n  {}", errors.join("\n  ")))]
    RejectedByControl { errors: Vec<String> },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    /// Control or the operator refused the command.
    #[snafu(display("{detail}"))]
    Refused { detail: String },
    /// Control is unreachable, or its response was lost.
    #[snafu(display("{source}"), context(false))]
    Call { source: OperatorError },
    /// The awaited effect was not observed in time.
    #[snafu(display("timed out while waiting: {detail}"))]
    WaitTimedOut { detail: String },
    /// The response can't be formatted as JSON.
    #[snafu(display("the response can't be formatted as JSON: {source}"), context(false))]
    Output { source: serde_json::Error },
}

impl CommandError {
    /// Returns the exit code: 1 refused, 2 usage, 3 errors in a file, 4 no answer, 5 timed out with
    /// `--wait`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Output { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Invalid { .. } | Self::RejectedByControl { .. } | Self::File { .. } => 3,
            Self::Call { source: OperatorError::Problem { .. } } => 1,
            Self::Call { .. } => 4,
            Self::WaitTimedOut { .. } => 5,
        }
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage { detail: error.to_string() }
    }
}

fn format_errors(errors: &[CheckError]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("\n  {error}")).collect();
    format!("{} errors:{}", errors.len(), lines.concat())
}
