//! The entry point of the `mangorouter` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    match mangorouter::run_command_line() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("mangorouter: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
