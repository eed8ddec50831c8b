//! The library behind the `mangorouter` program: loads the settings, starts one role and drains it
//! on shutdown. The program, `dev` and tests all start processes through it.
//!
//! The crate wires the crates of the roles together and contains no policy of its own. See
//! `docs/OPERATIONS.md`.

mod arguments;
mod daemon;
mod dev;
mod failure;
mod logging;

pub use {
    daemon::RunningRole,
    dev::{free_address, DevFleet},
    failure::DaemonFailure,
};

use arguments::{ParsedCommand, HELP};

/// Parses the program's command line and runs the command. A role runs until SIGTERM or SIGINT.
pub fn run_command_line() -> Result<(), DaemonFailure> {
    match arguments::parse(lexopt::Parser::from_env())? {
        ParsedCommand::Help => {
            print!("{HELP}");
            Ok(())
        }
        ParsedCommand::Version => {
            println!("mangorouter {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ParsedCommand::Check { role, config } => daemon::check(&role, &config),
        ParsedCommand::Run { role, config } => daemon::run(&role, &config),
        ParsedCommand::Dev(options) => dev::run(&options),
        ParsedCommand::Deployed { role } => run_deployed(&role),
    }
}

fn run_deployed(role: &str) -> Result<(), DaemonFailure> {
    let role: platform::DeployedRole = role.parse().map_err(|error: platform::DeployedError| {
        DaemonFailure::Usage { detail: error.to_string() }
    })?;
    platform::run(role).map_err(|error| DaemonFailure::start("the deployed process", error))
}
