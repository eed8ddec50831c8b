//! Errors of the daemon and their exit codes.

use {
    settings::CheckError,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// An error that keeps the daemon from starting, or fails the demonstration of `dev`.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonFailure {
    /// The command line is invalid.
    #[snafu(display("{detail}\nTry \"mangorouter --help\"."))]
    Usage {
        /// What is wrong with the command line.
        detail: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings file has errors.
    #[snafu(display("{}", format_errors(errors)))]
    Invalid {
        /// Every error in the file.
        errors: Vec<CheckError>,
    },
    /// The settings file is for another role than the command line names.
    #[snafu(display("the settings are for role {found}, not {wanted}"))]
    OtherRole {
        /// Role on the command line.
        wanted: String,
        /// Role in the settings file.
        found: &'static str,
    },
    /// The logger can't be set up.
    #[snafu(display("the log can't be set up: {source}"))]
    Log {
        /// Error of the logging library.
        source: log::SetLoggerError,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("can't install signal handlers: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A role, or a part of the process, can't start.
    #[snafu(display("{role} can't start: {source}"))]
    Start {
        /// The role or part that can't start.
        role: &'static str,
        /// The underlying error.
        source: Box<dyn std::error::Error>,
    },
    /// A step of the demonstration did not have the expected effect.
    #[snafu(display("the demonstration failed at {step:?}: {detail}"))]
    Demonstration {
        /// Name of the step.
        step: &'static str,
        /// The reply or error that the step got instead.
        detail: String,
    },
}

impl DaemonFailure {
    /// Returns the exit code: 1 could not run, 2 wrong command line, 3 errors in the settings.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::File { .. } | Self::Invalid { .. } | Self::OtherRole { .. } => 3,
            Self::Log { .. }
            | Self::Signals { .. }
            | Self::Start { .. }
            | Self::Demonstration { .. } => 1,
        }
    }

    /// Wraps the error of a role, or a part of the process, that could not start.
    pub(crate) fn start(role: &'static str, source: impl std::error::Error + 'static) -> Self {
        Self::Start { role, source: Box::new(source) }
    }
}

impl From<lexopt::Error> for DaemonFailure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage { detail: error.to_string() }
    }
}

fn format_errors(errors: &[CheckError]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("\n  {error}")).collect();
    format!("{} errors in the settings:{}", errors.len(), lines.concat())
}
