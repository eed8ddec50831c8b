//! Runs one role as a process, from loading its settings to its graceful shutdown.

mod running;

pub use running::RunningRole;

use {
    crate::{
        failure::{DaemonFailure, FileSnafu, SignalsSnafu},
        logging,
    },
    settings::DaemonSettings,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Checks a settings file and reports every error in it.
pub(crate) fn check(role: &str, config: &Path) -> Result<(), DaemonFailure> {
    load_settings(role, config)?;
    println!("no errors in {}", config.display());
    Ok(())
}

/// Runs a role until SIGTERM or SIGINT, then drains it.
pub(crate) fn run(role: &str, config: &Path) -> Result<(), DaemonFailure> {
    let settings = load_settings(role, config)?;
    logging::start(&settings.log)?;
    let signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let running = RunningRole::start(&settings.process)?;
    wait_for_signal(signals);
    running.shut_down();
    Ok(())
}

/// Blocks until a signal arrives. A second signal during the drain exits the process at once,
/// because its sender does not want to wait any longer.
pub(crate) fn wait_for_signal(mut signals: Signals) {
    signals.forever().next();
    std::thread::spawn(move || {
        signals.forever().next();
        std::process::exit(1);
    });
}

fn load_settings(role: &str, config: &Path) -> Result<DaemonSettings, DaemonFailure> {
    let text = fs::read_to_string(config).context(FileSnafu { path: config })?;
    let settings =
        DaemonSettings::parse(config, &text).map_err(|errors| DaemonFailure::Invalid { errors })?;
    let found = settings.process.role.name();
    if found != role {
        return Err(DaemonFailure::OtherRole { wanted: role.to_owned(), found });
    }
    Ok(settings)
}
