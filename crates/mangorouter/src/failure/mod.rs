//! Why the daemon could not start.

use {
    settings::CheckError,
    snafu::Snafu,
    std::{io, path::PathBuf},
};

/// Every way in which the daemon fails to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonFailure {
    /// The command line can't be understood.
    #[snafu(display("{detail}\nTry \"mangorouter --help\"."))]
    Usage {
        /// What is wrong with it.
        detail: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The settings have errors.
    #[snafu(display("{}", list(errors)))]
    Invalid {
        /// Every error.
        errors: Vec<CheckError>,
    },
    /// The settings are for another role.
    #[snafu(display("the settings are for role {found}, not {wanted}"))]
    OtherRole {
        /// The role of the command line.
        wanted: String,
        /// The role of the settings.
        found: &'static str,
    },
    /// The log can't be written.
    #[snafu(display("the log can't be set up: {source}"))]
    Log {
        /// What the library reported.
        source: log::SetLoggerError,
    },
    /// Signals can't be waited for.
    #[snafu(display("signals can't be waited for: {source}"))]
    Signals {
        /// What the system reported.
        source: io::Error,
    },
    /// The role can't start.
    #[snafu(display("{role} can't start: {source}"))]
    Start {
        /// What was to start.
        role: &'static str,
        /// Why it can't.
        source: Box<dyn std::error::Error>,
    },
    /// A step of the demonstration did not do what it shows.
    #[snafu(display("the demonstration failed at {step:?}: {detail}"))]
    Demonstration {
        /// The step.
        step: &'static str,
        /// What happened instead.
        detail: String,
    },
}

impl DaemonFailure {
    /// The exit code: 1 could not run, 2 usage, 3 errors in settings.
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

    /// A role that could not start.
    pub(crate) fn start(role: &'static str, source: impl std::error::Error + 'static) -> Self {
        Self::Start { role, source: Box::new(source) }
    }
}

impl From<lexopt::Error> for DaemonFailure {
    fn from(error: lexopt::Error) -> Self {
        Self::Usage { detail: error.to_string() }
    }
}

fn list(errors: &[CheckError]) -> String {
    let lines: Vec<_> = errors.iter().map(|error| format!("\n  {error}")).collect();
    format!("{} errors in the settings:{}", errors.len(), lines.concat())
}
