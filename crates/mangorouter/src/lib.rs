//! The daemon as a library, so that its program, `dev` and tests start processes the same way.
//!
//! It reads settings, starts one role, and drains it when asked to stop. It wires the crates of the
//! roles together and holds no policy. The `mangorouter` program and tests call it. See
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

use arguments::{ParsedLine, HELP};

/// Does what the program's command line asks for.
pub fn run_command_line() -> Result<(), DaemonFailure> {
    match arguments::parse(lexopt::Parser::from_env())? {
        ParsedLine::Help => {
            print!("{HELP}");
            Ok(())
        }
        ParsedLine::Version => {
            println!("mangorouter {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ParsedLine::Check { role, config } => daemon::check(&role, &config),
        ParsedLine::Run { role, config } => daemon::run(&role, &config),
        ParsedLine::Dev(options) => dev::run(&options),
        ParsedLine::Deployed { role } => run_deployed(&role),
    }
}

fn run_deployed(role: &str) -> Result<(), DaemonFailure> {
    let role: platform::DeployedRole = role.parse().map_err(|error: platform::DeployedError| {
        DaemonFailure::Usage { detail: error.to_string() }
    })?;
    platform::run(role).map_err(|error| DaemonFailure::start("the deployed process", error))
}
