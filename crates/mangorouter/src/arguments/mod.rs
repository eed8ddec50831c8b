//! Command-line parsing and the usage text.

use {
    crate::failure::DaemonFailure,
    lexopt::{
        Arg::{Long, Short, Value},
        Parser, ValueExt,
    },
    std::path::PathBuf,
};

/// Usage text that `--help` prints. A test checks that `docs/CLI.md` contains the same text.
pub(crate) const HELP: &str = "\
mangorouter - run one process of a mangorouter fleet

USAGE
    mangorouter ROLE --config FILE     run a process until SIGTERM or SIGINT, then drain it
    mangorouter ROLE --config FILE --check
                                       report every error in the settings and stop
    mangorouter dev [--once] [--data FOLDER]
                                       run every role on loopback with stand-ins, and show a
                                       request, a job and a configuration change
    mangorouter deployed ROLE          run an entry, agent or control process on the users'
                                       platform, which names the settings in the environment

ROLES
    control     a member of the control group; needs a disk
    entry       takes callers' requests
    agent       runs beside a worker and its endpoints
    stand-in    plays a worker's platform and one executor, for trials on one machine

OPTIONS
    --config FILE     the settings of the process, in TOML (docs/CONFIGURATION.md)
    --check           only check the settings
    --once            dev: stop after the demonstration
    --data FOLDER     dev: keep the state there instead of in a temporary folder
    -h, --help        print this
    -V, --version     print the version

EXIT CODES
    0  stopped as asked       2  wrong command line
    1  could not run          3  errors in the settings
";

/// A parsed command line.
pub(crate) enum ParsedCommand {
    /// Prints the usage.
    Help,
    /// Prints the program's version.
    Version,
    /// Checks the settings in `config` for `role` and stops.
    Check { role: String, config: PathBuf },
    /// Runs `role` with the settings in `config`.
    Run { role: String, config: PathBuf },
    /// Runs every role on loopback.
    Dev(DevOptions),
    /// Runs `role` on the users' platform, which names the settings in the environment.
    Deployed { role: String },
}

/// The options of `dev`.
#[derive(Default)]
pub(crate) struct DevOptions {
    /// True to stop after the demonstration.
    pub(crate) once: bool,
    /// Folder that keeps the state; `None` uses a temporary folder.
    pub(crate) data: Option<PathBuf>,
}

/// Parses a command line. Without a role, it asks for the usage.
pub(crate) fn parse(mut parser: Parser) -> Result<ParsedCommand, DaemonFailure> {
    let mut role = None;
    let mut config = None;
    let mut check = false;
    let mut deployed = None;
    let mut dev = DevOptions::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(ParsedCommand::Help),
            Short('V') | Long("version") => return Ok(ParsedCommand::Version),
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("once") => dev.once = true,
            Long("data") => dev.data = Some(parser.value()?.into()),
            Value(word) if role.as_deref() == Some("deployed") && deployed.is_none() => {
                deployed = Some(word.string()?);
            }
            Value(word) if role.is_none() => role = Some(word.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let role = match role {
        None => return Ok(ParsedCommand::Help),
        Some(role) if role == "dev" => return Ok(ParsedCommand::Dev(dev)),
        Some(role) if role == "deployed" => {
            let detail = "deployed needs a role: entry, agent or control".to_owned();
            let role = deployed.ok_or(DaemonFailure::Usage { detail })?;
            return Ok(ParsedCommand::Deployed { role });
        }
        Some(role) => role,
    };
    let Some(config) = config else {
        return Err(DaemonFailure::Usage { detail: "--config FILE is missing".to_owned() });
    };
    Ok(if check {
        ParsedCommand::Check { role, config }
    } else {
        ParsedCommand::Run { role, config }
    })
}
