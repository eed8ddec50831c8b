//! What operators write: the settings of each process, and the declarations of the fleet.
//!
//! Both are TOML, and both are checked whole before anything uses them: every error at once, with
//! file, line, key and what was expected. The crate knows nothing of how the values are used. The
//! binaries read settings; `control`, `entry` and `agent` resolve declarations. See
//! `docs/CONFIGURATION.md`.

pub mod check;
pub mod declaration;
mod job;
pub mod process;
mod schema;

pub use {
    check::{CheckError, CheckProblem, TextPlace},
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
