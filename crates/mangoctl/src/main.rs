//! The operators' command line. It checks what operators write, sends their calls to the leader
//! of the control group and shows what comes back. It holds no policy: every decision is made by
//! `control`. See `docs/CLI.md`.

mod arguments;
mod commands;
mod failure;
mod fleet_client;
mod folder;
mod output;

use {
    arguments::{ParsedLine, HELP},
    failure::CommandFailure,
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("mangoctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

fn run() -> Result<(), CommandFailure> {
    match arguments::parse(lexopt::Parser::from_env())? {
        ParsedLine::Help => {
            print!("{HELP}");
            Ok(())
        }
        ParsedLine::Version => {
            println!("mangoctl {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ParsedLine::Command(call) => commands::run(&call),
    }
}
