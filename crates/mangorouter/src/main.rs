//! The daemon: it reads settings, starts one role, and drains it when asked to stop. It wires the
//! crates of the roles together and holds no policy. See `docs/OPERATIONS.md`.

mod arguments;
mod daemon;
mod dev;
mod failure;
mod logging;

use {
    arguments::{ParsedLine, HELP},
    failure::DaemonFailure,
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("mangorouter: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run() -> Result<(), DaemonFailure> {
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
    }
}
