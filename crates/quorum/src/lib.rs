//! The replicated log of a control group: elections, replication, snapshots, membership changes and
//! the synced files that store the log.
//!
//! The state machine is pure; file access is the only I/O. The crate does not interpret the data of
//! entries and sends no messages itself: its driver in `control` does. The protocol is described in
//! `docs/decisions/quorum.md`, and the guarantees that it provides in `docs/PROMISES.md`.

mod core;
pub mod interface;
mod message;
mod storage;

pub use {
    crate::core::{CoreError, MemberProgress, QuorumCore, SettingsProblem},
    interface::*,
    message::QuorumMessage,
    storage::{
        create_folder, DiskFiles, FileAction, FileLayer, FolderListing, LogStorage, StorageError,
    },
};
