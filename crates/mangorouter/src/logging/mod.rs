//! Where the log goes, by `simplelog`. Its lines are the numbered events of `docs/EVENTS.md`.

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

/// Sets the log up for the whole process.
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

/// Only our own events are written: libraries log on their own terms, which no catalogue names.
fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("telemetry")
        .build()
}
