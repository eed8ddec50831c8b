//! One role as a process: from settings to a graceful end.

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

/// Reports every error in a settings file.
pub(crate) fn check(role: &str, config: &Path) -> Result<(), DaemonFailure> {
    load(role, config)?;
    println!("no errors in {}", config.display());
    Ok(())
}

/// Runs a role until a signal asks it to stop, then drains it.
pub(crate) fn run(role: &str, config: &Path) -> Result<(), DaemonFailure> {
    let settings = load(role, config)?;
    logging::start(&settings.log)?;
    let signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let running = RunningRole::start(&settings.process)?;
    wait_for(signals);
    running.shut_down();
    Ok(())
}

/// Returns when a signal has come. A second one while draining ends the process at once, because
/// whoever sends it wants no more waiting.
pub(crate) fn wait_for(mut signals: Signals) {
    signals.forever().next();
    std::thread::spawn(move || {
        signals.forever().next();
        std::process::exit(1);
    });
}

fn load(role: &str, config: &Path) -> Result<DaemonSettings, DaemonFailure> {
    let text = fs::read_to_string(config).context(FileSnafu { path: config })?;
    let settings =
        DaemonSettings::parse(config, &text).map_err(|errors| DaemonFailure::Invalid { errors })?;
    let found = settings.process.role.name();
    if found != role {
        return Err(DaemonFailure::OtherRole { wanted: role.to_owned(), found });
    }
    Ok(settings)
}
