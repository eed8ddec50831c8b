//! The files that operators write: the settings of each process and the declarations of the fleet.
//!
//! Both are TOML, and both are checked completely before use: the check reports all errors at once,
//! with file, line, key and the expected value. The crate does not know how the values are used.
//! The binaries read settings; `control`, `entry` and `agent` resolve declarations. See
//! `docs/CONFIGURATION.md`.

pub mod check;
pub mod declaration;
mod job;
pub mod process;
mod schema;

pub use {
    check::{CheckError, CheckProblem, SourceLocation},
    declaration::{
        ExceptionDeclaration, FleetDeclaration, FleetPolicy, PolicySubject, ResolvedPolicy,
        RuleSource, ServiceDeclaration, TeamDeclaration,
    },
    job::check_job_file,
    process::{
        AgentSettings, ControlSettings, DaemonSettings, EntrySettings, LogSettings, MemberSettings,
        ProcessSettings, RoleSettings, StandInSettings,
    },
};
