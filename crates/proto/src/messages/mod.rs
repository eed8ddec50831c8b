//! The typed messages, with one module for each pair of communicating roles or subject.

mod agent;
mod declaration;
mod dispatch;
mod ledger;
pub mod operator;
mod table;
mod task;

pub use {agent::*, declaration::*, dispatch::*, ledger::*, table::*, task::*};
