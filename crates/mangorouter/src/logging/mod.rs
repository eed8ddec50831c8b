//! Sets up the log with `simplelog`. Its lines are the numbered events of `docs/EVENTS.md`.

use {
    crate::failure::{DaemonFailure, FileSnafu, LogSnafu},
    log::LevelFilter,
    settings::LogSettings,
    simplelog::{ColorChoice, Config, ConfigBuilder, TermLogger, TerminalMode, WriteLogger},
    snafu::ResultExt,
    std::{
        fs::OpenOptions,
        io::{self, IsTerminal},
        str::FromStr,
    },
};

/// Sets up the logger of the process. An unknown level counts as `info`.
pub(crate) fn start(settings: &LogSettings) -> Result<(), DaemonFailure> {
    let level = LevelFilter::from_str(&settings.level).unwrap_or(LevelFilter::Info);
    match &settings.file {
        None => {
            let color = match io::stderr().is_terminal() {
                true => ColorChoice::Auto,
                false => ColorChoice::Never,
            };
            TermLogger::init(level, config(), TerminalMode::Stderr, color).context(LogSnafu)
        }
        Some(path) => {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
                .context(FileSnafu { path })?;
            WriteLogger::init(level, config(), file).context(LogSnafu)
        }
    }
}

/// Writes only the events of this project: the event catalogue does not contain the log lines of
/// libraries.
fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("telemetry")
        .build()
}
