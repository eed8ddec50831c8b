//! The replicated log of a control group: elections, replication, snapshots, membership changes
//! and the synced files below them.
//!
//! The state machine is pure; the files are the only I/O. The crate does not know what entries
//! mean and sends nothing itself. `control` calls it. The protocol is described in
//! `docs/decisions/quorum.md`, and the promises that it carries in `docs/PROMISES.md`.

mod core;
pub mod interface;
mod message;
mod storage;

pub use {
    crate::core::{CoreError, MemberProgress, QuorumCore, SettingsProblem},
    interface::*,
    message::QuorumMessage,
    storage::{DiskFiles, FileAction, FileLayer, LogStorage, StorageError},
};
