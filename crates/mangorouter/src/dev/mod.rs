//! Runs every role as threads of one process on loopback, with stand-ins for what lies outside the
//! system, so that one command demonstrates the whole path.

mod demonstration;
mod fleet;

pub use fleet::{free_address, DevFleet};

use {
    crate::{
        arguments::DevOptions,
        daemon::wait_for_signal,
        failure::{DaemonFailure, FileSnafu, SignalsSnafu},
        logging,
    },
    settings::LogSettings,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::ResultExt,
};

/// Starts the fleet, runs the demonstration, and keeps the fleet running until SIGTERM or SIGINT
/// unless the options ask to stop after the demonstration.
pub(crate) fn run(options: &DevOptions) -> Result<(), DaemonFailure> {
    logging::start(&LogSettings { level: "error".to_owned(), file: None })?;
    let signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let temporary = tempfile::tempdir().context(FileSnafu { path: std::env::temp_dir() })?;
    let data = options.data.as_deref().unwrap_or(temporary.path());
    let fleet = DevFleet::start(data)?;
    let outcome = demonstration::run(&fleet);
    if outcome.is_ok() && !options.once {
        fleet.print_addresses();
        wait_for_signal(signals);
    }
    fleet.shut_down();
    outcome
}
