//! The `mangorouter` program: runs its command line and maps errors to exit codes.

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
