//! The command line for operators. It checks files, sends API calls to the leader of the control
//! group and prints the responses. It contains no policy: `control` makes every decision. See
//! `docs/CLI.md`.

mod arguments;
mod commands;
mod error;
mod fleet_client;
mod folder;
mod output;

use {
    arguments::{ParsedArguments, HELP},
    error::CommandError,
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mangoctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), CommandError> {
    match arguments::parse(lexopt::Parser::from_env())? {
        ParsedArguments::Help => {
            print!("{HELP}");
            Ok(())
        }
        ParsedArguments::Version => {
            println!("mangoctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ParsedArguments::Command(invocation) => commands::run(&invocation),
    }
}
