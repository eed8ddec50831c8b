//! Job specifications of callers, and the configuration of operators.

mod config;
mod ids;
mod spec;

pub use {
    config::{ConfigProblem, FleetConfig, QueueRule, ServiceRule},
    ids::{JobKey, RunNumber, StepKey, TaskKey, WorkerIncarnation},
    spec::{JobSchedule, JobSpec, SpecProblem, StepSpec, TaskDemand},
};
