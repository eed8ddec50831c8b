//! The typed messages, one module a conversation.

mod agent;
mod declaration;
mod dispatch;
mod ledger;
pub mod operator;
mod table;
mod task;

pub use {agent::*, declaration::*, dispatch::*, ledger::*, table::*, task::*};
